package overload

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens at a time of a simulation.
type event struct {
	at  time.Time
	run func()
}

// simulation runs events in the order of time.
type simulation struct {
	events []event
	now    time.Time
	random *rand.Rand
}

func newSimulation(seed uint64) *simulation {
	return &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
}

func (s *simulation) Len() int           { return len(s.events) }
func (s *simulation) Less(i, j int) bool { return s.events[i].at.Before(s.events[j].at) }
func (s *simulation) Swap(i, j int)      { s.events[i], s.events[j] = s.events[j], s.events[i] }
func (s *simulation) Push(e any)         { s.events = append(s.events, e.(event)) }
func (s *simulation) Pop() any {
	e := s.events[len(s.events)-1]
	s.events = s.events[:len(s.events)-1]
	return e
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(s, event{s.now.Add(d), run})
}

// arrivals calls arrive at random times, perSecond times a second until end.
func (s *simulation) arrivals(perSecond float64, end time.Time, arrive func()) {
	d := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	if s.now.Add(d).After(end) {
		return
	}
	s.after(d, func() { arrive(); s.arrivals(perSecond, end, arrive) })
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(s).(event)
		s.now = e.at
		e.run()
	}
}

// worked returns a random service time with the given mean.
func (s *simulation) worked(mean time.Duration) time.Duration {
	return time.Duration((0.5 + 0.5*s.random.ExpFloat64()) * float64(mean))
}

// station is the replicas of a service: slots, a queue of six requests for each of
// them, and refusals beyond that.
type station struct {
	*simulation
	slots, busy int
	queued      []func()
}

// send runs work in a slot and then calls done with whether it ran.
func (st *station) send(work time.Duration, done func(ran bool)) {
	run := func() {
		st.after(work, func() {
			if st.busy--; len(st.queued) > 0 {
				next := st.queued[0]
				st.queued = st.queued[1:]
				st.busy++
				next()
			}
			done(true)
		})
	}
	switch {
	case st.busy < st.slots:
		st.busy++
		run()
	case len(st.queued) < 6*st.slots:
		st.queued = append(st.queued, run)
	default:
		st.after(time.Millisecond, func() { done(false) })
	}
}

// vm is one VM of a simulation.
type vm struct {
	*simulation
	station *station
	queue   *Queue
	// places returns the limit, observe gets how long requests took.
	places  func() float64
	observe func(sample Sample)
	// pause returns how long a place is kept empty after a request; it may be nil.
	pause func(took time.Duration) time.Duration
	// workError is the factor by which the observed work of a class is wrong.
	workError func(class string) float64
	offers    map[uint64]*offer
	nextID    uint64
}

// offer is a request of a simulation and what became of it.
type offer struct {
	Request
	work    time.Duration
	sentAt  time.Time
	done    time.Time
	ran     bool
	refused Decision
}

func newVM(s *simulation, st *station) *vm {
	return &vm{simulation: s, station: st, queue: NewQueue(s.random.Float64), offers: map[uint64]*offer{}}
}

// offer offers a request and follows it to its end.
func (v *vm) offer(o *offer) {
	v.nextID++
	o.ID, o.Arrived = v.nextID, v.now
	o.Deadline = v.now.Add(o.Target)
	v.offers[o.ID] = o
	places := v.places()
	v.apply(v.queue.SetLimits(v.now, Limits{Places: places, MaxWaiting: WaitingPerPlace * int(places)}))
	v.apply(v.queue.Offer(v.now, o.Request))
}

func (v *vm) apply(decisions []Decision) {
	for _, d := range decisions {
		o := v.offers[d.ID]
		switch d.Verdict {
		case Refused:
			o.refused = d
		case Waits:
			v.after(v.queue.LatestStart(d.ID).Sub(v.now), func() { v.apply(v.queue.Expire(v.now)) })
		case Started:
			o.sentAt = v.now
			v.station.send(o.work, func(ran bool) {
				o.ran, o.done = ran, v.now
				took, observed := v.now.Sub(o.sentAt), Observation{}
				if !ran {
					took = o.Target
				}
				if v.observe != nil {
					sample := Sample{Took: took, Target: o.Target, Limited: v.queue.Limited()}
					sample.InUse, _ = v.queue.Load()
					v.observe(sample)
				}
				if ran {
					observed = Observation{Duration: took, Work: took}
					if v.workError != nil {
						observed.Work = time.Duration(v.workError(o.Class) * float64(took))
					}
				}
				leave := func() { v.apply(v.queue.Done(v.now, d.ID, observed)) }
				if v.pause != nil && v.pause(took) > 0 {
					v.after(v.pause(v.now.Sub(o.sentAt)), leave)
					return
				}
				leave()
			})
		}
	}
}

// answeredWithin reports whether the request was answered within a share of its target.
func (o *offer) answeredWithin(share float64) bool {
	return o.ran && o.done.Sub(o.Arrived) <= time.Duration(share*float64(o.Target))
}

// inTime reports whether the request was answered within the share of its target that
// the slowest shard and the network leave to the others.
func (o *offer) inTime() bool { return o.answeredWithin(0.6) }
