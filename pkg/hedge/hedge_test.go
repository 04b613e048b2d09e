package hedge

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
)

const ms = time.Millisecond

// A fixed default seed makes every test run check the same cases; the flag
// -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

type scenario struct {
	groups         int
	stragglerShare float64 // share of attempts that take 20 times as long
	hedge          bool
}

// simulate returns the p99 latency of the queries and the number of extra
// attempts per primary send.
func simulate(s scenario) (p99 time.Duration, extraLoad float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := NewPolicy(Config{Groups: s.groups, TargetQuantile: 0.99, ExtraLoad: 0.05})
	attemptLatency := func() time.Duration {
		d := 4*ms + time.Duration(rng.ExpFloat64()*float64(6*ms))
		if rng.Float64() < s.stragglerShare {
			d *= 20
		}
		return d
	}
	const queries = 6_000
	var extras int
	latencies := make([]time.Duration, 0, queries)
	for range queries {
		p.RecordPrimarySends(s.groups)
		slowest := time.Duration(0)
		for range s.groups {
			d := attemptLatency()
			if delay := p.Delay(); s.hedge && d > delay && p.TryTakeExtra(1) == nil {
				extras++
				d = min(d, delay+attemptLatency())
			}
			p.Observe(d)
			slowest = max(slowest, d)
		}
		latencies = append(latencies, slowest)
	}
	slices.Sort(latencies)
	return latencies[queries*99/100], float64(extras) / float64(queries*s.groups)
}

// Guards against a hedge delay so long that stragglers determine the latency of
// queries, and against more hedges than the budget allows.
func TestStragglersWithinTheDesignTargets(t *testing.T) {
	for _, s := range []scenario{
		{groups: 1, stragglerShare: 0.03}, {groups: 15, stragglerShare: 0.01},
		{groups: 15, stragglerShare: 0.02}, {groups: 100, stragglerShare: 0.005},
	} {
		noStragglers, _ := simulate(scenario{groups: s.groups})
		noHedges, _ := simulate(s)
		s.hedge = true
		p99, extraLoad := simulate(s)
		t.Logf("%3d groups, %.1f%% stragglers: p99 %s without stragglers, %s without hedges, %s with hedges at %.2f%% extra load",
			s.groups, 100*s.stragglerShare, noStragglers, noHedges, p99, 100*extraLoad)
		assert.Assert(t, p99 <= noStragglers*3/2)
		assert.Assert(t, extraLoad <= 0.05+0.001)
	}
}

// Guards against a hedge delay that rises to the latency of the stragglers when
// there are more of them than the budget covers.
func TestManyStragglersDoNotRaiseTheDelay(t *testing.T) {
	p := NewPolicy(Config{Groups: 15, TargetQuantile: 0.99, ExtraLoad: 0.05})
	for i := range 4 * generationSize {
		latency := 10 * ms
		if i%5 == 0 {
			latency = time.Second
		}
		p.Observe(latency)
	}
	assert.Assert(t, p.Delay() <= 33*ms, "%s", p.Delay())
}

// Guards against hedges before enough latencies were observed, and against a
// delay that still depends on latencies older than two generations.
func TestNoHedgeBeforeMinSamplesAndOldLatenciesExpire(t *testing.T) {
	p := NewPolicy(Config{Groups: 1, TargetQuantile: 0.99, ExtraLoad: 0.05})
	for range MinSamples {
		assert.Equal(t, p.Delay(), NeverHedge)
		p.Observe(100 * ms)
	}
	assert.Assert(t, p.Delay() >= 100*ms && p.Delay() < 110*ms)
	for range 2 * generationSize {
		p.Observe(10 * ms)
	}
	assert.Assert(t, p.Delay() >= 10*ms && p.Delay() < 11*ms)
	for range 2 * generationSize {
		p.Observe(0)
	}
	assert.Equal(t, p.Delay(), MinDelay)
}

// Guards against a retry of a non-idempotent request that may have run, and
// against retries of errors that a retry cannot change.
func TestRetryAllowedAndMisrouted(t *testing.T) {
	for _, c := range []struct {
		err               error
		allowed           bool // to retry an operation that is not idempotent
		allowedIdempotent bool
		misrouted         bool
	}{
		{nil, false, false, false},
		{errors.New("unknown"), false, true, false},
		{errs.Ambiguous(errs.UpstreamLost, ""), false, true, false},
		{errs.Refuse(errs.UpstreamShed, ""), true, true, false},
		{errs.Refuse(errs.Poisoned, ""), false, false, false},
		{errs.Refuse(errs.DeadlineExceeded, ""), false, false, false},
		{errs.Ambiguous(errs.OutcomeUnknown, ""), false, false, false},
		{errs.Refuse(errs.NotOwner, ""), true, true, true},
		{fmt.Errorf("sent: %w", errs.Refuse(errs.StaleView, "")), true, true, true},
		{errs.Ambiguous(errs.NotOwner, ""), false, true, false},
	} {
		assert.Equal(t, RetryAllowed(c.err, false), c.allowed, "%v", c.err)
		assert.Equal(t, RetryAllowed(c.err, true), c.allowedIdempotent, "%v", c.err)
		assert.Equal(t, Misrouted(c.err), c.misrouted, "%v", c.err)
	}
}

