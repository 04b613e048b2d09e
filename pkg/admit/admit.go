// Package admit runs an admission.Controller for concurrent requests: each
// waits until it may run, is refused, or gives up.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// tick bounds how late an expired request is refused.
const tick = 5 * time.Millisecond

// Gate admits requests. It may be used by many goroutines.
type Gate struct {
	mu      sync.Mutex
	ctl     *admission.Controller
	waiting map[uint64]chan error
	nextID  uint64
}

// New returns a gate without services.
func New() *Gate {
	return &Gate{ctl: admission.NewController(admission.Config{}), waiting: map[uint64]chan error{}}
}

// Configure replaces the limits of all services.
func (g *Gate) Configure(limits map[model.ServiceID]admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctl.Configure(limits)
}

// SetLimits changes the limits of one service, which is added if it is new.
// Requests that the new limits let run are started.
func (g *Gate) SetLimits(service model.ServiceID, limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(g.ctl.SetLimits(time.Now(), service, limits))
}

// Run refuses expired requests until ctx ends. A gate whose requests all wait
// under a context with a deadline of its own needs no Run.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.expire()
		}
	}
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	expired, granted := g.ctl.Expire(time.Now())
	for _, id := range expired {
		g.resolve(id, errs.Refuse(errs.DeadlineExceeded, "deadline passed in the admission queue"))
	}
	g.grant(granted)
}

// grant must be called with g.mu held.
func (g *Gate) grant(ids []uint64) {
	for _, id := range ids {
		g.resolve(id, nil)
	}
}

// resolve must be called with g.mu held.
func (g *Gate) resolve(id uint64, err error) {
	if ch, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		ch <- err
	}
}

// Admit waits until the request may run. The returned function must be called
// when the request has ended. The gate sets the ID of r. Errors are
// *errs.Refusal of requests that did not run.
func (g *Gate) Admit(ctx context.Context, r admission.Request) (func(), error) {
	id, wait, err := g.offer(r)
	if err != nil {
		return nil, err
	}
	if wait != nil {
		if err := g.await(ctx, id, wait); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	return func() { g.done(id, time.Since(began)) }, nil
}

func (g *Gate) offer(r admission.Request) (uint64, chan error, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	r.ID = g.nextID
	switch dec := g.ctl.Offer(time.Now(), r); dec.Verdict {
	case admission.Granted:
		return r.ID, nil, nil
	case admission.Queued:
		ch := make(chan error, 1)
		g.waiting[r.ID] = ch
		return r.ID, ch, nil
	default:
		return 0, nil, dec.Refusal
	}
}

func (g *Gate) await(ctx context.Context, id uint64, wait chan error) error {
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.waiting[id]; queued {
		delete(g.waiting, id)
		g.grant(g.ctl.Cancel(time.Now(), id))
		return ended(ctx, "in the admission queue")
	}
	// The grant and the cancellation crossed.
	if err := <-wait; err != nil {
		return err
	}
	g.grant(g.ctl.Done(time.Now(), id, 0))
	return ended(ctx, "before the request was sent")
}

// ended tells a deadline from a caller that gave up.
func ended(ctx context.Context, when string) error {
	if ctx.Err() == context.DeadlineExceeded {
		return errs.Refuse(errs.DeadlineExceeded, "deadline passed %s", when)
	}
	return errs.Refuse(errs.Canceled, "caller gave up %s", when)
}

func (g *Gate) done(id uint64, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(g.ctl.Done(time.Now(), id, took))
}
