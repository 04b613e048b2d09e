package model

// Policy switches single decisions of the tier off, so that measurements can
// compare them with a baseline under the same load. The zero value is the
// policy in production.
type Policy struct {
	// NoHedges sends no second attempt to a slow group or server.
	NoHedges bool
	// RandomReplica ignores load and latency when it picks a replica.
	RandomReplica bool
	// NoColdWindow starts every replica at its full number of slots.
	NoColdWindow bool
	// NoAdmission lets every request in at once, whatever is in flight.
	NoAdmission bool
}
