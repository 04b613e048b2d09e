package capacity

import (
	"fmt"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
)

const service model.ServiceID = "search"

const (
	rowLimit  = 50
	slots     = 64
	operation = "search"
)

// pinned is the index version that all synthetic replicas hold.
var pinned = model.Snapshot{Version: 7, Epoch: 1}

func domainID(i int) model.DomainID { return model.DomainID(fmt.Sprint("fd-", i%targetDomains)) }

func regionID(i int) model.RegionID {
	return model.RegionID(fmt.Sprint("region-", i%targetDomains%targetRegions))
}

func vmID(i int) model.VMID { return model.VMID(fmt.Sprintf("entry-%04d", i)) }

func vmAt(i int) model.VM {
	return model.VM{
		ID:          vmID(i),
		Addr:        fmt.Sprintf("10.%d.%d.%d:7000", i%targetDomains, i/250, i%250+1),
		Domain:      domainID(i),
		Region:      regionID(i),
		Incarnation: uint64(time.Unix(1_796_000_000, 0).UnixNano()),
	}
}

func fleetVMs(n int) map[model.VMID]model.VM {
	vms := make(map[model.VMID]model.VM, n)
	for i := range n {
		vms[vmID(i)] = vmAt(i)
	}
	return vms
}

// document has one search service with so many groups, each with one replica
// in each failure domain.
func document(groups, perGroup int) *model.Document {
	m := model.ShardMap{Epoch: pinned.Epoch}
	for g := range groups {
		group := model.Group{ID: model.GroupID(fmt.Sprintf("group-%04d", g)), Shards: []model.ShardID{model.ShardID(fmt.Sprintf("shard-%05d", g))}}
		for r := range perGroup {
			group.Replicas = append(group.Replicas, model.Replica{
				ID:     model.ReplicaID(fmt.Sprintf("replica-%04d-%d", g, r)),
				Addr:   fmt.Sprintf("10.%d.%d.%d:8080", 100+r, g/250, g%250+1),
				Domain: domainID(r),
			})
		}
		m.Groups = append(m.Groups, group)
	}
	svc := &model.Service{
		Kind: model.Search, Operations: map[string]model.Operation{operation: {Idempotent: true}},
		Order: []model.OrderKey{{Field: "score", Desc: true}}, Limit: rowLimit, Slots: slots, Connections: 4 * slots,
		DeadlineMS: 60_000, MaxDeadlineMS: 60_000, ExtraLoad: 0.05, TargetQuantile: 0.99,
		ColdWindow: slots, QueueLimit: 4 * slots, Concurrency: 1 << 16, ShardMaps: []model.ShardMap{m},
	}
	doc := &model.Document{
		Version: 1, Site: "target", Domains: map[model.DomainID]model.Domain{},
		Services: map[model.ServiceID]*model.Service{service: svc},
		Tier: model.Tier{
			ClaimPartitions: 64, ClaimRetentionMS: 86_400_000, PoisonLimit: 2, PoisonBlockMS: 600_000,
			SameDomainUS: 250, SameRegionUS: 500, OtherRegionUS: 20_000,
		},
	}
	for d := range targetDomains {
		doc.Domains[domainID(d)] = model.Domain{Region: regionID(d)}
	}
	return doc
}

// viewOf is the view of a running tier in which each replica holds the pinned
// index version.
func viewOf(doc *model.Document, vms map[model.VMID]model.VM) *model.View {
	v := &model.View{
		PublishedAt: time.Now(), Seq: 1, Self: vmAt(0), Config: doc, VMs: vms, Owners: placement.Owners(doc, vms),
		Takeovers: map[model.ReplicaID]model.Takeover{}, Replicas: map[model.ReplicaID]model.ReplicaStatus{},
		Excluded: map[model.ReplicaID]string{}, Poison: map[uint64]model.PoisonEntry{},
	}
	for id := range placement.Replicas(doc) {
		v.Replicas[id] = statusOf(id, pinned.Version)
		v.Takeovers[id] = model.Takeover{Released: true}
	}
	return v
}

func statusOf(id model.ReplicaID, version uint64) model.ReplicaStatus {
	return model.ReplicaStatus{
		Replica: id, Instance: "0f8fad5b-d9cb-469f-a165-70867728950e",
		Snapshots: []model.Snapshot{{Version: version, Epoch: pinned.Epoch}},
	}
}

// fixedView always returns the same view, with the present as its time.
type fixedView struct{ view *model.View }

func (f fixedView) Current() *model.View { return f.view }

// refreshed returns a view source whose age never matters.
func refreshed(v *model.View) fixedView {
	v.PublishedAt = time.Now().Add(time.Hour)
	return fixedView{v}
}

// vmsFor keeps the target's ratio of VMs to groups.
func vmsFor(groups int) int { return max(targetDomains, groups*targetVMs/targetGroups) }
