package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// resubscribeInterval is the time between attempts of a VM that watches the
	// store in place of others to subscribe again.
	resubscribeInterval = 1500 * time.Millisecond
	// bootstrapInterval is the pause between requests to the seed VMs of a VM
	// that is not ready yet. They are needed if the store is unavailable when
	// the VM starts.
	bootstrapInterval = 600 * time.Millisecond
	// seedWait is how long a VM that starts waits for seed VMs to name the others,
	// before it asks the store. Seeds that have lost power do not refuse a dial.
	seedWait = 200 * time.Millisecond
	// initialListTimeout bounds the first lists, in which the store may be slow.
	initialListTimeout = time.Second
	// registrationTime is the time after which a VM that has listed all objects asks
	// for the other VMs again: those that start together have registered by then.
	registrationTime = 900 * time.Millisecond
)

// updateSource chooses where this VM gets changes of configuration and replicas
// from: from the store, or from the feed of another VM that watches the store.
type updateSource struct {
	self discovery.VM
	// seeds returns the peer addresses of some VMs, which may be out of date.
	seeds      func() []string
	controller *controller
	dial       feed.DialFunc
	log        logrus.FieldLogger
	// confirmedAt is when the known state was last current. Only run uses it.
	confirmedAt time.Time
}

// run passes updates to the controller until ctx ends.
func (s *updateSource) run(ctx context.Context) {
	subscription := s.join(ctx)
	for ctx.Err() == nil {
		if subscription != nil {
			s.setWatchingStore(ctx, false)
			s.consume(ctx, subscription)
		}
		if subscription = s.awaitFeed(ctx); subscription == nil {
			subscription = s.watchStore(ctx)
		}
	}
}

// join gets the state of a VM that starts: from the feed of another VM if a seed VM
// names one, and else from the store. VMs that all start at the same time find no
// seed; each lists the objects once, and most then subscribe to those few that
// watch the store. The result is nil without a subscription.
func (s *updateSource) join(ctx context.Context) *feed.Subscription {
	if s.learnVMs(ctx) {
		if subscription := s.subscribe(ctx); subscription != nil {
			return subscription
		}
	}
	listCtx, cancel := context.WithTimeout(ctx, initialListTimeout)
	defer cancel()
	var lists errgroup.Group
	for _, t := range s.controller.topics {
		if !t.inBackground() {
			lists.Go(func() error { return t.listOnce(listCtx) })
		}
	}
	listedAt := time.Now()
	if lists.Wait() == nil {
		s.confirmedAt = listedAt
	}
	if wait.Sleep(ctx, registrationTime) {
		s.controller.topic(topicVMs).check(ctx)
	}
	return nil
}

// learnVMs asks the seed VMs for the entries of all VMs. It reports whether one
// has answered in time. What else seeds know may be out of date, and is not used.
func (s *updateSource) learnVMs(ctx context.Context) bool {
	answers := make(chan []wire.FeedTopic)
	ctx, cancel := context.WithTimeout(ctx, seedWait)
	defer cancel()
	for _, addr := range s.otherSeeds() {
		go func() {
			if all, err := s.fetch(ctx, addr); err == nil {
				select {
				case answers <- all:
				case <-ctx.Done():
				}
			}
		}()
	}
	select {
	case all := <-answers:
		vms := slices.DeleteFunc(slices.Clone(all), func(t wire.FeedTopic) bool { return t.Name != topicVMs })
		s.controller.post(ctx, func(now time.Time) bool { return s.controller.applyFeed(now, vms, time.Time{}) })
		return true
	case <-ctx.Done():
		return false
	}
}

// otherSeeds returns the seed addresses of other VMs.
func (s *updateSource) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(s.seeds()), func(addr string) bool { return addr == s.self.PeerAddr })
}

// fetch returns all objects that the VM at addr knows, current or not.
func (s *updateSource) fetch(ctx context.Context, addr string) ([]wire.FeedTopic, error) {
	subscription, all, err := feed.Subscribe(ctx, s.dial, addr, wire.FeedSubscribe{VM: s.self.Name, AcceptStale: true})
	if err != nil {
		s.log.WithFields(logrus.Fields{"addr": addr, "error": err}).Info("fetching objects from a seed VM failed")
		return nil, err
	}
	subscription.Close()
	s.log.WithField("addr", addr).Info("objects received from a seed VM")
	return all, nil
}

// awaitFeed subscribes to the feed of another VM. It returns nil if this VM has to
// watch the store itself, or ctx has ended.
func (s *updateSource) awaitFeed(ctx context.Context) *feed.Subscription {
	decision := standby{confirmedAt: s.confirmedAt}
	for ctx.Err() == nil && len(feed.SubscriptionCandidates(s.self, s.vms(ctx))) > 0 {
		if subscription := s.subscribe(ctx); subscription != nil {
			return subscription
		}
		if decision.shouldCheck(time.Now()) {
			answers := s.controller.topic(topicConfig).check(ctx)
			decision.checked(time.Now(), answers, rand.Float64())
		}
		if decision.mustWatch(time.Now()) {
			s.log.WithField("unconfirmed_ms", time.Since(s.confirmedAt).Milliseconds()).Info("no VM feeds this one: watching the store")
			return nil
		}
		wait.Sleep(ctx, decision.pause(time.Now()))
	}
	return nil
}

