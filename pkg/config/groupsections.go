package config

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// groupSection is a section that holds some of the groups of a shard map.
type groupSection struct {
	// name is unique within the shard map. It is made from the id of the first
	// group, so that sections keep their names when groups are added before
	// them.
	name   string
	groups []model.Group
	// entries is the number of shards and replicas in groups.
	entries int
}

// splitGroups distributes groups over sections. A group that is too large for
// one section continues in the next one under the same id.
func splitGroups(groups []model.Group) []groupSection {
	var sections []groupSection
	for _, g := range groups {
		for part, groupPart := range splitGroup(g) {
			partEntries := len(groupPart.Shards) + len(groupPart.Replicas)
			last := len(sections) - 1
			startsSection := part == 0 && xxhash.Sum64String(string(g.ID))%avgGroupsPerSection == 0
			if last < 0 || startsSection || sections[last].entries+partEntries > maxSectionEntries {
				sections = append(sections, groupSection{name: fmt.Sprintf("%s.%d", g.ID, part)})
				last++
			}
			sections[last].groups = append(sections[last].groups, groupPart)
			sections[last].entries += partEntries
		}
	}
	return sections
}

// splitGroup returns g, or parts of g that each fit into one section.
func splitGroup(g model.Group) []model.Group {
	if len(g.Shards)+len(g.Replicas) <= maxSectionEntries {
		return []model.Group{g}
	}
	var parts []model.Group
	for len(g.Shards) > maxSectionEntries {
		parts = append(parts, model.Group{ID: g.ID, Shards: g.Shards[:maxSectionEntries]})
		g.Shards = g.Shards[maxSectionEntries:]
	}
	parts = append(parts, model.Group{ID: g.ID, Shards: g.Shards})
	for len(g.Replicas) > maxSectionEntries {
		parts = append(parts, model.Group{ID: g.ID, Replicas: g.Replicas[:maxSectionEntries]})
		g.Replicas = g.Replicas[maxSectionEntries:]
	}
	return append(parts, model.Group{ID: g.ID, Replicas: g.Replicas})
}

// appendGroups appends the groups of the next section to all. A group with the
// same id as the last group of all continues that group.
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
