package claim

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// memoryStore is a platform in memory. It can be slow or down, and can lose the
// replies to updates that took effect.
type memoryStore struct {
	mu      sync.Mutex
	latency time.Duration
	down    bool
	// repliesToLose is the number of further updates whose reply is lost.
	repliesToLose int
	// version is the version of the last update of any object.
	version int
	objects map[string]platform.Object
	puts    int
	gets    int
	// conflicts counts the updates that were refused because of their condition.
	conflicts    int
	bytesWritten int
}

func newMemoryStore(latency time.Duration) *memoryStore {
	return &memoryStore{latency: latency, objects: map[string]platform.Object{}}
}

// withLock calls f, which changes the fields of the store.
func (s *memoryStore) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// wait waits for the latency of one call.
func (s *memoryStore) wait(ctx context.Context) error {
	timer := time.NewTimer(s.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errs.Ambiguous(errs.PlatformDown, "%v", ctx.Err())
	}
}

func (s *memoryStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.wait(ctx); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	o, ok := s.objects[key]
	switch {
	case s.down:
		return o, errs.Refuse(errs.PlatformDown, "down")
	case !ok:
		return o, errs.Refuse(errs.PlatformNotFound, "no object %s", key)
	}
	return o, nil
}

func (s *memoryStore) Put(ctx context.Context, key string, value []byte, c platform.Condition) (string, error) {
	if err := s.wait(ctx); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return "", errs.Refuse(errs.PlatformDown, "down")
	}
	s.puts++
	s.bytesWritten += len(value)
	o, ok := s.objects[key]
	if (c.Absent && ok) || (c.Match != "" && c.Match != o.Version) {
		s.conflicts++
		return "", errs.Refuse(errs.PlatformConflict, "version is %s", o.Version)
	}
	s.version++
	version := strconv.Itoa(s.version)
	s.objects[key] = platform.Object{Key: key, Value: value, Version: version}
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return "", errs.Ambiguous(errs.PlatformDown, "reply lost")
	}
	return version, nil
}

func (s *memoryStore) Delete(context.Context, string, platform.Condition) error { return nil }

func (s *memoryStore) List(context.Context, string) ([]platform.Object, error) { return nil, nil }

func (s *memoryStore) Watch(context.Context, string, uint64, time.Duration) (platform.WatchResult, error) {
	return platform.WatchResult{}, nil
}

func (s *memoryStore) VMs(context.Context) ([]model.VM, error) { return nil, nil }

// testTier connects the claim services of several VMs in memory.
type testTier struct {
	store    *memoryStore
	view     *model.View
	services map[model.VMID]*Service
	mu       sync.Mutex
	// silent VMs accept requests and never reply.
	silent map[model.VMID]bool
	// unreachable VMs refuse requests.
	unreachable   map[model.VMID]bool
	streamsOpened int
}

func (t *testTier) Current() *model.View { return t.view }

// newTier starts VMs vm0, vm1 and so on. The owner of every partition is vm0.
func newTier(vms int, store *memoryStore, partitions int) *testTier {
	t := &testTier{store: store, services: map[model.VMID]*Service{}, silent: map[model.VMID]bool{}, unreachable: map[model.VMID]bool{}}
	t.view = &model.View{Config: &model.Document{}, VMs: map[model.VMID]model.VM{}}
	t.view.Config.Tier.ClaimPartitions = partitions
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range vms {
		vm := model.VM{ID: model.VMID("vm" + strconv.Itoa(i))}
		t.view.VMs[vm.ID] = vm
		t.services[vm.ID] = New(Config{
			Self: vm, View: t, Store: store, Log: log, Transport: memoryTransport{t, vm.ID},
			Rank: func(string, []model.VM) []model.VMID { return []model.VMID{"vm0"} },
		})
	}
	return t
}

func (t *testTier) close() {
	for _, s := range t.services {
		s.Close()
	}
}

// memoryTransport is the transport of one VM of a testTier.
type memoryTransport struct {
	tier *testTier
	from model.VMID
}

func (t memoryTransport) Notify(context.Context, model.VM, wire.Message) error { return nil }

func (t memoryTransport) Open(_ context.Context, to model.VM, m wire.Message) (wire.Stream, error) {
	t.tier.mu.Lock()
	defer t.tier.mu.Unlock()
	t.tier.streamsOpened++
	if t.tier.unreachable[to.ID] {
		return nil, errs.Refuse(errs.PeerUnreachable, "unreachable")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &memoryStream{replies: make(chan wire.Message, 4), close: cancel}
	if t.tier.silent[to.ID] {
		return s, nil
	}
	go t.tier.services[to.ID].Handle(ctx, t.from, m, nil, func(r wire.Message) error {
		s.replies <- r
		return nil
	})
	return s, nil
}

// memoryStream carries the replies of one VM to one request.
type memoryStream struct {
	replies chan wire.Message
	close   func()
}

func (s *memoryStream) Send(wire.Message) error { return nil }
func (s *memoryStream) Close()                  { s.close() }

func (s *memoryStream) Recv(ctx context.Context) (wire.Message, error) {
	select {
	case m := <-s.replies:
		return m, nil
	case <-ctx.Done():
		return nil, errs.Ambiguous(errs.PeerLost, "%v", ctx.Err())
	}
}

// request returns a request with the key whose deadline is timeout from now.
func request(key string, timeout time.Duration) Request {
	return Request{Service: "trips", Key: key, Fingerprint: 1, Deadline: time.Now().Add(timeout)}
}
