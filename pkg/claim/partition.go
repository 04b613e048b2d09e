// Package claim makes requests that may not be repeated run at most once.
// Claims live in partition objects of the platform, which are changed only by
// conditional updates.
//
// Partition, Machine and Attempt are pure: they do no I/O, start no goroutine
// and take the time as a parameter. Service runs them.
package claim

import (
	"bytes"
	"maps"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// State is the state of one entry.
type State uint8

// States. Claimed becomes Done or Released, Released becomes Claimed by
// another token, and Done is final until the entry expires.
const (
	Claimed State = iota + 1
	Done
	Released
)

// Entry is the claim on one key.
type Entry struct {
	KeyHash     string
	Token       string
	Fingerprint uint64
	State       State
	Status      int
	Answer      []byte
	// At is the time of the last change, in Unix milliseconds of the VM that
	// made it.
	At int64
}

// Bounds of a partition object.
const (
	// MaxObject is the platform's bound on a value, in bytes.
	MaxObject = 1_000_000
	// MaxClaims is the size at which new claims are refused. The rest up to
	// MaxObject is for the outcomes of claims that are already stored.
	MaxClaims = 900_000
	// MaxAnswer is the bound on one recorded answer, in bytes.
	MaxAnswer = 16 << 10
	// answerReserve is set aside for the answer of each claim without outcome.
	answerReserve = 512
	// entryOverhead is an upper bound on the encoded size of an entry
	// without its answer.
	entryOverhead = 96
	// objectOverhead is an upper bound on the encoded size without entries.
	objectOverhead = 64
)

// ClockSkew is the difference between two VMs' clocks that expiry tolerates.
const ClockSkew = time.Hour

// ReleasedRetention is how long a released entry is kept. It only has to
// outlast a claim with the same token that is still on its way.
const ReleasedRetention = time.Hour

// Partition is the content of one partition object.
type Partition struct {
	// Revision increases with every stored change, so that no two stored
	// values are equal even if the platform derives versions from content.
	Revision uint64
	entries  map[string]Entry
	// size is an upper bound on the encoded size; reserved adds
	// answerReserve for each claim without outcome.
	size     int
	reserved int
}

// NewPartition returns an empty partition.
func NewPartition() *Partition {
	return &Partition{entries: map[string]Entry{}, size: objectOverhead}
}

// Len returns the number of entries.
func (p *Partition) Len() int { return len(p.entries) }

// Entry returns the entry of a key.
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
	p.size += entrySize(e)
	p.reserved += reserve(e)
}

func (p *Partition) remove(keyHash string) {
	old, ok := p.entries[keyHash]
	if !ok {
		return
	}
	p.size -= entrySize(old)
	p.reserved -= reserve(old)
	delete(p.entries, keyHash)
}

func entrySize(e Entry) int { return entryOverhead + len(e.Answer) }

func reserve(e Entry) int {
	if e.State == Claimed {
		return answerReserve
	}
	return 0
}

// expire removes entries past their retention.
func (p *Partition) expire(now time.Time, retention time.Duration) {
	for key, e := range p.entries {
		keep := retention
		if e.State == Released {
			keep = ReleasedRetention
		}
		if now.Sub(time.UnixMilli(e.At)) > keep+ClockSkew {
			p.remove(key)
		}
	}
}

// ruling is the effect of one operation on a partition.
type ruling struct {
	verdict wire.ClaimVerdict
	// entry is the new entry when change is set, else the stored one.
	entry  Entry
	change bool
}

// judge returns the effect of op without applying it. Applying an operation
// twice has the effect of applying it once: that resolves a lost reply.
func (p *Partition) judge(op *Op, now time.Time) ruling {
	switch op.Step {
	case wire.ClaimTake:
		return p.judgeTake(op, now)
	case wire.ClaimRecord:
		return p.judgeRecord(op, now)
	default:
		return p.judgeRelease(op, now)
	}
}

func (p *Partition) judgeTake(op *Op, now time.Time) ruling {
	e, ok := p.entries[op.KeyHash]
	switch {
	case !ok && p.size+p.reserved+entryOverhead+answerReserve > MaxClaims:
		return ruling{verdict: wire.ClaimFull}
	case !ok || (e.State == Released && e.Token != op.Token):
		return ruling{verdict: wire.ClaimGranted, entry: op.entry(Claimed, now), change: true}
	case e.State == Released:
		return ruling{verdict: wire.ClaimWithdrawn, entry: e}
	case e.Fingerprint != op.Fingerprint:
		return ruling{verdict: wire.ClaimReused, entry: e}
	case e.State == Done:
		return ruling{verdict: wire.ClaimDone, entry: e}
	case e.Token == op.Token:
		return ruling{verdict: wire.ClaimGranted, entry: e}
	default:
		return ruling{verdict: wire.ClaimWaiting, entry: e}
	}
}

func (p *Partition) judgeRecord(op *Op, now time.Time) ruling {
	e, ok := p.entries[op.KeyHash]
	switch {
	case !ok || e.Token != op.Token || e.State == Released:
		return ruling{verdict: wire.ClaimLost}
	case e.State == Done && (e.Status != op.Status || !bytes.Equal(e.Answer, op.Answer)):
		return ruling{verdict: wire.ClaimLost}
	case e.State == Done:
		return ruling{verdict: wire.ClaimRecorded, entry: e}
	case len(op.Answer) > MaxAnswer || p.size+len(op.Answer) > MaxObject:
		return ruling{verdict: wire.ClaimFull}
	}
	done := op.entry(Done, now)
	done.Fingerprint = e.Fingerprint
	return ruling{verdict: wire.ClaimRecorded, entry: done, change: true}
}

// judgeRelease stores a released entry even if the token is not stored: a
// claim with this token that is still on its way then finds it withdrawn.
func (p *Partition) judgeRelease(op *Op, now time.Time) ruling {
	e, ok := p.entries[op.KeyHash]
	switch {
	case !ok && p.size+entryOverhead > MaxObject:
		return ruling{verdict: wire.ClaimFull}
	case !ok:
		return ruling{verdict: wire.ClaimReleased, entry: op.entry(Released, now), change: true}
	case e.Token != op.Token || e.State == Released:
		return ruling{verdict: wire.ClaimReleased, entry: e}
	case e.State == Done:
		return ruling{verdict: wire.ClaimLost, entry: e}
	default:
		return ruling{verdict: wire.ClaimReleased, entry: op.entry(Released, now), change: true}
	}
}
