package feed

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

func fleet(n int) map[string]discovery.VM {
	vms := map[string]discovery.VM{}
	for i := range n {
		name := fmt.Sprint("vm", i)
		vms[name] = discovery.VM{Name: name, PeerAddr: "a" + name, Domain: fmt.Sprint("d", i%4)}
	}
	return vms
}

// Guards against VMs that feed each other in a circle, so that none learns of
// changes, and against a number of followers that grows with the fleet.
func TestModelFeedsHaveNoCircles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "vms")
		vms := fleet(n)
		followers := 0
		before := map[string]map[string]bool{}
		for name, vm := range vms {
			candidates := SubscriptionCandidates(vm, vms)
			if len(candidates) == 0 {
				followers++
			}
			before[name] = map[string]bool{}
			for _, c := range candidates {
				assert.Assert(t, c.Name != name)
				before[name][c.Name] = true
			}
		}
		for a := range before {
			for b := range before[a] {
				assert.Assert(t, !before[b][a], "%s and %s may feed each other", a, b)
			}
		}
		assert.Equal(t, followers, min(n, Followers(n)))
	})
}

// Guards against subscribers that leave their failure domain without need.
func TestSubscriptionCandidatesOfOwnDomainComeFirst(t *testing.T) {
	vms := fleet(60)
	for _, vm := range vms {
		left := false
		for _, c := range SubscriptionCandidates(vm, vms) {
			assert.Assert(t, !left || c.Domain != vm.Domain)
			left = left || c.Domain != vm.Domain
		}
	}
}

// vm is the VM behind a hub.
type vm struct {
	mu     sync.Mutex
	status Status
	all    []wire.FeedTopic
}

func (v *vm) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}

func (v *vm) set(change func(*Status)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(&v.status)
}

func (v *vm) WithCurrentState(_ context.Context, register func([]wire.FeedTopic)) bool {
	register(v.all)
	return true
}

// serve starts a hub and returns its address.
func serve(t *testing.T, v *vm) (*Hub, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHub(v, log)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); assert.Check(t, <-done == nil) })
	return h, l.Addr().String()
}

func subscribe(t *testing.T, addr string, any bool) (*Subscription, []wire.FeedTopic, error) {
	t.Helper()
	dial := (&net.Dialer{}).DialContext
	s, all, err := Subscribe(t.Context(), dial, addr, wire.FeedSubscribe{VM: "s", AcceptStale: any})
	if err == nil {
		t.Cleanup(s.Close)
	}
	return s, all, err
}

func topics(name string, revision int64) []wire.FeedTopic {
	return []wire.FeedTopic{{Name: name, Revision: revision}}
}

// next returns the next update that is not a beat.
func next(t *testing.T, s *Subscription) []wire.FeedTopic {
	t.Helper()
	for {
		got, err := s.Next()
		assert.NilError(t, err)
		if len(got) > 0 {
			return got
		}
	}
}

// Guards against a subscriber that misses what was known before it joined, or
// a change after that.
func TestSubscriberGetsEverything(t *testing.T) {
	v := &vm{status: Status{WatchingStore: true, VerifiedAt: time.Now().Add(time.Hour)}, all: topics("all", 5)}
	h, addr := serve(t, v)
	s, all, err := subscribe(t, addr, false)
	assert.NilError(t, err)
	assert.Equal(t, all[0].Revision, int64(5))
	for revision := int64(6); revision < 20; revision++ {
		h.Publish(wire.FeedTopic{Name: "change", Revision: revision})
		assert.Equal(t, next(t, s)[0].Revision, revision)
	}
}

// Guards against a subscriber that relies on a VM which has lost the store, or
// was not confirmed by it for too long: it would hold an old configuration.
func TestFeedEndsWhenItsSenderIsStale(t *testing.T) {
	for name, spoil := range map[string]func(*Status){
		"away":          func(s *Status) { s.StoreUnreachable = true },
		"not confirmed": func(s *Status) { s.VerifiedAt = time.Now().Add(-maxUnverified) },
	} {
		v := &vm{status: Status{WatchingStore: true, VerifiedAt: time.Now().Add(time.Hour)}, all: topics("all", 5)}
		_, addr := serve(t, v)
		s, _, err := subscribe(t, addr, false)
		assert.NilError(t, err)
		v.set(spoil)
		for err == nil {
			_, err = s.Next()
		}
		assert.Assert(t, errs.Is(err, errs.StaleView), "%s: %v", name, err)
		_, _, err = subscribe(t, addr, false)
		assert.Assert(t, err != nil, name)
	}
}

// Guards against a VM that starts while the store is away and finds no VM that
// tells it anything.
func TestAnyVMServesOneThatKnowsNothing(t *testing.T) {
	v := &vm{status: Status{StoreUnreachable: true}, all: topics("all", 5)}
	_, addr := serve(t, v)
	_, _, err := subscribe(t, addr, false)
	assert.Assert(t, err != nil)
	_, all, err := subscribe(t, addr, true)
	assert.NilError(t, err)
	assert.Equal(t, all[0].Revision, int64(5))
}

// Guards against one VM that holds all that it knows for a whole fleet at once.
func TestSubscribersAreBounded(t *testing.T) {
	v := &vm{status: Status{WatchingStore: true, VerifiedAt: time.Now().Add(time.Hour)}, all: topics("all", 5)}
	h, addr := serve(t, v)
	for range maxSubscribers {
		_, _, err := subscribe(t, addr, false)
		assert.NilError(t, err)
	}
	assert.Equal(t, h.Subscribers(), maxSubscribers)
	_, _, err := subscribe(t, addr, false)
	assert.Assert(t, err != nil)
}

// Guards against a subscription to a VM that has stopped without a word.
func TestSilentFeedEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = wire.Write(c, 0, &wire.FeedUpdate{Topics: topics("all", 1)}, frameLimit)
		_, _, _ = wire.NewReader(c, frameLimit).Next() // the subscription
		_, _ = c.Read(make([]byte, 1))                 // waits for the close
	}()
	s, _, err := subscribe(t, l.Addr().String(), false)
	assert.NilError(t, err)
	_, err = s.Next()
	assert.Assert(t, errs.Is(err, errs.PeerLost), "%v", err)
}
