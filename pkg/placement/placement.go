// Package placement assigns each replica to its owning VM by rendezvous
// hashing. All functions are pure, so VMs with the same view agree.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Live reports whether a VM can own replicas. A suspect VM keeps its replicas
// until it is declared dead, so a refuted suspicion moves nothing.
func Live(v model.VM) bool { return v.State == model.Alive || v.State == model.Suspect }

// Rank returns the VMs by descending score for the key. Ties are broken by id.
func Rank(key string, vms []model.VM) []model.VMID {
	type scored struct {
		id    model.VMID
		score uint64
	}
	h := xxhash.Sum64String(key)
	list := make([]scored, len(vms))
	for i, v := range vms {
		list[i] = scored{v.ID, score(h, hashVM(v.ID))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]model.VMID, len(list))
	for i, s := range list {
		ids[i] = s.id
	}
	return ids
}

func hashVM(id model.VMID) uint64 { return xxhash.Sum64String(string(id)) }

// score mixes two hashes. The finalizer of splitmix64 costs about 1 ns, where
// hashing the concatenated names costs about 10 ns for each pair.
func score(key, vm uint64) uint64 {
	x := key ^ (vm * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// candidate is a live VM with its hash.
type candidate struct {
	id   model.VMID
	hash uint64
}

// pools holds the live VMs by failure domain, by region and altogether.
type pools struct {
	domains map[model.DomainID][]candidate
	regions map[model.RegionID][]candidate
	all     []candidate
}

func newPools(vms map[model.VMID]model.VM) pools {
	p := pools{domains: map[model.DomainID][]candidate{}, regions: map[model.RegionID][]candidate{}}
	for _, v := range vms {
		if !Live(v) {
			continue
		}
		c := candidate{v.ID, hashVM(v.ID)}
		p.domains[v.Domain] = append(p.domains[v.Domain], c)
		p.regions[v.Region] = append(p.regions[v.Region], c)
		p.all = append(p.all, c)
	}
	return p
}

// choose returns the candidates of the nearest pool that is not empty.
func (p pools) choose(doc *model.Document, d model.DomainID) []candidate {
	if c := p.domains[d]; len(c) > 0 {
		return c
	}
	if c := p.regions[doc.Region(d)]; len(c) > 0 {
		return c
	}
	return p.all
}

// Owners returns the owner of each replica of the document: the live VM with
// the highest score in the replica's failure domain, else in its region, else
// anywhere. Without a live VM the result is empty.
func Owners(doc *model.Document, vms map[model.VMID]model.VM) map[model.ReplicaID]model.VMID {
	owners := map[model.ReplicaID]model.VMID{}
	if doc == nil {
		return owners
	}
	p := newPools(vms)
	if len(p.all) == 0 {
		return owners
	}
	for _, r := range Replicas(doc) {
		owners[r.ID] = highest(xxhash.Sum64String(string(r.ID)), p.choose(doc, r.Domain))
	}
	return owners
}

func highest(key uint64, list []candidate) model.VMID {
	best := list[0]
	top := score(key, best.hash)
	for _, c := range list[1:] {
		s := score(key, c.hash)
		if s > top || (s == top && c.id < best.id) {
			best, top = c, s
		}
	}
	return best.id
}

// Replicas returns the replicas of all shard maps, each once. A replica that
// several epochs list is taken from the newest.
func Replicas(doc *model.Document) map[model.ReplicaID]model.Replica {
	replicas := map[model.ReplicaID]model.Replica{}
	epochs := map[model.ReplicaID]uint64{}
	for _, svc := range doc.Services {
		for _, m := range svc.ShardMaps {
			for _, g := range m.Groups {
				for _, r := range g.Replicas {
					if e, ok := epochs[r.ID]; ok && e >= m.Epoch {
						continue
					}
					epochs[r.ID] = m.Epoch
					replicas[r.ID] = r
				}
			}
		}
	}
	return replicas
}
