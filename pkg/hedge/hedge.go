// Package hedge decides when a hedge is sent, how many extra attempts a service
// may receive beyond its primary sends, and which failed attempts may be
// retried. It performs no I/O.
package hedge

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// HedgeBudgetShare is the share of the extra-load budget on which the hedge
	// delay is based. The rest remains for retries.
	HedgeBudgetShare = 0.8
	// RetryReserveShare is the share of a full budget that TryTakeAboveReserve
	// leaves for retries.
	RetryReserveShare = 0.4
	// MinSamples is the number of latencies to observe before the first hedge.
	MinSamples = 32
	// NeverHedge is the hedge delay until MinSamples latencies were observed. It
	// is longer than any deadline.
	NeverHedge = time.Hour
	// MinDelay is the shortest hedge delay; an estimate below it is timer noise.
	MinDelay = time.Millisecond
	// DelayCapFactor times the upper quartile of the latencies is the longest
	// hedge delay. The observed latencies include those of stragglers: without
	// this cap, a share of stragglers above the budget would raise the delay
	// above their own latency, and no hedge would be sent in time.
	DelayCapFactor = 3.0
	// MinBurst is the smallest default burst.
	MinBurst = 10
	// BurstPerGroup times the number of groups of a query is the default burst.
	// When many queries meet one straggler at the same time, each needs a hedge.
	BurstPerGroup = 4

	upperQuartile = 0.75
	// delayRefreshSamples is the number of latencies between two computations of
	// the delay.
	delayRefreshSamples = 64
	// unitsPerAttempt is the fixed-point scale of the budget, which is counted in
	// integers so that small deposits are not lost to rounding.
	unitsPerAttempt = 1_000_000
)

// Config holds the parameters of a Policy.
type Config struct {
	// Groups is the number of groups that a query is sent to; 1 for a lookup.
	Groups int
	// TargetQuantile is the share of queries that must not wait for a straggler;
	// a value that is not between 0 and 1 sets no such target.
	TargetQuantile float64
	// ExtraLoad is the number of extra attempts allowed for each primary send.
	ExtraLoad float64
	// Burst is the number of extra attempts that a full budget allows at once; 0
	// selects a default that depends on Groups.
	Burst int
	// Window makes the budget that of a window of time: in any such window, extra attempts
	// are at most ExtraLoad of the primary sends plus BurstAttempts. Burst is not used then.
	Window        time.Duration
	BurstAttempts float64
}

// Policy computes the hedge delay and holds the budget of extra attempts of one
// service at one entry VM. It is safe for concurrent use.
//
// The budget is a token bucket: each primary send deposits a part of an attempt,
// each extra attempt takes a whole one.
type Policy struct {
	quantile float64
	// burstUnits, depositUnits and budgetUnits are the size of the bucket, the
	// deposit for each primary send and the current level, in
	// 1/unitsPerAttempt of an attempt.
	burstUnits   atomic.Int64
	depositUnits atomic.Int64
	budgetUnits  atomic.Int64
	delayNanos   atomic.Int64
	// window replaces budgetUnits if the budget is that of a window of time.
	window *windowBudget

	mu        sync.Mutex
	latencies histogram
}

// NewPolicy returns a policy with a full budget and no observed latencies.
func NewPolicy(c Config) *Policy {
	p := &Policy{quantile: Quantile(c)}
	p.burstUnits.Store(burstUnits(c))
	p.depositUnits.Store(depositUnits(c))
	if c.Window > 0 {
		p.window = newWindowBudget(c.Window, time.Now)
	}
	if depositUnits(c) > 0 {
		p.budgetUnits.Store(p.burstUnits.Load())
	}
	p.delayNanos.Store(int64(NeverHedge))
	return p
}

// ResizeBudget changes the burst and the deposits to those of another
// configuration. The level of the budget is scaled with the burst, so that a
// change does not refill a spent budget.
func (p *Policy) ResizeBudget(c Config) {
	p.depositUnits.Store(depositUnits(c))
	next := burstUnits(c)
	before := p.burstUnits.Swap(next)
	if before == next {
		return
	}
	for {
		have := p.budgetUnits.Load()
		kept := int64(float64(have) * float64(next) / float64(before))
		if p.budgetUnits.CompareAndSwap(have, kept) {
			return
		}
	}
}

// depositUnits returns the budget that one primary send adds.
func depositUnits(c Config) int64 {
	return int64(math.Round(math.Max(0, c.ExtraLoad) * unitsPerAttempt))
}

// burstUnits returns the extra attempts that a full budget allows without primary sends.
func burstUnits(c Config) int64 {
	if c.Window > 0 {
		return max(1, int64(c.BurstAttempts*unitsPerAttempt))
	}
	return int64(burstAttempts(c)) * unitsPerAttempt
}

// burstAttempts returns the number of extra attempts that a full budget allows.
func burstAttempts(c Config) int {
	if c.Burst > 0 {
		return c.Burst
	}
	return max(MinBurst, BurstPerGroup*c.Groups)
}

// Quantile returns the quantile of the group latencies at which a hedge is sent:
// the one at which hedges use up their share of the budget, or the one that each
// group must meet for the whole query to meet its target, whichever is lower.
func Quantile(c Config) float64 {
	budget := 1 - HedgeBudgetShare*math.Max(0, c.ExtraLoad)
	target := math.Pow(c.TargetQuantile, 1/math.Max(1, float64(c.Groups)))
	if c.TargetQuantile <= 0 || c.TargetQuantile >= 1 {
		return budget
	}
	return math.Min(budget, target)
}

