package replica

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// coldRateUtilization is the fraction of a cold replica's total rate that is given
// out to the VMs. The rest is a reserve for VMs that have just joined and are not
// counted yet.
const coldRateUtilization = 0.8

// ColdRequestsPerSecond returns the rate at which the VM self may send requests to a
// cold replica that accepts totalPerSecond from all VMs together. If there are more
// VMs than requests a second, only some VMs get one request a second each. They are
// chosen by a hash of VM and replica, so that all VMs agree without communication.
// vms holds the names of all VMs, including self.
func ColdRequestsPerSecond(totalPerSecond float64, replica, self string, vms []string) int {
	usablePerSecond := int(math.Floor(coldRateUtilization * totalPerSecond))
	if usablePerSecond <= 0 {
		return 0
	}
	if share := usablePerSecond / max(1, len(vms)); share > 0 {
		return share
	}
	ranked := slices.Clone(vms)
	rank := func(vm string) uint64 { return xxhash.Sum64String(vm + "\x00" + replica) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	if slices.Index(ranked, self) >= 0 && slices.Index(ranked, self) < usablePerSecond {
		return 1
	}
	return 0
}
