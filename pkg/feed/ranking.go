// Package feed distributes changes in the platform's store among VMs. A few VMs
// watch the store, and the others subscribe to them, so that the number of calls
// to the store grows more slowly than the number of VMs.
package feed

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
)

const (
	// vmsPerWatcher is the number of VMs for each VM that watches the store. The
	// updates that one watcher sends to its subscribers take a few KB/s in all.
	vmsPerWatcher = 24
	// minWatchers is the minimum number of watching VMs, so that one still
	// watches the store when another one is lost.
	minWatchers = 2
	// spareCandidates is the number of VMs that follow the watchers in the ranking
	// and are also asked for a feed, because they watch the store in place of lost
	// watchers.
	spareCandidates = 2
)

// WatcherCount returns how many of vmCount VMs watch the store.
func WatcherCount(vmCount int) int {
	return max(minWatchers, int(math.Ceil(float64(vmCount)/vmsPerWatcher)))
}

// rankHash returns the hash that determines the rank of a VM; the lowest hash has
// the first rank.
func rankHash(vm string) uint64 { return xxhash.Sum64String("feed\x00" + vm) }

// namesByRank returns the names of all VMs in the order of their rank. The first
// ones watch the store.
func namesByRank(vms map[string]discovery.VM) []string {
	names := make([]string, 0, len(vms))
	for name := range vms {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rankHash(a), rankHash(b)), cmp.Compare(a, b))
	})
	return names
}

// Rank returns the position of a VM in the ranking, -1 if it is not among the VMs. The
// first WatcherCount VMs watch the store.
func Rank(name string, vms map[string]discovery.VM) int {
	return slices.Index(namesByRank(vms), name)
}

// HigherRanked returns the VMs that are ranked before the named VM, in order of
// their rank. A task that one VM does for the whole fleet is done by the first
// VM of the ranking that can be reached.
func HigherRanked(name string, vms map[string]discovery.VM) []discovery.VM {
	var higher []discovery.VM
	for _, other := range namesByRank(vms) {
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
// subscribers spread over the watchers. All candidates are ranked before self,
// so no two VMs subscribe to each other. The result is empty for a VM that
// watches the store itself.
func SubscriptionCandidates(self discovery.VM, vms map[string]discovery.VM) []discovery.VM {
	names := namesByRank(vms)
	selfRank := slices.Index(names, self.Name)
	watchers := WatcherCount(len(names))
	if selfRank >= 0 && selfRank < watchers {
		return nil
	}
	end := min(len(names), watchers+spareCandidates)
	if selfRank >= 0 {
		end = min(end, selfRank)
	}
	var candidates []discovery.VM
	for _, name := range names[:end] {
		if vm := vms[name]; name != self.Name && vm.PeerAddr != "" {
			candidates = append(candidates, vm)
		}
	}
	domainOrder := func(vm discovery.VM) int {
		if vm.Domain == self.Domain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(candidates, func(a, b discovery.VM) int {
		return cmp.Or(cmp.Compare(domainOrder(a), domainOrder(b)),
			cmp.Compare(xxhash.Sum64String(self.Name+a.Name), xxhash.Sum64String(self.Name+b.Name)))
	})
	return candidates
}
