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

// Guards against VMs that subscribe to each other, so that neither learns of
// changes, and against more VMs than WatcherCount that watch the store.
func TestModelNoTwoVMsSubscribeToEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "vms")
		vms := fleet(n)
		watchers := 0
		candidatesOf := map[string]map[string]bool{}
		for name, vm := range vms {
			candidates := SubscriptionCandidates(vm, vms)
			if len(candidates) == 0 {
				watchers++
			}
			candidatesOf[name] = map[string]bool{}
			for _, c := range candidates {
				assert.Assert(t, c.Name != name)
				candidatesOf[name][c.Name] = true
			}
		}
		for a := range candidatesOf {
			for b := range candidatesOf[a] {
				assert.Assert(t, !candidatesOf[b][a], "%s and %s may subscribe to each other", a, b)
			}
		}
		assert.Equal(t, watchers, min(n, WatcherCount(n)))
	})
}

// Guards against subscriptions to another failure domain while the own one has
// candidates.
func TestSubscriptionCandidatesOfOwnDomainComeFirst(t *testing.T) {
	vms := fleet(60)
	for _, vm := range vms {
		otherDomain := false
		for _, c := range SubscriptionCandidates(vm, vms) {
			assert.Assert(t, !otherDomain || c.Domain != vm.Domain)
			otherDomain = otherDomain || c.Domain != vm.Domain
		}
	}
}

// fakeSource is the VM of a hub in tests.
type fakeSource struct {
	mu     sync.Mutex
	status Status
	state  []wire.FeedTopic
}

func (f *fakeSource) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

func (f *fakeSource) set(change func(*Status)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.status)
}

func (f *fakeSource) WithCurrentState(_ context.Context, register func([]wire.FeedTopic)) bool {
	register(f.state)
	return true
}

// serve starts a hub and returns it with its address.
func serve(t *testing.T, source *fakeSource) (*Hub, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHub(source, log)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- acceptSubscribers(ctx, h, l) }()
	t.Cleanup(func() { cancel(); _ = l.Close(); assert.Check(t, <-done == nil) })
	return h, l.Addr().String()
}

// acceptSubscribers serves connections until ctx ends, as the VM of a hub does.
func acceptSubscribers(ctx context.Context, h *Hub, l net.Listener) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		running.Go(func() {
			defer c.Close()
			if _, m, err := wire.NewReader(c, maxFrameBytes).Next(); err == nil {
				h.Serve(ctx, c, m.(*wire.FeedSubscribe))
			}
		})
	}
}

func subscribe(t *testing.T, addr string, acceptStale bool) (*Subscription, []wire.FeedTopic, error) {
	t.Helper()
	dial := (&net.Dialer{}).DialContext
	s, state, err := Subscribe(t.Context(), dial, addr, wire.FeedSubscribe{VM: "s", AcceptStale: acceptStale})
	if err == nil {
		t.Cleanup(s.Close)
	}
	return s, state, err
}

func topicAt(name string, revision int64) []wire.FeedTopic {
	return []wire.FeedTopic{{Name: name, Revision: revision}}
}

// nextChange returns the next update that is not a heartbeat.
func nextChange(t *testing.T, s *Subscription) []wire.FeedTopic {
	t.Helper()
	for {
		got, err := s.Next()
		assert.NilError(t, err)
		if len(got) > 0 {
			return got
		}
	}
}

// Guards against a subscriber that misses the state before its subscription or a
// change after it.
func TestSubscriberGetsEverything(t *testing.T) {
	source := &fakeSource{status: Status{WatchingStore: true, VerifiedAt: time.Now().Add(time.Hour)}, state: topicAt("all", 5)}
	h, addr := serve(t, source)
	s, state, err := subscribe(t, addr, false)
	assert.NilError(t, err)
	assert.Equal(t, state[0].Revision, int64(5))
	for revision := int64(6); revision < 20; revision++ {
		h.Publish(wire.FeedTopic{Name: "change", Revision: revision})
		assert.Equal(t, nextChange(t, s)[0].Revision, revision)
	}
}

// Guards against a subscriber that keeps an old configuration because its sender
// cannot reach the store, or has not been confirmed by it for too long.
func TestFeedEndsWhenItsSenderIsStale(t *testing.T) {
	for name, makeStale := range map[string]func(*Status){
		"store unreachable": func(s *Status) { s.StoreUnreachable = true },
		"not confirmed":     func(s *Status) { s.VerifiedAt = time.Now().Add(-maxVerificationAge) },
	} {
		source := &fakeSource{status: Status{WatchingStore: true, VerifiedAt: time.Now().Add(time.Hour)}, state: topicAt("all", 5)}
		_, addr := serve(t, source)
		s, _, err := subscribe(t, addr, false)
		assert.NilError(t, err)
		source.set(makeStale)
		for err == nil {
			_, err = s.Next()
		}
		assert.Assert(t, errs.Is(err, errs.StaleView), "%s: %v", name, err)
		_, _, err = subscribe(t, addr, false)
		assert.Assert(t, err != nil, name)
	}
}

// Guards against a VM that starts while the store is unreachable and gets the
// state from no other VM.
func TestAnyVMServesOneThatAcceptsStaleState(t *testing.T) {
	source := &fakeSource{status: Status{StoreUnreachable: true}, state: topicAt("all", 5)}
	_, addr := serve(t, source)
	_, _, err := subscribe(t, addr, false)
	assert.Assert(t, err != nil)
	_, state, err := subscribe(t, addr, true)
	assert.NilError(t, err)
	assert.Equal(t, state[0].Revision, int64(5))
}

// Guards against a VM whose memory grows with the number of VMs that subscribe at
// the same time.
func TestSubscribersAreBounded(t *testing.T) {
	source := &fakeSource{status: Status{WatchingStore: true, VerifiedAt: time.Now().Add(time.Hour)}, state: topicAt("all", 5)}
	h, addr := serve(t, source)
	for range maxSubscribers {
		_, _, err := subscribe(t, addr, false)
		assert.NilError(t, err)
	}
	assert.Equal(t, h.Subscribers(), maxSubscribers)
	_, _, err := subscribe(t, addr, false)
	assert.Assert(t, err != nil)
}

// Guards against a subscription that stays open after its sender has stopped
// without closing the connection.
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
		_ = wire.Write(c, 0, &wire.FeedUpdate{Topics: topicAt("all", 1)}, maxFrameBytes)
		_, _, _ = wire.NewReader(c, maxFrameBytes).Next() // the subscription
		_, _ = c.Read(make([]byte, 1))                    // waits for the close
	}()
	s, _, err := subscribe(t, l.Addr().String(), false)
	assert.NilError(t, err)
	_, err = s.Next()
	assert.Assert(t, errs.Is(err, errs.PeerLost), "%v", err)
}
