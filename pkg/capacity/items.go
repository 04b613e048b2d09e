package capacity

// Items returns all measurements, those of traffic first.
func Items() []Item {
	var out []Item
	for _, list := range [][]Item{planItems(), wireItems(), queryItems(), ownerItems(), fleetItems(), configItems(), viewItems(), sharedItems()} {
		out = append(out, list...)
	}
	return out
}

// Sizes that several items share.
var (
	groupSizes   = []int{15, 100, 300, 770}
	quickGroups  = []int{8, 16, 24, 32}
	itemSizes    = []int{1, 4, 16, 64}
	replicaSizes = []int{400, 1600, 3200, 6160}
	quickSizes   = []int{16, 32, 48, 64}
)
