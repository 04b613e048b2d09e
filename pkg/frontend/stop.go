package frontend

import (
	"context"
	"sync/atomic"
	"time"
)

// DefaultBalancerNotice is the time within which the platform's balancer
// detects that /readyz fails.
const DefaultBalancerNotice = 3 * time.Second

// Readiness decides the answer of /readyz.
type Readiness struct {
	ready   atomic.Bool
	leaving atomic.Bool
}

// SetReady records whether the VM can serve callers. After MarkLeaving, Ready
// stays false.
func (r *Readiness) SetReady(ready bool) { r.ready.Store(ready) }

// MarkLeaving makes Ready false for the rest of the process's life.
func (r *Readiness) MarkLeaving() { r.leaving.Store(true) }

// Ready reports whether the balancer may send callers to this VM.
func (r *Readiness) Ready() bool { return r.ready.Load() && !r.leaving.Load() }

// StopPlan holds what a graceful stop of one VM's front end needs, see
// docs/design.md, section 3.13.
type StopPlan struct {
	Readiness *Readiness
	// AnnounceLeave tells the peers that the VM is leaving the tier and returns
	// when they have been told. The VM then relays all its work to them.
	AnnounceLeave func(ctx context.Context)
	Callers       *Server
	// BalancerNotice is how long callers are still accepted after /readyz has
	// begun to fail.
	BalancerNotice time.Duration
}

// Run fails /readyz, announces the stop to the peers, accepts callers for
// BalancerNotice and then stops their server. It returns when each request in
// flight is answered, or with the context's error when ctx ended first. The
// operators' server is not stopped, so that /readyz and /metrics still answer.
func (p StopPlan) Run(ctx context.Context) error {
	p.Readiness.MarkLeaving()
	p.Callers.CloseAfterAnswer()
	notice := time.NewTimer(p.BalancerNotice)
	defer notice.Stop()
	p.AnnounceLeave(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	return p.Callers.Stop(ctx)
}
