package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// scriptedStream is the stream of one request from the gateway to an owner whose
// replies come from the test's script.
type scriptedStream struct {
	owner     model.VMID
	request   wire.Message
	replies   chan wire.Message
	broken    chan struct{}
	closed    chan struct{}
	once      sync.Once
	mu        sync.Mutex
	sent      []wire.Message
	brokenErr error
}

// breakConnection makes Recv fail as if the connection broke after the request
// was written.
func (x *scriptedStream) breakConnection() {
	x.brokenErr = errs.Ambiguous(errs.PeerLost, "connection broke")
	close(x.broken)
}

func (x *scriptedStream) Send(m wire.Message) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = append(x.sent, m)
	return nil
}

// messagesSent returns the number of messages that were sent after the request.
func (x *scriptedStream) messagesSent() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.sent)
}

func (x *scriptedStream) Recv(ctx context.Context) (wire.Message, error) {
	select {
	case m := <-x.replies:
		return m, nil
	default:
	}
	select {
	case m := <-x.replies:
		return m, nil
	case <-x.broken:
		return nil, x.brokenErr
	case <-ctx.Done():
		return nil, errs.Ambiguous(errs.Canceled, "%v", ctx.Err())
	}
}

func (x *scriptedStream) Close() { x.once.Do(func() { close(x.closed) }) }

// answer replies to a call or to all items of a batch, with failure if it is not
// nil.
func (x *scriptedStream) answer(failure *errs.Refusal) {
	var f *wire.Failure
	if failure != nil {
		f = wire.FailureOf(failure)
	}
	switch m := x.request.(type) {
	case *wire.SearchBatch:
		x.replies <- partialFor(m, f)
	case *wire.CallRequest:
		x.replies <- &wire.CallReply{RequestID: m.RequestID, Result: []byte(`"` + string(m.Replica) + `"`), Failure: f}
	}
}

// partialFor returns the complete answer to a batch: one row for each group, or
// the failure f for each group.
func partialFor(b *wire.SearchBatch, f *wire.Failure) *wire.SearchPartial {
	p := &wire.SearchPartial{QueryID: b.QueryID, Last: true}
	for _, it := range b.Items {
		o := wire.GroupOutcome{Group: it.Group, Replica: it.Replica, Attempt: it.Attempt, Failure: f}
		if f == nil {
			o.Shards = []model.ShardID{model.ShardID(it.Group)}
			p.Rows = append(p.Rows, wire.Row{Group: it.Group, Key: []any{string(it.Group)}, Data: []byte(`"` + string(it.Replica) + `"`)})
		}
		p.Groups = append(p.Groups, o)
	}
	return p
}

// testTier is an entry VM with two scripted owners. Each group has a replica at
// each of them.
type testTier struct {
	t       *testing.T
	gateway *Gateway
	ledger  *poison.Ledger
	mu      sync.Mutex
	view    *model.View
	opened  []*scriptedStream
	// script serves the n-th stream, counted from 1, in a goroutine of its own.
	script func(n int, x *scriptedStream)
}

func (s *testTier) Current() *model.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *testTier) setOwner(r model.ReplicaID, owner model.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.view
	next.Owners = map[model.ReplicaID]model.VMID{}
	for id, o := range s.view.Owners {
		next.Owners[id] = o
	}
	next.Owners[r] = owner
	s.view = &next
}

func (s *testTier) Open(_ context.Context, to model.VM, m wire.Message) (wire.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &scriptedStream{owner: to.ID, request: m, replies: make(chan wire.Message, 16), broken: make(chan struct{}), closed: make(chan struct{})}
	s.opened = append(s.opened, x)
	n := len(s.opened)
	go s.script(n, x)
	return x, nil
}

func (s *testTier) Notify(context.Context, model.VM, wire.Message) error { return nil }

func (s *testTier) streams() []*scriptedStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*scriptedStream(nil), s.opened...)
}

