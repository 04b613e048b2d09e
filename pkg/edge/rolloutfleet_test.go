package edge

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/rollout"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

// rolloutPlay is a roll-out of service s from v1 to v2 in virtual time.
type rolloutPlay struct {
	vms int
	// shards is the number of services of a fan-out in place of s, which are rolled out at
	// the same time. VMs are then in three failure domains, and those of two relay.
	shards int
	// failing of 100 answers of the new version fail from badFrom on; slow multiplies the
	// time of the others.
	failing int
	slow    int
	badFrom time.Duration
	// events are what happens at times after the order.
	events map[time.Duration]func(s *rolloutSite)
	// playFor is how long the site is watched.
	playFor time.Duration
	// everyStep is called every 50 ms unless it is nil.
	everyStep func()
}

// rolloutSite is the site on which a rolloutPlay runs.
type rolloutSite struct {
	rolloutPlay
	t       *testing.T
	fleet   *vmFleet
	ordered time.Time
	// services are the services that are rolled out.
	services []string

	mu       sync.Mutex
	random   *rand.Rand
	stopped  map[string]bool
	conns    map[string][]net.Conn
	cut      map[string]*atomic.Bool
	arrivals map[string][]time.Time // by VM and version
	broken   int                    // requests in flight at an old replica that stopped
	badAt    map[string][]time.Time
	served   map[string]int // by VM, in the last seconds
	failed   int
	state    rollout.State
	decided  time.Time
}

func (p rolloutPlay) play(t *testing.T, check func(s *rolloutSite)) {
	t.Helper()
	s := &rolloutSite{rolloutPlay: p, t: t, random: rand.New(rand.NewPCG(5, 5)), stopped: map[string]bool{}, conns: map[string][]net.Conn{}, cut: map[string]*atomic.Bool{}, arrivals: map[string][]time.Time{}, served: map[string]int{}, badAt: map[string][]time.Time{}}
	inVMFleet(t, 0, func(fleet *vmFleet) {
		s.fleet, fleet.rollouts = fleet, true
		fleet.dialReplica = func(vm string) exchange.DialFunc {
			return func(ctx context.Context, _, addr string) (net.Conn, error) { return s.dial(ctx, vm, addr) }
		}
		fleet.storeOf = s.storeOf
		service := &routes.Service{Name: "s", HealthPath: "/healthz", MaxConns: 400}
		route := func(name string) *routes.Route {
			return &routes.Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Idempotent: true, Timeout: 1500 * time.Millisecond, Target: 400 * time.Millisecond, Attempts: 3, Services: []routes.Weighted{{Service: "s", Weight: 1}}}
		}
		all := []*routes.Route{route("one"), route("two")}
		services := []*routes.Service{service}
		if p.shards > 0 {
			services = nil
			fleet.domainOf = domainOfName
		}
		for i := range p.shards {
			shard := *service
			shard.Name = fmt.Sprint("t", i)
			services = append(services, &shard)
			for _, r := range all {
				r.Shards, r.Services, r.TopK, r.MinCoverage = append(r.Shards, shard.Name), nil, 1, 0.5
			}
		}
		for _, service := range services {
			s.services = append(s.services, service.Name)
		}
		table, err := routes.NewTable(1, routes.Limits{BodyBytes: 1000}, all, services)
		assert.NilError(t, err)
		fleet.store.put(memConfigs, "main", table)
		s.startReplicas("v1")
		for i := range p.vms {
			fleet.start(fmt.Sprint("vm", i+1))
		}
		time.Sleep(6 * time.Second)
		defer s.stopReplicas("v1")
		defer s.stopReplicas("v2")
		defer s.stopReplicas("v3")
		s.run()
		check(s)
	})
}

func (s *rolloutSite) startReplicas(version string) {
	for _, service := range s.services {
		for i := range 4 {
			id := fmt.Sprint(service, "/", version, "-", i)
			s.fleet.store.put(memReplicas, id, discovery.Replica{ID: id, Service: service, Addr: id, Domain: "d1", Version: version, Slots: 8, Born: time.Now().UnixMilli()})
		}
	}
}

