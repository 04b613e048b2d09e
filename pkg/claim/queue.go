package claim

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// deliverResults appends the results of a batch. Operations whose key another
// token holds get no final result yet and wait for the outcome.
func (u *Updater) deliverResults(now time.Time, batch []evaluatedOp) {
	for _, ev := range batch {
		if ev.effect.verdict == wire.ClaimWaiting {
			u.awaitOutcome(now, ev.op)
			continue
		}
		r := Result{ID: ev.op.ID, Verdict: ev.effect.verdict, MayBeStored: ev.op.mayBeStored}
		if r.Verdict == wire.ClaimDone {
			r.Status, r.Answer = ev.effect.entry.Status, ev.effect.entry.Answer
		}
		u.results = append(u.results, r)
	}
}

// awaitOutcome adds an operation to those that wait until its key is no longer
// claimed, and reports ClaimWaiting the first time.
func (u *Updater) awaitOutcome(now time.Time, op *pendingOp) {
	// An operation that waits again keeps the poll interval that was reached.
	if len(u.awaiting) == 0 && !op.waitReported {
		u.pollInterval = minPollInterval
		u.nextPoll = now.Add(u.pollInterval)
	}
	u.awaiting = append(u.awaiting, op)
	if !op.waitReported {
		op.waitReported = true
		u.results = append(u.results, Result{ID: op.ID, Verdict: wire.ClaimWaiting})
	}
}

// requeueUnclaimed makes waiting operations pending again if their key is no
// longer claimed.
func (u *Updater) requeueUnclaimed() {
	stillClaimed := u.awaiting[:0]
	for _, op := range u.awaiting {
		e, ok := u.cached.Entry(op.KeyHash)
		if ok && e.State == Claimed {
			stillClaimed = append(stillClaimed, op)
			continue
		}
		u.pending = append(u.pending, op)
	}
	clear(u.awaiting[len(stillClaimed):])
	u.awaiting = stillClaimed
}

// expireOps gives up operations past their deadline. While platform calls fail, it
// also gives up each ClaimTake that was submitted MaxPlatformDownWait ago and has
// not been reported as waiting.
func (u *Updater) expireOps(now time.Time) {
	u.pending = u.removeExpired(now, u.pending)
	u.awaiting = u.removeExpired(now, u.awaiting)
}

// removeExpired returns the operations that are not given up yet and appends a
// result for each of the others.
func (u *Updater) removeExpired(now time.Time, ops []*pendingOp) []*pendingOp {
	kept := ops[:0]
	for _, op := range ops {
		if now.Before(u.giveUpAt(op)) {
			kept = append(kept, op)
			continue
		}
		r := Result{ID: op.ID, Verdict: wire.ClaimUnavailable, MayBeStored: op.mayBeStored}
		if op.waitReported {
			r.Verdict = wire.ClaimUnknown
		}
		u.results = append(u.results, r)
	}
	clear(ops[len(kept):])
	return kept
}

// giveUpAt returns when an operation is given up.
func (u *Updater) giveUpAt(op *pendingOp) time.Time {
	downLimit := op.submitted.Add(MaxPlatformDownWait)
	if op.Step == wire.ClaimTake && !op.waitReported && u.consecutiveFailures > 0 && downLimit.Before(op.Deadline) {
		return downLimit
	}
	return op.Deadline
}

// NextWakeup returns the earliest time at which Next has something to do, provided
// that no operation is submitted and no reply arrives before then. It reports false
// if there is no such time.
func (u *Updater) NextWakeup(now time.Time) (time.Time, bool) {
	var at time.Time
	earliest := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, op := range u.pending {
		earliest(u.giveUpAt(op))
	}
	for _, op := range u.awaiting {
		earliest(u.giveUpAt(op))
	}
	if len(u.pending) > 0 {
		earliest(laterOf(u.retryAt, u.bucket.readyAt(now)))
	}
	if len(u.awaiting) > 0 {
		earliest(laterOf(u.retryAt, u.nextPoll))
	}
	return at, !at.IsZero()
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// removeByID removes the operation with the given ID, unless it may already be
// stored.
func removeByID(ops []*pendingOp, id uint64) []*pendingOp {
	kept := ops[:0]
	for _, op := range ops {
		if op.ID != id || op.mayBeStored {
			kept = append(kept, op)
		}
	}
	clear(ops[len(kept):])
	return kept
}

// tokenBucket limits the rate of writes: up to burst writes at once, and
// ratePerSecond on average.
type tokenBucket struct {
	ratePerSecond, burst, tokens float64
	refilledAt                   time.Time
}

func newTokenBucket(ratePerSecond, burst float64, now time.Time) tokenBucket {
	return tokenBucket{ratePerSecond: ratePerSecond, burst: burst, tokens: burst, refilledAt: now}
}

// refill adds the tokens for the time since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.ratePerSecond)
		b.refilledAt = now
	}
}

// take removes one token and reports whether there was one.
func (b *tokenBucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// readyAt returns when the next token is available, rounded up so that a timer
// set to that time does not fire too early.
func (b *tokenBucket) readyAt(now time.Time) time.Time {
	b.refill(now)
	if b.tokens >= 1 {
		return now
	}
	return now.Add(time.Duration((1-b.tokens)/b.ratePerSecond*float64(time.Second)) + time.Microsecond)
}
