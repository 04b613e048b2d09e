package gateway

import (
	"context"
	"sync"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/admit"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// overcommit lets one VM use more than its even share of the capacity,
	// because the balancer's split is never even. Owners' queues absorb it.
	overcommit = 2
	// minConcurrency keeps small services usable on every VM.
	minConcurrency = 2
	// queuePerSlot sizes the queue of a service at one VM.
	queuePerSlot = 16
)

// admitter admits the requests of this VM, by the capacity that the view shows.
type admitter struct {
	view model.ViewSource
	open bool // admits every request at once
	gate *admit.Limiter

	mu   sync.Mutex
	seen *model.View
	live int
}

func newAdmitter(view model.ViewSource, p model.Policy) *admitter {
	return &admitter{view: view, open: p.NoAdmission, gate: admit.New()}
}

// admit waits until the request may run. The returned function must be called
// when the request has ended.
func (a *admitter) admit(ctx context.Context, t admission.Request) (func(), error) {
	if a.open {
		return func() {}, nil
	}
	a.configure()
	return a.gate.Admit(ctx, t)
}

func (a *admitter) configure() {
	a.mu.Lock()
	defer a.mu.Unlock()
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
		limits[id] = admission.Limits{MaxRunning: c, MaxWaiting: c * queuePerSlot}
	}
	a.gate.Configure(limits)
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
