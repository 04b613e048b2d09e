package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// eventQueueSize is the number of events that wait for the controller's goroutine.
	eventQueueSize = 1024
	// ownEntryWait is how long a VM that starts waits for the entries of all
	// VMs before it writes its own; most find it there and save the call.
	ownEntryWait = 400 * time.Millisecond
	// tickInterval is the interval of checks that depend on time alone.
	tickInterval = 100 * time.Millisecond
)

// controller owns the state and publishes a view after every change.
type controller struct {
	state     *state
	forwarder *forward.Forwarder
	prober    *prober
	readiness *readiness
	// ledger holds the requests that may crash replicas.
	ledger *poison.Ledger
	log    logrus.FieldLogger
	events chan func(now time.Time) (changed bool)
	hub    *feed.Hub
	gate   *storewatch.Breaker
	topics []anyTopic
	// isCoordinator is set while this VM does the work that one VM does
	// for all: removing the store entries of lost VMs and expired crash reports.
	isCoordinator atomic.Bool
	// ownEntryRemoved gets a value when the entry of this VM has been removed.
	ownEntryRemoved chan struct{}
	// failedTopics holds the topics whose last call failed.
	failedTopics map[string]bool
	// watchingStore tells that this VM follows the store itself.
	watchingStore bool
	// snapshots holds all objects for subscribers, nil after a change.
	snapshots []wire.FeedTopic
	// status is what other goroutines read of the two above.
	status atomic.Pointer[feed.Status]
}

func newController(s *state, f *forward.Forwarder, p *prober, r *readiness, ledger *poison.Ledger, store Store, log logrus.FieldLogger) *controller {
	c := &controller{
		state: s, forwarder: f, prober: p, readiness: r, ledger: ledger, log: log,
		events:       make(chan func(time.Time) bool, eventQueueSize),
		failedTopics: map[string]bool{},
		gate:         storewatch.NewBreaker(), ownEntryRemoved: make(chan struct{}, 1),
	}
	c.hub = feed.NewHub(c, log.WithField("part", "feed"))
	c.topics = c.newTopics(store)
	c.status.Store(&feed.Status{})
	return c
}

// run applies events until ctx ends. Events that wait together lead to one view.
func (c *controller) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
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
			changed = c.state.registry.ExpireMissing(now)
		}
		if changed {
			c.publish(time.Now())
		}
		c.updateStatus()
	}
}

// publish makes traffic use what is believed now.
func (c *controller) publish(now time.Time) {
	view := c.state.view(now)
	if view == nil {
		return
	}
	c.probeRestoredDomains(view)
	c.forwarder.SetView(view)
	c.prober.setView(view)
	if c.state.ready() {
		c.readiness.setReady()
	}
}

// probeRestoredDomains keeps requests from the replicas of a failure domain that has
// come back until each has said whether it is cold.
func (c *controller) probeRestoredDomains(view *forward.View) {
	if len(c.state.restoredDomains) == 0 {
		return
	}
	c.prober.setView(view)
	for _, group := range view.ReplicaSets {
		for _, u := range group.Upstreams {
			if c.state.restoredDomains[u.Member.Domain] {
				c.prober.ReplicaUnreachable(u, errs.Refuse(errs.UpstreamCold, "its failure domain has come back"))
			}
		}
	}
	clear(c.state.restoredDomains)
}

// post queues an event. It waits when the queue is full, so that no change is
// lost; traffic never posts.
func (c *controller) post(ctx context.Context, event func(time.Time) bool) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// storeCallFailed notes a failed call. Replicas whose entries lapse from now on
// are kept for a while.
func (c *controller) storeCallFailed(kind string, err error) {
	if errs.Is(err, errs.PlatformWatchGap) {
		c.log.WithFields(logrus.Fields{"kind": kind, "error": err}).Info("history gone, listing again")
		return
	}
	if !c.failedTopics[kind] {
		c.log.WithFields(logrus.Fields{"kind": kind, "error": err}).Warn("store lost")
	}
	c.failedTopics[kind] = true
	c.state.registry.MarkStoreUnreachable()
}

