package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"github.com/sirupsen/logrus"
)

// fleet is a set of controllers in virtual time, joined by an in-memory
// transport and store.
type fleet struct {
	t     *testing.T
	store *memoryStore
	mu    sync.Mutex
	vms   map[model.VMID]*vm
	side  map[model.VMID]int
	wg    sync.WaitGroup
}

type vm struct {
	*Controller
	ledger *memoryLedger
	store  *storeView
	stop   context.CancelFunc
}

// run starts the named VMs, waits until they are synced and runs test.
func run(t *testing.T, ids []model.VMID, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, vms: map[model.VMID]*vm{}, side: map[model.VMID]int{}}
		f.store = &memoryStore{changed: make(chan struct{})}
		f.store.publish(document(1))
		for _, id := range ids {
			f.start(id, false)
		}
		time.Sleep(20 * time.Second)
		test(t, f)
		f.mu.Lock()
		list := f.vms
		f.vms = nil
		f.mu.Unlock()
		for _, v := range list {
			v.stop()
		}
		f.wg.Wait()
	})
}

func vmOf(id model.VMID) model.VM {
	return model.VM{ID: id, Addr: "addr-" + string(id), Domain: "fd-a", Region: "r", Incarnation: uint64(time.Now().UnixNano())}
}

func (f *fleet) start(id model.VMID, withoutPlatform bool) *vm {
	v := &vm{ledger: &memoryLedger{}, store: &storeView{memoryStore: f.store, down: withoutPlatform}}
	var seeds []model.VM
	for other := range f.vms {
		seeds = append(seeds, vmOf(other))
	}
	v.Controller = New(Config{
		Self: vmOf(id), Seeds: seeds, Transport: port{f, id}, Store: v.store, Log: discard(), Ledger: v.ledger,
		// The verdict of a run must not depend on a random seed.
		Rng: rand.New(rand.NewPCG(1, xxhash.Sum64String(string(id)))),
		JoinSections: func(m confsync.Manifest, section func(string) ([]byte, bool)) (*model.Document, error) {
			body, _ := section(m.Sections["all"])
			doc := &model.Document{}
			return doc, json.Unmarshal(body, doc)
		},
	})
	ctx, stop := context.WithCancel(f.t.Context())
	v.stop = stop
	f.mu.Lock()
	f.vms[id] = v
	f.mu.Unlock()
	f.wg.Go(func() { _ = v.Run(ctx) })
	return v
}

// crash stops a VM without notice.
func (f *fleet) crash(id model.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[id].stop()
	delete(f.vms, id)
}

func (f *fleet) cut(id model.VMID, side int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.side[id] = side
}

