package gateway

import (
	"context"
	"sync"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/admit"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// overcommitFactor times its even share is the capacity that one VM may use,
	// because the load balancer does not spread requests evenly. Requests beyond
	// the real capacity wait in the queues of the owners.
	overcommitFactor = 2
	// minConcurrency is the minimum number of running requests of a service, so
	// that every VM can serve small services.
	minConcurrency = 2
	// waitingPerRunning is the maximum number of queued requests of a service for
	// each request that may run.
	waitingPerRunning = 16
)

// admitter limits the running requests of this VM. The limits follow from the
// configuration and the number of live VMs in the view.
type admitter struct {
	view     model.ViewSource
	admitAll bool // admits every request at once
	limiter  *admit.Limiter

	mu sync.Mutex
	// lastView and lastVMCount are the view and the number of live VMs for which
	// the limits were computed.
	lastView    *model.View
	lastVMCount int
}

func newAdmitter(view model.ViewSource, p model.Policy) *admitter {
	return &admitter{view: view, admitAll: p.NoAdmission, limiter: admit.New()}
}

// admit waits until the request may run. The caller must call the returned
// function when the request has ended.
func (a *admitter) admit(ctx context.Context, r admission.Request) (func(), error) {
	if a.admitAll {
		return func() {}, nil
	}
	a.updateLimits()
	return a.limiter.Admit(ctx, r)
}

// updateLimits computes the limits of all services again if the configuration or
// the number of live VMs has changed.
func (a *admitter) updateLimits() {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.view.Current()
	if v == a.lastView || v.Config == nil {
		return
	}
	vms := countLiveVMs(v)
	if a.lastView != nil && a.lastView.Config == v.Config && a.lastVMCount == vms {
		a.lastView = v
		return
	}
	a.lastView, a.lastVMCount = v, vms
	limits := make(map[model.ServiceID]admission.Limits, len(v.Config.Services))
	for id, svc := range v.Config.Services {
		c := maxRunning(svc, vms)
		limits[id] = admission.Limits{MaxRunning: c, MaxWaiting: c * waitingPerRunning}
	}
	a.limiter.Configure(limits)
}

// countLiveVMs returns the number of VMs that are alive or suspect, at least 1.
func countLiveVMs(v *model.View) int {
	n := 0
	for _, vm := range v.VMs {
		if vm.State == model.Alive || vm.State == model.Suspect {
			n++
		}
	}
	return max(n, 1)
}

// maxRunning returns the maximum number of running requests of a service at one
// VM. Without a configured value it follows from the slots of the smallest
// group, because a search needs one slot in every group.
func maxRunning(svc *model.Service, vms int) int {
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
	return max((overcommitFactor*slots+vms-1)/vms, minConcurrency)
}
