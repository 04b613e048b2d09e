package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/limit"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/ramp"
	"github.com/nutmeghitch/nutmeghitch/pkg/upstream"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// statusFailuresUntilDown is the number of failed status requests in a row after
// which a replica is reported as down. With 1, a single lost request could leave a
// group without replicas.
const statusFailuresUntilDown = 3

// replacedClientLifetime is the time after which a replaced client is closed. It
// is above the longest deadline, so that attempts that began with it can end.
const replacedClientLifetime = time.Minute

// firstAnswerTimeout is the time after which an adopted replica gets work although
// it has not answered a status request: its status endpoint alone may be broken.
const firstAnswerTimeout = 3 * time.Second

// stateDraining is the state in the status of a draining upstream.
const stateDraining = "draining"

// target is one owned replica with its concurrency limiter, its window and its
// connections.
type target struct {
	client atomic.Pointer[upstream.Client]

	mu            sync.Mutex
	spec          targetSpec // its replica and service never change
	limiter       *limit.Limiter
	window        *ramp.Window
	waiting       map[uint64]chan error
	inFlight      map[uint64]uint64 // fingerprint by attempt ID, 0 if proven
	nextID        uint64
	pollTimer     *time.Timer
	instance      string
	progress      progressEstimator
	takeover      takeoverLimiter
	takeoverLimit float64
	excluded      bool
	givenUp       bool
	// answered is set when the replica has answered this owner. Until then, or
	// until firstAnswerTimeout has passed since the adoption, requests go to other
	// replicas: a VM that adopts the replicas of a failure domain that it cannot
	// reach would keep requests waiting for connections.
	answered       bool
	adoptedAt      time.Time
	statusFailures int
	lastStatus     model.ReplicaStatus
}

func newTarget(s targetSpec, now time.Time, dial dialFunc) *target {
	w := ramp.New(ramp.Config{Slots: s.slots, ColdWindow: s.coldWindow}, now)
	t := &target{
		spec:       s,
		window:     w,
		limiter:    limit.NewLimiter(limit.Config{Slots: s.slots, QueueLimit: s.queueLimit}, w),
		waiting:    make(map[uint64]chan error),
		inFlight:   make(map[uint64]uint64),
		lastStatus: model.ReplicaStatus{Replica: s.replica.ID},

		adoptedAt: now,
	}
	t.client.Store(newClient(s, dial))
	t.pollTimer = time.AfterFunc(time.Hour, t.poll)
	t.pollTimer.Stop()
	return t
}

// baselines holds the usual service times of a replica, which are a first estimate
// for another replica of the same service.
type baselines struct {
	serviceTimes map[string]time.Duration // by operation
	p99          time.Duration
}

// knownBaselines returns the baselines that were learned from the replica's answers
// or copied from another replica.
func (t *target) knownBaselines() baselines {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]time.Duration, len(t.spec.operations))
	for _, op := range t.spec.operations {
		if d, ok := t.window.Baseline(op); ok {
			out[op] = d
		}
	}
	return baselines{serviceTimes: out, p99: t.progress.p99}
}

// seedBaselines copies the baselines of a replica of the same service. Without
// them, the slow answers of a cold replica would become its baseline.
func (t *target) seedBaselines(from baselines) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for op, d := range from.serviceTimes {
		t.window.SeedBaseline(op, d)
	}
	t.progress.p99 = from.p99
}

// requestSlot asks the limiter for a slot. The channel is nil if the slot is granted
// at once. Otherwise the attempt is queued, and the channel delivers nil when the
// slot is granted or the refusal if it is not.
func (t *target) requestSlot(now time.Time, r limit.Request, fp uint64) (uint64, <-chan error, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.givenUp {
		return 0, nil, errs.Refuse(errs.NotOwner, "replica %s was given up", t.spec.replica.ID)
	}
	t.nextID++
	r.ID = t.nextID
	switch dec := t.limiter.Offer(now, r); dec.Verdict {
	case limit.Granted:
		t.inFlight[r.ID] = fp
		return r.ID, nil, nil
	case limit.Queued:
		ch := make(chan error, 1)
		t.waiting[r.ID] = ch
		t.inFlight[r.ID] = fp
		t.schedulePoll(now)
		return r.ID, ch, nil
	default:
		return 0, nil, dec.Refusal
	}
}

// withdraw removes a queued attempt. It returns false if the slot was granted in
// the meantime or the attempt refused; a granted slot is returned with releaseSlot.
func (t *target) withdraw(now time.Time, id uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, queued := t.waiting[id]; !queued {
		return false
	}
	delete(t.waiting, id)
	delete(t.inFlight, id)
	t.grant(t.limiter.Withdraw(now, id))
	t.schedulePoll(now)
	return true
}

// releaseSlot returns the slot of an attempt and records its outcome.
func (t *target) releaseSlot(now time.Time, id uint64, o limit.Outcome, service time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, id)
	if o == limit.Succeeded {
		t.progress.addSample(service)
		// An upstream that answers requests is not down, whatever became of
		// its status requests.
		t.answered = true
		t.statusFailures = 0
	}
	if o == limit.Shed || o == limit.ShedCold {
		t.takeover.recordShed(now)
	}
	t.grant(t.limiter.Done(now, id, o, service))
	t.schedulePoll(now)
}

