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
	// eventQueueSize is the number of events that can wait for the controller's
	// goroutine.
	eventQueueSize = 1024
	// ownEntryWait is how long a VM that starts waits for the entries of all VMs
	// before it writes its own. Most VMs find their entry from before a restart
	// and save the call.
	ownEntryWait = 400 * time.Millisecond
	// tickInterval is the interval of checks that depend only on time.
	tickInterval = 100 * time.Millisecond
)

// controller owns the state of this VM. Its goroutine applies events to the
// state one at a time and gives the forwarder and the prober a new view after
// changes.
type controller struct {
	state     *state
	forwarder *forward.Forwarder
	prober    *prober
	readiness *readiness
	// ledger counts the replica crashes that each request may have caused.
	ledger *poison.Ledger
	log    logrus.FieldLogger
	// events holds the functions that the controller's goroutine runs. Each
	// reports whether the view changes.
	events       chan func(now time.Time) (changed bool)
	hub          *feed.Hub
	storeBreaker *storewatch.Breaker
	topics       []anyTopic
	// isCoordinator is set while this VM does the work that one VM does for all:
	// removing the store entries of lost VMs and expired crash reports.
	isCoordinator atomic.Bool
	// ownEntryRemoved receives a value when the store entry of this VM was
	// removed.
	ownEntryRemoved chan struct{}
	// failedTopics holds the names of the topics whose last store call failed.
	failedTopics map[string]bool
	// watchingStore is set while this VM watches the store itself and is not
	// subscribed to a feed.
	watchingStore bool
	// configConfirmed is set while the configuration, which has tenants, is known to be
	// current.
	configConfirmed bool
	// snapshots caches the encoded objects of all topics for new subscribers. It
	// is nil after a change.
	snapshots []wire.FeedTopic
	// onLostCrash and onLostLimit are called for reports that the store has lost. They
	// may be nil.
	onLostCrash func(discovery.Crash)
	onLostLimit func(*forward.Upstream)
	// status is the latest feed status, for use by other goroutines.
	status atomic.Pointer[feed.Status]
}

func newController(s *state, f *forward.Forwarder, p *prober, r *readiness, ledger *poison.Ledger, store Store, log logrus.FieldLogger) *controller {
	c := &controller{
		state: s, forwarder: f, prober: p, readiness: r, ledger: ledger, log: log,
		events:       make(chan func(time.Time) bool, eventQueueSize),
		failedTopics: map[string]bool{},
		storeBreaker: storewatch.NewBreaker(), ownEntryRemoved: make(chan struct{}, 1),
	}
	p.hear = f.Hear
	c.hub = feed.NewHub(c, log.WithField("part", "feed"))
	c.topics = c.newTopics(store)
	c.status.Store(&feed.Status{})
	return c
}

// run applies events until ctx ends. Events that are waiting at the same time
// lead to one new view.
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
			changed = c.advance(now)
		}
		if changed {
			c.publish(time.Now())
		}
		c.updateStatus()
	}
}

// advance makes the changes that depend only on time. It reports whether the view
// changes.
func (c *controller) advance(now time.Time) bool {
	changed := c.state.registry.ExpireMissing(now)
	changed = c.state.registry.ReleaseWithheld(now) || changed
	for _, t := range c.topics {
		changed = t.removeUnlisted(now) || changed
	}
	return c.takeRestoredConfig(now) || changed
}

// publish builds a new view and gives it to the prober and the forwarder. The
// first complete one makes the VM ready.
func (c *controller) publish(now time.Time) {
	view := c.state.view(now)
	if view == nil {
		return
	}
	c.probeRestoredDomains(view)
	c.prober.setView(view)
	c.forwarder.SetView(view)
	if c.state.ready() {
		c.readiness.setReady()
	}
}

// probeRestoredDomains marks the replicas of failure domains that were put back
// into service as unreachable, so that each gets requests only after a probe has
// shown whether it is cold.
func (c *controller) probeRestoredDomains(view *forward.View) {
	if len(c.state.restoredDomains) == 0 {
		return
	}
	c.prober.setView(view)
	for _, replicaSet := range view.ReplicaSets {
		for _, u := range replicaSet.Upstreams {
			if c.state.restoredDomains[u.Member.Domain] {
				c.prober.ReplicaUnreachable(u, errs.Refuse(errs.UpstreamCold, "its failure domain has come back"))
			}
		}
	}
	clear(c.state.restoredDomains)
}

