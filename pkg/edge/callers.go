package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/connbudget"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/netconn"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// balancerDetectionTime is how long the load balancer may take to stop
	// sending new connections to a VM that is no longer ready: two failed health
	// checks one second apart, plus their network delay.
	balancerDetectionTime = 2500 * time.Millisecond
	// lastAnswersTime is the time in which the last responses of a planned stop are
	// written, before all connections are closed. The HTTP server looks only twice a
	// second whether they are.
	lastAnswersTime = 550 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeaderBytes limit a caller's connection
	// before a configuration is known, and cap what a configuration allows: slow
	// or large request headers of many callers must not exhaust the VM.
	headerTimeout  = 30 * time.Second
	idleTimeout    = 5 * time.Minute
	maxHeaderBytes = 256 << 10
	// deadCallerTimeout is the time after which TCP keep-alive closes the
	// connection of a caller whose machine no longer responds.
	deadCallerTimeout = 10 * time.Second
)

// callersService runs the HTTP server for callers.
type callersService struct {
	settings   Settings
	controller *controllerService
	ready      *readiness
	log        logrus.FieldLogger
	server     *http.Server
}

// Start implements kernel.Starter.
func (s *callersService) Start(_ context.Context, scope *kernel.Scope) error {
	conns := newCallerConns(s.log)
	s.server = &http.Server{
		Handler: s.controller.forwarder,
		ConnState: func(c net.Conn, state http.ConnState) {
			connStateChanged(c, state)
			conns.connStateChanged(c, state)
		},
		ConnContext:       callerConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// The server would answer "OPTIONS *" itself, with a success.
		DisableGeneralOptionsHandler: true,
	}
	if err := serve(scope, s.server, s.settings.CallersAddr, s.controller.clients, connbudget.Callers); err != nil {
		return err
	}
	scope.Go(func(ctx context.Context) error { conns.run(ctx, s.limits); return nil })
	s.log.WithFields(logrus.Fields{"vm": s.settings.VM, "domain": s.settings.Domain, "addr": s.settings.CallersAddr}).Info("serving callers")
	return nil
}

// callerConnContext is the ConnContext hook of the HTTP server: the round-trip time
// of a caller's connection tells how much of the target the network takes.
func callerConnContext(ctx context.Context, c net.Conn) context.Context {
	roundTrip, _ := netconn.RoundTripTime(c)
	return forward.WithCallerConn(ctx, &forward.CallerConn{Conn: c, RoundTrip: roundTrip})
}

// limits returns the limits of the current configuration, or no limits before
// the first one is known.
func (s *callersService) limits() routes.Limits {
	if view := s.controller.forwarder.View(); view != nil {
		return view.Table.Limits
	}
	return routes.Limits{}
}

// Stop implements kernel.Stopper. The VM first reports that it is not ready
// while it still serves, so that the load balancer sends no new connections.
// Then it finishes the requests in flight.
func (s *callersService) Stop(ctx context.Context) error {
	s.log.Info("stopping: reporting not ready to the load balancer")
	s.ready.stopping.Store(true)
	s.controller.forwarder.SetCloseConnections(true)
	if s.controller.quota != nil {
		s.controller.quota.leave()
	}
	if end, ok := ctx.Deadline(); ok {
		s.controller.forwarder.StopBy(end.Add(-lastAnswersTime))
	}
	wait.Sleep(ctx, balancerDetectionTime)
	err := errors.CombineErrors(s.server.Shutdown(ctx), s.controller.forwarded.stop(ctx))
	s.log.WithField("requests_aborted", err != nil).Info("stopped serving callers")
	if err != nil {
		return s.server.Close()
	}
	return nil
}

// listen opens a TCP listener whose connections use keep-alive. Its error is an
// *errs.Refusal with code AddressInUse.
func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: netconn.KeepAlive(deadCallerTimeout)}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errs.Refuse(errs.AddressInUse, "%v", err)
	}
	return l, nil
}

// serve listens on addr and runs the server in a goroutine of the scope. Its connections
// count against the share of the port.
func serve(scope *kernel.Scope, server *http.Server, addr string, clients *clientBudget, port connbudget.Port) error {
	listener, err := listen(addr)
	if err != nil {
		return err
	}
	listener = clients.listener(port, listener)
	scope.Go(func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}