// grant ends the wait of queued attempts that got a slot. It must be called with
// t.mu held.
func (t *target) grant(ids []uint64) {
	for _, id := range ids {
		t.endWait(id, nil)
	}
}

// endWait delivers the result of the wait for a slot. An attempt that is refused
// leaves inFlight. It must be called with t.mu held.
func (t *target) endWait(id uint64, err error) {
	ch, ok := t.waiting[id]
	if !ok {
		return
	}
	delete(t.waiting, id)
	if err != nil {
		delete(t.inFlight, id)
	}
	ch <- err
}

// schedulePoll sets the timer to the next poll of the limiter. It must be called
// with t.mu held.
func (t *target) schedulePoll(now time.Time) {
	if at, ok := t.limiter.NextPoll(now); ok {
		t.pollTimer.Reset(max(at.Sub(now), 0))
	}
}

func (t *target) poll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pollAt(time.Now())
}

// pollAt starts queued attempts that got a slot and refuses those whose deadline
// has passed. It must be called with t.mu held, and after each change of the window.
func (t *target) pollAt(now time.Time) {
	granted, expired := t.limiter.Poll(now)
	t.grant(granted)
	for _, id := range expired {
		t.endWait(id, errs.Refuse(errs.DeadlineExceeded, "deadline passed in the queue of replica %s", t.spec.replica.ID))
	}
	t.schedulePoll(now)
}

// applyTakeover limits the window while a previous owner may still send.
func (t *target) applyTakeover(now time.Time, takeover model.Takeover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.takeover.limit(now, takeover, t.spec.slots)
	if limit == t.takeoverLimit {
		return
	}
	t.takeoverLimit = limit
	t.window.SetTakeoverLimit(limit)
	t.pollAt(now)
}

// applyExclusion refuses the queued attempts of a replica that is taken out of
// service; reason is empty if it is in service. A replica that comes back starts
// with the cold window: its caches are cold, whether it was restarted or not.
func (t *target) applyExclusion(now time.Time, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := reason != ""
	if t.excluded && !out {
		t.window.Restart(now)
		t.pollAt(now)
	}
	t.excluded = out
	if !out {
		return
	}
	for _, id := range t.limiter.Drain() {
		t.endWait(id, errs.Refuse(errs.UpstreamDraining, "replica %s is excluded: %s", t.spec.replica.ID, reason))
	}
}

// giveUp refuses queued and new attempts. Running attempts go on.
func (t *target) giveUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.givenUp = true
	for _, id := range t.limiter.Drain() {
		t.endWait(id, errs.Refuse(errs.NotOwner, "replica %s moved to another owner", t.spec.replica.ID))
	}
}

// reopen accepts attempts again after giveUp. The window starts cold, since another
// VM may have sent work in the meantime.
func (t *target) reopen(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.givenUp = false
	t.window.Restart(now)
}

// attemptCount returns the number of attempts that have or wait for a slot.
func (t *target) attemptCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight)
}

func (t *target) close() {
	t.pollTimer.Stop()
	t.client.Load().Close()
}

func (t *target) hint() wire.LoadHint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.Hint()
}

// mayGetWork reports whether the replica has answered this owner or
// firstAnswerTimeout has passed.
func (t *target) mayGetWork(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered || now.Sub(t.adoptedAt) > firstAnswerTimeout
}

// progressTimeout returns how long an attempt may wait for the first response byte.
func (t *target) progressTimeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.progress.timeout()
}

// recordInstance records the instance ID of a response. It returns true if another
// ID was known, which means that the upstream was restarted.
func (t *target) recordInstance(now time.Time, id string) bool {
	if id == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.instance
	t.instance = id
	if known != id {
		t.window.SetInstance(now, id)
		t.pollAt(now)
	}
	return known != "" && known != id
}

// runningFingerprints returns the instance ID of the upstream and the fingerprints
// of the unproven attempts that have a slot, one of which may have crashed it.
func (t *target) runningFingerprints() (string, []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fps := make([]uint64, 0, len(t.inFlight))
	for id, fp := range t.inFlight {
		if _, queued := t.waiting[id]; !queued && fp != 0 {
			fps = append(fps, fp)
		}
	}
	return t.instance, fps
}

// recordStatus records the answer to a status request and returns what is reported.
func (t *target) recordStatus(s upstream.Status) model.ReplicaStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statusFailures = 0
	t.answered = true
	t.lastStatus = model.ReplicaStatus{
		Replica:   t.spec.replica.ID,
		Instance:  s.Instance,
		Draining:  s.State == stateDraining,
		Snapshots: s.Snapshots,
	}
	return t.lastStatus
}

// recordStatusFailure counts a failed status request. It returns true with the
// status to report if the replica became down by this failure.
func (t *target) recordStatusFailure() (model.ReplicaStatus, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statusFailures++
	if t.statusFailures != statusFailuresUntilDown {
		return t.lastStatus, false
	}
	t.lastStatus.Down = true
	return t.lastStatus, true
}
