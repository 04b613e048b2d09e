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

// statusFailures is the number of failed status requests in a row after which
// a replica is reported as down. One lost request must not empty a group.
const statusFailures = 3

// clientLinger is how long a replaced client is kept for attempts that began
// with it. It is above the longest deadline.
const clientLinger = time.Minute

// answerWait bounds the time without work for a replica whose status endpoint
// does not answer although the replica may.
const answerWait = 3 * time.Second

// stateDraining is what a draining upstream reports in its status.
const stateDraining = "draining"

// target is one owned replica: its gate, its window and its connections.
type target struct {
	client atomic.Pointer[upstream.Client]

	mu       sync.Mutex
	spec     targetSpec // the replica's id, address and service never change
	gate     *limit.Limiter
	window   *ramp.Window
	waiting  map[uint64]chan error
	inFlight map[uint64]uint64 // attempt id to fingerprint, 0 if it is proven
	nextID   uint64
	wake     *time.Timer
	instance string
	progress progressBound
	takeover takeoverCap
	capped   float64
	excluded bool
	gone     bool
	// answered is set when the replica has answered this owner. Until then, or
	// until answerWait has passed since the adoption, other replicas are used:
	// an owner that adopts the replicas of a failure domain it cannot reach
	// would keep requests waiting for connections.
	answered  bool
	adoptedAt time.Time
	failures  int
	status    model.ReplicaStatus
}

func newTarget(s targetSpec, now time.Time, dial dialFunc) *target {
	w := ramp.New(ramp.Config{Slots: s.slots, ColdWindow: s.cold}, now)
	t := &target{
		spec:     s,
		window:   w,
		gate:     limit.NewLimiter(limit.Config{Slots: s.slots, QueueLimit: s.queue}, w),
		waiting:  make(map[uint64]chan error),
		inFlight: make(map[uint64]uint64),
		status:   model.ReplicaStatus{Replica: s.replica.ID},

		adoptedAt: now,
	}
	t.client.Store(newClient(s, dial))
	t.wake = time.AfterFunc(time.Hour, t.poll)
	t.wake.Stop()
	return t
}

// normal is what a new owner takes over from a replica of the same service.
type normal struct {
	services map[string]time.Duration // by operation
	p99      time.Duration
}

// normal returns the service times that count as normal at the replica.
func (t *target) normal() normal {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]time.Duration, len(t.spec.operations))
	for _, op := range t.spec.operations {
		if d, ok := t.window.Baseline(op); ok {
			out[op] = d
		}
	}
	return normal{services: out, p99: t.progress.p99}
}

// seed takes over the normal service times of a replica of the same service.
// Without them the slow answers of a cold replica would count as normal.
func (t *target) seed(from normal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for op, d := range from.services {
		t.window.SeedBaseline(op, d)
	}
	t.progress.p99 = from.p99
}

// enter asks the gate for a slot. The returned channel delivers nil when the
// slot is granted later, or the reason why it is not; it is nil when the slot
// was granted at once.
func (t *target) enter(now time.Time, r limit.Request, fp uint64) (uint64, <-chan error, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gone {
		return 0, nil, errs.Refuse(errs.NotOwner, "replica %s was given up", t.spec.replica.ID)
	}
	t.nextID++
	r.ID = t.nextID
	switch dec := t.gate.Offer(now, r); dec.Verdict {
	case limit.Granted:
		t.inFlight[r.ID] = fp
		return r.ID, nil, nil
	case limit.Queued:
		ch := make(chan error, 1)
		t.waiting[r.ID] = ch
		t.inFlight[r.ID] = fp
		t.arm(now)
		return r.ID, ch, nil
	default:
		return 0, nil, dec.Refusal
	}
}

// withdraw gives up a queued attempt. It reports false when the slot has
// already been granted and the attempt must be left through leave.
func (t *target) withdraw(now time.Time, id uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, queued := t.waiting[id]; !queued {
		return false
	}
	delete(t.waiting, id)
	delete(t.inFlight, id)
	t.grant(t.gate.Withdraw(now, id))
	t.arm(now)
	return true
}

// leave returns the slot of an attempt.
func (t *target) leave(now time.Time, id uint64, o limit.Outcome, service time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, id)
	if o == limit.Succeeded {
		t.progress.observe(service)
		// An upstream that answers requests is not down, whatever became of
		// its status requests.
		t.answered = true
		t.failures = 0
	}
	if o == limit.Shed || o == limit.ShedCold {
		t.takeover.shed(now)
	}
	t.grant(t.gate.Done(now, id, o, service))
	t.arm(now)
}

// grant must be called with t.mu held.
func (t *target) grant(ids []uint64) {
	for _, id := range ids {
		t.resolve(id, nil)
	}
}

// resolve must be called with t.mu held.
func (t *target) resolve(id uint64, err error) {
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

// arm schedules the next poll of the gate. It must be called with t.mu held.
func (t *target) arm(now time.Time) {
	if at, ok := t.gate.NextPoll(now); ok {
		t.wake.Reset(max(at.Sub(now), 0))
	}
}

func (t *target) poll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pollAt(time.Now())
}

// pollAt must be called with t.mu held, after each change of the window.
func (t *target) pollAt(now time.Time) {
	granted, expired := t.gate.Poll(now)
	t.grant(granted)
	for _, id := range expired {
		t.resolve(id, errs.Refuse(errs.DeadlineExceeded, "deadline passed in the queue of replica %s", t.spec.replica.ID))
	}
	t.arm(now)
}

func (t *target) applyTakeover(now time.Time, k model.Takeover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.takeover.limit(now, k, t.spec.slots)
	if limit == t.capped {
		return
	}
	t.capped = limit
	t.window.SetTakeoverLimit(limit)
	t.pollAt(now)
}

// applyExclusion restarts the ramp when a replica comes back: caches of an
// upstream that was out of service are cold, whether it was restarted or not.
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
	for _, id := range t.gate.Drain() {
		t.resolve(id, errs.Refuse(errs.UpstreamDraining, "replica %s is excluded: %s", t.spec.replica.ID, reason))
	}
}

func (t *target) giveUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone = true
	for _, id := range t.gate.Drain() {
		t.resolve(id, errs.Refuse(errs.NotOwner, "replica %s moved to another owner", t.spec.replica.ID))
	}
}

func (t *target) reopen(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone = false
	t.window.Restart(now)
}

// load returns the number of attempts that hold or wait for a slot.
func (t *target) load() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight)
}

func (t *target) close() {
	t.wake.Stop()
	t.client.Load().Close()
}

func (t *target) hint() wire.LoadHint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Hint()
}

// usable reports whether the replica may get work from its new owner.
func (t *target) usable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered || now.Sub(t.adoptedAt) > answerWait
}

func (t *target) progressBound() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.progress.bound()
}

// observeInstance records the identity in a response. It reports true when a
// known identity changed, which means that the upstream was restarted.
func (t *target) observeInstance(now time.Time, id string) bool {
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

// running returns the instance identity and the fingerprints of the attempts
// that have a slot and may be what brought the upstream down.
func (t *target) running() (string, []uint64) {
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

func (t *target) statusSeen(s upstream.Status) model.ReplicaStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.answered = true
	t.status = model.ReplicaStatus{
		Replica:   t.spec.replica.ID,
		Instance:  s.Instance,
		Draining:  s.State == stateDraining,
		Snapshots: s.Snapshots,
	}
	return t.status
}

// statusFailed reports true when the replica has just become down.
func (t *target) statusFailed() (model.ReplicaStatus, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures++
	if t.failures != statusFailures {
		return t.status, false
	}
	t.status.Down = true
	return t.status, true
}
