package frontend

import (
	"context"
	"sync/atomic"
	"time"
)

// DefaultBalancerNotice is the time in which the platform's balancer notices
// that /readyz fails.
const DefaultBalancerNotice = 3 * time.Second

// Readiness is the state behind /readyz.
type Readiness struct {
	ready   atomic.Bool
	leaving atomic.Bool
}

// SetReady tells that the VM can serve. It has no effect after Leave.
func (r *Readiness) SetReady(ready bool) { r.ready.Store(ready) }

// Leave makes /readyz fail for good.
func (r *Readiness) Leave() { r.leaving.Store(true) }

// Ready reports whether the balancer may send requests here.
func (r *Readiness) Ready() bool { return r.ready.Load() && !r.leaving.Load() }

// StopPlan is the planned stop of one VM's front end, see docs/design.md,
// section 3.13.
type StopPlan struct {
	Readiness *Readiness
	// Announce tells the peers that the VM is leaving. It returns when they
	// have been told; the VM then relays all its work.
	Announce func(ctx context.Context)
	Callers  *Server
	// Notice is how long callers are accepted after the announcement.
	Notice time.Duration
}

// Run stops accepting callers and returns when each request in flight is
// answered, or with the context's error when ctx ended first. The operators'
// server is not stopped: /readyz and /metrics answer to the end.
func (p StopPlan) Run(ctx context.Context) error {
	p.Readiness.Leave()
	p.Callers.Leave()
	notice := time.NewTimer(p.Notice)
	defer notice.Stop()
	p.Announce(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	return p.Callers.Stop(ctx)
}
