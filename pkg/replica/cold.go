package replica

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// coldSafety is the share of the bound that is used; the rest is room for VMs
// that have just joined and are not yet counted.
const coldSafety = 0.8

// ColdShare returns the number of requests a second that one VM may send to a
// cold replica that bears total a second from all VMs together. Where there
// are more VMs than requests, the replica is given to as many VMs as it bears
// requests, by a hash, so that all VMs agree without talking. vms holds the
// names of all VMs, self among them.
func ColdShare(total float64, replica, self string, vms []string) int {
	bearable := int(math.Floor(coldSafety * total))
	if bearable <= 0 {
		return 0
	}
	if share := bearable / max(1, len(vms)); share > 0 {
		return share
	}
	ranked := slices.Clone(vms)
	rank := func(vm string) uint64 { return xxhash.Sum64String(vm + "\x00" + replica) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	if slices.Index(ranked, self) >= 0 && slices.Index(ranked, self) < bearable {
		return 1
	}
	return 0
}
