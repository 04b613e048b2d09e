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

// Gate bounds the work at one replica. It is guarded by its owner. After each
// call, and after each change of the window from outside, the owner asks Wake
// when to call Poll.
type Gate struct {
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

// NewGate returns an idle gate.
func NewGate(c Config, w *ramp.Window) *Gate {
	return &Gate{
		config:  c,
		window:  w,
		queue:   fairqueue.New(c.QueueLimit),
		waiting: map[uint64]attempt{},
		running: map[uint64]attempt{},
	}
}

// Configure changes the limits. Work that waits or runs is kept.
func (g *Gate) Configure(c Config) {
	g.config = c
	g.queue.SetLimit(c.QueueLimit)
}

// Offer asks to run a request now, or later if its deadline allows it.
func (g *Gate) Offer(now time.Time, r Request) Decision {
	if refusal := g.inadmissible(now, r); refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	a := attempt{operation: r.Operation, suspect: r.Suspect}
	if g.open(now) && g.suspectFits(r) && !g.ready(now) {
		g.start(r.ID, a)
		return Decision{Verdict: Granted}
	}
	if refusal := g.unqueueable(now, r); refusal != nil {
		return Decision{Verdict: Refused, Refusal: refusal}
	}
	g.waiting[r.ID] = a
	g.queue.Push(fairqueue.Item{ID: r.ID, Deadline: r.Deadline, Caller: r.Caller, Exclusive: r.Suspect})
	return Decision{Verdict: Queued}
}

// Done reports the end of a granted attempt and returns the requests to start
// now. An unknown id, for instance one reported twice, has no effect.
func (g *Gate) Done(now time.Time, id uint64, o Outcome, service time.Duration) []uint64 {
	a, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	if a.suspect {
		g.suspects--
	}
	g.report(now, a, o, service)
	if o != NotSent {
		g.gapUntil = now.Add(g.window.Gap())
	}
	return g.fill(now)
}

// Withdraw gives up a queued request and returns the requests to start now.
func (g *Gate) Withdraw(now time.Time, id uint64) []uint64 {
	if _, ok := g.waiting[id]; !ok {
		return nil
	}
	delete(g.waiting, id)
	g.queue.Remove(id)
	return g.fill(now)
}

// Poll returns queued requests that start now and ones that can no longer
// finish in time; these did not run.
func (g *Gate) Poll(now time.Time) (granted, expired []uint64) {
	expired = g.queue.Expire(g.earliest(now))
	for _, id := range expired {
		delete(g.waiting, id)
	}
	return g.fill(now), expired
}

// Wake returns the time at which Poll has something to do next. It is false
// while only Done or Withdraw can change anything.
func (g *Gate) Wake(now time.Time) (time.Time, bool) {
	if g.queue.Len() == 0 {
		return time.Time{}, false
	}
	at := g.queue.First().Add(-g.estimate(now))
	if g.slotFree() && g.ready(now) {
		at = earlier(at, g.gapUntil)
	}
	if at.Before(now) {
		at = now
	}
	return at, true
}

// Drain empties the queue after ownership was lost. Running attempts go on.
func (g *Gate) Drain() []uint64 {
	clear(g.waiting)
	return g.queue.Drain()
}

// Hint reports the load for routing.
func (g *Gate) Hint() wire.LoadHint {
	return wire.LoadHint{
		Outstanding: len(g.running) + g.queue.Len(),
		Window:      g.window.Value(),
		ServiceTime: g.service,
	}
}

// InFlight returns the number of attempts that run at the replica.
func (g *Gate) InFlight() int { return len(g.running) }

func (g *Gate) start(id uint64, a attempt) {
	g.running[id] = a
	if a.suspect {
		g.suspects++
	}
}

// fill starts queued requests while there are slots.
func (g *Gate) fill(now time.Time) []uint64 {
	var granted []uint64
	for g.open(now) {
		it, ok := g.queue.Pop(g.earliest(now), g.suspects == 0)
		if !ok {
			break
		}
		g.start(it.ID, g.waiting[it.ID])
		delete(g.waiting, it.ID)
		granted = append(granted, it.ID)
	}
	return granted
}

func (g *Gate) slotFree() bool {
	return len(g.running) < min(g.window.Concurrency(), max(1, g.config.Slots))
}

// open tells whether an attempt may start now.
func (g *Gate) open(now time.Time) bool {
	if !g.slotFree() {
		return false
	}
	return g.window.Value() >= 1 || !now.Before(g.gapUntil)
}

// ready tells whether a queued request could start if there were a slot.
func (g *Gate) ready(now time.Time) bool {
	return g.queue.Ready(g.earliest(now), g.suspects == 0)
}

func (g *Gate) suspectFits(r Request) bool { return !r.Suspect || g.suspects == 0 }

// earliest is the earliest deadline that work started now can still meet.
func (g *Gate) earliest(now time.Time) time.Time {
	return now.Add(g.estimate(now)).Add(time.Nanosecond)
}

func (g *Gate) report(now time.Time, a attempt, o Outcome, service time.Duration) {
	switch o {
	case Succeeded:
		g.window.CompletedOperation(now, a.operation, service)
		g.noteService(now, service)
	case Shed:
		g.window.Shed(now)
	case ShedCold:
		g.window.ShedCold(now)
	case Lost:
		g.window.Lost(now)
	}
}

func (g *Gate) noteService(now time.Time, service time.Duration) {
	g.serviceAt = now
	if g.service == 0 {
		g.service = service
		return
	}
	g.deviation += ((service - g.service).Abs() - g.deviation) / serviceWeight
	g.service += (service - g.service) / serviceWeight
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
