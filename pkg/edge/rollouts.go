package edge

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/rollout"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

// Names of the topics of roll-outs. They are part of the protocol between VMs.
const (
	topicRollouts   = "rollouts"
	topicAgreements = "rollout agreements"
)

const (
	// defaultCanaryShare and defaultCanarySlack are used if the settings have no bounds
	// for roll-outs: those of the users' examples.
	defaultCanaryShare = 0.1
	defaultCanarySlack = 50
	// leaseShare of the bound on a roll-back is the longest age of what a VM knows of a
	// roll-out; the rest is for the verdict and its write.
	leaseShare = 0.6
)

// RolloutStore is the part of the object store that roll-outs use.
type RolloutStore interface {
	Rollouts() storewatch.Source[rollout.Order]
	Agreements() storewatch.Source[rollout.Agreement]
	// WriteAgreement replaces the agreement of the given revision, 0 for none, and
	// WriteRolloutStatus the status of the order of the given revision.
	WriteAgreement(ctx context.Context, a rollout.Agreement, revision int64) error
	WriteRolloutStatus(ctx context.Context, service string, status rollout.Status, revision int64) error
}

// rolloutState holds what this VM knows of roll-outs, by service.
type rolloutState struct {
	services map[string]*serviceRollout
	// unwanted holds the services and versions that get no requests and were logged.
	unwanted map[[2]string]bool
}

// serviceRollout is what this VM knows of the versions of a service.
type serviceRollout struct {
	// order is nil if there is none.
	order         *rollout.Order
	orderRevision int64
	// known is the latest agreement, also if the store has lost it. stored is the one in
	// the store, nil if there is none.
	known, stored  *rollout.Agreement
	storedRevision int64
	// inUse holds the version that the service had when this VM saw it first.
	inUse []string
	// unversioned stands for it while the replicas name no version.
	unversioned []string
	// recorder and credit are those of the generation of the agreement.
	recorder *rolloutRecorder
	credit   *rollout.Credit
	// current is set if the agreement is confirmed, as of the last view.
	current bool
	// shiftSeenAt is when this VM has learned of the shift by its own clock.
	shiftSeenAt time.Time
	// refused is the generation of the agreement whose new version this VM has found bad,
	// also while it cannot write that.
	refused int64
	// loggedFault is the fault of the order that was logged last.
	loggedFault string
	rolloutWrites
}

func newRolloutState() *rolloutState {
	return &rolloutState{services: map[string]*serviceRollout{}, unwanted: map[[2]string]bool{}}
}

func (s *rolloutState) service(name string) *serviceRollout {
	r := s.services[name]
	if r == nil {
		r = &serviceRollout{}
		s.services[name] = r
	}
	return r
}

// running returns the number of services under roll-out.
func (s *rolloutState) running() int {
	n := 0
	for _, r := range s.services {
		if r.known != nil && !r.known.Final() {
			n++
		}
	}
	return n
}

// rolloutRecorder passes answers on to the reporter of a roll-out.
type rolloutRecorder struct {
	*rollout.Reporter
	generation int64
	shiftedAt  atomic.Pointer[time.Time]
}

// RecordAnswer implements forward.RolloutRecorder.
func (r *rolloutRecorder) RecordAnswer(now time.Time, answer rollout.Answer) {
	r.Record(now, *r.shiftedAt.Load(), answer)
}

// newRolloutTopics returns the topics of roll-outs, none if the settings do not have them
// in force: reading them costs calls. Only the agreements need a confirmation at short
// intervals; a VM that has missed a change of an order learns of it from them.
func (c *controller) newRolloutTopics(store RolloutStore) []anyTopic {
	if !c.state.settings.Rollouts {
		return nil
	}
	c.agreements = &topic[rollout.Agreement]{
		name: topicAgreements, controller: c, source: store.Agreements(), maxWatchWait: urgentWatchWait, urgent: true,
		apply: c.applyAgreement, removeAbsent: c.removeAbsentAgreements, currentItems: c.currentAgreements,
	}
	return []anyTopic{
		&topic[rollout.Order]{
			name: topicRollouts, controller: c, source: store.Rollouts(), maxWatchWait: longWatchWait,
			apply: c.applyOrder, removeAbsent: c.removeAbsentOrders, currentItems: c.currentOrders,
		},
		c.agreements,
	}
}

