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

// Handles of the services of one VM. Their names appear in errors of the kernel.
var (
	peerHandle         = kernel.NewHandle[*peerService]("peer")
	controlHandle      = kernel.NewHandle[*controlService]("control")
	dispatchHandle     = kernel.NewHandle[*dispatchService]("dispatch")
	claimHandle        = kernel.NewHandle[*claimService]("claim")
	gatewayHandle      = kernel.NewHandle[*gatewayService]("gateway")
	metricsHandle      = kernel.NewHandle[*metricsService]("metrics")
	peerListenerHandle = kernel.NewHandle[*peerListenerService]("peer_listener")
	drainHandle        = kernel.NewHandle[*drainService]("drain")
	operatorsHandle    = kernel.NewHandle[*operatorsService]("operators")
	callersHandle      = kernel.NewHandle[*callersService]("callers")
)

// services holds the services that methods of Node read.
type services struct {
	control *controlService
	gateway *gatewayService
	callers *callersService
}

// registerServices adds all services to the kernel. Their dependencies make a
// stop end the server for callers first, then wait for the attempts that run for
// other VMs, and close the connections to other VMs last.
func registerServices(k *kernel.Kernel, c *Config, readiness *frontend.Readiness) (*services, error) {
	ledger := poison.NewLedger(poison.Config{})
	controller := &controlService{cfg: c, ledger: ledger, rng: newRandFrom(c.Rand)}
	gw := &gatewayService{cfg: c, ledger: ledger, rng: newRandFrom(c.Rand)}
	callers := &callersService{cfg: c, readiness: readiness}
	addErrs := []error{
		kernel.Add(k, peerHandle, &peerService{cfg: c}),
		kernel.Add(k, controlHandle, controller, peerHandle),
		kernel.Add(k, dispatchHandle, &dispatchService{cfg: c, ledger: ledger}, controlHandle),
		kernel.Add(k, claimHandle, &claimService{cfg: c}, peerHandle, controlHandle),
		kernel.Add(k, gatewayHandle, gw, peerHandle, controlHandle, dispatchHandle, claimHandle),
		kernel.Add(k, peerListenerHandle, &peerListenerService{}, peerHandle, controlHandle, dispatchHandle, claimHandle),
		kernel.Add(k, metricsHandle, &metricsService{cfg: c, callers: callers}, controlHandle, dispatchHandle),
		kernel.Add(k, drainHandle, &drainService{}, dispatchHandle, peerListenerHandle),
		kernel.Add(k, operatorsHandle, &operatorsService{cfg: c, ledger: ledger, readiness: readiness, callers: callers}, peerHandle, controlHandle, drainHandle),
		kernel.Add(k, callersHandle, callers, gatewayHandle, controlHandle, drainHandle, operatorsHandle),
	}
	for _, err := range addErrs {
		if err != nil {
			return nil, err
		}
	}
	return &services{control: controller, gateway: gw, callers: callers}, nil
}

// newRandFrom returns a new generator that is seeded from r. Each service has its
// own, because a generator must not be used by several goroutines.
func newRandFrom(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

// logFor returns the logger of a part, whose lines have its name under "part".
func logFor(c *Config, part string) logrus.FieldLogger { return logging.ForPart(c.Logger, part) }

// peerService holds the transport that exchanges messages with other VMs.
type peerService struct {
	cfg *Config
	*peer.Transport
}

// Start implements kernel.Starter. The transport accepts connections only when
// peerListenerService has registered all message handlers.
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

// controlService runs the controller, which maintains the VM's view of the tier.
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
		JoinSections: s.joinSections,
		Verify:       func(hash string, body []byte) bool { return config.Hash(body) == hash },
		Rng:          s.rng,
	})
	scope.Go(s.Run)
	return nil
}

// joinSections builds the configuration document from the sections that the
// manifest names, and applies the document's poison limits to the ledger.
func (s *controlService) joinSections(m confsync.Manifest, section func(hash string) ([]byte, bool)) (*model.Document, error) {
	doc, err := config.Join(config.Manifest{Version: m.Version, Sections: m.Sections}, section)
	if err != nil {
		return nil, err
	}
	s.ledger.Configure(doc.Tier.PoisonLimit, time.Duration(doc.Tier.PoisonBlockMS)*time.Millisecond)
	return doc, nil
}

// dispatchService runs the attempts at the replicas that this VM owns.
type dispatchService struct {
	cfg    *Config
	ledger *poison.Ledger
	*dispatch.Dispatcher
}

