package ramp

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// The fixed seed makes test runs reproducible; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// answerFor answers requests one after the other for the duration d and returns the
// time at its end.
func answerFor(w *Window, now time.Time, d, service time.Duration) time.Time {
	end := now.Add(d)
	for now.Before(end) {
		now = now.Add(service)
		w.RecordCompletion(now, service)
		now = now.Add(w.IdleGap())
	}
	return now
}

// newWarmWindow returns a window that has reached its 3 slots at a service time of 10 ms.
func newWarmWindow(t *testing.T) (*Window, time.Time) {
	t.Helper()
	w := New(Config{Slots: 3, ColdWindow: 0.1}, start)
	now := answerFor(w, start, 6*time.Second, 10*ms)
	assert.Equal(t, w.Concurrency(), 3)
	return w, now
}

// Guards against a replica that gets full load right after its start, and one that
// gets too little load for long.
func TestGrowsToFullSlotsWithinSeconds(t *testing.T) {
	for _, service := range []time.Duration{ms, 10 * ms, 50 * ms, 100 * ms} {
		w := New(Config{Slots: 4, ColdWindow: 0.1}, start)
		now := start
		for w.Concurrency() < 4 {
			now = answerFor(w, now, service, service)
		}
		took := now.Sub(start).Seconds()
		t.Logf("service time %s: 4 slots after %.1f s", service, took)
		assert.Assert(t, took > 1 && took < 6)
	}
}

// Guards against a window that grows with the passing of time instead of with answers.
func TestIdleTimeDoesNotGrowWindow(t *testing.T) {
	w := New(Config{Slots: 4, ColdWindow: 1}, start)
	w.RecordCompletion(start.Add(10*ms), 10*ms)
	before := w.Value()
	w.RecordCompletion(start.Add(time.Hour), 10*ms)
	assert.Assert(t, w.Value() < before*1.05, "%f to %f", before, w.Value())
}

// Guards against refusals and broken connections that do not reduce the load, and
// against a refusal of several concurrent requests that counts more than once.
func TestShedAndLossHalveWindow(t *testing.T) {
	for _, report := range []func(*Window, time.Time){(*Window).RecordShed, (*Window).RecordLoss} {
		w, now := newWarmWindow(t)
		for range 3 {
			report(w, now)
		}
		assert.Equal(t, w.Value(), 1.5)
		for range 10 {
			now = now.Add(MinReductionInterval)
			report(w, now)
		}
		assert.Equal(t, w.Value(), MinWindow)
	}
	w, now := newWarmWindow(t)
	w.RecordColdShed(now)
	assert.Equal(t, w.Value(), 0.1, "a cold refusal resets the window to its cold size")
}

// Guards against a replica that becomes cold without a refusal or a restart and
// keeps its load, and against slow answers that count as normal before the replica
// is warm again.
func TestSilentColdPhase(t *testing.T) {
	w, now := newWarmWindow(t)
	for range JumpRunLength - 1 {
		now = now.Add(35 * ms)
		w.RecordCompletion(now, 35*ms)
	}
	assert.Equal(t, w.Concurrency(), 3)
	now = answerFor(w, now.Add(35*ms), 5*time.Second, 35*ms)
	assert.Equal(t, w.Value(), 0.1)
	now = answerFor(w, now, time.Second, 25*ms)
	assert.Equal(t, w.Value(), 0.1)
	answerFor(w, now, 6*time.Second, 10*ms)
	assert.Equal(t, w.Concurrency(), 3)
}

// Guards against a baseline that was measured on a cold replica, is kept, and hides
// the next cold phase.
func TestBaselineMeasuredWhileColdDecreases(t *testing.T) {
	w := New(Config{Slots: 3, ColdWindow: 0.5}, start)
	now := answerFor(w, start, time.Second, 80*ms)
	for range 8 * answersPerBlock {
		now = now.Add(10 * ms)
		w.RecordCompletion(now, 10*ms)
	}
	serviceTime, _ := w.Baseline("")
	assert.Assert(t, serviceTime < 20*ms, "%s", serviceTime)
	now = answerFor(w, now, 4*time.Second, 10*ms)
	assert.Equal(t, w.Concurrency(), 3)
	answerFor(w, now, 2*time.Second, 80*ms)
	assert.Equal(t, w.Value(), 0.5)
}

// Guards against slow answers after a restart that grow the window because the
// baseline was dropped or because a seeded baseline is not used.
func TestRestartKeepsBaseline(t *testing.T) {
	w, now := newWarmWindow(t)
	w.SetInstance(now, "a")
	assert.Equal(t, w.Concurrency(), 3)
	w.SetInstance(now, "")
	w.SetInstance(now, "b")
	assert.Equal(t, w.Value(), 0.1)
	answerFor(w, now, 3*time.Second, 25*ms)
	assert.Equal(t, w.Value(), 0.1)

	seeded := New(Config{Slots: 3, ColdWindow: 0.1}, start)
	seeded.SeedBaseline("", 10*ms)
	answerFor(seeded, start, 3*time.Second, 25*ms)
	assert.Equal(t, seeded.Value(), 0.1)
}

// Guards against a permanent change of the workload that keeps the window small forever.
func TestPermanentSlowdownBecomesNormal(t *testing.T) {
	w, now := newWarmWindow(t)
	answerFor(w, now, 90*time.Second, 40*ms)
	assert.Equal(t, w.Concurrency(), 3)
}

