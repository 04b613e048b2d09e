package admission

import (
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// EstimateMaxAge is the age after which the measured service time is no
	// longer used to refuse requests. Otherwise one very slow request could make
	// all later ones be refused, and none would ever correct the estimate.
	EstimateMaxAge = time.Second
	// MinRetryAfter is the shortest wait that a refusal asks for.
	MinRetryAfter = 10 * time.Millisecond
	// deviationFactor is the number of mean deviations by which the time left
	// must exceed the mean service time. With the mean alone, a tenth of the
	// capacity under overload went into answers that came just too late. The
	// stricter rule costs nothing then, as enough queued requests satisfy it.
	deviationFactor = 2
	// smoothingWindow is the number of recent requests that largely determine
	// the mean service time: each one counts with 1/smoothingWindow.
	smoothingWindow = 16
)

// service is the state that the classes of one service share.
type service struct {
	limits  Limits
	running int
	removed bool
	queues  []*classQueue
}

type queueKey struct {
	service model.ServiceID
	class   model.ServiceKind
}

// classQueue holds the waiting requests of one class of a service and the
// estimate of their service time. Each class has its own queue, because the
// service times of classes differ widely.
type classQueue struct {
	key     queueKey
	service *service
	waiting *fairqueue.Queue
	running int
	// lastGrant is the controller's grantCount at the last grant.
	lastGrant uint64

	// meanServiceTime and meanDeviation are exponentially decaying means of the
	// service time and of its distance from the mean.
	meanServiceTime time.Duration
	meanDeviation   time.Duration
	// estimatedAt is when the means were last updated.
	estimatedAt time.Time
}

// requestState is the state of a request that waits or runs.
type requestState struct {
	queue   *classQueue
	waiting bool
}

// queueFor returns the queue of the request's class, and creates it if the
// class is new.
func (c *Controller) queueFor(s *service, r Request) *classQueue {
	key := queueKey{service: r.Service, class: r.Class}
	q, ok := c.queues[key]
	if !ok {
		q = &classQueue{key: key, service: s, waiting: fairqueue.New(s.limits.MaxWaiting)}
		c.queues[key] = q
		c.queueOrder = append(c.queueOrder, q)
		s.queues = append(s.queues, q)
	}
	return q
}

// removeIfIdle deletes a service that was removed from the configuration and has
// no waiting or running requests left.
func (c *Controller) removeIfIdle(id model.ServiceID, s *service) {
	if !s.removed || s.running > 0 {
		return
	}
	for _, q := range s.queues {
		if q.waiting.Len() > 0 {
			return
		}
	}
	for _, q := range s.queues {
		delete(c.queues, q.key)
	}
	c.queueOrder = slices.DeleteFunc(c.queueOrder, func(q *classQueue) bool { return q.service == s })
	delete(c.services, id)
}

// servedBefore reports whether q is served before other.
func (q *classQueue) servedBefore(other *classQueue) bool {
	a := float64(q.running) / float64(max(1, q.service.limits.MaxRunning))
	b := float64(other.running) / float64(max(1, other.service.limits.MaxRunning))
	if a != b {
		return a < b
	}
	return q.lastGrant < other.lastGrant
}

// ready reports whether a waiting request could still finish in time.
func (q *classQueue) ready(now time.Time) bool {
	return q.waiting.CanPop(q.earliestDeadline(now), true)
}

// earliestDeadline returns the earliest deadline that a request started now can
// still meet.
func (q *classQueue) earliestDeadline(now time.Time) time.Time {
	return now.Add(q.timeNeeded(now)).Add(time.Nanosecond)
}

// estimateValid reports whether the mean service time is recent enough to refuse
// requests by it.
func (q *classQueue) estimateValid(now time.Time) bool {
	return now.Sub(q.estimatedAt) <= EstimateMaxAge
}

// timeNeeded returns the time in which a request that starts now very likely
// finishes: the mean service time and a margin for its deviation. It is 0 if the
// estimate is too old.
func (q *classQueue) timeNeeded(now time.Time) time.Duration {
	if !q.estimateValid(now) {
		return 0
	}
	return q.meanServiceTime + deviationFactor*q.meanDeviation
}

func (q *classQueue) recordServiceTime(now time.Time, serviceTime time.Duration) {
	q.estimatedAt = now
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime
		return
	}
	q.meanDeviation += ((serviceTime - q.meanServiceTime).Abs() - q.meanDeviation) / smoothingWindow
	q.meanServiceTime += (serviceTime - q.meanServiceTime) / smoothingWindow
}

// startInterval returns the mean time between the starts of two waiting
// requests. It is 0 if the estimate is too old.
func (q *classQueue) startInterval(now time.Time) time.Duration {
	if !q.estimateValid(now) {
		return 0
	}
	return q.meanServiceTime / time.Duration(max(1, q.service.limits.MaxRunning))
}

// queueRefusal returns the refusal of a request that finds no place in the queue
// or cannot finish before its deadline, and nil if it may be queued.
func (q *classQueue) queueRefusal(now time.Time, r Request) *errs.Refusal {
	interval := q.startInterval(now)
	switch q.waiting.CheckFit(r.Caller) {
	case fairqueue.Full:
		return errs.Refuse(errs.Overloaded, "queue of %d is full", q.service.limits.MaxWaiting).
			WithRetryAfter(max(MinRetryAfter, interval*time.Duration(q.waiting.Len())))
	case fairqueue.ShareExceeded:
		return errs.Refuse(errs.ShareExceeded, "caller holds its share of the queue of %d", q.service.limits.MaxWaiting).
			WithRetryAfter(max(MinRetryAfter, interval*time.Duration(q.waiting.CallerCount())))
	}
	ahead, _ := q.waiting.CountAhead(r.Caller, r.Deadline)
	untilFinish := time.Duration((float64(ahead)+0.5)*float64(interval)) + q.timeNeeded(now)
	late := untilFinish - r.Deadline.Sub(now)
	if late <= 0 {
		return nil
	}
	return errs.Refuse(errs.Overloaded, "cannot finish before the deadline, needs %s more", late).
		WithRetryAfter(max(MinRetryAfter, late))
}
