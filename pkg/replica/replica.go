// Package replica judges the replicas of a service by what this VM saw of
// them and chooses one for each request. It performs no I/O; the caller passes
// the time.
package replica

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyWeight is the share of a new sample in the moving latency.
	latencyWeight = 0.2
	// forgetAfter halves the distance of an unused replica's latency from the
	// usual one, so that a replica that was slow is tried again.
	forgetAfter = 3 * time.Second
	// failureWeight is the share of a new outcome in the moving failure rate,
	// failureHalfLife halves the rate of a replica that is not used.
	failureWeight   = 0.25
	failureHalfLife = 2 * time.Second
	// failureCost times the usual latency is added to the cost of a replica that
	// always fails. It is about the target of a request: a replica that fails
	// half of its requests is better than one that answers too late.
	failureCost = 5.0
	// stallAfter times the usual latency without any answer makes a replica
	// count as paused for as long as it stays silent.
	stallAfter = 2.0
	// remoteFactor and remoteCost make a replica of the own failure domain
	// preferred until it is clearly slower: bytes between domains cost.
	remoteFactor = 2.0
	remoteCost   = 6 * time.Millisecond
	// busyWeight prefers replicas with free slots: other VMs use them as well.
	busyWeight = 0.5
	// shedPause keeps requests away from a replica that has just refused one
	// because it was full.
	shedPause = 30 * time.Millisecond
)

// Tracker holds what this VM saw of one replica. It may be used by many
// goroutines.
type Tracker struct {
	Local bool
	Slots int

	mu       sync.Mutex
	inFlight int
	// silentSince is the last answer, or the time of the first request that
	// waits for one.
	silentSince time.Time
	latency     time.Duration
	sampledAt   time.Time
	failures    float64
	failedAt    time.Time
	shedUntil   time.Time
	down        bool
	window      coldWindow
}

// NewTracker returns the tracker of a replica without history.
func NewTracker(local bool, slots int) *Tracker {
	return &Tracker{Local: local, Slots: max(1, slots)}
}

// Begin takes in that a request is sent.
func (t *Tracker) Begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight == 0 {
		t.silentSince = now
	}
	t.inFlight++
}

// Outcome is how a request ended at a replica.
type Outcome uint8

// Outcomes.
const (
	// Served: the replica gave its answer.
	Served Outcome = iota
	// Shed: the replica refused the request because it was full.
	Shed
	// Failed: the replica answered with a failure or with garbage, or broke off.
	Failed
	// Abandoned: this VM stopped waiting; nothing is known of the replica.
	Abandoned
)

// End takes in how a request ended that began at start.
func (t *Tracker) End(now, start time.Time, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if outcome == Abandoned {
		t.sample(now, now.Sub(start), true)
		return
	}
	t.silentSince = now
	switch outcome {
	case Served:
		t.sample(now, now.Sub(start), false)
		t.fail(now, 0)
	case Shed:
		t.shedUntil = now.Add(shedPause)
		t.fail(now, 1)
	case Failed:
		t.fail(now, 1)
	}
}

// sample takes in a latency; one that is only a lower bound never lowers the
// average.
func (t *Tracker) sample(now time.Time, d time.Duration, lowerBound bool) {
	if lowerBound && d <= t.latency {
		return
	}
	if t.sampledAt.IsZero() {
		t.latency = d
	} else {
		t.latency += time.Duration(latencyWeight * float64(d-t.latency))
	}
	t.sampledAt = now
}

func (t *Tracker) fail(now time.Time, outcome float64) {
	rate := t.failureRate(now)
	t.failures = rate + failureWeight*(outcome-rate)
	t.failedAt = now
}

// FailureRate returns the share of recent requests that failed.
func (t *Tracker) FailureRate(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failureRate(now)
}

func (t *Tracker) failureRate(now time.Time) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * math.Exp2(-float64(now.Sub(t.failedAt))/float64(failureHalfLife))
}

// SetDown marks a replica that cannot be reached, or takes the mark back. It
// reports whether the mark changed.
func (t *Tracker) SetDown(down bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.down != down
	t.down = down
	return changed
}

// Down reports whether the replica counts as unreachable.
func (t *Tracker) Down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// LimitCold limits the requests of this VM to rate a second until the given time,
// because the replica has started recently.
func (t *Tracker) LimitCold(until time.Time, rate int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.window.until, t.window.rate = until, rate
}

// IsCold reports whether a cold limit holds.
func (t *Tracker) IsCold(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.window.until)
}

// AllowCold reports whether a request may be sent now and, if so, counts it
// towards the cold limit. A replica without a cold limit allows every request.
func (t *Tracker) AllowCold(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.window.take(now)
}

// ExpectedLatency returns the time that a request sent now is expected to take,
// given the usual latency of its kind, and whether the replica may be used at all.
func (t *Tracker) ExpectedLatency(now time.Time, usual time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expected(now, usual), t.usable(now)
}

func (t *Tracker) usable(now time.Time) bool {
	return !t.down && (!now.Before(t.window.until) || t.window.room(now))
}

func (t *Tracker) expected(now time.Time, usual time.Duration) time.Duration {
	expected := usual
	if !t.sampledAt.IsZero() {
		kept := math.Exp2(-float64(now.Sub(t.sampledAt)) / float64(forgetAfter))
		expected += time.Duration(kept * float64(t.latency-usual))
	}
	expected = max(expected, usual/2)
	// A request waits only for those that find no slot.
	if waiting := t.inFlight + 1 - t.Slots; waiting > 0 {
		expected += expected * time.Duration(waiting) / time.Duration(t.Slots)
	}
	if t.inFlight > 0 {
		if silent := now.Sub(t.silentSince); float64(silent) > stallAfter*float64(usual) {
			expected += silent
		}
	}
	return expected
}

// Cost returns the expected latency plus penalties for a busy replica, for recent
// failures and sheds, and for a replica in another failure domain. The usable
// replica with the lowest cost is the best choice. Cost reports false for a replica
// that must not be used.
func (t *Tracker) Cost(now time.Time, usual time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable(now) {
		return 0, false
	}
	expected := t.expected(now, usual)
	expected += time.Duration(busyWeight * float64(expected) * float64(t.inFlight) / float64(t.Slots))
	expected += time.Duration(t.failureRate(now) * failureCost * float64(usual))
	if now.Before(t.shedUntil) {
		expected += shedPause
	}
	if !t.Local {
		expected = time.Duration(remoteFactor*float64(expected)) + remoteCost
	}
	return expected, true
}

// coldWindow counts the sends within any one second.
type coldWindow struct {
	until time.Time
	rate  int
	sends []time.Time
}

// coldSpan is the span in which the requests at a cold replica are counted. It
// is a little over the second of the bound, because requests sent with a gap
// may arrive closer together.
const coldSpan = 1150 * time.Millisecond

func (w *coldWindow) room(now time.Time) bool {
	for len(w.sends) > 0 && now.Sub(w.sends[0]) > coldSpan {
		w.sends = w.sends[1:]
	}
	return len(w.sends) < w.rate
}

// take counts a send. It reports false when the window has no room.
func (w *coldWindow) take(now time.Time) bool {
	if !now.Before(w.until) {
		w.sends = nil
		return true
	}
	if !w.room(now) {
		return false
	}
	w.sends = append(w.sends, now)
	return true
}
