package edge

import (
	"context"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/metrics"
	"github.com/nutmeghitch/nutmeghitch/pkg/netconn"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

const (
	// dialTimeout bounds one dial of a replica, whose handshake takes
	// milliseconds.
	dialTimeout = 400 * time.Millisecond
	// upstreamSilence ends connections to replicas that show no sign of life.
	upstreamSilence = 2 * time.Second
	// peerSilence ends connections to VMs that show no sign of life.
	peerSilence = time.Second
	// memoryShare of the VM's memory is the collector's limit; the rest is for
	// socket buffers and stacks.
	memoryShare = 0.6
	// stopReserve is the part of the grace time that is kept for the exit.
	stopReserve = 300 * time.Millisecond
	// defaultGrace holds when the settings state none.
	defaultGrace = 6 * time.Second
)

// Store is the platform's object store as the tier uses it.
type Store interface {
	Configs() storewatch.Source[*routes.Table]
	Replicas() storewatch.Source[discovery.Replica]
	OutOfServiceDomains() storewatch.Source[string]
	VMs() storewatch.Source[discovery.VM]
	RegisterVM(ctx context.Context, vm discovery.VM) error
	DeleteVM(ctx context.Context, name string) error
	Crashes() storewatch.Source[discovery.Crash]
	ReportCrash(ctx context.Context, name string, crash discovery.Crash) error
	DeleteCrash(ctx context.Context, name string) error
}

// Config describes one VM.
type Config struct {
	Settings Settings
	// SettingsUpdates delivers the complete settings each time they have
	// changed. It is nil if they never change.
	SettingsUpdates <-chan Settings
	Store           Store
	Headers         forward.HeaderNames
	// ReadyPath is the path that the balancer asks.
	ReadyPath string
	Log       *logrus.Logger
	Metrics   *metrics.Metrics
}

// Handles of the services of a VM.
var (
	controlHandle  = kernel.NewHandle[*controlService]("control")
	balancerHandle = kernel.NewHandle[*balancerService]("balancer")
	callersHandle  = kernel.NewHandle[*callersService]("callers")
)

// Run serves until ctx ends and then stops without cutting requests. Its
// errors are those of package kernel.
func Run(ctx context.Context, c Config) error {
	limitProcess(c.Settings)
	k := kernel.New()
	ready := newReadiness()
	control := newControlService(c, ready)
	services := []error{
		kernel.Add(k, controlHandle, control),
		kernel.Add(k, balancerHandle, &balancerService{addr: c.Settings.ReadyAddr, path: c.ReadyPath, ready: ready, metrics: c.Metrics}, controlHandle),
		kernel.Add(k, callersHandle, &callersService{settings: c.Settings, control: control, ready: ready, log: c.Log.WithField("part", "callers")}, controlHandle, balancerHandle),
	}
	for _, err := range services {
		if err != nil {
			return err
		}
	}
	return k.Run(ctx, func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), stopGrace(*control.settings.Load()))
	})
}

func stopGrace(s Settings) time.Duration {
	if s.Bounds.StopGrace <= stopReserve {
		return defaultGrace
	}
	return s.Bounds.StopGrace - stopReserve
}

// limitProcess fits the runtime to the VM: threads beyond its cores only cost
// wake-ups, and the collector must stay within its memory.
func limitProcess(s Settings) {
	runtime.GOMAXPROCS(max(1, s.Cores))
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
}

// gcPercent lets the heap grow to four times what is in use, because processor
// time is scarcer than memory.
const gcPercent = 300

// controlService follows the store and probes replicas.
type controlService struct {
	config Config
	// settings are those in force.
	settings  atomic.Pointer[Settings]
	control   *control
	forwarder *forward.Forwarder
	prober    *prober
	crashes   *crashReporter
}

func newControlService(c Config, ready *readiness) *controlService {
	probeLog := c.Log.WithField("part", "probe")
	p := newProber(c.Headers, probeLog)
	ledger := poison.NewLedger(poison.Config{Limit: maxCrashAttempts, BlockFor: crashReportTTL, SuspectFor: crashReportTTL})
	f := forward.New(c.Headers, p, ledger, c.Log.WithField("part", "forward"), c.Metrics.Scope, metrics.LatencyBuckets)
	dialer := netconn.Dialer(dialTimeout, upstreamSilence)
	s := newState(c.Settings, c.Log.WithField("part", "control"), dialer.DialContext)
	control := &controlService{config: c, forwarder: f, prober: p, control: newControl(s, f, p, ready, ledger, c.Store, c.Log.WithField("part", "control"))}
	control.settings.Store(&c.Settings)
	return control
}

