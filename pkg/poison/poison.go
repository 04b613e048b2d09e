// Package poison remembers requests that were in flight when upstreams were
// lost and decides which of them may run. It performs no I/O; the caller
// passes the time.
package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// DefaultLossLimit is the number of lost instances that block a fingerprint.
	DefaultLossLimit = 2
	// DefaultBlockDuration, DefaultSuspectFor and DefaultRecentFor replace the terms
	// that a Config leaves at 0. A term of 0 would end each verdict at once.
	DefaultBlockDuration   = 10 * time.Minute
	DefaultSuspectDuration = 10 * time.Minute // a caller may send again minutes later
	DefaultProvenDuration  = time.Minute
	// MaxRecords bounds the fingerprints with losses, and MaxProven the ones
	// that succeeded recently. Together they stay below 2 MB.
	MaxRecords = 4096
	MaxProven  = 16384
	// Slack is added to the time a cleared record is kept, for the way an
	// older entry may still have to travel.
	Slack = time.Minute
	// anonymousWindow is the time in which losses of a replica whose instance
	// was never learned count as one.
	anonymousWindow = 5 * time.Second
)

// Config holds the rules of a ledger.
type Config struct {
	// LossLimit is the number of lost instances after which a fingerprint is
	// blocked; 0 is DefaultLimit.
	LossLimit int
	// BlockDuration and SuspectFor tell how long a verdict holds after the last loss.
	BlockDuration   time.Duration
	SuspectDuration time.Duration
	// ProvenDuration tells how long a success proves a fingerprint.
	ProvenDuration time.Duration
}

// Verdict tells how a request may run.
type Verdict uint8

// Verdicts.
const (
	// Unknown requests try a canary first where that is configured.
	Unknown Verdict = iota
	// Proven requests succeeded recently.
	Proven
	// Suspect requests run alone and without hedges.
	Suspect
	// Blocked requests are refused.
	Blocked
)

// Ledger holds the verdicts known to one VM. It may be used by many goroutines.
type Ledger struct {
	config  Config
	mu      sync.RWMutex
	records map[uint64]*record
	proven  recentSet
}

// NewLedger returns an empty ledger.
func NewLedger(c Config) *Ledger {
	c = withDefaults(c)
	return &Ledger{config: c, records: map[uint64]*record{}, proven: newRecentSet(c.ProvenDuration)}
}

func withDefaults(c Config) Config {
	if c.LossLimit <= 0 {
		c.LossLimit = DefaultLossLimit
	}
	c.LossLimit = min(c.LossLimit, model.MaxPoisonInstances)
	if c.BlockDuration <= 0 {
		c.BlockDuration = DefaultBlockDuration
	}
	if c.SuspectDuration <= 0 {
		c.SuspectDuration = DefaultSuspectDuration
	}
	if c.ProvenDuration <= 0 {
		c.ProvenDuration = DefaultProvenDuration
	}
	return c
}

// Configure changes the limit and the term of a block; values of 0 stand for
// the defaults. Verdicts that hold keep their term.
func (l *Ledger) Configure(limit int, blockFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config.LossLimit, l.config.BlockDuration = limit, blockFor
	l.config = withDefaults(l.config)
}

// Fingerprint returns the hash of a request. The parts are delimited by their
// lengths, so that no two requests share their concatenation.
func Fingerprint(service model.ServiceID, operation string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var size [8]byte
	writeLength := func(n int) {
		binary.LittleEndian.PutUint64(size[:], uint64(n))
		_, _ = d.Write(size[:])
	}
	writeLength(len(service))
	_, _ = d.WriteString(string(service))
	writeLength(len(operation))
	_, _ = d.WriteString(operation)
	_, _ = d.Write(body)
	return d.Sum64()
}

// Check returns the verdict on a fingerprint.
func (l *Ledger) Check(now time.Time, fp uint64) Verdict {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if r, ok := l.records[fp]; ok && r.holds(now) {
		if r.active() >= l.config.LossLimit {
			return Blocked
		}
		return Suspect
	}
	if l.proven.has(now, fp) {
		return Proven
	}
	return Unknown
}

