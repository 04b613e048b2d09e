package capacity

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/gateway"
	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// queryItems measure whole queries at the entry VM. The owners answer in
// memory, so neither frames nor upstreams are part of the figures.
func queryItems() []Item {
	return []Item{
		{
			Name: "gateway", Size: "groups", Sizes: groupSizes, Quick: quickGroups, Target: targetGroups,
			Metrics: []Metric{
				{Name: "processor time of a query", Unit: "us", Model: Linear, Why: perGroup},
				{Name: "allocations of a query", Unit: "allocations", Model: Linear, Why: perGroup},
				{Name: "bytes allocated by a query", Unit: "KB", Model: Linear, Why: perGroup},
				{Name: "batches of a query", Unit: "batches", Model: Linear, Why: "VMs grow with groups"},
			},
			Measure: measureGateway,
		},
		{
			Name: "query-memory", Size: "groups", Sizes: groupSizes, Quick: quickGroups, Target: targetGroups,
			Metrics: []Metric{{Name: "memory of a query in flight", Unit: "KB", Model: Linear, Why: perGroup}},
			Measure: measureQueryMemory,
		},
	}
}

// memoryOwners is a transport whose peers answer at once, or never while held.
type memoryOwners struct {
	shards func(model.GroupID) []model.ShardID
	held   bool

	mu      sync.Mutex
	batches int
}

func (o *memoryOwners) Open(_ context.Context, _ model.VM, m wire.Message) (wire.Stream, error) {
	o.mu.Lock()
	o.batches++
	o.mu.Unlock()
	b := m.(*wire.SearchBatch)
	return &memoryStream{owners: o, batch: b}, nil
}

func (o *memoryOwners) Notify(context.Context, model.VM, wire.Message) error { return nil }

func (o *memoryOwners) opened() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.batches
}

type memoryStream struct {
	owners *memoryOwners
	batch  *wire.SearchBatch
}

func (s *memoryStream) Send(wire.Message) error { return nil }

func (s *memoryStream) Close() {}

func (s *memoryStream) Recv(ctx context.Context) (wire.Message, error) {
	if s.owners.held {
		<-ctx.Done()
		return nil, errs.Refuse(errs.PeerLost, "held")
	}
	return outcomes(s.batch.QueryID, s.batch.Items, s.owners.shards), nil
}

func newGateway(views model.ViewSource, owners *memoryOwners) (*gateway.Gateway, func()) {
	log, async := logging.New(io.Discard, logrus.InfoLevel, 1<<16)
	// This VM owns nothing, so that all work goes through the transport.
	self := vmAt(0)
	self.ID = "entry-only"
	gw := gateway.New(gateway.Config{
		Self: self, View: views, Transport: owners, Log: logging.ForPart(log, "gateway"), Rand: rand.New(rand.NewPCG(1, 2)),
		Ledger: poison.NewLedger(poison.Config{BlockDuration: time.Minute, SuspectDuration: time.Minute, ProvenDuration: time.Hour}),
	})
	return gw, func() { _ = async.Close(context.Background()) }
}

// targetGateway is a gateway in front of so many groups, with VMs in
// proportion.
func targetGateway(n int, held bool) (*gateway.Gateway, *memoryOwners, func()) {
	doc := document(n, replicasPerGroup)
	owners := &memoryOwners{shards: shardsOf(&doc.Services[service].ShardMaps[0]), held: held}
	gw, stop := newGateway(refreshed(viewOf(doc, fleetVMs(vmsFor(n)))), owners)
	return gw, owners, stop
}

func searchRequest(within time.Duration) frontend.SearchRequest {
	return frontend.SearchRequest{
		RequestID: "r", Caller: "caller", Service: service, Operation: operation,
		Query: make([]byte, 200), Limit: rowLimit, Deadline: time.Now().Add(within),
	}
}

func measureGateway(ctx context.Context, e Effort, n int) ([]float64, error) {
	gw, owners, stop := targetGateway(n, false)
	defer stop()
	queries := 0
	c, err := measure(e, func() error {
		queries++
		a, err := gw.Search(ctx, searchRequest(time.Minute))
		if err == nil && a.Coverage.Covered != n {
			err = errs.Refuse(errs.Internal, "covered %d of %d", a.Coverage.Covered, n)
		}
		return err
	})
	return []float64{c.ns / 1e3, c.allocs, c.bytes / 1024, float64(owners.opened()) / float64(queries)}, err
}

// heldQueries is the number of queries held at a time to measure their memory.
const heldQueries = 16

func measureQueryMemory(ctx context.Context, _ Effort, n int) ([]float64, error) {
	gw, owners, stop := targetGateway(n, true)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	before := inUse()
	for range heldQueries {
		group.Go(func() { _, _ = gw.Search(ctx, searchRequest(time.Hour)) })
	}
	// The queries wait for owners that never answer; no further batch is
	// opened once the number stands still.
	for last := -1; last != owners.opened() || last == 0; {
		last = owners.opened()
		time.Sleep(50 * time.Millisecond)
	}
	return []float64{(inUse() - before) / heldQueries / 1024}, nil
}
