package claim

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Op is one step of one claim. Applying it again has no further effect.
type Op struct {
	// ID is unique within a Machine.
	ID          uint64
	Step        wire.ClaimStep
	KeyHash     string
	Token       string
	Fingerprint uint64
	Status      int
	Answer      []byte
	// Deadline is when the Machine gives the operation up.
	Deadline time.Time
}

func (op *Op) entry(s State, now time.Time) Entry {
	e := Entry{KeyHash: op.KeyHash, Token: op.Token, Fingerprint: op.Fingerprint, State: s, At: now.UnixMilli()}
	if s == Done {
		e.Status, e.Answer = op.Status, op.Answer
	}
	return e
}

// Result is the outcome of an Op.
type Result struct {
	ID      uint64
	Verdict wire.ClaimVerdict
	// Status and Answer are the recorded outcome of a ClaimDone.
	Status int
	Answer []byte
	// Exposed is set when the token may be stored in spite of the verdict.
	Exposed bool
}

// Attempt decides what one request makes of the results that reach it from
// the claim owner and from its own Machine. Both work with the same token, so
// either may store it. The request acts on exactly one result.
type Attempt struct {
	outstanding int
	exposed     bool
	waiting     bool
	settled     bool
	result      Result
}

// Started tells that the operation was given to one more Machine.
func (a *Attempt) Started() { a.outstanding++ }

// Reply takes a result and reports whether it settles the attempt. A
// ClaimUnavailable does not settle while another Machine has the operation.
func (a *Attempt) Reply(r Result) bool {
	if !r.Verdict.Final() {
		a.waiting = a.waiting || r.Verdict == wire.ClaimWaiting
		return false
	}
	a.outstanding--
	a.exposed = a.exposed || r.Exposed
	if a.settled {
		return false
	}
	if r.Verdict == wire.ClaimUnavailable && a.outstanding > 0 {
		return false
	}
	return a.settle(r)
}

// Expire settles the attempt when no result came in time.
func (a *Attempt) Expire() bool {
	if a.settled {
		return false
	}
	return a.settle(Result{Verdict: wire.ClaimUnavailable})
}

func (a *Attempt) settle(r Result) bool {
	if r.Verdict == wire.ClaimUnavailable && a.waiting {
		r.Verdict = wire.ClaimUnknown
	}
	a.settled, a.result = true, r
	return true
}

// Result returns what the request acts on, once settled.
func (a *Attempt) Result() Result { return a.result }

// NeedsRelease reports whether the token of a claim that was not granted may
// be stored now or later. It is never used; releasing it lets a repeat of the
// key run.
func (a *Attempt) NeedsRelease() bool {
	v := a.result.Verdict
	if !a.settled || v == wire.ClaimGranted || v == wire.ClaimDone {
		return false
	}
	return a.exposed || a.outstanding > 0
}
