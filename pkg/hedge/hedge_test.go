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

// A fixed seed gives every test run the same verdict; a flag overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

type scenario struct {
	groups     int
	stragglers float64 // share of attempts that take 20 times as long
	hedge      bool
}

// simulate returns the p99 of queries, and the extra attempts per primary send.
func simulate(s scenario) (p99 time.Duration, extra float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := NewPolicy(Config{Groups: s.groups, TargetQuantile: 0.99, ExtraLoad: 0.05})
	attempt := func() time.Duration {
		d := 4*ms + time.Duration(rng.ExpFloat64()*float64(6*ms))
		if rng.Float64() < s.stragglers {
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
			d := attempt()
			if delay := p.Delay(); s.hedge && d > delay && p.TryTakeExtra(1) == nil {
				extras++
				d = min(d, delay+attempt())
			}
			p.Observe(d)
			slowest = max(slowest, d)
		}
		latencies = append(latencies, slowest)
	}
	slices.Sort(latencies)
	return latencies[queries*99/100], float64(extras) / float64(queries*s.groups)
}

// Guards against a delay that lets stragglers determine the latency of
// queries, and against hedges beyond the budget.
func TestStragglersWithinTheDesignTargets(t *testing.T) {
	for _, s := range []scenario{
		{groups: 1, stragglers: 0.03}, {groups: 15, stragglers: 0.01},
		{groups: 15, stragglers: 0.02}, {groups: 100, stragglers: 0.005},
	} {
		steady, _ := simulate(scenario{groups: s.groups})
		plain, _ := simulate(s)
		s.hedge = true
		p99, extra := simulate(s)
		t.Logf("%3d groups, %.1f%% stragglers: p99 steady %s, no hedges %s, hedges %s with %.2f%% extra",
			s.groups, 100*s.stragglers, steady, plain, p99, 100*extra)
		assert.Assert(t, p99 <= steady*3/2)
		assert.Assert(t, extra <= 0.05+0.001)
	}
}

// Guards against a delay that follows the stragglers when there are more of
// them than the budget covers.
func TestManyStragglersDoNotMoveTheDelay(t *testing.T) {
	p := NewPolicy(Config{Groups: 15, TargetQuantile: 0.99, ExtraLoad: 0.05})
	for i := range 4 * generation {
		latency := 10 * ms
		if i%5 == 0 {
			latency = time.Second
		}
		p.Observe(latency)
	}
	assert.Assert(t, p.Delay() <= 33*ms, "%s", p.Delay())
}

// Guards against hedges before anything is known, and a delay that remembers
// the latencies of an earlier time.
func TestWarmUpAndDecay(t *testing.T) {
	p := NewPolicy(Config{Groups: 1, TargetQuantile: 0.99, ExtraLoad: 0.05})
	for range MinSamples {
		assert.Equal(t, p.Delay(), NeverHedge)
		p.Observe(100 * ms)
	}
	assert.Assert(t, p.Delay() >= 100*ms && p.Delay() < 110*ms)
	for range 2 * generation {
		p.Observe(10 * ms)
	}
	assert.Assert(t, p.Delay() >= 10*ms && p.Delay() < 11*ms)
	for range 2 * generation {
		p.Observe(0)
	}
	assert.Equal(t, p.Delay(), MinDelay)
}

// Guards against a repeated request that may have run, and against retries of
// failures that a retry cannot change.
func TestRetryAllowedAndMisrouted(t *testing.T) {
	for _, c := range []struct {
		err             error
		legal, repeated bool // not idempotent, idempotent
		moved           bool
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
		assert.Equal(t, RetryAllowed(c.err, false), c.legal, "%v", c.err)
		assert.Equal(t, RetryAllowed(c.err, true), c.repeated, "%v", c.err)
		assert.Equal(t, Misrouted(c.err), c.moved, "%v", c.err)
	}
}

// TestModelPolicy compares the budget with a sum and the delay with the sorted
// latencies. It guards against extra load beyond share and burst, refusals
// while there is budget, and a wrong quantile.
func TestModelPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Groups:         rapid.IntRange(0, 40).Draw(t, "groups"),
			TargetQuantile: rapid.Float64Range(0, 1).Draw(t, "target"),
			ExtraLoad:      rapid.SampledFrom([]float64{0, 0.01, 0.05, 0.5}).Draw(t, "extra"),
		}
		p := NewPolicy(c)
		tokens := float64(p.Burst())
		if c.ExtraLoad == 0 {
			tokens = 0
		}
		extra, rounding := c.ExtraLoad, 0.0
		var seen []time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"primary": func(t *rapid.T) {
				n := rapid.IntRange(0, 100).Draw(t, "n")
				p.RecordPrimarySends(n)
				tokens = min(float64(p.Burst()), tokens+float64(n)*extra)
			},
			"extra": func(t *rapid.T) {
				n := rapid.IntRange(1, 8).Draw(t, "n")
				err := p.TryTakeExtra(n)
				if err == nil {
					assert.Assert(t, tokens+1e-9 >= float64(n), "%f", tokens)
					tokens -= float64(n)
					return
				}
				assert.Assert(t, errs.Is(err, errs.BudgetSpent))
				assert.Assert(t, tokens+1e-9-rounding < float64(n), "%f", tokens)
			},
			"resize": func(t *rapid.T) {
				before := p.Burst()
				extra = rapid.SampledFrom([]float64{0.01, 0.05, 0.5}).Draw(t, "resized extra")
				p.ResizeBudget(Config{Burst: rapid.IntRange(1, 60).Draw(t, "burst"), ExtraLoad: extra})
				ratio := float64(p.Burst()) / float64(before)
				tokens *= ratio
				// Resize rounds down to the unit of the budget.
				rounding = rounding*ratio + 1.0/tokenUnit
			},
			"observe": func(t *rapid.T) {
				rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
				spread := rapid.Int64Range(1, 5000).Draw(t, "spread")
				for range refreshEvery {
					d := ms + time.Duration(rng.Int64N(spread))*ms
					seen = append(seen, d)
					p.Observe(d)
				}
				// The older generation is dropped as a whole.
				old := max(0, (len(seen)-1)/generation-1) * generation
				exact := slices.Sorted(slices.Values(seen[old:]))
				// One rank to either side covers rounding; a bucket is 9% wide.
				within := func(offset float64) float64 {
					at := func(q float64) time.Duration {
						rank := int(q*float64(len(exact)) + offset)
						return exact[max(0, min(len(exact)-1, rank))]
					}
					return float64(max(MinDelay, min(at(Quantile(c)), 3*at(upperQuartile))))
				}
				got := float64(p.Delay())
				assert.Assert(t, got >= 0.99*within(-2) && got <= 1.11*within(1), "%s", p.Delay())
			},
			"": func(t *rapid.T) { assert.Assert(t, p.tokens.Load() >= 0) },
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

func BenchmarkPrimaryDelayExtra(b *testing.B) {
	p := NewPolicy(Config{Groups: 15, TargetQuantile: 0.99, ExtraLoad: 0.05})
	b.ReportAllocs()
	for b.Loop() {
		p.RecordPrimarySends(20)
		_ = p.Delay()
		_ = p.TryTakeExtra(1)
	}
}
