package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// initialWatchTime is how long a VM that has just started watches the store
	// before it tries to subscribe to the feed of another VM.
	initialWatchTime = 1500 * time.Millisecond
	// resubscribeInterval is the time between attempts to subscribe again after a
	// feed was lost. Until one succeeds, the VM watches the store.
	resubscribeInterval = 1500 * time.Millisecond
	// bootstrapInterval is the pause between requests to the seed VMs of a VM
	// that is not ready yet. They are needed if the store is unavailable when
	// the VM starts.
	bootstrapInterval = 300 * time.Millisecond
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
}

// run passes updates to the controller until ctx ends. A VM that starts watches
// the store first: the store answers in milliseconds, while dials of other VMs
// hang until they time out if all VMs have lost power together.
func (s *updateSource) run(ctx context.Context) {
	for pause := initialWatchTime; ctx.Err() == nil; pause = resubscribeInterval {
		for subscription := s.watchStore(ctx, pause); subscription != nil; subscription = s.subscribe(ctx) {
			s.setWatchingStore(ctx, false)
			s.consume(ctx, subscription)
		}
	}
}

// watchStore watches the store until another VM accepts a subscription, which it
// returns. It tries to subscribe after each pause. Background topics are
// watched only after the first attempt has failed. The result is nil if ctx has
// ended.
func (s *updateSource) watchStore(ctx context.Context, pause time.Duration) *feed.Subscription {
	watchCtx, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stop()
	s.setWatchingStore(ctx, true)
	start := func(background bool) {
		for _, t := range s.controller.topics {
			if t.inBackground() == background {
				watchers.Go(func() { t.listAndWatch(watchCtx) })
			}
		}
	}
	start(false)
	for first := true; wait.Sleep(ctx, pause); first = false {
		if subscription := s.subscribe(ctx); subscription != nil {
			return subscription
		}
		if first {
			start(true)
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
		s.log.WithField("vm", vm.Name).Info("subscribed to the feed of a VM")
		s.controller.post(ctx, func(now time.Time) bool { return s.controller.applyFeed(now, all) })
		return subscription
	}
	return nil
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
		if len(topics) > 0 {
			s.controller.post(ctx, func(now time.Time) bool { return s.controller.applyFeed(now, topics) })
		}
	}
}

// vms returns the known VMs by name, or nil when ctx ends.
func (s *updateSource) vms(ctx context.Context) map[string]discovery.VM {
	known := make(chan map[string]discovery.VM, 1)
	s.controller.post(ctx, func(time.Time) bool { known <- maps.Clone(s.controller.state.vms); return false })
	select {
	case vms := <-known:
		return vms
	case <-ctx.Done():
		return nil
	}
}

// bootstrap asks the seed VMs repeatedly until this VM has become ready.
func (s *updateSource) bootstrap(ctx context.Context) {
	for wait.Sleep(ctx, bootstrapInterval) {
		select {
		case <-s.controller.readiness.becameReady:
			return
		default:
			s.bootstrapFromSeed(ctx)
		}
	}
}

// bootstrapFromSeed applies all objects that the first seed VM that answers has.
func (s *updateSource) bootstrapFromSeed(ctx context.Context) {
	for _, addr := range s.seeds() {
		if addr == s.self.PeerAddr {
			continue
		}
		subscription, all, err := feed.Subscribe(ctx, s.dial, addr, wire.FeedSubscribe{VM: s.self.Name, AcceptStale: true})
		if err != nil {
			s.log.WithFields(logrus.Fields{"addr": addr, "error": err}).Info("fetching objects from a seed VM failed")
			continue
		}
		subscription.Close()
		s.log.WithField("addr", addr).Info("objects received from a seed VM")
		s.controller.post(ctx, func(now time.Time) bool { return s.controller.applyFeed(now, all) })
		return
	}
}
