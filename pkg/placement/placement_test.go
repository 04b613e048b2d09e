package placement

import (
	"fmt"
	"testing"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"gotest.tools/v3/assert"
)

// fleet returns n VMs and r replicas spread over 8 failure domains in 3 regions.
func fleet(n, r int) (*model.Document, map[model.VMID]model.VM) {
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

// Guards against replicas that move although their owner did not change
// state: each move restarts a window at one slot.
func TestMinimalMovement(t *testing.T) {
	doc, vms := fleet(40, 800)
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

// Guards against replicas without an owner when their failure domain has no
// live VM, and against a far owner while a near one lives.
func TestDomainWithoutLiveVM(t *testing.T) {
	doc, vms := fleet(40, 800)
	kill := func(match func(model.VM) bool) {
		for id, v := range vms {
			if match(v) {
				v.State = model.Dead
				vms[id] = v
			}
		}
	}
	kill(func(v model.VM) bool { return v.Domain == "fd0" })
	for r, owner := range Owners(doc, vms) {
		if Replicas(doc)[r].Domain == "fd0" {
			assert.Equal(t, vms[owner].Region, doc.Region("fd0"))
		}
	}
	kill(func(v model.VM) bool { return v.Region == doc.Region("fd0") })
	owners := Owners(doc, vms)
	assert.Equal(t, len(owners), 800)
	for _, owner := range owners {
		assert.Assert(t, Live(vms[owner]))
	}
	kill(func(model.VM) bool { return true })
	assert.Equal(t, len(Owners(doc, vms)), 0)
}

// Guards against a skewed hash: an owner with a multiple of the mean load
// would be the slowest part of every fan-out.
func TestSpreadAndRankAgree(t *testing.T) {
	doc, vms := fleet(40, 8000)
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
			doc, vms := fleet(n, n*13/3)
			b.ReportAllocs()
			for b.Loop() {
				Owners(doc, vms)
			}
		})
	}
}

func BenchmarkRank(b *testing.B) {
	_, vms := fleet(1500, 0)
	var list []model.VM
	for _, v := range vms {
		list = append(list, v)
	}
	b.ReportAllocs()
	for b.Loop() {
		Rank("claims/12", list)
	}
}
