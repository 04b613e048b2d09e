package edge

import (
	"context"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/connbudget"
	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/metrics"
	"github.com/nutmeghitch/nutmeghitch/pkg/netconn"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

const (
	// dialTimeout limits one dial of a replica or VM, whose handshake normally
	// takes milliseconds.
	dialTimeout = 400 * time.Millisecond
	// deadUpstreamTimeout is the time after which a connection to a replica that
	// no longer acknowledges packets is closed.
	deadUpstreamTimeout = 2 * time.Second
	// deadPeerTimeout is the time after which a connection to another VM that no
	// longer acknowledges packets is closed.
	deadPeerTimeout = time.Second
	// memoryLimitShare of the VM's memory is the collector's limit; the rest is
	// for socket buffers and stacks.
	memoryLimitShare = 0.6
	// bufferedShare of the VM's memory is for responses of replicas that are
	// buffered until their query ends. Beyond it, long responses fail.
	bufferedShare = 0.25
	// bodyShare of the VM's memory is for bodies of requests that are longer than a few
	// kilobytes. Beyond it such requests are refused.
	bodyShare = 0.1
	// stopReserve is the part of the stop grace period that is reserved for the
	// exit of the process.
	stopReserve = 300 * time.Millisecond
	// defaultStopGrace is used if the settings have no stop grace period, or one
	// not longer than stopReserve.
	defaultStopGrace = 6 * time.Second
)

// Store is the part of the platform's object store that the tier uses.
type Store interface {
	Configs() storewatch.Source[*routes.Table]
	Replicas() storewatch.Source[discovery.Replica]
	OutOfServiceDomains() storewatch.Source[string]
	VMs() storewatch.Source[discovery.VM]
	RegisterVM(ctx context.Context, vm discovery.VM) error
	DeleteVM(ctx context.Context, name string) error
	Crashes() storewatch.Source[discovery.Crash]
	ReportCrash(ctx context.Context, name string, crash discovery.Crash) error
	ReplaceCrash(ctx context.Context, name string, crash discovery.Crash) error
	DeleteCrash(ctx context.Context, name string) error
	RequestLimits() storewatch.Source[discovery.RequestLimit]
	ReportRequestLimit(ctx context.Context, limit discovery.RequestLimit) error
	DeleteRequestLimit(ctx context.Context, replica string) error
	RolloutStore
}

// Config holds what one VM needs to run.
type Config struct {
	Settings Settings
	// SettingsUpdates delivers the complete settings each time they have
	// changed. It is nil if they never change.
	SettingsUpdates <-chan Settings
	Store           Store
	Headers         forward.HeaderNames
	// ReadyPath is the path of the load balancer's health check.
	ReadyPath string
	Log       *logrus.Logger
	Metrics   *metrics.Metrics
}

// Handles of the services that run in a VM.
var (
	controllerHandle = kernel.NewHandle[*controllerService]("control")
	balancerHandle   = kernel.NewHandle[*balancerService]("balancer")
	callersHandle    = kernel.NewHandle[*callersService]("callers")
)

// Run serves until ctx ends and then stops gracefully: it finishes the requests
// in flight within the stop grace period. Its errors are those of package
// kernel.
func Run(ctx context.Context, c Config) error {
	limitRuntime(c.Settings)
	k := kernel.New()
	ready := newReadiness()
	controller := newControllerService(c, ready)
	services := []error{
		kernel.Add(k, controllerHandle, controller),
		kernel.Add(k, balancerHandle, &balancerService{addr: c.Settings.ReadyAddr, path: c.ReadyPath, ready: ready, metrics: c.Metrics, clients: controller.clients}, controllerHandle),
		kernel.Add(k, callersHandle, &callersService{settings: c.Settings, controller: controller, ready: ready, log: c.Log.WithField("part", "callers")}, controllerHandle, balancerHandle),
	}
	for _, err := range services {
		if err != nil {
			return err
		}
	}
	return k.Run(ctx, func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), stopGrace(*controller.settings.Load()))
	})
}

// stopGrace returns the time that the services have for a graceful stop.
func stopGrace(s Settings) time.Duration {
	if s.Bounds.StopGrace <= stopReserve {
		return defaultStopGrace
	}
	return s.Bounds.StopGrace - stopReserve
}

// limitRuntime limits the Go runtime to the VM's resources: threads beyond its
// cores only cost thread wake-ups, and the heap must fit into its memory.
func limitRuntime(s Settings) {
	runtime.GOMAXPROCS(max(1, s.Cores))
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
}