// deliver passes a message through the codec to the target's handler.
func (f *fleet) deliver(from, to model.VMID, m wire.Message) error {
	f.mu.Lock()
	target := f.vms[to]
	ok := target != nil && f.side[from] == f.side[to]
	f.mu.Unlock()
	if !ok {
		return errs.Refuse(errs.PeerUnreachable, "%s", to)
	}
	frame, err := wire.Append(nil, 0, m, wire.MaxControlFrameBytes)
	if err != nil {
		f.t.Errorf("frame of %T: %v", m, err)
		return err
	}
	_, m, err = wire.NewReader(bytes.NewReader(frame), wire.MaxControlFrameBytes).Next()
	if err != nil {
		f.t.Errorf("frame: %v", err)
		return err
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
	defer cancel()
	target.Handle(ctx, from, m, nil, func(r wire.Message) error { return f.deliver(to, from, r) })
	return nil
}

type port struct {
	f    *fleet
	self model.VMID
}

func (p port) Open(context.Context, model.VM, wire.Message) (wire.Stream, error) {
	return nil, errs.Refuse(errs.Internal, "not used")
}

func (p port) Notify(_ context.Context, to model.VM, m wire.Message) error {
	return p.f.deliver(p.self, to.ID, m)
}

// memoryStore is the platform; storeView is one VM's access to it.
type memoryStore struct {
	mu       sync.Mutex
	objects  map[string][]byte
	old      []byte
	revision uint64
	changed  chan struct{}
}

type storeView struct {
	*memoryStore
	down, stale bool
}

func (s *memoryStore) publish(doc *model.Document) {
	body, _ := json.Marshal(doc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.old = s.objects[manifestObject]
	s.revision++
	hash := fmt.Sprint("h", s.revision)
	s.objects[sectionPrefix+"all@"+hash] = body
	m, _ := json.Marshal(confsync.Manifest{Version: s.revision, Sections: map[string]string{"all": hash}})
	s.objects[manifestObject] = m
	close(s.changed)
	s.changed = make(chan struct{})
}

var errDown = errs.Refuse(errs.PlatformDown, "down")

func (v *storeView) set(down, stale bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down, v.stale = down, stale
}

func (v *storeView) Get(_ context.Context, key string) (platform.Object, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return platform.Object{}, errDown
	}
	body, ok := v.objects[key]
	if v.stale && key == manifestObject {
		body = v.old
	}
	if !ok {
		return platform.Object{}, errs.Refuse(errs.PlatformNotFound, "%s", key)
	}
	return platform.Object{Key: key, Value: body}, nil
}

func (v *storeView) Watch(ctx context.Context, _ string, after uint64, timeout time.Duration) (platform.Watched, error) {
	v.mu.Lock()
	revision, changed, down := v.revision, v.changed, v.down
	v.mu.Unlock()
	switch {
	case down:
		return platform.Watched{}, errDown
	case after == revision:
		select {
		case <-changed:
		case <-time.After(timeout):
			return platform.Watched{Revision: revision}, nil
		case <-ctx.Done():
			return platform.Watched{}, errDown
		}
		revision++
	}
	return platform.Watched{Revision: revision, Events: []platform.Event{{Key: manifestObject}}}, nil
}

func (v *storeView) VMs(context.Context) ([]model.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return nil, errDown
	}
	// The list lags: it never loses a VM in these tests.
	return []model.VM{{ID: "vm-0", Addr: "addr-vm-0"}, {ID: "vm-1", Addr: "addr-vm-1"}}, nil
}

func (v *storeView) Put(context.Context, string, []byte, platform.Condition) (string, error) {
	return "", errDown
}

func (v *storeView) Delete(context.Context, string, platform.Condition) error { return errDown }

func (v *storeView) List(context.Context, string) ([]platform.Object, error) { return nil, errDown }

// memoryLedger keeps all entries. stall pauses its VM's control goroutine.
type memoryLedger struct {
	mu      sync.Mutex
	entries map[uint64]model.PoisonEntry
	stall   time.Duration
}

func (l *memoryLedger) Merge(_ time.Time, e model.PoisonEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries == nil {
		l.entries = map[uint64]model.PoisonEntry{}
	}
	l.entries[e.Fingerprint] = e
	return true
}

func (l *memoryLedger) List(time.Time) []model.PoisonEntry {
	l.mu.Lock()
	stall := l.stall
	l.stall = 0
	var list []model.PoisonEntry
	for _, e := range l.entries {
		list = append(list, e)
	}
	l.mu.Unlock()
	time.Sleep(stall)
	return list
}

// pause stops the VM's control goroutine for d at its next turn.
func (v *vm) pause(d time.Duration) {
	v.ledger.mu.Lock()
	defer v.ledger.mu.Unlock()
	v.ledger.stall = d
}

func document(replicas int, out ...model.DomainID) *model.Document {
	g := model.Group{ID: "g"}
	for i := range max(replicas, 24) {
		r := model.Replica{ID: model.ReplicaID(fmt.Sprint("r-", i)), Domain: "fd-a"}
		if i%8 == 7 {
			r.Domain = "fd-b"
		}
		g.Replicas = append(g.Replicas, r)
	}
	return &model.Document{
		Domains:   map[model.DomainID]model.Domain{"fd-a": {Region: "r"}, "fd-b": {Region: "r"}},
		Services:  map[model.ServiceID]*model.Service{"s": {ShardMaps: []model.ShardMap{{Epoch: 1, Groups: []model.Group{g}}}}},
		Overrides: model.Overrides{DomainsOut: out},
	}
}

func discard() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}
