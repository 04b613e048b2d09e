package wire

import "time"

// ClaimStep is what a ClaimRequest asks for.
type ClaimStep uint8

// Steps of a claim.
const (
	ClaimTake ClaimStep = iota + 1
	ClaimRecord
	ClaimRelease
)

// String returns the lower-case name of the step.
func (s ClaimStep) String() string {
	switch s {
	case ClaimTake:
		return "take"
	case ClaimRecord:
		return "record"
	case ClaimRelease:
		return "release"
	default:
		return "unknown"
	}
}

// ClaimVerdict is the outcome of a step.
type ClaimVerdict uint8

// Verdicts. Another reply follows ClaimAccepted and ClaimWaiting only.
const (
	// ClaimGranted: the token is stored as the holder of the key.
	ClaimGranted ClaimVerdict = iota + 1
	// ClaimDone: the key has a recorded answer.
	ClaimDone
	// ClaimWaiting: another token holds the key; the outcome is awaited.
	ClaimWaiting
	// ClaimUnknown: another token holds the key and no outcome came in time.
	ClaimUnknown
	// ClaimReused: the key was used with another body.
	ClaimReused
	// ClaimFull: the partition has no room.
	ClaimFull
	// ClaimWithdrawn: the token was released before.
	ClaimWithdrawn
	// ClaimRecorded: the answer is stored.
	ClaimRecorded
	// ClaimReleased: the token does not hold the key and never will.
	ClaimReleased
	// ClaimLost: the token does not hold the key, so its answer cannot be stored.
	ClaimLost
	// ClaimUnavailable: nothing could be stored in time.
	ClaimUnavailable
	// ClaimAccepted: the owner has the request and works on it.
	ClaimAccepted
)

// String returns the lower-case name of the verdict.
func (v ClaimVerdict) String() string {
	names := [...]string{"none", "granted", "done", "waiting", "unknown", "reused", "full", "withdrawn",
		"recorded", "released", "lost", "unavailable", "accepted"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Final reports whether no other reply follows.
func (v ClaimVerdict) Final() bool { return v != ClaimAccepted && v != ClaimWaiting }

// ClaimRequest asks the claim owner of a partition for one step of a claim.
type ClaimRequest struct {
	Partition   int           `msgpack:"p"`
	Step        ClaimStep     `msgpack:"s"`
	KeyHash     string        `msgpack:"k"`
	Token       string        `msgpack:"t"`
	Fingerprint uint64        `msgpack:"fp"`
	Status      int           `msgpack:"status"`
	Answer      []byte        `msgpack:"answer"`
	Remaining   time.Duration `msgpack:"remaining"`
}

// ClaimReply is the outcome of a ClaimRequest.
type ClaimReply struct {
	KeyHash string       `msgpack:"k"`
	Token   string       `msgpack:"t"`
	Verdict ClaimVerdict `msgpack:"v"`
	Status  int          `msgpack:"status"`
	Answer  []byte       `msgpack:"answer"`
	// MayBeStored is set when the token may be stored in spite of the verdict.
	MayBeStored bool `msgpack:"x"`
}

// Kind implements Message.
func (*ClaimRequest) Kind() Kind { return KindClaimRequest }

// Kind implements Message.
func (*ClaimReply) Kind() Kind { return KindClaimReply }
