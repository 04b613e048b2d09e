package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// A fixed seed gives every test run the same verdict; a flag overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func newTable() *Table { return NewTable(rand.New(rand.NewPCG(1, 2))) }

func group(n int) []Candidate {
	c := make([]Candidate, n)
	for i := range c {
		c[i] = Candidate{Replica: model.ReplicaID(fmt.Sprint("r", i)), Distance: 100 * time.Microsecond}
	}
	return c
}

// run sends n requests, one each 10 ms, and answers each of them as told.
func run(t *Table, now time.Time, c []Candidate, n int, answer func(now time.Time, r model.ReplicaID)) (map[model.ReplicaID]int, time.Time) {
	picked := map[model.ReplicaID]int{}
	for range n {
		now = now.Add(10 * ms)
		choice, _ := t.Pick(now, c)
		t.Sent(now, choice.Replica)
		answer(now, choice.Replica)
		picked[choice.Replica]++
	}
	return picked, now
}

func (t *Table) answer(latency func(model.ReplicaID) time.Duration) func(time.Time, model.ReplicaID) {
	return func(now time.Time, r model.ReplicaID) {
		t.Completed(now, r, latency(r), wire.LoadHint{Window: 1})
	}
}

// Guards against a replica that attracts load because it fails at once, before
// and after its first answer, and against one that gets no load after it recovered.
func TestFastFailureIsNotPreferred(t *testing.T) {
	for _, warm := range []int{0, 100} {
		table, c := newTable(), group(3)
		healthy := table.answer(func(model.ReplicaID) time.Duration { return 50 * ms })
		_, now := run(table, start, c, warm, healthy)
		picked, now := run(table, now, c, 3000, func(now time.Time, r model.ReplicaID) {
			if r == "r0" {
				table.Failed(now, r, errs.UpstreamFailed)
				return
			}
			healthy(now, r)
		})
		assert.Assert(t, picked["r0"] < 30, "%v", picked)
		picked, _ = run(table, now.Add(30*time.Second), c, 3000, healthy)
		assert.Assert(t, picked["r0"] > 500, "%v", picked)
	}
}

// Guards against the only good replica being missed because the draw returned two bad ones.
func TestTwoFailingReplicasDoNotHideTheThird(t *testing.T) {
	table, c := newTable(), group(3)
	_, now := run(table, start, c, 100, table.answer(func(model.ReplicaID) time.Duration { return 10 * ms }))
	for _, r := range []model.ReplicaID{"r0", "r1"} {
		table.Failed(now, r, errs.UpstreamLost)
	}
	for range 200 {
		choice, _ := table.Pick(now, c)
		assert.Equal(t, choice.Replica, model.ReplicaID("r2"))
	}
}

// Guards against load on a straggler, and against one that is never tried again.
func TestStragglerIsAvoidedAndTriedAgain(t *testing.T) {
	table, c := newTable(), group(3)
	slow := table.answer(func(r model.ReplicaID) time.Duration {
		if r == "r0" {
			return 200 * ms
		}
		return 10 * ms
	})
	_, now := run(table, start, c, 100, slow)
	picked, now := run(table, now, c, 6000, slow)
	assert.Assert(t, picked["r0"] > 0 && picked["r0"] <= 6, "%v in 60 s", picked)
	fast := table.answer(func(model.ReplicaID) time.Duration { return 10 * ms })
	_, now = run(table, now, c, 2000, fast)
	picked, _ = run(table, now, c, 300, fast)
	assert.Assert(t, picked["r0"] > 30, "%v", picked)
}

// Guards against a new replica that is flooded before its first answer.
func TestUnknownReplicaGetsOneRequest(t *testing.T) {
	table, c := newTable(), group(3)
	_, now := run(table, start, c[:2], 100, table.answer(func(model.ReplicaID) time.Duration { return 10 * ms }))
	for range 20 {
		table.Sent(now, "r0")
		table.Sent(now, "r1")
	}
	picked, _ := run(table, now, c, 1000, func(now time.Time, r model.ReplicaID) {
		if r != "r2" {
			table.Completed(now, r, 10*ms, wire.LoadHint{Window: 3})
		}
	})
	assert.Equal(t, picked["r2"], 1)
}

// Guards against load that ignores distance, and distance that ignores load.
func TestDistanceAndLoad(t *testing.T) {
	table, c := newTable(), group(3)
	c[0].Distance = 10 * time.Microsecond
	c[1].Distance = 30 * ms
	c[2].Distance = 30 * ms
	near := func(model.ReplicaID) time.Duration { return 10 * ms }
	_, now := run(table, start, c, 300, table.answer(near))
	picked, now := run(table, now, c, 1000, table.answer(near))
	assert.Assert(t, picked["r0"] > 900, "%v", picked)
	picked, now = run(table, now, c[:2], 1000, table.answer(near))
	assert.Assert(t, picked["r0"] >= 999, "%v; the other one is explored once in 10 s", picked)
	for range 20 {
		table.Sent(now, "r0")
	}
	choice, _ := table.Pick(now, c)
	assert.Assert(t, choice.Replica != "r0")
	for range 20 {
		table.Canceled(now, "r0")
	}
	choice, _ = table.Pick(now, c[:1])
	assert.Equal(t, choice.Reason, ReasonOnly)
	assert.Assert(t, choice.Expected < 15*ms, "%s", choice.Expected)
}

