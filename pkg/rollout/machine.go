package rollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// Lease is how old a VM's knowledge of the agreement may be for it to send anything
	// to a version that is not in use yet. The store or a feed confirms it at least
	// every 2.3 s, and a change has to take effect within 3 s.
	Lease = 3 * time.Second
	// DrainTime is the time that requests at old replicas have after the last VM has
	// moved. It is more than the usual target of a request, 400 ms.
	DrainTime = 700 * time.Millisecond
	// decisionMargin is the time between the end of the shift and the deadline, for two
	// writes and the read between them at a store that takes 250 ms for each, and for a
	// writer that is lost.
	decisionMargin = 1300 * time.Millisecond
	// quietTime before the end of the shift, no evidence is reported, so that no report
	// overtakes the decision at such a store.
	quietTime = 500 * time.Millisecond
	// shiftLead is the part of the duration before the deadline in which the requests
	// move.
	shiftLead = Lease + DrainTime + decisionMargin
	// maxShiftShare bounds shiftLead as a share of the duration, so that a short order
	// has a canary phase too.
	maxShiftShare = 0.5
	// minReadyShare is the part of the number of old replicas that have to run of the new
	// version before it gets all requests.
	minReadyShare = 0.5
)

// Input is what one step of the state machine depends on.
type Input struct {
	Now time.Time
	// Order is the order in the store, nil if there is none.
	Order *Order
	// OrderEra and OrderRevision are the position of the order in the store.
	OrderEra, OrderRevision int64
	// Agreement is the state that is known, nil if there is none.
	Agreement *Agreement
	// InUse holds the versions in use, for a service without an agreement.
	InUse []string
	// OldReplicas and NewReplicas are the numbers of usable replicas of each version.
	OldReplicas, NewReplicas int
	// Evidence is that of the agreement with what this VM has not reported yet.
	Evidence Evidence
}

// Next returns the state that follows, and whether it differs from the known one. All
// VMs compute it from the same facts, and any of them may write it.
func Next(in Input) (Agreement, bool) {
	a := in.Agreement
	if in.Order == nil || in.Order.Fault != "" {
		if a == nil || a.Final() {
			return Agreement{}, false
		}
		return a.ended(in.Now, Undone, "the order was withdrawn"), true
	}
	if a == nil || !in.sameOrder() {
		if in.orderIsOver() {
			if a == nil || a.Final() {
				return Agreement{}, false
			}
			return a.ended(in.Now, Undone, "an older order is in its place"), true
		}
		return in.begin(), true
	}
	if a.Final() {
		return Agreement{}, false
	}
	if bad, reason := in.Evidence.Bad(); bad {
		return a.ended(in.Now, Undone, reason), true
	}
	deadline := a.StartedAt.Add(a.Duration)
	switch {
	case a.Phase == Shift && !in.Now.Before(a.ShiftedAt.Add(a.hold())) && in.Now.Before(deadline) && in.ready():
		return a.ended(in.Now, Done, ""), true
	case !in.Now.Before(deadline):
		return a.ended(in.Now, Undone, fmt.Sprintf("not decided by the deadline, %d replicas of the version are ready", in.NewReplicas)), true
	case a.Phase == Canary && !in.Now.Before(deadline.Add(-a.lead())) && in.ready():
		next := *a
		next.Step++
		next.Phase, next.ShiftedAt = Shift, in.Now
		return next, true
	}
	return Agreement{}, false
}

// sameOrder reports whether the agreement is about the order.
func (in Input) sameOrder() bool {
	a := in.Agreement
	if a.Target != in.Order.Target || a.Duration != in.Order.Duration {
		return false
	}
	// The same order again: it was written after the decision, and has no status.
	again := a.Final() && in.OrderEra == a.OrderEra && in.OrderRevision > a.OrderRevision && in.Order.Status == Status{}
	return !again
}

// orderIsOver reports whether the order is decided by its status.
func (in Input) orderIsOver() bool {
	s := in.Order.Status
	return s.Target == in.Order.Target && (s.State == Succeeded || s.State == RolledBack)
}

// begin returns the agreement of a new order.
func (in Input) begin() Agreement {
	next := Agreement{
		Service: in.Order.Service, Generation: 1, Target: in.Order.Target, Duration: in.Order.Duration, OrderEra: in.OrderEra, OrderRevision: in.OrderRevision,
		Base: slices.Clone(in.InUse), Phase: Canary, StartedAt: in.Now,
	}
	if a := in.Agreement; a != nil {
		next.Generation, next.Base = a.Generation+1, slices.Clone(a.InUse())
	}
	if slices.Equal(next.Base, []string{next.Target}) {
		next.Phase, next.EndedAt = Done, in.Now
	}
	return next
}

// ready reports whether enough replicas of the new version run.
func (in Input) ready() bool {
	return in.NewReplicas > 0 && float64(in.NewReplicas) >= minReadyShare*float64(in.OldReplicas)
}

// ended returns the agreement in a final phase.
func (a *Agreement) ended(now time.Time, phase Phase, reason string) Agreement {
	next := *a
	next.Step++
	next.Phase, next.EndedAt, next.Reason = phase, now, reason
	return next
}

// lead is the time before the deadline at which the requests move.
func (a *Agreement) lead() time.Duration {
	return min(shiftLead, time.Duration(maxShiftShare*float64(a.Duration)))
}

// Quiet reports whether no evidence is reported because a decision is near.
func (a *Agreement) Quiet(now time.Time) bool {
	return a.Phase == Shift && !now.Before(a.ShiftedAt.Add(a.hold()-quietTime))
}

// hold is the time for which all VMs have sent everything to the new version when the
// old replicas may stop.
func (a *Agreement) hold() time.Duration {
	lead := a.lead()
	return max(lead/2, min(Lease+DrainTime, lead-decisionMargin))
}
