package forward

import (
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// Upstream is a replica with the state that this VM keeps for it.
type Upstream struct {
	Member  *discovery.Member
	Tracker *replica.Tracker
	Pool    *exchange.Pool
	// rollout is set while the service is under roll-out.
	rollout atomic.Pointer[rolloutSide]
}

// ReplicaSet holds the replicas of one service to which requests may be sent.
type ReplicaSet struct {
	Service   string
	Upstreams []*Upstream
	// Budget bounds the hedges and retries of the service.
	Budget *hedge.Policy
	// rollout is set while a new version of the service replaces the old one.
	rollout *rolloutFilter
}

// View is an immutable snapshot of the routes, replicas and budgets by which
// requests are routed.
type View struct {
	Table *routes.Table
	// ReplicaSets holds the replicas of each service, by its name.
	ReplicaSets map[string]*ReplicaSet
	// HedgeDelays holds, by route name, the policy that derives the hedge delay
	// from the latencies of the route.
	HedgeDelays map[string]*hedge.Policy
	// VMs is the number of VMs that share the replicas, including this one.
	VMs int
	// RelayPeers are VMs of other failure domains to which parts of fan-out queries
	// are relayed, those to prefer first.
	RelayPeers []*relay.Peer
}

// pick returns the replica with the lowest cost among those that were not tried. A
// replica whose connections are all in use is picked last. A replica that is cold or
// names a request limit is picked only within its limits. pick returns nil if no
// replica is available.
func (rs *ReplicaSet) pick(now time.Time, usualLatency time.Duration, tried []*Upstream) *Upstream {
	if rs.rollout != nil {
		return rs.rollout.pick(now, usualLatency, tried)
	}
	for range len(rs.Upstreams) {
		u := rs.cheapest(now, usualLatency, tried)
		if u == nil || u.Tracker.AllowSend(now) {
			return u
		}
	}
	return nil
}

// cheapest is pick without counting the request against the limits of the replica.
func (rs *ReplicaSet) cheapest(now time.Time, usualLatency time.Duration, tried []*Upstream) *Upstream {
	if rs.rollout != nil {
		return rs.rollout.cheapest(now, usualLatency, tried)
	}
	var cheapest *Upstream
	var lowestCost time.Duration
	n := len(rs.Upstreams)
	if n == 0 {
		return nil
	}
	// The search starts at a random replica, so that replicas of equal cost get
	// equal numbers of requests.
	first := int(randomFraction() * float64(n))
	for i := range n {
		u := rs.Upstreams[(first+i)%n]
		if wasTried(u, tried) {
			continue
		}
		cost, usable := u.Tracker.Cost(now, usualLatency)
		if !usable {
			continue
		}
		if u.Pool.Full() {
			cost += fullPoolPenalty
		}
		if cheapest == nil || cost < lowestCost {
			cheapest, lowestCost = u, cost
		}
	}
	return cheapest
}

// fullPoolPenalty is added to the cost of a replica whose connections are all in
// use. It is longer than any usual latency.
const fullPoolPenalty = 200 * time.Millisecond

func wasTried(u *Upstream, tried []*Upstream) bool {
	for _, t := range tried {
		if t == u {
			return true
		}
	}
	return false
}
