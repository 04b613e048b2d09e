// Package admit limits concurrent requests by an admission.Controller: each
// request waits until it may run, is refused, or ends with its context.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// expireInterval is the longest time for which a request may stay in the queue
// after its deadline can no longer be met.
const expireInterval = 5 * time.Millisecond

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	controller *admission.Controller
	// waiting holds the channel that gets the result of each queued request:
	// nil if the request may run, and the refusal otherwise.
	waiting map[uint64]chan error
	nextID  uint64
}

// New returns a limiter without services.
func New() *Limiter {
	return &Limiter{controller: admission.NewController(admission.Config{}), waiting: map[uint64]chan error{}}
}

// Configure replaces the limits of all services.
func (l *Limiter) Configure(limits map[model.ServiceID]admission.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controller.Configure(limits)
}

// SetLimits changes the limits of one service, which is added if it is new.
// Queued requests that the new limits allow are started.
func (l *Limiter) SetLimits(service model.ServiceID, limits admission.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant(l.controller.SetLimits(time.Now(), service, limits))
}

// Run refuses queued requests that can no longer finish in time, until ctx
// ends. It is not needed if each request waits under a context that ends at the
// request's deadline.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.expire()
		}
	}
}

func (l *Limiter) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired, granted := l.controller.Expire(time.Now())
	for _, id := range expired {
		l.resolve(id, errs.Refuse(errs.DeadlineExceeded, "deadline passed in the admission queue"))
	}
	l.grant(granted)
}

// grant starts queued requests. It must be called with l.mu held.
func (l *Limiter) grant(ids []uint64) {
	for _, id := range ids {
		l.resolve(id, nil)
	}
}

// resolve ends the wait of a request. It must be called with l.mu held.
func (l *Limiter) resolve(id uint64, err error) {
	if result, ok := l.waiting[id]; ok {
		delete(l.waiting, id)
		result <- err
	}
}

// Admit waits until the request may run. The returned function must be called
// when the request has ended. Admit sets the ID of r. Each error is an
// *errs.Refusal of a request that did not run.
func (l *Limiter) Admit(ctx context.Context, r admission.Request) (func(), error) {
	id, result, err := l.offer(r)
	if err != nil {
		return nil, err
	}
	if result != nil {
		if err := l.await(ctx, id, result); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	return func() { l.done(id, time.Since(started)) }, nil
}

// offer returns the ID of an accepted request, and the channel of its result if
// it has to wait.
func (l *Limiter) offer(r admission.Request) (uint64, chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	r.ID = l.nextID
	switch decision := l.controller.Offer(time.Now(), r); decision.Verdict {
	case admission.Granted:
		return r.ID, nil, nil
	case admission.Queued:
		result := make(chan error, 1)
		l.waiting[r.ID] = result
		return r.ID, result, nil
	default:
		return 0, nil, decision.Refusal
	}
}

// await waits for the result of a queued request. If ctx ends first, it cancels
// the request.
func (l *Limiter) await(ctx context.Context, id uint64, result chan error) error {
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, queued := l.waiting[id]; queued {
		delete(l.waiting, id)
		l.grant(l.controller.Cancel(time.Now(), id))
		return contextRefusal(ctx, "in the admission queue")
	}
	// The request was resolved while ctx ended.
	if err := <-result; err != nil {
		return err
	}
	l.grant(l.controller.Done(time.Now(), id, 0))
	return contextRefusal(ctx, "before the request was sent")
}

// contextRefusal returns the refusal for an ended ctx: the deadline has passed
// or the caller has canceled the request.
func contextRefusal(ctx context.Context, when string) error {
	if ctx.Err() == context.DeadlineExceeded {
		return errs.Refuse(errs.DeadlineExceeded, "deadline passed %s", when)
	}
	return errs.Refuse(errs.Canceled, "caller gave up %s", when)
}

func (l *Limiter) done(id uint64, serviceTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant(l.controller.Done(time.Now(), id, serviceTime))
}
