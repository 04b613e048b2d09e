package config

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// groupSection is one section of the groups of a shard map.
type groupSection struct {
	// name is unique within the shard map and made from the first group, so
	// that sections keep their names when groups are added before them.
	name   string
	groups []model.Group
	weight int
}

// cut distributes groups over sections. A group that is too large for one
// section continues in the next under the same id.
func cut(groups []model.Group) []groupSection {
	var sections []groupSection
	for _, g := range groups {
		for part, piece := range pieces(g) {
			weight := len(piece.Shards) + len(piece.Replicas)
			last := len(sections) - 1
			starts := part == 0 && xxhash.Sum64String(string(g.ID))%cutModulus == 0
			if last < 0 || starts || sections[last].weight+weight > maxWeight {
				sections = append(sections, groupSection{name: fmt.Sprintf("%s.%d", g.ID, part)})
				last++
			}
			sections[last].groups = append(sections[last].groups, piece)
			sections[last].weight += weight
		}
	}
	return sections
}

// pieces returns g itself, or parts of it that each fit into one section.
func pieces(g model.Group) []model.Group {
	if len(g.Shards)+len(g.Replicas) <= maxWeight {
		return []model.Group{g}
	}
	var parts []model.Group
	for len(g.Shards) > maxWeight {
		parts = append(parts, model.Group{ID: g.ID, Shards: g.Shards[:maxWeight]})
		g.Shards = g.Shards[maxWeight:]
	}
	parts = append(parts, model.Group{ID: g.ID, Shards: g.Shards})
	for len(g.Replicas) > maxWeight {
		parts = append(parts, model.Group{ID: g.ID, Replicas: g.Replicas[:maxWeight]})
		g.Replicas = g.Replicas[maxWeight:]
	}
	return append(parts, model.Group{ID: g.ID, Replicas: g.Replicas})
}

// appendGroups adds the groups of the next section. A group with the id of
// the one before it continues that group.
func appendGroups(all, section []model.Group) []model.Group {
	for _, g := range section {
		last := len(all) - 1
		if last >= 0 && all[last].ID == g.ID {
			all[last].Shards = append(all[last].Shards, g.Shards...)
			all[last].Replicas = append(all[last].Replicas, g.Replicas...)
			continue
		}
		all = append(all, g)
	}
	return all
}
