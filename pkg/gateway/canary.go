package gateway

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// planCanary decides how many groups are asked before the others. A request
// that crashes the upstreams running it then costs one upstream per canary
// instead of one per group.
func (s *search) planCanary() {
	verdict := s.g.cfg.Ledger.Check(time.Now(), s.fp)
	s.suspect = verdict == poison.Suspect
	s.proven = verdict == poison.Proven
	switch {
	case s.suspect:
		s.canary = 1
	case verdict == poison.Unknown && s.svc.CanaryGroups > 0:
		s.canary = s.svc.CanaryGroups
	}
	if s.canary == 0 || s.canary >= len(s.order) {
		s.canary = len(s.order)
		s.released = true
		return
	}
	// A different group for each query, so that no group carries all canaries.
	start := int(s.fp % uint64(len(s.order)))
	s.order = append(s.order[start:len(s.order):len(s.order)], s.order[:start]...)
}

// releaseCanary sends the groups that waited for the first answer.
func (s *search) releaseCanary() {
	if s.released {
		return
	}
	s.released = true
	s.suspect = false
	rest := s.order[s.canary:]
	var postponed []*groupState
	for _, st := range s.order[:s.canary] {
		if st.postponed {
			st.postponed = false
			postponed = append(postponed, st)
		}
	}
	s.canary = len(s.order)
	s.sendGroups(rest, "primary")
	if len(postponed) > 0 {
		s.policy.ForceTakeExtra(len(postponed))
		s.sendGroups(postponed, "retry")
	}
}

// recheckPoison stops a search that has just cost an upstream from costing more.
func (s *search) recheckPoison() {
	switch s.g.cfg.Ledger.Check(time.Now(), s.fp) {
	case poison.Blocked:
		s.poisoned = refusePoisoned(s.fp, errs.MayHaveRun)
	case poison.Suspect:
		s.suspect = true
	}
}

// postpone tries the next group in place of a canary that lost its upstream. A
// second try in the same group could cost it two replicas at once.
func (s *search) postpone(st *groupState) {
	st.postponed = true
	if !s.anyCanaryLeft() {
		s.nextCanary()
	}
}

func (s *search) anyCanaryLeft() bool {
	for _, st := range s.order[:s.canary] {
		if !st.resolved && !st.postponed {
			return true
		}
	}
	return false
}

func (s *search) nextCanary() {
	if s.ctx.Err() != nil {
		return
	}
	if s.canary >= len(s.order) {
		s.resumePostponed()
		return
	}
	s.canary++
	s.canaryAt = time.Now()
	s.sendGroups(s.order[s.canary-1:s.canary], "canary_failed")
}

// resumePostponed sends one postponed group when no other group is left to try.
func (s *search) resumePostponed() {
	for _, st := range s.order {
		if st.postponed {
			st.postponed = false
			s.sendGroups([]*groupState{st}, "retry")
			return
		}
	}
}