// stopReplicas ends the replicas of a version without draining.
func (s *rolloutSite) stopReplicas(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.services {
		s.stopped[service+"/"+version] = true
		for _, c := range s.conns[service+"/"+version] {
			_ = c.Close() // ends the replica's goroutine
		}
		for i := range 4 {
			s.fleet.store.put(memReplicas, fmt.Sprint(service, "/", version, "-", i), nil)
		}
	}
}

func (s *rolloutSite) order(target string, duration time.Duration) {
	for _, service := range s.services {
		s.fleet.store.put(memRollouts, service, rollout.Order{Service: service, Target: target, Duration: duration})
	}
}

// run gives the order, sends requests through all VMs and does what the platform does at
// the end of a roll-out.
func (s *rolloutSite) run() {
	ctx, cancel := context.WithCancel(s.fleet.ctx)
	var senders sync.WaitGroup
	s.ordered = time.Now()
	for i, vm := range s.fleet.vms {
		senders.Go(func() { s.send(ctx, vm, time.Duration(15+i*5)*time.Millisecond) })
	}
	s.order("v2", 12*time.Second)
	s.startReplicas("v2")
	for end := s.ordered.Add(s.playFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for at, event := range s.events {
			if time.Since(s.ordered) >= at {
				event(s)
				delete(s.events, at)
			}
		}
		if s.everyStep != nil {
			s.everyStep()
		}
		s.watchStatus()
	}
	cancel()
	senders.Wait()
}

// watchStatus notes the state that the last of all services has, and stops the old
// replicas after a success.
func (s *rolloutSite) watchStatus() {
	states := map[rollout.State]bool{}
	for _, service := range s.services {
		if order, ok := s.fleet.store.copied().objects[memRollouts][service].value.(rollout.Order); ok && order.Status.Target == "v2" {
			states[order.Status.State] = true
		}
	}
	for state := range states {
		if len(states) == 1 && state != s.state {
			s.state, s.decided = state, time.Now()
			if state == rollout.Succeeded {
				s.stopReplicas("v1")
			}
		}
	}
}

// domainOfName returns one of three failure domains by the number at the end of a name.
func domainOfName(name string) string { return fmt.Sprint("d", int(name[len(name)-1]-'0')%3) }

// send sends requests through a VM, on average one in each gap.
func (s *rolloutSite) send(ctx context.Context, vm *controllerService, gap time.Duration) {
	name := vm.config.Settings.VM
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		s.mu.Lock()
		pause := time.Duration(s.random.ExpFloat64() * float64(gap))
		s.mu.Unlock()
		time.Sleep(pause)
		running.Go(func() {
			r := httptest.NewRequest("GET", fmt.Sprintf("http://h.example/%s/%d", []string{"one", "two"}[i%2], i%50), nil)
			r.RemoteAddr = fmt.Sprintf("10.0.0.%d:1", i%200)
			r.Header.Set("Id", fmt.Sprint(name, "-", i))
			r.Header.Set("Left", "1500")
			w := httptest.NewRecorder()
			vm.forwarder.ServeHTTP(w, r)
			s.mu.Lock()
			defer s.mu.Unlock()
			if w.Code != http.StatusOK {
				s.failed++
			} else if time.Since(s.ordered) > s.playFor-2*time.Second {
				s.served[name]++
			}
		})
	}
}

