package wire

import "time"

// ClaimStep is the operation on a claim that a ClaimRequest asks for.
type ClaimStep uint8

// Steps of a claim. Values are part of the protocol.
const (
	// ClaimTake stores the token of the request as the holder of the key.
	ClaimTake ClaimStep = iota + 1
	// ClaimRecord stores the answer to the request of the holder.
	ClaimRecord
	// ClaimRelease gives the key up, so that a repeat of the request can take it.
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

// ClaimVerdict is the outcome of a ClaimStep.
type ClaimVerdict uint8

// Verdicts. Values are part of the protocol. Another reply follows only
// ClaimAccepted and ClaimWaiting.
const (
	// ClaimGranted: the token is stored as the holder of the key.
	ClaimGranted ClaimVerdict = iota + 1
	// ClaimDone: the key has a recorded answer.
	ClaimDone
	// ClaimWaiting: another token holds the key; the owner waits for its outcome.
	ClaimWaiting
	// ClaimUnknown: another token holds the key and no outcome was recorded in
	// time.
	ClaimUnknown
	// ClaimReused: the key was used before with a different request.
	ClaimReused
	// ClaimFull: the partition has no room for the claim or its answer.
	ClaimFull
	// ClaimWithdrawn: the token was released earlier, so it cannot take the key.
	ClaimWithdrawn
	// ClaimRecorded: the answer is stored.
	ClaimRecorded
	// ClaimReleased: the token does not hold the key and can no longer take it.
	ClaimReleased
	// ClaimLost: the token does not hold the key, so its answer is not stored.
	ClaimLost
	// ClaimUnavailable: the step could not be stored in time.
	ClaimUnavailable
	// ClaimAccepted: the owner has received the request and is processing it.
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

// Final reports whether the verdict is the last one for its request.
func (v ClaimVerdict) Final() bool { return v != ClaimAccepted && v != ClaimWaiting }

// ClaimRequest asks the owner of a claim partition for one step of a claim.
type ClaimRequest struct {
	Partition   int       `msgpack:"p"`
	Step        ClaimStep `msgpack:"s"`
	KeyHash     string    `msgpack:"k"`
	Token       string    `msgpack:"t"`
	Fingerprint uint64    `msgpack:"fp"`
	Status      int       `msgpack:"status"`
	Answer      []byte    `msgpack:"answer"`
	// Remaining is the time after which the owner gives the step up.
	Remaining time.Duration `msgpack:"remaining"`
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	KeyHash string       `msgpack:"k"`
	Token   string       `msgpack:"t"`
	Verdict ClaimVerdict `msgpack:"v"`
	Status  int          `msgpack:"status"`
	Answer  []byte       `msgpack:"answer"`
	// MayBeStored is set if the token may be stored in spite of the verdict.
	MayBeStored bool `msgpack:"x"`
}

// Kind implements Message.
func (*ClaimRequest) Kind() Kind { return KindClaimRequest }

// Kind implements Message.
func (*ClaimReply) Kind() Kind { return KindClaimReply }
