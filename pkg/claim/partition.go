// Package claim ensures that a non-idempotent request runs at most once. Claims
// are stored in partition objects of the platform, which are changed only by
// conditional updates.
//
// Partition, Updater and Attempt are pure: they do no I/O, start no goroutine
// and take the time as a parameter. Service runs them.
package claim

import (
	"bytes"
	"maps"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// State is the state of an Entry.
type State uint8

// States of an entry. Claimed changes to Done or Released. Released changes to
// Claimed when another token takes the key. Done is final until the entry expires.
const (
	// Claimed: a request holds the key and its outcome is not recorded yet.
	Claimed State = iota + 1
	// Done: the outcome is recorded.
	Done
	// Released: the request that held the key did not run.
	Released
)

// Entry is the claim on one key.
type Entry struct {
	KeyHash string
	// Token is that of the request whose operation changed the entry last.
	Token       string
	Fingerprint uint64
	State       State
	// Status and Answer are the recorded outcome. They are set only if State is Done.
	Status int
	Answer []byte
	// ChangedAtUnixMilli is the time of the last change by the clock of the VM that
	// made it.
	ChangedAtUnixMilli int64
}

// Size limits and size estimates of a partition object.
const (
	// MaxObjectBytes is the platform's limit on the size of a value.
	MaxObjectBytes = 1_000_000
	// NewClaimLimitBytes is the size above which new claims are refused. The rest
	// up to MaxObjectBytes is for the outcomes of claims that are already stored.
	NewClaimLimitBytes = 900_000
	// MaxAnswerBytes is the limit on the size of one recorded answer.
	MaxAnswerBytes = 16 << 10
	// answerReserveBytes is reserved for the answer of each claim without outcome.
	answerReserveBytes = 512
	// entryOverheadBytes is an upper bound on the encoded size of an entry
	// without its answer.
	entryOverheadBytes = 96
	// objectOverheadBytes is an upper bound on the encoded size of a partition
	// without entries.
	objectOverheadBytes = 64
)

// ClockSkew is the difference between two VMs' clocks that expiry tolerates.
const ClockSkew = time.Hour

// ReleasedRetention is how long a released entry is kept. It must exceed the longest
// delay of a ClaimTake with the same token: without the entry it would be granted.
const ReleasedRetention = time.Hour

// Partition is the content of one partition object.
type Partition struct {
	// Revision increases with every stored change. No two stored values are equal,
	// so their versions differ even if the platform derives versions from content.
	Revision uint64
	entries  map[string]Entry
	// sizeBytes is an upper bound on the encoded size.
	sizeBytes int
	// reservedBytes is the sum of answerReserveBytes over the claims without outcome.
	reservedBytes int
}

// NewPartition returns an empty partition.
func NewPartition() *Partition {
	return &Partition{entries: map[string]Entry{}, sizeBytes: objectOverheadBytes}
}

// Len returns the number of entries.
func (p *Partition) Len() int { return len(p.entries) }

// Entry returns the entry of the key with the given hash, if there is one.
func (p *Partition) Entry(keyHash string) (Entry, bool) {
	e, ok := p.entries[keyHash]
	return e, ok
}

func (p *Partition) clone() *Partition {
	c := *p
	c.entries = maps.Clone(p.entries)
	return &c
}

func (p *Partition) put(e Entry) {
	p.remove(e.KeyHash)
	p.entries[e.KeyHash] = e
	p.sizeBytes += entrySizeBytes(e)
	p.reservedBytes += answerReserveFor(e)
}

func (p *Partition) remove(keyHash string) {
	old, ok := p.entries[keyHash]
	if !ok {
		return
	}
	p.sizeBytes -= entrySizeBytes(old)
	p.reservedBytes -= answerReserveFor(old)
	delete(p.entries, keyHash)
}

// entrySizeBytes returns an upper bound on the encoded size of an entry.
func entrySizeBytes(e Entry) int { return entryOverheadBytes + len(e.Answer) }

// answerReserveFor returns the bytes to reserve for the answer of an entry.
func answerReserveFor(e Entry) int {
	if e.State == Claimed {
		return answerReserveBytes
	}
	return 0
}

// expire removes the entries that are older than their retention plus ClockSkew.
func (p *Partition) expire(now time.Time, retention time.Duration) {
	for key, e := range p.entries {
		keep := retention
		if e.State == Released {
			keep = ReleasedRetention
		}
		if now.Sub(time.UnixMilli(e.ChangedAtUnixMilli)) > keep+ClockSkew {
			p.remove(key)
		}
	}
}

// effect is the effect of one operation on a partition.
type effect struct {
	verdict wire.ClaimVerdict
	// entry is the new entry if changed is set, else the stored one.
	entry   Entry
	changed bool
}

// effectOf returns the effect of op without applying it. Operations are
// idempotent, so an operation whose reply was lost can be applied again.
func (p *Partition) effectOf(op *Op, now time.Time) effect {
	switch op.Step {
	case wire.ClaimTake:
		return p.effectOfTake(op, now)
	case wire.ClaimRecord:
		return p.effectOfRecord(op, now)
	default:
		return p.effectOfRelease(op, now)
	}
}

func (p *Partition) effectOfTake(op *Op, now time.Time) effect {
	e, ok := p.entries[op.KeyHash]
	switch {
	case !ok && p.sizeBytes+p.reservedBytes+entryOverheadBytes+answerReserveBytes > NewClaimLimitBytes:
		return effect{verdict: wire.ClaimFull}
	case !ok || (e.State == Released && e.Token != op.Token):
		return effect{verdict: wire.ClaimGranted, entry: op.newEntry(Claimed, now), changed: true}
	case e.State == Released:
		return effect{verdict: wire.ClaimWithdrawn, entry: e}
	case e.Fingerprint != op.Fingerprint:
		return effect{verdict: wire.ClaimReused, entry: e}
	case e.State == Done:
		return effect{verdict: wire.ClaimDone, entry: e}
	case e.Token == op.Token:
		return effect{verdict: wire.ClaimGranted, entry: e}
	default:
		return effect{verdict: wire.ClaimWaiting, entry: e}
	}
}

func (p *Partition) effectOfRecord(op *Op, now time.Time) effect {
	e, ok := p.entries[op.KeyHash]
	switch {
	case !ok || e.Token != op.Token || e.State == Released:
		return effect{verdict: wire.ClaimLost}
	case e.State == Done && (e.Status != op.Status || !bytes.Equal(e.Answer, op.Answer)):
		return effect{verdict: wire.ClaimLost}
	case e.State == Done:
		return effect{verdict: wire.ClaimRecorded, entry: e}
	case len(op.Answer) > MaxAnswerBytes || p.sizeBytes+len(op.Answer) > MaxObjectBytes:
		return effect{verdict: wire.ClaimFull}
	}
	done := op.newEntry(Done, now)
	done.Fingerprint = e.Fingerprint
	return effect{verdict: wire.ClaimRecorded, entry: done, changed: true}
}

// effectOfRelease stores a released entry even if the key has no entry, so that a
// delayed ClaimTake with this token is answered with ClaimWithdrawn.
func (p *Partition) effectOfRelease(op *Op, now time.Time) effect {
	e, ok := p.entries[op.KeyHash]
	switch {
	case !ok && p.sizeBytes+entryOverheadBytes > MaxObjectBytes:
		return effect{verdict: wire.ClaimFull}
	case !ok:
		return effect{verdict: wire.ClaimReleased, entry: op.newEntry(Released, now), changed: true}
	case e.Token != op.Token || e.State == Released:
		return effect{verdict: wire.ClaimReleased, entry: e}
	case e.State == Done:
		return effect{verdict: wire.ClaimLost, entry: e}
	default:
		return effect{verdict: wire.ClaimReleased, entry: op.newEntry(Released, now), changed: true}
	}
}
