package edge

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/quota"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

// storeLatency is the time of a call to a memoryStore.
const storeLatency = 4 * time.Millisecond

// memoryStore is a store in memory that can come back from an older copy.
type memoryStore struct {
	mu      sync.Mutex
	content storeContent
	down    bool
	// loseReplies makes conditional writes take place without an answer.
	loseReplies   bool
	rolloutWrites atomic.Int64
	// slow is added to the time of conditional writes.
	slow time.Duration
	// changed is closed and replaced when waiting watches must look again.
	changed chan struct{}
}

type storeContent struct {
	era, revision int64
	objects       map[string]map[string]storedObject
	history       []storedChange
}

type storedObject struct {
	revision int64
	value    any
}

type storedChange struct {
	kind, name string
	object     storedObject
	deleted    bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{content: storeContent{era: 1, objects: map[string]map[string]storedObject{}}, changed: make(chan struct{})}
}

func (s *memoryStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object; a nil value deletes it.
func (s *memoryStore) put(kind, name string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.content
	c.revision++
	o := storedObject{c.revision, value}
	if c.objects[kind] == nil {
		c.objects[kind] = map[string]storedObject{}
	}
	if value == nil {
		delete(c.objects[kind], name)
	} else {
		c.objects[kind][name] = o
	}
	c.history = append(c.history, storedChange{kind, name, o, value == nil})
	s.wake()
}

// copied returns a copy of what the store holds.
func (s *memoryStore) copied() storeContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content
	c.objects = map[string]map[string]storedObject{}
	for kind, objects := range s.content.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	c.history = append([]storedChange(nil), c.history...)
	return c
}

// setDown makes all calls fail, also those that wait.
func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore replaces what the store holds by a copy, in the next era.
func (s *memoryStore) restore(c storeContent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.era = s.content.era + 1
	s.content = c
	s.wake()
}

func (s *memoryStore) write(kind, name string, value any) error {
	time.Sleep(storeLatency)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return errs.Ambiguous(errs.PlatformDown, "down")
	}
	s.put(kind, name, value)
	return nil
}

// memorySource reads the objects of one kind.
type memorySource[T any] struct {
	store *memoryStore
	kind  string
}

func (m memorySource[T]) item(name string, o storedObject, deleted bool) storewatch.Item[T] {
	item := storewatch.Item[T]{Name: name, Revision: o.revision, Deleted: deleted}
	if !deleted {
		item.Value = o.value.(T)
	}
	return item
}

func (m memorySource[T]) List(ctx context.Context) (storewatch.Batch[T], error) {
	wait.Sleep(ctx, storeLatency)
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	if m.store.down {
		return storewatch.Batch[T]{}, errs.Ambiguous(errs.PlatformDown, "down")
	}
	c := m.store.content
	batch := storewatch.Batch[T]{Position: storewatch.Position{Era: c.era, Revision: c.revision}}
	for name, o := range c.objects[m.kind] {
		batch.Items = append(batch.Items, m.item(name, o, false))
	}
	return batch, nil
}

func (m memorySource[T]) Watch(ctx context.Context, after int64, maxWait time.Duration) (storewatch.Batch[T], error) {
	wait.Sleep(ctx, storeLatency)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for expired := false; ; {
		m.store.mu.Lock()
		c, down, changed := m.store.content, m.store.down, m.store.changed
		batch := storewatch.Batch[T]{Position: storewatch.Position{Era: c.era, Revision: c.revision}}
		for _, h := range c.history {
			if h.kind == m.kind && h.object.revision > after {
				batch.Items = append(batch.Items, m.item(h.name, h.object, h.deleted))
			}
		}
		m.store.mu.Unlock()
		switch {
		case down:
			return storewatch.Batch[T]{}, errs.Ambiguous(errs.PlatformDown, "down")
		case after > c.revision:
			return storewatch.Batch[T]{}, errs.Refuse(errs.PlatformWatchGap, "no such revision")
		case len(batch.Items) > 0 || expired:
			return batch, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return storewatch.Batch[T]{}, errs.Ambiguous(errs.PlatformDown, "canceled")
		}
	}
}

