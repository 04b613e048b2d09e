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
	// HintHalfLife is the time in which the outstanding work of others that an
	// owner reported loses half of its weight; a queue changes in tens of milliseconds.
	HintHalfLife = 100 * time.Millisecond
	// PenaltyHalfLife is the time in which a failure penalty halves.
	PenaltyHalfLife = 5 * time.Second
	// LossPenalty is added for a failure of the replica or its owner, and
	// LoadPenalty for a refusal because of load.
	LossPenalty = 4.0
	LoadPenalty = 1.0
	// MaxPenalty bounds the penalty, so that a recovered replica is back to
	// normal after 25 s.
	MaxPenalty = 32.0
	// FailingPenalty is the penalty above which a replica counts as failing.
	FailingPenalty = 1.0
	// DefaultService stands for the service time while no replica of the draw has answered.
	DefaultService = 10 * time.Millisecond

	// Better is the share of the other's expected completion below which a
	// replica counts as better. With a plain comparison a replica that is
	// slower by any small amount would get no work at all while load is low.
	Better = 0.8

	// meanWeight is the least weight of a new latency in the mean. An answer
	// after a pause of several meanHalfLife replaces the mean.
	meanWeight   = 1.0 / 8
	meanHalfLife = 2 * time.Second
	// overtakenWeight is the weight of an attempt that another replica overtook.
	overtakenWeight = 1.0 / 4
)

// stats is what one entry VM knows of one replica.
type stats struct {
	mu         sync.Mutex
	used       time.Time
	own        int // requests of this VM that are outstanding
	mean       float64
	answeredAt time.Time
	window     float64
	others     float64 // outstanding work of other VMs at answeredAt
	penalty    float64
	penaltyAt  time.Time
}

func (s *stats) ended(now time.Time) {
	s.used = now
	s.own = max(0, s.own-1)
}

func (s *stats) completed(now time.Time, latency time.Duration, hint wire.LoadHint) {
	s.window = hint.Window
	if s.window <= 0 {
		s.window = 1
	}
	s.others = math.Max(0, float64(hint.Outstanding-s.own))
	// The latency includes the wait in the owner's queue, which the expected
	// completion adds again from the outstanding work.
	queue := math.Max(1, float64(hint.Outstanding+1)/s.window)
	sample := float64(latency) / queue
	if s.answeredAt.IsZero() {
		s.mean = sample
	}
	fresh := 1 - math.Exp2(-float64(now.Sub(s.answeredAt))/float64(meanHalfLife))
	s.mean += (sample - s.mean) * math.Max(meanWeight, fresh)
	s.answeredAt = now
	s.penalty = s.penaltyNow(now) / 2
	s.penaltyAt = now
}

func (s *stats) overtaken(now time.Time, elapsed time.Duration) {
	if s.answeredAt.IsZero() {
		s.mean, s.window, s.answeredAt = float64(elapsed), 1, now
		return
	}
	if float64(elapsed) > s.mean {
		s.mean += (float64(elapsed) - s.mean) * overtakenWeight
	}
}

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

// penaltyOf returns the penalty of a failure. Refusals that concern the
// request or the control state say nothing about the replica.
func penaltyOf(code errs.Code) float64 {
	switch code {
	case errs.UpstreamFailed, errs.UpstreamLost, errs.ConnectionSilent, errs.ResponseMismatch,
		errs.PeerUnreachable, errs.PeerLost, errs.UpstreamDraining, errs.VersionGone, errs.Internal:
		return LossPenalty
	case errs.UpstreamShed, errs.UpstreamCold, errs.QueueFull, errs.Overloaded, errs.DeadlineExceeded:
		return LoadPenalty
	default:
		return 0
	}
}

// estimate is a copy of the statistics at one moment.
type estimate struct {
	Candidate
	known       bool
	stale       bool
	own         int
	outstanding float64
	window      float64
	service     float64
	penalty     float64
}

// defaults stands for the other replica of a draw of one.
var defaults = estimate{known: true, window: 1, service: float64(DefaultService)}

func (t *Table) estimate(now time.Time, c Candidate) estimate {
	s := t.find(c.Replica)
	if s == nil {
		return estimate{Candidate: c}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := estimate{Candidate: c, own: s.own, outstanding: float64(s.own), penalty: s.penaltyNow(now)}
	if s.answeredAt.IsZero() {
		return e
	}
	age := now.Sub(s.answeredAt)
	e.known = true
	e.stale = age > StaleAfter
	e.window = s.window
	e.service = s.mean
	if s.others > 0 {
		e.outstanding += s.others * math.Exp2(-float64(age)/float64(HintHalfLife))
	}
	return e
}

// explorable tells whether one request may be risked to learn about the replica.
func (e *estimate) explorable() bool {
	return (!e.known || e.stale) && e.own == 0 && !e.failing()
}

func (e *estimate) failing() bool { return e.penalty > FailingPenalty }

func (e *estimate) cold() bool { return e.known && e.window < 1 }

// expected returns the expected completion. Where nothing is known of the
// replica, the other one's service time is assumed, so that a replica that
// only ever failed is never taken for a fast one.
func (e *estimate) expected(other estimate) time.Duration {
	service, window := e.service, e.window
	if !e.known {
		service, window = other.service, math.Min(1, other.window)
	}
	if !e.known && !other.known {
		service, window = defaults.service, defaults.window
	}
	work := (e.outstanding + 1) / window * service * (1 + e.penalty)
	return e.Distance + time.Duration(work)
}

// before tells whether e should get the request and not o. A replica without
// statistics gets a second request only after the answer to its first one.
func (e *estimate) before(o estimate) bool {
	if e.known != o.known && !e.failing() && !o.failing() {
		unknown, known := *e, o
		if e.known {
			unknown, known = o, *e
		}
		if unknown.own > 0 {
			return known.Replica == e.Replica
		}
	}
	return float64(e.expected(o)) < Better*float64(o.expected(*e))
}