func (s *rolloutSite) dial(ctx context.Context, vm, addr string) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	group, _, isReplica := strings.Cut(addr, "-") // a service and a version
	if !isReplica {
		return s.fleet.dial(ctx, "", addr)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[group] {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	s.conns[group] = append(s.conns[group], server)
	go s.serve(server, vm, group, addr)
	return client, nil
}

// serve is a replica on one connection of a VM.
func (s *rolloutSite) serve(c net.Conn, vm, group, id string) {
	defer c.Close()
	service, version, _ := strings.Cut(group, "/")
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nReplica: " + id + "\r\nContent-Length: 0\r\n\r\n")) // the VM may have closed the connection
			continue
		}
		s.mu.Lock()
		s.arrivals[vm+" "+group] = append(s.arrivals[vm+" "+group], time.Now())
		work, status := time.Duration(15+s.random.IntN(10))*time.Millisecond, "200 OK"
		if version == "v2" && time.Since(s.ordered) >= s.badFrom {
			if s.random.IntN(100) < s.failing {
				status = "500 Internal Server Error"
			}
			work *= time.Duration(max(1, s.slow))
			if s.failing > 0 && status[0] == '5' || s.slow > 1 {
				s.badAt[service] = append(s.badAt[service], time.Now())
			}
		}
		s.mu.Unlock()
		time.Sleep(work)
		s.mu.Lock()
		if s.stopped[group] {
			s.broken++
		}
		s.mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nReceipt: s\r\nContent-Length: 16\r\n\r\n0123456789abcdef", status, request.Header.Get("Id")) // the VM may have closed the connection
	}
}

// sent returns the numbers of requests that the VMs have sent to a version of a service, and how many
// of them later than a time.
func (s *rolloutSite) sent(group string, after time.Time) (all, late int) {
	for i := range s.fleet.vms {
		for _, at := range s.arrivals[fmt.Sprint("vm", i+1, " ", group)] {
			if all++; at.After(after) {
				late++
			}
		}
	}
	return all, late
}

// watcher returns the name of the VM that is the first to watch the store.
func (s *rolloutSite) watcher() string {
	vms := map[string]discovery.VM{}
	for _, vm := range s.fleet.vms {
		vms[vm.config.Settings.VM] = vm.self()
	}
	for name := range vms {
		if feed.Rank(name, vms) == 0 {
			return name
		}
	}
	return ""
}

// cutSource is the source of a VM that can be cut off from the store.
type cutSource[T any] struct {
	storewatch.Source[T]
	cut *atomic.Bool
}

func (c cutSource[T]) List(ctx context.Context) (storewatch.Batch[T], error) {
	batch, err := c.Source.List(ctx)
	return c.unlessCut(batch, err)
}

func (c cutSource[T]) Watch(ctx context.Context, after int64, maxWait time.Duration) (storewatch.Batch[T], error) {
	batch, err := c.Source.Watch(ctx, after, maxWait)
	return c.unlessCut(batch, err)
}

func (c cutSource[T]) unlessCut(batch storewatch.Batch[T], err error) (storewatch.Batch[T], error) {
	if c.cut.Load() {
		return storewatch.Batch[T]{}, errs.Ambiguous(errs.PlatformDown, "cut off")
	}
	return batch, err
}

// vmStore is the store as one VM reaches it.
type vmStore struct {
	*memoryStore
	cut *atomic.Bool
}

func (v vmStore) WriteAgreement(ctx context.Context, a rollout.Agreement, revision int64) error {
	if v.cut.Load() {
		return errs.Ambiguous(errs.PlatformDown, "cut off")
	}
	return v.memoryStore.WriteAgreement(ctx, a, revision)
}
func (v vmStore) WriteRolloutStatus(ctx context.Context, service string, status rollout.Status, revision int64) error {
	if v.cut.Load() {
		return errs.Ambiguous(errs.PlatformDown, "cut off")
	}
	return v.memoryStore.WriteRolloutStatus(ctx, service, status, revision)
}

func (s *rolloutSite) storeOf(vm string) Store {
	s.cut[vm] = &atomic.Bool{}
	return vmStore{s.fleet.store, s.cut[vm]}
}
func (v vmStore) Configs() storewatch.Source[*routes.Table] {
	return cutSource[*routes.Table]{v.memoryStore.Configs(), v.cut}
}
func (v vmStore) Replicas() storewatch.Source[discovery.Replica] {
	return cutSource[discovery.Replica]{v.memoryStore.Replicas(), v.cut}
}
func (v vmStore) Rollouts() storewatch.Source[rollout.Order] {
	return cutSource[rollout.Order]{v.memoryStore.Rollouts(), v.cut}
}
func (v vmStore) Agreements() storewatch.Source[rollout.Agreement] {
	return cutSource[rollout.Agreement]{v.memoryStore.Agreements(), v.cut}
}