// Guards against an owner's report on its queue that is ignored, or believed
// long after the queue has changed.
func TestHintAges(t *testing.T) {
	table, c := newTable(), group(1)
	table.Completed(start, "r0", 10*ms, wire.LoadHint{Window: 1})
	idle, _ := table.Pick(start, c)
	table.Completed(start, "r0", 110*ms, wire.LoadHint{Outstanding: 10, Window: 1})
	loaded, _ := table.Pick(start, c)
	assert.Assert(t, loaded.Expected > 10*idle.Expected, "%s %s", loaded.Expected, idle.Expected)
	later, _ := table.Pick(start.Add(10*HintHalfLife), c)
	assert.Assert(t, later.Expected < idle.Expected*11/10, "%s %s", later.Expected, idle.Expected)
}

// Guards against memory that grows with the number of replicas ever configured.
func TestUnusedReplicasAreForgotten(t *testing.T) {
	table, now := newTable(), start
	for i := range 100_000 {
		now = now.Add(time.Second)
		table.Canceled(now, model.ReplicaID(fmt.Sprint(i)))
	}
	kept := 0
	for i := range table.shards {
		kept += len(table.shards[i].replicas)
	}
	assert.Assert(t, kept <= shardCount*sweepAbove+int(RetainFor.Seconds()), "%d", kept)
}

// TestModelTable guards against a choice outside the candidates, a replica that
// is chosen although the other one is better in each respect, and a count of
// outstanding work that drifts.
func TestModelTable(t *testing.T) {
	type facts struct {
		own, failures int
		latency       time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		table, c, now := newTable(), group(2), start
		model := map[model.ReplicaID]*facts{"r0": {}, "r1": {}}
		for _, r := range c {
			latency := time.Duration(rapid.IntRange(1, 100).Draw(t, "latency")) * ms
			model[r.Replica].latency = latency
			table.Completed(now, r.Replica, latency, wire.LoadHint{Window: 1})
		}
		draw := func(t *rapid.T) (Candidate, *facts) {
			r := rapid.SampledFrom(c).Draw(t, "replica")
			return r, model[r.Replica]
		}
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(t *rapid.T) {
				r, f := draw(t)
				table.Sent(now, r.Replica)
				f.own++
			},
			"canceled": func(t *rapid.T) {
				r, f := draw(t)
				table.Canceled(now, r.Replica)
				f.own = max(0, f.own-1)
			},
			"failed": func(t *rapid.T) {
				r, f := draw(t)
				code := rapid.SampledFrom([]errs.Code{errs.UpstreamLost, errs.NotOwner, errs.Canceled}).Draw(t, "code")
				table.Failed(now, r.Replica, code)
				f.own = max(0, f.own-1)
				if code == errs.UpstreamLost {
					f.failures++
				}
			},
			"completed": func(t *rapid.T) {
				r, f := draw(t)
				if f.failures == 0 {
					table.Completed(now, r.Replica, f.latency, wire.LoadHint{Window: 1})
					f.own = max(0, f.own-1)
				}
			},
			"": func(t *rapid.T) {
				choice, ok := table.Pick(now, c)
				assert.Assert(t, ok)
				assert.Equal(t, choice.Considered, 2)
				got, other := model["r0"], model["r1"]
				if choice.Replica == "r1" {
					got, other = other, got
				} else {
					assert.Equal(t, choice.Replica, c[0].Replica)
				}
				worse := got.own >= other.own && got.failures >= other.failures && got.latency > other.latency*4/3
				assert.Assert(t, !worse, "%+v chosen, not %+v", got, other)
				for id, f := range model {
					assert.Equal(t, table.find(id).own, f.own)
				}
			},
		})
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{1, 3, 8, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, c := newTable(), group(n)
			run(table, start, c, 100*n, table.answer(func(model.ReplicaID) time.Duration { return 10 * ms }))
			b.ReportAllocs()
			for b.Loop() {
				table.Pick(start, c)
			}
		})
	}
}

func BenchmarkQuery(b *testing.B) {
	for _, groups := range []int{15, 100, 770} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			table := newTable()
			all := make([][]Candidate, groups)
			for i := range all {
				all[i] = group(8)
				for j := range all[i] {
					all[i][j].Replica += model.ReplicaID(fmt.Sprint("-", i))
				}
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				now := start
				for pb.Next() {
					now = now.Add(ms)
					for _, c := range all {
						choice, _ := table.Pick(now, c)
						table.Sent(now, choice.Replica)
						table.Completed(now, choice.Replica, 10*ms, wire.LoadHint{Window: 3})
					}
				}
			})
		})
	}
}
