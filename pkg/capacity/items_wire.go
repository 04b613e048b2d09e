package capacity

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/peer"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const perItem = "each item is written or read once"

// wireItems measure frames and connections between VMs.
func wireItems() []Item {
	frame := func(name, what string, build func(n int) wire.Message) Item {
		return Item{
			Name: name, Size: "items per frame", Sizes: itemSizes, Quick: itemSizes, Target: targetItems,
			Metrics: []Metric{
				{Name: "encode " + what, Unit: "us", Model: Linear, Why: perItem},
				{Name: "decode " + what, Unit: "us", Model: Linear, Why: perItem},
				{Name: "size of " + what, Unit: "B", Model: Linear, Why: perItem},
			},
			Measure: func(_ context.Context, e Effort, n int) ([]float64, error) { return measureFrame(e, build(n)) },
		}
	}
	return []Item{
		frame("frame-batch", "SearchBatch", batchOf),
		frame("frame-partial", "SearchPartial", partialOf),
		{
			Name: "peer-exchange", Size: "items per frame", Sizes: itemSizes, Quick: itemSizes, Target: targetItems,
			Metrics: []Metric{{Name: "batch and partial over loopback, both ends", Unit: "us", Model: Linear, Why: perItem}},
			Measure: measureExchange,
		},
		{
			Name: "peer-memory", Size: "connections", Sizes: []int{25, 50, 100, 200}, Quick: []int{2, 4, 6, 8}, Target: 120,
			Metrics: []Metric{{Name: "control connections, one end", Unit: "KB", Model: Linear, Why: "buffers and goroutines of each connection", Budget: 32 << 10}},
			Measure: measurePeerMemory,
		},
		{
			Name: "log-line", Size: "groups in the line", Sizes: itemSizes, Quick: itemSizes, Target: targetItems,
			Metrics: []Metric{{Name: "one routing line", Unit: "us", Model: Linear, Why: "group and replica names are copied"}},
			Measure: measureLogLine,
		},
	}
}

func searchItems(n int) ([]wire.SearchItem, *model.ShardMap) {
	m := &document(n, replicasPerGroup).Services[service].ShardMaps[0]
	var items []wire.SearchItem
	for i, g := range m.Groups {
		items = append(items, wire.SearchItem{Group: g.ID, Replica: g.Replicas[0].ID, Attempt: uint32(i + 1)})
	}
	return items, m
}

func batchOf(n int) wire.Message {
	items, _ := searchItems(n)
	return &wire.SearchBatch{
		QueryID: "0f8fad5b-d9cb-1a2b", Service: service, Operation: operation, Snapshot: pinned,
		Remaining: time.Second, Payload: make([]byte, 200), Limit: rowLimit, Fingerprint: 1 << 60, Caller: "caller", Items: items,
	}
}

func partialOf(n int) wire.Message {
	items, m := searchItems(n)
	return outcomes("0f8fad5b-d9cb-1a2b", items, shardsOf(m))
}

func measureFrame(e Effort, m wire.Message) ([]float64, error) {
	var buf []byte
	encode, err := measure(e, func() (err error) {
		buf, err = wire.Append(buf[:0], 1, m, wire.MaxTrafficFrameBytes)
		return err
	})
	if err != nil {
		return nil, err
	}
	var source bytes.Reader
	r := wire.NewReader(&source, wire.MaxTrafficFrameBytes)
	decode, err := measure(e, func() error {
		source.Reset(buf)
		_, _, err := r.Next()
		return err
	})
	return []float64{encode.ns / 1e3, decode.ns / 1e3, float64(len(buf))}, err
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	return log
}

// serve starts a transport on loopback. The returned function stops it.
func serve(ctx context.Context, h map[wire.Kind]wire.Handler) (model.VM, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return model.VM{}, nil, err
	}
	vm := model.VM{ID: "server", Addr: l.Addr().String()}
	t := peer.New(peer.Config{Self: vm, Listener: l, Log: quiet()})
	for k, f := range h {
		t.Handle(k, f)
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() { _ = t.Serve(ctx) }()
	return vm, func() { cancel(); t.Close() }, nil
}

func measureExchange(ctx context.Context, e Effort, n int) ([]float64, error) {
	reply := partialOf(n)
	vm, stop, err := serve(ctx, map[wire.Kind]wire.Handler{
		wire.KindSearchBatch: func(_ context.Context, _ model.VMID, _ wire.Message, _ <-chan wire.Message, send func(wire.Message) error) {
			_ = send(reply)
		},
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	client := peer.New(peer.Config{Self: model.VM{ID: "client"}, Log: quiet()})
	defer client.Close()
	batch := batchOf(n)
	return micros(e, func() error {
		s, err := client.Open(ctx, vm, batch)
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Recv(ctx)
		return err
	})
}

// measurePeerMemory opens connections from as many transports. Half of what
// both ends take is that of one end.
func measurePeerMemory(ctx context.Context, _ Effort, n int) ([]float64, error) {
	arrived := make(chan struct{}, n)
	vm, stop, err := serve(ctx, map[wire.Kind]wire.Handler{
		wire.KindPing: func(context.Context, model.VMID, wire.Message, <-chan wire.Message, func(wire.Message) error) {
			arrived <- struct{}{}
		},
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	before := inUse()
	for i := range n {
		c := peer.New(peer.Config{Self: model.VM{ID: vmID(i)}, Log: quiet()})
		defer c.Close()
		if err := c.Notify(ctx, vm, &wire.Ping{}); err != nil {
			return nil, err
		}
		select {
		case <-arrived:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return []float64{(inUse() - before) / 2 / 1024}, nil
}

func measureLogLine(_ context.Context, e Effort, n int) ([]float64, error) {
	log, async := logging.New(io.Discard, logrus.InfoLevel, 1<<16)
	part := logging.ForPart(log, "gateway")
	items, _ := searchItems(n)
	got, err := micros(e, func() error {
		text := make([]byte, 0, 32*len(items))
		for _, it := range items {
			text = append(text, it.Group...)
			text = append(text, ':')
			text = append(text, it.Replica...)
			text = append(text, ' ')
		}
		part.WithFields(logrus.Fields{"query": "0f8fad5b-d9cb-1a2b", "request": "r", "reason": "primary", "owner": "entry-0001", "choice": string(text)}).Info("batch of groups sent to an owner")
		return nil
	})
	if closeErr := async.Close(context.Background()); err == nil && closeErr != nil {
		err = errs.Refuse(errs.Internal, "close log: %v", closeErr)
	}
	return got, err
}
