package admission

import (
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// EstimateMaxAge is the age after which the service time is no longer used
	// to refuse work. Without it one very slow answer could refuse all work,
	// and no answer would ever correct the estimate.
	EstimateMaxAge = time.Second
	// MinRetryAfter is the shortest wait a refusal asks for.
	MinRetryAfter = 10 * time.Millisecond
	// deviations is the number of mean deviations that work needs beside the
	// mean service time to count as able to finish. Under overload the queue
	// holds enough work that can, and with the mean alone a tenth of the
	// capacity went into answers that came just too late.
	deviations = 2
	// serviceWeight makes the service time follow about the last 16 requests.
	serviceWeight = 16
)

// service is the state that the classes of one service share.
type service struct {
	limits  Limits
	running int
	removed bool
	lanes   []*lane
}

type laneKey struct {
	service model.ServiceID
	class   model.ServiceKind
}

// lane holds the waiting requests of one class of a service. Classes have
// their own queues, because their service times differ by far.
type lane struct {
	key     laneKey
	service *service
	queue   *fairqueue.Queue
	running int
	granted uint64 // sequence of the last grant

	mean      time.Duration // decaying mean of the service time
	deviation time.Duration // decaying mean distance from it
	meanAt    time.Time
}

type requestState struct {
	lane    *lane
	waiting bool
}

func (c *Controller) lane(s *service, r Request) *lane {
	key := laneKey{service: r.Service, class: r.Class}
	ln, ok := c.lanes[key]
	if !ok {
		ln = &lane{key: key, service: s, queue: fairqueue.New(s.limits.Queue)}
		c.lanes[key] = ln
		c.order = append(c.order, ln)
		s.lanes = append(s.lanes, ln)
	}
	return ln
}

// forget drops a removed service that has nothing left to finish.
func (c *Controller) forget(id model.ServiceID, s *service) {
	if !s.removed || s.running > 0 {
		return
	}
	for _, ln := range s.lanes {
		if ln.queue.Len() > 0 {
			return
		}
	}
	for _, ln := range s.lanes {
		delete(c.lanes, ln.key)
	}
	c.order = slices.DeleteFunc(c.order, func(ln *lane) bool { return ln.service == s })
	delete(c.services, id)
}

// less tells whether ln is served before o.
func (ln *lane) less(o *lane) bool {
	a := float64(ln.running) / float64(max(1, ln.service.limits.Concurrency))
	b := float64(o.running) / float64(max(1, o.service.limits.Concurrency))
	if a != b {
		return a < b
	}
	return ln.granted < o.granted
}

func (ln *lane) ready(now time.Time) bool {
	return ln.queue.Ready(ln.earliest(now), true)
}

// earliest is the earliest deadline that work started now can still meet.
func (ln *lane) earliest(now time.Time) time.Time {
	return now.Add(ln.estimate(now)).Add(time.Nanosecond)
}

// known tells whether the service time is recent enough to refuse work.
func (ln *lane) known(now time.Time) bool {
	return now.Sub(ln.meanAt) <= EstimateMaxAge
}

// estimate returns the time that work needs to finish with some certainty, or
// 0 if it is not known.
func (ln *lane) estimate(now time.Time) time.Duration {
	if !ln.known(now) {
		return 0
	}
	return ln.mean + deviations*ln.deviation
}

func (ln *lane) noteService(now time.Time, took time.Duration) {
	ln.meanAt = now
	if ln.mean == 0 {
		ln.mean = took
		return
	}
	ln.deviation += ((took - ln.mean).Abs() - ln.deviation) / serviceWeight
	ln.mean += (took - ln.mean) / serviceWeight
}

// pace is the mean time between two starts while work is waiting.
func (ln *lane) pace(now time.Time) time.Duration {
	if !ln.known(now) {
		return 0
	}
	return ln.mean / time.Duration(max(1, ln.service.limits.Concurrency))
}

// unqueueable refuses requests that find no place or cannot finish in time.
func (ln *lane) unqueueable(now time.Time, r Request) *errs.Refusal {
	pace := ln.pace(now)
	switch ln.queue.Room(r.Caller) {
	case fairqueue.Full:
		return errs.Refuse(errs.Overloaded, "queue of %d is full", ln.service.limits.Queue).
			WithRetryAfter(max(MinRetryAfter, pace*time.Duration(ln.queue.Len())))
	case fairqueue.ShareExceeded:
		return errs.Refuse(errs.ShareExceeded, "caller holds its share of the queue of %d", ln.service.limits.Queue).
			WithRetryAfter(max(MinRetryAfter, pace*time.Duration(ln.queue.Callers())))
	}
	ahead, _ := ln.queue.Ahead(r.Caller, r.Deadline)
	finish := time.Duration((float64(ahead)+0.5)*float64(pace)) + ln.estimate(now)
	late := finish - r.Deadline.Sub(now)
	if late <= 0 {
		return nil
	}
	return errs.Refuse(errs.Overloaded, "cannot finish before the deadline, needs %s more", late).
		WithRetryAfter(max(MinRetryAfter, late))
}
