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

// The fixed seed makes every test run generate the same cases. The flag
// -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func newTable() *Table { return NewTable(rand.New(rand.NewPCG(1, 2))) }

// newCandidates returns n replicas r0, r1, ... at the same distance.
func newCandidates(n int) []Candidate {
	c := make([]Candidate, n)
	for i := range c {
		c[i] = Candidate{Replica: model.ReplicaID(fmt.Sprint("r", i)), Distance: 100 * time.Microsecond}
	}
	return c
}

// sendRequests picks a replica for each of n requests, one every 10 ms, and calls
// answer for each of them. It returns how often each replica was picked and the
// time of the last request.
func sendRequests(t *Table, now time.Time, c []Candidate, n int, answer func(now time.Time, r model.ReplicaID)) (map[model.ReplicaID]int, time.Time) {
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

// answerAfter returns a function that records an answer with the latency of the
// replica.
func (t *Table) answerAfter(latency func(model.ReplicaID) time.Duration) func(time.Time, model.ReplicaID) {
	return func(now time.Time, r model.ReplicaID) {
		t.Completed(now, r, latency(r), wire.LoadHint{Window: 1})
	}
}

// Guards against a replica that attracts load because it fails fast, both before
// and after its first answer, and against a recovered replica that gets no load.
func TestFastFailureIsNotPreferred(t *testing.T) {
	for _, warm := range []int{0, 100} {
		table, c := newTable(), newCandidates(3)
		healthy := table.answerAfter(func(model.ReplicaID) time.Duration { return 50 * ms })
		_, now := sendRequests(table, start, c, warm, healthy)
		picked, now := sendRequests(table, now, c, 3000, func(now time.Time, r model.ReplicaID) {
			if r == "r0" {
				table.Failed(now, r, errs.UpstreamFailed)
				return
			}
			healthy(now, r)
		})
		assert.Assert(t, picked["r0"] < 30, "%v", picked)
		picked, _ = sendRequests(table, now.Add(30*time.Second), c, 3000, healthy)
		assert.Assert(t, picked["r0"] > 500, "%v", picked)
	}
}

// Guards against a draw of two failing replicas that keeps the request from the
// only healthy one.
func TestTwoFailingReplicasDoNotHideTheThird(t *testing.T) {
	table, c := newTable(), newCandidates(3)
	_, now := sendRequests(table, start, c, 100, table.answerAfter(func(model.ReplicaID) time.Duration { return 10 * ms }))
	for _, r := range []model.ReplicaID{"r0", "r1"} {
		table.Failed(now, r, errs.UpstreamLost)
	}
	for range 200 {
		choice, _ := table.Pick(now, c)
		assert.Equal(t, choice.Replica, model.ReplicaID("r2"))
	}
}

// Guards against load on a slow replica, and against a slow replica that is never
// tried again and so gets no load after it recovered.
func TestStragglerIsAvoidedAndTriedAgain(t *testing.T) {
	table, c := newTable(), newCandidates(3)
	slow := table.answerAfter(func(r model.ReplicaID) time.Duration {
		if r == "r0" {
			return 200 * ms
		}
		return 10 * ms
	})
	_, now := sendRequests(table, start, c, 100, slow)
	picked, now := sendRequests(table, now, c, 6000, slow)
	assert.Assert(t, picked["r0"] > 0 && picked["r0"] <= 6, "%v in 60 s", picked)
	fast := table.answerAfter(func(model.ReplicaID) time.Duration { return 10 * ms })
	_, now = sendRequests(table, now, c, 2000, fast)
	picked, _ = sendRequests(table, now, c, 300, fast)
	assert.Assert(t, picked["r0"] > 30, "%v", picked)
}

// Guards against a new replica that gets many requests before its first answer
// because nothing is known about its latency.
func TestUnknownReplicaGetsOneRequest(t *testing.T) {
	table, c := newTable(), newCandidates(3)
	_, now := sendRequests(table, start, c[:2], 100, table.answerAfter(func(model.ReplicaID) time.Duration { return 10 * ms }))
	for range 20 {
		table.Sent(now, "r0")
		table.Sent(now, "r1")
	}
	picked, _ := sendRequests(table, now, c, 1000, func(now time.Time, r model.ReplicaID) {
		if r != "r2" {
			table.Completed(now, r, 10*ms, wire.LoadHint{Window: 3})
		}
	})
	assert.Equal(t, picked["r2"], 1)
}

// Guards against a choice that ignores the distance of equally loaded replicas,
// and against a near replica that is preferred although it is overloaded.
func TestDistanceAndLoad(t *testing.T) {
	table, c := newTable(), newCandidates(3)
	c[0].Distance = 10 * time.Microsecond
	c[1].Distance = 30 * ms
	c[2].Distance = 30 * ms
	near := func(model.ReplicaID) time.Duration { return 10 * ms }
	_, now := sendRequests(table, start, c, 300, table.answerAfter(near))
	picked, now := sendRequests(table, now, c, 1000, table.answerAfter(near))
	assert.Assert(t, picked["r0"] > 900, "%v", picked)
	picked, now = sendRequests(table, now, c[:2], 1000, table.answerAfter(near))
	assert.Assert(t, picked["r0"] >= 999, "%v; r1 is explored once in 10 s", picked)
	for range 20 {
		table.Sent(now, "r0")
	}
	choice, _ := table.Pick(now, c)
	assert.Assert(t, choice.Replica != "r0")
	for range 20 {
		table.Canceled(now, "r0")
	}
	choice, _ = table.Pick(now, c[:1])
	assert.Equal(t, choice.Reason, ReasonOnlyCandidate)
	assert.Assert(t, choice.Expected < 15*ms, "%s", choice.Expected)
}

// Guards against a load hint of an owner that is ignored, and against one that
// still counts long after the queue has changed.
func TestHintAges(t *testing.T) {
	table, c := newTable(), newCandidates(1)
	table.Completed(start, "r0", 10*ms, wire.LoadHint{Window: 1})
	idle, _ := table.Pick(start, c)
	table.Completed(start, "r0", 110*ms, wire.LoadHint{Outstanding: 10, Window: 1})
	loaded, _ := table.Pick(start, c)
	assert.Assert(t, loaded.Expected > 10*idle.Expected, "%s %s", loaded.Expected, idle.Expected)
	later, _ := table.Pick(start.Add(10*HintHalfLife), c)
	assert.Assert(t, later.Expected < idle.Expected*11/10, "%s %s", later.Expected, idle.Expected)
}

// Guards against statistics of removed replicas that are never freed, so that
// memory grows with the number of replicas ever configured.
func TestUnusedReplicasAreForgotten(t *testing.T) {
	table, now := newTable(), start
	for i := range 100_000 {
		now = now.Add(time.Second)
		table.Canceled(now, model.ReplicaID(fmt.Sprint(i)))
	}
	kept := 0
	for i := range table.stripes {
		kept += len(table.stripes[i].replicas)
	}
	assert.Assert(t, kept <= stripeCount*sweepThreshold+int(UnusedRetention.Seconds()), "%d", kept)
}

// Compares random sequences of outcomes with a simple model. Guards against a
// choice outside the candidates, a replica that is chosen although it is not
// better in any respect and much slower, and a wrong count of outstanding
// requests.
func TestModelTable(t *testing.T) {
	type replicaModel struct {
		outstanding, failures int
		latency               time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		table, c, now := newTable(), newCandidates(2), start
		model := map[model.ReplicaID]*replicaModel{"r0": {}, "r1": {}}
		for _, r := range c {
			latency := time.Duration(rapid.IntRange(1, 100).Draw(t, "latency")) * ms
			model[r.Replica].latency = latency
			table.Completed(now, r.Replica, latency, wire.LoadHint{Window: 1})
		}
		draw := func(t *rapid.T) (Candidate, *replicaModel) {
			r := rapid.SampledFrom(c).Draw(t, "replica")
			return r, model[r.Replica]
		}
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(t *rapid.T) {
				r, f := draw(t)
				table.Sent(now, r.Replica)
				f.outstanding++
			},
			"canceled": func(t *rapid.T) {
				r, f := draw(t)
				table.Canceled(now, r.Replica)
				f.outstanding = max(0, f.outstanding-1)
			},
			"failed": func(t *rapid.T) {
				r, f := draw(t)
				code := rapid.SampledFrom([]errs.Code{errs.UpstreamLost, errs.NotOwner, errs.Canceled}).Draw(t, "code")
				table.Failed(now, r.Replica, code)
				f.outstanding = max(0, f.outstanding-1)
				if code == errs.UpstreamLost {
					f.failures++
				}
			},
			"completed": func(t *rapid.T) {
				r, f := draw(t)
				if f.failures == 0 {
					table.Completed(now, r.Replica, f.latency, wire.LoadHint{Window: 1})
					f.outstanding = max(0, f.outstanding-1)
				}
			},
			"": func(t *rapid.T) {
				choice, ok := table.Pick(now, c)
				assert.Assert(t, ok)
				assert.Equal(t, choice.CandidateCount, 2)
				got, other := model["r0"], model["r1"]
				if choice.Replica == "r1" {
					got, other = other, got
				} else {
					assert.Equal(t, choice.Replica, c[0].Replica)
				}
				worse := got.outstanding >= other.outstanding && got.failures >= other.failures && got.latency > other.latency*4/3
				assert.Assert(t, !worse, "%+v chosen, not %+v", got, other)
				for id, f := range model {
					assert.Equal(t, table.statsOf(id).ownOutstanding, f.outstanding)
				}
			},
		})
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{1, 3, 8, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, c := newTable(), newCandidates(n)
			sendRequests(table, start, c, 100*n, table.answerAfter(func(model.ReplicaID) time.Duration { return 10 * ms }))
			b.ReportAllocs()
			for b.Loop() {
				table.Pick(start, c)
			}
		})
	}
}

// BenchmarkQuery measures the table's work for one query that is sent to every
// group.
func BenchmarkQuery(b *testing.B) {
	for _, groups := range []int{15, 100, 770} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			table := newTable()
			all := make([][]Candidate, groups)
			for i := range all {
				all[i] = newCandidates(8)
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
