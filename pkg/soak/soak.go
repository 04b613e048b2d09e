package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/platform"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

const (
	// siteHost is the host of all routes, singleService serves single requests.
	siteHost      = "h.example"
	singleService = "single"
	// minCoverage is that of the fan-out route.
	minCoverage = 0.5
	// replicaWork is the time of one request at a replica.
	replicaWork = 3 * time.Millisecond
	// readyTimeout bounds the start of the tier and its recovery after the
	// faults; it only ends runs that hang, on a busy machine too.
	readyTimeout = 60 * time.Second
	// maxPeakMemoryBytes is what a VM of the smallest machine may hold.
	maxPeakMemoryBytes = 284 << 20
	// recoverAnswers are needed after the faults.
	recoverAnswers = 20
)

// Config describes a run.
type Config struct {
	// Binary is the program of a VM, Dir takes settings and logs.
	Binary, Dir string
	Seed        uint64
	VMs         int
	Callers     int
	// Faults is the number of faults in the plan, Gap the time between them.
	Faults int
	Gap    time.Duration
	// Contracts are the words of what is in force on the site.
	Contracts []string
	Out       io.Writer
}

// Result is what a run showed.
type Result struct {
	Asked, Served int
	// MostOfCap is the greatest part of what its cap and the settings allow in a window
	// that has reached replicas of a tenant, 0 without tenants.
	MostOfCap float64
	// Broken holds a line for each broken promise.
	Broken []string
}

// site is everything of one run.
type site struct {
	config   Config
	random   *rand.Rand
	store    *standin.Store
	server   *http.Server
	runs     *standin.RunLog
	vms      []*vm
	stores   []*proxy // one before the store for each VM
	replicas []*standin.Replica
	links    []*proxy // one before each replica
	checker  *checker
	crashing crashingRequest
	version  int
	set      int
	next     int
	// olderStore is what the store held some time ago.
	olderStore standin.Copy
}

// shardSets are the sets that the fan-out route alternates between.
var shardSets = [][]string{{"a0", "a1", "a2", "a3"}, {"b0", "b1", "b2"}}

// Run starts a site, plays a plan drawn from the seed, and checks the promises.
// The error tells that the run itself failed.
func Run(ctx context.Context, c Config) (Result, error) {
	return run(ctx, c, (*site).play)
}

// run starts a site, lets play do harm to it, and checks the promises.
func run(ctx context.Context, c Config, play func(*site, context.Context)) (Result, error) {
	s := &site{config: c, random: rand.New(rand.NewPCG(c.Seed, 7)), store: standin.NewStore(), runs: standin.NewRunLog(), version: 1}
	s.checker = &checker{runs: s.runs, sets: shardSets, tenants: s.hasTenants()}
	defer s.close()
	if err := s.build(); err != nil {
		return Result{}, err
	}
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range c.Callers {
		random := rand.New(rand.NewPCG(c.Seed, uint64(100+i)))
		callers.Go(func() { s.checker.call(callCtx, i, s.vms, random) })
	}
	if !s.await(ctx, recoverAnswers) || slices.ContainsFunc(s.vms, (*vm).ended) {
		return Result{}, s.notStarted()
	}
	play(s, ctx)
	s.checkCrashingRequest(ctx)
	if !s.await(ctx, recoverAnswers) {
		s.checker.breach("no %d answers within %s after the faults had ended", recoverAnswers, readyTimeout)
	}
	s.checkConfiguration(ctx)
	for _, v := range s.vms {
		if peak := v.peakMemoryBytes(); peak > maxPeakMemoryBytes {
			s.checker.breach("%s has held %d MB", v.Name, peak>>20)
		}
	}
	stop()
	callers.Wait()
	s.checker.finish()
	return Result{Asked: len(s.checker.all), Served: s.checker.served, MostOfCap: s.checker.mostOfCap, Broken: s.checker.broken}, nil
}

// notStarted returns the error of a run in which a VM ended, or no answer came, before
// the first fault. It names the state and the end of the log of each VM.
func (s *site) notStarted() error {
	var states strings.Builder
	for _, v := range s.vms {
		fmt.Fprintf(&states, "\n%s, ended %t:\n%s", v.Name, v.ended(), v.logTail())
	}
	return errs.Refuse(errs.NotReady, "a VM did not start, or the tier gave no answers before the first fault%s", states.String())
}

