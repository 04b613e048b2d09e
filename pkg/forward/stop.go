package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// stopTargets times the target of a route is the time that must remain until the end
	// of a planned stop for a request to be taken, but at least minStopTime: what is
	// refused at once can be answered by another VM.
	stopTargets = 2
	minStopTime = 200 * time.Millisecond
)

// plannedStop is the end of a planned stop.
type plannedStop struct {
	// ctx ends when all requests must be answered.
	ctx context.Context
	end context.CancelFunc
	at  atomic.Pointer[time.Time]
}

func newPlannedStop() *plannedStop {
	ctx, end := context.WithCancel(context.Background())
	return &plannedStop{ctx: ctx, end: end}
}

// StopBy makes all requests end by the given time, those under way with a refusal.
// Requests that come so late that they would hardly be answered are refused at once.
func (f *Forwarder) StopBy(at time.Time) {
	f.stop.at.Store(&at)
	time.AfterFunc(time.Until(at), f.stop.end)
}

// tooLate reports whether too little time is left until the end of a planned stop for a
// request with the target.
func (s *plannedStop) tooLate(now time.Time, target time.Duration) bool {
	at := s.at.Load()
	return at != nil && at.Sub(now) < max(minStopTime, stopTargets*target)
}

// stopRefusal returns the refusal of a request that comes too late before the end of a
// planned stop.
func stopRefusal() *errs.Refusal {
	return errs.Refuse(errs.Stopping, "this VM stops").WithRetryAfter(noReplicaRetryAfter)
}
