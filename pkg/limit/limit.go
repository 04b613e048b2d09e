// Package limit bounds the number of concurrent requests at one replica and queues the
// requests beyond it. It performs no I/O; the caller passes the time.
package limit

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
	"github.com/nutmeghitch/nutmeghitch/pkg/ramp"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// EstimateMaxAge is the age after which the measured service time is no longer
	// used to refuse requests. Without it, one very slow response could cause all
	// requests to be refused, and no response would ever correct the estimate.
	EstimateMaxAge = time.Second
	// MinRetryAfter is the shortest time after which a refusal suggests a retry.
	MinRetryAfter = 5 * time.Millisecond
	// deviationFactor times the mean deviation is added to the mean service time to
	// estimate the time that a request needs to finish; see TestGoodputUnderOverload
	// in pkg/admission.
	deviationFactor = 2
	// smoothingDivisor is the inverse of the weight of a new sample in the moving
	// average of the service time, which thus covers about the last 8 responses.
	smoothingDivisor = 8
)

// Config holds the limits of one replica.
type Config struct {
	// Slots is the number of requests that the replica runs at a time.
	Slots int
	// QueueLimit is the number of places in the queue.
	QueueLimit int
}

// Request is a request to the replica.
type Request struct {
	ID       uint64
	Deadline time.Time
	Caller   string
	// Operation may be empty. The window compares service times of the same operation
	// only.
	Operation string
	// Suspect is set if the request is suspected of crashing replicas. Only one such
	// request at a time runs at the replica.
	Suspect bool
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Succeeded is a complete response in time.
	Succeeded Outcome = iota
	// Shed is a refusal by the upstream.
	Shed
	// Lost is a broken connection.
	Lost
	// Failed is any other response; it says nothing about the load.
	Failed
	// NotSent is an attempt that ended before its first byte was sent. No idle gap
	// follows it.
	NotSent
	// Withdrawn is an attempt that was canceled.
	Withdrawn
	// ShedCold is a refusal by an upstream that gives a cold start as the reason.
	ShedCold
)

// Verdict states what happens to an offered request.
type Verdict uint8

// Verdicts.
const (
	// Granted: the request starts now.
	Granted Verdict = iota
	// Queued: the request waits in the queue.
	Queued
	// Refused: the request neither runs nor waits.
	Refused
)

// Decision is the result of Offer. Refusal is set if the request was refused.
type Decision struct {
	Verdict Verdict
	Refusal *errs.Refusal
}

// attempt is a queued or running request.
type attempt struct {
	operation string
	suspect   bool
}

// Limiter bounds the concurrent requests at one replica and queues the others. It
// is not safe for concurrent use; its owner locks it. After each call, and after
// each change of the window from outside, the owner asks NextPoll when to call Poll.
type Limiter struct {
	config          Config
	window          *ramp.Window
	queue           *fairqueue.Queue
	waiting         map[uint64]attempt
	running         map[uint64]attempt
	runningSuspects int // number of suspect requests in running
	// idleGapUntil is the end of the idle gap after the last attempt. It applies while
	// the window is below 1.
	idleGapUntil time.Time

	// meanServiceTime and meanDeviation are moving averages of the service time and of
	// its absolute deviation from the average.
	meanServiceTime      time.Duration
	meanDeviation        time.Duration
	serviceTimeUpdatedAt time.Time
}

// NewLimiter returns a Limiter without running or queued requests.
func NewLimiter(c Config, w *ramp.Window) *Limiter {
	return &Limiter{
		config:  c,
		window:  w,
		queue:   fairqueue.New(c.QueueLimit),
		waiting: map[uint64]attempt{},
		running: map[uint64]attempt{},
	}
}

// Configure changes the limits. Running and queued requests are kept.
func (l *Limiter) Configure(c Config) {
	l.config = c
	l.queue.SetLimit(c.QueueLimit)
}

// Offer starts a request now, or queues it if it can finish later within its deadline,
// or else refuses it.
func (l *Limiter) Offer(now time.Time, r Request) Decision {
	if refusal := l.checkRequest(now, r); refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	a := attempt{operation: r.Operation, suspect: r.Suspect}
	if l.canStart(now) && l.suspectAllowed(r) && !l.queuedCanStart(now) {
		l.start(r.ID, a)
		return Decision{Verdict: Granted}
	}
	if refusal := l.checkQueue(now, r); refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	l.waiting[r.ID] = a
	l.queue.Push(fairqueue.Item{ID: r.ID, Deadline: r.Deadline, Caller: r.Caller, Exclusive: r.Suspect})
	return Decision{Verdict: Queued}
}

// Done records the end of a granted attempt and returns the ids of the queued requests
// that start now. It ignores an unknown id, for instance one that is reported twice.
func (l *Limiter) Done(now time.Time, id uint64, o Outcome, serviceTime time.Duration) []uint64 {
	a, ok := l.running[id]
	if !ok {
		return nil
	}
	delete(l.running, id)
	if a.suspect {
		l.runningSuspects--
	}
	l.reportOutcome(now, a, o, serviceTime)
	if o != NotSent {
		l.idleGapUntil = now.Add(l.window.IdleGap())
	}
	return l.startQueued(now)
}

