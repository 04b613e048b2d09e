// Package snapshot chooses the index version and shard-map epoch that a query
// is answered from. The choice is a pure function of the configuration and the
// observed state of the replicas.
package snapshot

import (
	"slices"
	"sync"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// GroupChoice lists the replicas of a group that hold the chosen snapshot and may
// get new work. Holders is empty if the group cannot be covered.
type GroupChoice struct {
	Group   model.Group
	Holders []model.Replica
}

// Choice is the snapshot that a query is answered from. Groups lists all groups of
// Map, so that coverage counts those without holders too; CoveredGroups is the
// number of those with holders. A Choice is shared and must not be modified.
type Choice struct {
	Snapshot      model.Snapshot
	Map           *model.ShardMap
	Groups        []GroupChoice
	CoveredGroups int
}

// Choose returns the snapshot that the largest share of the groups of its shard
// map holds. Of several such snapshots it prefers those that at least half of the
// usable replicas of each covered group hold, and of these the newest. It returns
// false if no usable replica holds a snapshot of a configured shard map.
func Choose(svc *model.Service, v *model.View) (Choice, bool) {
	return ChooseExcept(svc, v, nil)
}

// ChooseExcept is Choose without the snapshots in dropped. A query uses it to
// restart after replicas reported that they no longer hold its snapshot.
func ChooseExcept(svc *model.Service, v *model.View, dropped map[model.Snapshot]bool) (Choice, bool) {
	var best candidate
	for i := range svc.ShardMaps {
		m := &svc.ShardMaps[i]
		for s, count := range countGroups(m, v) {
			c := candidate{snapshot: s, shardMap: m, coveredGroups: count.groups, halfOfEachGroup: count.halfHeld == count.groups}
			if !dropped[s] && (best.shardMap == nil || c.better(best)) {
				best = c
			}
		}
	}
	if best.shardMap == nil {
		return Choice{}, false
	}
	return Choice{
		Snapshot:      best.snapshot,
		Map:           best.shardMap,
		Groups:        groupChoices(best.shardMap, best.snapshot, v),
		CoveredGroups: best.coveredGroups,
	}, true
}

// Usable reports whether a replica may get new work: it is neither excluded nor
// down nor draining.
func Usable(v *model.View, r model.ReplicaID) bool {
	if _, out := v.Excluded[r]; out {
		return false
	}
	status := v.Replicas[r]
	return !status.Down && !status.Draining
}

// candidate is a snapshot that at least one usable replica holds.
type candidate struct {
	snapshot      model.Snapshot
	shardMap      *model.ShardMap
	coveredGroups int
	// halfOfEachGroup is true if at least half of the usable replicas of each
	// covered group hold the snapshot. While a version is rolled out, the first
	// replica of each group could not serve all queries alone.
	halfOfEachGroup bool
}

// better reports whether c is to be preferred to o. It compares shares of covered
// groups and not their numbers, because the maps before and after a split differ
// in their number of groups: the map with more groups could be preferred while
// some of them have no holder.
func (c candidate) better(o candidate) bool {
	// The shares over their common denominator, without a division.
	share := c.coveredGroups * len(o.shardMap.Groups)
	otherShare := o.coveredGroups * len(c.shardMap.Groups)
	if share != otherShare {
		return share > otherShare
	}
	if c.halfOfEachGroup != o.halfOfEachGroup {
		return c.halfOfEachGroup
	}
	if c.snapshot.Version != o.snapshot.Version {
		return c.snapshot.Version > o.snapshot.Version
	}
	return c.snapshot.Epoch > o.snapshot.Epoch
}

// groupCount is the number of groups with a usable replica that holds a snapshot,
// and the number of those in which at least half of the usable replicas hold it.
type groupCount struct {
	groups, halfHeld int
}

// countGroups counts, for each snapshot of the map's epoch, the groups that hold
// it. A snapshot that a replica lists twice counts once.
func countGroups(m *model.ShardMap, v *model.View) map[model.Snapshot]groupCount {
	counts := map[model.Snapshot]groupCount{}
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
			count := counts[s]
			count.groups++
			if 2*n >= usable {
				count.halfHeld++
			}
			counts[s] = count
		}
	}
	return counts
}

// groupChoices returns the usable holders of the snapshot in each group of the map.
func groupChoices(m *model.ShardMap, s model.Snapshot, v *model.View) []GroupChoice {
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

// holds reports whether a replica was observed with the snapshot.
func holds(v *model.View, r model.ReplicaID, s model.Snapshot) bool {
	for _, held := range v.Replicas[r].Snapshots {
		if held == s {
			return true
		}
	}
	return false
}

// Cache keeps the choices made on the current View, because a choice reads the
// state of each replica of the service and the View changes only a few times a
// second. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	view    *model.View
	choices map[model.ServiceID]cachedChoice
}

type cachedChoice struct {
	choice Choice
	ok     bool
}

// Choose returns the result of the function Choose for a service of the View's
// configuration, or false if the configuration has no such service.
func (c *Cache) Choose(id model.ServiceID, v *model.View) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		c.view = v
		c.choices = map[model.ServiceID]cachedChoice{}
	}
	if known, ok := c.choices[id]; ok {
		return known.choice, known.ok
	}
	var chosen cachedChoice
	if v.Config != nil && v.Config.Services[id] != nil {
		chosen.choice, chosen.ok = Choose(v.Config.Services[id], v)
	}
	c.choices[id] = chosen
	return chosen.choice, chosen.ok
}
