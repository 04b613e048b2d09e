package fairqueue

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
)

var start = time.Unix(1000, 0)

// A fixed seed makes test runs repeatable; the flag rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// Guards against a caller whose queued requests leave no place for those of others.
func TestOneCallerCannotFillTheQueue(t *testing.T) {
	q := New(30)
	n := 0
	for ; q.CheckFit("many") == Fits; n++ {
		q.Push(Item{ID: uint64(n), Deadline: start, Caller: "many"})
	}
	assert.Equal(t, n, 20)
	assert.Equal(t, q.CheckFit("many"), ShareExceeded)
	assert.Equal(t, q.CheckFit("other"), Fits)
	for ; q.CheckFit(fmt.Sprint(n)) == Fits; n++ {
		q.Push(Item{ID: uint64(n), Deadline: start, Caller: fmt.Sprint(n)})
	}
	assert.Equal(t, q.Len(), 30)
	assert.Equal(t, q.CheckFit("other"), Full)
}

// Guards against memory that grows with the number of callers ever seen.
func TestIdleCallersAreForgotten(t *testing.T) {
	q := New(8)
	q.Push(Item{ID: 1, Deadline: start.Add(time.Hour), Caller: "stays", Exclusive: true})
	for i := range 10000 {
		q.Push(Item{ID: uint64(i + 2), Deadline: start, Caller: fmt.Sprint(i)})
		_, ok := q.Pop(start, false)
		assert.Assert(t, ok)
	}
	assert.Assert(t, len(q.callers) < 20, "%d", len(q.callers))
}

// Guards against a caller that is served again in the same round because it left the
// queue and came back, and against a new caller that waits for more than one request of
// a caller with many.
func TestEachCallerOncePerRound(t *testing.T) {
	q := New(30)
	served := func() uint64 {
		it, _ := q.Pop(start, true)
		return it.ID
	}
	q.Push(Item{ID: 1, Deadline: start.Add(time.Hour), Caller: "waits"})
	q.Push(Item{ID: 2, Deadline: start, Caller: "returns"})
	assert.Equal(t, served(), uint64(2))
	q.Push(Item{ID: 3, Deadline: start, Caller: "returns"})
	assert.Equal(t, served(), uint64(1))
	for id := uint64(4); id < 9; id++ {
		q.Push(Item{ID: id, Deadline: start, Caller: "returns"})
	}
	served()
	q.Push(Item{ID: 100, Deadline: start.Add(time.Hour), Caller: "newcomer"})
	served()
	assert.Equal(t, served(), uint64(100))
}

// Guards against a caller that is served several times in a row after rounds in which
// its exclusive requests had to wait.
func TestBlockedCallerDoesNotCatchUp(t *testing.T) {
	q := New(30)
	for id := range uint64(10) {
		q.Push(Item{ID: id, Deadline: start, Caller: "blocked", Exclusive: true})
		q.Push(Item{ID: 100 + id, Deadline: start.Add(time.Hour), Caller: "other"})
	}
	for range 8 {
		q.Pop(start, false)
	}
	served := map[string]int{}
	for range 4 {
		it, _ := q.Pop(start, true)
		served[it.Caller]++
	}
	assert.Assert(t, served["other"] >= 1)
}

// Compares the queue with a list under random operations. Guards against requests that
// are lost or returned twice, a wrong order by deadline within a caller, and a caller
// that is served more often than the rounds allow while another one waits.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(12)
		var model []Item
		var id uint64
		// passed counts, for each caller whose first request waits, the requests of each
		// other caller that were served meanwhile.
		passed := map[string]map[string]int{}
		served := map[string]bool{}
		drop := func(i int) {
			delete(passed, model[i].Caller)
			model = slices.Delete(model, i, i+1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				it := Item{
					ID:        id,
					Deadline:  start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Second),
					Caller:    rapid.SampledFrom([]string{"a", "a", "b", "b", "c", "d", "e", "f"}).Draw(t, "caller"),
					Exclusive: rapid.IntRange(0, 5).Draw(t, "exclusive") == 0,
				}
				if q.CheckFit(it.Caller) != Fits {
					return
				}
				own := slices.ContainsFunc(model, func(o Item) bool { return o.Caller == it.Caller })
				if !own {
					passed[it.Caller] = map[string]int{}
				}
				if it.Exclusive {
					delete(passed, it.Caller)
				}
				q.Push(it)
				model = append(model, it)
				assert.Assert(t, len(model) <= 12)
			},
			"pop": func(t *rapid.T) {
				earliest := start.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "earliest")) * time.Second)
				exclusive := rapid.Bool().Draw(t, "exclusive")
				may := func(it Item) bool {
					return !it.Deadline.Before(earliest) && (exclusive || !it.Exclusive)
				}
				it, ok := q.Pop(earliest, exclusive)
				assert.Equal(t, ok, slices.ContainsFunc(model, may))
				if !ok {
					return
				}
				at := slices.Index(model, it)
				assert.Assert(t, at >= 0 && may(it))
				for _, o := range model {
					assert.Assert(t, o.Caller != it.Caller || !may(o) || !o.Deadline.Before(it.Deadline))
				}
				drop(at)
				served[it.Caller] = true
				for waiting, seen := range passed {
					first := slices.IndexFunc(model, func(o Item) bool { return o.Caller == waiting })
					if may(model[first]) {
						seen[it.Caller]++
						bound := 1
						if served[waiting] {
							bound = 2
						}
						assert.Assert(t, seen[it.Caller] <= bound, "%s is served again while %s waits", it.Caller, waiting)
					}
				}
			},
			"expire": func(t *rapid.T) {
				earliest := start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "earliest")) * time.Second)
				ids := q.Expire(earliest)
				for i := len(model) - 1; i >= 0; i-- {
					out := model[i].Deadline.Before(earliest)
					assert.Equal(t, slices.Contains(ids, model[i].ID), out)
					if out {
						drop(i)
					}
				}
			},
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(1, id+1).Draw(t, "id")
				at := slices.IndexFunc(model, func(o Item) bool { return o.ID == id })
				assert.Equal(t, q.Remove(id), at >= 0)
				if at >= 0 {
					drop(at)
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(model))
				if len(model) == 0 {
					clear(served)
				}
			},
		})
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, n := range []int{16, 256, 1024} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := New(10 * n)
			for i := range n {
				q.Push(Item{ID: uint64(i), Deadline: start.Add(time.Duration(i)), Caller: fmt.Sprint(i % 8)})
			}
			b.ReportAllocs()
			for b.Loop() {
				it, _ := q.Pop(start, true)
				q.Push(it)
			}
		})
	}
}
