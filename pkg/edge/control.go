package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

const (
	// queueLength is the number of events that wait for the control goroutine.
	queueLength = 1024
	// strictWatch bounds the wait of one watch call for configuration and
	// replicas, whose changes must be in force within 3 s; looseWatch that for
	// failure domains, which have 5 s; vmWatch that for VMs, whose number only
	// divides budgets.
	strictWatch = 2 * time.Second
	looseWatch  = 3500 * time.Millisecond
	vmWatch     = 20 * time.Second
	// tickEvery is the interval of checks that depend on time alone.
	tickEvery = 100 * time.Millisecond
)

// control owns the state and publishes a view after every change.
type control struct {
	state     *state
	forwarder *forward.Forwarder
	prober    *prober
	readiness *readiness
	log       logrus.FieldLogger
	events    chan func(now time.Time) (changed bool)
	// away counts the kinds of objects whose last call failed.
	away map[string]bool
}

func newControl(s *state, f *forward.Forwarder, p *prober, r *readiness, log logrus.FieldLogger) *control {
	return &control{
		state: s, forwarder: f, prober: p, readiness: r, log: log,
		events: make(chan func(time.Time) bool, queueLength),
		away:   map[string]bool{},
	}
}

// run applies events until ctx ends. Events that wait together lead to one view.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			changed = event(time.Now())
			for len(c.events) > 0 {
				changed = (<-c.events)(time.Now()) || changed
			}
		case now := <-ticker.C:
			changed = c.state.registry.Tick(now)
		}
		if changed {
			c.publish(time.Now())
		}
	}
}

// publish makes traffic use what is believed now.
func (c *control) publish(now time.Time) {
	view := c.state.view(now)
	if view == nil {
		return
	}
	c.forwarder.SetView(view)
	c.prober.keep(view)
	if c.state.ready() {
		c.readiness.setReady()
	}
}

// post queues an event. It waits when the queue is full, so that no change is
// lost; traffic uses offer.
func (c *control) post(ctx context.Context, event func(time.Time) bool) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// storeFailed notes a failed call. Replicas whose entries lapse from now on
// are kept for a while.
func (c *control) storeFailed(kind string, err error) {
	if errs.Is(err, errs.PlatformWatchGap) {
		c.log.WithFields(logrus.Fields{"kind": kind, "error": err}).Info("history gone, listing again")
		return
	}
	if !c.away[kind] {
		c.log.WithFields(logrus.Fields{"kind": kind, "error": err}).Warn("store lost")
	}
	c.away[kind] = true
	c.state.registry.StoreLost()
}

func (c *control) storeAnswered(now time.Time, kind string) {
	if !c.away[kind] {
		return
	}
	delete(c.away, kind)
	c.log.WithField("kind", kind).Info("store regained")
	if len(c.away) == 0 {
		c.state.registry.StoreBack(now)
	}
}

// sink posts what one follower learns.
type sink[T any] struct {
	ctx     context.Context
	control *control
	kind    string
	// put and remove apply one object; listed is called before the objects of
	// a complete list.
	listed func(now time.Time, batch storewatch.Batch[T]) bool
	apply  func(now time.Time, item storewatch.Item[T]) bool
}

// Listed implements storewatch.Sink.
func (s sink[T]) Listed(batch storewatch.Batch[T]) {
	s.control.post(s.ctx, func(now time.Time) bool { return s.listed(now, batch) })
}

// Changed implements storewatch.Sink.
func (s sink[T]) Changed(batch storewatch.Batch[T]) {
	s.control.post(s.ctx, func(now time.Time) bool {
		changed := false
		for _, item := range batch.Items {
			if item.Err != nil {
				s.control.log.WithFields(logrus.Fields{"kind": s.kind, "name": item.Name, "revision": item.Revision, "error": item.Err}).Warn("unreadable object")
			}
			changed = s.apply(now, item) || changed
		}
		return changed
	})
}

// Failed implements storewatch.Sink.
func (s sink[T]) Failed(err error) {
	s.control.post(s.ctx, func(time.Time) bool { s.control.storeFailed(s.kind, err); return false })
}

// Answered implements storewatch.Sink.
func (s sink[T]) Answered() {
	s.control.post(s.ctx, func(now time.Time) bool { s.control.storeAnswered(now, s.kind); return false })
}

// follow keeps the state in step with the store until ctx ends.
func (c *control) followConfigs(ctx context.Context, store Store) {
	apply := func(now time.Time, item storewatch.Item[*routes.Table]) bool {
		if item.Deleted || item.Err != nil || !c.state.setTable(item.Value) {
			return false
		}
		c.log.WithFields(logrus.Fields{
			"version": item.Value.Version, "revision": item.Revision, "routes": len(item.Value.Routes), "services": len(item.Value.Services),
		}).Info("configuration in force")
		return true
	}
	storewatch.Follow(ctx, store.Configs(), strictWatch, sink[*routes.Table]{ctx: ctx, control: c, kind: "configuration", apply: apply, listed: each(apply)})
}

