package placement

import (
	"fmt"
	"testing"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"gotest.tools/v3/assert"
)

// documentAndVMs returns a document with r replicas and a view of n VMs, both
// spread over 8 failure domains in 3 regions.
func documentAndVMs(n, r int) (*model.Document, map[model.VMID]model.VM) {
	doc := &model.Document{Domains: map[model.DomainID]model.Domain{}, Services: map[model.ServiceID]*model.Service{}}
	vms := map[model.VMID]model.VM{}
	domain := func(i int) model.DomainID { return model.DomainID(fmt.Sprint("fd", i%8)) }
	region := func(i int) model.RegionID { return model.RegionID(fmt.Sprint("r", i%8%3)) }
	for i := range 8 {
		doc.Domains[domain(i)] = model.Domain{Region: region(i)}
	}
	for i := range n {
		id := model.VMID(fmt.Sprint("vm-", i))
		vms[id] = model.VM{ID: id, Domain: domain(i), Region: region(i)}
	}
	g := model.Group{ID: "g"}
	for i := range r {
		g.Replicas = append(g.Replicas, model.Replica{ID: model.ReplicaID(fmt.Sprint("replica-", i)), Domain: domain(i)})
	}
	doc.Services["s"] = &model.Service{ShardMaps: []model.ShardMap{{Epoch: 1, Groups: []model.Group{g}}}}
	return doc, vms
}

// Guards against a replica that gets another owner although its owner is still
// live. Each change of owner restarts the replica's concurrency window at one
// slot.
func TestOnlyReplicasOfGoneVMMove(t *testing.T) {
	doc, vms := documentAndVMs(40, 800)
	before := Owners(doc, vms)
	assert.Equal(t, len(before), 800)
	for _, state := range []model.VMState{model.Leaving, model.Dead} {
		gone := vms["vm-3"]
		gone.State = state
		vms["vm-3"] = gone
		moved := 0
		for r, owner := range Owners(doc, vms) {
			assert.Assert(t, owner != "vm-3")
			if before[r] != "vm-3" {
				assert.Equal(t, owner, before[r])
			} else {
				moved++
			}
			assert.Equal(t, vms[owner].Domain, Replicas(doc)[r].Domain)
		}
		assert.Assert(t, moved > 0)
	}
	suspect := vms["vm-3"]
	suspect.State = model.Suspect
	vms["vm-3"] = suspect
	assert.DeepEqual(t, Owners(doc, vms), before)
}

// Guards against replicas without an owner when their failure domain or region
// has no live VM, and against an owner in another region while the replica's own
// region has a live VM.
func TestDomainWithoutLiveVM(t *testing.T) {
	doc, vms := documentAndVMs(40, 800)
	markDead := func(match func(model.VM) bool) {
		for id, v := range vms {
			if match(v) {
				v.State = model.Dead
				vms[id] = v
			}
		}
	}
	markDead(func(v model.VM) bool { return v.Domain == "fd0" })
	for r, owner := range Owners(doc, vms) {
		if Replicas(doc)[r].Domain == "fd0" {
			assert.Equal(t, vms[owner].Region, doc.Region("fd0"))
		}
	}
	markDead(func(v model.VM) bool { return v.Region == doc.Region("fd0") })
	owners := Owners(doc, vms)
	assert.Equal(t, len(owners), 800)
	for _, owner := range owners {
		assert.Assert(t, Live(vms[owner]))
	}
	markDead(func(model.VM) bool { return true })
	assert.Equal(t, len(Owners(doc, vms)), 0)
}

// Guards against a skewed hash: an owner with a multiple of the mean number of
// replicas would be the slowest part of every fan-out. Also guards against
// Owners and Rank disagreeing on the VM with the highest score.
func TestOwnersAreBalancedAndMatchRank(t *testing.T) {
	doc, vms := documentAndVMs(40, 8000)
	count := map[model.VMID]int{}
	owners := Owners(doc, vms)
	for _, owner := range owners {
		count[owner]++
	}
	for _, n := range count {
		assert.Assert(t, n > 120 && n < 290, "%d replicas, mean 200", n)
	}
	var domain []model.VM
	for _, v := range vms {
		if v.Domain == "fd1" {
			domain = append(domain, v)
		}
	}
	assert.Equal(t, Rank("replica-1", domain)[0], owners["replica-1"])
}

func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{5, 50, 500, 1500} {
		b.Run(fmt.Sprintf("vms=%d/replicas=%d", n, n*13/3), func(b *testing.B) {
			doc, vms := documentAndVMs(n, n*13/3)
			b.ReportAllocs()
			for b.Loop() {
				Owners(doc, vms)
			}
		})
	}
}

func BenchmarkRank(b *testing.B) {
	_, vms := documentAndVMs(1500, 0)
	var list []model.VM
	for _, v := range vms {
		list = append(list, v)
	}
	b.ReportAllocs()
	for b.Loop() {
		Rank("claims/12", list)
	}
}
