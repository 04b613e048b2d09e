package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
)

// maxExtraSends bounds the sends of one shard beyond its attempts: those that
// replicas refused or that found no connection.
const maxExtraSends = 4

// launch sends the request to the best replica of a shard. It reports false
// when there is none.
func (q *query) launch(now time.Time, s *shard) bool {
	if s.group == nil || q.deadline.Sub(now) < minLeft || len(s.tried) >= q.route.Attempts+maxExtraSends {
		return false
	}
	u := s.group.pick(now, q.usual(), s.tried)
	if u == nil {
		return false
	}
	s.tried = append(s.tried, u)
	s.open = append(s.open, openSend{upstream: u, start: now})
	s.running++
	s.runs++
	q.sends++
	go q.send(s, u, now)
	return true
}

// launchExtra is launch for a send beyond the first that reaches a replica,
// which take takes from the budget.
func (q *query) launchExtra(now time.Time, s *shard, take func(*hedge.Policy) error) bool {
	if s.group == nil || s.group.pick(now, q.usual(), s.tried) == nil {
		return false
	}
	if err := take(s.group.Budget); err != nil {
		q.denied++
		q.f.metrics.noBudget.Inc(1)
		return false
	}
	return q.launch(now, s)
}

func extra(p *hedge.Policy) error { return p.TryTakeExtra(1) }
func spare(p *hedge.Policy) error { return p.TryTakeAboveReserve(1) }

// send makes one exchange and reports its outcome.
func (q *query) send(s *shard, u *Upstream, start time.Time) {
	u.Tracker.Begin(start)
	call := exchange.Call{
		Method: q.method, Head: q.sendHead(u, start), Body: q.body,
		IDHeader: q.f.headers.RequestID, ID: q.id,
	}
	if !q.route.Idempotent {
		call.MaxIdleTime = freshConnection
	}
	reported := false
	if !q.route.FanOut() {
		call.StreamResponse = func(reply exchange.Reply, rest io.Reader) error {
			long := newLongAnswer(rest)
			reported = true
			q.results <- result{shard: s, upstream: u, start: start, reply: reply, long: long}
			return long.wait(q.ctx)
		}
	}
	reply, refusal := u.Pool.Do(q.ctx, call)
	now := time.Now()
	q.f.observe(u, now, start, reply, refusal, q.suspect)
	if !reported {
		q.results <- result{shard: s, upstream: u, start: start, reply: reply, refusal: refusal}
	}
}

// sendHead adds the header lines of one send.
func (q *query) sendHead(u *Upstream, now time.Time) []byte {
	head := make([]byte, 0, len(q.head)+96)
	head = append(head, q.head...)
	head = append(head, q.f.headers.Deadline...)
	head = append(head, ": "...)
	head = strconv.AppendInt(head, max(1, q.sendDeadline(now).Sub(now).Milliseconds()), 10)
	head = append(head, "\r\n"...)
	head = append(head, q.f.headers.TargetReplica...)
	head = append(head, ": "...)
	head = append(head, u.Member.ID...)
	return append(head, "\r\n"...)
}

// sendDeadline returns the time until which a replica should work on a send.
// A part that misses the time of the answer is of no use, and a replica that
// works on it makes the next ones late too; so parts get little more than that
// time, unless it has passed already.
func (q *query) sendDeadline(now time.Time) time.Time {
	if !q.route.FanOut() || q.route.Target <= 0 {
		return q.deadline
	}
	useful := q.start.Add(q.route.Target)
	if useful.Sub(now) < q.route.Target/4 || useful.After(q.deadline) {
		return q.deadline
	}
	return useful
}

// observe takes in what a send shows of its replica.
func (f *Forwarder) observe(u *Upstream, now, start time.Time, reply exchange.Reply, refusal *errs.Refusal, suspect RequestAttempt) {
	switch {
	case refusal == nil && f.notRun(reply):
		u.Tracker.End(now, start, replica.Shed)
		if reply.Status == http.StatusMisdirectedRequest {
			f.observer.ReplicaUnreachable(u, errs.Refuse(errs.NotOwner, "another replica has the address"))
		}
	case refusal == nil && reply.Status >= http.StatusInternalServerError:
		u.Tracker.End(now, start, replica.Failed)
	case refusal == nil:
		f.metrics.subLength.RecordDuration(now.Sub(start))
		u.Tracker.End(now, start, replica.Served)
	case refusal.Code == errs.Canceled || refusal.Code == errs.DeadlineExceeded || refusal.Code == errs.QueueFull:
		u.Tracker.End(now, start, replica.Abandoned)
		if refusal.RunState == errs.MayHaveRun && now.Sub(start) > silentAfter {
			f.observer.ReplicaUnresponsive(u)
		}
	case refusal.RunState == errs.DidNotRun:
		u.Tracker.End(now, start, replica.Failed)
		f.observer.ReplicaUnreachable(u, refusal)
	default:
		u.Tracker.End(now, start, replica.Failed)
		f.observer.RequestInterrupted(u, refusal, suspect)
	}
}

// notRun reports whether a replica said that it did not run the request.
func (f *Forwarder) notRun(reply exchange.Reply) bool {
	return reply.Status == http.StatusMisdirectedRequest || reply.Header.Get(f.headers.NotRun) != ""
}
