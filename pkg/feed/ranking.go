// Package feed spreads what a few VMs learn from the platform's store to the
// others, so that the calls to the store grow more slowly than the fleet.
package feed

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
)

const (
	// vmsPerFollower is the number of VMs that one VM that follows the store
	// feeds. Its updates take a few KB/s in all.
	vmsPerFollower = 24
	// minFollowers keep following when one of them is lost.
	minFollowers = 2
	// spareCandidates are the VMs beyond the followers that are asked as well:
	// when followers are lost, the next in the ranking follow in their place.
	spareCandidates = 2
)

// Followers returns the number of VMs that follow the store, of all VMs.
func Followers(vms int) int {
	return max(minFollowers, int(math.Ceil(float64(vms)/vmsPerFollower)))
}

func rank(vm string) uint64 { return xxhash.Sum64String("feed\x00" + vm) }

// ranked returns the names of all VMs in the order in which they follow.
func ranked(vms map[string]discovery.VM) []string {
	names := make([]string, 0, len(vms))
	for name := range vms {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return names
}

// HigherRanked returns the VMs that are ranked before the named VM, in order of
// their rank. A task that one VM does for the whole fleet falls to the
// reachable VM of the highest rank.
func HigherRanked(name string, vms map[string]discovery.VM) []discovery.VM {
	var higher []discovery.VM
	for _, other := range ranked(vms) {
		if other == name {
			break
		}
		higher = append(higher, vms[other])
	}
	return higher
}

// SubscriptionCandidates returns the VMs that self may subscribe to, in the
// order in which it should try them: VMs of its own failure domain first, and
// within these two parts an order that depends on self's name, so that
// subscribers spread over the publishers. All candidates are ranked before self,
// so no two VMs subscribe to each other. The result is empty for a VM that
// watches the store itself.
func SubscriptionCandidates(self discovery.VM, vms map[string]discovery.VM) []discovery.VM {
	order := ranked(vms)
	place := slices.Index(order, self.Name)
	followers := Followers(len(order))
	if place >= 0 && place < followers {
		return nil
	}
	end := min(len(order), followers+spareCandidates)
	if place >= 0 {
		end = min(end, place)
	}
	var out []discovery.VM
	for _, name := range order[:end] {
		if vm := vms[name]; name != self.Name && vm.PeerAddr != "" {
			out = append(out, vm)
		}
	}
	near := func(vm discovery.VM) int {
		if vm.Domain == self.Domain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b discovery.VM) int {
		return cmp.Or(cmp.Compare(near(a), near(b)),
			cmp.Compare(xxhash.Sum64String(self.Name+a.Name), xxhash.Sum64String(self.Name+b.Name)))
	})
	return out
}
