package model

import "time"

// VMState is the membership state of a VM.
type VMState uint8

// Membership states. Of two states of the same incarnation the later one in this
// list takes precedence.
const (
	Alive VMState = iota
	Suspect
	Leaving
	Dead
)

// String returns the lower-case name of the state.
func (s VMState) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// VM is the membership entry of an entry VM.
type VM struct {
	ID          VMID     `msgpack:"id" json:"id"`
	Addr        string   `msgpack:"addr" json:"addr"`
	Domain      DomainID `msgpack:"domain" json:"domain"`
	Region      RegionID `msgpack:"region" json:"region"`
	State       VMState  `msgpack:"state" json:"state"`
	Incarnation uint64   `msgpack:"inc" json:"incarnation"`
}

// Snapshot identifies a version of a replica's index and the epoch of the shard
// map that it was built for.
type Snapshot struct {
	Version uint64 `msgpack:"version" json:"version"`
	Epoch   uint64 `msgpack:"epoch" json:"epoch"`
}

// ReplicaStatus is the state of a replica as its owner last observed it.
type ReplicaStatus struct {
	Replica ReplicaID `msgpack:"replica"`
	// Instance identifies the process that runs the replica.
	Instance  string     `msgpack:"instance"`
	Draining  bool       `msgpack:"draining"`
	Down      bool       `msgpack:"down"`
	Snapshots []Snapshot `msgpack:"snapshots"`
}

// View is the immutable control state that requests are routed by. The control
// goroutine publishes a new View for every change and at least every
// ViewRefreshInterval, so that a VM that was paused can tell that its View is
// old.
type View struct {
	// PublishedAt is the monotonic time of publication on this VM.
	PublishedAt time.Time
	// Seq increases with every published View.
	Seq  uint64
	Self VM
	// Config is nil until the VM has learned a configuration.
	Config *Document
	// VMs holds every known VM, Self included.
	VMs map[VMID]VM
	// Owners holds the owning VM of each replica.
	Owners map[ReplicaID]VMID
	// Takeovers holds the takeover state of each replica that this VM owns.
	Takeovers map[ReplicaID]Takeover
	// Replicas holds the observed state of each replica.
	Replicas map[ReplicaID]ReplicaStatus
	// Excluded holds the replicas that get no new work, with the reason: their
	// failure domain is out of service, operators drained them, or they reported
	// that they are draining.
	Excluded map[ReplicaID]string
	// Poison holds fingerprints that are suspect or blocked in the tier.
	Poison map[uint64]PoisonEntry
}

// Takeover describes how this VM became the owner of a replica.
type Takeover struct {
	// Since is when this VM became the owner.
	Since time.Time
	// Released is set once the previous owner has confirmed that its last attempt
	// at the replica has ended.
	Released bool
}

// MaxPoisonInstances is the number of lost upstream instances that a PoisonEntry
// can hold.
const MaxPoisonInstances = 8

// PoisonEntry records which upstream instances were lost while they ran requests
// with one fingerprint, and whether such requests are blocked in the whole tier.
// Entries of one fingerprint merge by the union of Instances and the union of the
// cleared instances, so the order of arrival does not matter and an older entry
// cannot set a cleared instance or a lifted block again.
type PoisonEntry struct {
	Fingerprint uint64 `msgpack:"fp"`
	// Losses is the number of Instances that are not cleared.
	Losses  int  `msgpack:"losses"`
	Blocked bool `msgpack:"blocked"`
	// Lifted is set if all Instances are cleared, so that nothing is blocked.
	Lifted bool `msgpack:"lifted"`
	// TTL is the time until the entry expires.
	TTL time.Duration `msgpack:"ttl"`
	// Instances holds hashes of the upstream instances that were lost with the
	// request in flight, in ascending order; 0 marks an unused element.
	Instances [MaxPoisonInstances]uint64 `msgpack:"instances"`
	// Cleared has bit i set if Instances[i] no longer counts, because a request
	// with the fingerprint succeeded or an operator lifted the block.
	Cleared uint8 `msgpack:"cleared"`
}

// ViewMaxAge is the age of a View after which a VM sends no new work on it.
const ViewMaxAge = time.Second

// ViewRefreshInterval is the longest time between two published Views.
const ViewRefreshInterval = 200 * time.Millisecond

// ViewSource gives access to the current View.
type ViewSource interface {
	// Current never blocks and never returns nil.
	Current() *View
}
