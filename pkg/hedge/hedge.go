// Package hedge decides when a second attempt is sent, how many second
// attempts a service may add to its load, and which failures may be repeated.
// It performs no I/O.
package hedge

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// HedgeShare is the part of the extra-load budget that the delay is
	// computed for. The rest stays for retries.
	HedgeShare = 0.8
	// RetryReserve is the share of a full budget that TryTakeAboveReserve leaves.
	RetryReserve = 0.4
	// MinSamples is the number of answers before the first hedge.
	MinSamples = 32
	// NeverHedge is the delay during warm-up. It is longer than any deadline.
	NeverHedge = time.Hour
	// MinDelay is the shortest delay; below it the estimate is timer noise.
	MinDelay = time.Millisecond
	// UpperFactor times the upper quartile bounds the delay. Stragglers are
	// part of the observed latencies, and a share of them above the budget
	// would otherwise move the delay behind their own answers.
	UpperFactor = 3.0
	// MinBurst is the least number of extra attempts that a full budget allows at once.
	MinBurst = 10
	// BurstQueries times the groups of a query is the burst of a search. A
	// straggler that many queries meet at once needs a hedge for each of them.
	BurstQueries = 4

	upperQuartile = 0.75
	// refreshEvery is the number of answers between two computations of the delay.
	refreshEvery = 64
	// tokenUnit makes the budget an integer, so that deposits are never lost to rounding.
	tokenUnit = 1_000_000
)

// Config describes one service.
type Config struct {
	// Groups is the number of groups of a query; 1 for a lookup.
	Groups int
	// TargetQuantile is the share of queries that must not wait for a straggler.
	TargetQuantile float64
	// ExtraLoad is the share of primary sends that extra attempts may add.
	ExtraLoad float64
	// Burst is the number of extra attempts that a full budget allows at once;
	// 0 stands for a number that fits the groups.
	Burst int
}

// Policy decides on the extra attempts of one service at one entry VM. It may
// be used by many goroutines.
type Policy struct {
	quantile float64
	burst    atomic.Int64
	deposit  atomic.Int64
	tokens   atomic.Int64
	delay    atomic.Int64

	mu        sync.Mutex
	histogram histogram
}

// NewPolicy returns a policy with a full budget and no latencies.
func NewPolicy(c Config) *Policy {
	p := &Policy{quantile: Quantile(c)}
	p.burst.Store(int64(burst(c)) * tokenUnit)
	p.deposit.Store(deposit(c))
	if deposit(c) > 0 {
		p.tokens.Store(p.burst.Load())
	}
	p.delay.Store(int64(NeverHedge))
	return p
}

// ResizeBudget changes the budget to that of another configuration. What was left of
// it stays in proportion, so that a change does not fill a budget that is spent.
func (p *Policy) ResizeBudget(c Config) {
	p.deposit.Store(deposit(c))
	next := int64(burst(c)) * tokenUnit
	before := p.burst.Swap(next)
	if before == next {
		return
	}
	for {
		have := p.tokens.Load()
		kept := int64(float64(have) * float64(next) / float64(before))
		if p.tokens.CompareAndSwap(have, kept) {
			return
		}
	}
}

func deposit(c Config) int64 {
	return int64(math.Round(math.Max(0, c.ExtraLoad) * tokenUnit))
}

func burst(c Config) int {
	if c.Burst > 0 {
		return c.Burst
	}
	return max(MinBurst, BurstQueries*c.Groups)
}

// Quantile returns the quantile of group latencies at which a hedge is sent:
// as early as the budget allows, but not after the quantile that each group
// must meet for the whole query to meet its target.
func Quantile(c Config) float64 {
	budget := 1 - HedgeShare*math.Max(0, c.ExtraLoad)
	target := math.Pow(c.TargetQuantile, 1/math.Max(1, float64(c.Groups)))
	if c.TargetQuantile <= 0 || c.TargetQuantile >= 1 {
		return budget
	}
	return math.Min(budget, target)
}