// applyOrder applies a new, changed or withdrawn order.
func (c *controller) applyOrder(_ time.Time, item storewatch.Item[rollout.Order]) bool {
	r := c.state.rollouts.service(item.Name)
	if item.Deleted || item.Err != nil {
		if r.order != nil {
			c.log.WithFields(logrus.Fields{"service": item.Name, "version": r.order.Target, "revision": item.Revision}).Info("order of a roll-out withdrawn")
		}
		r.order = nil
		return true
	}
	if r.order == nil || *r.order != item.Value {
		c.log.WithFields(logrus.Fields{
			"service": item.Name, "version": item.Value.Target, "duration_ms": item.Value.Duration.Milliseconds(), "state": item.Value.Status.State, "revision": item.Revision,
		}).Info("order of a roll-out read")
	}
	order := item.Value
	r.order, r.orderRevision = &order, item.Revision
	return true
}

// removeAbsentOrders withdraws the orders that a complete list does not name.
func (c *controller) removeAbsentOrders(now time.Time, listed map[string]bool) bool {
	for name, r := range c.state.rollouts.services {
		if r.order != nil && !listed[name] {
			c.applyOrder(now, storewatch.Item[rollout.Order]{Name: name, Deleted: true})
		}
	}
	return true
}

// currentOrders returns the known orders.
func (c *controller) currentOrders(time.Time) []storewatch.Item[rollout.Order] {
	var items []storewatch.Item[rollout.Order]
	for name, r := range c.state.rollouts.services {
		if r.order != nil {
			items = append(items, storewatch.Item[rollout.Order]{Name: name, Revision: r.orderRevision, Value: *r.order})
		}
	}
	return items
}

// applyAgreement applies an agreement in the store. One that is older than the known one
// comes from a copy of the store, and is replaced again. A deleted one is forgotten:
// operators have reset the service.
func (c *controller) applyAgreement(now time.Time, item storewatch.Item[rollout.Agreement]) bool {
	r := c.state.rollouts.service(item.Name)
	if item.Err != nil {
		return false
	}
	if item.Deleted {
		r.stored, r.known, r.storedRevision, r.inUse = nil, nil, 0, nil
		return true
	}
	a := item.Value
	r.stored, r.storedRevision = &a, item.Revision
	c.adoptAgreement(now, r, a)
	if r.recorder != nil && r.recorder.generation == a.Generation {
		r.recorder.Reconcile(now, &a)
	}
	return true
}

// adoptAgreement makes an agreement the known one if it is later.
func (c *controller) adoptAgreement(now time.Time, r *serviceRollout, a rollout.Agreement) {
	before := r.known
	if !a.Later(before) {
		return
	}
	r.known = &a
	if r.recorder == nil || r.recorder.generation != a.Generation {
		r.recorder = &rolloutRecorder{Reporter: rollout.NewReporter(c.state.settings.VM, a.StartedAt), generation: a.Generation}
		r.credit = rollout.NewCredit(cmp.Or(c.state.settings.Bounds.CanarySlack, defaultCanarySlack), len(c.state.vmNames()))
	}
	r.recorder.shiftedAt.Store(&a.ShiftedAt)
	if a.Phase == rollout.Shift && (before == nil || before.Phase != rollout.Shift) {
		r.shiftSeenAt = now
	}
	if before == nil || before.Phase != a.Phase || before.Generation != a.Generation {
		total, _ := a.Evidence.NewAnswers()
		c.log.WithFields(logrus.Fields{
			"service": a.Service, "version": a.Target, "phase": a.Phase, "in_use": a.InUse(), "generation": a.Generation, "step": a.Step, "answers": total, "reason": a.Reason,
		}).Info("phase of a roll-out changed")
	}
}

// removeAbsentAgreements notes which agreements the store does not have. They are written
// again: they tell which versions are in use.
func (c *controller) removeAbsentAgreements(_ time.Time, listed map[string]bool) bool {
	for name, r := range c.state.rollouts.services {
		if !listed[name] {
			r.stored, r.storedRevision = nil, 0
		}
	}
	return true
}

// currentAgreements returns the agreements in the store.
func (c *controller) currentAgreements(time.Time) []storewatch.Item[rollout.Agreement] {
	var items []storewatch.Item[rollout.Agreement]
	for name, r := range c.state.rollouts.services {
		if r.stored != nil {
			items = append(items, storewatch.Item[rollout.Agreement]{Name: name, Revision: r.storedRevision, Value: *r.stored})
		}
	}
	return items
}

