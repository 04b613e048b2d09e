package capacity

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/dispatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/limit"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/ramp"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// ownerItems measure attempts at the owner of a replica.
func ownerItems() []Item {
	return []Item{
		{
			Name: "dispatch-gate", Size: "requests waiting", Sizes: []int{4, 16, 64, 256}, Quick: []int{4, 8, 16, 32}, Target: 16,
			Metrics: []Metric{{Name: "offer and completion, gate and window only", Unit: "us", Model: Log, Why: "the queue is ordered by deadline"}},
			Measure: measureGate,
		},
		{
			Name: "dispatch-owner", Size: "groups in the shard map", Sizes: groupSizes, Quick: quickGroups, Target: targetGroups,
			Metrics: []Metric{{Name: "batch of 4 refused at the gate", Unit: "us", Model: Linear, Why: "what a batch costs besides the upstream; expected not to depend on the size of the map"}},
			Measure: measureRefusedBatch,
		},
		{
			Name: "dispatch-http", Size: "items per batch", Sizes: []int{1, 2, 4, 8}, Quick: []int{1, 2, 3, 4}, Target: targetItems,
			Metrics: []Metric{{Name: "batch over HTTP, the stand-in's work included", Unit: "us", Model: Linear, Why: "one exchange for each item"}},
			Measure: measureHTTP,
		},
	}
}

func measureGate(_ context.Context, e Effort, n int) ([]float64, error) {
	now := time.Unix(1_796_000_000, 0)
	window := ramp.New(ramp.Config{Slots: 3, ColdWindow: 3}, now)
	gate := limit.NewLimiter(limit.Config{Slots: 3, QueueLimit: 2 * n}, window)
	var next uint64
	var running []uint64
	offer := func() error {
		next++
		d := gate.Offer(now, limit.Request{ID: next, Deadline: now.Add(time.Hour), Caller: "caller"})
		if d.Verdict == limit.Refused {
			return d.Refusal
		}
		if d.Verdict == limit.Granted {
			running = append(running, next)
		}
		return nil
	}
	for range n + 3 {
		if err := offer(); err != nil {
			return nil, err
		}
	}
	return micros(e, func() error {
		now = now.Add(time.Millisecond)
		if err := offer(); err != nil {
			return err
		}
		id := running[0]
		running = append(running[1:], gate.Done(now, id, limit.Succeeded, time.Millisecond)...)
		return nil
	})
}

// newDispatcher owns all replicas of a document with one replica per group.
func newDispatcher(doc *model.Document) (*dispatch.Dispatcher, *model.View) {
	v := viewOf(doc, map[model.VMID]model.VM{vmID(0): vmAt(0)})
	d := dispatch.New(dispatch.Config{
		Self: vmID(0), View: refreshed(v), Log: quiet(),
		Ledger:        poison.NewLedger(poison.Config{BlockDuration: time.Minute, SuspectDuration: time.Minute, ProvenDuration: time.Minute}),
		ReportStatus:  func(model.ReplicaStatus) {},
		OnReleased:    func(model.ReplicaID) {},
		PublishPoison: func(context.Context, model.PoisonEntry) {},
	})
	return d, v
}

// measureRefusedBatch runs batches for replicas that are excluded, so that
// each attempt ends before its upstream is called.
func measureRefusedBatch(ctx context.Context, e Effort, n int) ([]float64, error) {
	d, v := newDispatcher(document(n, 1))
	for id := range v.Owners {
		v.Excluded[id] = "drained"
	}
	items, _ := searchItems(min(n, targetItems))
	batch := &wire.SearchBatch{QueryID: "q", Service: service, Operation: operation, Snapshot: pinned, Remaining: time.Minute, Items: items}
	return micros(e, func() error {
		d.Search(ctx, batch, make(chan wire.Message), func(*wire.SearchPartial) error { return nil })
		return nil
	})
}

// standIn answers runs at once with rowsPerGroup rows.
func standIn(w http.ResponseWriter, r *http.Request) {
	var q struct {
		RequestID string          `json:"request_id"`
		Version   uint64          `json:"version"`
		Epoch     uint64          `json:"epoch"`
		Shards    []model.ShardID `json:"shards"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rows := make([]map[string]any, rowsPerGroup)
	for i := range rows {
		rows[i] = map[string]any{"key": []any{strconv.Itoa(i)}, "data": map[string]string{"text": "a plinth of 60 by 60 by 120, cast on a Tuesday, for the yard in Ljubljana"}}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"request_id": q.RequestID, "instance": "i-1", "version": q.Version, "epoch": q.Epoch,
		"shards": q.Shards, "rows": rows, "row_count": len(rows),
	})
}

func measureHTTP(ctx context.Context, e Effort, n int) ([]float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(standIn), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	doc := document(n, 1)
	groups := doc.Services[service].ShardMaps[0].Groups
	for i := range groups {
		groups[i].Replicas[0].Addr = l.Addr().String()
	}
	d, v := newDispatcher(doc)
	d.Reconcile(v)
	defer d.Reconcile(&model.View{Config: &model.Document{}})
	items, _ := searchItems(n)
	batch := &wire.SearchBatch{
		QueryID: "q", Service: service, Operation: operation, Snapshot: pinned, Remaining: time.Minute,
		Payload: []byte(`{"text":"plinth"}`), Limit: rowLimit, Fingerprint: 1, Caller: "caller", Items: items,
	}
	run := func() error { return searchAll(ctx, d, batch) }
	// A new owner sends nothing until its replicas have answered it.
	for err = run(); errs.Is(err, errs.NotOwner); err = run() {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	return micros(e, run)
}

// searchAll runs a batch and returns its first failure.
func searchAll(ctx context.Context, d *dispatch.Dispatcher, batch *wire.SearchBatch) error {
	answered := 0
	var failure error
	d.Search(ctx, batch, make(chan wire.Message), func(p *wire.SearchPartial) error {
		for _, g := range p.Groups {
			failure = errOr(failure, g.Failure.Err())
			answered++
		}
		return nil
	})
	if answered != len(batch.Items) {
		return errs.Refuse(errs.Internal, "%d of %d items answered", answered, len(batch.Items))
	}
	return failure
}

func errOr(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
