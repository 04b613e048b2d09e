package wire

import (
	"context"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Stream is one exchange with a peer: a request and its replies.
type Stream interface {
	// Send sends a further message on the stream.
	Send(m Message) error
	// Recv returns the next reply. It returns a refusal with code PeerLost
	// (may have run) when the connection breaks.
	Recv(ctx context.Context) (Message, error)
	// Close gives up the stream; later replies are dropped.
	Close()
}

// Transport opens exchanges with peers.
type Transport interface {
	// Open sends m to the peer on the traffic lane. An error with run state
	// DidNotRun means that no byte of m was written.
	Open(ctx context.Context, to model.VM, m Message) (Stream, error)
	// Notify sends m on the control lane and expects no reply.
	Notify(ctx context.Context, to model.VM, m Message) error
}

// Handler serves an incoming exchange. It returns when the exchange is over.
// Messages that the peer sends later on the stream arrive on in.
type Handler func(ctx context.Context, from model.VMID, first Message, in <-chan Message, reply func(Message) error)
