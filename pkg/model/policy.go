package model

// Policy turns single mechanisms of the tier off, so that measurements can
// compare the tier with and without them under the same load. Production uses
// the zero value, which leaves every mechanism on.
type Policy struct {
	// NoHedges turns off the second attempt that is sent when a replica is slow.
	NoHedges bool
	// RandomReplica picks replicas at random instead of by load and latency.
	RandomReplica bool
	// NoColdWindow allows every replica its full number of slots right after its
	// start.
	NoColdWindow bool
	// NoAdmission admits every request at once, however many are in flight.
	NoAdmission bool
}
