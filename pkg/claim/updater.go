package claim

import (
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Timeouts, intervals and limits of an Updater.
const (
	// MaxPlatformDownWait is how long a ClaimTake waits while platform calls fail.
	MaxPlatformDownWait = time.Second
	// MaxPendingOps bounds the operations that wait for one partition. With
	// MaxAnswerBytes it bounds their memory to 32 MB, which is reached only if
	// each operation records an answer of the maximum length.
	MaxPendingOps = 2_000
	// minBackoff and maxBackoff bound the delay after a failed call. Two calls must
	// fit into MaxPlatformDownWait: with a maxBackoff of one second, a claim that
	// arrived right after an outage was refused without any call.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// baseConflictDelay bounds the random delay after the first conflict. The bound
	// doubles with each further conflict, up to maxConflictDoublings times.
	baseConflictDelay    = 2 * time.Millisecond
	maxConflictDoublings = 5
	// minPollInterval and maxPollInterval bound the time between two reads for
	// operations that wait for the outcome of another request.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// expiryInterval is the time between two searches for expired entries.
	expiryInterval = time.Minute
)

// UpdaterConfig configures an Updater.
type UpdaterConfig struct {
	// WritesPerSecond and BurstWrites limit the rate of updates of the partition.
	WritesPerSecond float64
	BurstWrites     float64
	// Retention is how long claimed and done entries are kept.
	Retention time.Duration
	Rand      *rand.Rand
}

// Action is a platform call that the Updater requests: a Get of the partition
// object if Load is set, else a conditional Put.
type Action struct {
	Load      bool
	Value     []byte
	Condition platform.Condition
}

// pendingOp is a submitted operation without a final result.
type pendingOp struct {
	Op
	submitted time.Time
	// callsBefore is the number of calls started before the operation was
	// submitted.
	callsBefore uint64
	// mayBeStored is set if a Put with the operation has or may still take effect.
	mayBeStored bool
	// waitReported is set once the submitter got ClaimWaiting.
	waitReported bool
}

// evaluatedOp is a pending operation with its effect on the partition.
type evaluatedOp struct {
	op     *pendingOp
	effect effect
	// mayBeStoredBefore is the value of op.mayBeStored before the Put.
	mayBeStoredBefore bool
}

// Updater applies operations to one partition object by conditional updates,
// many operations in one update. It has at most one call in flight. Any number of
// Updaters on different VMs may update the same partition.
type Updater struct {
	config UpdaterConfig
	// pending holds the operations for the next update, in the order of evaluation.
	pending []*pendingOp
	// awaiting holds the operations that wait until the token that holds their key
	// records an outcome or releases the key.
	awaiting []*pendingOp
	results  []Result

	// cached is the last known content, nil if it must be read.
	cached        *Partition
	cachedVersion string
	// callCount is the number of calls started; cachedCall is the value of it at
	// the call that confirmed cached.
	callCount  uint64
	cachedCall uint64

	callInFlight bool
	// inFlightOps and inFlightPartition belong to the Put in flight.
	inFlightOps       []evaluatedOp
	inFlightPartition *Partition

	consecutiveFailures  int
	consecutiveConflicts int
	lastErr              error
	// retryAt is the earliest time for the next call after a failure or conflict.
	retryAt      time.Time
	nextPoll     time.Time
	pollInterval time.Duration
	lastExpiry   time.Time
	bucket       tokenBucket
}

// NewUpdater returns an Updater that has not read the partition yet.
func NewUpdater(c UpdaterConfig, now time.Time) *Updater {
	return &Updater{config: c, pollInterval: minPollInterval, bucket: newTokenBucket(c.WritesPerSecond, c.BurstWrites, now)}
}

// SetRetention sets how long claimed and done entries are kept.
func (u *Updater) SetRetention(d time.Duration) { u.config.Retention = d }

// Submit adds an operation. Results returns its final result, possibly after
// ClaimWaiting.
func (u *Updater) Submit(now time.Time, op Op) {
	if len(u.pending)+len(u.awaiting) >= MaxPendingOps {
		u.results = append(u.results, Result{ID: op.ID, Verdict: wire.ClaimUnavailable})
		return
	}
	u.pending = append(u.pending, &pendingOp{Op: op, submitted: now, callsBefore: u.callCount})
}

// Withdraw drops an operation without a result, unless it is part of the call in
// flight or may already be stored.
func (u *Updater) Withdraw(id uint64) {
	u.pending = removeByID(u.pending, id)
	u.awaiting = removeByID(u.awaiting, id)
}

// Results returns the results since the last call.
func (u *Updater) Results() []Result {
	r := u.results
	u.results = nil
	return r
}

// Idle reports whether there is no call in flight and no operation left.
func (u *Updater) Idle() bool {
	return !u.callInFlight && len(u.pending) == 0 && len(u.awaiting) == 0
}

// DropCache drops the cached content; the next operation reads it again.
func (u *Updater) DropCache() { u.cached = nil }

// LastError returns the error of the last platform call, or of decoding or encoding
// the object. It is nil after a success; conflicts do not change it.
func (u *Updater) LastError() error { return u.lastErr }

// Next returns the platform call to make now, if any. The caller must pass its
// reply to Loaded or Stored.
func (u *Updater) Next(now time.Time) (Action, bool) {
	u.expireOps(now)
	if u.callInFlight || now.Before(u.retryAt) {
		return Action{}, false
	}
	poll := len(u.awaiting) > 0 && !now.Before(u.nextPoll)
	if len(u.pending) == 0 && !poll {
		return Action{}, false
	}
	if u.cached == nil || poll {
		return u.load(), true
	}
	batch, next, fresh := u.evaluate(now)
	if !fresh {
		return u.load(), true
	}
	if next == nil {
		u.pending = nil
		u.deliverResults(now, batch)
		return Action{}, false
	}
	if !u.bucket.take(now) {
		return Action{}, false
	}
	return u.store(now, batch, next)
}

// load starts a Get of the partition object.
func (u *Updater) load() Action {
	u.callInFlight = true
	u.callCount++
	return Action{Load: true}
}

// evaluate determines the effects of the pending operations in order, each on the
// content that the ones before it leave. next is that content after all of them,
// or nil if nothing changes. fresh is false if a verdict needs content that was
// read after its operation was submitted.
func (u *Updater) evaluate(now time.Time) (batch []evaluatedOp, next *Partition, fresh bool) {
	u.expireEntries(now)
	current := u.cached
	for _, op := range u.pending {
		r := current.effectOf(&op.Op, now)
		if needsFreshRead(r.verdict) && u.cachedCall <= op.callsBefore {
			return nil, nil, false
		}
		if r.changed {
			if next == nil {
				next = u.cached.clone()
				current = next
			}
			next.put(r.entry)
		}
		batch = append(batch, evaluatedOp{op, r, op.mayBeStored})
	}
	return batch, next, true
}

// expireEntries removes expired entries from the cached content; the next update
// stores the removal. It is called before operations are evaluated, because a full
// partition refuses all claims and would never be updated otherwise.
func (u *Updater) expireEntries(now time.Time) {
	if now.Before(u.lastExpiry.Add(expiryInterval)) {
		return
	}
	u.lastExpiry = now
	u.cached.expire(now, u.config.Retention)
}

// needsFreshRead reports whether a verdict can be wrong on outdated content.
// A grant and the recording of an answer are confirmed by the conditional update,
// a recorded answer does not change, and waiting operations are evaluated again.
func needsFreshRead(v wire.ClaimVerdict) bool {
	switch v {
	case wire.ClaimReused, wire.ClaimFull, wire.ClaimWithdrawn, wire.ClaimLost:
		return true
	default:
		return false
	}
}

// store starts the conditional Put of next with the operations of the batch.
func (u *Updater) store(now time.Time, batch []evaluatedOp, next *Partition) (Action, bool) {
	next.Revision++
	value, err := next.Encode()
	if err != nil || len(value) > MaxObjectBytes {
		u.failed(now, errs.Refuse(errs.Internal, "partition of %d bytes cannot be stored: %v", len(value), err))
		return Action{}, false
	}
	for _, ev := range batch {
		ev.op.mayBeStored = ev.op.mayBeStored || ev.effect.changed
	}
	u.callInFlight = true
	u.callCount++
	u.inFlightOps, u.inFlightPartition, u.pending = batch, next, nil
	return Action{Value: value, Condition: platform.Condition{Match: u.cachedVersion, Absent: u.cachedVersion == ""}}, true
}

// Loaded handles the reply to a Get. All waiting operations are evaluated again on
// the content that was read.
func (u *Updater) Loaded(now time.Time, o platform.Object, err error) {
	u.callInFlight = false
	state := NewPartition()
	if err == nil {
		state, err = Decode(o.Value)
	} else if errs.Is(err, errs.PlatformNotFound) {
		o.Version, err = "", nil
	}
	if err != nil {
		u.cached = nil
		u.failed(now, err)
		return
	}
	u.succeeded(state, o.Version)
	u.pending = append(u.pending, u.awaiting...)
	u.awaiting = nil
	u.nextPoll = now.Add(u.pollInterval)
	u.pollInterval = min(2*u.pollInterval, maxPollInterval)
}

// Stored handles the reply to a Put. After a conflict or a lost reply the object
// is read, and the operations are evaluated again: a claim whose token is already
// stored then changes nothing and is granted. If the read returns the old version,
// the Put whose reply was lost may still take effect. The next Put is conditional
// on the same version, so only one of the two can succeed.
func (u *Updater) Stored(now time.Time, version string, err error) {
	u.callInFlight = false
	batch := u.inFlightOps
	u.inFlightOps = nil
	if err == nil {
		u.consecutiveConflicts = 0
		u.succeeded(u.inFlightPartition, version)
		u.deliverResults(now, batch)
		u.requeueUnclaimed()
		return
	}
	u.requeue(batch)
	switch {
	case errs.Is(err, errs.PlatformConflict):
		u.cached = nil
		u.consecutiveConflicts++
		u.retryAt = now.Add(u.conflictDelay())
	case errs.As(err).RunState == errs.MayHaveRun:
		u.cached = nil
		u.failed(now, err)
	default:
		for _, ev := range batch {
			ev.op.mayBeStored = ev.mayBeStoredBefore
		}
		u.failed(now, err)
	}
}

// requeue puts the operations of a failed Put back in front of the pending ones.
func (u *Updater) requeue(batch []evaluatedOp) {
	ops := make([]*pendingOp, 0, len(batch)+len(u.pending))
	for _, ev := range batch {
		ops = append(ops, ev.op)
	}
	u.pending = append(ops, u.pending...)
}

// succeeded caches the content that a call confirmed.
func (u *Updater) succeeded(state *Partition, version string) {
	u.cached, u.cachedVersion = state, version
	u.cachedCall = u.callCount
	u.consecutiveFailures = 0
	u.lastErr = nil
}

// failed records an error and delays the next call.
func (u *Updater) failed(now time.Time, err error) {
	u.lastErr = err
	u.consecutiveFailures++
	delay := min(minBackoff<<min(u.consecutiveFailures-1, 10), maxBackoff)
	u.retryAt = now.Add(delay)
}

// conflictDelay returns a random delay after a conflict, so that Updaters of
// different VMs do not conflict again.
func (u *Updater) conflictDelay() time.Duration {
	limit := baseConflictDelay << min(u.consecutiveConflicts-1, maxConflictDoublings)
	return time.Duration(u.config.Rand.Int64N(int64(limit)))
}
