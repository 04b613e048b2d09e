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

// targetSpec is what the configuration says about one owned replica.
type targetSpec struct {
	replica model.Replica
	service model.ServiceID
	limits
	// operations are the names whose service times are compared separately.
	operations []string
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// limits are the settings of a service that apply to each of its replicas.
type limits struct {
	slots int
	conns int
	cold  float64
	queue int
}

func ownedReplicas(v *model.View, self model.VMID, p model.Policy) map[model.ReplicaID]targetSpec {
	out := make(map[model.ReplicaID]targetSpec)
	for name, svc := range v.Config.Services {
		for _, m := range svc.ShardMaps {
			for _, g := range m.Groups {
				for _, r := range g.Replicas {
					if v.Owners[r.ID] == self {
						out[r.ID] = newSpec(name, svc, r, p)
					}
				}
			}
		}
	}
	return out
}

func newSpec(name model.ServiceID, svc *model.Service, r model.Replica, p model.Policy) targetSpec {
	// Half of the limit, so that two owners together stay below it while
	// ownership moves.
	conns := min(svc.Slots+spareConns+controlConns, svc.Connections/2)
	cold := svc.ColdWindow
	if p.NoColdWindow {
		cold = float64(svc.Slots)
	}
	return targetSpec{
		replica: r,
		service: name,
		limits:  limits{slots: svc.Slots, conns: max(conns, 2), cold: cold, queue: svc.QueueLimit},

		operations: slices.Sorted(maps.Keys(svc.Operations)),
	}
}

func newClient(s targetSpec, dial dialFunc) *upstream.Client {
	return upstream.New(upstream.Config{
		Replica:    s.replica.ID,
		Addr:       s.replica.Addr,
		MaxConns:   s.conns,
		SpareConns: spareConns,
		Dial:       dial,
	})
}

// configure puts a changed configuration of the service in force. What was
// learned about the replica stays.
func (t *target) configure(now time.Time, s targetSpec, dial dialFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.limits == t.spec.limits {
		return
	}
	if s.conns != t.spec.conns {
		old := t.client.Swap(newClient(s, dial))
		// Attempts that began with the old client end with it.
		time.AfterFunc(clientLinger, old.Close)
	}
	t.spec.limits = s.limits
	t.spec.operations = s.operations
	t.window.Configure(ramp.Config{Slots: s.slots, ColdWindow: s.cold})
	t.gate.Configure(limit.Config{Slots: s.slots, QueueLimit: s.queue})
	t.pollAt(now)
}
