package claim

import (
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Times and bounds of a Machine.
const (
	// DownPatience is how long a claim waits while the platform fails.
	DownPatience = time.Second
	// MaxPending bounds the operations that wait for one partition. With
	// MaxAnswer it bounds their memory to 32 MB, reached only if each of them
	// records the longest answer.
	MaxPending = 2_000
	// minBackoff and maxBackoff bound the delay after a failed call. Two
	// calls must fit into DownPatience: at one second a claim that came right
	// after an outage was refused without a call.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// conflictStep bounds the random delay after the first conflict; it
	// doubles up to conflictDoublings times.
	conflictStep      = 2 * time.Millisecond
	conflictDoublings = 5
	// minPoll and maxPoll bound the time between two reads for operations
	// that wait for another VM's outcome.
	minPoll = 50 * time.Millisecond
	maxPoll = time.Second
	// expiryPeriod is the time between two searches for expired entries.
	expiryPeriod = time.Minute
)

// MachineConfig configures a Machine.
type MachineConfig struct {
	// WritesPerSecond and Burst pace the updates of the partition.
	WritesPerSecond float64
	Burst           float64
	Retention       time.Duration
	Rand            *rand.Rand
}

// Action is a platform call that the Machine wants: a Get of the partition
// object when Load is set, else a conditional Put.
type Action struct {
	Load      bool
	Value     []byte
	Condition platform.Condition
}

type waiting struct {
	Op
	submitted time.Time
	// after is the number of calls started when the operation was submitted.
	after uint64
	// exposed is set when a Put with the operation may take effect.
	exposed bool
	// notified is set when the submitter was told that the key is claimed.
	notified bool
}

type judged struct {
	op     *waiting
	ruling ruling
	// exposed is the operation's state before the Put.
	exposed bool
}

// Machine applies operations to one partition object by conditional updates,
// many operations in one update. It has at most one call on its way. Any
// number of Machines on different VMs may work on the same partition.
type Machine struct {
	config  MachineConfig
	pending []*waiting
	parked  []*waiting
	results []Result

	// state is the last known content, nil when it must be read.
	state   *Partition
	version string
	// calls counts the calls started; stateCall is the one that proved state.
	calls     uint64
	stateCall uint64

	busy     bool
	inFlight []judged
	next     *Partition

	failures  int
	conflicts int
	fault     error
	retryAt   time.Time
	pollAt    time.Time
	poll      time.Duration
	expiredAt time.Time
	bucket    bucket
}

// NewMachine returns a Machine that has read nothing.
func NewMachine(c MachineConfig, now time.Time) *Machine {
	return &Machine{config: c, poll: minPoll, bucket: newBucket(c.WritesPerSecond, c.Burst, now)}
}

// SetRetention sets how long entries are kept.
func (m *Machine) SetRetention(d time.Duration) { m.config.Retention = d }

// Submit adds an operation. Its result comes from Results, after a possible
// ClaimWaiting.
func (m *Machine) Submit(now time.Time, op Op) {
	if len(m.pending)+len(m.parked) >= MaxPending {
		m.results = append(m.results, Result{ID: op.ID, Verdict: wire.ClaimUnavailable})
		return
	}
	m.pending = append(m.pending, &waiting{Op: op, submitted: now, after: m.calls})
}

// Withdraw drops an operation that is not part of a call. It gives no result.
func (m *Machine) Withdraw(id uint64) {
	m.pending = dropID(m.pending, id)
	m.parked = dropID(m.parked, id)
}

// Results returns the results since the last call.
func (m *Machine) Results() []Result {
	r := m.results
	m.results = nil
	return r
}

// Idle reports whether nothing is left to do.
func (m *Machine) Idle() bool {
	return !m.busy && len(m.pending) == 0 && len(m.parked) == 0
}

// Forget drops the known content.
func (m *Machine) Forget() { m.state = nil }

// Fault returns the last failure of the platform or of the stored object, and
// nil after a success.
func (m *Machine) Fault() error { return m.fault }

// Next returns the call to make now, if any. Loaded or Stored must follow.
func (m *Machine) Next(now time.Time) (Action, bool) {
	m.expire(now)
	if m.busy || now.Before(m.retryAt) {
		return Action{}, false
	}
	poll := len(m.parked) > 0 && !now.Before(m.pollAt)
	if len(m.pending) == 0 && !poll {
		return Action{}, false
	}
	if m.state == nil || poll {
		return m.load(), true
	}
	batch, next, fresh := m.evaluate(now)
	if !fresh {
		return m.load(), true
	}
	if next == nil {
		m.pending = nil
		m.deliver(now, batch)
		return Action{}, false
	}
	if !m.bucket.take(now) {
		return Action{}, false
	}
	return m.store(now, batch, next)
}

func (m *Machine) load() Action {
	m.busy = true
	m.calls++
	return Action{Load: true}
}

// evaluate judges the pending operations in order, each on the effect of the
// ones before. next is nil when nothing changes. fresh is false when a
// verdict needs content that was read after its operation was submitted.
func (m *Machine) evaluate(now time.Time) (batch []judged, next *Partition, fresh bool) {
	m.expireEntries(now)
	current := m.state
	for _, w := range m.pending {
		r := current.judge(&w.Op, now)
		if needsFresh(r.verdict) && m.stateCall <= w.after {
			return nil, nil, false
		}
		if r.change {
			if next == nil {
				next = m.state.clone()
				current = next
			}
			next.put(r.entry)
		}
		batch = append(batch, judged{w, r, w.exposed})
	}
	return batch, next, true
}

// expireEntries drops expired entries from the known content, before any
// verdict: a full partition would otherwise never change and never expire.
// The next update stores it.
func (m *Machine) expireEntries(now time.Time) {
	if now.Before(m.expiredAt.Add(expiryPeriod)) {
		return
	}
	m.expiredAt = now
	m.state.expire(now, m.config.Retention)
}

// needsFresh tells which verdicts can be wrong on old content. A grant, a
// recorded answer and an answer that is found are final once stored; waiting
// operations are judged again.
func needsFresh(v wire.ClaimVerdict) bool {
	switch v {
	case wire.ClaimReused, wire.ClaimFull, wire.ClaimWithdrawn, wire.ClaimLost:
		return true
	default:
		return false
	}
}

func (m *Machine) store(now time.Time, batch []judged, next *Partition) (Action, bool) {
	next.Revision++
	value, err := next.Encode()
	if err != nil || len(value) > MaxObject {
		m.failed(now, errs.Refuse(errs.Internal, "partition of %d bytes cannot be stored: %v", len(value), err))
		return Action{}, false
	}
	for _, j := range batch {
		j.op.exposed = j.op.exposed || j.ruling.change
	}
	m.busy = true
	m.calls++
	m.inFlight, m.next, m.pending = batch, next, nil
	return Action{Value: value, Condition: platform.Condition{Match: m.version, Absent: m.version == ""}}, true
}

// Loaded takes the reply to a Get.
func (m *Machine) Loaded(now time.Time, o platform.Object, err error) {
	m.busy = false
	state := NewPartition()
	if err == nil {
		state, err = Decode(o.Value)
	} else if errs.Is(err, errs.PlatformNotFound) {
		o.Version, err = "", nil
	}
	if err != nil {
		m.state = nil
		m.failed(now, err)
		return
	}
	m.succeeded(state, o.Version)
	m.pending = append(m.pending, m.parked...)
	m.parked = nil
	m.pollAt = now.Add(m.poll)
	m.poll = min(2*m.poll, maxPoll)
}

// Stored takes the reply to a Put. After a conflict or a lost reply the
// object is read, and the operations are judged again: one whose token is
// already stored then changes nothing and is granted. While the version read
// is the old one, the lost Put may still take effect; the next Put is made on
// the same version, so only one of them can.
func (m *Machine) Stored(now time.Time, version string, err error) {
	m.busy = false
	batch := m.inFlight
	m.inFlight = nil
	if err == nil {
		m.conflicts = 0
		m.succeeded(m.next, version)
		m.deliver(now, batch)
		m.unpark()
		return
	}
	m.requeue(batch)
	switch {
	case errs.Is(err, errs.PlatformConflict):
		m.state = nil
		m.conflicts++
		m.retryAt = now.Add(m.jitter())
	case errs.As(err).RunState == errs.MayHaveRun:
		m.state = nil
		m.failed(now, err)
	default:
		for _, j := range batch {
			j.op.exposed = j.exposed
		}
		m.failed(now, err)
	}
}

func (m *Machine) requeue(batch []judged) {
	ops := make([]*waiting, 0, len(batch)+len(m.pending))
	for _, j := range batch {
		ops = append(ops, j.op)
	}
	m.pending = append(ops, m.pending...)
}

func (m *Machine) succeeded(state *Partition, version string) {
	m.state, m.version = state, version
	m.stateCall = m.calls
	m.failures = 0
	m.fault = nil
}

func (m *Machine) failed(now time.Time, err error) {
	m.fault = err
	m.failures++
	delay := min(minBackoff<<min(m.failures-1, 10), maxBackoff)
	m.retryAt = now.Add(delay)
}

func (m *Machine) jitter() time.Duration {
	limit := conflictStep << min(m.conflicts-1, conflictDoublings)
	return time.Duration(m.config.Rand.Int64N(int64(limit)))
}