// rolloutsCurrent reports whether the agreements were confirmed lately enough for requests
// to versions under test.
func (c *controller) rolloutsCurrent(now time.Time) bool {
	lease := rollout.Lease
	if bound := c.state.settings.Bounds.Rollback; bound > 0 {
		lease = min(lease, time.Duration(leaseShare*float64(bound)))
	}
	confirmed := c.agreements.verifiedAt
	if byFeed := c.rolloutsFedAt.Load(); byFeed != nil && byFeed.After(confirmed) {
		confirmed = *byFeed
	}
	return c.agreements.at.Revision > 0 && now.Sub(confirmed) <= lease
}

// applyRolloutPlan limits the replicas of a service to the versions that may get requests.
// It does nothing unless the settings have roll-outs in force.
func (s *state) applyRolloutPlan(rs *forward.ReplicaSet) {
	if !s.settings.Rollouts {
		return
	}
	r := s.rollouts.service(rs.Service)
	plan := r.plan(cmp.Or(s.settings.Bounds.CanaryShare, defaultCanaryShare), rs.Upstreams)
	for _, u := range rs.Upstreams {
		version := u.Member.Version
		tested := plan.Target != "" && version == plan.Target
		if r.known != nil && !r.known.Final() && (tested || plan.Allows(version)) {
			u.SetRollout(r.recorder, tested)
		} else {
			u.SetRollout(nil, false)
		}
		if k := [2]string{rs.Service, version}; !tested && !plan.Allows(version) && !s.rollouts.unwanted[k] {
			s.rollouts.unwanted[k] = true
			s.log.WithFields(logrus.Fields{"service": rs.Service, "version": version, "replica": u.Member.ID, "in_use": plan.InUse}).Warn("replicas of a version get no requests: no order has it in use")
		}
	}
	rs.ApplyPlan(plan, r.credit)
}

// plan returns which versions may get requests.
func (r *serviceRollout) plan(canaryShare float64, replicas []*forward.Upstream) rollout.Plan {
	a := r.known
	if a == nil {
		if len(r.inUse) == 0 && len(replicas) > 0 {
			oldest := []string{oldestVersion(replicas)}
			if oldest[0] == "" { // perhaps from a seed VM of an older build, which does not know versions
				r.unversioned = oldest
				return rollout.Plan{InUse: oldest}
			}
			r.inUse = oldest
		}
		return rollout.Plan{InUse: r.inUse}
	}
	if !a.Final() && (r.order == nil || r.order.Target != a.Target || r.refused == a.Generation) {
		return rollout.Plan{InUse: a.InUse()} // withdrawn, replaced or bad
	}
	plan := rollout.PlanFor(a, r.current, canaryShare)
	if ahead := plan.ShiftedAt.Sub(r.shiftSeenAt); !plan.ShiftedAt.IsZero() && ahead > 0 {
		// The clock of the VM that wrote it is ahead of this one's.
		plan.ShiftedAt, plan.OldUntil = plan.ShiftedAt.Add(-ahead), plan.OldUntil.Add(-ahead)
	}
	return plan
}

// oldestVersion returns the version of the replica that has run for longest. Replicas of
// a new version start later, also if this VM learns of them before their order.
func oldestVersion(replicas []*forward.Upstream) string {
	oldest := slices.MinFunc(replicas, func(a, b *forward.Upstream) int {
		return cmp.Or(cmp.Compare(a.Member.Born, b.Member.Born), cmp.Compare(a.Member.ID, b.Member.ID))
	})
	return oldest.Member.Version
}

// countReplicas returns the numbers of usable replicas of the versions in use and of the
// target. A replica of the target counts once it is warm.
func (s *state) countReplicas(now time.Time, service string, r *serviceRollout) (old, fresh int) {
	inUse := r.inUse
	if r.known != nil {
		inUse = r.known.InUse()
	}
	for _, m := range s.registry.View().Services[service] {
		u := s.upstreams[replicaKeyOf(m)]
		if u == nil || u.Tracker.Down() {
			continue
		}
		switch {
		case r.order != nil && m.Version == r.order.Target:
			if !u.Tracker.IsCold(now) {
				fresh++
			}
		case slices.Contains(inUse, m.Version):
			old++
		}
	}
	return old, fresh
}
