package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/claim"
	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/control"
	"github.com/nutmeghitch/nutmeghitch/pkg/dispatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/gateway"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/peer"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Handles of the services of one VM.
var (
	peerHandle      = kernel.NewHandle[*peerService]("peer")
	controlHandle   = kernel.NewHandle[*controlService]("control")
	dispatchHandle  = kernel.NewHandle[*dispatchService]("dispatch")
	claimHandle     = kernel.NewHandle[*claimService]("claim")
	gatewayHandle   = kernel.NewHandle[*gatewayService]("gateway")
	metricsHandle   = kernel.NewHandle[*metricsService]("metrics")
	acceptHandle    = kernel.NewHandle[*acceptService]("peer_listener")
	drainHandle     = kernel.NewHandle[*drainService]("drain")
	operatorsHandle = kernel.NewHandle[*operatorsService]("operators")
	callersHandle   = kernel.NewHandle[*callersService]("callers")
)

// services are the parts of one VM that the Node itself needs.
type services struct {
	control *controlService
	gateway *gatewayService
	callers *callersService
}

// register adds all services to the kernel. The order of dependencies makes
// callers stop first, then the work of other VMs, then the connections.
func register(k *kernel.Kernel, c *Config, readiness *frontend.Readiness) (*services, error) {
	ledger := poison.NewLedger(poison.Config{})
	ctl := &controlService{cfg: c, ledger: ledger, rng: split(c.Rand)}
	gw := &gatewayService{cfg: c, ledger: ledger, rng: split(c.Rand)}
	callers := &callersService{cfg: c, readiness: readiness}
	add := []error{
		kernel.Add(k, peerHandle, &peerService{cfg: c}),
		kernel.Add(k, controlHandle, ctl, peerHandle),
		kernel.Add(k, dispatchHandle, &dispatchService{cfg: c, ledger: ledger}, controlHandle),
		kernel.Add(k, claimHandle, &claimService{cfg: c}, peerHandle, controlHandle),
		kernel.Add(k, gatewayHandle, gw, peerHandle, controlHandle, dispatchHandle, claimHandle),
		kernel.Add(k, acceptHandle, &acceptService{}, peerHandle, controlHandle, dispatchHandle, claimHandle),
		kernel.Add(k, metricsHandle, &metricsService{cfg: c, callers: callers}, controlHandle, dispatchHandle),
		kernel.Add(k, drainHandle, &drainService{}, dispatchHandle, acceptHandle),
		kernel.Add(k, operatorsHandle, &operatorsService{cfg: c, ledger: ledger, readiness: readiness, callers: callers}, peerHandle, controlHandle, drainHandle),
		kernel.Add(k, callersHandle, callers, gatewayHandle, controlHandle, drainHandle, operatorsHandle),
	}
	for _, err := range add {
		if err != nil {
			return nil, err
		}
	}
	return &services{control: ctl, gateway: gw, callers: callers}, nil
}

