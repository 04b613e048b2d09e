// Package poison records which requests were in flight when upstream instances were
// lost, and decides from that whether a request may run. It performs no I/O; the
// caller passes the time.
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
	// DefaultBlockDuration, DefaultSuspectDuration and DefaultProvenDuration replace
	// the durations that a Config leaves at 0. With a duration of 0 each verdict
	// would end at once.
	DefaultBlockDuration   = 10 * time.Minute
	DefaultSuspectDuration = 10 * time.Minute // a caller may repeat a request minutes later
	DefaultProvenDuration  = time.Minute
	// MaxRecords limits the number of fingerprints with losses, and MaxProven the
	// number of those that succeeded recently. Together they use less than 2 MB.
	MaxRecords = 4096
	MaxProven  = 16384
	// PropagationMargin is added to the time for which a cleared record is kept,
	// because an older entry can still be on its way from another VM.
	PropagationMargin = time.Minute
	// unknownInstanceWindow is the length of the intervals in which the losses of a
	// replica count as one while its instance is not known.
	unknownInstanceWindow = 5 * time.Second
)

// Config holds the rules of a Ledger.
type Config struct {
	// LossLimit is the number of lost instances after which a fingerprint is
	// blocked; 0 stands for DefaultLossLimit.
	LossLimit int
	// BlockDuration and SuspectDuration are the times after the last loss for which
	// a fingerprint stays blocked or suspect.
	BlockDuration   time.Duration
	SuspectDuration time.Duration
	// ProvenDuration is the time after a success for which a fingerprint is proven.
	ProvenDuration time.Duration
}

// Verdict tells how a request may run.
type Verdict uint8

// Verdicts.
const (
	// Unknown requests run on canary groups first if the service has any configured.
	Unknown Verdict = iota
	// Proven requests succeeded recently.
	Proven
	// Suspect requests run alone and without hedges.
	Suspect
	// Blocked requests are refused.
	Blocked
)

// Ledger holds the losses and verdicts that one VM knows. It is safe for concurrent
// use.
type Ledger struct {
	config  Config
	mu      sync.RWMutex
	records map[uint64]*record
	proven  provenSet
}

// NewLedger returns an empty ledger.
func NewLedger(c Config) *Ledger {
	c = withDefaults(c)
	return &Ledger{config: c, records: map[uint64]*record{}, proven: newProvenSet(c.ProvenDuration)}
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

// Configure changes the loss limit and the duration of a block; values of 0 stand for
// the defaults. The end of verdicts that are in force does not change.
func (l *Ledger) Configure(lossLimit int, blockDuration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config.LossLimit, l.config.BlockDuration = lossLimit, blockDuration
	l.config = withDefaults(l.config)
}

// Fingerprint returns the hash of a request. The lengths of service and operation are
// hashed with them, so that different requests do not hash the same bytes.
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
	if r, ok := l.records[fp]; ok && r.inForce(now) {
		if r.activeLosses() >= l.config.LossLimit {
			return Blocked
		}
		return Suspect
	}
	if l.proven.has(now, fp) {
		return Proven
	}
	return Unknown
}

// RecordPartialSuccess records that a request has succeeded at all of its services but the
// missing ones.
func (l *Ledger) RecordPartialSuccess(now time.Time, fp uint64, missing []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proven.addPartial(now, fp, missing)
}

// SucceededSince reports whether a request with the fingerprint has succeeded at a service
// at or after since, which may lie ProvenDuration back.
func (l *Ledger) SucceededSince(now time.Time, fp uint64, service string, since time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	at := l.proven.get(fp).at(service)
	return now.Sub(at) <= l.proven.retention && !at.Before(since)
}

// Losses returns the number of losses that count against a fingerprint.
func (l *Ledger) Losses(now time.Time, fp uint64) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if r, ok := l.records[fp]; ok && r.inForce(now) {
		return r.activeLosses()
	}
	return 0
}

// RecordLoss records that an instance of a replica was lost while the requests with
// the given fingerprints were in flight. It returns the entries to send to other VMs.
// An instance counts once, however often its loss is reported.
func (l *Ledger) RecordLoss(now time.Time, replica model.ReplicaID, instance string, inFlight []uint64) []model.PoisonEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	hash := instanceHash(now, replica, instance)
	var changed []model.PoisonEntry
	for _, fp := range inFlight {
		r := l.recordFor(now, fp)
		if !r.addLoss(hash, false, span{}) {
			continue
		}
		l.extendVerdict(now, r)
		changed = append(changed, l.entry(now, fp, r))
	}
	return changed
}

// RecordAttempt records that an attempt of a request was in flight when a replica was
// lost: from startedAt, which may be zero if it is not known, to reportedAt. Attempts that
// overlapped count once. fingerprints are those by which the request is recognized.
func (l *Ledger) RecordAttempt(now time.Time, id string, startedAt, reportedAt time.Time, fingerprints ...uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	during := span{startedAt, reportedAt}
	if startedAt.IsZero() {
		during = span{}
	}
	for _, fp := range fingerprints {
		if r := l.recordFor(now, fp); r.addLoss(instanceHash(now, "", id), false, during) {
			l.extendVerdict(now, r)
		}
	}
}

// ClearAttempt clears what RecordAttempt has recorded.
func (l *Ledger) ClearAttempt(now time.Time, id string, fingerprints ...uint64) {
	for _, fp := range fingerprints {
		l.ClearLoss(now, "", id, fp)
	}
}

// CheckAttempt returns the verdict on an attempt: the gravest of those on the fingerprints
// by which it is recognized.
func (l *Ledger) CheckAttempt(now time.Time, a Attempt) Verdict {
	verdict := max(l.Check(now, a.Fingerprint), l.Check(now, a.Exact))
	if a.Former != 0 {
		verdict = max(verdict, l.Check(now, a.Former))
	}
	return verdict
}

