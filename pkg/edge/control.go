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
	// queueLength is the number of events that wait for the control goroutine.
	queueLength = 1024
	// registerAfter is how long a VM that starts waits for the entries of all
	// VMs before it writes its own; most find it there and save the call.
	registerAfter = 400 * time.Millisecond
	// tickEvery is the interval of checks that depend on time alone.
	tickEvery = 100 * time.Millisecond
)

// control owns the state and publishes a view after every change.
type control struct {
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
	// unlisted gets a value when the entry of this VM has been removed.
	unlisted chan struct{}
	// away holds the topics whose last call failed.
	away map[string]bool
	// following tells that this VM follows the store itself.
	following bool
	// snapshots holds all objects for subscribers, nil after a change.
	snapshots []wire.FeedTopic
	// status is what other goroutines read of the two above.
	status atomic.Pointer[feed.Status]
}

func newControl(s *state, f *forward.Forwarder, p *prober, r *readiness, ledger *poison.Ledger, store Store, log logrus.FieldLogger) *control {
	c := &control{
		state: s, forwarder: f, prober: p, readiness: r, ledger: ledger, log: log,
		events: make(chan func(time.Time) bool, queueLength),
		away:   map[string]bool{},
		gate:   storewatch.NewBreaker(), unlisted: make(chan struct{}, 1),
	}
	c.hub = feed.NewHub(c, log.WithField("part", "feed"))
	c.topics = c.newTopics(store)
	c.status.Store(&feed.Status{})
	return c
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
			changed = c.state.registry.ExpireMissing(now)
		}
		if changed {
			c.publish(time.Now())
		}
		c.noteStatus()
	}
}

// publish makes traffic use what is believed now.
func (c *control) publish(now time.Time) {
	view := c.state.view(now)
	if view == nil {
		return
	}
	c.probeReturned(view)
	c.forwarder.SetView(view)
	c.prober.setView(view)
	if c.state.ready() {
		c.readiness.setReady()
	}
}

// probeReturned keeps requests from the replicas of a failure domain that has
// come back until each has said whether it is cold.
func (c *control) probeReturned(view *forward.View) {
	if len(c.state.returned) == 0 {
		return
	}
	c.prober.setView(view)
	for _, group := range view.ReplicaSets {
		for _, u := range group.Upstreams {
			if c.state.returned[u.Member.Domain] {
				c.prober.ReplicaUnreachable(u, errs.Refuse(errs.UpstreamCold, "its failure domain has come back"))
			}
		}
	}
	clear(c.state.returned)
}

// post queues an event. It waits when the queue is full, so that no change is
// lost; traffic never posts.
func (c *control) post(ctx context.Context, event func(time.Time) bool) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
		return false
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
	c.state.registry.MarkStoreUnreachable()
}

func (c *control) storeAnswered(now time.Time, kind string) {
	if !c.away[kind] {
		return
	}
	delete(c.away, kind)
	c.log.WithField("kind", kind).Info("store regained")
	if len(c.away) == 0 {
		c.state.registry.MarkStoreReachable(now)
	}
}

// setFollowing notes whether this VM follows the store itself. A VM that is fed
// relies on the feed, which ends when its sender loses the store.
func (c *control) setFollowing(now time.Time, following bool) {
	c.following = following
	if !following && len(c.away) > 0 {
		clear(c.away)
		c.state.registry.MarkStoreReachable(now)
	}
}

func (c *control) noteStatus() {
	status := feed.Status{WatchingStore: c.following, StoreUnreachable: len(c.away) > 0}
	for _, t := range c.topics {
		if at, urgent := t.verified(); urgent && (status.VerifiedAt.IsZero() || at.Before(status.VerifiedAt)) {
			status.VerifiedAt = at
		}
	}
	c.status.Store(&status)
}

// Status implements feed.Source.
func (c *control) Status() feed.Status { return *c.status.Load() }

// WithCurrentState implements feed.Source.
func (c *control) WithCurrentState(ctx context.Context, register func([]wire.FeedTopic)) bool {
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
func (c *control) snapshot(now time.Time) ([]wire.FeedTopic, bool) {
	if c.snapshots != nil {
		return c.snapshots, true
	}
	all := make([]wire.FeedTopic, 0, len(c.topics))
	for _, t := range c.topics {
		out, err := t.snapshot(now)
		if err != nil {
			c.log.WithFields(logrus.Fields{"kind": t.title(), "error": err}).Error("subscriber not served")
			return nil, false
		}
		all = append(all, out)
	}
	c.snapshots = all
	return all, true
}

// registered reports whether the store has the entry of a VM, once the VMs
// are known or the wait for them was long enough.
func (c *control) registered(ctx context.Context, vm discovery.VM) bool {
	for deadline := time.Now().Add(registerAfter); time.Now().Before(deadline); {
		entry := make(chan bool, 1)
		c.post(ctx, func(time.Time) bool {
			entry <- c.state.vms[vm.Name] == vm
			return false
		})
		select {
		case same := <-entry:
			if same || !wait.Sleep(ctx, tickEvery) {
				return same
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// takeFeed takes in what another VM passes on.
func (c *control) takeFeed(now time.Time, topics []wire.FeedTopic) bool {
	changed := false
	for _, in := range topics {
		for _, t := range c.topics {
			if t.title() == in.Name {
				changed = t.takeFeed(now, in) || changed
			}
		}
	}
	return changed
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