// gcPercent lets the heap grow to four times the live data before a collection,
// because processor time is scarcer than memory.
const gcPercent = 300

// controllerService runs the controller and the goroutines that give it updates:
// the watches of the store, the feeds, the probes and the checks of other VMs.
type controllerService struct {
	config Config
	// settings are the current settings.
	settings   atomic.Pointer[Settings]
	controller *controller
	forwarder  *forward.Forwarder
	prober     *prober
	crashes    *crashReporter
	limits     *limitReporter
	forwarded  *forwardedServer
	// clients bounds what the connections that the VM accepts hold.
	clients *clientBudget
	// quota is nil where no caps are in force.
	quota *quotaService
}

func newControllerService(c Config, ready *readiness) *controllerService {
	probeLog := c.Log.WithField("part", "probe")
	p := newProber(c.Headers, probeLog)
	ledger := newCrashLedger()
	f := forward.New(forward.Config{
		Headers: c.Headers, Observer: p, Ledger: ledger, Memory: exchange.NewMemory(int64(bufferedShare * float64(c.Settings.MemoryBytes))),
		Bodies: exchange.NewMemory(int64(bodyShare * float64(c.Settings.MemoryBytes))),
		Log:    c.Log.WithField("part", "forward"), Scope: c.Metrics.Scope, Buckets: metrics.LatencyBuckets,
	})
	f.SetBodyStall(c.Settings.Bounds.BodyStall)
	f.SetTenantBounds(c.Settings.Bounds.tenantBounds())
	dialer := netconn.Dialer(dialTimeout, deadUpstreamTimeout)
	s := newState(c.Settings, c.Log.WithField("part", "control"), dialer.DialContext)
	service := &controllerService{config: c, forwarder: f, prober: p, controller: newController(s, f, p, ready, ledger, c.Store, c.Log.WithField("part", "control"))}
	service.settings.Store(&c.Settings)
	service.clients = newClientBudget(c.Settings, c.Log.WithField("part", "clients"), c.Metrics.Scope)
	if c.Settings.CapsInForce {
		service.quota = newQuotaService(c.Settings.VM, c.Settings.Bounds.quota(), c.Log.WithField("part", "quota"), c.Metrics.Scope)
		f.SetQuota(service.quota)
	}
	return service
}

// Start implements kernel.Starter.
func (s *controllerService) Start(_ context.Context, scope *kernel.Scope) error {
	s.crashes = newCrashReporter(s.controller, s.config.Store, s.config.Log.WithField("part", "crash"))
	s.crashes.observe(s.prober)
	s.limits = newLimitReporter(s.controller, s.config.Store, s.config.Log.WithField("part", "limit"))
	s.prober.onRequestLimit = s.limits.report
	s.controller.onLostCrash, s.controller.onLostLimit = s.crashes.reportAgain, s.limits.report
	s.prober.start(scope.Context(), func(u *forward.Upstream, left time.Duration) {
		s.controller.post(scope.Context(), func(now time.Time) bool { return s.controller.replicaBecameCold(now, u, left) })
	})
	scope.Go(s.controller.run)
	if err := s.startFeeds(scope); err != nil {
		return err
	}
	scope.Go(func(ctx context.Context) error { s.register(ctx); return nil })
	scope.Go(func(ctx context.Context) error { s.crashes.run(ctx); return nil })
	scope.Go(func(ctx context.Context) error { s.limits.run(ctx); return nil })
	scope.Go(func(ctx context.Context) error { s.controller.writeRollouts(ctx, s.config.Store); return nil })
	scope.Go(func(ctx context.Context) error { s.applyUpdates(ctx); return nil })
	scope.Go(func(ctx context.Context) error { s.clients.run(ctx); return nil })
	return nil
}