// TestModelPolicy compares the budget with a running sum and the delay with
// quantiles of the sorted latencies. It guards against more extra load than the
// deposits and the burst allow, refusals while the budget suffices, and a wrong
// quantile.
func TestModelPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Groups:         rapid.IntRange(0, 40).Draw(t, "groups"),
			TargetQuantile: rapid.Float64Range(0, 1).Draw(t, "target"),
			ExtraLoad:      rapid.SampledFrom([]float64{0, 0.01, 0.05, 0.5}).Draw(t, "extra"),
		}
		p := NewPolicy(c)
		budget := float64(p.Burst())
		if c.ExtraLoad == 0 {
			budget = 0
		}
		extra, rounding := c.ExtraLoad, 0.0
		var seen []time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"primary": func(t *rapid.T) {
				n := rapid.IntRange(0, 100).Draw(t, "n")
				p.RecordPrimarySends(n)
				budget = min(float64(p.Burst()), budget+float64(n)*extra)
			},
			"extra": func(t *rapid.T) {
				n := rapid.IntRange(1, 8).Draw(t, "n")
				err := p.TryTakeExtra(n)
				if err == nil {
					assert.Assert(t, budget+1e-9 >= float64(n), "%f", budget)
					budget -= float64(n)
					return
				}
				assert.Assert(t, errs.Is(err, errs.BudgetSpent))
				assert.Assert(t, budget+1e-9-rounding < float64(n), "%f", budget)
			},
			"resize": func(t *rapid.T) {
				before := p.Burst()
				extra = rapid.SampledFrom([]float64{0.01, 0.05, 0.5}).Draw(t, "resized extra")
				p.ResizeBudget(Config{Burst: rapid.IntRange(1, 60).Draw(t, "burst"), ExtraLoad: extra})
				ratio := float64(p.Burst()) / float64(before)
				budget *= ratio
				// ResizeBudget rounds down to a multiple of 1/unitsPerAttempt.
				rounding = rounding*ratio + 1.0/unitsPerAttempt
			},
			"observe": func(t *rapid.T) {
				rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
				spread := rapid.Int64Range(1, 5000).Draw(t, "spread")
				for range delayRefreshSamples {
					d := ms + time.Duration(rng.Int64N(spread))*ms
					seen = append(seen, d)
					p.Observe(d)
				}
				// The older generation is dropped as a whole.
				old := max(0, (len(seen)-1)/generationSize-1) * generationSize
				exact := slices.Sorted(slices.Values(seen[old:]))
				// The rank offsets allow for the rounding of the rank, the factors
				// 0.99 and 1.11 for the width of a bucket, which is 9%.
				expected := func(rankOffset float64) float64 {
					at := func(q float64) time.Duration {
						rank := int(q*float64(len(exact)) + rankOffset)
						return exact[max(0, min(len(exact)-1, rank))]
					}
					return float64(max(MinDelay, min(at(Quantile(c)), 3*at(upperQuartile))))
				}
				got := float64(p.Delay())
				assert.Assert(t, got >= 0.99*expected(-2) && got <= 1.11*expected(1), "%s", p.Delay())
			},
			"": func(t *rapid.T) { assert.Assert(t, p.budgetUnits.Load() >= 0) },
		})
	})
}

func BenchmarkObserve(b *testing.B) {
	p := NewPolicy(Config{Groups: 15, TargetQuantile: 0.99, ExtraLoad: 0.05})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		d := ms
		for pb.Next() {
			d = d%(50*ms) + 100*time.Microsecond
			p.Observe(d)
		}
	})
}

func BenchmarkRecordDelayTake(b *testing.B) {
	p := NewPolicy(Config{Groups: 15, TargetQuantile: 0.99, ExtraLoad: 0.05})
	b.ReportAllocs()
	for b.Loop() {
		p.RecordPrimarySends(20)
		_ = p.Delay()
		_ = p.TryTakeExtra(1)
	}
}
