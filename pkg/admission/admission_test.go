package admission

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// A fixed seed makes every test run check the same cases. The flag -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func request(id uint64, service model.ServiceID, d time.Duration) Request {
	return Request{ID: id, Service: service, Class: model.Search, Caller: "a", Deadline: start.Add(d)}
}

// Guards against a service that uses all of the VM's capacity while requests of
// another service wait.
func TestServicesShareCapacityOfVM(t *testing.T) {
	c := NewController(Config{MaxRunning: 4})
	c.Configure(map[model.ServiceID]Limits{"a": {MaxRunning: 8, MaxWaiting: 20}, "b": {MaxRunning: 8, MaxWaiting: 20}})
	for id := uint64(1); id <= 12; id++ {
		c.Offer(start, request(id, "a", time.Second))
	}
	for id := uint64(21); id <= 24; id++ {
		assert.Equal(t, c.Offer(start, request(id, "b", time.Minute)).Verdict, Queued)
	}
	var granted []uint64
	for id := uint64(1); id <= 4; id++ {
		granted = append(granted, c.Done(start, id, 0)...)
	}
	assert.DeepEqual(t, granted, []uint64{21, 22, 5, 6})
}

// Guards against requests of one class that wait behind those of another class.
func TestClassesHaveTheirOwnQueue(t *testing.T) {
	c := NewController(Config{})
	c.Configure(map[model.ServiceID]Limits{"s": {MaxRunning: 1, MaxWaiting: 10}})
	for id := uint64(1); id < 6; id++ {
		c.Offer(start, request(id, "s", time.Second))
	}
	lookup := request(10, "s", time.Hour)
	lookup.Class = model.Lookup
	c.Offer(start, lookup)
	assert.DeepEqual(t, c.Done(start, 1, 0), []uint64{10})
}

// Guards against requests that wait although they cannot finish in time, and
// against a removed service that drops the requests that it has accepted.
func TestRefusalsAndRemoval(t *testing.T) {
	c := NewController(Config{})
	c.Configure(map[model.ServiceID]Limits{"s": {MaxRunning: 2, MaxWaiting: 3}})
	assert.Equal(t, c.Offer(start, request(1, "s", 0)).Refusal.Code, errs.DeadlineExceeded)
	assert.Equal(t, c.Offer(start, request(1, "x", ms)).Refusal.Code, errs.UnknownService)
	for id := uint64(1); id < 4; id++ {
		c.Offer(start, request(id, "s", time.Second))
	}
	c.Done(start, 1, 100*ms)
	d := c.Offer(start, request(4, "s", 110*ms)) // needs 25 + 100 ms
	assert.Equal(t, d.Refusal.Code, errs.Overloaded)
	assert.Equal(t, d.Refusal.RunState, errs.DidNotRun)
	assert.Equal(t, d.Refusal.RetryAfter, 15*ms)
	assert.Equal(t, c.Offer(start, request(5, "s", 130*ms)).Verdict, Queued)
	assert.Equal(t, c.Offer(start, request(6, "s", time.Second)).Verdict, Queued)
	assert.Equal(t, c.Offer(start, request(7, "s", time.Second)).Refusal.Code, errs.ShareExceeded)
	lookup := request(8, "s", time.Hour)
	lookup.Class = model.Lookup
	assert.Equal(t, c.Offer(start, lookup).Verdict, Queued)

	c.Configure(nil)
	assert.Equal(t, c.Offer(start, request(9, "s", time.Second)).Refusal.Code, errs.UnknownService)
	expired, _ := c.Expire(start.Add(140 * ms))
	assert.DeepEqual(t, expired, []uint64{5})
	assert.DeepEqual(t, c.Done(start, 2, ms), []uint64{8})
	assert.DeepEqual(t, c.Cancel(start, 8), []uint64{6})
	c.Done(start, 3, ms)
	c.Done(start, 6, ms)
	assert.Equal(t, len(c.services)+len(c.queues)+len(c.queueOrder)+len(c.requests), 0)
}

