package edge

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// addUnanswered records a request that a replica did not answer.
func (p *prober) addUnanswered(u *forward.Upstream, sentAt time.Time, attempt forward.RequestAttempt, brokenOff bool) {
	p.mu.Lock()
	unanswered := p.unanswered[u]
	if unanswered == nil {
		unanswered = &poison.Unanswered{}
		p.unanswered[u] = unanswered
	}
	before := unanswered.Attempts()
	unanswered.Answered(u.Tracker.AnsweredSentAt())
	cleared := missingFrom(before, unanswered.Attempts())
	ended := unanswered.Add(time.Now(), sentAt, attempt, brokenOff)
	p.mu.Unlock()
	p.notCrashed(cleared)
	if ended {
		p.onCrash(u, []poison.LostAttempt{{Attempt: attempt, BrokenOff: brokenOff}})
	}
}

// judge decides what an answer of a replica, or the failure to get one, says of the
// requests that it did not answer, and reports those under which it has crashed. at is
// when the probe was sent, or the dial has failed.
func (p *prober) judge(u *forward.Upstream, at time.Time, refusal *errs.Refusal) {
	p.decide(u, func(unanswered *poison.Unanswered, now time.Time) []poison.LostAttempt {
		unanswered.Answered(u.Tracker.AnsweredSentAt())
		switch {
		case refusal == nil:
			unanswered.Answered(at)
		case refusal.Code == errs.NotOwner:
			return unanswered.Ended(now)
		case refusal.ConnectionRefused:
			return unanswered.Refused(now, p.domainAnsweredAt(u))
		case refusal.Code == errs.UpstreamLost && refusal.RunState == errs.DidNotRun:
			return unanswered.Unreachable(now, p.domainAnsweredAt(u))
		}
		return nil
	})
}

// replicaStarted tells that a replica has started. Another one at its address, or an
// earlier process of it, has ended.
func (p *prober) replicaStarted(started discovery.Replica) {
	for _, u := range p.undecided(func(m *discovery.Member) bool {
		return m.Born < started.Born && (m.Addr == started.Addr || m.ID == started.ID)
	}) {
		p.decide(u, func(unanswered *poison.Unanswered, now time.Time) []poison.LostAttempt {
			return unanswered.Ended(now)
		})
	}
}

// entryLapsed tells that the entry of a replica is gone.
func (p *prober) entryLapsed(id string) {
	for _, u := range p.undecided(func(m *discovery.Member) bool { return m.ID == id }) {
		p.decide(u, func(unanswered *poison.Unanswered, now time.Time) []poison.LostAttempt {
			return unanswered.Lapsed(now)
		})
	}
}

// undecided returns the replicas with unanswered requests to which match applies.
func (p *prober) undecided(match func(*discovery.Member) bool) []*forward.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*forward.Upstream
	for u := range p.unanswered {
		if match(u.Member) {
			found = append(found, u)
		}
	}
	return found
}

// decide applies a decision to the unanswered requests of a replica, and reports those
// under which it has crashed.
func (p *prober) decide(u *forward.Upstream, decision func(*poison.Unanswered, time.Time) []poison.LostAttempt) {
	p.mu.Lock()
	unanswered := p.unanswered[u]
	if unanswered == nil {
		p.mu.Unlock()
		return
	}
	expired := unanswered.Expire(time.Now())
	before := unanswered.Attempts()
	crashed := decision(unanswered, time.Now())
	left := unanswered.Attempts()
	p.mu.Unlock()
	for _, c := range crashed {
		left = append(left, c.Attempt)
	}
	cleared := missingFrom(before, left)
	undecided := len(left) - len(crashed)
	p.notCrashed(cleared)
	if len(crashed) > 0 {
		p.onCrash(u, crashed)
	}
	if len(before) != undecided || expired > 0 {
		p.log.WithFields(logrus.Fields{"replica": u.Member.ID, "crashed": len(crashed), "cleared": len(cleared), "expired": expired, "undecided": undecided}).Info("unanswered requests of a replica decided")
	}
}

// notCrashed passes on the requests under which a replica has not crashed.
func (p *prober) notCrashed(attempts []forward.RequestAttempt) {
	if len(attempts) > 0 {
		p.onNotCrashed(attempts)
	}
}

// missingFrom returns the attempts that others does not contain.
func missingFrom(attempts, others []forward.RequestAttempt) []forward.RequestAttempt {
	return slices.DeleteFunc(attempts, func(a forward.RequestAttempt) bool { return slices.Contains(others, a) })
}

// domainAnsweredAt returns when the last request was sent that another replica in the
// failure domain of u has answered. p.mu is held.
func (p *prober) domainAnsweredAt(u *forward.Upstream) time.Time {
	var last time.Time
	if p.view == nil {
		return last
	}
	for _, replicaSet := range p.view.ReplicaSets {
		for _, other := range replicaSet.Upstreams {
			if other == u || other.Member.Domain != u.Member.Domain {
				continue
			}
			if at := other.Tracker.AnsweredSentAt(); at.After(last) {
				last = at
			}
		}
	}
	return last
}
