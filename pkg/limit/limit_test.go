package limit

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
	"github.com/nutmeghitch/nutmeghitch/pkg/ramp"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// A fixed seed gives every test run the same verdict; a flag overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func newLimiter(slots, queue int, cold float64) (*Limiter, *ramp.Window) {
	w := ramp.New(ramp.Config{Slots: slots, ColdWindow: cold}, start)
	return NewLimiter(Config{Slots: slots, QueueLimit: queue}, w), w
}

func request(id uint64, d time.Duration) Request {
	return Request{ID: id, Deadline: start.Add(d), Caller: "a"}
}

// Guards against queueing a request that cannot finish in time, and against refusing
// all requests for ever because of an outdated estimate of the service time.
func TestRefusesRequestThatCannotFinish(t *testing.T) {
	l, _ := newLimiter(1, 10, 1)
	assert.Equal(t, l.Offer(start, request(1, time.Second)).Verdict, Granted)
	l.Done(start, 1, Succeeded, 100*ms)
	l.Offer(start, request(2, time.Second))
	assert.Equal(t, l.Offer(start, request(3, 300*ms)).Verdict, Queued)
	d := l.Offer(start, request(4, 240*ms))
	assert.Equal(t, d.Verdict, Queued, "served before the later deadline")
	d = l.Offer(start, request(5, 242*ms)) // needs 100 + 50 + 100 ms
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Refusal.Code, errs.Overloaded)
	assert.Equal(t, d.Refusal.RunState, errs.DidNotRun)
	assert.Equal(t, d.Refusal.RetryAfter, 8*ms)
	late := start.Add(2 * EstimateMaxAge)
	assert.Equal(t, l.Offer(late, Request{ID: 6, Deadline: late.Add(ms)}).Verdict, Queued)
	assert.Equal(t, l.Offer(late, Request{ID: 7, Deadline: late}).Refusal.Code, errs.DeadlineExceeded)
}

// Guards against queueing a request that would finish in time by the mean service time,
// but not if the service time varies as much as measured.
func TestEstimateIncludesDeviation(t *testing.T) {
	l, _ := newLimiter(1, 10, 1)
	for id := range uint64(40) {
		l.Offer(start, request(id, time.Second))
		l.Done(start, id, Succeeded, 10*ms+time.Duration(id%2)*10*ms)
	}
	l.Offer(start, request(100, time.Second))
	assert.Equal(t, l.Offer(start, request(101, 25*ms)).Verdict, Refused) // needs 7.5 + 15 + 2 x 5 ms
	assert.Equal(t, l.Offer(start, request(102, 40*ms)).Verdict, Queued)
}

// Guards against sending requests to a cold replica, whose window is below 1, without
// the idle gap between them.
func TestIdleGapBelowWindowOfOne(t *testing.T) {
	l, w := newLimiter(3, 10, 0.25)
	l.Offer(start, request(1, time.Minute))
	l.Offer(start, request(2, time.Minute))
	assert.Equal(t, l.InFlight(), 1)
	assert.Equal(t, len(l.Done(start, 1, Failed, 10*ms)), 0)
	at, ok := l.NextPoll(start)
	assert.Assert(t, ok && at.Equal(start.Add(w.IdleGap())))
	assert.Equal(t, w.IdleGap(), 30*ms)
	granted, _ := l.Poll(at.Add(-1))
	assert.Equal(t, len(granted), 0)
	granted, _ = l.Poll(at)
	assert.DeepEqual(t, granted, []uint64{2})
	assert.Equal(t, l.Offer(at, request(3, time.Minute)).Verdict, Queued)
	assert.DeepEqual(t, l.Done(at, 2, NotSent, 0), []uint64{3})
}

// Guards against not reporting an outcome to the window, and against reporting it
// twice.
func TestOutcomesReachWindow(t *testing.T) {
	for o, want := range map[Outcome]float64{Shed: 1, ShedCold: 1, Lost: 1, Failed: 2, NotSent: 2, Withdrawn: 2} {
		l, w := newLimiter(2, 10, 2)
		l.Offer(start, request(1, time.Second))
		l.Done(start, 1, o, 10*ms)
		assert.Equal(t, w.Value(), want, "%d", o)
		l.Done(start.Add(time.Second), 1, o, 10*ms)
		assert.Equal(t, w.Value(), want, "a repeated report changed the window")
	}
	l, w := newLimiter(2, 10, 1)
	l.Offer(start, request(1, time.Second))
	l.Done(start.Add(10*ms), 1, Succeeded, 10*ms)
	assert.Assert(t, w.Value() > 1)
	assert.Equal(t, l.Hint().ServiceTime, 10*ms)
}

// Guards against two suspect requests at one replica at a time: if one of them crashes
// the replica, the crash would be attributed to the other one as well.
func TestSuspectsRunAlone(t *testing.T) {
	l, _ := newLimiter(3, 10, 3)
	suspect := func(id uint64) Request {
		return Request{ID: id, Deadline: start.Add(time.Minute), Suspect: true}
	}
	assert.Equal(t, l.Offer(start, suspect(1)).Verdict, Granted)
	assert.Equal(t, l.Offer(start, suspect(2)).Verdict, Queued)
	assert.Equal(t, l.Offer(start, request(3, time.Hour)).Verdict, Granted, "a queued suspect request does not delay others")
	assert.Equal(t, l.Offer(start, suspect(4)).Verdict, Queued)
	assert.DeepEqual(t, l.Done(start, 1, Failed, 0), []uint64{2})
}