// Burst returns the number of extra attempts that a full budget allows at
// once. Over any period extra attempts are at most Burst plus the budget's
// share of the primary sends.
func (p *Policy) Burst() int { return int(p.burstUnits.Load() / unitsPerAttempt) }

// Observe records the time that a group needed for its first answer.
func (p *Policy) Observe(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.latencies.add(latency)
	if n%delayRefreshSamples == 0 || n == MinSamples {
		p.delayNanos.Store(int64(p.computeDelay()))
	}
}

// Delay returns the time after which a hedge is sent to a group that has not
// answered.
func (p *Policy) Delay() time.Duration { return time.Duration(p.delayNanos.Load()) }

func (p *Policy) computeDelay() time.Duration {
	d := p.latencies.quantile(p.quantile)
	upper := time.Duration(DelayCapFactor * float64(p.latencies.quantile(upperQuartile)))
	return max(min(d, upper), MinDelay)
}

// RecordPrimarySends adds the deposits for n primary sends to the budget.
func (p *Policy) RecordPrimarySends(n int) {
	if p.window != nil {
		p.window.addPrimary(int64(max(0, n)))
		return
	}
	add := int64(max(0, n)) * p.depositUnits.Load()
	for {
		have := p.budgetUnits.Load()
		if p.budgetUnits.CompareAndSwap(have, min(p.burstUnits.Load(), have+add)) {
			return
		}
	}
}

// TryTakeExtra takes n extra attempts from the budget, all or none. The error is
// an *errs.Refusal with code BudgetSpent.
func (p *Policy) TryTakeExtra(n int) error {
	if p.window != nil {
		if !p.window.take(int64(max(0, n)), 0, p.windowUnits) {
			return errs.Refuse(errs.BudgetSpent, "extra-load budget of the window is spent")
		}
		return nil
	}
	take := int64(max(0, n)) * unitsPerAttempt
	for {
		have := p.budgetUnits.Load()
		if have < take {
			return errs.Refuse(errs.BudgetSpent, "extra-load budget allows %d of %d attempts", have/unitsPerAttempt, n)
		}
		if p.budgetUnits.CompareAndSwap(have, have-take) {
			return nil
		}
	}
}

// TryTakeAboveReserve is TryTakeExtra for hedges. It fails when the budget is
// below the reserve for retries, which replace sends that failed.
func (p *Policy) TryTakeAboveReserve(n int) error {
	if p.window != nil {
		total, left := p.windowLevel()
		if left-int64(n)*unitsPerAttempt < windowReserve(total) {
			return errs.Refuse(errs.BudgetSpent, "the rest of the extra-load budget is kept for retries")
		}
		return p.TryTakeExtra(n)
	}
	if p.BelowRetryReserve() {
		return errs.Refuse(errs.BudgetSpent, "the rest of the extra-load budget is kept for retries")
	}
	return p.TryTakeExtra(n)
}

// BelowRetryReserve reports whether the rest of the budget is reserved for
// retries.
func (p *Policy) BelowRetryReserve() bool {
	if p.window != nil {
		total, left := p.windowLevel()
		return float64(left) < RetryReserveShare*float64(total)
	}
	return float64(p.budgetUnits.Load()) < RetryReserveShare*float64(p.burstUnits.Load())
}

// windowUnits returns the whole budget of a window with the given primary sends.
func (p *Policy) windowUnits(primary int64) int64 {
	return p.burstUnits.Load() + primary*p.depositUnits.Load()
}

// windowLevel returns the whole budget of the window, and what is left of it.
func (p *Policy) windowLevel() (total, left int64) {
	p.window.mu.Lock()
	defer p.window.mu.Unlock()
	total, used := p.window.level(p.windowUnits)
	return total, total - used
}

// ForceTakeExtra takes n extra attempts even from a spent budget, down to a debt
// of one burst. It is for the first retry of a send whose upstream or owner was
// lost: the coverage of a query must not depend on the budget, but hedges and
// further retries wait until the debt is paid back.
func (p *Policy) ForceTakeExtra(n int) {
	if p.window != nil {
		p.window.take(int64(max(0, n)), -p.burstUnits.Load(), p.windowUnits)
		return
	}
	take := int64(max(0, n)) * unitsPerAttempt
	for {
		have := p.budgetUnits.Load()
		if p.budgetUnits.CompareAndSwap(have, max(have-take, -p.burstUnits.Load())) {
			return
		}
	}
}

// RetryAllowed reports whether a failed attempt may be sent again: it did not
// run, or the operation is idempotent. Errors that a retry cannot change are
// never retried.
func RetryAllowed(err error, idempotent bool) bool {
	r := errs.As(err)
	if r == nil || permanent(r.Code) {
		return false
	}
	return r.RunState == errs.DidNotRun || idempotent
}

// Misrouted reports whether an attempt reached a VM that does not own the replica
// and did not run there. Sending it again takes nothing from the budget.
func Misrouted(err error) bool {
	r := errs.As(err)
	if r == nil || r.RunState != errs.DidNotRun {
		return false
	}
	return r.Code == errs.NotOwner || r.Code == errs.StaleView
}

// permanent reports whether a retry would fail with the same code.
func permanent(code errs.Code) bool {
	switch code {
	case errs.InvalidRequest, errs.UnknownService, errs.UnknownOperation, errs.TooLarge,
		errs.Unauthorized, errs.KeyRequired, errs.KeyReused, errs.Poisoned, errs.OutcomeUnknown,
		errs.DeadlineExceeded, errs.Canceled, errs.BudgetSpent, errs.FrameTooLarge:
		return true
	default:
		return false
	}
}
