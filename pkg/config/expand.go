package config

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const maxPort = 65_535

// expander replaces each replica_range by the groups that it describes.
type expander struct {
	root   *node
	faults *Faults
	// expandedMaps holds the paths of the shard maps whose replica_range was replaced.
	expandedMaps map[string]bool
}

func (e *expander) run() {
	services := e.root.get("services")
	if services == nil || services.kind != '{' {
		return
	}
	for _, id := range services.keys {
		svc := services.members[id]
		maps := svc.get("shard_maps")
		if maps == nil {
			continue
		}
		for i, m := range maps.elems {
			if r := m.get("replica_range"); r != nil {
				path := fmt.Sprintf("services.%s.shard_maps[%d]", id, i)
				e.expand(id, serviceKind(svc), m, r, path)
			}
		}
	}
}

// expand adds the groups to the shard map. Group g has the replicas
// <service>-g<g>-r1.. and the next shards_per_group shards; replica r of group
// g is in domain number g+r, so that the replicas of a group are in different
// domains, and the first replicas of the groups too.
func (e *expander) expand(service, kind string, m, r *node, path string) {
	keyPath := path + ".replica_range"
	if e.faults.hasAtOrBelow(keyPath) {
		return
	}
	var rng replicaRange
	if err := json.Unmarshal([]byte(r.standardJSON()), &rng); err != nil {
		e.fault(r, keyPath, err.Error(), "", "")
		return
	}
	if !e.validate(kind, m, r, rng, keyPath) {
		return
	}
	groups, err := json.Marshal(rng.generate(service))
	if err != nil {
		panic(fmt.Sprintf("config: encode groups: %v", err))
	}
	p := parser{name: r.origin.File, data: groups, faults: e.faults}
	n := p.parseGenerated()
	n.setOrigin(r.origin)
	m.set("groups", n)
	m.remove("replica_range")
	e.expandedMaps[path] = true
}

func (r replicaRange) generate(service string) []model.Group {
	var groups []model.Group
	port, shard := r.FirstPort, 1
	for g := 1; g <= r.Groups; g++ {
		group := model.Group{ID: model.GroupID(fmt.Sprintf("%s-g%02d", service, g))}
		for range r.ShardsPerGroup {
			group.Shards = append(group.Shards, model.ShardID(fmt.Sprintf("s%03d", shard)))
			shard++
		}
		for i := range r.Replicas {
			group.Replicas = append(group.Replicas, model.Replica{
				ID:     model.ReplicaID(fmt.Sprintf("%s-r%d", group.ID, i+1)),
				Addr:   netip.AddrPortFrom(netip.MustParseAddr(r.Host), uint16(port)).String(),
				Domain: r.Domains[(g-1+i)%len(r.Domains)],
			})
			port++
		}
		groups = append(groups, group)
	}
	return groups
}

func (e *expander) validate(kind string, m, r *node, rng replicaRange, keyPath string) bool {
	before := len(e.faults.List)
	if g := m.get("groups"); g != nil {
		e.fault(r, keyPath, fmt.Sprintf("groups are also listed at %s", g.origin), "", "either groups or replica_range")
	}
	for _, key := range []string{"groups", "replicas", "host", "first_port", "domains"} {
		if r.get(key) == nil {
			e.fault(r, keyPath, "missing key "+key, "", "")
		}
	}
	if h := r.get("host"); h != nil {
		if _, err := netip.ParseAddr(rng.Host); err != nil {
			e.fault(h, keyPath+".host", "not an IP address", h.excerpt(), "an IP address")
		}
	}
	if d := r.get("domains"); d != nil && len(d.elems) == 0 {
		e.fault(d, keyPath+".domains", "must not be empty", d.excerpt(), "at least one failure domain")
	}
	for i, id := range rng.Domains {
		if e.root.get("domains", string(id)) == nil {
			e.fault(r.get("domains").elems[i], fmt.Sprintf("%s.domains[%d]", keyPath, i), "unknown failure domain"+suggestion(string(id), sortedKeys(e.root.get("domains").membersOrNil())), string(id), "")
		}
	}
	if kind == string(model.Search) && rng.ShardsPerGroup == 0 {
		e.fault(r, keyPath, "a search service needs shards", "shards_per_group 0", "1 to 1000")
	}
	if kind == string(model.Lookup) && rng.ShardsPerGroup > 0 {
		e.fault(r, keyPath, "a lookup service has no shards", fmt.Sprint("shards_per_group ", rng.ShardsPerGroup), "0")
	}
	if last := rng.FirstPort + rng.Groups*rng.Replicas - 1; last > maxPort {
		e.fault(r, keyPath, "last port out of range", fmt.Sprint(last), fmt.Sprintf("at most %d", maxPort))
	}
	return len(e.faults.List) == before
}

func (e *expander) fault(n *node, path, problem, value, allowed string) {
	e.faults.add(Fault{Origin: n.origin, Path: path, Problem: problem, Value: value, Allowed: allowed})
}