// startFeeds serves the feed of this VM to others and starts the goroutines that
// get updates and watch the other VMs.
func (s *controllerService) startFeeds(scope *kernel.Scope) error {
	settings := s.config.Settings
	log := s.config.Log.WithField("part", "feed")
	dialer := netconn.Dialer(dialTimeout, deadPeerTimeout)
	updates := &updateSource{self: s.self(), seeds: s.seeds, controller: s.controller, dial: dialer.DialContext, log: log}
	s.forwarded = newForwardedServer(s.forwarder.ServeForwarded, s.config.Log.WithField("part", "peers"))
	scope.Go(s.forwarded.run)
	if settings.PeersAddr != "" {
		l, err := listen(settings.PeersAddr)
		if err != nil {
			return err
		}
		l = s.clients.listener(connbudget.Peers, l)
		peers := &peerServer{hub: s.controller.hub, relay: s.forwarder.ServeRelay, forwarded: s.forwarded, quota: s.quota, log: s.config.Log.WithField("part", "peers")}
		scope.Go(func(ctx context.Context) error { return peers.run(ctx, l) })
	}
	detector := &isolationDetector{self: s.self(), updates: updates, forwarder: s.forwarder, ready: s.controller.readiness, prober: s.prober, dial: dialer.DialContext, log: log}
	scope.Go(func(ctx context.Context) error { updates.run(ctx); return nil })
	scope.Go(func(ctx context.Context) error { updates.bootstrap(ctx); return nil })
	scope.Go(func(ctx context.Context) error { detector.run(ctx); return nil })
	watcher := s.newLinkWatcher(updates, relay.DialFunc(dialer.DialContext))
	scope.Go(func(ctx context.Context) error { watcher.run(ctx); return nil })
	if s.quota != nil {
		s.quota.start(scope.Context(), updates.vms, relay.DialFunc(dialer.DialContext), s.forwarder)
		scope.Go(func(ctx context.Context) error { s.quota.run(ctx); return nil })
	}
	cleaner := &vmCleaner{self: s.self(), controller: s.controller, updates: updates, store: s.config.Store, dial: dialer.DialContext, log: log, unreachableSince: map[discovery.VM]time.Time{}}
	scope.Go(func(ctx context.Context) error { cleaner.run(ctx); return nil })
	return nil
}

// newLinkWatcher returns what checks whether this VM reaches replicas. dial connects to
// other VMs.
func (s *controllerService) newLinkWatcher(updates *updateSource, dial relay.DialFunc) *linkWatcher {
	log := s.config.Log.WithField("part", "links")
	return &linkWatcher{
		forwarder: s.forwarder, prober: s.prober, dial: s.controller.state.dial, log: log,
		helpers: &helperSet{self: s.self(), vms: updates.vms, dial: dial, log: log, helpers: map[discovery.VM]*forward.Helper{}},
	}
}

// seeds returns the seed addresses of the current settings.
func (s *controllerService) seeds() []string { return s.settings.Load().Seeds }

// self returns the entry of this VM.
func (s *controllerService) self() discovery.VM {
	settings := s.config.Settings
	return discovery.VM{Name: settings.VM, PeerAddr: settings.PeersAddr, Domain: settings.Domain}
}

// register writes the entry of this VM to the store, unless the store has it
// already, and again whenever it was removed. The VMs divide the limits of the
// replicas by the number of entries.
func (s *controllerService) register(ctx context.Context) {
	vm := s.self()
	log := s.config.Log.WithField("part", "control")
	for ctx.Err() == nil {
		storewatch.Retry(ctx, func() error {
			if s.controller.isRegistered(ctx, vm) {
				return nil
			}
			err := s.config.Store.RegisterVM(ctx, vm)
			if err != nil {
				log.WithField("error", err).Warn("writing the own VM entry to the store failed")
			}
			return err
		})
		select {
		case <-s.controller.ownEntryRemoved:
			log.WithField("vm", vm.Name).Warn("own VM entry was removed from the store: writing it again")
		case <-ctx.Done():
		}
	}
}

// balancerService serves the load balancer's health checks and the metrics.
type balancerService struct {
	addr, path string
	ready      *readiness
	metrics    *metrics.Metrics
	clients    *clientBudget
	server     *http.Server
}

// Start implements kernel.Starter.
func (s *balancerService) Start(_ context.Context, scope *kernel.Scope) error {
	mux := http.NewServeMux()
	mux.Handle(s.path, s.ready)
	mux.Handle("/metrics", s.metrics.Handler)
	s.server = &http.Server{
		Handler: mux, ConnState: connStateChanged, ReadHeaderTimeout: balancerHeaderTimeout,
		ReadTimeout: balancerRequestTimeout, WriteTimeout: balancerRequestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: balancerMaxHeaderBytes,
	}
	return serve(scope, s.server, s.addr, s.clients, connbudget.Ready)
}

const (
	// balancerHeaderTimeout limits the time to read a request header from the load
	// balancer.
	balancerHeaderTimeout = 5 * time.Second
	// balancerRequestTimeout limits the time to read a whole request, and to write its
	// answer. Scrapers of metrics give up after 10 s by default.
	balancerRequestTimeout = 10 * time.Second
	// balancerMaxHeaderBytes bounds a head. Balancers and scrapers send some hundred bytes.
	balancerMaxHeaderBytes = 16 << 10
)

// Stop implements kernel.Stopper.
func (s *balancerService) Stop(context.Context) error { return s.server.Close() }
