// Package dispatch sends requests to the replicas that this VM owns. The owner
// of a replica is the only VM that sends work to it.
package dispatch

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

const (
	// reconcileInterval bounds the time between a new view and its effect on
	// the owned replicas.
	reconcileInterval = 20 * time.Millisecond
	// statusInterval is the time between two status requests to an owned replica,
	// and the timeout of each.
	statusInterval = 500 * time.Millisecond
	// spareConns is the number of connections beyond the slots that are opened
	// before they are needed.
	spareConns = 2
	// controlConns is the number of connections for cancellations and status
	// requests.
	controlConns = 1
)

// Config holds the dependencies and callbacks of a Dispatcher.
type Config struct {
	Self   model.VMID
	View   model.ViewSource
	Ledger *poison.Ledger
	// ReportStatus receives each new status of an owned replica. It must not block.
	ReportStatus func(model.ReplicaStatus)
	// OnReleased is called when a replica was given up and its last attempt has
	// ended.
	OnReleased func(model.ReplicaID)
	// PublishPoison sends a poison entry to the other VMs. It returns when they
	// have acknowledged the entry, or after a short time limit.
	PublishPoison func(context.Context, model.PoisonEntry)
	// Dial opens connections to upstreams; nil means a net.Dialer.
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	Log   logrus.FieldLogger
	Scope tally.Scope
	Now   func() time.Time
	// Policy switches single mechanisms off, to measure what they contribute.
	Policy model.Policy
}

// Dispatcher runs attempts at owned replicas.
type Dispatcher struct {
	cfg Config

	mu      sync.RWMutex
	targets map[model.ReplicaID]*target
	// retiring holds the replicas that were given up and still have attempts in
	// flight. A replica is in it twice if its address changed twice in that time.
	retiring []*target

	index atomic.Pointer[groupIndex]

	sentAttempts  tally.Counter
	lostUpstreams tally.Counter
}

// New returns a Dispatcher without replicas. Run adopts those that the view
// assigns to this VM.
func New(c Config) *Dispatcher {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &Dispatcher{
		cfg:           c,
		targets:       make(map[model.ReplicaID]*target),
		sentAttempts:  c.Scope.Counter("dispatch_sent"),
		lostUpstreams: c.Scope.Counter("dispatch_upstream_lost"),
	}
}

// Run applies each new view and polls the status of the owned replicas until ctx
// ends, then closes all upstream connections.
func (d *Dispatcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.reconcileLoop(ctx) })
	g.Go(func() error { return d.statusLoop(ctx) })
	err := g.Wait()
	d.closeAll()
	return err
}

func (d *Dispatcher) reconcileLoop(ctx context.Context) error {
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	var reconciled *model.View
	for {
		if v := d.cfg.View.Current(); v != reconciled {
			d.Reconcile(v)
			reconciled = v
		}
		d.closeIdleRetiring()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Reconcile adopts the replicas that the view assigns to this VM, gives up the
// others, and applies the settings, takeovers and exclusions of the view.
func (d *Dispatcher) Reconcile(v *model.View) {
	if v.Config == nil {
		return
	}
	owned := ownedReplicas(v, d.cfg.Self, d.cfg.Policy)
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, t := range d.targets {
		if spec, ok := owned[id]; !ok || spec.replica.Addr != t.spec.replica.Addr {
			d.giveUp(id, t)
		}
	}
	for id, spec := range owned {
		t, ok := d.targets[id]
		if !ok {
			t = d.adopt(id, spec)
		}
		t.configure(d.cfg.Now(), spec, d.cfg.Dial)
		t.applyTakeover(d.cfg.Now(), v.Takeovers[id])
		t.applyExclusion(d.cfg.Now(), v.Excluded[id])
	}
}

// adopt returns the target of a replica that this VM did not own. A target that
// is still retiring is used again, so that its attempts in flight keep their
// slots. It must be called with d.mu held.
func (d *Dispatcher) adopt(id model.ReplicaID, spec targetSpec) *target {
	for i, t := range d.retiring {
		if t.spec.replica.ID == id && t.spec.replica.Addr == spec.replica.Addr {
			d.retiring = slices.Delete(d.retiring, i, i+1)
			t.reopen(d.cfg.Now())
			d.targets[id] = t
			return t
		}
	}
	t := newTarget(spec, d.cfg.Now(), d.cfg.Dial)
	d.seedBaselines(t)
	d.targets[id] = t
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusInterval)
		defer cancel()
		d.pollStatus(ctx, t)
	}()
	d.cfg.Log.WithFields(logrus.Fields{"replica": id, "reason": "owner_by_rendezvous"}).Info("Adopted replica, its requests are now sent by this VM.")
	return t
}

