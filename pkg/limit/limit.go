// Package limit bounds the concurrent work at one replica and orders the work
// that waits for it. It performs no I/O; the caller passes the time.
package limit

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
	"github.com/nutmeghitch/nutmeghitch/pkg/ramp"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// EstimateMaxAge is the age after which the service time is no longer used
	// to refuse work. Without it one very slow answer could refuse all work,
	// and no answer would ever correct the estimate.
	EstimateMaxAge = time.Second
	// MinRetryAfter is the shortest wait a refusal asks for.
	MinRetryAfter = 5 * time.Millisecond
	// deviations is the number of mean deviations that work needs beside the
	// mean service time to count as able to finish; see TestGoodputUnderOverload
	// in pkg/admission.
	deviations = 2
	// serviceWeight makes the service time follow about the last 8 answers.
	serviceWeight = 8
)

// Config holds the limits of one replica.
type Config struct {
	Slots      int
	QueueLimit int
}

// Request is work for the replica. Operation separates service times and may
// be empty. Of the suspects only one at a time runs at the replica.
type Request struct {
	ID        uint64
	Deadline  time.Time
	Caller    string
	Operation string
	Suspect   bool
}

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Succeeded is a complete answer in time.
	Succeeded Outcome = iota
	// Shed is a refusal by the upstream.
	Shed
	// Lost is a broken connection.
	Lost
	// Failed is any other answer; it says nothing about the load.
	Failed
	// NotSent is an attempt of which no byte left; it causes no idle gap.
	NotSent
	// Withdrawn is an attempt that was canceled.
	Withdrawn
	// ShedCold is a refusal by an upstream that says it is cold.
	ShedCold
)

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

type attempt struct {
	operation string
	suspect   bool
}

// Limiter bounds the concurrent requests at one replica and queues the others. It
// is not safe for concurrent use; its owner locks it. After each call, and after
// each change of the window from outside, the owner asks NextPoll when to call Poll.
type Limiter struct {
	config   Config
	window   *ramp.Window
	queue    *fairqueue.Queue
	waiting  map[uint64]attempt
	running  map[uint64]attempt
	suspects int       // suspects in flight
	gapUntil time.Time // end of the idle gap of a window below 1

	service   time.Duration // decaying mean of answers
	deviation time.Duration // decaying mean distance from it
	serviceAt time.Time
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

// Configure changes the limits. Work that waits or runs is kept.
func (l *Limiter) Configure(c Config) {
	l.config = c
	l.queue.SetLimit(c.QueueLimit)
}

// Offer asks to run a request now, or later if its deadline allows it.
func (l *Limiter) Offer(now time.Time, r Request) Decision {
	if refusal := l.inadmissible(now, r); refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	a := attempt{operation: r.Operation, suspect: r.Suspect}
	if l.open(now) && l.suspectFits(r) && !l.ready(now) {
		l.start(r.ID, a)
		return Decision{Verdict: Granted}
	}
	if refusal := l.unqueueable(now, r); refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	l.waiting[r.ID] = a
	l.queue.Push(fairqueue.Item{ID: r.ID, Deadline: r.Deadline, Caller: r.Caller, Exclusive: r.Suspect})
	return Decision{Verdict: Queued}
}

// Done reports the end of a granted attempt and returns the requests to start
// now. An unknown id, for instance one reported twice, has no effect.
func (l *Limiter) Done(now time.Time, id uint64, o Outcome, service time.Duration) []uint64 {
	a, ok := l.running[id]
	if !ok {
		return nil
	}
	delete(l.running, id)
	if a.suspect {
		l.suspects--
	}
	l.report(now, a, o, service)
	if o != NotSent {
		l.gapUntil = now.Add(l.window.Gap())
	}
	return l.fill(now)
}

// Withdraw gives up a queued request and returns the requests to start now.
func (l *Limiter) Withdraw(now time.Time, id uint64) []uint64 {
	if _, ok := l.waiting[id]; !ok {
		return nil
	}
	delete(l.waiting, id)
	l.queue.Remove(id)
	return l.fill(now)
}

// Poll returns queued requests that start now and ones that can no longer
// finish in time; these did not run.
func (l *Limiter) Poll(now time.Time) (granted, expired []uint64) {
	expired = l.queue.Expire(l.earliest(now))
	for _, id := range expired {
		delete(l.waiting, id)
	}
	return l.fill(now), expired
}

// NextPoll returns the time at which Poll can next start or expire a request. It
// reports false if the queue is empty.
func (l *Limiter) NextPoll(now time.Time) (time.Time, bool) {
	if l.queue.Len() == 0 {
		return time.Time{}, false
	}
	at := l.queue.First().Add(-l.estimate(now))
	if l.slotFree() && l.ready(now) {
		at = earlier(at, l.gapUntil)
	}
	if at.Before(now) {
		at = now
	}
	return at, true
}

// Drain empties the queue after ownership was lost. Running attempts go on.
func (l *Limiter) Drain() []uint64 {
	clear(l.waiting)
	return l.queue.Drain()
}

// Hint reports the load for routing.
func (l *Limiter) Hint() wire.LoadHint {
	return wire.LoadHint{
		Outstanding: len(l.running) + l.queue.Len(),
		Window:      l.window.Value(),
		ServiceTime: l.service,
	}
}

// InFlight returns the number of attempts that run at the replica.
func (l *Limiter) InFlight() int { return len(l.running) }

func (l *Limiter) start(id uint64, a attempt) {
	l.running[id] = a
	if a.suspect {
		l.suspects++
	}
}

// fill starts queued requests while there are slots.
func (l *Limiter) fill(now time.Time) []uint64 {
	var granted []uint64
	for l.open(now) {
		it, ok := l.queue.Pop(l.earliest(now), l.suspects == 0)
		if !ok {
			break
		}
		l.start(it.ID, l.waiting[it.ID])
		delete(l.waiting, it.ID)
		granted = append(granted, it.ID)
	}
	return granted
}

func (l *Limiter) slotFree() bool {
	return len(l.running) < min(l.window.Concurrency(), max(1, l.config.Slots))
}

// open tells whether an attempt may start now.
func (l *Limiter) open(now time.Time) bool {
	if !l.slotFree() {
		return false
	}
	return l.window.Value() >= 1 || !now.Before(l.gapUntil)
}

// ready tells whether a queued request could start if there were a slot.
func (l *Limiter) ready(now time.Time) bool {
	return l.queue.Ready(l.earliest(now), l.suspects == 0)
}

func (l *Limiter) suspectFits(r Request) bool { return !r.Suspect || l.suspects == 0 }

// earliest is the earliest deadline that work started now can still meet.
func (l *Limiter) earliest(now time.Time) time.Time {
	return now.Add(l.estimate(now)).Add(time.Nanosecond)
}

func (l *Limiter) report(now time.Time, a attempt, o Outcome, service time.Duration) {
	switch o {
	case Succeeded:
		l.window.CompletedOperation(now, a.operation, service)
		l.noteService(now, service)
	case Shed:
		l.window.Shed(now)
	case ShedCold:
		l.window.ShedCold(now)
	case Lost:
		l.window.Lost(now)
	}
}

func (l *Limiter) noteService(now time.Time, service time.Duration) {
	l.serviceAt = now
	if l.service == 0 {
		l.service = service
		return
	}
	l.deviation += ((service - l.service).Abs() - l.deviation) / serviceWeight
	l.service += (service - l.service) / serviceWeight
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
