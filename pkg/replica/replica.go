// Package replica tracks the latency, failures and load of each replica as this VM
// has observed them, and derives the cost by which requests are routed. It performs
// no I/O; the caller passes the time.
package replica

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the moving average of the
	// latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which the difference between the latency of an
	// unused replica and the usual latency is halved, so that a replica that was slow
	// is tried again.
	latencyHalfLife = 3 * time.Second
	// failureWeight is the weight of a new outcome in the moving average of the
	// failure rate. failureHalfLife is the time in which the failure rate of an unused
	// replica is halved.
	failureWeight   = 0.25
	failureHalfLife = 5 * time.Second
	// failurePenaltyFactor times the usual latency is added to the cost of a replica
	// that always fails, and a proportional part at a lower failure rate. The product
	// is about the target time of a request: a replica that fails half of its requests
	// is better than one that responds too late.
	failurePenaltyFactor = 5.0
	// stallFactor times the usual latency is the time without any response after which
	// a replica with requests in flight counts as paused. The whole time without a
	// response is then added to its expected latency.
	stallFactor = 2.0
	// The cost of a replica in another failure domain is multiplied by
	// remoteLatencyFactor and increased by remotePenalty. A local replica is therefore
	// preferred until it is clearly slower, because traffic between domains costs extra.
	remoteLatencyFactor = 2.0
	remotePenalty       = 6 * time.Millisecond
	// loadPenaltyFactor times the fraction of slots in use is the relative increase of
	// the cost. It prefers replicas with free slots even if requests would not queue
	// yet, because other VMs send requests to the same replicas.
	loadPenaltyFactor = 0.5
	// shedBackoff is how long a replica is avoided after it has refused a request
	// because it was full, and the penalty added to its cost meanwhile.
	shedBackoff = 30 * time.Millisecond
)

// Tracker holds what this VM has observed of one replica. It is safe for concurrent
// use.
type Tracker struct {
	// Local is set if the replica is in the same failure domain as this VM.
	Local bool
	// Slots is the number of requests that the replica runs at a time.
	Slots int

	mu       sync.Mutex
	inFlight int
	// noResponseSince is the time of the last response, or the time at which the first
	// request in flight was sent, whichever is later.
	noResponseSince      time.Time
	latency              time.Duration
	latencyUpdatedAt     time.Time
	meanFailureRate      float64
	failureRateUpdatedAt time.Time
	shedUntil            time.Time
	// answeredSentAt is when the last request that this VM sent, and that was answered,
	// was sent.
	answeredSentAt time.Time
	down           bool
	told           Told
	// withdrawn is set once the replica is no longer among those that requests may be
	// sent to.
	withdrawn    bool
	coldLimit    coldLimiter
	requestLimit requestLimit
}

// NewTracker returns the tracker of a replica of which nothing has been observed.
func NewTracker(local bool, slots int) *Tracker {
	return &Tracker{Local: local, Slots: max(1, slots)}
}

// Begin records that a request is sent.
func (t *Tracker) Begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight == 0 {
		t.noResponseSince = now
	}
	t.inFlight++
}

// Outcome is the way in which a request to a replica ended.
type Outcome uint8

// Outcomes of a request.
const (
	// Served: the replica responded normally.
	Served Outcome = iota
	// Shed: the replica refused the request because it was full.
	Shed
	// Failed: the replica responded with an error, responded with invalid data, or
	// closed the connection.
	Failed
	// Abandoned: this VM stopped waiting. Whether the replica would have responded is
	// unknown.
	Abandoned
)

// End records the outcome of a request that was sent at start.
func (t *Tracker) End(now, start time.Time, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if outcome == Abandoned {
		t.recordLatency(now, now.Sub(start), true)
		return
	}
	t.noResponseSince = now
	switch outcome {
	case Served:
		t.recordLatency(now, now.Sub(start), false)
		t.recordOutcome(now, 0)
	case Shed:
		t.shedUntil = now.Add(shedBackoff)
		t.recordOutcome(now, 1)
	case Failed:
		t.recordOutcome(now, 1)
	}
}

// recordLatency adds a sample to the average latency. A sample that is only a lower
// bound never lowers the average.
func (t *Tracker) recordLatency(now time.Time, d time.Duration, lowerBound bool) {
	if lowerBound && d <= t.latency {
		return
	}
	if t.latencyUpdatedAt.IsZero() {
		t.latency = d
	} else {
		t.latency += time.Duration(latencyWeight * float64(d-t.latency))
	}
	t.latencyUpdatedAt = now
}

// recordOutcome adds an outcome to the failure rate: 1 for a failure, 0 for a success.
func (t *Tracker) recordOutcome(now time.Time, outcome float64) {
	rate := t.failureRate(now)
	t.meanFailureRate = rate + failureWeight*(outcome-rate)
	t.failureRateUpdatedAt = now
}

// RecordAnswer records that the replica has answered a request that this VM sent to it
// at sentAt.
func (t *Tracker) RecordAnswer(sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt.After(t.answeredSentAt) {
		t.answeredSentAt = sentAt
	}
}