// Kinds of objects in a memoryStore.
const (
	memConfigs      = "configs"
	memReplicas     = "replicas"
	memOutOfService = "out of service"
	memVMs          = "vms"
	memCrashes      = "crashes"
	memLimits       = "limits"
)

func (s *memoryStore) Configs() storewatch.Source[*routes.Table] {
	return memorySource[*routes.Table]{s, memConfigs}
}
func (s *memoryStore) Replicas() storewatch.Source[discovery.Replica] {
	return memorySource[discovery.Replica]{s, memReplicas}
}
func (s *memoryStore) OutOfServiceDomains() storewatch.Source[string] {
	return memorySource[string]{s, memOutOfService}
}
func (s *memoryStore) VMs() storewatch.Source[discovery.VM] {
	return memorySource[discovery.VM]{s, memVMs}
}
func (s *memoryStore) RegisterVM(_ context.Context, vm discovery.VM) error {
	return s.write(memVMs, vm.Name, vm)
}
func (s *memoryStore) DeleteVM(_ context.Context, name string) error {
	return s.write(memVMs, name, nil)
}
func (s *memoryStore) Crashes() storewatch.Source[discovery.Crash] {
	return memorySource[discovery.Crash]{s, memCrashes}
}
func (s *memoryStore) ReportCrash(_ context.Context, name string, crash discovery.Crash) error {
	return s.write(memCrashes, name, crash)
}
func (s *memoryStore) ReplaceCrash(_ context.Context, name string, crash discovery.Crash) error {
	return s.write(memCrashes, name, crash)
}
func (s *memoryStore) DeleteCrash(_ context.Context, name string) error {
	return s.write(memCrashes, name, nil)
}
func (s *memoryStore) RequestLimits() storewatch.Source[discovery.RequestLimit] {
	return memorySource[discovery.RequestLimit]{s, memLimits}
}
func (s *memoryStore) ReportRequestLimit(_ context.Context, l discovery.RequestLimit) error {
	return s.write(memLimits, l.Replica, l)
}
func (s *memoryStore) DeleteRequestLimit(_ context.Context, replica string) error {
	return s.write(memLimits, replica, nil)
}

// vmFleet is a number of VMs that follow a memoryStore and feed each other, in virtual
// time.
type vmFleet struct {
	t     *testing.T
	store *memoryStore
	vms   []*controllerService
	ctx   context.Context
	// dialReplica connects a VM to the replica at an address; nil if no replica runs.
	dialReplica func(vm string) exchange.DialFunc
	// domainOf returns the failure domain of a VM; nil if all are in one.
	domainOf func(vm string) string
	// storeOf returns the store as a VM reaches it; nil if all reach store.
	storeOf func(vm string) Store
	// rollouts puts roll-outs in force.
	rollouts bool
	// withoutCaps returns whether a VM is of a build that does not know caps; nil if no
	// VM keeps them.
	withoutCaps func(vm string) bool
	// withoutPeers is the VM whose connections for caps cannot be opened, "" for none.
	withoutPeers atomic.Value
}

// inVMFleet runs f with a fleet that has started and in which all VMs are registered.
func inVMFleet(t *testing.T, vms int, f func(fleet *vmFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := &vmFleet{t: t, store: newMemoryStore(), ctx: ctx}
		defer func() {
			cancel()
			synctest.Wait()
			for _, vm := range fleet.vms {
				for _, p := range vm.controller.state.relayPeers {
					p.Close()
				}
			}
			synctest.Wait()
		}()
		fleet.store.put(memConfigs, "main", testTable(t, 1))
		for i := range vms {
			fleet.start(fmt.Sprint("vm", i+1))
		}
		time.Sleep(5 * time.Second)
		f(fleet)
	})
}

