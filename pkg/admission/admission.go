// Package admission decides which requests an entry VM runs, which wait and
// which are refused. It performs no I/O; the caller passes the time.
package admission

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Config holds the limits of the VM.
type Config struct {
	// Total bounds the running requests of all services; 0 is no bound.
	Total int
}

// Limits holds the limits of one service at one entry VM.
type Limits struct {
	// Concurrency bounds the running requests.
	Concurrency int
	// Queue bounds the waiting requests of each class.
	Queue int
}

// Request describes a request to admit. Its ID is unique among the requests that
// wait or run.
type Request struct {
	ID       uint64
	Service  model.ServiceID
	Class    model.ServiceKind
	Caller   string
	Deadline time.Time
}

// Verdict is the answer to an offer.
type Verdict uint8

// Verdicts.
const (
	Granted Verdict = iota
	Queued
	Refused
)

// Decision is the answer to an offer. Refusal is set if the request was refused.
type Decision struct {
	Verdict Verdict
	Refusal *errs.Refusal
}

// Controller admits the requests of one entry VM. It is guarded by its owner.
// After each call the owner asks Wake when to call Expire.
type Controller struct {
	config   Config
	lanes    map[laneKey]*lane
	order    []*lane // lanes in order of creation, for decisions that do not depend on map order
	services map[model.ServiceID]*service
	requests map[uint64]*requestState
	running  int
	grants   uint64
}

// NewController returns a controller without services.
func NewController(c Config) *Controller {
	return &Controller{
		config:   c,
		lanes:    map[laneKey]*lane{},
		services: map[model.ServiceID]*service{},
		requests: map[uint64]*requestState{},
	}
}

// Configure replaces the limits. Requests of a removed service that already
// wait or run are finished under its last limits.
func (c *Controller) Configure(services map[model.ServiceID]Limits) {
	for id, s := range c.services {
		if _, ok := services[id]; !ok {
			s.removed = true
			c.forget(id, s)
		}
	}
	for id, l := range services {
		c.setLimits(id, l)
	}
}

// SetLimits changes the limits of one service, which is added if it is new,
// and returns the requests to start now.
func (c *Controller) SetLimits(now time.Time, id model.ServiceID, l Limits) []uint64 {
	if s, ok := c.services[id]; ok && !s.removed && s.limits == l {
		return nil
	}
	c.setLimits(id, l)
	return c.fill(now)
}

func (c *Controller) setLimits(id model.ServiceID, l Limits) {
	s, ok := c.services[id]
	if !ok {
		s = &service{}
		c.services[id] = s
	}
	s.removed = false
	s.limits = l
	for _, ln := range s.lanes {
		ln.queue.SetLimit(l.Queue)
	}
}

// Offer asks to run a request now, or later if its deadline allows it.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	s, refusal := c.check(now, r)
	if refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	ln := c.lane(s, r)
	if c.free(s) && !c.anyReady(now, s) {
		c.start(r.ID, &requestState{lane: ln})
		return Decision{Verdict: Granted}
	}
	if refusal := ln.unqueueable(now, r); refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	c.requests[r.ID] = &requestState{lane: ln, waiting: true}
	ln.queue.Push(fairqueue.Item{ID: r.ID, Deadline: r.Deadline, Caller: r.Caller})
	return Decision{Verdict: Queued}
}

// Done reports the end of a granted request and returns the requests to start
// now. An unknown id has no effect.
func (c *Controller) Done(now time.Time, id uint64, took time.Duration) []uint64 {
	st, ok := c.requests[id]
	if !ok || st.waiting {
		return nil
	}
	st.lane.noteService(now, took)
	return c.finish(now, id, st)
}

// Cancel gives up a request that waits or runs and returns the requests to start now.
func (c *Controller) Cancel(now time.Time, id uint64) []uint64 {
	st, ok := c.requests[id]
	if !ok {
		return nil
	}
	if !st.waiting {
		return c.finish(now, id, st)
	}
	st.lane.queue.Remove(id)
	delete(c.requests, id)
	c.forget(st.lane.key.service, st.lane.service)
	return c.fill(now)
}

