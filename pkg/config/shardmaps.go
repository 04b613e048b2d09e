package config

import (
	"fmt"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// shardMap checks the groups, shards and replicas of one shard map.
func (v *validator) shardMap(id model.ServiceID, s *model.Service, m model.ShardMap, path string) {
	if len(m.Groups) == 0 {
		if !v.faults.within(path + ".replica_range") {
			v.fault(path+".groups", "no groups", "", "groups or replica_range")
		}
		return
	}
	groups := map[model.GroupID]int{}
	shards := map[model.ShardID]string{}
	local := map[model.ReplicaID]string{}
	for i, g := range m.Groups {
		at := fmt.Sprintf("%s.groups[%d]", path, i)
		v.require(at, "id", "replicas")
		if first, dup := groups[g.ID]; dup {
			v.fault(at+".id", fmt.Sprintf("duplicate of groups[%d]", first), string(g.ID), "an id of its own")
		}
		groups[g.ID] = i
		v.shards(s, g, at, shards)
		for j, r := range g.Replicas {
			p := placed{Replica: r, service: id, mapPath: path, path: fmt.Sprintf("%s.replicas[%d]", at, j)}
			if first, dup := local[r.ID]; dup {
				v.fault(p.path+".id", "duplicate replica, first at "+first, string(r.ID), "an id of its own")
				continue
			}
			local[r.ID] = p.path
			v.replica(p)
		}
	}
	v.declared(path, shards)
}

// shards checks that each shard is in one group. A shard in two groups would
// be counted and returned twice.
func (v *validator) shards(s *model.Service, g model.Group, path string, seen map[model.ShardID]string) {
	if s.Kind == model.Search && len(g.Shards) == 0 {
		v.fault(path+".shards", "a group of a search service needs shards", "", "at least one shard")
	}
	if s.Kind == model.Lookup && len(g.Shards) > 0 {
		v.fault(path+".shards", "a lookup service has no shards", fmt.Sprint(len(g.Shards), " shards"), "no such key")
	}
	for i, id := range g.Shards {
		at := fmt.Sprintf("%s.shards[%d]", path, i)
		if first, dup := seen[id]; dup {
			v.fault(at, "shard is also in "+first, string(id), "one group for each shard")
			continue
		}
		seen[id] = path
	}
}

// declared compares the shards of the groups with the declared list, if any.
func (v *validator) declared(path string, inGroups map[model.ShardID]string) {
	list := v.root.at(path + ".shards")
	if list == nil || list.kind != '[' {
		return
	}
	known := map[model.ShardID]bool{}
	for i, e := range list.elems {
		at, id := fmt.Sprintf("%s.shards[%d]", path, i), model.ShardID(e.text())
		if known[id] {
			v.fault(at, "duplicate shard", string(id), "")
		}
		known[id] = true
		if _, ok := inGroups[id]; !ok {
			v.fault(at, "shard is in no group", string(id), "one group for each shard")
		}
	}
	for _, id := range sortedKeys(inGroups) {
		if !known[id] {
			v.fault(inGroups[id]+".shards", "shard is not declared"+suggestion(string(id), sortedKeys(known)), string(id), "the shards listed at "+path+".shards")
		}
	}
}

// replica checks one replica. A replica may be in several shard maps of its
// service, but must be the same everywhere.
func (v *validator) replica(p placed) {
	v.require(p.path, "id", "addr", "domain")
	if p.Domain != "" {
		v.domain(p.path+".domain", p.Domain)
	}
	if p.Addr != "" && !validAddress(p.Addr) {
		v.fault(p.path+".addr", "not an IP address with a port", fmt.Sprintf("%q", p.Addr), "ip:port")
	}
	if first, ok := v.replicas[p.ID]; ok && p.ID != "" {
		switch {
		case first.service != p.service:
			v.fault(p.path+".id", "duplicate replica, first at "+first.path, string(p.ID), "an id that is unique over all services")
		case first.Replica != p.Replica:
			v.fault(p.path, "differs from the same replica at "+first.path, fmt.Sprintf("%s in %s", p.Addr, p.Domain), fmt.Sprintf("%s in %s", first.Addr, first.Domain))
		}
		return
	}
	v.replicas[p.ID] = p
	v.address(p)
}

func (v *validator) address(p placed) {
	first, dup := v.addresses[p.Addr]
	if !dup || p.Addr == "" {
		v.addresses[p.Addr] = p
		return
	}
	// Two overlapping ranges are one mistake, not one for each replica.
	pair := first.mapPath + " " + p.mapPath
	if v.expanded[first.mapPath] && v.expanded[p.mapPath] {
		if v.overlaps[pair] {
			return
		}
		v.overlaps[pair] = true
	}
	v.fault(p.path+".addr", "duplicate address, first at "+first.path, p.Addr, "an address of its own")
}
