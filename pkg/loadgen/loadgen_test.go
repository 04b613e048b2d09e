package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// scripted answers after a time and counts what it was sent.
type scripted struct {
	mu     sync.Mutex
	takes  time.Duration
	refuse int // sends refused before the first answer, for each key
	copies map[string][]int
	sends  int
}

func (t *scripted) Search(ctx context.Context, s Sent) Result { return t.Call(ctx, s) }

func (t *scripted) Call(_ context.Context, s Sent) Result {
	time.Sleep(t.takes)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends++
	if s.Key == "" {
		return Result{Body: []byte("{}")}
	}
	t.copies[s.Key] = append(t.copies[s.Key], s.Copy)
	if len(t.copies[s.Key]) <= t.refuse {
		return Result{Code: "outcome_unknown", Ran: "may_have_run"}
	}
	return Result{Body: []byte("{}")}
}

func body(*rand.Rand, int) []byte { return []byte(`{}`) }

// Guards against a load that waits for answers: with a slow tier it would
// send less, and latency would hide the time that requests waited.
func TestLoadIsOpenLoop(t *testing.T) {
	run := func(takes time.Duration) *Report {
		var r *Report
		synctest.Test(t, func(t *testing.T) {
			g := &Generator{
				Target:   &scripted{takes: takes},
				Requests: []Request{{Service: "a", Operation: "read", PerSecond: 100, Body: body}, {Service: "b", Body: body}},
				Seed:     7,
			}
			r = g.Run(t.Context(), 2*time.Second)
		})
		return r
	}
	fast, slow := run(time.Millisecond), run(700*time.Millisecond)
	assert.Equal(t, fast.Sent, slow.Sent)
	assert.Assert(t, fast.Sent > 150 && fast.Sent < 250, "sent %d", fast.Sent)
	for _, s := range slow.Samples {
		assert.Equal(t, s.Took, 700*time.Millisecond)
	}
}

// Guards against a rate that the load does not follow.
func TestRateMultipliesArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Generator{
			Target:   &scripted{},
			Requests: []Request{{Service: "a", Operation: "read", PerSecond: 100, Body: body}},
			Seed:     7,
			Rate: func(at time.Duration) float64 {
				if at < time.Second {
					return 1
				}
				return 3
			},
		}
		r := g.Run(t.Context(), 2*time.Second)
		early := 0
		for _, s := range r.Samples {
			if s.At < time.Second {
				early++
			}
		}
		late := len(r.Samples) - early
		assert.Assert(t, late > 2*early && late < 4*early, "%d early, %d late", early, late)
	})
}

// Guards against copies of a booking that all go to one VM, and against
// resending after an answer.
func TestResendsUntilAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &scripted{refuse: 2, copies: make(map[string][]int)}
		g := &Generator{
			Target: target,
			Requests: []Request{{
				Service: "a", Operation: "book", PerSecond: 50, Once: true, Body: body,
				Resends: 4, ResendAfter: 100 * time.Millisecond,
			}},
			Seed: 7,
		}
		r := g.Run(t.Context(), time.Second)
		assert.Assert(t, len(r.Once) > 20)
		for _, copies := range target.copies {
			assert.DeepEqual(t, copies, []int{0, 2, 3})
		}
	})
	b := NewBalancer(nil)
	b.ready = []Backend{{Callers: "vm-1"}, {Callers: "vm-2"}, {Callers: "vm-3"}}
	first, _ := b.pick(Sent{Key: "k"}, 1)
	second, _ := b.pick(Sent{Key: "k", Copy: 1}, 1)
	assert.Assert(t, first != second)
}
