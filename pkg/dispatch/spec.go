package dispatch

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/limit"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/ramp"
	"github.com/nutmeghitch/nutmeghitch/pkg/upstream"
)

// targetSpec holds the configuration of one owned replica.
type targetSpec struct {
	replica model.Replica
	service model.ServiceID
	serviceLimits
	// operations holds the names of the service's operations. Each has a baseline
	// of its own.
	operations []string
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// serviceLimits are the settings of a service that apply to each of its replicas.
type serviceLimits struct {
	slots      int
	maxConns   int
	coldWindow float64
	queueLimit int
}

// ownedReplicas returns the replicas that the view assigns to self.
func ownedReplicas(v *model.View, self model.VMID, p model.Policy) map[model.ReplicaID]targetSpec {
	out := make(map[model.ReplicaID]targetSpec)
	for name, svc := range v.Config.Services {
		for _, m := range svc.ShardMaps {
			for _, g := range m.Groups {
				for _, r := range g.Replicas {
					if v.Owners[r.ID] == self {
						out[r.ID] = newTargetSpec(name, svc, r, p)
					}
				}
			}
		}
	}
	return out
}

func newTargetSpec(name model.ServiceID, svc *model.Service, r model.Replica, p model.Policy) targetSpec {
	// Half of the limit, so that the previous and the new owner together do not
	// exceed it while the replica changes its owner.
	conns := min(svc.Slots+spareConns+controlConns, svc.Connections/2)
	cold := svc.ColdWindow
	if p.NoColdWindow {
		cold = float64(svc.Slots)
	}
	return targetSpec{
		replica:       r,
		service:       name,
		serviceLimits: serviceLimits{slots: svc.Slots, maxConns: max(conns, 2), coldWindow: cold, queueLimit: svc.QueueLimit},

		operations: slices.Sorted(maps.Keys(svc.Operations)),
	}
}

func newClient(s targetSpec, dial dialFunc) *upstream.Client {
	return upstream.New(upstream.Config{
		Replica:    s.replica.ID,
		Addr:       s.replica.Addr,
		MaxConns:   s.maxConns,
		SpareConns: spareConns,
		Dial:       dial,
	})
}

// configure applies changed settings of the service. The baselines and the queued and
// running attempts of the replica are kept.
func (t *target) configure(now time.Time, s targetSpec, dial dialFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spec.operations = s.operations
	if s.serviceLimits == t.spec.serviceLimits {
		return
	}
	if s.maxConns != t.spec.maxConns {
		old := t.client.Swap(newClient(s, dial))
		// Attempts that began with the old client still need it.
		time.AfterFunc(replacedClientLifetime, old.Close)
	}
	t.spec.serviceLimits = s.serviceLimits
	t.window.Configure(ramp.Config{Slots: s.slots, ColdWindow: s.coldWindow})
	t.limiter.Configure(limit.Config{Slots: s.slots, QueueLimit: s.queueLimit})
	t.pollAt(now)
}