// Guards against reductions because service times vary, a window that does not grow
// again after a refusal, and a cold phase that is not detected because of the
// variation. A baseline that was the median of 8 answers kept the window below 1
// most of the time under an exponential distribution.
func TestVariationIsNoColdPhase(t *testing.T) {
	for _, c := range []struct {
		name       string
		coldFactor float64 // factor on the service time in a cold phase
		draw       func(*rand.Rand) float64
	}{
		{"exponential", 4, (*rand.Rand).ExpFloat64},
		{"log-normal", 4, func(r *rand.Rand) float64 { return math.Exp(r.NormFloat64()) }},
		{"a fifth at 10 times", 8, func(r *rand.Rand) float64 { return 1 + 9*math.Floor(1.25*r.Float64()) }},
		{"a twentieth at 20 times", 4, func(r *rand.Rand) float64 { return 1 + 19*math.Floor(r.Float64()/0.95) }},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		w := New(Config{Slots: 3, ColdWindow: 0.1}, start)
		now, full, busy := start, 0.0, 0.0
		complete := func(factor float64) {
			service := time.Duration(factor * c.draw(rng) * float64(10*ms))
			now = now.Add(service)
			w.RecordCompletion(now, service)
			now = now.Add(w.IdleGap())
			busy += float64(service + w.IdleGap())
			if w.Concurrency() == 3 {
				full += float64(service)
			}
		}
		for i := range 100_000 {
			complete(1)
			if i%2000 == 1999 {
				w.RecordShed(now)
			}
		}
		t.Logf("%s: %.1f%% of the time at full slots", c.name, 100*full/busy)
		assert.Assert(t, full > 0.8*busy, c.name)
		w.Restart(now)
		sum, count, highest := 0.0, 0.0, 0.0
		for end := now.Add(15 * time.Second); now.Before(end); count++ {
			complete(c.coldFactor)
			sum += w.Value()
			highest = math.Max(highest, w.Value())
		}
		t.Logf("%s: answers take %.0f times as long, window %.2f on average, at most %.2f", c.name, c.coldFactor, sum/count, highest)
		assert.Assert(t, sum/count < 0.5 && highest < 2, c.name)
	}
}

// Guards against reductions caused by a mix of fast and slow operations.
func TestOperationsHaveTheirOwnBaseline(t *testing.T) {
	w, now := newWarmWindow(t)
	for i := range 1000 {
		op, service := "check", ms
		if i%128 >= 64 {
			op, service = "search", 20*ms
		}
		now = now.Add(service)
		w.RecordOperationCompletion(now, op, service)
		assert.Equal(t, w.Concurrency(), 3)
	}
	for i := range 100 {
		w.baselineOf(string(rune('a' + i)))
	}
	assert.Assert(t, len(w.baselines) <= maxOperations+1)
}

// Guards against a takeover limit that is exceeded, and against a window that grows
// without an answer when the limit is removed.
func TestTakeoverLimit(t *testing.T) {
	w, now := newWarmWindow(t)
	w.SetTakeoverLimit(1)
	now = answerFor(w, now, time.Second, 10*ms)
	assert.Equal(t, w.Value(), 1.0)
	w.SetTakeoverLimit(0)
	assert.Equal(t, w.Value(), 1.0)
	answerFor(w, now, 2*time.Second, 10*ms)
	assert.Equal(t, w.Concurrency(), 3)
}

// Guards against a window outside its bounds, growth by more than MaxGrowthFactor
// per answer, and a reduction without cause.
func TestModelWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		cold := rapid.Float64Range(0, 2).Draw(t, "cold")
		now := start
		w := New(Config{Slots: slots, ColdWindow: cold}, now)
		limit := 0.0
		check := func(*rapid.T) {
			assert.Assert(t, w.Value() >= MinWindow && w.Value() <= float64(slots))
			assert.Assert(t, limit == 0 || w.Value() <= limit)
			assert.Assert(t, w.Concurrency() >= 1 && w.Concurrency() <= slots)
			assert.Assert(t, w.IdleGap() >= 0 && w.IdleGap() <= MaxIdleGap)
			assert.Assert(t, w.Value() < 1 || w.IdleGap() == 0)
		}
		report := rapid.SampledFrom([]func(*Window, time.Time){(*Window).RecordShed, (*Window).RecordLoss, (*Window).Restart})
		t.Repeat(map[string]func(*rapid.T){
			"completed": func(t *rapid.T) {
				service := time.Duration(rapid.IntRange(1, 500).Draw(t, "service")) * ms
				idle := time.Duration(rapid.IntRange(0, 2000).Draw(t, "idle")) * ms
				before := w.Value()
				now = now.Add(service + idle)
				w.RecordCompletion(now, service)
				assert.Assert(t, w.Value() <= before*MaxGrowthFactor)
				assert.Assert(t, w.Value() >= math.Min(before/2, w.coldWindow))
			},
			"report": func(t *rapid.T) {
				before := w.Value()
				now = now.Add(MinReductionInterval)
				report.Draw(t, "report")(w, now)
				assert.Assert(t, w.Value() <= before/2 || w.Value() == MinWindow || w.Value() <= w.coldWindow)
			},
			"cap": func(t *rapid.T) {
				limit = float64(rapid.IntRange(0, 4).Draw(t, "cap"))
				w.SetTakeoverLimit(limit)
			},
			"": check,
		})
	})
}

func BenchmarkRecordCompletion(b *testing.B) {
	w := New(Config{Slots: 3, ColdWindow: 0.1}, start)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * ms)
		w.RecordCompletion(now, 10*ms)
	}
}
