package claim

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// deliver gives the results of a batch. Operations whose key another token
// holds are parked until the outcome is stored.
func (m *Machine) deliver(now time.Time, batch []judged) {
	for _, j := range batch {
		if j.ruling.verdict == wire.ClaimWaiting {
			m.park(now, j.op)
			continue
		}
		r := Result{ID: j.op.ID, Verdict: j.ruling.verdict, Exposed: j.op.exposed}
		if r.Verdict == wire.ClaimDone {
			r.Status, r.Answer = j.ruling.entry.Status, j.ruling.entry.Answer
		}
		m.results = append(m.results, r)
	}
}

func (m *Machine) park(now time.Time, w *waiting) {
	if len(m.parked) == 0 && !w.notified {
		m.poll = minPoll
		m.pollAt = now.Add(m.poll)
	}
	m.parked = append(m.parked, w)
	if !w.notified {
		w.notified = true
		m.results = append(m.results, Result{ID: w.ID, Verdict: wire.ClaimWaiting})
	}
}

// unpark queues the parked operations whose key is no longer claimed.
func (m *Machine) unpark() {
	still := m.parked[:0]
	for _, w := range m.parked {
		e, ok := m.state.Entry(w.KeyHash)
		if ok && e.State == Claimed {
			still = append(still, w)
			continue
		}
		m.pending = append(m.pending, w)
	}
	clear(m.parked[len(still):])
	m.parked = still
}

// expire gives up operations past their deadline, and claims that wait for a
// failing platform for longer than DownPatience.
func (m *Machine) expire(now time.Time) {
	m.pending = m.expireFrom(now, m.pending)
	m.parked = m.expireFrom(now, m.parked)
}

func (m *Machine) expireFrom(now time.Time, ops []*waiting) []*waiting {
	kept := ops[:0]
	for _, w := range ops {
		if now.Before(m.giveUpAt(w)) {
			kept = append(kept, w)
			continue
		}
		r := Result{ID: w.ID, Verdict: wire.ClaimUnavailable, Exposed: w.exposed}
		if w.notified {
			r.Verdict = wire.ClaimUnknown
		}
		m.results = append(m.results, r)
	}
	clear(ops[len(kept):])
	return kept
}

func (m *Machine) giveUpAt(w *waiting) time.Time {
	patience := w.submitted.Add(DownPatience)
	if w.Step == wire.ClaimTake && !w.notified && m.failures > 0 && patience.Before(w.Deadline) {
		return patience
	}
	return w.Deadline
}

// Wake returns when Next has something to do, unless an event comes first.
func (m *Machine) Wake(now time.Time) (time.Time, bool) {
	var at time.Time
	earliest := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, w := range m.pending {
		earliest(m.giveUpAt(w))
	}
	for _, w := range m.parked {
		earliest(m.giveUpAt(w))
	}
	if len(m.pending) > 0 {
		earliest(later(m.retryAt, m.bucket.ready(now)))
	}
	if len(m.parked) > 0 {
		earliest(later(m.retryAt, m.pollAt))
	}
	return at, !at.IsZero()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func dropID(ops []*waiting, id uint64) []*waiting {
	kept := ops[:0]
	for _, w := range ops {
		if w.ID != id || w.exposed {
			kept = append(kept, w)
		}
	}
	clear(ops[len(kept):])
	return kept
}

// bucket paces writes: burst at once, rate per second in the long run.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, burst float64, now time.Time) bucket {
	return bucket{rate: rate, burst: burst, tokens: burst, at: now}
}

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
		b.at = now
	}
}

func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ready returns when the next token is there, rounded up so that a timer set
// to it does not fire too early.
func (b *bucket) ready(now time.Time) time.Time {
	b.fill(now)
	if b.tokens >= 1 {
		return now
	}
	return now.Add(time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond)
}
