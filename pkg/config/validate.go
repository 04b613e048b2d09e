package config

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// maxOwnersOfReplica is the number of VMs that can own a replica at the same
// time: two, while its ownership moves. Each may use half of the connections.
const maxOwnersOfReplica = 2

// validator reports faults that the schemaChecker cannot find, because they
// concern more than one value.
type validator struct {
	doc          *model.Document
	root         *node
	origins      map[string]Origin
	faults       *Faults
	expandedMaps map[string]bool

	replicas  map[model.ReplicaID]locatedReplica
	addresses map[string]locatedReplica
	// reportedOverlaps holds the pairs of shard maps whose replica ranges were
	// reported to overlap.
	reportedOverlaps map[string]bool
}

// locatedReplica is a replica with the service and the key paths of the shard
// map and the replica.
type locatedReplica struct {
	model.Replica
	service model.ServiceID
	mapPath string
	path    string
}

func (v *validator) validate() {
	v.replicas = map[model.ReplicaID]locatedReplica{}
	v.addresses = map[string]locatedReplica{}
	v.reportedOverlaps = map[string]bool{}
	v.require("", "site", "domains", "services")
	if v.doc.Site == "" && v.origins["site"].File != "" {
		v.fault("site", "must not be empty", "", "the name of the site")
	}
	for id := range v.doc.Domains {
		v.require("domains."+string(id), "region")
	}
	for _, id := range sortedKeys(v.doc.Services) {
		v.checkService(id, v.doc.Services[id])
	}
	v.checkTier()
	v.checkOverrides()
}

// fault adds a fault, unless there already is one at path.
func (v *validator) fault(path, problem, value, allowed string) {
	if v.faults.hasAt(path) {
		return
	}
	v.faults.add(Fault{Origin: nearestOrigin(v.origins, path), Path: path, Problem: problem, Value: value, Allowed: allowed})
}

// require reports keys that neither the files nor the defaults set, and keys
// whose value is an empty object or array.
func (v *validator) require(path string, keys ...string) {
	for _, key := range keys {
		keyPath := joinPath(path, key)
		n := v.root.atPath(keyPath)
		switch {
		case n == nil:
			v.fault(keyPath, "missing key", "", "")
		case (n.kind == '{' || n.kind == '[') && len(n.keys)+len(n.elems) == 0:
			v.fault(keyPath, "must not be empty", n.excerpt(), "at least one entry")
		}
	}
}

func (v *validator) checkService(id model.ServiceID, s *model.Service) {
	path := "services." + string(id)
	if s == nil {
		return
	}
	v.require(path, "kind", "slots", "connections", "operations", "shard_maps")
	if s.ColdWindow > float64(s.Slots) && s.Slots > 0 {
		v.fault(path+".cold_window", "inconsistent with slots", fmt.Sprint(s.ColdWindow), fmt.Sprintf("at most slots = %d", s.Slots))
	}
	if s.DeadlineMS > s.MaxDeadlineMS {
		v.fault(path+".deadline_ms", "inconsistent with max_deadline_ms", fmt.Sprint(s.DeadlineMS), fmt.Sprintf("at most max_deadline_ms = %d", s.MaxDeadlineMS))
	}
	if need := maxOwnersOfReplica * (s.Slots + 1); s.Connections > 0 && s.Connections < need {
		v.fault(path+".connections", "inconsistent with slots: two owners each need one connection for each slot and one for control",
			fmt.Sprint(s.Connections), fmt.Sprintf("at least %d", need))
	}
	switch s.Kind {
	case model.Search:
		v.checkSearch(path, s)
	case model.Lookup:
		v.checkLookup(path, s)
	}
	seen := map[uint64]int{}
	for i, m := range s.ShardMaps {
		keyPath := fmt.Sprintf("%s.shard_maps[%d]", path, i)
		v.require(keyPath, "epoch")
		if first, dup := seen[m.Epoch]; dup {
			v.fault(keyPath+".epoch", fmt.Sprintf("duplicate of shard_maps[%d]", first), fmt.Sprint(m.Epoch), "a unique epoch")
		}
		seen[m.Epoch] = i
		v.checkShardMap(id, s, m, keyPath)
	}
}