// AttemptLosses returns the number of losses that count against an attempt.
func (l *Ledger) AttemptLosses(now time.Time, a Attempt) int {
	losses := max(l.Losses(now, a.Fingerprint), l.Losses(now, a.Exact))
	if a.Former != 0 {
		losses = max(losses, l.Losses(now, a.Former))
	}
	return losses
}

// RecordAttemptSuccess records that an attempt succeeded. It clears what counts against
// other attempts with the same fingerprint only where they are not blocked: the success of
// one query string says nothing of another one, but it shows that not each request for the
// path crashes replicas.
func (l *Ledger) RecordAttemptSuccess(now time.Time, a Attempt) {
	l.RecordSuccess(now, a.Exact)
	l.RecordSuccess(now, a.Fingerprint)
	if a.Former != 0 {
		l.RecordSuccess(now, a.Former)
	}
}

// ClearLoss clears a loss that RecordLoss has recorded, because the request succeeded
// later.
func (l *Ledger) ClearLoss(now time.Time, replica model.ReplicaID, instance string, fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[fp]
	if !ok {
		return
	}
	r.addLoss(instanceHash(now, replica, instance), true, span{})
	r.forgetAt = now.Add(l.longestDuration() + PropagationMargin)
}

// RecordSuccess records that a request succeeded. If this clears a suspect
// fingerprint, it returns true and the entry to send to other VMs. A block ends only
// when it expires or is lifted.
func (l *Ledger) RecordSuccess(now time.Time, fp uint64) (model.PoisonEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[fp]
	if !ok || !r.inForce(now) {
		l.proven.add(now, fp)
		return model.PoisonEntry{}, false
	}
	if r.activeLosses() >= l.config.LossLimit {
		return model.PoisonEntry{}, false
	}
	l.proven.add(now, fp)
	return l.clearRecord(now, fp, r), true
}

// Lift ends the verdict on a fingerprint on behalf of an operator. It returns true
// and the entry to send to other VMs, or false if no verdict is in force.
func (l *Ledger) Lift(now time.Time, fp uint64) (model.PoisonEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[fp]
	if !ok || !r.inForce(now) {
		return model.PoisonEntry{}, false
	}
	return l.clearRecord(now, fp, r), true
}

// Merge applies an entry of another VM and reports whether it changed anything.
// Entries may arrive in any order and any number of times.
func (l *Ledger) Merge(now time.Time, e model.PoisonEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Instances == [model.MaxPoisonInstances]uint64{} || (e.TTL <= 0 && !e.Lifted) {
		return false
	}
	r := l.recordFor(now, e.Fingerprint)
	changed, newLoss := false, false
	for i, hash := range e.Instances {
		cleared := e.Cleared&(1<<i) != 0
		if hash != 0 && r.addLoss(hash, cleared, span{}) {
			changed = true
			newLoss = newLoss || !cleared
		}
	}
	if !changed {
		return false
	}
	// Only losses that were not known extend the verdict. Otherwise two VMs could
	// extend it forever by sending each other their entries.
	switch {
	case !newLoss:
	case r.activeLosses() >= l.config.LossLimit && !e.Blocked:
		l.extendVerdict(now, r)
	default:
		r.extendTo(now.Add(min(e.TTL, l.longestDuration())))
	}
	r.forgetAt = now.Add(l.longestDuration() + PropagationMargin)
	return true
}

// List returns the verdicts that are in force, ordered by fingerprint.
func (l *Ledger) List(now time.Time) []model.PoisonEntry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []model.PoisonEntry
	for fp, r := range l.records {
		if r.inForce(now) {
			all = append(all, l.entry(now, fp, r))
		}
	}
	slices.SortFunc(all, func(a, b model.PoisonEntry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// extendVerdict restarts the duration of a verdict after a loss.
func (l *Ledger) extendVerdict(now time.Time, r *record) {
	duration := l.config.SuspectDuration
	if r.activeLosses() >= l.config.LossLimit {
		duration = l.config.BlockDuration
	}
	r.extendTo(now.Add(duration))
	r.forgetAt = now.Add(l.longestDuration() + PropagationMargin)
}

// clearRecord clears all losses of a record and returns the entry to send to other VMs.
func (l *Ledger) clearRecord(now time.Time, fp uint64, r *record) model.PoisonEntry {
	r.clearLosses()
	r.forgetAt = now.Add(l.longestDuration() + PropagationMargin)
	return l.entry(now, fp, r)
}

// longestDuration returns the longest duration of a verdict. Another VM can hold an
// older entry for as long.
func (l *Ledger) longestDuration() time.Duration {
	return max(l.config.BlockDuration, l.config.SuspectDuration)
}

// entry returns the content of a record in the form that is sent to other VMs.
func (l *Ledger) entry(now time.Time, fp uint64, r *record) model.PoisonEntry {
	active := r.activeLosses()
	e := model.PoisonEntry{
		Fingerprint: fp,
		Losses:      active,
		Blocked:     active >= l.config.LossLimit,
		Lifted:      active == 0,
		TTL:         r.expiresAt.Sub(now),
		Instances:   r.instances,
		Cleared:     r.clearedMask,
	}
	if e.Lifted {
		e.TTL = r.forgetAt.Sub(now)
	}
	return e
}

// instanceHash identifies an instance of a replica; it is never 0. If the instance is
// not known, the current interval of unknownInstanceWindow stands for it.
func instanceHash(now time.Time, replica model.ReplicaID, instance string) uint64 {
	if instance == "" {
		instance = now.Truncate(unknownInstanceWindow).UTC().String()
	}
	return max(1, Fingerprint(model.ServiceID(replica), instance, nil))
}
