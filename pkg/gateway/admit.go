package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// admissionTick bounds how late an expired ticket is refused.
	admissionTick = 5 * time.Millisecond
	// overcommit lets one VM use more than its even share of the capacity,
	// because the balancer's split is never even. Owners' queues absorb it.
	overcommit = 2
	// minConcurrency keeps small services usable on every VM.
	minConcurrency = 2
	// queuePerSlot sizes the queue of a service at one VM.
	queuePerSlot = 16
)

// admitter runs an admission.Controller for concurrent requests.
type admitter struct {
	view model.ViewSource
	open bool // admits every request at once

	mu      sync.Mutex
	ctl     *admission.Controller
	waiting map[uint64]chan error
	nextID  uint64
	seen    *model.View
	live    int
}

func newAdmitter(view model.ViewSource, p model.Policy) *admitter {
	return &admitter{
		view:    view,
		open:    p.NoAdmission,
		ctl:     admission.NewController(admission.Config{}),
		waiting: make(map[uint64]chan error),
	}
}

// run refuses expired tickets until ctx ends.
func (a *admitter) run(ctx context.Context) error {
	tick := time.NewTicker(admissionTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			a.expire()
		}
	}
}

func (a *admitter) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	expired, granted := a.ctl.Expire(time.Now())
	for _, id := range expired {
		a.resolve(id, errs.Refuse(errs.DeadlineExceeded, "deadline passed in the admission queue"))
	}
	a.grant(granted)
}

// grant must be called with a.mu held.
func (a *admitter) grant(ids []uint64) {
	for _, id := range ids {
		a.resolve(id, nil)
	}
}

// resolve must be called with a.mu held.
func (a *admitter) resolve(id uint64, err error) {
	if ch, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		ch <- err
	}
}

// admit waits until the request may run. The returned function must be called
// when the request has ended.
func (a *admitter) admit(ctx context.Context, t admission.Ticket) (func(), error) {
	if a.open {
		return func() {}, nil
	}
	id, wait, err := a.offer(t)
	if err != nil {
		return nil, err
	}
	if wait != nil {
		if err := a.await(ctx, id, wait); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	return func() { a.done(id, time.Since(began)) }, nil
}

func (a *admitter) offer(t admission.Ticket) (uint64, chan error, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configure()
	a.nextID++
	t.ID = a.nextID
	switch dec := a.ctl.Offer(time.Now(), t); dec.Verdict {
	case admission.Granted:
		return t.ID, nil, nil
	case admission.Queued:
		ch := make(chan error, 1)
		a.waiting[t.ID] = ch
		return t.ID, ch, nil
	default:
		return 0, nil, dec.Refusal
	}
}

func (a *admitter) await(ctx context.Context, id uint64, wait chan error) error {
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, queued := a.waiting[id]; queued {
		delete(a.waiting, id)
		a.grant(a.ctl.Cancel(time.Now(), id))
		return ended(ctx, "in the admission queue")
	}
	// The grant and the cancellation crossed.
	if err := <-wait; err != nil {
		return err
	}
	a.grant(a.ctl.Done(time.Now(), id, 0))
	return ended(ctx, "before the request was sent")
}

// ended tells a deadline from a caller that gave up.
func ended(ctx context.Context, when string) error {
	if ctx.Err() == context.DeadlineExceeded {
		return errs.Refuse(errs.DeadlineExceeded, "deadline passed %s", when)
	}
	return errs.Refuse(errs.Canceled, "caller gave up %s", when)
}

func (a *admitter) done(id uint64, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grant(a.ctl.Done(time.Now(), id, took))
}

// configure must be called with a.mu held.
func (a *admitter) configure() {
	v := a.view.Current()
	if v == a.seen || v.Config == nil {
		return
	}
	vms := liveVMs(v)
	if a.seen != nil && a.seen.Config == v.Config && a.live == vms {
		a.seen = v
		return
	}
	a.seen, a.live = v, vms
	limits := make(map[model.ServiceID]admission.Limits, len(v.Config.Services))
	for id, svc := range v.Config.Services {
		c := concurrency(svc, vms)
		limits[id] = admission.Limits{Concurrency: c, Queue: c * queuePerSlot}
	}
	a.ctl.Configure(limits)
}

func liveVMs(v *model.View) int {
	n := 0
	for _, vm := range v.VMs {
		if vm.State == model.Alive || vm.State == model.Suspect {
			n++
		}
	}
	return max(n, 1)
}

// concurrency derives the requests of a service in flight at one VM from the
// smallest group: a search needs one slot in every group.
func concurrency(svc *model.Service, vms int) int {
	if svc.Concurrency > 0 {
		return svc.Concurrency
	}
	slots := 0
	for _, m := range svc.ShardMaps {
		for _, g := range m.Groups {
			if n := len(g.Replicas) * svc.Slots; slots == 0 || n < slots {
				slots = n
			}
		}
	}
	return max((overcommit*slots+vms-1)/vms, minConcurrency)
}
