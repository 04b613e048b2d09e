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
	// firstFollow is how long a VM that has just started follows the store
	// before it looks for a VM to subscribe to.
	firstFollow = 1500 * time.Millisecond
	// followAgain is the time between attempts of a VM that follows the store
	// in place of others to subscribe again.
	followAgain = 1500 * time.Millisecond
	// bootstrapEvery is the pause between rounds of a VM that knows nothing and
	// asks other VMs, because the store may be away just when it starts.
	bootstrapEvery = 300 * time.Millisecond
)

// supply decides where this VM learns of changes: from the store, or from
// another VM that follows the store.
type supply struct {
	self discovery.VM
	// seeds returns the addresses of some VMs.
	seeds   func() []string
	control *control
	dial    feed.DialFunc
	log     logrus.FieldLogger
}

// run keeps the control goroutine supplied until ctx ends. A VM that starts
// follows the store first: it answers in milliseconds, while dials of other VMs
// hang where all have lost power together.
func (s *supply) run(ctx context.Context) {
	for pause := firstFollow; ctx.Err() == nil; pause = followAgain {
		for fed := s.follow(ctx, pause); fed != nil; fed = s.subscribe(ctx) {
			s.setFollowing(ctx, false)
			s.consume(ctx, fed)
		}
	}
}

// follow follows the store until a subscription has begun. While there is none
// it looks for one after each pause.
func (s *supply) follow(ctx context.Context, pause time.Duration) *feed.Subscription {
	followCtx, stop := context.WithCancel(ctx)
	var following sync.WaitGroup
	defer following.Wait()
	defer stop()
	s.setFollowing(ctx, true)
	start := func(background bool) {
		for _, t := range s.control.topics {
			if t.inBackground() == background {
				following.Go(func() { t.follow(followCtx) })
			}
		}
	}
	start(false)
	for first := true; wait.Sleep(ctx, pause); first = false {
		if fed := s.subscribe(ctx); fed != nil {
			return fed
		}
		if first {
			start(true)
		}
	}
	return nil
}

func (s *supply) setFollowing(ctx context.Context, following bool) {
	s.control.post(ctx, func(now time.Time) bool { s.control.setFollowing(now, following); return false })
}

// subscribe opens the feed of the best VM that offers one, nil if this VM is
// to follow the store.
func (s *supply) subscribe(ctx context.Context) *feed.Subscription {
	for _, vm := range feed.SubscriptionCandidates(s.self, s.vms(ctx)) {
		fed, all, err := feed.Subscribe(ctx, s.dial, vm.PeerAddr, wire.FeedSubscribe{VM: s.self.Name})
		if err != nil {
			s.log.WithFields(logrus.Fields{"vm": vm.Name, "error": err}).Info("no feed")
			continue
		}
		s.log.WithField("vm", vm.Name).Info("fed")
		s.control.post(ctx, func(now time.Time) bool { return s.control.takeFeed(now, all) })
		return fed
	}
	return nil
}

// consume takes in changes until the feed ends.
func (s *supply) consume(ctx context.Context, fed *feed.Subscription) {
	defer fed.Close()
	stop := context.AfterFunc(ctx, fed.Close)
	defer stop()
	for {
		topics, err := fed.Next()
		if err != nil {
			s.log.WithField("error", err).Info("feed ended")
			return
		}
		if len(topics) > 0 {
			s.control.post(ctx, func(now time.Time) bool { return s.control.takeFeed(now, topics) })
		}
	}
}

// vms returns the VMs that are known.
func (s *supply) vms(ctx context.Context) map[string]discovery.VM {
	known := make(chan map[string]discovery.VM, 1)
	s.control.post(ctx, func(time.Time) bool { known <- maps.Clone(s.control.state.vms); return false })
	select {
	case vms := <-known:
		return vms
	case <-ctx.Done():
		return nil
	}
}

// bootstrap asks the seeds again and again while this VM knows nothing.
func (s *supply) bootstrap(ctx context.Context) {
	for wait.Sleep(ctx, bootstrapEvery) {
		select {
		case <-s.control.readiness.first:
			return
		default:
			s.askSeeds(ctx)
		}
	}
}

// askSeeds takes in what the first seed that answers knows.
func (s *supply) askSeeds(ctx context.Context) {
	for _, addr := range s.seeds() {
		if addr == s.self.PeerAddr {
			continue
		}
		fed, all, err := feed.Subscribe(ctx, s.dial, addr, wire.FeedSubscribe{VM: s.self.Name, AcceptStale: true})
		if err != nil {
			s.log.WithFields(logrus.Fields{"addr": addr, "error": err}).Info("seed has nothing")
			continue
		}
		fed.Close()
		s.log.WithField("addr", addr).Info("asked a seed")
		s.control.post(ctx, func(now time.Time) bool { return s.control.takeFeed(now, all) })
		return
	}
}
