package edge

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Guards against memory that is taken for a long first message before it has
// arrived, as many times as a faulty VM connects, and against a message of another
// protocol.
func TestInvalidFirstMessageClosesTheConnection(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &peerServer{log: log}
	for name, m := range map[string]wire.Message{
		"long":          &wire.FeedSubscribe{VM: strings.Repeat("v", maxFirstMessageBytes)},
		"another kind":  &wire.Ping{},
		"relayed reply": &wire.RelayReply{},
	} {
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() { s.serve(t.Context(), server); close(done) }()
		var frame bytes.Buffer
		assert.NilError(t, wire.Write(&frame, 0, m, wire.MaxTrafficFrameBytes))
		go func() { _, _ = client.Write(frame.Bytes()) }() // fails when the server closes the connection
		<-done
		_, err := client.Read(make([]byte, 1))
		assert.Assert(t, err != nil, name)
	}
}

// Guards against connections of other VMs that keep a VM from stopping.
func TestPeerServerEndsWithItsContext(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	handled := make(chan struct{})
	s := &peerServer{log: log, relay: func(ctx context.Context, _ *wire.RelayRequest, _ func(*wire.RelayReply) error) {
		close(handled)
		<-ctx.Done()
	}}
	go func() { done <- s.run(ctx, l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, wire.Write(c, 0, &wire.RelayRequest{RequestID: "1"}, wire.MaxTrafficFrameBytes))
	<-handled
	cancel()
	assert.NilError(t, <-done)
}