func (v *validator) checkSearch(path string, s *model.Service) {
	v.require(path, "order")
	for name, op := range s.Operations {
		if !op.Idempotent {
			v.fault(joinPath(path+".operations", name), "a search operation is sent to several replicas, so it must be idempotent", "idempotent false", "idempotent true")
		}
	}
	seen := map[string]bool{}
	for i, k := range s.Order {
		keyPath := fmt.Sprintf("%s.order[%d].field", path, i)
		if k.Field == "" || seen[k.Field] {
			v.fault(keyPath, "empty or duplicate field", fmt.Sprintf("%q", k.Field), "a unique field")
		}
		seen[k.Field] = true
	}
	for i, m := range s.ShardMaps {
		if len(m.Groups) > 0 && s.CanaryGroups > len(m.Groups) {
			v.fault(path+".canary_groups", fmt.Sprintf("inconsistent with shard_maps[%d]", i), fmt.Sprint(s.CanaryGroups), fmt.Sprintf("at most %d groups", len(m.Groups)))
		}
	}
}

func (v *validator) checkLookup(path string, s *model.Service) {
	for _, key := range []string{"order", "limit", "canary_groups"} {
		if n := v.root.atPath(joinPath(path, key)); n != nil {
			v.fault(joinPath(path, key), "not used by a lookup service, which merges no results", n.excerpt(), "omit the key")
		}
	}
	if len(s.ShardMaps) > 1 {
		v.fault(path+".shard_maps", "a lookup service has one shard map", fmt.Sprint(len(s.ShardMaps), " entries"), "one entry")
	}
	for i, m := range s.ShardMaps {
		if len(m.Groups) > 1 {
			v.fault(fmt.Sprintf("%s.shard_maps[%d].groups", path, i), "a lookup service has one group", fmt.Sprint(len(m.Groups), " groups"), "one group")
		}
	}
}

func (v *validator) checkTier() {
	t := v.doc.Tier
	if t.SameDomainUS > t.SameRegionUS {
		v.fault("tier.same_domain_us", "inconsistent with same_region_us", fmt.Sprint(t.SameDomainUS), fmt.Sprintf("at most same_region_us = %d", t.SameRegionUS))
	}
	if t.SameRegionUS > t.OtherRegionUS {
		v.fault("tier.same_region_us", "inconsistent with other_region_us", fmt.Sprint(t.SameRegionUS), fmt.Sprintf("at most other_region_us = %d", t.OtherRegionUS))
	}
}

func (v *validator) checkOverrides() {
	for i, id := range v.doc.Overrides.DomainsOut {
		v.checkDomain(fmt.Sprintf("overrides.domains_out[%d]", i), id)
		if slices.Index(v.doc.Overrides.DomainsOut, id) < i {
			v.fault(fmt.Sprintf("overrides.domains_out[%d]", i), "duplicate", string(id), "")
		}
	}
	for i, id := range v.doc.Overrides.Drained {
		keyPath := fmt.Sprintf("overrides.drained[%d]", i)
		if _, ok := v.replicas[id]; !ok {
			v.fault(keyPath, "unknown replica"+suggestion(string(id), sortedKeys(v.replicas)), string(id), "")
		}
		if slices.Index(v.doc.Overrides.Drained, id) < i {
			v.fault(keyPath, "duplicate", string(id), "")
		}
	}
}

func (v *validator) checkDomain(path string, id model.DomainID) {
	if _, ok := v.doc.Domains[id]; !ok {
		v.fault(path, "unknown failure domain"+suggestion(string(id), sortedKeys(v.doc.Domains)), string(id), "a key of domains")
	}
}

// suggestion returns the end of a fault that names the known word closest to
// word, or "" when none is close.
func suggestion[T ~string](word string, known []T) string {
	candidates := make([]string, len(known))
	for i, k := range known {
		candidates[i] = string(k)
	}
	if s := Suggest(word, candidates); s != "" {
		return fmt.Sprintf(", did you mean %q?", s)
	}
	return ""
}

func validAddress(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return err == nil && a.Port() > 0
}
