package forward

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/rollout"
)

// rolloutFilter parts the replicas of a service by version while one version replaces
// another, and sends the new one the share of the plan.
type rolloutFilter struct {
	plan   rollout.Plan
	credit *rollout.Credit
	// inUse and target hold the replicas of the versions in use and of the new one.
	inUse, target *ReplicaSet
}

// ApplyPlan removes the replicas of versions that may get no request, and parts the
// others by the plan. It is called before the view is used. credit counts the requests of
// this VM to the service.
func (rs *ReplicaSet) ApplyPlan(plan rollout.Plan, credit *rollout.Credit) {
	f := &rolloutFilter{
		plan: plan, credit: credit,
		inUse: &ReplicaSet{Service: rs.Service, Budget: rs.Budget}, target: &ReplicaSet{Service: rs.Service, Budget: rs.Budget},
	}
	for _, u := range rs.Upstreams {
		switch {
		case plan.Allows(u.Member.Version):
			f.inUse.Upstreams = append(f.inUse.Upstreams, u)
		case plan.Target == u.Member.Version && plan.Target != "":
			f.target.Upstreams = append(f.target.Upstreams, u)
		}
	}
	rs.Upstreams = slices.Concat(f.inUse.Upstreams, f.target.Upstreams)
	if len(f.target.Upstreams) == 0 {
		return // the versions in use are chosen from as without a roll-out
	}
	// An order that all VMs share, see pickCanary.
	slices.SortFunc(f.target.Upstreams, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Member.ID), xxhash.Sum64String(b.Member.ID)), strings.Compare(a.Member.ID, b.Member.ID))
	})
	rs.rollout = f
}

// main returns the replicas that get most requests.
func (rs *ReplicaSet) main(now time.Time) *ReplicaSet {
	switch f := rs.rollout; {
	case f == nil:
		return rs
	case f.plan.ShareAt(now) >= 0.5 || f.lastResort():
		return f.target
	default:
		return f.inUse
	}
}

// lastResort reports whether the versions in use are gone and the new one may be used
// though its share is not known.
func (f *rolloutFilter) lastResort() bool {
	return f.plan.LastResort && !slices.ContainsFunc(f.inUse.Upstreams, func(u *Upstream) bool { return !u.Tracker.Down() })
}

// oldAllowed reports whether replicas of the versions in use may still get requests.
func (f *rolloutFilter) oldAllowed(now time.Time) bool {
	return f.plan.OldUntil.IsZero() || now.Before(f.plan.OldUntil)
}

// cheapest implements ReplicaSet.cheapest.
func (f *rolloutFilter) cheapest(now time.Time, usualLatency time.Duration, tried []*Upstream) *Upstream {
	shifting := !f.plan.ShiftedAt.IsZero()
	if f.oldAllowed(now) {
		if u := f.inUse.cheapest(now, usualLatency, tried); u != nil {
			return u
		}
	}
	if shifting || f.lastResort() {
		return f.target.cheapest(now, usualLatency, tried)
	}
	return nil
}

// pick implements ReplicaSet.pick. After a send to the new version, the others of the
// request go to the old one while the new one is tested.
func (f *rolloutFilter) pick(now time.Time, usualLatency time.Duration, tried []*Upstream) *Upstream {
	share := f.plan.ShareAt(now)
	shifting := !f.plan.ShiftedAt.IsZero()
	if share > 0 && (shifting || !slices.ContainsFunc(f.target.Upstreams, func(u *Upstream) bool { return wasTried(u, tried) })) && f.credit.Take(share) {
		if u := f.pickTarget(now, usualLatency, tried, share); u != nil {
			return u
		}
		f.credit.Return()
	}
	if f.oldAllowed(now) {
		if u := f.inUse.pick(now, usualLatency, tried); u != nil {
			return u
		}
	}
	if shifting || f.lastResort() {
		return f.target.pick(now, usualLatency, tried)
	}
	return nil
}

// pickTarget picks a replica of the new version.
func (f *rolloutFilter) pickTarget(now time.Time, usualLatency time.Duration, tried []*Upstream, share float64) *Upstream {
	if !f.plan.ShiftedAt.IsZero() {
		return f.target.pick(now, usualLatency, tried)
	}
	return f.pickCanary(now, usualLatency, tried, share)
}