// seedBaselines copies the baselines of another owned replica of the same
// service, if one has any. It must be called with d.mu held.
func (d *Dispatcher) seedBaselines(t *target) {
	for _, sibling := range d.targets {
		if sibling.spec.service != t.spec.service {
			continue
		}
		if known := sibling.knownBaselines(); len(known.serviceTimes) > 0 {
			t.seedBaselines(known)
			return
		}
	}
}

// giveUp refuses the queued attempts of a replica and moves it to retiring. It
// must be called with d.mu held.
func (d *Dispatcher) giveUp(id model.ReplicaID, t *target) {
	delete(d.targets, id)
	d.retiring = append(d.retiring, t)
	t.giveUp()
	d.cfg.Log.WithFields(logrus.Fields{"replica": id, "reason": "owner_changed"}).Info("Gave up replica, its queued attempts are refused.")
}

// closeIdleRetiring closes the retiring targets whose last attempt has ended and
// reports their replicas as released.
func (d *Dispatcher) closeIdleRetiring() {
	var done []model.ReplicaID
	d.mu.Lock()
	d.retiring = slices.DeleteFunc(d.retiring, func(t *target) bool {
		if t.attemptCount() > 0 {
			return false
		}
		t.close()
		done = append(done, t.spec.replica.ID)
		return true
	})
	d.mu.Unlock()
	for _, id := range done {
		d.cfg.OnReleased(id)
	}
}

func (d *Dispatcher) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		t.close()
	}
	for _, t := range d.retiring {
		t.close()
	}
}

// InFlight returns the number of attempts that are queued or running at the
// owned and the retiring replicas.
func (d *Dispatcher) InFlight() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, t := range d.targets {
		n += t.attemptCount()
	}
	for _, t := range d.retiring {
		n += t.attemptCount()
	}
	return n
}

func (d *Dispatcher) ownedTargets() []*target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]*target, 0, len(d.targets))
	for _, t := range d.targets {
		out = append(out, t)
	}
	return out
}

// ownedTarget returns the target of an owned replica, or a refusal whose code
// tells the VM that received the request whether to ask the current owner or to
// use another replica.
func (d *Dispatcher) ownedTarget(id model.ReplicaID) (*target, error) {
	if err := d.checkDispatchable(id); err != nil {
		return nil, err
	}
	d.mu.RLock()
	t := d.targets[id]
	d.mu.RUnlock()
	if t == nil {
		return nil, errs.Refuse(errs.NotOwner, "replica %s is not adopted yet", id)
	}
	if !t.mayGetWork(d.cfg.Now()) {
		return nil, errs.Refuse(errs.NotOwner, "replica %s has not answered its new owner yet", id)
	}
	return t, nil
}

// checkDispatchable returns a refusal if the view does not allow sends to the
// replica. It is called before queueing and again right before a send. The check
// of the age keeps a VM that was paused from sending to a replica that may have a
// new owner.
func (d *Dispatcher) checkDispatchable(id model.ReplicaID) error {
	v := d.cfg.View.Current()
	if age := d.cfg.Now().Sub(v.PublishedAt); age > model.ViewMaxAge {
		return errs.Refuse(errs.StaleView, "view is %s old", age.Round(time.Millisecond))
	}
	if owner := v.Owners[id]; owner != d.cfg.Self {
		return errs.Refuse(errs.NotOwner, "replica %s is owned by %q", id, owner)
	}
	if reason, out := v.Excluded[id]; out {
		return errs.Refuse(errs.UpstreamDraining, "replica %s is excluded: %s", id, reason)
	}
	return nil
}

func (d *Dispatcher) statusLoop(ctx context.Context) error {
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for {
		d.pollStatuses(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// pollStatuses requests the status of all owned replicas concurrently, so that a
// replica that hangs does not delay the status of the others.
func (d *Dispatcher) pollStatuses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusInterval)
	defer cancel()
	var g errgroup.Group
	for _, t := range d.ownedTargets() {
		g.Go(func() error {
			d.pollStatus(ctx, t)
			return nil
		})
	}
	_ = g.Wait()
}

// pollStatus requests the status of one replica and reports the result. A failure
// is reported only when the replica becomes down.
func (d *Dispatcher) pollStatus(ctx context.Context, t *target) {
	s, err := t.client.Load().Status(ctx)
	if err != nil {
		if status, changed := t.recordStatusFailure(); changed {
			d.cfg.ReportStatus(status)
		}
		return
	}
	if t.recordInstance(d.cfg.Now(), s.Instance) {
		d.upstreamLost(ctx, t, "instance_changed")
	}
	d.cfg.ReportStatus(t.recordStatus(s))
}
