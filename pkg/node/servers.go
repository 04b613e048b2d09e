package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/snapshot"
)

const (
	// drainPollInterval is how often a stop checks for attempts in flight.
	drainPollInterval = 10 * time.Millisecond
	// readinessPollInterval is how often readiness is updated from the view.
	readinessPollInterval = 50 * time.Millisecond
	// maxSnapshotWait bounds how long a new VM that knows its configuration waits
	// for the index versions of all groups before it becomes ready.
	maxSnapshotWait = 5 * time.Second
)

// drainService makes a stop wait until no attempt is in flight at the replicas
// that this VM owns, whichever VM the request entered at. The peer transport is
// still running then, so that other VMs get their results.
type drainService struct {
	dispatch *dispatchService
}

// Start implements kernel.Starter.
func (s *drainService) Start(_ context.Context, scope *kernel.Scope) error {
	var err error
	s.dispatch, err = kernel.Get(scope, dispatchHandle)
	return err
}

// Stop implements kernel.Stopper.
func (s *drainService) Stop(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.dispatch.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return errs.Ambiguous(errs.Stopping, "%d attempts were in flight at the end of the stop timeout", s.dispatch.InFlight())
		case <-ticker.C:
		}
	}
	return nil
}

// operatorsService serves operators and the health checks of the load balancer.
type operatorsService struct {
	cfg       *Config
	ledger    *poison.Ledger
	readiness *frontend.Readiness
	callers   *callersService
	server    *frontend.Server
}

// Start implements kernel.Starter.
func (s *operatorsService) Start(_ context.Context, scope *kernel.Scope) error {
	controller, err := kernel.Get(scope, controlHandle)
	if err != nil {
		return err
	}
	s.server = frontend.NewServer(frontend.ServerConfig{
		Handler: frontend.NewOperators(frontend.OperatorsConfig{
			Token:     s.cfg.OperatorToken,
			View:      controller,
			Readiness: s.readiness,
			Poison:    &poisonAdmin{ledger: s.ledger, control: controller},
			Metrics:   s.cfg.MetricsHandler,
			InFlight:  s.callers.inFlight,
		}),
		TLS: s.cfg.OperatorsTLS,
		Log: logFor(s.cfg, "operators"),
	})
	scope.Go(func(context.Context) error { return s.server.Serve(s.cfg.OperatorsListener) })
	transport, err := kernel.Get(scope, peerHandle)
	if err != nil {
		return err
	}
	scope.Go(func(ctx context.Context) error { return s.updateReadiness(ctx, controller, transport.Refused) })
	return nil
}

// updateReadiness makes the VM ready once its configuration is known, its
// peers have been asked for a newer one, and it knows a snapshot of each search
// service. The wait for snapshots ends after maxSnapshotWait, so that a service
// whose upstreams are all lost does not keep the VM from serving the others. A
// VM that is ready stays so when a snapshot becomes incomplete later. A VM whose
// secret was refused by peers and accepted by none is not ready: it sees no other
// VM alive, so it would send to replicas that others own and exceed their slots.
func (s *operatorsService) updateReadiness(ctx context.Context, controller *controlService, peersRefuseSecret func() bool) error {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	var syncedSince time.Time
	for {
		switch {
		case !controller.Synced():
			syncedSince = time.Time{}
		case syncedSince.IsZero():
			syncedSince = time.Now()
		}
		stateKnown := !syncedSince.IsZero() && (s.readiness.Ready() || time.Since(syncedSince) > maxSnapshotWait || allSnapshotsComplete(controller.Current()))
		s.readiness.SetReady(stateKnown && !peersRefuseSecret())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// allSnapshotsComplete reports whether the view has a snapshot of every search
// service that covers all of its groups. It is false without a configuration.
func allSnapshotsComplete(v *model.View) bool {
	if v.Config == nil {
		return false
	}
	for _, svc := range v.Config.Services {
		if svc.Kind != model.Search {
			continue
		}
		if choice, ok := snapshot.Choose(svc, v); !ok || choice.CoveredGroups < len(choice.Groups) {
			return false
		}
	}
	return true
}

// Stop implements kernel.Stopper.
func (s *operatorsService) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// poisonAdmin lets operators list and lift poison verdicts. A lifted verdict is
// published to the other VMs.
type poisonAdmin struct {
	ledger  *poison.Ledger
	control *controlService
}

// List implements frontend.PoisonAdmin.
func (p *poisonAdmin) List() []model.PoisonEntry { return p.ledger.List(time.Now()) }

// Lift implements frontend.PoisonAdmin.
func (p *poisonAdmin) Lift(ctx context.Context, fingerprint uint64) (bool, error) {
	entry, found := p.ledger.Lift(time.Now(), fingerprint)
	if !found {
		return false, nil
	}
	p.control.PublishPoison(ctx, entry)
	return true, nil
}

// callersService runs the HTTP server for callers.
type callersService struct {
	cfg       *Config
	readiness *frontend.Readiness
	control   *controlService
	// server is nil until Start. operatorsService and metricsService start earlier
	// and read it concurrently.
	server atomic.Pointer[frontend.Server]
}

// Start implements kernel.Starter.
func (s *callersService) Start(_ context.Context, scope *kernel.Scope) error {
	gw, err := kernel.Get(scope, gatewayHandle)
	if err != nil {
		return err
	}
	s.control, err = kernel.Get(scope, controlHandle)
	if err != nil {
		return err
	}
	server := frontend.NewServer(frontend.ServerConfig{
		Handler: frontend.NewCallers(frontend.CallersConfig{
			Gateway:      gw,
			View:         s.control,
			Log:          logFor(s.cfg, "frontend"),
			MaxBodyBytes: s.cfg.MaxBodyBytes,
		}),
		TLS: s.cfg.CallersTLS,
		Log: logFor(s.cfg, "frontend"),
	})
	s.server.Store(server)
	scope.Go(func(context.Context) error { return server.Serve(s.cfg.CallersListener) })
	return nil
}

// Stop implements kernel.Stopper. Other VMs take over this VM's replicas as soon
// as it has announced that it leaves; callers are still accepted for
// BalancerNotice.
func (s *callersService) Stop(ctx context.Context) error {
	return frontend.StopPlan{
		Readiness:      s.readiness,
		AnnounceLeave:  s.control.Leave,
		Callers:        s.server.Load(),
		BalancerNotice: s.cfg.BalancerNotice,
	}.Run(ctx)
}

// inFlight returns the number of callers' requests in flight, 0 before Start.
func (s *callersService) inFlight() int {
	server := s.server.Load()
	if server == nil {
		return 0
	}
	return server.InFlight()
}