// Guards against starting a new request before the queued ones when the window has
// grown without a call to the Limiter.
func TestNewRequestDoesNotOvertakeQueue(t *testing.T) {
	l, w := newLimiter(2, 10, 2)
	w.SetTakeoverLimit(1)
	l.Offer(start, request(1, time.Hour))
	l.Offer(start, request(2, time.Hour))
	w.SetTakeoverLimit(0)
	w.Restart(start)
	assert.Equal(t, l.Offer(start, request(3, time.Hour)).Verdict, Queued)
	granted, _ := l.Poll(start)
	assert.DeepEqual(t, granted, []uint64{2})
}

// modelRequest is a request that the Limiter has queued or granted.
type modelRequest struct {
	Request
	running bool
}

// TestModelLimiter compares the Limiter with a map of requests. It guards against too
// many concurrent requests, two suspect requests at a time, starts within the idle gap
// or after the deadline, free slots while requests are queued, and requests that get
// no outcome or two.
func TestModelLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		l, w := newLimiter(slots, 8, rapid.SampledFrom([]float64{0.1, 0.5, 1, 4}).Draw(t, "cold"))
		model := map[uint64]*modelRequest{}
		now, idleGapUntil, id := start, start, uint64(0)
		count := func(running bool) (n, suspects int) {
			for _, s := range model {
				if s.running == running {
					n++
					if s.Suspect {
						suspects++
					}
				}
			}
			return n, suspects
		}
		checkGranted := func(ids ...uint64) {
			for _, id := range ids {
				s := model[id]
				assert.Assert(t, s != nil && !s.running)
				assert.Assert(t, s.Deadline.After(now))
				assert.Assert(t, w.Value() >= 1 || !now.Before(idleGapUntil))
				s.running = true
			}
			n, suspects := count(true)
			assert.Assert(t, len(ids) == 0 || n <= min(slots, w.Concurrency()))
			assert.Assert(t, suspects <= 1)
		}
		pick := func(t *rapid.T, running bool) (uint64, bool) {
			var ids []uint64
			for i := uint64(1); i <= id; i++ {
				if s := model[i]; s != nil && s.running == running {
					ids = append(ids, i)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(t, "id"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				r := Request{
					ID:       id,
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * ms),
					Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
					Suspect:  rapid.IntRange(0, 3).Draw(t, "suspect") == 0,
				}
				d := l.Offer(now, r)
				assert.Equal(t, d.Refusal != nil, d.Verdict == Refused)
				if d.Verdict == Refused {
					assert.Equal(t, d.Refusal.RunState, errs.DidNotRun)
					return
				}
				model[id] = &modelRequest{Request: r}
				if d.Verdict == Granted {
					checkGranted(id)
				}
			},
			"done": func(t *rapid.T) {
				id, ok := pick(t, true)
				if !ok {
					return
				}
				delete(model, id)
				o := Outcome(rapid.IntRange(0, 6).Draw(t, "outcome"))
				ids := l.Done(now, id, o, time.Duration(rapid.IntRange(1, 60).Draw(t, "service"))*ms)
				if o != NotSent {
					idleGapUntil = now.Add(w.IdleGap())
				}
				checkGranted(ids...)
			},
			"withdraw": func(t *rapid.T) {
				if id, ok := pick(t, false); ok {
					delete(model, id)
					checkGranted(l.Withdraw(now, id)...)
				}
			},
			"poll": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * ms)
				ids, expired := l.Poll(now)
				for _, id := range expired {
					assert.Assert(t, !model[id].running)
					delete(model, id)
				}
				checkGranted(ids...)
				running, suspects := count(true)
				waiting, suspectsWaiting := count(false)
				idle := running < w.Concurrency() && (w.Value() >= 1 || !now.Before(idleGapUntil))
				assert.Assert(t, !idle || waiting == suspectsWaiting && (suspects > 0 || waiting == 0))
				if at, ok := l.NextPoll(now); ok {
					assert.Assert(t, at.After(now), "Poll is due at once although it has just run")
				}
			},
			"drain": func(t *rapid.T) {
				for _, id := range l.Drain() {
					assert.Assert(t, !model[id].running)
					delete(model, id)
				}
				waiting, _ := count(false)
				assert.Equal(t, waiting, 0)
			},
			"restart": func(*rapid.T) { w.Restart(now) },
			"": func(t *rapid.T) {
				running, _ := count(true)
				waiting, _ := count(false)
				assert.Equal(t, l.InFlight(), running)
				assert.Equal(t, l.Hint().Outstanding, running+waiting)
				assert.Assert(t, waiting <= 8)
			},
		})
	})
}

func BenchmarkOfferDone(b *testing.B) {
	l, _ := newLimiter(3, 64, 3)
	now := start
	running := []uint64{}
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		for l.Hint().Outstanding < 35 {
			id++
			if l.Offer(now, Request{ID: id, Deadline: now.Add(time.Hour), Caller: string(rune('a' + id%8))}).Verdict == Granted {
				running = append(running, id)
			}
		}
		now = now.Add(ms)
		done := running[0]
		running = append(running[1:], l.Done(now, done, Succeeded, ms)...)
	}
}