// Guards against an old estimate that refuses requests forever, and against
// changed limits that are not applied or let new requests overtake waiting ones.
func TestOldEstimateAndChangedLimits(t *testing.T) {
	one := map[model.ServiceID]Limits{"s": {MaxRunning: 1, MaxWaiting: 10}}
	c := NewController(Config{})
	c.Configure(one)
	c.Offer(start, request(1, "s", time.Second))
	c.Done(start, 1, 100*ms)
	c.Offer(start, request(2, "s", time.Second))
	assert.Equal(t, c.Offer(start, request(3, "s", 110*ms)).Verdict, Refused)
	late := EstimateMaxAge + ms
	assert.Equal(t, c.Offer(start.Add(late), request(3, "s", late+ms)).Verdict, Queued)
	c.Cancel(start, 3)
	c.Configure(nil)
	c.Configure(one)
	assert.Equal(t, c.Offer(start, request(4, "s", time.Second)).Verdict, Queued)
	c.Configure(map[model.ServiceID]Limits{"s": {MaxRunning: 2, MaxWaiting: 10}})
	assert.Equal(t, c.Offer(start, request(5, "s", time.Second)).Verdict, Queued)
	_, granted := c.Expire(start)
	assert.DeepEqual(t, granted, []uint64{4})
}

// Compares the controller with a map of requests. Guards against running more
// requests than the limits allow, starts after the deadline, unused capacity
// while requests wait, and requests with no outcome or two.
func TestModelController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 5).Draw(t, "total")
		c := NewController(Config{MaxRunning: total})
		limits := map[model.ServiceID]Limits{"a": {2, 4}, "b": {3, 4}}
		c.Configure(limits)
		accepted := map[uint64]Request{}
		running := map[uint64]bool{}
		now, id := start, uint64(0)
		count := func(s string, run bool) (n int) {
			for id, t := range accepted {
				if running[id] == run && (s == "" || string(t.Service) == s) {
					n++
				}
			}
			return n
		}
		granted := func(ids ...uint64) {
			for _, id := range ids {
				_, ok := accepted[id]
				assert.Assert(t, ok && !running[id] && accepted[id].Deadline.After(now))
				running[id] = true
			}
			assert.Assert(t, total == 0 || count("", true) <= total)
			for s, l := range limits {
				assert.Assert(t, count(string(s), true) <= l.MaxRunning)
			}
		}
		removeAny := func(t *rapid.T, run bool) (uint64, bool) {
			var ids []uint64
			for id := range accepted {
				if running[id] == run {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			delete(accepted, id)
			delete(running, id)
			return id, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				req := request(id, "a", now.Sub(start)+time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline"))*ms)
				if rapid.Bool().Draw(t, "other") {
					req.Service = "b"
				}
				req.Caller = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
				d := c.Offer(now, req)
				assert.Equal(t, d.Refusal != nil, d.Verdict == Refused)
				if d.Verdict != Refused {
					accepted[id] = req
				}
				if d.Verdict == Granted {
					granted(id)
				}
			},
			"done": func(t *rapid.T) {
				if id, ok := removeAny(t, true); ok {
					granted(c.Done(now, id, time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*ms)...)
				}
			},
			"cancel": func(t *rapid.T) {
				if id, ok := removeAny(t, rapid.Bool().Draw(t, "running")); ok {
					granted(c.Cancel(now, id)...)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * ms)
				expired, ids := c.Expire(now)
				for _, id := range expired {
					assert.Assert(t, !running[id])
					delete(accepted, id)
				}
				granted(ids...)
				for s, l := range limits {
					full := count(string(s), true) == l.MaxRunning || total > 0 && count("", true) == total
					assert.Assert(t, full || count(string(s), false) == 0)
				}
				if at, ok := c.Wake(now); ok {
					assert.Assert(t, at.After(now), "Wake returned a time at which nothing is to be done")
				}
			},
			"": func(t *rapid.T) {
				r, w := c.Load()
				assert.Equal(t, r, count("", true))
				assert.Equal(t, w, count("", false))
			},
		})
	})
}

func BenchmarkOfferDone(b *testing.B) {
	p := newAdmissionPolicy()
	now, id := start, uint64(0)
	var running []uint64
	b.ReportAllocs()
	for b.Loop() {
		for _, waiting := p.controller.Load(); waiting < 32; _, waiting = p.controller.Load() {
			id++
			r := Request{ID: id, Service: "s", Caller: string(rune('a' + id%8)), Deadline: now.Add(time.Hour)}
			if p.controller.Offer(now, r).Verdict == Granted {
				running = append(running, id)
			}
		}
		done := running[0]
		running = append(running[1:], p.controller.Done(now, done, ms)...)
	}
}
