package gateway

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// planCanary decides how many groups get the search before the others, as
// canaries. A request that crashes the upstreams that run it then costs one
// upstream for each canary instead of one for each group.
func (s *search) planCanary() {
	verdict := s.g.cfg.Ledger.Check(time.Now(), s.fingerprint)
	s.suspect = verdict == poison.Suspect
	s.proven = verdict == poison.Proven
	switch {
	case s.suspect:
		s.canaryCount = 1
	case verdict == poison.Unknown && s.svc.CanaryGroups > 0:
		s.canaryCount = s.svc.CanaryGroups
	}
	if s.canaryCount == 0 || s.canaryCount >= len(s.groups) {
		s.canaryCount = len(s.groups)
		s.canaryReleased = true
		return
	}
	// The fingerprint selects the first group, so that the canaries of different
	// searches are spread over the groups.
	start := int(s.fingerprint % uint64(len(s.groups)))
	s.groups = append(s.groups[start:len(s.groups):len(s.groups)], s.groups[:start]...)
}

// releaseCanary sends the search to all remaining groups after the first answer
// of a canary.
func (s *search) releaseCanary() {
	if s.canaryReleased {
		return
	}
	s.canaryReleased = true
	s.suspect = false
	rest := s.groups[s.canaryCount:]
	var postponed []*groupState
	for _, st := range s.groups[:s.canaryCount] {
		if st.postponed {
			st.postponed = false
			postponed = append(postponed, st)
		}
	}
	s.canaryCount = len(s.groups)
	s.sendGroups(rest, "primary")
	if len(postponed) > 0 {
		s.hedgePolicy.ForceTakeExtra(len(postponed))
		s.sendGroups(postponed, "retry")
	}
}

// recheckPoison reads the verdict on the search again after an upstream may have
// been lost, so that the search does not crash further ones.
func (s *search) recheckPoison() {
	switch s.g.cfg.Ledger.Check(time.Now(), s.fingerprint) {
	case poison.Blocked:
		s.poisonRefusal = refusePoisoned(s.fingerprint, errs.MayHaveRun)
	case poison.Suspect:
		s.suspect = true
	}
}

// postponeCanary handles a canary that lost its upstream. It makes the next group
// the canary, because a second attempt in the same group could cost that group
// two replicas at once.
func (s *search) postponeCanary(st *groupState) {
	st.postponed = true
	if !s.hasPendingCanary() {
		s.sendNextCanary()
	}
}

// hasPendingCanary reports whether a canary can still answer.
func (s *search) hasPendingCanary() bool {
	for _, st := range s.groups[:s.canaryCount] {
		if !st.resolved && !st.postponed {
			return true
		}
	}
	return false
}

// sendNextCanary sends the search to one more group after all canaries so far
// have failed.
func (s *search) sendNextCanary() {
	if s.ctx.Err() != nil {
		return
	}
	if s.canaryCount >= len(s.groups) {
		s.resendPostponed()
		return
	}
	s.canaryCount++
	s.lastCanaryAt = time.Now()
	s.sendGroups(s.groups[s.canaryCount-1:s.canaryCount], "canary_failed")
}

// resendPostponed sends the search to one postponed group again. It is used when
// no other group is left to be a canary.
func (s *search) resendPostponed() {
	for _, st := range s.groups {
		if st.postponed {
			st.postponed = false
			s.sendGroups([]*groupState{st}, "retry")
			return
		}
	}
}
