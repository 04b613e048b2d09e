package edge

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
)

// toldAt is what a replica has said, and when.
type toldAt struct {
	replica.Told
	at time.Time
}

// toldRetention is how long it is remembered what a replica has said that is not in the
// view.
const toldRetention = 10 * time.Minute

// restoreTold gives new state of replicas what they have said before. p.mu is held.
func (p *prober) restoreTold(view *forward.View) {
	if len(p.told) == 0 {
		return
	}
	for _, replicaSet := range view.ReplicaSets {
		for _, u := range replicaSet.Upstreams {
			if told, ok := p.told[replicaKeyOf(u.Member)]; ok {
				u.Tracker.Hear(told.Told)
			}
		}
	}
	for k, told := range p.told {
		if time.Since(told.at) > toldRetention {
			delete(p.told, k)
		}
	}
}

// ReplicaTold implements forward.Observer.
func (p *prober) ReplicaTold(u *forward.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told[replicaKeyOf(u.Member)] = toldAt{u.Tracker.Told(), time.Now()}
}
