package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	servers     = 8
	serviceMean = 10 * ms
	duration    = 20 * time.Second
)

type arrival struct {
	at, service, patience time.Duration
	caller                string
}

// arrivals draws Poisson arrivals at a multiple of the capacity of the servers.
func arrivals(rng *rand.Rand, load float64, caller func(i int) string) []arrival {
	var all []arrival
	gap := float64(serviceMean) / servers / load
	for at, i := time.Duration(0), 0; at < duration; i++ {
		at += time.Duration(rng.ExpFloat64() * gap)
		all = append(all, arrival{
			at:       at,
			service:  serviceMean/2 + time.Duration(rng.ExpFloat64()*float64(serviceMean/2)),
			patience: 30*ms + time.Duration(rng.Int64N(int64(170*ms))),
			caller:   caller(i),
		})
	}
	return all
}

type policy interface {
	offer(now time.Time, id uint64, a arrival) (start bool)
	done(now time.Time, id uint64, took time.Duration) (start []uint64)
}

type controlled struct{ c *Controller }

func (p controlled) offer(now time.Time, id uint64, a arrival) bool {
	p.c.Expire(now)
	t := Request{ID: id, Service: "s", Class: model.Search, Caller: a.caller, Deadline: start.Add(a.at + a.patience)}
	return p.c.Offer(now, t).Verdict == Granted
}

func (p controlled) done(now time.Time, id uint64, took time.Duration) []uint64 {
	return p.c.Done(now, id, took)
}

// fifo is the baseline: everything waits and is served in the order of arrival.
type fifo struct {
	running int
	queue   []uint64
}

func (p *fifo) offer(_ time.Time, id uint64, _ arrival) bool {
	if p.running == servers {
		p.queue = append(p.queue, id)
		return false
	}
	p.running++
	return true
}

func (p *fifo) done(time.Time, uint64, time.Duration) []uint64 {
	if len(p.queue) == 0 {
		p.running--
		return nil
	}
	id := p.queue[0]
	p.queue = p.queue[1:]
	return []uint64{id}
}

// simulate runs the arrivals and returns the answers in time of each caller.
func simulate(all []arrival, p policy) map[string]int {
	type event struct {
		at time.Duration
		id uint64
	}
	var ends []event // ordered by time
	good := map[string]int{}
	run := func(now time.Duration, id uint64) {
		e := event{now + all[id].service, id}
		at, _ := slices.BinarySearchFunc(ends, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		ends = slices.Insert(ends, at, e)
	}
	finish := func(until time.Duration) {
		for len(ends) > 0 && ends[0].at <= until {
			e := ends[0]
			ends = ends[1:]
			a := all[e.id]
			if e.at <= a.at+a.patience && e.at <= duration {
				good[a.caller]++
			}
			for _, id := range p.done(start.Add(e.at), e.id, a.service) {
				run(e.at, id)
			}
		}
	}
	for id, a := range all {
		finish(a.at)
		if p.offer(start.Add(a.at), uint64(id), a) {
			run(a.at, uint64(id))
		}
	}
	return good
}

func newControlled() controlled {
	c := NewController(Config{})
	c.Configure(map[model.ServiceID]Limits{"s": {Concurrency: servers, Queue: 128}})
	return controlled{c}
}

// Guards against answers that arrive too late to be used while the load is
// beyond capacity (design target: 90% of the best goodput at three times capacity).
func TestGoodputUnderOverload(t *testing.T) {
	names := func(i int) string { return fmt.Sprint("caller", i%10) }
	goodput := map[float64]float64{}
	best := 0.0
	for _, load := range []float64{0.5, 1, 2, 3} {
		all := arrivals(rand.New(rand.NewPCG(1, 2)), load, names)
		total := func(p policy) float64 {
			n := 0
			for _, good := range simulate(all, p) {
				n += good
			}
			return float64(n) / duration.Seconds()
		}
		plain := total(&fifo{})
		goodput[load] = total(newControlled())
		best = max(best, goodput[load])
		t.Logf("load %.1f: offered %.0f/s, goodput first in first out %.0f/s, admission %.0f/s",
			load, float64(len(all))/duration.Seconds(), plain, goodput[load])
	}
	for _, load := range []float64{1, 2, 3} {
		assert.Assert(t, goodput[load] >= 0.9*best, "load %.0f: %.0f of %.0f", load, goodput[load], best)
	}
}

// Guards against a caller whose flood takes the share of the others.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	names := func(i int) string {
		if i%30 == 0 {
			return "modest" // 10% of the capacity at three times the load
		}
		return "flood"
	}
	all := arrivals(rand.New(rand.NewPCG(1, 2)), 3, names)
	good := simulate(all, newControlled())
	offered := len(all) / 30
	t.Logf("modest caller: %d of %d in time, flood: %d of %d", good["modest"], offered, good["flood"], len(all)-offered)
	assert.Assert(t, good["modest"] >= offered*95/100)
}