// each applies all objects of a list one by one, for kinds in which a missing
// object means nothing.
func each[T any](apply func(time.Time, storewatch.Item[T]) bool) func(time.Time, storewatch.Batch[T]) bool {
	return func(now time.Time, batch storewatch.Batch[T]) bool {
		changed := false
		for _, item := range batch.Items {
			changed = apply(now, item) || changed
		}
		return changed
	}
}

func (c *control) followReplicas(ctx context.Context, store Store) {
	listed := func(now time.Time, batch storewatch.Batch[discovery.Replica]) bool {
		var entries []discovery.Replica
		var revisions []int64
		for _, item := range batch.Items {
			if item.Err != nil {
				c.log.WithFields(logrus.Fields{"name": item.Name, "error": item.Err}).Warn("unreadable replica entry")
				continue
			}
			entries, revisions = append(entries, item.Value), append(revisions, item.Revision)
		}
		first := !c.state.listed
		c.state.listed = true
		changed := c.state.registry.Replace(now, entries, revisions)
		c.log.WithFields(logrus.Fields{"revision": batch.Revision, "replicas": len(entries)}).Info("replicas listed")
		return changed || first
	}
	apply := func(now time.Time, item storewatch.Item[discovery.Replica]) bool {
		if item.Deleted || item.Err != nil {
			return c.replicaGone(now, item)
		}
		if item.Value.Draining {
			c.log.WithFields(logrus.Fields{"replica": item.Name, "service": item.Value.Service, "revision": item.Revision}).Info("replica drains")
		}
		return c.state.registry.Put(now, item.Value, item.Revision)
	}
	storewatch.Follow(ctx, store.Replicas(), strictWatch, sink[discovery.Replica]{ctx: ctx, control: c, kind: "replicas", apply: apply, listed: listed})
}

func (c *control) replicaGone(now time.Time, item storewatch.Item[discovery.Replica]) bool {
	removed := c.state.registry.Remove(now, item.Name)
	c.log.WithFields(logrus.Fields{"replica": item.Name, "revision": item.Revision, "removed": removed}).Info("replica entry gone")
	return removed
}

func (c *control) followTakenOut(ctx context.Context, store Store) {
	apply := func(_ time.Time, item storewatch.Item[string]) bool {
		return c.takeOut(item.Name, !item.Deleted, item.Revision)
	}
	listed := func(_ time.Time, batch storewatch.Batch[string]) bool {
		out := map[string]bool{}
		changed := false
		for _, item := range batch.Items {
			out[item.Name] = true
			changed = c.takeOut(item.Name, true, item.Revision) || changed
		}
		for _, domain := range c.state.registry.TakenOut() {
			if !out[domain] {
				changed = c.takeOut(domain, false, batch.Revision) || changed
			}
		}
		return changed
	}
	storewatch.Follow(ctx, store.TakenOut(), looseWatch, sink[string]{ctx: ctx, control: c, kind: "domains taken out", apply: apply, listed: listed})
}

// takeOut takes a failure domain out or back. Its replicas may have become
// cold meanwhile, so each is probed before it is used again.
func (c *control) takeOut(domain string, out bool, revision int64) bool {
	if !c.state.registry.TakeOut(domain, out) {
		return false
	}
	c.log.WithFields(logrus.Fields{"domain": domain, "out": out, "revision": revision}).Info("failure domain changed")
	return true
}

func (c *control) followVMs(ctx context.Context, store Store) {
	apply := func(_ time.Time, item storewatch.Item[discovery.VM]) bool {
		if item.Err != nil {
			return false
		}
		_, known := c.state.vms[item.Name]
		if item.Deleted {
			delete(c.state.vms, item.Name)
		} else {
			c.state.vms[item.Name] = item.Value
		}
		if known == item.Deleted {
			c.log.WithFields(logrus.Fields{"vm": item.Name, "domain": item.Value.Domain, "vms": len(c.state.vms), "revision": item.Revision}).Info("VMs changed")
			return true
		}
		return false
	}
	storewatch.Follow(ctx, store.VMs(), vmWatch, sink[discovery.VM]{ctx: ctx, control: c, kind: "VMs", apply: apply, listed: each(apply)})
}

// becameCold limits the requests to a replica that says it is cold.
func (c *control) becameCold(now time.Time, u *forward.Upstream, left time.Duration) bool {
	if c.state.table == nil {
		return false
	}
	service := c.state.table.Services[u.Member.Service]
	if service == nil {
		return false
	}
	c.log.WithFields(logrus.Fields{"replica": u.Member.ID, "service": service.Name, "cold_ms": left.Milliseconds()}).Info("replica is cold")
	c.state.cold(u, now.Add(left), service, c.state.vmNames())
	return false
}
