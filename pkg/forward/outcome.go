package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// take takes in the outcome of one send.
func (q *query) take(r result) {
	s := r.shard
	s.running--
	s.open = slices.DeleteFunc(s.open, func(o openSend) bool { return o.upstream == r.upstream })
	now := time.Now()
	switch {
	case r.refusal == nil && r.long == nil && q.f.notRun(r.reply):
		s.runs--
		s.refusal = errs.Refuse(errs.UpstreamShed, "%s refused with status %d", r.upstream.Member.ID, r.reply.Status)
		q.retry(now, s, true)
	case r.refusal != nil && r.refusal.RunState == errs.DidNotRun:
		s.runs--
		s.refusal = r.refusal
		q.retry(now, s, false)
	case r.refusal != nil:
		s.ran = true
		s.refusal = r.refusal
		if q.route.Idempotent && q.verdict != poison.Suspect {
			q.retry(now, s, true)
		}
	default:
		s.ran = true
		q.takeReply(now, s, r)
	}
}

// takeReply takes in an answer of a replica that ran the request.
func (q *query) takeReply(now time.Time, s *shard, r result) {
	reply := r.reply
	taken := false
	defer func() {
		if r.long != nil && !taken {
			r.long.end(errs.Refuse(errs.Canceled, "the answer is not passed on"))
		}
	}()
	good := reply.Status >= 200 && reply.Status < 300
	switch {
	case good && (reply.Header.Get(q.f.headers.Receipt) == "" || reply.Header.Get("Content-Encoding") != ""):
		s.refusal = errs.Ambiguous(errs.ResponseMismatch, "%s answered without a receipt", r.upstream.Member.ID)
		if q.route.Idempotent {
			q.retry(now, s, true)
		}
	case good || (reply.Status < http.StatusInternalServerError && !q.route.FanOut()):
		taken = true
		s.done, s.reply, s.long = true, &reply, r.long
		if q.delay != nil {
			q.delay.Observe(now.Sub(r.start))
		}
	default:
		if r.long == nil {
			s.failed = &reply
		} else {
			s.refusal = errs.Ambiguous(errs.UpstreamFailed, "%s failed with status %d", r.upstream.Member.ID, reply.Status)
		}
		if q.route.Idempotent {
			q.retry(now, s, true)
		}
	}
}

// retry sends the request of a shard again, if that is allowed and no other
// send of it runs. arrived tells that the failed send reached a replica, so
// that the next one counts against the budget.
func (q *query) retry(now time.Time, s *shard, arrived bool) {
	if s.done || s.running > 0 || s.runs >= q.route.Attempts {
		return
	}
	if arrived {
		s.arrivals++
	}
	if q.dispensable(s) {
		s.skipped = true
		q.skipped++
		return
	}
	q.resend(now, s)
}

// dispensable reports whether the coverage can do without a shard whose budget
// is nearly spent. What is left then goes to shards that queries cannot do
// without.
func (q *query) dispensable(s *shard) bool {
	if !q.route.FanOut() || s.group == nil || s.arrivals == 0 || !s.group.Budget.BelowRetryReserve() {
		return false
	}
	return q.possible() >= least(q.route)
}

// possible returns the number of shards that are in or under way.
func (q *query) possible() int {
	n := 0
	for _, s := range q.shards {
		if s.done || s.running > 0 {
			n++
		}
	}
	return n
}

// resend sends the request of a shard again; a send that reaches a replica
// after another one is taken from the budget.
func (q *query) resend(now time.Time, s *shard) bool {
	sent := false
	if s.arrivals > 0 {
		sent = q.launchExtra(now, s, extra)
	} else {
		sent = q.launch(now, s)
	}
	if sent {
		q.retries++
		q.f.metrics.retries.Inc(1)
	}
	return sent
}
