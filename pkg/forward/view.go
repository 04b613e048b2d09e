package forward

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// Upstream is one replica with what this VM keeps for it.
type Upstream struct {
	Member  *discovery.Member
	Tracker *replica.Tracker
	Pool    *exchange.Pool
}

// ReplicaSet holds the replicas of one service that may get requests.
type ReplicaSet struct {
	Service   string
	Upstreams []*Upstream
	// Budget bounds the sends beyond the first of each request.
	Budget *hedge.Policy
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
	// VMs is the number of VMs that share the replicas, this one among them.
	VMs int
}

// pick returns the replica that is expected to answer first, among those that
// were not tried. A replica that needs a new connection for lack of a free one
// comes last.
func (g *ReplicaSet) pick(now time.Time, usual time.Duration, tried []*Upstream) *Upstream {
	for range len(g.Upstreams) {
		u := g.best(now, usual, tried)
		if u == nil || u.Tracker.AllowCold(now) {
			return u
		}
	}
	return nil
}

func (g *ReplicaSet) best(now time.Time, usual time.Duration, tried []*Upstream) *Upstream {
	var best *Upstream
	var least time.Duration
	n := len(g.Upstreams)
	if n == 0 {
		return nil
	}
	// The search begins anywhere, so that equal replicas share the requests.
	first := int(draw() * float64(n))
	for i := range n {
		u := g.Upstreams[(first+i)%n]
		if wasTried(u, tried) {
			continue
		}
		expected, usable := u.Tracker.Cost(now, usual)
		if !usable {
			continue
		}
		if u.Pool.Full() {
			expected += fullPoolCost
		}
		if best == nil || expected < least {
			best, least = u, expected
		}
	}
	return best
}

// fullPoolCost is added to the expected time at a replica to which all
// connections are in use; it is longer than any usual answer.
const fullPoolCost = 200 * time.Millisecond

func wasTried(u *Upstream, tried []*Upstream) bool {
	for _, t := range tried {
		if t == u {
			return true
		}
	}
	return false
}
