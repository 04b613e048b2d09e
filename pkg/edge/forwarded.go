package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
)

// forwardedIdleTimeout closes a connection of another VM without a request. That VM
// keeps it for a shorter time.
const forwardedIdleTimeout = 30 * time.Second

// forwardedServer is the HTTP server for requests that other VMs forward for their
// callers. Their connections come from the peerServer.
type forwardedServer struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	close  sync.Once
	log    logrus.FieldLogger
}

func newForwardedServer(handler http.HandlerFunc, log logrus.FieldLogger) *forwardedServer {
	return &forwardedServer{
		server: &http.Server{Handler: handler, ConnContext: forwardedConnContext, ReadHeaderTimeout: headerTimeout, IdleTimeout: forwardedIdleTimeout, MaxHeaderBytes: maxHeaderBytes},
		conns:  make(chan net.Conn), closed: make(chan struct{}), log: log,
	}
}

// forwardedConn is a connection of another VM.
type forwardedConn struct {
	net.Conn
	// readsReports is set if the VM reads the reports of replicas.
	readsReports bool
	// namesTenants is set if the VM tells whether it has replaced the caller's key.
	namesTenants bool
}

// forwardedConnContext is the ConnContext hook of the HTTP server.
func forwardedConnContext(ctx context.Context, c net.Conn) context.Context {
	of, _ := c.(forwardedConn)
	if of.readsReports {
		ctx = forward.WithReplicaReports(ctx)
	}
	if of.namesTenants {
		ctx = forward.WithTenantNames(ctx)
	}
	return ctx
}

// run serves until stop or ctx ends.
func (s *forwardedServer) run(ctx context.Context) error {
	end := context.AfterFunc(ctx, func() {
		if err := s.server.Close(); err != nil {
			s.log.WithField("error", err).Warn("closing connections of forwarded requests failed")
		}
	})
	defer end()
	if err := s.server.Serve(s); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop finishes the requests in flight.
func (s *forwardedServer) stop(ctx context.Context) error { return s.server.Shutdown(ctx) }

// serve takes over a connection.
func (s *forwardedServer) serve(ctx context.Context, c net.Conn) {
	select {
	case s.conns <- c:
	case <-s.closed:
		_ = c.Close() // nothing was sent on it
	case <-ctx.Done():
		_ = c.Close() // nothing was sent on it
	}
}

// Accept implements net.Listener.
func (s *forwardedServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *forwardedServer) Close() error {
	s.close.Do(func() { close(s.closed) })
	return nil
}

// Addr implements net.Listener.
func (s *forwardedServer) Addr() net.Addr { return &net.TCPAddr{} }