// watchStore watches the store until another VM accepts a subscription, which it
// returns. It tries to subscribe after each pause. The result is nil if ctx has
// ended.
func (s *updateSource) watchStore(ctx context.Context) *feed.Subscription {
	watchCtx, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stop()
	s.setWatchingStore(ctx, true)
	for _, t := range s.controller.topics {
		watchers.Go(func() { t.listAndWatch(watchCtx) })
	}
	for wait.Sleep(ctx, resubscribeInterval) {
		if subscription := s.subscribe(ctx); subscription != nil {
			return subscription
		}
	}
	return nil
}

// setWatchingStore tells the controller whether this VM watches the store.
func (s *updateSource) setWatchingStore(ctx context.Context, watching bool) {
	s.controller.post(ctx, func(now time.Time) bool { s.controller.setWatchingStore(now, watching); return false })
}

// subscribe subscribes to the feed of the best candidate that accepts. It
// returns nil if none does, or if this VM is one of those that watch the store.
func (s *updateSource) subscribe(ctx context.Context) *feed.Subscription {
	for _, vm := range feed.SubscriptionCandidates(s.self, s.vms(ctx)) {
		subscription, all, err := feed.Subscribe(ctx, s.dial, vm.PeerAddr, wire.FeedSubscribe{VM: s.self.Name})
		if err != nil {
			s.log.WithFields(logrus.Fields{"vm": vm.Name, "error": err}).Info("subscribing to the feed of a VM failed")
			continue
		}
		if s.isOlderEra(ctx, all) {
			s.log.WithField("vm", vm.Name).Info("feed of a VM not used: it does not know that the store has come back from an older copy")
			subscription.Close()
			continue
		}
		if lacks, _ := askState(ctx, s.controller, func(state *state) bool { return state.feedLacksTenants(all) }); lacks {
			s.log.WithField("vm", vm.Name).Warn("feed of a VM not used: its build does not pass tenants on")
			subscription.Close()
			continue
		}
		verifiedAt := subscription.VerifiedAt()
		s.confirmedAt = verifiedAt
		s.log.WithField("vm", vm.Name).Info("subscribed to the feed of a VM")
		s.controller.post(ctx, func(now time.Time) bool { return s.controller.applyFeed(now, all, verifiedAt) })
		return subscription
	}
	return nil
}

// isOlderEra reports whether the state of another VM is of an older era of the store
// than this VM knows.
func (s *updateSource) isOlderEra(ctx context.Context, all []wire.FeedTopic) bool {
	var newest int64
	for _, t := range all {
		newest = max(newest, t.Era)
	}
	known, _ := askState(ctx, s.controller, func(*state) int64 {
		var known int64
		for _, t := range s.controller.topics {
			known = max(known, t.position().Era)
		}
		return known
	})
	return newest > 0 && newest < known // 0: a VM of an older version, which does not know eras
}

// consume applies the updates of a feed until it ends.
func (s *updateSource) consume(ctx context.Context, subscription *feed.Subscription) {
	defer subscription.Close()
	stop := context.AfterFunc(ctx, subscription.Close)
	defer stop()
	for {
		topics, err := subscription.Next()
		if err != nil {
			s.log.WithField("error", err).Info("feed subscription ended")
			return
		}
		verifiedAt := subscription.VerifiedAt()
		s.confirmedAt = verifiedAt
		s.controller.post(ctx, func(now time.Time) bool {
			changed := s.controller.applyFeed(now, topics, verifiedAt)
			s.controller.confirmFeed(verifiedAt)
			return changed
		})
	}
}

// vms returns the known VMs by name, or nil when ctx ends.
func (s *updateSource) vms(ctx context.Context) map[string]discovery.VM {
	known, _ := askState(ctx, s.controller, func(s *state) map[string]discovery.VM { return maps.Clone(s.vms) })
	return known
}

// bootstrap asks the seed VMs repeatedly until this VM has become ready.
func (s *updateSource) bootstrap(ctx context.Context) {
	for wait.Sleep(ctx, bootstrapInterval) {
		select {
		case <-s.controller.readiness.becameReady:
			return
		default:
			s.bootstrapFromSeeds(ctx)
		}
	}
}

// bootstrapFromSeeds applies all objects that the seed VMs have. Those of one seed
// can be out of date; of each topic the newest revision stays.
func (s *updateSource) bootstrapFromSeeds(ctx context.Context) {
	var fetching sync.WaitGroup
	defer fetching.Wait()
	for _, addr := range s.otherSeeds() {
		fetching.Go(func() {
			if all, err := s.fetch(ctx, addr); err == nil {
				s.controller.post(ctx, func(now time.Time) bool { return s.controller.applyFeed(now, all, time.Time{}) })
			}
		})
	}
}