// Start implements kernel.Starter.
func (s *dispatchService) Start(_ context.Context, scope *kernel.Scope) error {
	controller, err := kernel.Get(scope, controlHandle)
	if err != nil {
		return err
	}
	s.Dispatcher = dispatch.New(dispatch.Config{
		Self:          s.cfg.Self.ID,
		View:          controller,
		Ledger:        s.ledger,
		ReportStatus:  controller.ObserveReplica,
		OnReleased:    controller.SendRelease,
		PublishPoison: controller.PublishPoison,
		Dial:          s.cfg.UpstreamDial,
		Log:           logFor(s.cfg, "dispatch"),
		Scope:         s.cfg.MetricsScope,
		Policy:        s.cfg.Policy,
	})
	scope.Go(s.Run)
	return nil
}

// claimService stores claims of idempotency keys, so that a request runs at most
// once.
type claimService struct {
	cfg *Config
	*claim.Service
}

// Start implements kernel.Starter.
func (s *claimService) Start(_ context.Context, scope *kernel.Scope) error {
	transport, peerErr := kernel.Get(scope, peerHandle)
	controller, controlErr := kernel.Get(scope, controlHandle)
	if err := cmp.Or(peerErr, controlErr); err != nil {
		return err
	}
	s.Service = claim.New(claim.Config{
		Self:      s.cfg.Self,
		View:      controller,
		Transport: transport,
		Store:     s.cfg.Store,
		Rank:      placement.Rank,
		Log:       logFor(s.cfg, "claim"),
		Observe:   newClaimCounter(s.cfg.MetricsScope),
	})
	return nil
}

// Stop implements kernel.Stopper. It waits until all outcomes are stored, also
// those of runs that ended after their caller's deadline.
func (s *claimService) Stop(ctx context.Context) error {
	err := s.Flush(ctx)
	s.Close()
	return err
}

// gatewayService routes the requests of this VM's callers to owners of replicas.
type gatewayService struct {
	cfg    *Config
	ledger *poison.Ledger
	rng    *rand.Rand
	*gateway.Gateway
}

// Start implements kernel.Starter.
func (s *gatewayService) Start(_ context.Context, scope *kernel.Scope) error {
	transport, peerErr := kernel.Get(scope, peerHandle)
	controller, controlErr := kernel.Get(scope, controlHandle)
	dispatcher, dispatchErr := kernel.Get(scope, dispatchHandle)
	claims, claimErr := kernel.Get(scope, claimHandle)
	if err := cmp.Or(peerErr, controlErr, dispatchErr, claimErr); err != nil {
		return err
	}
	s.Gateway = gateway.New(gateway.Config{
		Self:            s.cfg.Self,
		View:            controller,
		Transport:       transport,
		LocalDispatcher: dispatcher.Dispatcher,
		Ledger:          s.ledger,
		Claims:          claims.Service,
		Log:             logFor(s.cfg, "gateway"),
		Scope:           s.cfg.MetricsScope,
		Rand:            s.rng,
		Policy:          s.cfg.Policy,
	})
	scope.Go(s.Run)
	return nil
}

// peerListenerService accepts connections from other VMs.
type peerListenerService struct{}

// Start implements kernel.Starter.
func (s *peerListenerService) Start(_ context.Context, scope *kernel.Scope) error {
	transport, err := kernel.Get(scope, peerHandle)
	if err != nil {
		return err
	}
	if err := registerMessageHandlers(transport.Transport, scope); err != nil {
		return err
	}
	scope.Go(transport.Serve)
	return nil
}

// registerMessageHandlers sets the handler of each message kind that peers send.
func registerMessageHandlers(t *peer.Transport, scope *kernel.Scope) error {
	controller, controlErr := kernel.Get(scope, controlHandle)
	dispatcher, dispatchErr := kernel.Get(scope, dispatchHandle)
	claims, claimErr := kernel.Get(scope, claimHandle)
	if err := cmp.Or(controlErr, dispatchErr, claimErr); err != nil {
		return err
	}
	for _, k := range control.Kinds() {
		t.Handle(k, controller.Handle)
	}
	t.Handle(wire.KindSearchBatch, dispatcher.HandlePeer)
	t.Handle(wire.KindCallRequest, dispatcher.HandlePeer)
	t.Handle(wire.KindClaimRequest, claims.Handle)
	return nil
}
