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

// A fixed seed gives every test run the same verdict; a flag overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// drive completes requests one after the other for d and returns the time after it.
func drive(w *Window, now time.Time, d, service time.Duration) time.Time {
	end := now.Add(d)
	for now.Before(end) {
		now = now.Add(service)
		w.RecordCompletion(now, service)
		now = now.Add(w.IdleGap())
	}
	return now
}

func warm(t *testing.T) (*Window, time.Time) {
	t.Helper()
	w := New(Config{Slots: 3, ColdWindow: 0.1}, start)
	now := drive(w, start, 6*time.Second, 10*ms)
	assert.Equal(t, w.Concurrency(), 3)
	return w, now
}

// Guards against a replica that gets full load right after its start, and one
// that is kept from its slots for long.
func TestGrowsToFullSlotsWithinSeconds(t *testing.T) {
	for _, service := range []time.Duration{ms, 10 * ms, 50 * ms, 100 * ms} {
		w := New(Config{Slots: 4, ColdWindow: 0.1}, start)
		now := start
		for w.Concurrency() < 4 {
			now = drive(w, now, service, service)
		}
		took := now.Sub(start).Seconds()
		t.Logf("service time %s: 4 slots after %.1f s", service, took)
		assert.Assert(t, took > 1 && took < 6)
	}
}

// Guards against growth that is owed to the passing of time and not to answers.
func TestIdleTimeIsNoEvidence(t *testing.T) {
	w := New(Config{Slots: 4, ColdWindow: 1}, start)
	w.RecordCompletion(start.Add(10*ms), 10*ms)
	before := w.Value()
	w.RecordCompletion(start.Add(time.Hour), 10*ms)
	assert.Assert(t, w.Value() < before*1.05, "%f to %f", before, w.Value())
}

// Guards against refusals and broken connections that leave the load as it was,
// and against counting one refusal of several requests more than once.
func TestShedAndLossHalve(t *testing.T) {
	for _, report := range []func(*Window, time.Time){(*Window).RecordShed, (*Window).RecordLoss} {
		w, now := warm(t)
		for range 3 {
			report(w, now)
		}
		assert.Equal(t, w.Value(), 1.5)
		for range 10 {
			now = now.Add(ReduceHold)
			report(w, now)
		}
		assert.Equal(t, w.Value(), MinWindow)
	}
	w, now := warm(t)
	w.RecordColdShed(now)
	assert.Equal(t, w.Value(), 0.1, "the replica says that it is cold")
}

// Guards against a replica that becomes cold without a word and keeps its load,
// and one whose slow answers count as normal before it is warm again.
func TestSilentColdPhase(t *testing.T) {
	w, now := warm(t)
	for range JumpRun - 1 {
		now = now.Add(35 * ms)
		w.RecordCompletion(now, 35*ms)
	}
	assert.Equal(t, w.Concurrency(), 3)
	now = drive(w, now.Add(35*ms), 5*time.Second, 35*ms)
	assert.Equal(t, w.Value(), 0.1)
	now = drive(w, now, time.Second, 25*ms)
	assert.Equal(t, w.Value(), 0.1)
	drive(w, now, 6*time.Second, 10*ms)
	assert.Equal(t, w.Concurrency(), 3)
}

// Guards against a baseline learned from a cold replica that hides the next cold phase.
func TestBaselineLearnedWhileColdFollowsDown(t *testing.T) {
	w := New(Config{Slots: 3, ColdWindow: 0.5}, start)
	now := drive(w, start, time.Second, 80*ms)
	for range 8 * blockSize {
		now = now.Add(10 * ms)
		w.RecordCompletion(now, 10*ms)
	}
	normal, _ := w.Baseline("")
	assert.Assert(t, normal < 20*ms, "%s", normal)
	now = drive(w, now, 4*time.Second, 10*ms)
	assert.Equal(t, w.Concurrency(), 3)
	drive(w, now, 2*time.Second, 80*ms)
	assert.Equal(t, w.Value(), 0.5)
}

// Guards against slow answers after a restart that grow the window because the
// baseline was forgotten or, with a seed, never known.
func TestRestartKeepsTheBaseline(t *testing.T) {
	w, now := warm(t)
	w.SetInstance(now, "a")
	assert.Equal(t, w.Concurrency(), 3)
	w.SetInstance(now, "")
	w.SetInstance(now, "b")
	assert.Equal(t, w.Value(), 0.1)
	drive(w, now, 3*time.Second, 25*ms)
	assert.Equal(t, w.Value(), 0.1)

	seeded := New(Config{Slots: 3, ColdWindow: 0.1}, start)
	seeded.SeedBaseline("", 10*ms)
	drive(seeded, start, 3*time.Second, 25*ms)
	assert.Equal(t, seeded.Value(), 0.1)
}

// Guards against a lasting change of the workload that keeps the window small for ever.
func TestLastingSlowdownBecomesNormal(t *testing.T) {
	w, now := warm(t)
	drive(w, now, 90*time.Second, 40*ms)
	assert.Equal(t, w.Concurrency(), 3)
}

// Guards against reductions because service times vary, a window that does not
// grow back after a refusal, and a cold phase that goes unnoticed because of the
// variation. With an earlier baseline, the median of 8 answers, an exponential
// distribution kept the window below 1 most of the time.
func TestVariationIsNoColdPhase(t *testing.T) {
	for _, c := range []struct {
		name string
		cold float64 // factor of a cold phase
		draw func(*rand.Rand) float64
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
		sum, n, highest := 0.0, 0.0, 0.0
		for cold := now.Add(15 * time.Second); now.Before(cold); n++ {
			complete(c.cold)
			sum += w.Value()
			highest = math.Max(highest, w.Value())
		}
		t.Logf("%s: answers take %.0f times as long, window %.2f on average, at most %.2f", c.name, c.cold, sum/n, highest)
		assert.Assert(t, sum/n < 0.5 && highest < 2, c.name)
	}
}

// Guards against reductions caused by a mix of quick and slow operations.
func TestOperationsHaveTheirOwnBaseline(t *testing.T) {
	w, now := warm(t)
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

// Guards against a takeover cap that is exceeded or lifted without evidence.
func TestCap(t *testing.T) {
	w, now := warm(t)
	w.SetTakeoverLimit(1)
	now = drive(w, now, time.Second, 10*ms)
	assert.Equal(t, w.Value(), 1.0)
	w.SetTakeoverLimit(0)
	assert.Equal(t, w.Value(), 1.0)
	drive(w, now, 2*time.Second, 10*ms)
	assert.Equal(t, w.Concurrency(), 3)
}

// TestModelWindow guards against a window outside its bounds, a growth faster
// than one doubling in DoubleAfter, and a shrink without cause.
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
				assert.Assert(t, w.Value() <= before*MaxStep)
				assert.Assert(t, w.Value() >= math.Min(before/2, w.cold))
			},
			"report": func(t *rapid.T) {
				before := w.Value()
				now = now.Add(ReduceHold)
				report.Draw(t, "report")(w, now)
				assert.Assert(t, w.Value() <= before/2 || w.Value() == MinWindow || w.Value() <= w.cold)
			},
			"cap": func(t *rapid.T) {
				limit = float64(rapid.IntRange(0, 4).Draw(t, "cap"))
				w.SetTakeoverLimit(limit)
			},
			"": check,
		})
	})
}

func BenchmarkCompleted(b *testing.B) {
	w := New(Config{Slots: 3, ColdWindow: 0.1}, start)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * ms)
		w.RecordCompletion(now, 10*ms)
	}
}
