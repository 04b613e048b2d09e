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
	// drainPoll is the period of checks for attempts in flight during a stop.
	drainPoll = 10 * time.Millisecond
	// readyPoll is the period in which readiness follows the control state.
	readyPoll = 50 * time.Millisecond
	// snapshotWait bounds how long a new VM waits to learn the index versions
	// of all groups.
	snapshotWait = 5 * time.Second
)

// drainService waits during a stop until no attempt of any entry VM is in
// flight at this VM's replicas, while peers can still be answered.
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
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for s.dispatch.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return errs.Ambiguous(errs.Stopping, "%d attempts were in flight at the end of the stop timeout", s.dispatch.InFlight())
		case <-tick.C:
		}
	}
	return nil
}

// operatorsService serves operators and the balancer's checks.
type operatorsService struct {
	cfg       *Config
	ledger    *poison.Ledger
	readiness *frontend.Readiness
	callers   *callersService
	server    *frontend.Server
}

// Start implements kernel.Starter.
func (s *operatorsService) Start(_ context.Context, scope *kernel.Scope) error {
	ctl, err := kernel.Get(scope, controlHandle)
	if err != nil {
		return err
	}
	s.server = frontend.NewServer(frontend.ServerConfig{
		Handler: frontend.NewOperators(frontend.OperatorsConfig{
			Token:     s.cfg.OperatorToken,
			View:      ctl,
			Readiness: s.readiness,
			Poison:    &poisonAdmin{ledger: s.ledger, control: ctl},
			Metrics:   s.cfg.Metrics,
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
	scope.Go(func(ctx context.Context) error { return s.followReadiness(ctx, ctl, transport.Refused) })
	return nil
}

// followReadiness makes the VM ready once its configuration is known, its
// peers have been asked for a newer one, and it knows a snapshot of each search
// service. A service whose upstreams are all lost must not keep a VM from
// serving the others, so snapshots are waited for only for a time. A VM whose
// secret all peers refuse is not ready: it would send to replicas that others
// own, over their slots.
func (s *operatorsService) followReadiness(ctx context.Context, ctl *controlService, refused func() bool) error {
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	var synced time.Time
	for {
		switch {
		case !ctl.Synced():
			synced = time.Time{}
		case synced.IsZero():
			synced = time.Now()
		}
		known := !synced.IsZero() && (s.readiness.Ready() || time.Since(synced) > snapshotWait || snapshotsKnown(ctl.Current()))
		s.readiness.SetReady(known && !refused())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func snapshotsKnown(v *model.View) bool {
	if v.Config == nil {
		return false
	}
	for _, svc := range v.Config.Services {
		if svc.Kind != model.Search {
			continue
		}
		if c, ok := snapshot.Choose(svc, v); !ok || c.CoveredGroups < len(c.Groups) {
			return false
		}
	}
	return true
}

// Stop implements kernel.Stopper.
func (s *operatorsService) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// poisonAdmin is the operators' access to poison verdicts.
type poisonAdmin struct {
	ledger  *poison.Ledger
	control *controlService
}

// List implements frontend.PoisonAdmin.
func (p *poisonAdmin) List() []model.PoisonEntry { return p.ledger.List(time.Now()) }

// Lift implements frontend.PoisonAdmin.
func (p *poisonAdmin) Lift(ctx context.Context, fingerprint uint64) (bool, error) {
	e, known := p.ledger.Lift(time.Now(), fingerprint)
	if !known {
		return false, nil
	}
	p.control.PublishPoison(ctx, e)
	return true, nil
}

// callersService serves callers.
type callersService struct {
	cfg       *Config
	readiness *frontend.Readiness
	control   *controlService
	// server is nil until Start; operators and metrics read it before that.
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

// Stop implements kernel.Stopper. Owners move away as soon as the VM has
// announced that it leaves; callers are accepted for the balancer's notice.
func (s *callersService) Stop(ctx context.Context) error {
	return frontend.StopPlan{
		Readiness:      s.readiness,
		AnnounceLeave:  s.control.Leave,
		Callers:        s.server.Load(),
		BalancerNotice: s.cfg.BalancerNotice,
	}.Run(ctx)
}

func (s *callersService) inFlight() int {
	server := s.server.Load()
	if server == nil {
		return 0
	}
	return server.InFlight()
}