// await waits for so many more answers.
func (s *site) await(ctx context.Context, more int) bool {
	want := s.checker.count() + more
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if s.checker.count() >= want {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

func (s *site) build() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // ends with close
	for _, service := range append([]string{singleService, singleService}, append(shardSets[0], shardSets[1]...)...) {
		for range 2 {
			if err := s.addReplica(service); err != nil {
				return err
			}
		}
	}
	s.putOddEntries()
	s.configure()
	var seeds []string
	for i := range s.config.VMs {
		v := &vm{binary: s.config.Binary, dir: s.config.Dir}
		v.Contracts = s.config.Contracts
		p, err := newProxy(l.Addr().String())
		if err != nil {
			return err
		}
		s.stores = append(s.stores, p)
		if s.hasTenants() {
			v.Contracts = append(slices.Clone(v.Contracts), "tenants", "quota")
		}
		v.Name, v.Domain, v.StoreAddr, v.Seeds = fmt.Sprint("vm", i), fmt.Sprint("d", i%3), p.addr(), seeds
		for _, addr := range []*string{&v.CallersAddr, &v.ReadyAddr, &v.PeersAddr} {
			if *addr, err = freeAddr(); err != nil {
				return err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, v.PeersAddr)
		}
		if err := v.start(); err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	return nil
}

// putOddEntries writes entries of another writer among those of the replicas. VMs must
// read all others beside them.
func (s *site) putOddEntries() {
	s.store.Put("servers", "odd-deep", map[string]any{"backend": singleService, "version": standin.Deep})
	s.store.Put("servers", "odd-port", map[string]any{
		"backend": singleService, "address": "127.0.0.1:70000", "zone": "d0", "concurrency": 4, "state": "ready", "born": 1,
	})
}

// addReplica starts a replica behind a proxy and registers it.
func (s *site) addReplica(service string) error {
	s.next++
	r, err := standin.StartReplica(fmt.Sprintf("r%d", s.next), service, fmt.Sprint("d", s.next%3), replicaWork, s.runs)
	if err != nil {
		return err
	}
	p, err := newProxy(r.Addr())
	if err != nil {
		r.Close()
		return err
	}
	r.Advertise(p.addr())
	r.OnCrash(func() bool { return s.crash(r, p) })
	r.Register(s.store, false)
	s.replicas, s.links = append(s.replicas, r), append(s.links, p)
	return nil
}

// configure writes the next configuration.
func (s *site) configure() {
	s.version++
	s.writeConfig()
}

// writeConfig writes the newest configuration. Its last route has the version in its
// prefix, so that it shows which configuration a VM uses.
func (s *site) writeConfig() {
	routes := []standin.Route{
		{Name: "read", Host: siteHost, Prefix: "/read/", Idempotent: true, Service: singleService},
		{Name: "book", Host: siteHost, Prefix: "/book/", Service: singleService},
		{Name: "all", Host: siteHost, Prefix: "/all/", Idempotent: true, Shards: shardSets[s.set], MinCoverage: minCoverage},
		{Name: "version", Host: siteHost, Prefix: versionPrefix(s.version), Idempotent: true, Service: singleService},
	}
	standin.PutConfig(s.store, s.version, routes, append([]string{singleService}, append(shardSets[0], shardSets[1]...)...), s.configuredTenants()...)
}

func versionPrefix(version int) string { return fmt.Sprintf("/version/%d/", version) }

// checkConfiguration checks that each VM takes a configuration that is written now, and
// does not fall back to an older one.
func (s *site) checkConfiguration(ctx context.Context) {
	s.configure()
	for _, v := range s.vms {
		inForce := false
		for deadline := time.Now().Add(readyTimeout); !inForce && time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			status, err := getStatus(ctx, v, versionPrefix(s.version)+"x", versionKey(s.version))
			// With tenants, a VM that is out of touch answers 503 and not 404.
			inForce = err == nil && status != http.StatusNotFound && (status == http.StatusOK || !s.hasTenants())
		}
		if !inForce {
			s.checker.breach("%s does not use version %d of the configuration", v.Name, s.version)
		}
		s.checkRemovedKey(ctx, v)
	}
}

// getStatus sends a request with a key to a VM and returns the status of the answer.
func getStatus(ctx context.Context, v *vm, path, key string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.CallersAddr+path, nil)
	if err != nil {
		return 0, err
	}
	request.Host = siteHost
	request.Header.Set(platform.Headers.RequestID, "version"+path)
	request.Header.Set(platform.Headers.Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func (s *site) close() {
	for _, v := range s.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill() // ends also a stopped process
			v.wait(readyTimeout)
		}
	}
	for _, p := range append(s.stores, s.links...) {
		p.close()
	}
	for _, r := range s.replicas {
		r.Close()
	}
	if s.server != nil {
		_ = s.server.Close() // nothing uses the store any more
	}
}