// Burst returns the number of extra attempts that a full budget allows at
// once. Over any period extra attempts are at most Burst plus the budget's
// share of the primary sends.
func (p *Policy) Burst() int { return int(p.burst.Load() / tokenUnit) }

// Observe takes in the time one group needed for its first answer.
func (p *Policy) Observe(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.histogram.add(latency)
	if n%refreshEvery == 0 || n == MinSamples {
		p.delay.Store(int64(p.compute()))
	}
}

// Delay returns the time after which a group without an answer gets a hedge.
func (p *Policy) Delay() time.Duration { return time.Duration(p.delay.Load()) }

func (p *Policy) compute() time.Duration {
	d := p.histogram.quantile(p.quantile)
	upper := time.Duration(UpperFactor * float64(p.histogram.quantile(upperQuartile)))
	return max(min(d, upper), MinDelay)
}

// RecordPrimarySends reports n primary sends.
func (p *Policy) RecordPrimarySends(n int) {
	add := int64(max(0, n)) * p.deposit.Load()
	for {
		have := p.tokens.Load()
		if p.tokens.CompareAndSwap(have, min(p.burst.Load(), have+add)) {
			return
		}
	}
}

// TryTakeExtra takes n extra attempts from the budget, all or none. The error is
// an *errs.Refusal with code BudgetSpent.
func (p *Policy) TryTakeExtra(n int) error {
	take := int64(max(0, n)) * tokenUnit
	for {
		have := p.tokens.Load()
		if have < take {
			return errs.Refuse(errs.BudgetSpent, "extra-load budget allows %d of %d attempts", have/tokenUnit, n)
		}
		if p.tokens.CompareAndSwap(have, have-take) {
			return nil
		}
	}
}

// TryTakeAboveReserve is TryTakeExtra for sends that are only a precaution. It leaves a part
// of the budget to the replacement of sends that failed.
func (p *Policy) TryTakeAboveReserve(n int) error {
	if p.BelowRetryReserve() {
		return errs.Refuse(errs.BudgetSpent, "the rest of the extra-load budget is kept for retries")
	}
	return p.TryTakeExtra(n)
}

// BelowRetryReserve reports whether what is left of the budget is kept for the replacement
// of sends that failed.
func (p *Policy) BelowRetryReserve() bool {
	return float64(p.tokens.Load()) < RetryReserve*float64(p.burst.Load())
}

// ForceTakeExtra takes n extra attempts from the budget even when it is spent, down to
// a debt of one burst. It is for the first replacement of a send whose upstream
// or owner was lost: coverage must not depend on the budget, but hedges and
// further retries then wait until the debt is paid.
func (p *Policy) ForceTakeExtra(n int) {
	take := int64(max(0, n)) * tokenUnit
	for {
		have := p.tokens.Load()
		if p.tokens.CompareAndSwap(have, max(have-take, -p.burst.Load())) {
			return
		}
	}
}

// RetryAllowed tells whether a failed attempt may be repeated: it did not run,
// or running it twice has the effect of running it once. Failures that a
// repetition cannot change are final.
func RetryAllowed(err error, idempotent bool) bool {
	r := errs.As(err)
	if r == nil || final(r.Code) {
		return false
	}
	return r.RunState == errs.DidNotRun || idempotent
}

// Misrouted tells whether the attempt reached a VM that does not own the replica
// and did not run there. It is sent again without touching the budget.
func Misrouted(err error) bool {
	r := errs.As(err)
	if r == nil || r.RunState != errs.DidNotRun {
		return false
	}
	return r.Code == errs.NotOwner || r.Code == errs.StaleView
}

func final(code errs.Code) bool {
	switch code {
	case errs.InvalidRequest, errs.UnknownService, errs.UnknownOperation, errs.TooLarge,
		errs.Unauthorized, errs.KeyRequired, errs.KeyReused, errs.Poisoned, errs.OutcomeUnknown,
		errs.DeadlineExceeded, errs.Canceled, errs.BudgetSpent, errs.FrameTooLarge:
		return true
	default:
		return false
	}
}
