package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// serverIdleTime closes a connection without a request.
	serverIdleTime = 30 * time.Second
	// writeTimeout bounds the writing of one reply.
	writeTimeout = time.Second
)

// Handler runs a request and passes its outcomes to reply. It returns when the last
// one was passed on, or ctx ends.
type Handler func(ctx context.Context, request *wire.RelayRequest, reply func(*wire.RelayReply) error)

// Serve runs the requests of one connection until it fails or ctx ends. first is the
// request that was read already.
func Serve(ctx context.Context, c net.Conn, first *wire.RelayRequest, handle Handler, log logrus.FieldLogger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The end of the connection cancels a running request, so the next message is
	// read meanwhile.
	requests := make(chan *wire.RelayRequest, 1)
	requests <- first
	var reading sync.WaitGroup
	defer reading.Wait()
	defer c.Close()
	reading.Go(func() {
		defer cancel()
		if err := readRequests(ctx, c, requests); err != nil {
			log.WithFields(logrus.Fields{"from": c.RemoteAddr().String(), "error": err}).Warn("relay connection closed: invalid message")
		}
	})
	for {
		select {
		case request := <-requests:
			handle(ctx, request, func(reply *wire.RelayReply) error {
				_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed socket fails in the write
				return wire.Write(c, 0, reply, maxFrameBytes)
			})
		case <-ctx.Done():
			return
		}
	}
}

// readRequests passes requests on until the connection ends. Its error is that of an
// invalid message.
func readRequests(ctx context.Context, c net.Conn, requests chan<- *wire.RelayRequest) error {
	reader := wire.NewReader(c, maxFrameBytes)
	for {
		_ = c.SetReadDeadline(time.Now().Add(serverIdleTime)) // a closed socket fails in the read
		_, m, err := reader.Next()
		if err != nil {
			if errs.Is(err, errs.FrameMalformed) || errs.Is(err, errs.FrameTooLarge) || errs.Is(err, errs.ProtocolMismatch) {
				return err
			}
			return nil // the other VM has closed the connection, or it is idle
		}
		request, ok := m.(*wire.RelayRequest)
		if !ok {
			return errs.Refuse(errs.ProtocolMismatch, "kind %d on a relay connection", m.Kind())
		}
		select {
		case requests <- request:
		case <-ctx.Done():
			return nil
		}
	}
}
