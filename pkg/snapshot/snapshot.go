// Package snapshot chooses the index version and shard-map epoch that a query
// is answered from. It is a pure function of configuration and replica
// knowledge.
package snapshot

import (
	"slices"
	"sync"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// GroupChoice names the replicas of a group that hold the chosen snapshot.
// Holders is empty if the group cannot be covered.
type GroupChoice struct {
	Group   model.Group
	Holders []model.Replica
}

// Choice is the snapshot of a query. Groups lists all groups of Map, so that
// coverage counts those without holders too. A Choice is shared and must not
// be modified.
type Choice struct {
	Snapshot model.Snapshot
	Map      *model.ShardMap
	Groups   []GroupChoice
	Covered  int
}

// Choose returns the snapshot that the largest share of the groups of its
// shard map holds; of those one that at least half of the usable replicas of
// each group hold, and the newest of those. It is false if no replica that may
// get work holds any.
func Choose(svc *model.Service, v *model.View) (Choice, bool) {
	return ChooseExcept(svc, v, nil)
}

// ChooseExcept is Choose without the snapshots in gone. A query uses it to
// restart after replicas said that they no longer hold its snapshot.
func ChooseExcept(svc *model.Service, v *model.View, gone map[model.Snapshot]bool) (Choice, bool) {
	var best candidate
	for i := range svc.ShardMaps {
		m := &svc.ShardMaps[i]
		for s, held := range coverage(m, v) {
			c := candidate{snapshot: s, shardMap: m, covered: held.groups, wide: held.wide == held.groups}
			if !gone[s] && (best.shardMap == nil || c.better(best)) {
				best = c
			}
		}
	}
	if best.shardMap == nil {
		return Choice{}, false
	}
	return Choice{
		Snapshot: best.snapshot,
		Map:      best.shardMap,
		Groups:   holders(best.shardMap, best.snapshot, v),
		Covered:  best.covered,
	}, true
}

// Usable tells whether a replica may get new work.
func Usable(v *model.View, r model.ReplicaID) bool {
	if _, out := v.Excluded[r]; out {
		return false
	}
	status := v.Replicas[r]
	return !status.Down && !status.Draining
}

type candidate struct {
	snapshot model.Snapshot
	shardMap *model.ShardMap
	covered  int
	// wide is set when at least half of the usable replicas of each covered
	// group hold the snapshot. While a version is rolled out, the first replica
	// of each group alone could not carry all queries.
	wide bool
}

// better orders candidates. Shares are compared and not numbers of groups,
// because the maps before and after a split differ in their number of groups,
// and the map with more groups could win while some of them have no holder.
func (c candidate) better(o candidate) bool {
	mine := c.covered * len(o.shardMap.Groups)
	others := o.covered * len(c.shardMap.Groups)
	if mine != others {
		return mine > others
	}
	if c.wide != o.wide {
		return c.wide
	}
	if c.snapshot.Version != o.snapshot.Version {
		return c.snapshot.Version > o.snapshot.Version
	}
	return c.snapshot.Epoch > o.snapshot.Epoch
}

// held counts the groups that hold a snapshot, and those in which at least
// half of the usable replicas do.
type held struct {
	groups, wide int
}

// coverage counts the groups that hold each snapshot of the map's epoch.
func coverage(m *model.ShardMap, v *model.View) map[model.Snapshot]held {
	counts := map[model.Snapshot]held{}
	holders := map[model.Snapshot]int{}
	for i := range m.Groups {
		usable := 0
		clear(holders)
		for _, r := range m.Groups[i].Replicas {
			if !Usable(v, r.ID) {
				continue
			}
			usable++
			for j, s := range v.Replicas[r.ID].Snapshots {
				if s.Epoch == m.Epoch && !slices.Contains(v.Replicas[r.ID].Snapshots[:j], s) {
					holders[s]++
				}
			}
		}
		for s, n := range holders {
			h := counts[s]
			h.groups++
			if 2*n >= usable {
				h.wide++
			}
			counts[s] = h
		}
	}
	return counts
}

func holders(m *model.ShardMap, s model.Snapshot, v *model.View) []GroupChoice {
	groups := make([]GroupChoice, len(m.Groups))
	for i, g := range m.Groups {
		groups[i].Group = g
		for _, r := range g.Replicas {
			if Usable(v, r.ID) && holds(v, r.ID, s) {
				groups[i].Holders = append(groups[i].Holders, r)
			}
		}
	}
	return groups
}

func holds(v *model.View, r model.ReplicaID, s model.Snapshot) bool {
	for _, held := range v.Replicas[r].Snapshots {
		if held == s {
			return true
		}
	}
	return false
}

// Cache keeps the choices made on the current View, because a choice looks at
// each replica of the service and the View changes only a few times a second.
// It may be used by many goroutines.
type Cache struct {
	mu      sync.Mutex
	view    *model.View
	choices map[model.ServiceID]cached
}

type cached struct {
	choice Choice
	ok     bool
}

// Choose returns the choice for a service of the View's configuration.
func (c *Cache) Choose(id model.ServiceID, v *model.View) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		c.view = v
		c.choices = map[model.ServiceID]cached{}
	}
	if known, ok := c.choices[id]; ok {
		return known.choice, known.ok
	}
	var made cached
	if v.Config != nil && v.Config.Services[id] != nil {
		made.choice, made.ok = Choose(v.Config.Services[id], v)
	}
	c.choices[id] = made
	return made.choice, made.ok
}
