package rollout

import (
	"slices"
	"sync"
	"time"
)

const (
	// usedCanaryShare and usedCanarySlack are the parts of the bounds that the VMs use
	// while a version is tested. The rest is for requests that reach a version that
	// turns bad in the shift, until all VMs have moved back, and for VMs that restart.
	usedCanaryShare = 0.6
	usedCanarySlack = 0.5
	// rampTime is the time in which the share grows to the whole in the shift, with the
	// square of the time: a version that is bad only under load is found while most
	// requests are still elsewhere, and new replicas open connections and fill caches.
	rampTime = 2500 * time.Millisecond
	// maxCredit bounds the requests that a VM saves up for the new version.
	maxCredit = 3
)

// Plan tells a VM which versions of a service may get its requests.
type Plan struct {
	// InUse holds the versions that may get any request; empty if every version may.
	InUse []string
	// Target is the new version, Share the part of the requests for it in the canary
	// phase.
	Target string
	Share  float64
	// ShiftedAt is when the shift began, zero before. OldUntil is when old replicas
	// must get no request any more.
	ShiftedAt, OldUntil time.Time
	// LastResort is set if the target may be used once all replicas in use are gone.
	LastResort bool
}

// PlanFor returns the plan by the agreement. current is set if the agreement was
// confirmed within Lease. The bounds are those of the settings.
//
// A VM whose knowledge is older sends nothing to a version under test. If the roll-out
// has succeeded meanwhile, it finds all replicas of the old version gone, which nothing
// but a success brings about; it then uses the new one.
func PlanFor(a *Agreement, current bool, canaryShare float64) Plan {
	p := Plan{InUse: a.InUse()}
	if a.Final() {
		return p
	}
	p.Target = a.Target
	switch {
	case !current:
		p.LastResort = true
	case a.Phase == Shift:
		p.Share = usedCanaryShare * canaryShare
		p.ShiftedAt = a.ShiftedAt
		p.OldUntil = a.ShiftedAt.Add(a.hold() - DrainTime)
	default:
		p.Share = usedCanaryShare * canaryShare
	}
	return p
}

// Allows reports whether a version is in use.
func (p *Plan) Allows(version string) bool {
	return len(p.InUse) == 0 || slices.Contains(p.InUse, version)
}

// ShareAt returns the part of the requests for the new version.
func (p *Plan) ShareAt(now time.Time) float64 {
	if p.ShiftedAt.IsZero() {
		return p.Share
	}
	part := float64(now.Sub(p.ShiftedAt)) / float64(rampTime)
	if part >= 1 {
		return 1
	}
	return max(p.Share, part*max(0, part))
}

// Credit counts the requests that a VM may send to the new version: a share of those
// that it sends to the service, whatever the others send. The sum over all VMs keeps
// the share however unevenly callers spread. It is safe for concurrent use.
type Credit struct {
	mu      sync.Mutex
	balance float64
}

// NewCredit returns the credit of one of vms VMs, which has its part of the slack. The
// part is mostly below one request, and is then paid out with the share.
func NewCredit(slack float64, vms int) *Credit {
	return &Credit{balance: usedCanarySlack * slack / float64(max(1, vms))}
}

// Take counts a request to the service, and reports whether it may go to the new
// version.
func (c *Credit) Take(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balance += share
	if c.balance >= 1 {
		c.balance--
		return true
	}
	return false
}

// Return gives back a request that did not go to the new version after all.
func (c *Credit) Return() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balance = max(c.balance, min(c.balance+1, maxCredit))
}
