// Package rollout decides how a new version of a service replaces the old one: which
// share of the requests each VM sends to it, whether it is bad, and when the old
// replicas may stop. It answers the failure of a version that fails requests or
// answers them late, and the loss of any VM, of links between VMs and of the store
// while one version replaces another. It performs no I/O and starts no goroutine; the
// caller passes time and evidence.
package rollout

import (
	"slices"
	"time"
)

// State is the state of a roll-out that operators see.
type State string

// States of a roll-out.
const (
	Running    State = "running"
	Succeeded  State = "succeeded"
	RolledBack State = "rolled back"
)

// Status is what the tier writes into an order.
type Status struct {
	State  State
	Target string
}

// Order asks for the replacement of the version of a service.
type Order struct {
	Service string
	// Target is the version that is to replace the present one.
	Target string
	// Duration is the time in which the order has to be decided.
	Duration time.Duration
	// Fault says why the entry cannot be used; it is empty if it can.
	Fault string
	// Status is the status in the store.
	Status Status
}

// Phase is the step that all VMs have agreed on.
type Phase string

// Phases of a roll-out. The last two are final.
const (
	// Canary: each VM sends a small share of its requests to the new version.
	Canary Phase = "canary"
	// Shift: the VMs send all requests to the new version. The old replicas still run.
	Shift Phase = "shift"
	// Done: the new version has replaced the old one, whose replicas may stop.
	Done Phase = "done"
	// Undone: the new version gets no requests.
	Undone Phase = "undone"
)

// Agreement is what the VMs have agreed on for a service. It is kept in the store as
// one object and replaced by conditional writes, so that of two concurrent changes one
// fails.
type Agreement struct {
	Service string `json:"service"`
	// Generation counts the orders of the service, Step the changes since the order
	// came. Of two agreements, the one with the higher pair is the later.
	Generation int64 `json:"generation"`
	Step       int64 `json:"step"`
	// Target and Duration are those of the order, OrderEra and OrderRevision its position
	// in the store when it was first seen.
	Target        string        `json:"target"`
	Duration      time.Duration `json:"duration_ns"`
	OrderEra      int64         `json:"order_era"`
	OrderRevision int64         `json:"order_revision"`
	// Base holds the versions that were in use before the order.
	Base  []string `json:"base"`
	Phase Phase    `json:"phase"`
	// StartedAt, ShiftedAt and EndedAt are the times at which the phases began, by the
	// clock of the VM that wrote them.
	StartedAt time.Time `json:"started_at"`
	ShiftedAt time.Time `json:"shifted_at"`
	EndedAt   time.Time `json:"ended_at"`
	// Reason says why the roll-out was undone.
	Reason   string   `json:"reason,omitempty"`
	Evidence Evidence `json:"evidence"`
	// Reports names the last reports of evidence that were added.
	Reports []string `json:"reports,omitempty"`
}

// Final reports whether the roll-out is decided.
func (a *Agreement) Final() bool { return a.Phase == Done || a.Phase == Undone }

// Status returns the status that the order is to have.
func (a *Agreement) Status() Status {
	switch a.Phase {
	case Done:
		return Status{State: Succeeded, Target: a.Target}
	case Undone:
		return Status{State: RolledBack, Target: a.Target}
	default:
		return Status{State: Running, Target: a.Target}
	}
}

// Later reports whether a is a later state than b, which may be nil.
func (a *Agreement) Later(b *Agreement) bool {
	return b == nil || a.Generation > b.Generation || (a.Generation == b.Generation && a.Step > b.Step)
}

// InUse returns the versions of the service that are in use apart from a roll-out that
// still runs.
func (a *Agreement) InUse() []string {
	if a.Phase == Done {
		return []string{a.Target}
	}
	return a.Base
}

// maxReports bounds Agreement.Reports. A VM looks for its report in the state that
// follows its write, which is at most a few writes later.
const maxReports = 32

// WithReport returns the agreement with the evidence of one report added.
func (a Agreement) WithReport(id string, delta Evidence) Agreement {
	a.Step++
	a.Evidence = a.Evidence.clone()
	a.Evidence.Add(delta)
	a.Reports = append(slices.Clone(a.Reports[max(0, len(a.Reports)-maxReports+1):]), id)
	return a
}

// Contains reports whether a report was added lately.
func (a *Agreement) Contains(id string) bool { return slices.Contains(a.Reports, id) }
