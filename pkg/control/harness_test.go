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

// fleet is a set of controllers in virtual time, connected by an in-memory transport
// and with an in-memory platform. VMs reach each other only within a partition.
type fleet struct {
	t         *testing.T
	store     *memoryStore
	mu        sync.Mutex
	vms       map[model.VMID]*vm
	partition map[model.VMID]int
	running   sync.WaitGroup
}

// vm is one controller of a fleet with its own access to the platform.
type vm struct {
	*Controller
	ledger *memoryLedger
	store  *vmStore
	stop   context.CancelFunc
}

// runFleet starts VMs with the given IDs, lets them run for 20 s and then calls test.
func runFleet(t *testing.T, ids []model.VMID, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, vms: map[model.VMID]*vm{}, partition: map[model.VMID]int{}}
		f.store = &memoryStore{changed: make(chan struct{})}
		f.store.publish(newDocument(1))
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
		f.running.Wait()
	})
}

// newVM returns the membership entry of a VM that starts now.
func newVM(id model.VMID) model.VM {
	return model.VM{ID: id, Addr: "addr-" + string(id), Domain: "fd-a", Region: "r", Incarnation: uint64(time.Now().UnixNano())}
}

// start starts a VM that has the running VMs as seeds.
func (f *fleet) start(id model.VMID, withoutPlatform bool) *vm {
	v := &vm{ledger: &memoryLedger{}, store: &vmStore{memoryStore: f.store, platformDown: withoutPlatform}}
	var seeds []model.VM
	for other := range f.vms {
		seeds = append(seeds, newVM(other))
	}
	v.Controller = New(Config{
		Self: newVM(id), Seeds: seeds, Transport: memoryTransport{f, id}, Store: v.store, Log: discardLog(), Ledger: v.ledger,
		// The fixed seed makes test runs repeatable.
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
	f.running.Go(func() { _ = v.Run(ctx) })
	return v
}

// crash stops a VM without notice.
func (f *fleet) crash(id model.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[id].stop()
	delete(f.vms, id)
}

// setPartition moves a VM to a partition; VMs start in partition 0.
func (f *fleet) setPartition(id model.VMID, partition int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partition[id] = partition
}

// deliver encodes and decodes a message and passes it to the handler of the target.
func (f *fleet) deliver(from, to model.VMID, m wire.Message) error {
	f.mu.Lock()
	target := f.vms[to]
	ok := target != nil && f.partition[from] == f.partition[to]
	f.mu.Unlock()
	if !ok {
		return errs.Refuse(errs.PeerUnreachable, "%s", to)
	}
	frame, err := wire.Append(nil, 0, m, wire.MaxControlFrameBytes)
	if err != nil {
		f.t.Errorf("encode %T: %v", m, err)
		return err
	}
	_, m, err = wire.NewReader(bytes.NewReader(frame), wire.MaxControlFrameBytes).Next()
	if err != nil {
		f.t.Errorf("decode frame: %v", err)
		return err
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
	defer cancel()
	target.Handle(ctx, from, m, nil, func(r wire.Message) error { return f.deliver(to, from, r) })
	return nil
}

// memoryTransport implements wire.Transport for one VM.
type memoryTransport struct {
	fleet *fleet
	self  model.VMID
}

func (t memoryTransport) Open(context.Context, model.VM, wire.Message) (wire.Stream, error) {
	return nil, errs.Refuse(errs.Internal, "not used")
}

func (t memoryTransport) Notify(_ context.Context, to model.VM, m wire.Message) error {
	return t.fleet.deliver(t.self, to.ID, m)
}

// memoryStore holds the objects of the platform. changed is closed at the next change.
type memoryStore struct {
	mu               sync.Mutex
	objects          map[string][]byte
	previousManifest []byte
	revision         uint64
	changed          chan struct{}
}

// vmStore is the access of one VM to the memoryStore. platformDown makes each call
// fail, staleManifest makes Get return the manifest before the last one.
type vmStore struct {
	*memoryStore
	platformDown, staleManifest bool
}

// publish stores a document as one section and a manifest with the next version.
func (s *memoryStore) publish(doc *model.Document) {
	body, _ := json.Marshal(doc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.previousManifest = s.objects[manifestObject]
	s.revision++
	hash := fmt.Sprint("h", s.revision)
	s.objects[sectionPrefix+"all@"+hash] = body
	m, _ := json.Marshal(confsync.Manifest{Version: s.revision, Sections: map[string]string{"all": hash}})
	s.objects[manifestObject] = m
	close(s.changed)
	s.changed = make(chan struct{})
}

var errDown = errs.Refuse(errs.PlatformDown, "down")

func (v *vmStore) setFaults(platformDown, staleManifest bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.platformDown, v.staleManifest = platformDown, staleManifest
}

func (v *vmStore) Get(_ context.Context, key string) (platform.Object, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.platformDown {
		return platform.Object{}, errDown
	}
	body, ok := v.objects[key]
	if v.staleManifest && key == manifestObject {
		body = v.previousManifest
	}
	if !ok {
		return platform.Object{}, errs.Refuse(errs.PlatformNotFound, "%s", key)
	}
	return platform.Object{Key: key, Value: body}, nil
}

func (v *vmStore) Watch(ctx context.Context, _ string, after uint64, timeout time.Duration) (platform.WatchResult, error) {
	v.mu.Lock()
	revision, changed, down := v.revision, v.changed, v.platformDown
	v.mu.Unlock()
	switch {
	case down:
		return platform.WatchResult{}, errDown
	case after == revision:
		select {
		case <-changed:
		case <-time.After(timeout):
			return platform.WatchResult{Revision: revision}, nil
		case <-ctx.Done():
			return platform.WatchResult{}, errDown
		}
		revision++
	}
	return platform.WatchResult{Revision: revision, Events: []platform.Event{{Key: manifestObject}}}, nil
}

func (v *vmStore) VMs(context.Context) ([]model.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.platformDown {
		return nil, errDown
	}
	// The list is fixed: like a stale one, it lacks VMs that were added and keeps
	// VMs that were removed.
	return []model.VM{{ID: "vm-0", Addr: "addr-vm-0"}, {ID: "vm-1", Addr: "addr-vm-1"}}, nil
}

func (v *vmStore) Put(context.Context, string, []byte, platform.Condition) (string, error) {
	return "", errDown
}

func (v *vmStore) Delete(context.Context, string, platform.Condition) error { return errDown }

func (v *vmStore) List(context.Context, string) ([]platform.Object, error) { return nil, errDown }

// memoryLedger keeps all entries. The next call of List takes pauseLength, which
// pauses the control goroutine of its VM.
type memoryLedger struct {
	mu          sync.Mutex
	entries     map[uint64]model.PoisonEntry
	pauseLength time.Duration
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
	pauseLength := l.pauseLength
	l.pauseLength = 0
	var list []model.PoisonEntry
	for _, e := range l.entries {
		list = append(list, e)
	}
	l.mu.Unlock()
	time.Sleep(pauseLength)
	return list
}

// pause makes the control goroutine of the VM stop for d when it next lists the poison
// entries.
func (v *vm) pause(d time.Duration) {
	v.ledger.mu.Lock()
	defer v.ledger.mu.Unlock()
	v.ledger.pauseLength = d
}

// newDocument returns a document with one group of at least 24 replicas. Every eighth
// one is in fd-b, the others in fd-a. domainsOut are out of service.
func newDocument(replicas int, domainsOut ...model.DomainID) *model.Document {
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
		Overrides: model.Overrides{DomainsOut: domainsOut},
	}
}

// discardLog returns a logger that writes nothing but panics.
func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}