// Expire returns waiting requests that can no longer finish in time, which did
// not run, and requests to start now.
func (c *Controller) Expire(now time.Time) (expired, granted []uint64) {
	for _, ln := range c.order {
		expired = append(expired, ln.queue.Expire(ln.earliest(now))...)
	}
	for _, id := range expired {
		ln := c.requests[id].lane
		delete(c.requests, id)
		c.forget(ln.key.service, ln.service)
	}
	return expired, c.fill(now)
}

// Wake returns the time at which Expire has something to do next. It is false
// while only Done or Cancel can change anything.
func (c *Controller) Wake(now time.Time) (time.Time, bool) {
	var at time.Time
	found := false
	for _, ln := range c.order {
		if ln.queue.Len() == 0 {
			continue
		}
		next := ln.queue.First().Add(-ln.estimate(now))
		if c.free(ln.service) && ln.ready(now) {
			next = now
		}
		if !found || next.Before(at) {
			at, found = next, true
		}
	}
	if found && at.Before(now) {
		at = now
	}
	return at, found
}

// Load returns the number of running and waiting requests.
func (c *Controller) Load() (running, waiting int) {
	return c.running, len(c.requests) - c.running
}

func (c *Controller) check(now time.Time, r Request) (*service, *errs.Refusal) {
	s, ok := c.services[r.Service]
	if !ok || s.removed {
		return nil, errs.Refuse(errs.UnknownService, "service %q is not configured", r.Service)
	}
	if _, ok := c.requests[r.ID]; ok {
		return nil, errs.Refuse(errs.Internal, "request id %d is in use", r.ID)
	}
	if !r.Deadline.After(now) {
		return nil, errs.Refuse(errs.DeadlineExceeded, "deadline passed before admission")
	}
	return s, nil
}

// free tells whether a request of the service may start.
func (c *Controller) free(s *service) bool {
	if c.config.Total > 0 && c.running >= c.config.Total {
		return false
	}
	return s.running < max(1, s.limits.Concurrency)
}

// anyReady tells whether waiting requests have precedence over a new one of
// the service: its own, or with a total bound those of any service.
func (c *Controller) anyReady(now time.Time, s *service) bool {
	for _, ln := range c.order {
		concerned := ln.service == s || c.config.Total > 0
		if concerned && ln.queue.Len() > 0 && c.free(ln.service) && ln.ready(now) {
			return true
		}
	}
	return false
}

func (c *Controller) start(id uint64, st *requestState) {
	st.waiting = false
	c.requests[id] = st
	c.grants++
	st.lane.granted = c.grants
	st.lane.running++
	st.lane.service.running++
	c.running++
}

func (c *Controller) finish(now time.Time, id uint64, st *requestState) []uint64 {
	delete(c.requests, id)
	st.lane.running--
	st.lane.service.running--
	c.running--
	c.forget(st.lane.key.service, st.lane.service)
	return c.fill(now)
}

// fill starts waiting requests while there is room.
func (c *Controller) fill(now time.Time) []uint64 {
	var granted []uint64
	for {
		ln := c.nextLane(now)
		if ln == nil {
			return granted
		}
		it, _ := ln.queue.Pop(ln.earliest(now), true)
		c.start(it.ID, c.requests[it.ID])
		granted = append(granted, it.ID)
	}
}

// nextLane returns the lane that uses the least of its service's concurrency,
// and among equals the one that was served longest ago. A lane with nothing
// running is thus served before one that already runs requests.
func (c *Controller) nextLane(now time.Time) *lane {
	var best *lane
	for _, ln := range c.order {
		if ln.queue.Len() == 0 || !c.free(ln.service) || !ln.ready(now) {
			continue
		}
		if best == nil || ln.less(best) {
			best = ln
		}
	}
	return best
}