// AnsweredSentAt returns when the last answered request was sent to the replica by this
// VM, and the zero time if there was none.
func (t *Tracker) AnsweredSentAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answeredSentAt
}

// FailureRate returns the fraction of recent requests that failed or were shed.
func (t *Tracker) FailureRate(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failureRate(now)
}

func (t *Tracker) failureRate(now time.Time) float64 {
	if t.meanFailureRate == 0 {
		return 0
	}
	return t.meanFailureRate * math.Exp2(-float64(now.Sub(t.failureRateUpdatedAt))/float64(failureHalfLife))
}

// SetDown marks the replica as unreachable or as reachable. It reports whether the
// mark changed.
func (t *Tracker) SetDown(down bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.down != down
	t.down = down
	return changed
}

// Down reports whether the replica is marked as unreachable.
func (t *Tracker) Down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// LimitCold limits the requests of this VM to ratePerSecond until the given time,
// because the replica has started recently.
func (t *Tracker) LimitCold(until time.Time, ratePerSecond int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldLimit.until, t.coldLimit.ratePerSecond = until, ratePerSecond
}

// IsCold reports whether the limit set by LimitCold is in force.
func (t *Tracker) IsCold(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.coldLimit.until)
}

// AllowSend reports whether the cold limit and the request limit allow a request
// now and, if so, counts it towards both. A replica without a limit allows every
// request.
func (t *Tracker) AllowSend(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told.wants(now) && t.requestLimit.hasRoom(now) && t.coldLimit.allow(now) && t.requestLimit.allow(now)
}

// ExpectedLatency returns the time that a request sent now is expected to take,
// given the usual latency of its kind, and whether the replica may be used at all.
func (t *Tracker) ExpectedLatency(now time.Time, usualLatency time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expectedLatency(now, usualLatency), t.usable(now)
}

// Usable reports whether requests may be sent to the replica now.
func (t *Tracker) Usable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usable(now)
}

// usable reports whether the replica is reachable and its limits allow a request
// now. t.mu is held.
func (t *Tracker) usable(now time.Time) bool {
	return !t.down && !t.withdrawn && t.told.wants(now) && (!now.Before(t.coldLimit.until) || t.coldLimit.hasRoom(now)) && t.requestLimit.hasRoom(now)
}

// expectedLatency implements ExpectedLatency. t.mu is held.
func (t *Tracker) expectedLatency(now time.Time, usualLatency time.Duration) time.Duration {
	expected := usualLatency
	if !t.latencyUpdatedAt.IsZero() {
		weight := math.Exp2(-float64(now.Sub(t.latencyUpdatedAt)) / float64(latencyHalfLife))
		expected += time.Duration(weight * float64(t.latency-usualLatency))
	}
	expected = max(expected, usualLatency/2)
	// Only requests beyond the number of slots have to queue at the replica.
	if queued := t.inFlight + 1 - t.Slots; queued > 0 {
		expected += expected * time.Duration(queued) / time.Duration(t.Slots)
	}
	if t.inFlight > 0 {
		if stalled := now.Sub(t.noResponseSince); float64(stalled) > stallFactor*float64(usualLatency) {
			expected += stalled
		}
	}
	return expected
}

// Cost returns the expected latency plus penalties for a busy replica, for recent
// failures and sheds, and for a replica in another failure domain. The usable
// replica with the lowest cost is the best choice. Cost reports false for a replica
// that must not be used.
func (t *Tracker) Cost(now time.Time, usualLatency time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable(now) {
		return 0, false
	}
	cost := t.expectedLatency(now, usualLatency)
	cost += time.Duration(loadPenaltyFactor * float64(cost) * float64(t.inFlight) / float64(t.Slots))
	cost += time.Duration(t.failureRate(now) * failurePenaltyFactor * float64(usualLatency))
	if now.Before(t.shedUntil) {
		cost += shedBackoff
	}
	if !t.Local {
		cost = time.Duration(remoteLatencyFactor*float64(cost)) + remotePenalty
	}
	return cost, true
}

// coldLimiter limits the requests to a cold replica: at most ratePerSecond are sent
// within coldWindow, until the given time.
type coldLimiter struct {
	until         time.Time
	ratePerSecond int
	sends         []time.Time
}

// coldWindow is the period over which the requests to a cold replica are counted. It
// is longer than the second to which the limit applies, because requests may arrive
// at the replica closer together than they were sent.
const coldWindow = 1150 * time.Millisecond

// hasRoom reports whether one more request may be sent now.
func (l *coldLimiter) hasRoom(now time.Time) bool {
	for len(l.sends) > 0 && now.Sub(l.sends[0]) > coldWindow {
		l.sends = l.sends[1:]
	}
	return len(l.sends) < l.ratePerSecond
}

// allow reports whether a request may be sent now and, if so, counts it.
func (l *coldLimiter) allow(now time.Time) bool {
	if !now.Before(l.until) {
		l.sends = nil
		return true
	}
	if !l.hasRoom(now) {
		return false
	}
	l.sends = append(l.sends, now)
	return true
}
