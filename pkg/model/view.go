package model

import "time"

// VMState is the membership state of a VM.
type VMState uint8

// Membership states. Their order is their precedence within one incarnation.
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

// VM is what is known of one entry VM.
type VM struct {
	ID          VMID     `msgpack:"id" json:"id"`
	Addr        string   `msgpack:"addr" json:"addr"`
	Domain      DomainID `msgpack:"domain" json:"domain"`
	Region      RegionID `msgpack:"region" json:"region"`
	State       VMState  `msgpack:"state" json:"state"`
	Incarnation uint64   `msgpack:"inc" json:"incarnation"`
}

// Snapshot is an index version together with the shard-map epoch it was built for.
type Snapshot struct {
	Version uint64 `msgpack:"version" json:"version"`
	Epoch   uint64 `msgpack:"epoch" json:"epoch"`
}

// ReplicaStatus is what the owner of a replica observed.
type ReplicaStatus struct {
	Replica   ReplicaID  `msgpack:"replica"`
	Instance  string     `msgpack:"instance"`
	Draining  bool       `msgpack:"draining"`
	Down      bool       `msgpack:"down"`
	Snapshots []Snapshot `msgpack:"snapshots"`
}

// View is the immutable control state that traffic reads. The control
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
	// Excluded holds replicas that get no new work: domain out, drained by
	// operators, or draining by their own word.
	Excluded map[ReplicaID]string
	// Poison holds fingerprints that are suspect or blocked in the tier.
	Poison map[uint64]PoisonEntry
}

// Takeover tells since when this VM owns a replica and whether the previous
// owner has confirmed its release.
type Takeover struct {
	Since    time.Time
	Released bool
}

// MaxPoisonInstances is the number of lost upstream instances that a PoisonEntry can name.
const MaxPoisonInstances = 8

// PoisonEntry is the tier-wide verdict on one request fingerprint. Entries of
// one fingerprint merge by union of Instances and of the cleared ones, so their
// order does not matter and an older entry cannot undo a lift or a clearing.
type PoisonEntry struct {
	Fingerprint uint64 `msgpack:"fp"`
	// Losses is the number of Instances that are not cleared.
	Losses  int  `msgpack:"losses"`
	Blocked bool `msgpack:"blocked"`
	// Lifted is set if all Instances are cleared.
	Lifted bool `msgpack:"lifted"`
	// TTL is how long the verdict still holds.
	TTL time.Duration `msgpack:"ttl"`
	// Instances holds hashes of the upstream instances that were lost with the
	// request in flight, in ascending order; 0 is an unused place.
	Instances [MaxPoisonInstances]uint64 `msgpack:"instances"`
	// Cleared has bit i set if Instances[i] was cleared by a success or a lift.
	Cleared uint8 `msgpack:"cleared"`
}

// ViewMaxAge is the age after which a VM dispatches nothing new on a View.
const ViewMaxAge = time.Second

// ViewRefreshInterval is the longest time between two published Views.
const ViewRefreshInterval = 200 * time.Millisecond

// ViewSource returns the current View; it never blocks and never returns nil.
type ViewSource interface {
	Current() *View
}
