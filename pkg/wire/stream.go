package wire

import (
	"context"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Stream is an exchange with a peer: a request and its replies.
type Stream interface {
	// Send sends another message on the stream.
	Send(m Message) error
	// Recv returns the next reply. If the connection breaks, it returns a refusal
	// with code PeerLost and run state MayHaveRun.
	Recv(ctx context.Context) (Message, error)
	// Close ends the stream on this side; replies that arrive later are dropped.
	Close()
}

// Transport opens exchanges with peers.
type Transport interface {
	// Open sends m to the peer on the traffic lane and returns the stream of its
	// replies. An error with run state DidNotRun means that no byte of m was
	// written.
	Open(ctx context.Context, to model.VM, m Message) (Stream, error)
	// Notify sends m on the control lane and expects no reply.
	Notify(ctx context.Context, to model.VM, m Message) error
}

// Handler serves an exchange that a peer has opened with the message first. It
// returns when the exchange is over. Later messages of the peer on the same stream
// arrive on in.
type Handler func(ctx context.Context, from model.VMID, first Message, in <-chan Message, reply func(Message) error)