// post queues an event. It blocks while the queue is full, so that no change is
// lost. The handling of requests never posts. The result is false if ctx has
// ended.
func (c *controller) post(ctx context.Context, event func(time.Time) bool) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// askState runs f on the controller's goroutine and returns its result, false if ctx
// has ended.
func askState[T any](ctx context.Context, c *controller, f func(s *state) T) (T, bool) {
	result := make(chan T, 1)
	c.post(ctx, func(time.Time) bool { result <- f(c.state); return false })
	select {
	case r := <-result:
		return r, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// storeCallFailed records a failed store call. Until the store answers again,
// and for a grace period after that, replicas whose entries are deleted stay
// usable. A gap in the watch history does not count, because the store did
// answer.
func (c *controller) storeCallFailed(topicName string, err error) {
	if errs.Is(err, errs.PlatformWatchGap) {
		c.log.WithFields(logrus.Fields{"kind": topicName, "error": err}).Info("watch history has a gap: listing all objects again")
		return
	}
	if !c.failedTopics[topicName] {
		c.log.WithFields(logrus.Fields{"kind": topicName, "error": err}).Warn("store call failed: keeping the known objects")
	}
	c.failedTopics[topicName] = true
	c.state.registry.MarkStoreUnreachable()
}

// storeCallSucceeded records a successful store call. The store counts as
// reachable when no topic has failed last.
func (c *controller) storeCallSucceeded(now time.Time, topicName string) {
	if !c.failedTopics[topicName] {
		return
	}
	delete(c.failedTopics, topicName)
	c.log.WithField("kind", topicName).Info("store call succeeded again")
	if len(c.failedTopics) == 0 {
		c.state.registry.MarkStoreReachable(now)
	}
}

// setWatchingStore records whether this VM watches the store itself. For a VM
// that is subscribed to a feed, earlier failures of its own store calls do not
// count: the feed ends if its sender can no longer reach the store.
func (c *controller) setWatchingStore(now time.Time, watching bool) {
	c.watchingStore = watching
	if !watching && len(c.failedTopics) > 0 {
		clear(c.failedTopics)
		c.state.registry.MarkStoreReachable(now)
	}
}

// updateStatus stores the status for the feed. Its VerifiedAt is that of the
// urgent topic that was confirmed least recently.
func (c *controller) updateStatus() {
	status := feed.Status{WatchingStore: c.watchingStore, StoreUnreachable: len(c.failedTopics) > 0}
	first := true
	for _, t := range c.topics {
		if at, urgent := t.verified(); urgent && (first || at.Before(status.VerifiedAt)) {
			status.VerifiedAt, first = at, false
		}
	}
	c.status.Store(&status)
	c.updateConfigState(time.Now())
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

// snapshot returns the encoded objects of all topics. Subscribers that join
// while nothing changes share one snapshot.
func (c *controller) snapshot(now time.Time) ([]wire.FeedTopic, bool) {
	if c.snapshots != nil {
		return c.snapshots, true
	}
	all := make([]wire.FeedTopic, 0, len(c.topics))
	for _, t := range c.topics {
		out, err := t.snapshot(now)
		if err != nil {
			c.log.WithFields(logrus.Fields{"kind": t.topicName(), "error": err}).Error("feed subscriber not served: encoding the objects failed")
			return nil, false
		}
		all = append(all, out)
	}
	c.snapshots = all
	return all, true
}

// isRegistered reports whether the store has the given entry of a VM. It waits
// up to ownEntryWait for the entry to become known.
func (c *controller) isRegistered(ctx context.Context, vm discovery.VM) bool {
	for deadline := time.Now().Add(ownEntryWait); time.Now().Before(deadline); {
		same, _ := askState(ctx, c, func(s *state) bool { return s.vms[vm.Name] == vm })
		if same || !wait.Sleep(ctx, tickInterval) {
			return same
		}
	}
	return false
}

// applyFeed applies the objects that another VM has sent. The store had confirmed them at
// verifiedAt, zero if that is not known. It reports whether the view changes.
func (c *controller) applyFeed(now time.Time, topics []wire.FeedTopic, verifiedAt time.Time) bool {
	changed := false
	for _, in := range topics {
		for _, t := range c.topics {
			if t.topicName() == in.Name {
				changed = t.applyFeed(now, in, verifiedAt) || changed
			}
		}
	}
	return changed
}

// replicaBecameCold limits the requests to a replica that reports itself cold.
// The view does not change.
func (c *controller) replicaBecameCold(now time.Time, u *forward.Upstream, left time.Duration) bool {
	if c.state.table() == nil {
		return false
	}
	service := c.state.table().Services[u.Member.Service]
	if service == nil {
		return false
	}
	c.log.WithFields(logrus.Fields{"replica": u.Member.ID, "service": service.Name, "cold_ms": left.Milliseconds()}).Info("replica is cold: limiting its requests")
	c.state.limitColdReplica(u, now.Add(left), service, c.state.vmNames())
	return false
}