// pickCanary picks among as many replicas of the new version as bear their usual load
// with the share, the same on all VMs: what is bad only under load then shows.
func (f *rolloutFilter) pickCanary(now time.Time, usualLatency time.Duration, tried []*Upstream, share float64) *Upstream {
	all := f.target.Upstreams
	loaded := min(len(all), int(math.Ceil(share*float64(len(all)))))
	first := int(randomFraction() * float64(loaded))
	for i := range all {
		if i < loaded {
			i = (first + i) % loaded
		}
		u := all[i]
		if wasTried(u, tried) {
			continue
		}
		if _, usable := u.Tracker.Cost(now, usualLatency); usable && u.Tracker.AllowSend(now) {
			return u
		}
	}
	return nil
}

// sideForRelay returns the replicas among which a relayed request is sent, and whether it
// counts as one to the new version. elsewhere holds replicas that do not count.
func (f *rolloutFilter) sideForRelay(now time.Time, usualLatency time.Duration, elsewhere []*Upstream) (side *ReplicaSet, counted bool) {
	if share := f.plan.ShareAt(now); share > 0 && f.credit.Take(share) {
		if f.target.cheapest(now, usualLatency, elsewhere) != nil {
			return f.target, true
		}
		f.credit.Return()
	}
	if (!f.oldAllowed(now) || f.inUse.cheapest(now, usualLatency, elsewhere) == nil) && (!f.plan.ShiftedAt.IsZero() || f.lastResort()) {
		return f.target, false
	}
	return f.inUse, false
}

// RolloutRecorder is told the outcomes of sends to a service under roll-out.
type RolloutRecorder interface {
	RecordAnswer(now time.Time, answer rollout.Answer)
}

// rolloutSide tells of a replica which version it is in a roll-out.
type rolloutSide struct {
	recorder RolloutRecorder
	isNew    bool
}

// SetRollout sets who is told the outcomes of sends to the replica, nil for nobody, and
// whether it is one of the new version.
func (u *Upstream) SetRollout(recorder RolloutRecorder, isNew bool) {
	if recorder == nil {
		u.rollout.Store(nil)
		return
	}
	u.rollout.Store(&rolloutSide{recorder: recorder, isNew: isNew})
}

// recordVersion tells the recorder of the replica's roll-out about the end of a send on a
// route. usualLatency is the shortest time without an answer that says something.
func (f *Forwarder) recordVersion(u *Upstream, route string, usualLatency time.Duration, now, start time.Time, reply exchange.Reply, refusal *errs.Refusal, streamed bool) {
	side := u.rollout.Load()
	if side == nil {
		return
	}
	cold := u.Tracker.IsCold(start)
	answer := rollout.Answer{Route: route, New: side.isNew, Latency: now.Sub(start), Untimed: streamed || cold}
	switch {
	case refusal == nil && f.notRun(reply):
		if cold || reply.Status == http.StatusMisdirectedRequest {
			return
		}
		answer.Failed = true // at the same load, a good version refuses no more than the old one
	case refusal == nil:
		answer.Failed = reply.Status >= http.StatusBadRequest || reply.Header.Get(f.headers.Receipt) == ""
	case refusal.RunState == errs.DidNotRun || refusal.Code == errs.MemoryLimit:
		return
	case refusal.Code == errs.Canceled || refusal.Code == errs.DeadlineExceeded:
		if answer.Latency < usualLatency {
			return
		}
	default:
		answer.Failed = true
	}
	f.metrics.versions[side.isNew][answer.Failed].Inc(1)
	side.recorder.RecordAnswer(now, answer)
}

// versionCounters returns the counters of answers of services under roll-out, by whether
// they are of the new version and failed.
func versionCounters(scope tally.Scope) map[bool]map[bool]tally.Counter {
	counters := map[bool]map[bool]tally.Counter{}
	for isNew, version := range map[bool]string{false: "old", true: "new"} {
		counters[isNew] = map[bool]tally.Counter{}
		for failed, outcome := range map[bool]string{false: "answered", true: "failed"} {
			counters[isNew][failed] = scope.Tagged(map[string]string{"version": version, "outcome": outcome}).Counter("rollout_answers")
		}
	}
	return counters
}
