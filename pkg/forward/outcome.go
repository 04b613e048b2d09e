package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// handleResult applies the outcome of one send to its shard and retries a failed
// send if that is allowed.
func (q *query) handleResult(r sendResult) {
	s := r.shard
	s.openSendCount--
	s.openSends = slices.DeleteFunc(s.openSends, func(o openSend) bool { return o.upstream == r.upstream })
	now := time.Now()
	switch {
	case r.refusal == nil && r.stream == nil && q.forwarder.notRun(r.reply):
		s.attempts--
		q.ranked.sheds++
		s.refusal = errs.Refuse(errs.UpstreamShed, "%s refused with status %d", r.upstream.Member.ID, r.reply.Status)
		q.retry(now, s, true)
	case r.refusal != nil && r.refusal.RunState == errs.DidNotRun:
		s.attempts--
		s.refusal = r.refusal
		q.retry(now, s, false)
	case r.refusal != nil:
		q.brokenOff++
		s.brokenOff = true
		s.mayHaveRun = true
		s.refusal = r.refusal
		if q.route.Idempotent && q.poisonVerdict != poison.Suspect {
			q.retry(now, s, true)
		}
	default:
		s.mayHaveRun = true
		if r.stream == nil { // a replica may still crash while it sends the rest
			q.suspectAnswered()
		}
		q.handleReply(now, s, r)
	}
}

// handleReply accepts or rejects the response of a replica that ran the request.
func (q *query) handleReply(now time.Time, s *shard, r sendResult) {
	reply := r.reply
	accepted := false
	defer func() {
		if r.stream != nil && !accepted {
			r.stream.end(errs.Refuse(errs.Canceled, "the answer is not passed on"))
		}
	}()
	success := reply.Status >= 200 && reply.Status < 300
	var inPlace *errs.Refusal
	if !success && !q.route.FanOut() {
		inPlace = q.refusalInPlaceOf(&reply, fromReplica, r.upstream.Member.ID)
	}
	switch {
	case s.answered:
		// Another send was faster. The records of a shard must not be merged twice.
	case success && (reply.Header.Get(q.forwarder.headers.Receipt) == "" || reply.Header.Get("Content-Encoding") != ""):
		s.refusal = errs.Ambiguous(errs.ResponseMismatch, "%s answered without a receipt", r.upstream.Member.ID)
		if q.route.Idempotent {
			q.retry(now, s, true)
		}
	case inPlace != nil:
		s.refusal = inPlace
	case success || (reply.Status < http.StatusInternalServerError && !q.route.FanOut()):
		accepted = true
		s.answered, s.reply, s.stream = true, &reply, r.stream
		q.recordAnswerLatency(now.Sub(r.start))
		if q.hedgePolicy != nil {
			q.hedgePolicy.Observe(now.Sub(r.start))
		}
	default:
		if r.stream == nil {
			s.failedReply = &reply
		} else {
			s.refusal = errs.Ambiguous(errs.UpstreamFailed, "%s failed with status %d", r.upstream.Member.ID, reply.Status)
		}
		if q.route.Idempotent {
			q.retry(now, s, true)
		}
	}
}

// retry sends the request of a shard again if the route's attempts allow it and no
// other send of the shard is open. reachedReplica tells that the failed send
// reached a replica; the next one is then taken from the budget.
func (q *query) retry(now time.Time, s *shard, reachedReplica bool) {
	if s.answered || s.openSendCount > 0 || s.attempts >= q.route.Attempts {
		return
	}
	if q.isBlocked(now) {
		if !s.mayHaveRun {
			s.refusal = crashRefusal()
		}
		return
	}
	if reachedReplica {
		s.failuresAtReplica++
	}
	if q.mayCrashReplicas() {
		s.heldBack = true
		return
	}
	if q.canSkip(s) {
		s.skipped = true
		q.skippedShards++
		return
	}
	q.resend(now, s)
}

// canSkip reports whether a retry of the shard can be omitted: the retry would be
// taken from a budget that is down to its reserve, and the coverage can be reached
// without the shard. The reserve then remains for shards that queries need.
func (q *query) canSkip(s *shard) bool {
	if !q.route.FanOut() || s.replicas == nil || s.failuresAtReplica == 0 || !s.replicas.Budget.BelowRetryReserve() {
		return false
	}
	return q.answeredOrWaitingShards() >= requiredShards(q.route)
}

// answeredOrWaitingShards returns the number of shards that have answered, have an open
// send, or are held back.
func (q *query) answeredOrWaitingShards() int {
	n := 0
	for _, s := range q.shards {
		if s.answered || s.openSendCount > 0 || s.heldBack {
			n++
		}
	}
	return n
}

// resend sends the request of a shard again. If an earlier send reached a replica,
// the new one is taken from the budget. resend reports whether the request was
// sent.
func (q *query) resend(now time.Time, s *shard) bool {
	sent := false
	if s.failuresAtReplica > 0 {
		sent = q.sendExtra(now, s, takeRetry)
	} else {
		sent = q.sendToCheapest(now, s)
	}
	if sent {
		q.retries++
		q.forwarder.metrics.retries.Inc(1)
	}
	return sent
}
