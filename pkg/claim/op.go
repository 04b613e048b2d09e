package claim

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Op is one step of the claim on one key: take, record or release. Applying it a
// second time changes nothing.
type Op struct {
	// ID is unique within an Updater.
	ID          uint64
	Step        wire.ClaimStep
	KeyHash     string
	Token       string
	Fingerprint uint64
	Status      int
	Answer      []byte
	// Deadline is when the Updater gives up the operation.
	Deadline time.Time
}

// newEntry returns the entry in state s that the operation stores at the time now.
func (op *Op) newEntry(s State, now time.Time) Entry {
	e := Entry{KeyHash: op.KeyHash, Token: op.Token, Fingerprint: op.Fingerprint, State: s, ChangedAtUnixMilli: now.UnixMilli()}
	if s == Done {
		e.Status, e.Answer = op.Status, op.Answer
	}
	return e
}

// Result is the outcome of an Op.
type Result struct {
	ID      uint64
	Verdict wire.ClaimVerdict
	// Status and Answer are the recorded outcome if the verdict is ClaimDone.
	Status int
	Answer []byte
	// MayBeStored is set if the token may be stored although the verdict says that
	// the operation failed.
	MayBeStored bool
}

// Attempt selects the one result that a request acts on. Results come from the
// claim owner and from the Updater of the request's own VM. Both use the same
// token, so either may store it.
type Attempt struct {
	// pendingResults is the number of Updaters that have not sent a final result.
	pendingResults int
	mayBeStored    bool
	// keyHeld is set once an Updater reported that another token holds the key.
	keyHeld bool
	settled bool
	result  Result
}

// Submitted records that the operation was submitted to one more Updater.
func (a *Attempt) Submitted() { a.pendingResults++ }

// AddResult adds a result and reports whether it settles the attempt.
// ClaimUnavailable does not settle the attempt while another Updater still works
// on the operation.
func (a *Attempt) AddResult(r Result) bool {
	if !r.Verdict.Final() {
		a.keyHeld = a.keyHeld || r.Verdict == wire.ClaimWaiting
		return false
	}
	a.pendingResults--
	a.mayBeStored = a.mayBeStored || r.MayBeStored
	if a.settled {
		return false
	}
	if r.Verdict == wire.ClaimUnavailable && a.pendingResults > 0 {
		return false
	}
	return a.settle(r)
}

// Expire settles the attempt if no result came in time, and reports whether it
// did so.
func (a *Attempt) Expire() bool {
	if a.settled {
		return false
	}
	return a.settle(Result{Verdict: wire.ClaimUnavailable})
}

// settle fixes the result of the attempt. If the key is known to be held by
// another request, that request may have run: ClaimUnavailable, which says that
// nothing ran, becomes ClaimUnknown.
func (a *Attempt) settle(r Result) bool {
	if r.Verdict == wire.ClaimUnavailable && a.keyHeld {
		r.Verdict = wire.ClaimUnknown
	}
	a.settled, a.result = true, r
	return true
}

// Result returns the result that the request acts on. It is valid once the
// attempt is settled.
func (a *Attempt) Result() Result { return a.result }

// NeedsRelease reports whether the token of a claim that was not granted may
// be stored now or later. The request never uses such a token, and releasing it
// lets a repeat of the request run.
func (a *Attempt) NeedsRelease() bool {
	v := a.result.Verdict
	if !a.settled || v == wire.ClaimGranted || v == wire.ClaimDone {
		return false
	}
	return a.mayBeStored || a.pendingResults > 0
}
