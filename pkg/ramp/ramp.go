// Package ramp decides how much concurrent work one replica gets while it
// warms up. It performs no I/O; the caller passes the time.
package ramp

import (
	"math"
	"time"
)

const (
	// MinWindow is the smallest window: one request in ten service times.
	MinWindow = 0.1
	// DoubleAfter is the busy time in which the window doubles. Five doublings
	// lead from MinWindow to 3 slots, so a warm replica is at full slots in
	// about 3 s.
	DoubleAfter = 500 * time.Millisecond
	// UnprovenDoubleAfter replaces DoubleAfter while the baseline rests on few
	// completions, because they may all come from a cold replica.
	UnprovenDoubleAfter = time.Second
	// ProvenAfter is the number of completions that prove a baseline.
	ProvenAfter = 64
	// LinearGrowth is the growth in slots per second of busy time above half
	// of the window at which the replica last refused or failed.
	LinearGrowth = 1.0
	// MaxStep bounds the growth factor of one completion.
	MaxStep = 2.0
	// BaselineDoubleAfter bounds how fast answers slower than SlowFactor can
	// raise the baseline. It exceeds the duration of a cold start, and still
	// lets a lasting change of the workload become the new normal.
	BaselineDoubleAfter = 30 * time.Second
	// SlowFactor times the baseline is the slowest answer that lets the window grow.
	SlowFactor = 2.0
	// JumpFactor times the baseline, exceeded by JumpRun completions in a row, shrinks the window.
	JumpFactor = 3.0
	// JumpRun is the number of slow completions in a row that count as a jump,
	// unless slow completions are common in the normal phase.
	JumpRun = 4
	// MaxIdleGap bounds the idle gap, so that one very slow answer cannot stop a replica.
	MaxIdleGap = 2 * time.Second
	// ReduceHold is the shortest time between two reductions. Requests in
	// flight together are refused together and count as one refusal.
	ReduceHold = 20 * time.Millisecond

	// assumedService stands for the service time until one is known.
	assumedService = 10 * time.Millisecond
	meanWeight     = 1.0 / 8
)

// Config holds the limits of one replica.
type Config struct {
	// Slots is the number of requests the replica runs at a time.
	Slots int
	// ColdWindow is the window right after a start.
	ColdWindow float64
}

// Window is the number of concurrent requests one replica may get. A value
// below 1 means one request at a time with an idle gap after each. A Window is
// guarded by its caller.
type Window struct {
	slots     float64
	cold      float64
	cap       float64
	value     float64
	threshold float64
	instance  string

	lastCompleted time.Time
	lastReduced   time.Time
	mean          float64
	slowRun       int
	// ramping is set from a start until the first time at full slots. Slow
	// answers then take back what normal ones gained, because some answers of a
	// cold replica are as fast as normal ones.
	ramping   bool
	baselines map[string]*baseline
}

// New returns a window at its cold value.
func New(c Config, now time.Time) *Window {
	w := &Window{baselines: map[string]*baseline{}}
	w.Configure(c)
	w.Restart(now)
	return w
}

// Configure changes the limits and keeps what is known of the replica.
func (w *Window) Configure(c Config) {
	w.slots = math.Max(1, float64(c.Slots))
	w.cold = math.Min(math.Max(c.ColdWindow, MinWindow), w.slots)
	w.clamp()
}

// SeedBaseline sets the baseline of an operation if none has been proven yet, for
// instance from other replicas of the group. A seeded window recognises a cold
// replica's slow answers from the first one on.
func (w *Window) SeedBaseline(operation string, normal time.Duration) {
	b := w.baselineOf(operation)
	if normal > 0 && !b.proven() {
		*b = baseline{value: float64(normal), answers: ProvenAfter}
	}
}

// Baseline returns the service time of normal answers to an operation, and
// whether enough completions support it.
func (w *Window) Baseline(operation string) (time.Duration, bool) {
	b := w.baselineOf(operation)
	return time.Duration(b.value), b.proven()
}

// RecordCompletion reports a successful answer of a replica with one operation.
func (w *Window) RecordCompletion(now time.Time, service time.Duration) {
	w.RecordOperationCompletion(now, "", service)
}

// RecordOperationCompletion reports a successful answer. Service times are compared
// with those of the same operation only.
func (w *Window) RecordOperationCompletion(now time.Time, operation string, service time.Duration) {
	s := math.Max(float64(service), 1)
	busy := w.busyTime(now, s)
	w.lastCompleted = now
	w.noteMean(s)
	b := w.baselineOf(operation)
	jump := w.noteRun(b, s)
	b.learn(s, busy)
	switch {
	case jump:
		// A slow answer is still an answer, so a jump alone never leads below the cold window.
		w.reduce(now, w.cold)
	case b.normal(s):
		w.grow(w.step(busy, b.proven()))
	case w.ramping:
		worth := math.Min(busy, b.value+float64(w.IdleGap()))
		w.value = math.Max(w.value-w.step(worth, b.proven()), math.Min(w.value, w.cold))
	}
}

