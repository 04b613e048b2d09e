// Package ramp decides how much concurrent work one replica gets while it
// warms up. It performs no I/O; the caller passes the time.
package ramp

import (
	"math"
	"time"
)

const (
	// MinWindow is the smallest window: one request per ten service times.
	MinWindow = 0.1
	// DoublingTime is the busy time in which the window doubles. About five
	// doublings raise it from MinWindow to 3 slots, so a warm replica uses all
	// its slots after about 3 s.
	DoublingTime = 500 * time.Millisecond
	// UnprovenDoublingTime replaces DoublingTime while the baseline rests on fewer
	// than MinBaselineAnswers answers, because a cold replica may have given all
	// of them.
	UnprovenDoublingTime = time.Second
	// MinBaselineAnswers is the number of answers after which a baseline is proven.
	MinBaselineAnswers = 64
	// LinearSlotsPerSecond limits the growth, in slots per second of busy time, while
	// the window is above half the size at which it was last reduced.
	LinearSlotsPerSecond = 1.0
	// MaxGrowthFactor is the largest factor by which one answer raises the window.
	MaxGrowthFactor = 2.0
	// BaselineDoublingTime is the busy time in which a phase of slow answers
	// doubles the baseline. It exceeds the duration of a cold start, and a lasting
	// change of the workload still raises the baseline in the end.
	BaselineDoublingTime = 30 * time.Second
	// SlowFactor times the baseline is the longest service time with which an
	// answer raises the window.
	SlowFactor = 2.0
	// JumpFactor times the baseline is the service time that JumpRunLength answers
	// in a row must exceed to reduce the window.
	JumpFactor = 3.0
	// JumpRunLength is the number of answers above JumpFactor in a row that count
	// as a jump. More are needed where such answers are common in normal operation.
	JumpRunLength = 4
	// MaxIdleGap bounds the idle gap, so that one very slow answer cannot stop
	// the traffic to a replica.
	MaxIdleGap = 2 * time.Second
	// MinReductionInterval is the shortest time between two reductions. Requests
	// that are in flight together are refused together, which counts as one refusal.
	MinReductionInterval = 20 * time.Millisecond

	// assumedServiceTime is used for the idle gap until a service time is known.
	assumedServiceTime = 10 * time.Millisecond
	// meanServiceTimeWeight is the weight of one answer in the moving average.
	meanServiceTimeWeight = 1.0 / 8
)

// Config holds the limits for one replica.
type Config struct {
	// Slots is the number of requests that the replica runs at a time.
	Slots int
	// ColdWindow is the window right after the replica has started.
	ColdWindow float64
}

// Window limits the number of concurrent requests to one replica. A value below 1
// means one request at a time with an idle gap after each. It is not safe for
// concurrent use.
type Window struct {
	slots           float64
	coldWindow      float64
	takeoverLimit   float64 // 0 for none
	value           float64
	linearThreshold float64 // from this window on growth is limited to LinearSlotsPerSecond
	instance        string  // identity of the process that answers, empty until known

	lastCompletedAt  time.Time
	lastReducedAt    time.Time
	meanServiceNanos float64
	jumpAnswersInRow int
	// warmingUp is set from a start of the replica until the window first reaches
	// its slots. Meanwhile slow answers lower the window as much as normal ones
	// raise it, because some answers of a cold replica are as fast as normal ones.
	warmingUp bool
	baselines map[string]*baseline
}

// New returns a window of the size ColdWindow.
func New(c Config, now time.Time) *Window {
	w := &Window{baselines: map[string]*baseline{}}
	w.Configure(c)
	w.Restart(now)
	return w
}

// Configure changes the limits and keeps the baselines and the state of the ramp.
func (w *Window) Configure(c Config) {
	w.slots = math.Max(1, float64(c.Slots))
	w.coldWindow = math.Min(math.Max(c.ColdWindow, MinWindow), w.slots)
	w.clamp()
}

// SeedBaseline sets the baseline of an operation unless it is proven already, for
// instance to that of other replicas of the group. A seeded window recognizes the
// slow answers of a cold replica from the first one on.
func (w *Window) SeedBaseline(operation string, normalServiceTime time.Duration) {
	b := w.baselineOf(operation)
	if normalServiceTime > 0 && !b.proven() {
		*b = baseline{normalNanos: float64(normalServiceTime), sampleCount: MinBaselineAnswers}
	}
}

// Baseline returns the service time of normal answers to an operation, and
// whether it is proven.
func (w *Window) Baseline(operation string) (time.Duration, bool) {
	b := w.baselineOf(operation)
	return time.Duration(b.normalNanos), b.proven()
}

// RecordCompletion records a successful answer of a replica that has one operation.
func (w *Window) RecordCompletion(now time.Time, serviceTime time.Duration) {
	w.RecordOperationCompletion(now, "", serviceTime)
}

// RecordOperationCompletion records a successful answer to an operation. Its service
// time is compared with those of the same operation only.
func (w *Window) RecordOperationCompletion(now time.Time, operation string, serviceTime time.Duration) {
	serviceNanos := math.Max(float64(serviceTime), 1)
	busyNanos := w.busyNanos(now, serviceNanos)
	w.lastCompletedAt = now
	w.updateMean(serviceNanos)
	b := w.baselineOf(operation)
	jump := w.detectJump(b, serviceNanos)
	b.record(serviceNanos, busyNanos)
	switch {
	case jump:
		// The replica still answers, so a jump alone never reduces the window below the
		// cold window.
		w.reduce(now, w.coldWindow)
	case b.isNormal(serviceNanos):
		w.grow(w.growthFor(busyNanos, b.proven()))
	case w.warmingUp:
		lostNanos := math.Min(busyNanos, b.normalNanos+float64(w.IdleGap()))
		w.value = math.Max(w.value-w.growthFor(lostNanos, b.proven()), math.Min(w.value, w.coldWindow))
	}
}

