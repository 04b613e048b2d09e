package forward

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
)

// minRelayShards is the number of shards for which a request is relayed. Below it the
// sends of one VM cost less than the way through another one: small sites, whose VMs
// reach most shards in their own failure domain, send everything themselves.
const minRelayShards = 6

// relayGroup holds the shards of a query that one VM of another failure domain
// queries at the replicas of its domain.
type relayGroup struct {
	peer   *relay.Peer
	shards []*shard
	// upstreams are the replicas of the shards in that domain, as this VM knows them.
	upstreams []*Upstream
}

// relayCostSlack times the cost of the best replica of a shard is the highest cost of
// one in another failure domain that is taken instead, so that fewer VMs share a
// query.
const relayCostSlack = 1.25

// planRelays parts the shards whose best replicas are in other failure domains among
// VMs of those domains, and returns the groups and the shards that this VM queries
// itself.
//
// It answers the load of queries over many shards on a fleet of many failure
// domains. Sent by one VM, a query is a burst of as many sends on one core, and all
// answers cross between domains, though the caller gets a few records of them. first
// is a random number; starting with different domains, the VMs of one domain spread
// over the replicas of the others.
func planRelays(now time.Time, usualLatency time.Duration, shards []*shard, peers []*relay.Peer, first int) (groups []relayGroup, direct []*shard) {
	usablePeers := map[string]*relay.Peer{}
	var domains []string
	for _, p := range peers {
		if _, ok := usablePeers[p.Domain]; !ok && p.Usable() {
			usablePeers[p.Domain] = p
			domains = append(domains, p.Domain)
		}
	}
	left := make([]relayCandidates, 0, len(shards))
	for _, s := range shards {
		if s.skipped || len(s.tried) > 0 {
			continue
		}
		c := relayCandidatesOf(now, usualLatency, s)
		if len(domains) == 0 || len(c.upstreams) == 0 {
			direct = append(direct, s)
			continue
		}
		left = append(left, c)
	}
	for i := range domains {
		domain := domains[(first+i)%len(domains)]
		group := relayGroup{peer: usablePeers[domain]}
		var others []relayCandidates
		for _, c := range left {
			if u := c.in(domain); u != nil {
				group.shards = append(group.shards, c.shard)
				group.upstreams = append(group.upstreams, u)
			} else {
				others = append(others, c)
			}
		}
		if len(group.shards) >= minRelayShards {
			groups = append(groups, group)
			left = others
		}
	}
	for _, c := range left {
		direct = append(direct, c.shard)
	}
	return groups, direct
}

// relayCandidates are the replicas through whose failure domains a shard may be
// queried.
type relayCandidates struct {
	shard     *shard
	upstreams []*Upstream
}

// relayCandidatesOf returns the replicas of a shard in other failure domains that
// cost about as little as the best one, none if that is in this VM's domain. One with
// a request limit is not among them: this VM sends it what its share of the limit
// allows, and the other VM has a share of its own.
func relayCandidatesOf(now time.Time, usualLatency time.Duration, s *shard) relayCandidates {
	c := relayCandidates{shard: s}
	if s.replicas == nil {
		return c
	}
	best := s.replicas.cheapest(now, usualLatency, nil)
	if best == nil || best.Tracker.Local {
		return c
	}
	lowest, _ := best.Tracker.Cost(now, usualLatency)
	for _, u := range s.replicas.main(now).Upstreams {
		if cost, usable := u.Tracker.Cost(now, usualLatency); usable && !u.Tracker.Local && !u.Tracker.RequestLimit().Named && float64(cost) <= relayCostSlack*float64(lowest) {
			c.upstreams = append(c.upstreams, u)
		}
	}
	return c
}

// in returns the replica in a failure domain, nil if there is none.
func (c relayCandidates) in(domain string) *Upstream {
	for _, u := range c.upstreams {
		if u.Member.Domain == domain {
			return u
		}
	}
	return nil
}