func (c *controller) storeCallSucceeded(now time.Time, kind string) {
	if !c.failedTopics[kind] {
		return
	}
	delete(c.failedTopics, kind)
	c.log.WithField("kind", kind).Info("store regained")
	if len(c.failedTopics) == 0 {
		c.state.registry.MarkStoreReachable(now)
	}
}

// setWatchingStore notes whether this VM follows the store itself. A VM that is fed
// relies on the feed, which ends when its sender loses the store.
func (c *controller) setWatchingStore(now time.Time, following bool) {
	c.watchingStore = following
	if !following && len(c.failedTopics) > 0 {
		clear(c.failedTopics)
		c.state.registry.MarkStoreReachable(now)
	}
}

func (c *controller) updateStatus() {
	status := feed.Status{WatchingStore: c.watchingStore, StoreUnreachable: len(c.failedTopics) > 0}
	for _, t := range c.topics {
		if at, urgent := t.verified(); urgent && (status.VerifiedAt.IsZero() || at.Before(status.VerifiedAt)) {
			status.VerifiedAt = at
		}
	}
	c.status.Store(&status)
}

// Status implements feed.Source.
func (c *controller) Status() feed.Status { return *c.status.Load() }

// WithCurrentState implements feed.Source.
func (c *controller) WithCurrentState(ctx context.Context, register func([]wire.FeedTopic)) bool {
	done := make(chan bool, 1)
	c.post(ctx, func(now time.Time) bool {
		all, ok := c.snapshot(now)
		if ok {
			register(all)
		}
		done <- ok
		return false
	})
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// snapshot returns all objects of all topics. Subscribers that join while
// nothing changes share one.
func (c *controller) snapshot(now time.Time) ([]wire.FeedTopic, bool) {
	if c.snapshots != nil {
		return c.snapshots, true
	}
	all := make([]wire.FeedTopic, 0, len(c.topics))
	for _, t := range c.topics {
		out, err := t.snapshot(now)
		if err != nil {
			c.log.WithFields(logrus.Fields{"kind": t.topicName(), "error": err}).Error("subscriber not served")
			return nil, false
		}
		all = append(all, out)
	}
	c.snapshots = all
	return all, true
}

// isRegistered reports whether the store has the entry of a VM, once the VMs
// are known or the wait for them was long enough.
func (c *controller) isRegistered(ctx context.Context, vm discovery.VM) bool {
	for deadline := time.Now().Add(ownEntryWait); time.Now().Before(deadline); {
		entry := make(chan bool, 1)
		c.post(ctx, func(time.Time) bool {
			entry <- c.state.vms[vm.Name] == vm
			return false
		})
		select {
		case same := <-entry:
			if same || !wait.Sleep(ctx, tickInterval) {
				return same
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// applyFeed takes in what another VM passes on.
func (c *controller) applyFeed(now time.Time, topics []wire.FeedTopic) bool {
	changed := false
	for _, in := range topics {
		for _, t := range c.topics {
			if t.topicName() == in.Name {
				changed = t.applyFeed(now, in) || changed
			}
		}
	}
	return changed
}

// replicaBecameCold limits the requests to a replica that says it is cold.
func (c *controller) replicaBecameCold(now time.Time, u *forward.Upstream, left time.Duration) bool {
	if c.state.table == nil {
		return false
	}
	service := c.state.table.Services[u.Member.Service]
	if service == nil {
		return false
	}
	c.log.WithFields(logrus.Fields{"replica": u.Member.ID, "service": service.Name, "cold_ms": left.Milliseconds()}).Info("replica is cold")
	c.state.limitColdReplica(u, now.Add(left), service, c.state.vmNames())
	return false
}