// split returns a generator of its own for one service, because a generator
// must not be shared by goroutines.
func split(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

func logFor(c *Config, part string) logrus.FieldLogger { return logging.ForPart(c.Logger, part) }

// peerService is the transport to other VMs.
type peerService struct {
	cfg *Config
	*peer.Transport
}

// Start implements kernel.Starter. The transport accepts connections only
// when acceptService starts, after its handlers are in place.
func (s *peerService) Start(context.Context, *kernel.Scope) error {
	s.Transport = peer.New(peer.Config{
		Self:     s.cfg.Self,
		Listener: s.cfg.PeersListener,
		Secret:   s.cfg.PeerSecret,
		TLS:      s.cfg.PeersTLS,
		Dial:     s.cfg.PeerDial,
		Log:      logFor(s.cfg, "peer"),
	})
	return nil
}

// Stop implements kernel.Stopper.
func (s *peerService) Stop(context.Context) error {
	s.Transport.Close()
	return nil
}

// controlService is the control goroutine.
type controlService struct {
	cfg    *Config
	ledger *poison.Ledger
	rng    *rand.Rand
	*control.Controller
}

// Start implements kernel.Starter.
func (s *controlService) Start(_ context.Context, scope *kernel.Scope) error {
	transport, err := kernel.Get(scope, peerHandle)
	if err != nil {
		return err
	}
	s.Controller = control.New(control.Config{
		Self:         s.cfg.Self,
		Seeds:        s.cfg.SeedVMs,
		Transport:    transport,
		Store:        s.cfg.Store,
		Log:          logFor(s.cfg, "control"),
		Ledger:       s.ledger,
		JoinSections: s.join,
		Verify:       func(hash string, body []byte) bool { return config.Hash(body) == hash },
		Rng:          s.rng,
	})
	scope.Go(s.Run)
	return nil
}

// join builds the document that a manifest names and puts its rules on poison
// requests in force.
func (s *controlService) join(m confsync.Manifest, section func(hash string) ([]byte, bool)) (*model.Document, error) {
	doc, err := config.Join(config.Manifest{Version: m.Version, Sections: m.Sections}, section)
	if err != nil {
		return nil, err
	}
	s.ledger.Configure(doc.Tier.PoisonLimit, time.Duration(doc.Tier.PoisonBlockMS)*time.Millisecond)
	return doc, nil
}

// dispatchService is the owner side.
type dispatchService struct {
	cfg    *Config
	ledger *poison.Ledger
	*dispatch.Dispatcher
}

// Start implements kernel.Starter.
func (s *dispatchService) Start(_ context.Context, scope *kernel.Scope) error {
	ctl, err := kernel.Get(scope, controlHandle)
	if err != nil {
		return err
	}
	s.Dispatcher = dispatch.New(dispatch.Config{
		Self:          s.cfg.Self.ID,
		View:          ctl,
		Ledger:        s.ledger,
		ReportStatus:  ctl.ObserveReplica,
		OnReleased:    ctl.SendRelease,
		PublishPoison: ctl.PublishPoison,
		Dial:          s.cfg.UpstreamDial,
		Log:           logFor(s.cfg, "dispatch"),
		Scope:         s.cfg.Scope,
		Policy:        s.cfg.Policy,
	})
	scope.Go(s.Run)
	return nil
}

// claimService keeps at-most-once claims.
type claimService struct {
	cfg *Config
	*claim.Service
}

// Start implements kernel.Starter.
func (s *claimService) Start(_ context.Context, scope *kernel.Scope) error {
	transport, noPeer := kernel.Get(scope, peerHandle)
	ctl, noControl := kernel.Get(scope, controlHandle)
	if err := cmp.Or(noPeer, noControl); err != nil {
		return err
	}
	s.Service = claim.New(claim.Config{
		Self:      s.cfg.Self,
		View:      ctl,
		Transport: transport,
		Store:     s.cfg.Store,
		Rank:      placement.Rank,
		Log:       logFor(s.cfg, "claim"),
		Observe:   claimVerdicts(s.cfg.Scope),
	})
	return nil
}

// Stop implements kernel.Stopper. It stores the outcomes of runs that ended
// after their caller's deadline.
func (s *claimService) Stop(ctx context.Context) error {
	err := s.Flush(ctx)
	s.Close()
	return err
}

// gatewayService is the entry side.
type gatewayService struct {
	cfg    *Config
	ledger *poison.Ledger
	rng    *rand.Rand
	*gateway.Gateway
}

// Start implements kernel.Starter.
func (s *gatewayService) Start(_ context.Context, scope *kernel.Scope) error {
	transport, noPeer := kernel.Get(scope, peerHandle)
	ctl, noControl := kernel.Get(scope, controlHandle)
	local, noDispatch := kernel.Get(scope, dispatchHandle)
	claims, noClaim := kernel.Get(scope, claimHandle)
	if err := cmp.Or(noPeer, noControl, noDispatch, noClaim); err != nil {
		return err
	}
	s.Gateway = gateway.New(gateway.Config{
		Self:            s.cfg.Self,
		View:            ctl,
		Transport:       transport,
		LocalDispatcher: local.Dispatcher,
		Ledger:          s.ledger,
		Claims:          claims.Service,
		Log:             logFor(s.cfg, "gateway"),
		Scope:           s.cfg.Scope,
		Rand:            s.rng,
		Policy:          s.cfg.Policy,
	})
	scope.Go(s.Run)
	return nil
}

// acceptService accepts connections of other VMs.
type acceptService struct{}

// Start implements kernel.Starter.
func (s *acceptService) Start(_ context.Context, scope *kernel.Scope) error {
	transport, err := kernel.Get(scope, peerHandle)
	if err != nil {
		return err
	}
	if err := routeMessages(transport.Transport, scope); err != nil {
		return err
	}
	scope.Go(transport.Serve)
	return nil
}

// routeMessages tells the transport which service handles which message.
func routeMessages(t *peer.Transport, scope *kernel.Scope) error {
	ctl, noControl := kernel.Get(scope, controlHandle)
	local, noDispatch := kernel.Get(scope, dispatchHandle)
	claims, noClaim := kernel.Get(scope, claimHandle)
	if err := cmp.Or(noControl, noDispatch, noClaim); err != nil {
		return err
	}
	for _, k := range control.Kinds() {
		t.Handle(k, ctl.Handle)
	}
	t.Handle(wire.KindSearchBatch, local.HandlePeer)
	t.Handle(wire.KindCallRequest, local.HandlePeer)
	t.Handle(wire.KindClaimRequest, claims.Handle)
	return nil
}
