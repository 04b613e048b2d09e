package peer

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

func loopback(b *testing.B) (*Transport, model.VM) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	vm := model.VM{ID: "b", Addr: l.Addr().String()}
	server := New(Config{Self: vm, Listener: l, Log: quietLog()})
	echo(server)
	go func() { _ = server.Serve(b.Context()) }()
	client := New(Config{Self: model.VM{ID: "a"}, Log: quietLog()})
	b.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, vm
}

func roundTrip(b *testing.B, c *Transport, vm model.VM) {
	s, err := c.Open(b.Context(), vm, &wire.CallRequest{RequestID: "1", Payload: make([]byte, 200)})
	if err == nil {
		_, err = s.Recv(b.Context())
		s.Close()
	}
	if err != nil {
		b.Error(err)
	}
}

func BenchmarkRoundTrip(b *testing.B) {
	c, vm := loopback(b)
	b.ReportAllocs()
	for b.Loop() {
		roundTrip(b, c, vm)
	}
}

func BenchmarkRoundTripParallel(b *testing.B) {
	c, vm := loopback(b)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			roundTrip(b, c, vm)
		}
	})
}

// BenchmarkMemoryPerPeer reports the heap and stacks of one idle connection,
// both ends together.
func BenchmarkMemoryPerPeer(b *testing.B) {
	for _, lane := range []wire.Lane{wire.ControlLane, wire.TrafficLane} {
		for _, n := range []int{10, 50, 200, 400} {
			b.Run(fmt.Sprintf("%s/peers=%d", lane, n), func(b *testing.B) {
				for b.Loop() {
					measurePeers(b, lane, n)
				}
			})
		}
	}
}

func measurePeers(b *testing.B, lane wire.Lane, n int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	vm := model.VM{ID: "b", Addr: l.Addr().String()}
	server := New(Config{Self: vm, Listener: l, Log: quietLog()})
	echo(server)
	go func() { _ = server.Serve(b.Context()) }()
	before := inUse()
	var clients []*Transport
	for i := range n {
		c := New(Config{Self: model.VM{ID: model.VMID(fmt.Sprint(i))}, Log: quietLog()})
		clients = append(clients, c)
		if lane == wire.TrafficLane {
			roundTrip(b, c, vm)
		} else if err := c.Notify(b.Context(), vm, &wire.Ping{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(inUse()-before)/float64(n), "B/peer")
	for _, c := range clients {
		c.Close()
	}
	server.Close()
}

func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