// RecordShed reports that the replica refused a request.
func (w *Window) RecordShed(now time.Time) { w.reduce(now, MinWindow) }

// RecordColdShed reports that the replica refused a request because it is cold.
func (w *Window) RecordColdShed(now time.Time) {
	w.reduce(now, MinWindow)
	w.value = math.Min(w.value, w.cold)
	w.ramping = true
}

// RecordLoss reports that the replica's connection broke during a request.
func (w *Window) RecordLoss(now time.Time) { w.reduce(now, MinWindow) }

// SetInstance reports the identity of the process that answered. A changed
// identity restarts the ramp. An empty identity is ignored.
func (w *Window) SetInstance(now time.Time, id string) {
	if id == "" || id == w.instance {
		return
	}
	known := w.instance != ""
	w.instance = id
	if known {
		w.Restart(now)
	}
}

// Restart sets the window back to its cold value. The baseline is kept: it
// describes the warm replica and reveals slow answers after the restart.
func (w *Window) Restart(now time.Time) {
	w.value = w.cold
	w.threshold = w.slots
	w.lastReduced = time.Time{}
	w.lastCompleted = now
	w.slowRun = 0
	w.ramping = true
	for _, b := range w.baselines {
		b.restart()
	}
	w.clamp()
}

// SetTakeoverLimit bounds the window while a takeover is not confirmed; 0 lifts the bound.
// The window grows from the bound on evidence after it is lifted.
func (w *Window) SetTakeoverLimit(limit float64) {
	w.cap = limit
	w.clamp()
}

// Value returns the window.
func (w *Window) Value() float64 { return w.value }

// Concurrency returns the number of requests that may run at a time.
func (w *Window) Concurrency() int {
	return int(math.Max(1, math.Min(w.slots, math.Floor(w.value))))
}

// IdleGap returns the idle time after a completion; it is 0 at a window of 1 or more.
func (w *Window) IdleGap() time.Duration {
	if w.value >= 1 {
		return 0
	}
	mean := w.mean
	if mean == 0 {
		mean = float64(assumedService)
	}
	gap := time.Duration(mean * (1/w.value - 1))
	return min(gap, MaxIdleGap)
}

func (w *Window) clamp() {
	top := w.slots
	if w.cap > 0 {
		top = math.Min(top, math.Max(w.cap, MinWindow))
	}
	w.value = math.Min(math.Max(w.value, MinWindow), top)
	w.threshold = math.Min(w.threshold, w.slots)
}

// busyTime returns the time since the last completion that the replica spent
// on this request, including the gap before it. Idle time is not evidence.
func (w *Window) busyTime(now time.Time, service float64) float64 {
	elapsed := math.Max(0, float64(now.Sub(w.lastCompleted)))
	return math.Min(elapsed, service+float64(w.IdleGap()))
}

func (w *Window) noteMean(s float64) {
	if w.mean == 0 {
		w.mean = s
		return
	}
	w.mean += (s - w.mean) * meanWeight
}

func (w *Window) baselineOf(operation string) *baseline {
	if b, ok := w.baselines[operation]; ok {
		return b
	}
	if len(w.baselines) >= maxOperations {
		operation = ""
	}
	b, ok := w.baselines[operation]
	if !ok {
		b = &baseline{}
		w.baselines[operation] = b
	}
	return b
}

// noteRun counts slow answers in a row, of any operation, and tells whether
// they are a jump.
func (w *Window) noteRun(b *baseline, s float64) bool {
	if !b.jumped(s) {
		w.slowRun = 0
		return false
	}
	w.slowRun++
	if w.slowRun < b.run() {
		return false
	}
	w.slowRun = 0
	return true
}

// step returns the growth that busy time with a normal answer is worth.
func (w *Window) step(busy float64, proven bool) float64 {
	double := DoubleAfter
	if !proven {
		double = UnprovenDoubleAfter
	}
	step := w.value * (math.Min(MaxStep, math.Exp2(busy/float64(double))) - 1)
	if w.value >= w.threshold {
		step = math.Min(step, LinearGrowth*busy/float64(time.Second))
	}
	return step
}

func (w *Window) grow(step float64) {
	w.value += step
	w.clamp()
	w.ramping = w.ramping && w.value < w.slots
}

func (w *Window) reduce(now time.Time, floor float64) {
	if now.Sub(w.lastReduced) < ReduceHold {
		return
	}
	w.lastReduced = now
	w.threshold = math.Max(w.value/2, MinWindow)
	w.value = math.Min(w.value, math.Max(w.value/2, floor))
	w.clamp()
}
