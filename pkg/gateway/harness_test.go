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

// exchange is one stream between the gateway and a scripted owner. Open has
// written the request before the script runs.
type exchange struct {
	owner   model.VMID
	request wire.Message
	replies chan wire.Message
	ended   chan struct{}
	closed  chan struct{}
	once    sync.Once
	mu      sync.Mutex
	sent    []wire.Message
	lost    error
}

// lose breaks the connection after the request was written.
func (x *exchange) lose() {
	x.lost = errs.Ambiguous(errs.PeerLost, "connection broke")
	close(x.ended)
}

func (x *exchange) Send(m wire.Message) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = append(x.sent, m)
	return nil
}

func (x *exchange) cancelled() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.sent)
}

func (x *exchange) Recv(ctx context.Context) (wire.Message, error) {
	select {
	case m := <-x.replies:
		return m, nil
	default:
	}
	select {
	case m := <-x.replies:
		return m, nil
	case <-x.ended:
		return nil, x.lost
	case <-ctx.Done():
		return nil, errs.Ambiguous(errs.Canceled, "%v", ctx.Err())
	}
}

func (x *exchange) Close() { x.once.Do(func() { close(x.closed) }) }

// answer replies to every item of a batch, or to a call.
func (x *exchange) answer(failure *errs.Refusal) {
	var f *wire.Failure
	if failure != nil {
		f = wire.FailureOf(failure)
	}
	switch m := x.request.(type) {
	case *wire.SearchBatch:
		x.replies <- partial(m, f)
	case *wire.CallRequest:
		x.replies <- &wire.CallReply{RequestID: m.RequestID, Result: []byte(`"` + string(m.Replica) + `"`), Failure: f}
	}
}

// partial is the complete answer to a batch with one row for each group.
func partial(b *wire.SearchBatch, f *wire.Failure) *wire.SearchPartial {
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

// site is an entry VM with two scripted owners. Each group has a replica at
// each of them.
type site struct {
	t       *testing.T
	gateway *Gateway
	ledger  *poison.Ledger
	mu      sync.Mutex
	view    *model.View
	opened  []*exchange
	// script plays the n-th exchange, counted from 1, in a goroutine.
	script func(n int, x *exchange)
}

func (s *site) Current() *model.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *site) setOwner(r model.ReplicaID, owner model.VMID) {
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

func (s *site) Open(_ context.Context, to model.VM, m wire.Message) (wire.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &exchange{owner: to.ID, request: m, replies: make(chan wire.Message, 16), ended: make(chan struct{}), closed: make(chan struct{})}
	s.opened = append(s.opened, x)
	n := len(s.opened)
	go s.script(n, x)
	return x, nil
}

func (s *site) Notify(context.Context, model.VM, wire.Message) error { return nil }

func (s *site) exchanges() []*exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*exchange(nil), s.opened...)
}

// forget starts the count of exchanges anew with another script.
func (s *site) forget(script func(n int, x *exchange)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened, s.script = nil, script
}

func newSite(t *testing.T, groups int, script func(n int, x *exchange)) *site {
	s := &site{t: t, script: script, ledger: poison.NewLedger(poison.Config{})}
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

func (s *site) search() (*frontend.SearchAnswer, error) {
	return s.gateway.Search(s.t.Context(), frontend.SearchRequest{
		Service: "search", Operation: "search", Query: []byte(`{}`), Deadline: time.Now().Add(time.Second),
	})
}

func (s *site) read() (*frontend.CallAnswer, error) {
	return s.gateway.Call(s.t.Context(), frontend.CallRequest{
		Service: "lookup", Operation: "read", Body: []byte(`{}`), Deadline: time.Now().Add(time.Second),
	})
}

// warm lets the hedging policies learn that groups answer in 1 ms.
func (s *site) warm() {
	s.forget(func(_ int, x *exchange) {
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

// bubble runs a test in virtual time and lets slow scripts end.
func bubble(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute)
	})
}
