package edge

import (
	"time"
)

const (
	// maxUnconfirmed is how old the state of a VM without a feed may become before
	// it watches the store itself: a change must take effect within 3 s.
	maxUnconfirmed = 2 * time.Second
	// feedReturnTime is how long the VMs that feed others may take to be current
	// again after the store has come back. A VM that cannot reach the store has
	// seconds more for its changes.
	feedReturnTime = 1200 * time.Millisecond
	// minCheckPause and maxCheckPause bound the growing pause between the checks of
	// a store that does not answer. With the upper bound all VMs together make as
	// many calls a second as half of them.
	minCheckPause = 200 * time.Millisecond
	maxCheckPause = 2 * time.Second
	// subscribePause is the pause between attempts to subscribe while the store
	// answers, awayPause while it does not: no VM accepts a subscription then.
	subscribePause = 400 * time.Millisecond
	awayPause      = 1500 * time.Millisecond
)

// standby decides what a VM does that gets no feed from those that watch the store:
// when it checks whether the store answers, and when it watches the store itself.
//
// It answers the load of a store that was away: if all VMs watched it again at its
// return, each would list all objects, though a few that do and feed the rest are
// enough. The VM still watches by itself as soon as its state gets too old.
type standby struct {
	// confirmedAt is when the known state was last current.
	confirmedAt time.Time
	// answers is set if the last check found that the store answers.
	answers bool
	// returnedAt is when the first check after a failed one found that the store
	// answers again, zero if none has failed.
	returnedAt time.Time
	failed     bool
	nextCheck  time.Time
	checkPause time.Duration
}

// shouldCheck reports whether to check now whether the store answers.
func (s *standby) shouldCheck(now time.Time) bool { return !s.answers && !now.Before(s.nextCheck) }

// checked records the result of a check. random is a random number of [0, 1) that
// spreads the checks of the VMs.
func (s *standby) checked(now time.Time, answers bool, random float64) {
	s.answers = answers
	if answers {
		if s.failed {
			s.returnedAt = now
		}
		return
	}
	s.failed = true
	s.checkPause = min(max(minCheckPause, 2*s.checkPause), maxCheckPause)
	s.nextCheck = now.Add(s.checkPause/2 + time.Duration(random*float64(s.checkPause)/2))
}

// mustWatch reports whether the VM must watch the store itself.
func (s *standby) mustWatch(now time.Time) bool {
	return s.answers && now.Sub(s.confirmedAt) >= maxUnconfirmed && now.Sub(s.returnedAt) >= feedReturnTime
}

// pause returns the time until the next decision.
func (s *standby) pause(now time.Time) time.Duration {
	if !s.answers {
		return max(time.Millisecond, min(s.nextCheck.Sub(now), awayPause))
	}
	until := subscribePause
	for _, at := range []time.Time{s.confirmedAt.Add(maxUnconfirmed), s.returnedAt.Add(feedReturnTime)} {
		if left := at.Sub(now); left > 0 {
			until = min(until, left)
		}
	}
	return until
}
