package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/netconn"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// balancerNotice is the time in which the balancer has noticed that this
	// VM is not ready any more: two misses a second apart, and their way.
	balancerNotice = 2500 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeaderBytes bound a caller's connection
	// while no configuration is known, and whatever it says: slow or large heads
	// of many callers must not use up the VM.
	headerTimeout  = 30 * time.Second
	idleTimeout    = 5 * time.Minute
	maxHeaderBytes = 256 << 10
	// callerSilence ends connections to callers whose VM has gone.
	callerSilence = 10 * time.Second
)

// callersService serves callers.
type callersService struct {
	settings Settings
	control  *controlService
	ready    *readiness
	log      logrus.FieldLogger
	server   *http.Server
}

// Start implements kernel.Starter.
func (s *callersService) Start(_ context.Context, scope *kernel.Scope) error {
	conns := newCallerConns(s.log)
	s.server = &http.Server{
		Handler:           s.control.forwarder,
		ConnState:         conns.track,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if err := serve(scope, s.server, s.settings.CallersAddr); err != nil {
		return err
	}
	scope.Go(func(ctx context.Context) error { conns.run(ctx, s.limits); return nil })
	s.log.WithFields(logrus.Fields{"vm": s.settings.VM, "domain": s.settings.Domain, "addr": s.settings.CallersAddr}).Info("started")
	return nil
}

// limits returns the limits of the configuration in force, none before the first.
func (s *callersService) limits() routes.Limits {
	if view := s.control.forwarder.View(); view != nil {
		return view.Table.Limits
	}
	return routes.Limits{}
}

// Stop implements kernel.Stopper. The VM first counts as not ready while it
// still serves, so that the balancer sends no new connections, and then
// finishes the requests in flight.
func (s *callersService) Stop(ctx context.Context) error {
	s.log.Info("stopping, no longer ready")
	s.ready.stopping.Store(true)
	s.control.forwarder.SetLeaving(true)
	wait.Sleep(ctx, balancerNotice)
	err := s.server.Shutdown(ctx)
	s.log.WithField("cut", err != nil).Info("stopped")
	if err != nil {
		return s.server.Close()
	}
	return nil
}

func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: netconn.KeepAlive(callerSilence)}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errs.Refuse(errs.AddressInUse, "%v", err)
	}
	return l, nil
}

// serve listens on addr and serves in the scope's group.
func serve(scope *kernel.Scope, server *http.Server, addr string) error {
	listener, err := listen(addr)
	if err != nil {
		return err
	}
	scope.Go(func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}
