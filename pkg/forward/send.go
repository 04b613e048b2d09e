package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
)

// maxExtraSends bounds the sends of a shard beyond the route's attempts. It allows
// for sends that replicas refused or that found no connection, which do not count
// as attempts.
const maxExtraSends = 4

// useCurrentReplicas replaces the replicas of a shard by those of the view in force. A
// service that this no longer has keeps those that it had when the query began, without
// the withdrawn ones.
func (q *query) useCurrentReplicas(s *shard) {
	if current := q.forwarder.view.Load().ReplicaSets[s.service]; current != nil {
		s.replicas = current
	}
}

// sendToCheapest sends the request to the replica of a shard with the lowest cost.
// It reports false if no replica is available or no send is worthwhile any more.
func (q *query) sendToCheapest(now time.Time, s *shard) bool {
	q.useCurrentReplicas(s)
	if s.replicas == nil || q.deadline.Sub(now) < minTimeToSend || len(s.tried) >= q.route.Attempts+maxExtraSends {
		return false
	}
	u := s.replicas.pick(now, q.usualLatency(), s.tried)
	if u == nil {
		return false
	}
	kind := replica.FirstSend
	if len(s.tried) > 0 {
		kind = replica.ExtraSend
	}
	s.tried = append(s.tried, u)
	s.openSends = append(s.openSends, openSend{upstream: u, start: now})
	s.openSendCount++
	s.attempts++
	q.sends++
	go q.send(s, u, now, kind)
	return true
}

// sendExtra is sendToCheapest for a hedge or a retry, which takeBudget takes from
// the budget of the shard.
func (q *query) sendExtra(now time.Time, s *shard, takeBudget func(*hedge.Policy) error) bool {
	q.useCurrentReplicas(s)
	if s.replicas == nil || s.replicas.cheapest(now, q.usualLatency(), s.tried) == nil {
		return false
	}
	if err := takeBudget(s.replicas.Budget); err != nil {
		q.budgetRefusals++
		q.forwarder.metrics.budgetRefusals.Inc(1)
		return false
	}
	return q.sendToCheapest(now, s)
}

func takeRetry(p *hedge.Policy) error { return p.TryTakeExtra(1) }
func takeHedge(p *hedge.Policy) error { return p.TryTakeAboveReserve(1) }

// send sends the request to a replica and puts the outcome into q.results.
func (q *query) send(s *shard, u *Upstream, start time.Time, kind replica.SendKind) {
	u.Tracker.Begin(start)
	u.Tracker.CountSend(kind)
	call := exchange.Call{
		Method: q.method, Head: q.head, AppendFields: q.forwarder.sendFields(u, q.sendDeadline(start)), Body: q.body,
		IDHeader: q.forwarder.headers.RequestID, ID: q.id, Holding: q.holding, Check: q.forwarder.checkSend(u, q.attempt.Fingerprint, q),
	}
	if !q.route.Idempotent {
		call.MaxIdleTime = maxIdleNonIdempotent
	}
	resultSent := false
	if !q.route.FanOut() {
		call.StreamResponse = func(reply exchange.Reply, rest io.Reader) error {
			stream := newResponseStream(rest)
			resultSent = true
			q.forwarder.hearAnswer(u, time.Now(), start, reply, q.id) // the answer may take long
			q.results <- sendResult{shard: s, upstream: u, start: start, reply: reply, stream: stream}
			return stream.wait(q.ctx)
		}
	}
	reply, refusal := u.Pool.Do(q.ctx, call)
	now := time.Now()
	q.forwarder.recordOutcome(u, now, start, reply, refusal, q.attempt)
	if !resultSent {
		q.results <- sendResult{shard: s, upstream: u, start: start, reply: reply, refusal: refusal}
	}
}

// sendFields returns what appends the header fields in which the sends of a request
// differ: the time left until the deadline when the send is written, and the replica.
func (f *Forwarder) sendFields(u *Upstream, deadline time.Time) func(b []byte) []byte {
	return func(b []byte) []byte {
		b = appendMilliseconds(b, f.headers.Deadline, time.Until(deadline))
		b = append(b, f.headers.TargetReplica...)
		b = append(b, ": "...)
		b = append(b, u.Member.ID...)
		return append(b, "\r\n"...)
	}
}

// appendMilliseconds appends a header line with a time that is left, at least 1 ms.
func appendMilliseconds(b []byte, name string, left time.Duration) []byte {
	return appendNumber(b, name, max(1, left.Milliseconds()))
}

func appendNumber(b []byte, name string, n int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// sendDeadline returns the time until which a replica should work on a send. For a
// fan-out query this is the target rather than the deadline: a later answer of a
// shard would not be used, and a replica that works on it would delay other
// requests. A send that starts late gets the whole deadline.
func (q *query) sendDeadline(now time.Time) time.Time {
	if !q.route.FanOut() || q.route.Target <= 0 {
		return q.deadline
	}
	target := q.start.Add(q.route.Target)
	if target.Sub(now) < q.route.Target/4 || target.After(q.deadline) {
		return q.deadline
	}
	return target
}

// recordOutcome records the outcome of a send in the replica's tracker and tells
// the observer about a replica that may have failed.
func (f *Forwarder) recordOutcome(u *Upstream, now, start time.Time, reply exchange.Reply, refusal *errs.Refusal, attempt RequestAttempt) {
	if refusal == nil {
		u.Tracker.RecordAnswer(start)
		f.lastAnswer.Store(int64(now.Sub(f.started)))
		f.hearAnswer(u, now, start, reply, attempt.RequestID)
	}
	switch {
	case refusal == nil && f.notRun(reply):
		u.Tracker.End(now, start, replica.Shed)
		if reply.Status == http.StatusMisdirectedRequest {
			f.observer.ReplicaUnreachable(u, errs.Refuse(errs.NotOwner, "another replica has the address"))
		}
	case refusal == nil && reply.Status >= http.StatusInternalServerError:
		u.Tracker.End(now, start, replica.Failed)
	case refusal == nil:
		f.metrics.replicaLatency.RecordDuration(now.Sub(start))
		u.Tracker.End(now, start, replica.Served)
	case refusal.Code == errs.Canceled || refusal.Code == errs.DeadlineExceeded || refusal.Code == errs.QueueFull:
		u.Tracker.End(now, start, replica.Abandoned)
		if refusal.RunState == errs.MayHaveRun {
			f.observer.RequestUnanswered(u, start, attempt)
			if now.Sub(start) > unresponsiveAfter {
				f.observer.ReplicaUnresponsive(u)
			}
		}
	case refusal.Code == errs.MemoryLimit:
		u.Tracker.End(now, start, replica.Abandoned)
		f.log.WithFields(logrus.Fields{"id": attempt.RequestID, "replica": u.Member.ID, "detail": refusal.Detail}).Warn("response of a replica dropped: no memory left to buffer it")
	case refusal.Code == errs.UpstreamDraining || refusal.Code == errs.Poisoned || refusal.Code == errs.ConfigUnconfirmed: // checkSend has kept it back
		u.Tracker.End(now, start, replica.Abandoned)
	case refusal.RunState == errs.DidNotRun:
		u.Tracker.End(now, start, replica.Failed)
		f.observer.ReplicaUnreachable(u, refusal)
	default:
		u.Tracker.End(now, start, replica.Failed)
		f.observer.RequestInterrupted(u, start, refusal, attempt)
	}
}

// notRun reports whether the response says that the replica did not run the
// request.
func (f *Forwarder) notRun(reply exchange.Reply) bool {
	return reply.Status == http.StatusMisdirectedRequest || reply.Header.Get(f.headers.NotRun) != ""
}
