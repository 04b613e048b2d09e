package config

import (
	"fmt"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// checkShardMap validates the groups, shards and replicas of one shard map.
func (v *validator) checkShardMap(id model.ServiceID, s *model.Service, m model.ShardMap, path string) {
	if len(m.Groups) == 0 {
		if !v.faults.hasAtOrBelow(path + ".replica_range") {
			v.fault(path+".groups", "no groups", "", "groups or replica_range")
		}
		return
	}
	groups := map[model.GroupID]int{}
	shards := map[model.ShardID]string{}
	pathByReplica := map[model.ReplicaID]string{}
	for i, g := range m.Groups {
		keyPath := fmt.Sprintf("%s.groups[%d]", path, i)
		v.require(keyPath, "id", "replicas")
		if first, dup := groups[g.ID]; dup {
			v.fault(keyPath+".id", fmt.Sprintf("duplicate of groups[%d]", first), string(g.ID), "a unique id")
		}
		groups[g.ID] = i
		v.checkShards(s, g, keyPath, shards)
		for j, r := range g.Replicas {
			p := locatedReplica{Replica: r, service: id, mapPath: path, path: fmt.Sprintf("%s.replicas[%d]", keyPath, j)}
			if first, dup := pathByReplica[r.ID]; dup {
				v.fault(p.path+".id", "duplicate replica, first at "+first, string(r.ID), "a unique id")
				continue
			}
			pathByReplica[r.ID] = p.path
			v.checkReplica(p)
		}
	}
	v.checkDeclaredShards(path, shards)
}

// checkShards checks that each shard is in one group. The rows of a shard in two
// groups would be counted and returned twice.
func (v *validator) checkShards(s *model.Service, g model.Group, path string, seen map[model.ShardID]string) {
	if s.Kind == model.Search && len(g.Shards) == 0 {
		v.fault(path+".shards", "a group of a search service needs shards", "", "at least one shard")
	}
	if s.Kind == model.Lookup && len(g.Shards) > 0 {
		v.fault(path+".shards", "a lookup service has no shards", fmt.Sprint(len(g.Shards), " shards"), "omit the key")
	}
	for i, id := range g.Shards {
		keyPath := fmt.Sprintf("%s.shards[%d]", path, i)
		if first, dup := seen[id]; dup {
			v.fault(keyPath, "shard is also in "+first, string(id), "one group for each shard")
			continue
		}
		seen[id] = path
	}
}

// checkDeclaredShards compares the shards of the groups with those in the
// shards key of the shard map, if it is set.
func (v *validator) checkDeclaredShards(path string, inGroups map[model.ShardID]string) {
	list := v.root.atPath(path + ".shards")
	if list == nil || list.kind != '[' {
		return
	}
	known := map[model.ShardID]bool{}
	for i, e := range list.elems {
		keyPath, id := fmt.Sprintf("%s.shards[%d]", path, i), model.ShardID(e.text())
		if known[id] {
			v.fault(keyPath, "duplicate shard", string(id), "")
		}
		known[id] = true
		if _, ok := inGroups[id]; !ok {
			v.fault(keyPath, "shard is in no group", string(id), "one group for each shard")
		}
	}
	for _, id := range sortedKeys(inGroups) {
		if !known[id] {
			v.fault(inGroups[id]+".shards", "shard is not declared"+suggestion(string(id), sortedKeys(known)), string(id), "the shards listed at "+path+".shards")
		}
	}
}

// checkReplica validates one replica. A replica may be in several shard maps of
// its service, but must have the same address and failure domain in each.
func (v *validator) checkReplica(p locatedReplica) {
	v.require(p.path, "id", "addr", "domain")
	if p.Domain != "" {
		v.checkDomain(p.path+".domain", p.Domain)
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
	v.checkAddress(p)
}

func (v *validator) checkAddress(p locatedReplica) {
	first, dup := v.addresses[p.Addr]
	if !dup || p.Addr == "" {
		v.addresses[p.Addr] = p
		return
	}
	// Two overlapping replica ranges are reported once, not for each replica.
	pair := first.mapPath + " " + p.mapPath
	if v.expandedMaps[first.mapPath] && v.expandedMaps[p.mapPath] {
		if v.reportedOverlaps[pair] {
			return
		}
		v.reportedOverlaps[pair] = true
	}
	v.fault(p.path+".addr", "duplicate address, first at "+first.path, p.Addr, "a unique address")
}
