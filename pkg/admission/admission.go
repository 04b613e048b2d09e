// Package admission decides which requests an entry VM runs, which wait and
// which are refused. It performs no I/O, and every method that needs the time
// gets it as an argument.
package admission

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Config holds the limits of the VM.
type Config struct {
	// MaxRunning is the maximum number of running requests of all services; 0
	// means no limit.
	MaxRunning int
}

// Limits holds the limits of one service at one entry VM.
type Limits struct {
	// MaxRunning is the maximum number of running requests.
	MaxRunning int
	// MaxWaiting is the maximum number of waiting requests of each class.
	MaxWaiting int
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

// Verdict is the outcome of an offer.
type Verdict uint8

const (
	// Granted means that the request may run now.
	Granted Verdict = iota
	// Queued means that the request waits.
	Queued
	// Refused means that the request neither runs nor waits.
	Refused
)

// Decision is the result of an offer. Refusal is set if the request was refused.
type Decision struct {
	Verdict Verdict
	Refusal *errs.Refusal
}

// Controller admits the requests of one entry VM. It is not safe for concurrent
// use. After each call the caller asks Wake when to call Expire.
type Controller struct {
	config Config
	queues map[queueKey]*classQueue
	// queueOrder holds the queues in order of creation, so that decisions do not
	// depend on the order of a map.
	queueOrder []*classQueue
	services   map[model.ServiceID]*service
	requests   map[uint64]*requestState
	running    int
	grantCount uint64
}

// NewController returns a controller without services.
func NewController(c Config) *Controller {
	return &Controller{
		config:   c,
		queues:   map[queueKey]*classQueue{},
		services: map[model.ServiceID]*service{},
		requests: map[uint64]*requestState{},
	}
}

// Configure replaces the limits of all services. Requests of a removed service
// that already wait or run finish under its last limits.
func (c *Controller) Configure(services map[model.ServiceID]Limits) {
	for id, s := range c.services {
		if _, ok := services[id]; !ok {
			s.removed = true
			c.removeIfIdle(id, s)
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
	return c.startWaiting(now)
}

func (c *Controller) setLimits(id model.ServiceID, l Limits) {
	s, ok := c.services[id]
	if !ok {
		s = &service{}
		c.services[id] = s
	}
	s.removed = false
	s.limits = l
	for _, q := range s.queues {
		q.waiting.SetLimit(l.MaxWaiting)
	}
}

// Offer grants a request if it may run now, queues it if it can still finish
// before its deadline, and refuses it otherwise.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	s, refusal := c.validate(now, r)
	if refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	q := c.queueFor(s, r)
	if c.hasCapacity(s) && !c.waitingHasPrecedence(now, s) {
		c.start(r.ID, &requestState{queue: q})
		return Decision{Verdict: Granted}
	}
	if refusal := q.queueRefusal(now, r); refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	c.requests[r.ID] = &requestState{queue: q, waiting: true}
	q.waiting.Push(fairqueue.Item{ID: r.ID, Deadline: r.Deadline, Caller: r.Caller})
	return Decision{Verdict: Queued}
}

// Done reports the end of a granted request and returns the requests to start
// now. An unknown id has no effect.
func (c *Controller) Done(now time.Time, id uint64, serviceTime time.Duration) []uint64 {
	state, ok := c.requests[id]
	if !ok || state.waiting {
		return nil
	}
	state.queue.recordServiceTime(now, serviceTime)
	return c.remove(now, id, state)
}

// Cancel removes a request that waits or runs and returns the requests to start
// now. An unknown id has no effect.
func (c *Controller) Cancel(now time.Time, id uint64) []uint64 {
	state, ok := c.requests[id]
	if !ok {
		return nil
	}
	if !state.waiting {
		return c.remove(now, id, state)
	}
	state.queue.waiting.Remove(id)
	delete(c.requests, id)
	c.removeIfIdle(state.queue.key.service, state.queue.service)
	return c.startWaiting(now)
}

// Expire removes the waiting requests that can no longer finish in time and
// returns them, and the requests to start now. The expired requests did not run.
func (c *Controller) Expire(now time.Time) (expired, granted []uint64) {
	for _, q := range c.queueOrder {
		expired = append(expired, q.waiting.Expire(q.earliestDeadline(now))...)
	}
	for _, id := range expired {
		q := c.requests[id].queue
		delete(c.requests, id)
		c.removeIfIdle(q.key.service, q.service)
	}
	return expired, c.startWaiting(now)
}

// Wake returns the time of the next call of Expire that can have an effect. The
// result is false while only Done or Cancel can change anything.
func (c *Controller) Wake(now time.Time) (time.Time, bool) {
	var at time.Time
	found := false
	for _, q := range c.queueOrder {
		if q.waiting.Len() == 0 {
			continue
		}
		next := q.waiting.EarliestDeadline().Add(-q.timeNeeded(now))
		if c.hasCapacity(q.service) && q.ready(now) {
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

// validate returns the service of a request that may be offered, or the refusal.
func (c *Controller) validate(now time.Time, r Request) (*service, *errs.Refusal) {
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

// hasCapacity reports whether a request of the service may start.
func (c *Controller) hasCapacity(s *service) bool {
	if c.config.MaxRunning > 0 && c.running >= c.config.MaxRunning {
		return false
	}
	return s.running < max(1, s.limits.MaxRunning)
}

// waitingHasPrecedence reports whether a waiting request must start before a new
// one of the service. Such a request belongs to the same service or, if
// the VM has a limit, to any service.
func (c *Controller) waitingHasPrecedence(now time.Time, s *service) bool {
	for _, q := range c.queueOrder {
		competes := q.service == s || c.config.MaxRunning > 0
		if competes && q.waiting.Len() > 0 && c.hasCapacity(q.service) && q.ready(now) {
			return true
		}
	}
	return false
}

// start counts a request as running.
func (c *Controller) start(id uint64, state *requestState) {
	state.waiting = false
	c.requests[id] = state
	c.grantCount++
	state.queue.lastGrant = c.grantCount
	state.queue.running++
	state.queue.service.running++
	c.running++
}

// remove ends a running request and returns the requests to start now.
func (c *Controller) remove(now time.Time, id uint64, state *requestState) []uint64 {
	delete(c.requests, id)
	state.queue.running--
	state.queue.service.running--
	c.running--
	c.removeIfIdle(state.queue.key.service, state.queue.service)
	return c.startWaiting(now)
}

// startWaiting starts waiting requests while there is capacity, and returns
// them.
func (c *Controller) startWaiting(now time.Time) []uint64 {
	var granted []uint64
	for {
		q := c.nextQueue(now)
		if q == nil {
			return granted
		}
		item, _ := q.waiting.Pop(q.earliestDeadline(now), true)
		c.start(item.ID, c.requests[item.ID])
		granted = append(granted, item.ID)
	}
}

// nextQueue returns the queue that runs the smallest part of its service's
// MaxRunning and, among equals, the one whose last grant is the oldest. So a
// class without running requests is served before one that already has some.
func (c *Controller) nextQueue(now time.Time) *classQueue {
	var best *classQueue
	for _, q := range c.queueOrder {
		if q.waiting.Len() == 0 || !c.hasCapacity(q.service) || !q.ready(now) {
			continue
		}
		if best == nil || q.servedBefore(best) {
			best = q
		}
	}
	return best
}