// Withdraw removes a request from the queue and returns the ids of the queued requests
// that start now.
func (l *Limiter) Withdraw(now time.Time, id uint64) []uint64 {
	if _, ok := l.waiting[id]; !ok {
		return nil
	}
	delete(l.waiting, id)
	l.queue.Remove(id)
	return l.startQueued(now)
}

// Poll removes requests from the queue. It returns the ids of those that start now, and
// of those that have expired: they can no longer finish in time and did not run.
func (l *Limiter) Poll(now time.Time) (granted, expired []uint64) {
	expired = l.queue.Expire(l.earliestDeadline(now))
	for _, id := range expired {
		delete(l.waiting, id)
	}
	return l.startQueued(now), expired
}

// NextPoll returns the time at which Poll can next start or expire a request. It
// reports false if the queue is empty.
func (l *Limiter) NextPoll(now time.Time) (time.Time, bool) {
	if l.queue.Len() == 0 {
		return time.Time{}, false
	}
	at := l.queue.EarliestDeadline().Add(-l.serviceTimeEstimate(now))
	if l.slotFree() && l.queuedCanStart(now) {
		at = earlier(at, l.idleGapUntil)
	}
	if at.Before(now) {
		at = now
	}
	return at, true
}

// Drain empties the queue and returns the ids of the removed requests. It is called
// when the replica is excluded or no longer owned by this VM. Running attempts
// continue.
func (l *Limiter) Drain() []uint64 {
	clear(l.waiting)
	return l.queue.Drain()
}

// Hint returns the load at the replica, for the routing at other VMs.
func (l *Limiter) Hint() wire.LoadHint {
	return wire.LoadHint{
		Outstanding: len(l.running) + l.queue.Len(),
		Window:      l.window.Value(),
		ServiceTime: l.meanServiceTime,
	}
}

// InFlight returns the number of attempts that are running at the replica.
func (l *Limiter) InFlight() int { return len(l.running) }

// start counts a request as running.
func (l *Limiter) start(id uint64, a attempt) {
	l.running[id] = a
	if a.suspect {
		l.runningSuspects++
	}
}

// startQueued starts queued requests while the limits allow it and returns their ids.
func (l *Limiter) startQueued(now time.Time) []uint64 {
	var granted []uint64
	for l.canStart(now) {
		it, ok := l.queue.Pop(l.earliestDeadline(now), l.runningSuspects == 0)
		if !ok {
			break
		}
		l.start(it.ID, l.waiting[it.ID])
		delete(l.waiting, it.ID)
		granted = append(granted, it.ID)
	}
	return granted
}

// slotFree reports whether fewer attempts are running than the window and the slots of
// the replica allow.
func (l *Limiter) slotFree() bool {
	return len(l.running) < min(l.window.Concurrency(), max(1, l.config.Slots))
}

// canStart reports whether an attempt may start now.
func (l *Limiter) canStart(now time.Time) bool {
	if !l.slotFree() {
		return false
	}
	return l.window.Value() >= 1 || !now.Before(l.idleGapUntil)
}

// queuedCanStart reports whether a queued request could start if a slot were free.
func (l *Limiter) queuedCanStart(now time.Time) bool {
	return l.queue.CanPop(l.earliestDeadline(now), l.runningSuspects == 0)
}

// suspectAllowed reports whether the request may start under the rule that only one
// suspect request runs at a time.
func (l *Limiter) suspectAllowed(r Request) bool { return !r.Suspect || l.runningSuspects == 0 }

// earliestDeadline returns the earliest deadline that a request started now can still
// meet.
func (l *Limiter) earliestDeadline(now time.Time) time.Time {
	return now.Add(l.serviceTimeEstimate(now)).Add(time.Nanosecond)
}

// reportOutcome passes the outcome of an attempt to the window.
func (l *Limiter) reportOutcome(now time.Time, a attempt, o Outcome, serviceTime time.Duration) {
	switch o {
	case Succeeded:
		l.window.RecordOperationCompletion(now, a.operation, serviceTime)
		l.recordServiceTime(now, serviceTime)
	case Shed:
		l.window.RecordShed(now)
	case ShedCold:
		l.window.RecordColdShed(now)
	case Lost:
		l.window.RecordLoss(now)
	}
}

// recordServiceTime adds a sample to the moving averages.
func (l *Limiter) recordServiceTime(now time.Time, serviceTime time.Duration) {
	l.serviceTimeUpdatedAt = now
	if l.meanServiceTime == 0 {
		l.meanServiceTime = serviceTime
		return
	}
	l.meanDeviation += ((serviceTime - l.meanServiceTime).Abs() - l.meanDeviation) / smoothingDivisor
	l.meanServiceTime += (serviceTime - l.meanServiceTime) / smoothingDivisor
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