// RecordShed records that the replica refused a request.
func (w *Window) RecordShed(now time.Time) { w.reduce(now, MinWindow) }

// RecordColdShed records that the replica refused a request because it is cold.
func (w *Window) RecordColdShed(now time.Time) {
	w.reduce(now, MinWindow)
	w.value = math.Min(w.value, w.coldWindow)
	w.warmingUp = true
}

// RecordLoss records that the connection to the replica broke during a request.
func (w *Window) RecordLoss(now time.Time) { w.reduce(now, MinWindow) }

// SetInstance sets the identity of the process that answered. A changed identity
// restarts the ramp; an empty one is ignored.
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

// Restart resets the window to its cold size. The baselines are kept: they describe
// the warm replica, so slow answers after the restart are recognized.
func (w *Window) Restart(now time.Time) {
	w.value = w.coldWindow
	w.linearThreshold = w.slots
	w.lastReducedAt = time.Time{}
	w.lastCompletedAt = now
	w.jumpAnswersInRow = 0
	w.warmingUp = true
	for _, b := range w.baselines {
		b.resetPhase()
	}
	w.clamp()
}

// SetTakeoverLimit limits the window until the takeover of the replica is confirmed;
// 0 removes the limit. Answers then raise the window from where it was.
func (w *Window) SetTakeoverLimit(limit float64) {
	w.takeoverLimit = limit
	w.clamp()
}

// Value returns the size of the window in requests.
func (w *Window) Value() float64 { return w.value }

// Concurrency returns how many requests may run at a time; it is at least 1.
func (w *Window) Concurrency() int {
	return int(math.Max(1, math.Min(w.slots, math.Floor(w.value))))
}

// IdleGap returns how long the replica is left idle after an answer. It is 0 at a
// window of 1 or more.
func (w *Window) IdleGap() time.Duration {
	if w.value >= 1 {
		return 0
	}
	meanNanos := w.meanServiceNanos
	if meanNanos == 0 {
		meanNanos = float64(assumedServiceTime)
	}
	gap := time.Duration(meanNanos * (1/w.value - 1))
	return min(gap, MaxIdleGap)
}

// clamp keeps the window between MinWindow and its current upper limit.
func (w *Window) clamp() {
	upper := w.slots
	if w.takeoverLimit > 0 {
		upper = math.Min(upper, math.Max(w.takeoverLimit, MinWindow))
	}
	w.value = math.Min(math.Max(w.value, MinWindow), upper)
	w.linearThreshold = math.Min(w.linearThreshold, w.slots)
}

// busyNanos returns the part of the time since the last answer that the replica
// spent on this request, including the idle gap before it. Other idle time does not
// count: it shows nothing about the replica.
func (w *Window) busyNanos(now time.Time, serviceNanos float64) float64 {
	elapsedNanos := math.Max(0, float64(now.Sub(w.lastCompletedAt)))
	return math.Min(elapsedNanos, serviceNanos+float64(w.IdleGap()))
}

// updateMean updates the moving average of the service times.
func (w *Window) updateMean(serviceNanos float64) {
	if w.meanServiceNanos == 0 {
		w.meanServiceNanos = serviceNanos
		return
	}
	w.meanServiceNanos += (serviceNanos - w.meanServiceNanos) * meanServiceTimeWeight
}

// baselineOf returns the baseline of an operation and creates it if needed.
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

// detectJump counts answers in a row, of any operation, that exceed JumpFactor, and
// reports whether they are enough to count as a jump.
func (w *Window) detectJump(b *baseline, serviceNanos float64) bool {
	if !b.exceedsJump(serviceNanos) {
		w.jumpAnswersInRow = 0
		return false
	}
	w.jumpAnswersInRow++
	if w.jumpAnswersInRow < b.jumpRunLength() {
		return false
	}
	w.jumpAnswersInRow = 0
	return true
}

// growthFor returns by how much a normal answer after the given busy time raises
// the window.
func (w *Window) growthFor(busyNanos float64, proven bool) float64 {
	doublingTime := DoublingTime
	if !proven {
		doublingTime = UnprovenDoublingTime
	}
	growth := w.value * (math.Min(MaxGrowthFactor, math.Exp2(busyNanos/float64(doublingTime))) - 1)
	if w.value >= w.linearThreshold {
		growth = math.Min(growth, LinearSlotsPerSecond*busyNanos/float64(time.Second))
	}
	return growth
}

func (w *Window) grow(growth float64) {
	w.value += growth
	w.clamp()
	w.warmingUp = w.warmingUp && w.value < w.slots
}

// reduce halves the window, but not below floor, unless it was reduced within
// MinReductionInterval.
func (w *Window) reduce(now time.Time, floor float64) {
	if now.Sub(w.lastReducedAt) < MinReductionInterval {
		return
	}
	w.lastReducedAt = now
	w.linearThreshold = math.Max(w.value/2, MinWindow)
	w.value = math.Min(w.value, math.Max(w.value/2, floor))
	w.clamp()
}
