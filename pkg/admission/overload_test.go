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
	servers         = 8
	meanServiceTime = 10 * ms
	duration        = 20 * time.Second
)

// arrival is a request of a simulated load; at is the time since the start of
// the simulation.
type arrival struct {
	at, serviceTime, timeout time.Duration
	caller                   string
}

// arrivals draws Poisson arrivals whose rate is load times the capacity of the
// servers.
func arrivals(rng *rand.Rand, load float64, caller func(i int) string) []arrival {
	var all []arrival
	meanGap := float64(meanServiceTime) / servers / load
	for at, i := time.Duration(0), 0; at < duration; i++ {
		at += time.Duration(rng.ExpFloat64() * meanGap)
		all = append(all, arrival{
			at:          at,
			serviceTime: meanServiceTime/2 + time.Duration(rng.ExpFloat64()*float64(meanServiceTime/2)),
			timeout:     30*ms + time.Duration(rng.Int64N(int64(170*ms))),
			caller:      caller(i),
		})
	}
	return all
}

// policy decides which of the arrived requests run.
type policy interface {
	offer(now time.Time, id uint64, a arrival) (start bool)
	done(now time.Time, id uint64, serviceTime time.Duration) (start []uint64)
}

// admissionPolicy runs the requests that a Controller grants.
type admissionPolicy struct{ controller *Controller }

func (p admissionPolicy) offer(now time.Time, id uint64, a arrival) bool {
	p.controller.Expire(now)
	r := Request{ID: id, Service: "s", Class: model.Search, Caller: a.caller, Deadline: start.Add(a.at + a.timeout)}
	return p.controller.Offer(now, r).Verdict == Granted
}

func (p admissionPolicy) done(now time.Time, id uint64, serviceTime time.Duration) []uint64 {
	return p.controller.Done(now, id, serviceTime)
}

// fifoPolicy is the baseline: all requests wait and run in the order of arrival.
type fifoPolicy struct {
	running int
	queue   []uint64
}

func (p *fifoPolicy) offer(_ time.Time, id uint64, _ arrival) bool {
	if p.running == servers {
		p.queue = append(p.queue, id)
		return false
	}
	p.running++
	return true
}

func (p *fifoPolicy) done(time.Time, uint64, time.Duration) []uint64 {
	if len(p.queue) == 0 {
		p.running--
		return nil
	}
	id := p.queue[0]
	p.queue = p.queue[1:]
	return []uint64{id}
}

// simulate runs the arrivals and returns the number of answers before the
// deadline for each caller.
func simulate(all []arrival, p policy) map[string]int {
	type event struct {
		at time.Duration
		id uint64
	}
	var ends []event // ordered by time
	inTime := map[string]int{}
	run := func(now time.Duration, id uint64) {
		e := event{now + all[id].serviceTime, id}
		at, _ := slices.BinarySearchFunc(ends, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		ends = slices.Insert(ends, at, e)
	}
	finish := func(until time.Duration) {
		for len(ends) > 0 && ends[0].at <= until {
			e := ends[0]
			ends = ends[1:]
			a := all[e.id]
			if e.at <= a.at+a.timeout && e.at <= duration {
				inTime[a.caller]++
			}
			for _, id := range p.done(start.Add(e.at), e.id, a.serviceTime) {
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
	return inTime
}

func newAdmissionPolicy() admissionPolicy {
	c := NewController(Config{})
	c.Configure(map[model.ServiceID]Limits{"s": {MaxRunning: servers, MaxWaiting: 128}})
	return admissionPolicy{c}
}

// Guards against answers that arrive after their deadline while the load exceeds
// the capacity. The design target at three times the capacity is 90% of the best
// goodput.
func TestGoodputUnderOverload(t *testing.T) {
	names := func(i int) string { return fmt.Sprint("caller", i%10) }
	goodput := map[float64]float64{}
	best := 0.0
	for _, load := range []float64{0.5, 1, 2, 3} {
		all := arrivals(rand.New(rand.NewPCG(1, 2)), load, names)
		total := func(p policy) float64 {
			n := 0
			for _, inTime := range simulate(all, p) {
				n += inTime
			}
			return float64(n) / duration.Seconds()
		}
		fifo := total(&fifoPolicy{})
		goodput[load] = total(newAdmissionPolicy())
		best = max(best, goodput[load])
		t.Logf("load %.1f: offered %.0f/s, goodput first in first out %.0f/s, admission %.0f/s",
			load, float64(len(all))/duration.Seconds(), fifo, goodput[load])
	}
	for _, load := range []float64{1, 2, 3} {
		assert.Assert(t, goodput[load] >= 0.9*best, "load %.0f: %.0f of %.0f", load, goodput[load], best)
	}
}

// Guards against a caller whose excess requests take the share of other callers.
func TestHeavyCallerLeavesOthersTheirShare(t *testing.T) {
	names := func(i int) string {
		if i%30 == 0 {
			return "light" // 10% of the capacity at three times the load
		}
		return "heavy"
	}
	all := arrivals(rand.New(rand.NewPCG(1, 2)), 3, names)
	inTime := simulate(all, newAdmissionPolicy())
	offered := len(all) / 30
	t.Logf("light caller: %d of %d in time, heavy caller: %d of %d", inTime["light"], offered, inTime["heavy"], len(all)-offered)
	assert.Assert(t, inTime["light"] >= offered*95/100)
}