// setScript replaces the script, forgets the streams so far and counts from 1
// again.
func (s *testTier) setScript(script func(n int, x *scriptedStream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened, s.script = nil, script
}

func newTestTier(t *testing.T, groups int, script func(n int, x *scriptedStream)) *testTier {
	s := &testTier{t: t, script: script, ledger: poison.NewLedger(poison.Config{})}
	owners := map[model.ReplicaID]model.VMID{}
	replicas := map[model.ReplicaID]model.ReplicaStatus{}
	m := model.ShardMap{Epoch: 1}
	lookups := model.ShardMap{Epoch: 1, Groups: []model.Group{{ID: "all"}}}
	for i := range groups {
		g := model.Group{ID: model.GroupID(fmt.Sprintf("g%d", i))}
		g.Shards = []model.ShardID{model.ShardID(g.ID)}
		for _, owner := range []model.VMID{"o1", "o2"} {
			for kind, list := range map[string]*[]model.Replica{"search-": &g.Replicas, "lookup-": &lookups.Groups[0].Replicas} {
				id := model.ReplicaID(kind + string(g.ID) + "-" + string(owner))
				*list = append(*list, model.Replica{ID: id, Domain: "d"})
				owners[id] = owner
				replicas[id] = model.ReplicaStatus{Replica: id, Snapshots: []model.Snapshot{{Version: 1, Epoch: 1}}}
			}
		}
		m.Groups = append(m.Groups, g)
	}
	idempotent := model.Operation{Idempotent: true}
	search := &model.Service{Kind: model.Search, Slots: 3, Limit: 100, ExtraLoad: 0.05, TargetQuantile: 0.99,
		Operations: map[string]model.Operation{"search": idempotent}, Order: []model.OrderKey{{Field: "k"}}, ShardMaps: []model.ShardMap{m}}
	lookup := &model.Service{Kind: model.Lookup, Slots: 3, ExtraLoad: 0.05, TargetQuantile: 0.99,
		Operations: map[string]model.Operation{"read": idempotent}, ShardMaps: []model.ShardMap{lookups}}
	self := model.VM{ID: "entry", Domain: "d", Region: "r"}
	s.view = &model.View{
		PublishedAt: time.Now(), Self: self, Owners: owners, Replicas: replicas,
		Config: &model.Document{
			Domains:  map[model.DomainID]model.Domain{"d": {Region: "r"}},
			Services: map[model.ServiceID]*model.Service{"search": search, "lookup": lookup},
		},
		VMs: map[model.VMID]model.VM{"entry": self, "o1": {ID: "o1"}, "o2": {ID: "o2"}, "o3": {ID: "o3"}},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.gateway = New(Config{Self: self, View: s, Transport: s, Ledger: s.ledger, Log: log, Rand: rand.New(rand.NewPCG(1, 2))})
	return s
}

func (s *testTier) search() (*frontend.SearchAnswer, error) {
	return s.gateway.Search(s.t.Context(), frontend.SearchRequest{
		Service: "search", Operation: "search", Query: []byte(`{}`), Deadline: time.Now().Add(time.Second),
	})
}

func (s *testTier) read() (*frontend.CallAnswer, error) {
	return s.gateway.Call(s.t.Context(), frontend.CallRequest{
		Service: "lookup", Operation: "read", Body: []byte(`{}`), Deadline: time.Now().Add(time.Second),
	})
}

// warmUp runs requests that are answered in 1 ms, so that the hedge policies use
// a short delay.
func (s *testTier) warmUp() {
	s.setScript(func(_ int, x *scriptedStream) {
		time.Sleep(time.Millisecond)
		x.answer(nil)
	})
	for range 40 {
		_, err := s.search()
		assert.NilError(s.t, err)
		_, err = s.read()
		assert.NilError(s.t, err)
	}
}

// runInVirtualTime runs a test with a virtual clock. At the end it waits for
// scripts that still sleep.
func runInVirtualTime(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute)
	})
}
