package routing

import (
	"math"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// StaleAfter is the age of the last answer after which a replica is
	// explored again. Without it a replica that was slow once would never be
	// tried again while the others of its group are faster.
	StaleAfter = 10 * time.Second
	// HintHalfLife is the half-life of the weight of the outstanding requests of
	// other VMs that an owner reported. A queue changes in tens of milliseconds.
	HintHalfLife = 100 * time.Millisecond
	// PenaltyHalfLife is the half-life of the penalty of a replica.
	PenaltyHalfLife = 5 * time.Second
	// FailurePenalty is added to the penalty after a failure of the replica or its
	// owner, OverloadPenalty after a refusal because of load. A penalty of 1
	// doubles the expected service time.
	FailurePenalty  = 4.0
	OverloadPenalty = 1.0
	// MaxPenalty bounds the penalty, so that a recovered replica no longer counts
	// as failing after 25 s.
	MaxPenalty = 32.0
	// FailingThreshold is the penalty above which a replica counts as failing.
	FailingThreshold = 1.0
	// DefaultServiceTime is the assumed service time if neither of the two
	// compared replicas has answered yet.
	DefaultServiceTime = 10 * time.Millisecond

	// BetterRatio is the ratio of two expected completion times below which the
	// replica with the lower one is preferred. With a plain comparison a replica
	// that is slower by any small amount would get no work at all while load is
	// low.
	BetterRatio = 0.8

	// minSampleWeight is the minimum weight of a new sample in the mean service
	// time. The weight grows with the time since the last answer, with the
	// half-life meanHalfLife: after a pause of several meanHalfLife, the sample
	// replaces the mean.
	minSampleWeight = 1.0 / 8
	meanHalfLife    = 2 * time.Second
	// lowerBoundWeight is the weight of the sample of a canceled request, which is
	// only a lower bound of the service time.
	lowerBoundWeight = 1.0 / 4
)

// stats holds what one entry VM knows about one replica.
type stats struct {
	mu                sync.Mutex
	lastUsedAt        time.Time
	ownOutstanding    int // outstanding requests of this VM
	meanServiceNanos  float64
	answeredAt        time.Time
	window            float64 // requests that the owner lets run at a time, below 1 while cold
	othersOutstanding float64 // outstanding requests of other VMs at answeredAt
	penalty           float64
	penaltyAt         time.Time
}

func (s *stats) removeOutstanding(now time.Time) {
	s.lastUsedAt = now
	s.ownOutstanding = max(0, s.ownOutstanding-1)
}

// addAnswer updates the statistics after a complete answer and halves the
// penalty.
func (s *stats) addAnswer(now time.Time, latency time.Duration, hint wire.LoadHint) {
	s.window = hint.Window
	if s.window <= 0 {
		s.window = 1
	}
	s.othersOutstanding = math.Max(0, float64(hint.Outstanding-s.ownOutstanding))
	// The latency includes the wait in the owner's queue. It is divided by the
	// length of the queue in windows, because expectedCompletion multiplies the
	// service time by the outstanding requests.
	rounds := math.Max(1, float64(hint.Outstanding+1)/s.window)
	sampleNanos := float64(latency) / rounds
	if s.answeredAt.IsZero() {
		s.meanServiceNanos = sampleNanos
	}
	weight := 1 - math.Exp2(-float64(now.Sub(s.answeredAt))/float64(meanHalfLife))
	s.meanServiceNanos += (sampleNanos - s.meanServiceNanos) * math.Max(minSampleWeight, weight)
	s.answeredAt = now
	s.penalty = s.penaltyNow(now) / 2
	s.penaltyAt = now
}

// addLowerBound adds the time that a canceled request ran without an answer to
// the mean service time. A time below the mean is ignored, because the answer
// could have taken any longer time.
func (s *stats) addLowerBound(now time.Time, elapsed time.Duration) {
	if s.answeredAt.IsZero() {
		s.meanServiceNanos, s.window, s.answeredAt = float64(elapsed), 1, now
		return
	}
	if float64(elapsed) > s.meanServiceNanos {
		s.meanServiceNanos += (float64(elapsed) - s.meanServiceNanos) * lowerBoundWeight
	}
}

