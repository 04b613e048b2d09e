package edge

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// firstMessageTimeout bounds the wait for the first message of another VM.
	firstMessageTimeout = time.Second
	// maxFirstMessageBytes bounds that message. Memory for a longer one must not be
	// taken before the VM knows what it is.
	maxFirstMessageBytes = 64 << 10
	// minAcceptPause and maxAcceptPause bound the pause after a connection could not be
	// accepted. Each further failure doubles it.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// peerServer serves the connections of other VMs: feeds, relayed requests, requests
// that they forward for their callers, and the caps of tenants.
type peerServer struct {
	hub       *feed.Hub
	relay     relay.Handler
	forwarded *forwardedServer
	// quota is nil where no caps are in force.
	quota *quotaService
	log   logrus.FieldLogger
}

// run accepts connections until ctx ends.
func (s *peerServer) run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // ends Accept
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	for pause := minAcceptPause; ; {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errs.Refuse(errs.PeerUnreachable, "accepting connections of VMs: %v", err)
		case err != nil:
			// The limit of open files, for instance, which other connections may leave soon.
			s.log.WithFields(logrus.Fields{"error": err, "pause_ms": pause.Milliseconds()}).Warn("accepting a connection of a VM failed")
			wait.Sleep(ctx, pause)
			pause = min(2*pause, maxAcceptPause)
		default:
			pause = minAcceptPause
			running.Go(func() { s.serve(ctx, c) })
		}
	}
}

// serve handles one connection, whose first message tells what it is for. A VM that
// only checks whether this one is reachable closes it without a message.
func (s *peerServer) serve(ctx context.Context, c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(firstMessageTimeout)) // a closed socket fails in the read
	stream, m, err := wire.NewReader(c, maxFirstMessageBytes).Next()
	if client, ok := c.(*clientConn); ok && err == nil {
		client.RequestReceived()
	}
	switch first := m.(type) {
	case *wire.FeedSubscribe:
		s.hub.Serve(ctx, c, first)
	case *wire.RelayRequest:
		relay.Serve(ctx, c, first, s.relay, s.log)
	case *wire.ForwardOpen:
		s.log.WithField("vm", first.VM).Info("another VM forwards requests of its callers")
		_ = c.SetReadDeadline(time.Time{}) // a closed socket fails in the read
		s.forwarded.serve(ctx, forwardedConn{Conn: c, readsReports: first.Reports, namesTenants: first.Tenants})
	case *wire.QuotaRequest:
		if s.quota == nil {
			_ = c.Close() // nothing was sent on it
			return
		}
		s.quota.serve(ctx, c, stream, first)
	default:
		_ = c.Close() // nothing was sent on it
		if !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.EOF) {
			s.log.WithField("error", err).Warn("connection of a VM closed: no valid first message")
		}
	}
}
