// Package dispatch is the owner side of the tier: it runs attempts at the
// replicas that this VM owns and is the only sender of work to them.
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
	// statusInterval is the period of status requests to each owned replica.
	statusInterval = 500 * time.Millisecond
	// spareConns are connections opened ahead of need beyond the slots.
	spareConns = 2
	// controlConns carry cancellations and status requests.
	controlConns = 1
)

// Config holds the collaborators of a Dispatcher.
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
	// Dial replaces the default dialler of upstream connections when set.
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	Log   logrus.FieldLogger
	Scope tally.Scope
	Now   func() time.Time
	// Policy selects a baseline for measurements.
	Policy model.Policy
}

// Dispatcher runs attempts at owned replicas.
type Dispatcher struct {
	cfg Config

	mu      sync.RWMutex
	targets map[model.ReplicaID]*target
	// retiring holds replicas given up that still have attempts in flight.
	// A replica can be among them twice when its address changed again.
	retiring []*target

	index atomic.Pointer[groupIndex]

	sent tally.Counter
	lost tally.Counter
}

// New returns a Dispatcher. Run must be called for it to follow the view.
func New(c Config) *Dispatcher {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &Dispatcher{
		cfg:     c,
		targets: make(map[model.ReplicaID]*target),
		sent:    c.Scope.Counter("dispatch_sent"),
		lost:    c.Scope.Counter("dispatch_upstream_lost"),
	}
}

// Run follows the view until ctx ends, then closes all upstream connections.
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
	var seen *model.View
	for {
		if v := d.cfg.View.Current(); v != seen {
			d.Reconcile(v)
			seen = v
		}
		d.finishRetiring()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Reconcile adopts replicas that the view assigns to this VM and gives up the others.
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

// adopt must be called with d.mu held. A replica that is still retiring is
// taken back with its gate, so that its attempts in flight keep counting.
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
	d.seed(t)
	d.targets[id] = t
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusInterval)
		defer cancel()
		d.pollOne(ctx, t)
	}()
	d.cfg.Log.WithFields(logrus.Fields{"replica": id, "reason": "owner_by_rendezvous"}).Info("Adopted replica.")
	return t
}

// seed must be called with d.mu held.
func (d *Dispatcher) seed(t *target) {
	for _, sibling := range d.targets {
		if sibling.spec.service != t.spec.service {
			continue
		}
		if known := sibling.normal(); len(known.services) > 0 {
			t.seed(known)
			return
		}
	}
}

// giveUp must be called with d.mu held.
func (d *Dispatcher) giveUp(id model.ReplicaID, t *target) {
	delete(d.targets, id)
	d.retiring = append(d.retiring, t)
	t.giveUp()
	d.cfg.Log.WithFields(logrus.Fields{"replica": id, "reason": "owner_changed"}).Info("Gave up replica.")
}

func (d *Dispatcher) finishRetiring() {
	var done []model.ReplicaID
	d.mu.Lock()
	d.retiring = slices.DeleteFunc(d.retiring, func(t *target) bool {
		if t.load() > 0 {
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

// InFlight returns the number of attempts at replicas of this VM.
func (d *Dispatcher) InFlight() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, t := range d.targets {
		n += t.load()
	}
	for _, t := range d.retiring {
		n += t.load()
	}
	return n
}

func (d *Dispatcher) snapshotTargets() []*target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]*target, 0, len(d.targets))
	for _, t := range d.targets {
		out = append(out, t)
	}
	return out
}

// target returns the owned replica, or a refusal that tells the entry VM
// whether to look for another owner or another replica.
func (d *Dispatcher) target(id model.ReplicaID) (*target, error) {
	if err := d.dispatchable(id); err != nil {
		return nil, err
	}
	d.mu.RLock()
	t := d.targets[id]
	d.mu.RUnlock()
	if t == nil {
		return nil, errs.Refuse(errs.NotOwner, "replica %s is not adopted yet", id)
	}
	if !t.usable(d.cfg.Now()) {
		return nil, errs.Refuse(errs.NotOwner, "replica %s has not answered its new owner yet", id)
	}
	return t, nil
}

// dispatchable is checked before queueing and again right before a send. The
// age check keeps a VM that was paused from sending on ownership it may have lost.
func (d *Dispatcher) dispatchable(id model.ReplicaID) error {
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
		d.pollStatus(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// pollStatus asks all owned replicas at once, so that a hanging one does not
// delay what is learned about the others.
func (d *Dispatcher) pollStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusInterval)
	defer cancel()
	var g errgroup.Group
	for _, t := range d.snapshotTargets() {
		g.Go(func() error {
			d.pollOne(ctx, t)
			return nil
		})
	}
	_ = g.Wait()
}

func (d *Dispatcher) pollOne(ctx context.Context, t *target) {
	s, err := t.client.Load().Status(ctx)
	if err != nil {
		if status, changed := t.statusFailed(); changed {
			d.cfg.ReportStatus(status)
		}
		return
	}
	if t.observeInstance(d.cfg.Now(), s.Instance) {
		d.upstreamLost(ctx, t, "instance_changed")
	}
	d.cfg.ReportStatus(t.statusSeen(s))
}