// RecordLoss reports that an instance of a replica was lost with the given requests
// in flight. It returns the entries to spread. An instance counts once,
// however often its loss is reported.
func (l *Ledger) RecordLoss(now time.Time, replica model.ReplicaID, instance string, inFlight []uint64) []model.PoisonEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	hash := instanceHash(now, replica, instance)
	var changed []model.PoisonEntry
	for _, fp := range inFlight {
		r := l.record(now, fp)
		if !r.add(hash, false) {
			continue
		}
		l.extend(now, r)
		changed = append(changed, l.entry(now, fp, r))
	}
	return changed
}

// RecordSuccess reports a success. It clears a suspect, and then returns true and
// the entry to spread. A block ends only by expiry or by a lift.
func (l *Ledger) RecordSuccess(now time.Time, fp uint64) (model.PoisonEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[fp]
	if !ok || !r.holds(now) {
		l.proven.add(now, fp)
		return model.PoisonEntry{}, false
	}
	if r.active() >= l.config.LossLimit {
		return model.PoisonEntry{}, false
	}
	l.proven.add(now, fp)
	return l.clear(now, fp, r), true
}

// Lift ends the verdict on a fingerprint by an operator's decision. It is
// false if there is none, else the entry is to be spread.
func (l *Ledger) Lift(now time.Time, fp uint64) (model.PoisonEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[fp]
	if !ok || !r.holds(now) {
		return model.PoisonEntry{}, false
	}
	return l.clear(now, fp, r), true
}

// Merge takes in an entry of another VM. It is true if the entry told
// anything new. Entries may come in any order and any number of times.
func (l *Ledger) Merge(now time.Time, e model.PoisonEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Instances == [model.MaxPoisonInstances]uint64{} || (e.TTL <= 0 && !e.Lifted) {
		return false
	}
	r := l.record(now, e.Fingerprint)
	changed, loss := false, false
	for i, hash := range e.Instances {
		cleared := e.Cleared&(1<<i) != 0
		if hash != 0 && r.add(hash, cleared) {
			changed = true
			loss = loss || !cleared
		}
	}
	if !changed {
		return false
	}
	// The verdict is prolonged only by losses that were not known. Otherwise
	// two VMs could prolong it for ever by telling each other.
	switch {
	case !loss:
	case r.active() >= l.config.LossLimit && !e.Blocked:
		l.extend(now, r)
	default:
		r.until(now.Add(min(e.TTL, l.longest())))
	}
	r.forget = now.Add(l.longest() + Slack)
	return true
}

// List returns the verdicts that hold, ordered by fingerprint.
func (l *Ledger) List(now time.Time) []model.PoisonEntry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []model.PoisonEntry
	for fp, r := range l.records {
		if r.holds(now) {
			all = append(all, l.entry(now, fp, r))
		}
	}
	slices.SortFunc(all, func(a, b model.PoisonEntry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// extend starts the term of a verdict anew after a loss.
func (l *Ledger) extend(now time.Time, r *record) {
	term := l.config.SuspectDuration
	if r.active() >= l.config.LossLimit {
		term = l.config.BlockDuration
	}
	r.until(now.Add(term))
	r.forget = now.Add(l.longest() + Slack)
}

func (l *Ledger) clear(now time.Time, fp uint64, r *record) model.PoisonEntry {
	r.clear()
	r.forget = now.Add(l.longest() + Slack)
	return l.entry(now, fp, r)
}

// longest is the longest term of a verdict, and so the longest time for which
// another VM can hold an older entry.
func (l *Ledger) longest() time.Duration {
	return max(l.config.BlockDuration, l.config.SuspectDuration)
}

func (l *Ledger) entry(now time.Time, fp uint64, r *record) model.PoisonEntry {
	active := r.active()
	e := model.PoisonEntry{
		Fingerprint: fp,
		Losses:      active,
		Blocked:     active >= l.config.LossLimit,
		Lifted:      active == 0,
		TTL:         r.expires.Sub(now),
		Instances:   r.instances,
		Cleared:     r.cleared,
	}
	if e.Lifted {
		e.TTL = r.forget.Sub(now)
	}
	return e
}

func instanceHash(now time.Time, replica model.ReplicaID, instance string) uint64 {
	if instance == "" {
		instance = now.Truncate(anonymousWindow).UTC().String()
	}
	return max(1, Fingerprint(model.ServiceID(replica), instance, nil))
}