// penaltyNow returns the penalty after its decay until now.
func (s *stats) penaltyNow(now time.Time) float64 {
	if s.penalty == 0 {
		return 0
	}
	return s.penalty * math.Exp2(-float64(now.Sub(s.penaltyAt))/float64(PenaltyHalfLife))
}

func (s *stats) addPenalty(now time.Time, p float64) {
	s.penalty = math.Min(MaxPenalty, s.penaltyNow(now)+p)
	s.penaltyAt = now
}

// penaltyFor returns the penalty of a failure. It is 0 for refusals that concern
// the request or the control state, because these say nothing about the replica.
func penaltyFor(code errs.Code) float64 {
	switch code {
	case errs.UpstreamFailed, errs.UpstreamLost, errs.ConnectionSilent, errs.ResponseMismatch,
		errs.PeerUnreachable, errs.PeerLost, errs.UpstreamDraining, errs.VersionGone, errs.Internal:
		return FailurePenalty
	case errs.UpstreamShed, errs.UpstreamCold, errs.QueueFull, errs.Overloaded, errs.DeadlineExceeded:
		return OverloadPenalty
	default:
		return 0
	}
}

// estimate is a copy of the statistics of a candidate at one point in time.
type estimate struct {
	Candidate
	known          bool // a latency or a lower bound of it was recorded
	stale          bool // the last answer is older than StaleAfter
	ownOutstanding int
	outstanding    float64
	window         float64
	serviceNanos   float64
	penalty        float64
}

// defaultEstimate stands for the other replica if there is only one candidate,
// and supplies the service time if nothing is known about either replica.
var defaultEstimate = estimate{known: true, window: 1, serviceNanos: float64(DefaultServiceTime)}

func (t *Table) estimate(now time.Time, c Candidate) estimate {
	s := t.statsOf(c.Replica)
	if s == nil {
		return estimate{Candidate: c}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := estimate{Candidate: c, ownOutstanding: s.ownOutstanding, outstanding: float64(s.ownOutstanding), penalty: s.penaltyNow(now)}
	if s.answeredAt.IsZero() {
		return e
	}
	age := now.Sub(s.answeredAt)
	e.known = true
	e.stale = age > StaleAfter
	e.window = s.window
	e.serviceNanos = s.meanServiceNanos
	if s.othersOutstanding > 0 {
		e.outstanding += s.othersOutstanding * math.Exp2(-float64(age)/float64(HintHalfLife))
	}
	return e
}

// explorable reports whether a request may be sent to the replica only to
// measure it: nothing recent is known about it, no request of this VM is
// outstanding there, and it is not failing.
func (e *estimate) explorable() bool {
	return (!e.known || e.stale) && e.ownOutstanding == 0 && !e.failing()
}

func (e *estimate) failing() bool { return e.penalty > FailingThreshold }

func (e *estimate) cold() bool { return e.known && e.window < 1 }

// expectedCompletion returns the expected completion time of a request at the
// replica. For a replica that has not answered yet it assumes the service time
// of the other one, so that a replica that only ever failed does not look fast.
func (e *estimate) expectedCompletion(other estimate) time.Duration {
	serviceNanos, window := e.serviceNanos, e.window
	if !e.known {
		serviceNanos, window = other.serviceNanos, math.Min(1, other.window)
	}
	if !e.known && !other.known {
		serviceNanos, window = defaultEstimate.serviceNanos, defaultEstimate.window
	}
	nanos := (e.outstanding + 1) / window * serviceNanos * (1 + e.penalty)
	return e.Distance + time.Duration(nanos)
}

// preferredTo reports whether e should get the request instead of other. A
// replica without statistics gets a second request only after the answer to its
// first one.
func (e *estimate) preferredTo(other estimate) bool {
	if e.known != other.known && !e.failing() && !other.failing() {
		unknown, known := *e, other
		if e.known {
			unknown, known = other, *e
		}
		if unknown.ownOutstanding > 0 {
			return known.Replica == e.Replica
		}
	}
	return float64(e.expectedCompletion(other)) < BetterRatio*float64(other.expectedCompletion(*e))
}