// start starts a VM. Its address is its name.
func (f *vmFleet) start(name string) *controllerService {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := newTestController(f.t)
	settings := c.state.settings
	settings.VM, settings.PeersAddr, settings.Domain = name, name, "d1"
	if f.domainOf != nil {
		settings.Domain = f.domainOf(name)
	}
	c.state.apply(settings)
	c.state.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if f.dialReplica == nil {
			return nil, context.DeadlineExceeded
		}
		return f.dialReplica(name)(ctx, network, addr)
	}
	f.setRollouts(c)
	var store Store = f.store
	if f.storeOf != nil {
		store = f.storeOf(name)
	}
	c.topics = c.newTopics(store)
	vm := &controllerService{config: Config{Settings: settings, Store: f.store, Log: log}, controller: c, forwarder: c.forwarder, prober: c.prober}
	vm.settings.Store(&settings)
	vm.limits = newLimitReporter(c, f.store, log)
	vm.crashes = newCrashReporter(c, f.store, log)
	vm.crashes.observe(c.prober)
	c.prober.start(f.ctx, func(*forward.Upstream, time.Duration) {})
	c.prober.onRequestLimit = vm.limits.report
	c.onLostCrash, c.onLostLimit = vm.crashes.reportAgain, vm.limits.report
	f.vms = append(f.vms, vm)
	updates := &updateSource{self: vm.self(), seeds: func() []string { return nil }, controller: c, dial: f.dial, log: log}
	go func() { _ = c.run(f.ctx) }() // ends with ctx
	go updates.run(f.ctx)
	go vm.register(f.ctx)
	go vm.limits.run(f.ctx)
	go vm.crashes.run(f.ctx)
	go c.writeRollouts(f.ctx, store)
	vm.forwarded = newForwardedServer(vm.forwarder.ServeForwarded, log)
	go func() { _ = vm.forwarded.run(f.ctx) }() // ends with ctx
	if f.withoutCaps != nil && !f.withoutCaps(name) {
		vm.quota = newQuotaService(name, quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, log, tally.NoopScope)
		vm.quota.start(f.ctx, updates.vms, func(ctx context.Context, network, addr string) (net.Conn, error) {
			if f.withoutPeers.Load() == name {
				return nil, context.DeadlineExceeded
			}
			return f.dial(ctx, network, addr)
		}, vm.forwarder)
		vm.forwarder.SetQuota(vm.quota)
		go vm.quota.run(f.ctx)
	}
	go vm.newLinkWatcher(updates, f.dial).run(f.ctx)
	return vm
}

// dial connects to the feed of the VM at addr.
func (f *vmFleet) dial(_ context.Context, _, addr string) (net.Conn, error) {
	for _, vm := range f.vms {
		if vm.config.Settings.VM == addr {
			client, server := net.Pipe()
			go (&peerServer{hub: vm.controller.hub, relay: vm.forwarder.ServeRelay, forwarded: vm.forwarded, quota: vm.quota, log: vm.config.Log}).serve(f.ctx, server)
			return client, nil
		}
	}
	return nil, errs.Refuse(errs.PeerUnreachable, "no VM %s", addr)
}

// vmState is what a VM believes.
type vmState struct {
	vm       string
	version  uint64
	vms      []string
	replicas map[string]bool
}

// states returns the state of each VM.
func (f *vmFleet) states() []vmState {
	var states []vmState
	for _, vm := range f.vms {
		state, ok := askState(f.ctx, vm.controller, func(s *state) vmState {
			replicas := map[string]bool{}
			for _, m := range s.registry.View().Services["s"] {
				replicas[m.ID] = true
			}
			return vmState{s.settings.VM, s.table().Version, s.vmNames(), replicas}
		})
		assert.Assert(f.t, ok)
		states = append(states, state)
	}
	return states
}

// watch calls check for each VM every 50 ms for a while.
func (f *vmFleet) watch(d time.Duration, check func(vmState)) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, s := range f.states() {
			check(s)
		}
	}
}