// Start implements kernel.Starter.
func (s *controlService) Start(_ context.Context, scope *kernel.Scope) error {
	s.crashes = newCrashReporter(s.control, s.config.Store, s.config.Log.WithField("part", "crash"))
	s.prober.onCrash = s.crashes.report
	s.prober.start(scope.Context(), func(u *forward.Upstream, left time.Duration) {
		s.control.post(scope.Context(), func(now time.Time) bool { return s.control.becameCold(now, u, left) })
	})
	scope.Go(s.control.run)
	if err := s.startFeeds(scope); err != nil {
		return err
	}
	scope.Go(func(ctx context.Context) error { s.register(ctx); return nil })
	scope.Go(func(ctx context.Context) error { s.crashes.run(ctx); return nil })
	scope.Go(func(ctx context.Context) error { s.reload(ctx); return nil })
	return nil
}

// startFeeds serves the feed of this VM to others and starts the goroutines that
// get updates and watch the other VMs.
func (s *controlService) startFeeds(scope *kernel.Scope) error {
	set := s.config.Settings
	log := s.config.Log.WithField("part", "feed")
	dialer := netconn.Dialer(dialTimeout, peerSilence)
	updates := &updateSource{self: s.self(), seeds: s.seeds, control: s.control, dial: dialer.DialContext, log: log}
	if set.PeersAddr != "" {
		l, err := listen(set.PeersAddr)
		if err != nil {
			return err
		}
		scope.Go(func(ctx context.Context) error { return s.control.hub.Serve(ctx, l) })
	}
	detector := &isolationDetector{self: s.self(), updates: updates, forwarder: s.forwarder, ready: s.control.readiness, dial: dialer.DialContext, log: log}
	scope.Go(func(ctx context.Context) error { updates.run(ctx); return nil })
	scope.Go(func(ctx context.Context) error { updates.bootstrap(ctx); return nil })
	scope.Go(func(ctx context.Context) error { detector.run(ctx); return nil })
	cleaner := &vmCleaner{self: s.self(), control: s.control, updates: updates, store: s.config.Store, dial: dialer.DialContext, log: log, unreachableSince: map[discovery.VM]time.Time{}}
	scope.Go(func(ctx context.Context) error { cleaner.run(ctx); return nil })
	return nil
}

// seeds returns the addresses of some VMs, by the settings in force.
func (s *controlService) seeds() []string { return s.settings.Load().Seeds }

func (s *controlService) self() discovery.VM {
	set := s.config.Settings
	return discovery.VM{Name: set.VM, PeerAddr: set.PeersAddr, Domain: set.Domain}
}

// register stores the entry of this VM, by which the others divide what
// replicas bear, unless the store has it already, and again whenever it has
// been removed.
func (s *controlService) register(ctx context.Context) {
	vm := s.self()
	log := s.config.Log.WithField("part", "control")
	for ctx.Err() == nil {
		storewatch.Retry(ctx, func() error {
			if s.control.registered(ctx, vm) {
				return nil
			}
			err := s.config.Store.RegisterVM(ctx, vm)
			if err != nil {
				log.WithField("error", err).Warn("registration failed")
			}
			return err
		})
		select {
		case <-s.control.unlisted:
			log.WithField("vm", vm.Name).Warn("own entry removed, registering again")
		case <-ctx.Done():
		}
	}
}

// balancerService answers the balancer and serves the metrics.
type balancerService struct {
	addr, path string
	ready      *readiness
	metrics    *metrics.Metrics
	server     *http.Server
}

// Start implements kernel.Starter.
func (s *balancerService) Start(_ context.Context, scope *kernel.Scope) error {
	mux := http.NewServeMux()
	mux.Handle(s.path, s.ready)
	mux.Handle("/metrics", s.metrics.Handler)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: balancerTimeout}
	return serve(scope, s.server, s.addr)
}

// balancerTimeout bounds the reading of a balancer's request.
const balancerTimeout = 5 * time.Second

// Stop implements kernel.Stopper.
func (s *balancerService) Stop(context.Context) error { return s.server.Close() }
