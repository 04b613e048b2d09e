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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// cutMode is how VMs lose their links to all replicas.
type cutMode string

const (
	// cutHangs: connections hang and dials time out.
	cutHangs cutMode = "hangs"
	// cutResets: connections are reset and dials time out.
	cutResets cutMode = "resets"
	// cutRefuses: connections are reset and dials are refused.
	cutRefuses cutMode = "refuses"
	// cutKeepsConnections: connections live on and dials are refused.
	cutKeepsConnections cutMode = "keeps_connections"
)

// cutPlan tells which VMs of a fleet lose their links to all replicas.
type cutPlan struct {
	seed    uint64
	vms     int
	domains int
	shards  int
	mode    cutMode
	// share of the VMs is cut off, or all of domain d0.
	share     float64
	oneDomain bool
	// lasts is how long, gap the mean time between requests at one VM.
	lasts, gap time.Duration
}

func (p cutPlan) String() string {
	return fmt.Sprintf("seed %d: %d VMs in %d domains, %d shards, %s, share %.2f, one domain %t, for %s, a request each %s",
		p.seed, p.vms, p.domains, p.shards, p.mode, p.share, p.oneDomain, p.lasts, p.gap)
}

// cutSite is a site in virtual time that plays a cutPlan.
type cutSite struct {
	cutPlan
	fleet  *vmFleet
	random *rand.Rand

	mu    sync.Mutex
	cut   map[string]bool
	conns map[net.Conn]string // the VM at the other end
	// first and served count the first tries of callers at VMs that are cut off (true)
	// and at others, from crashContact after the cut began until its end.
	first, served map[bool]int
	// runs counts the replicas of the single service that ran each request that may not
	// be repeated.
	runs map[string]int
	// wrong holds answers that are not those of the request.
	wrong []string
}

func (p cutPlan) play(t *testing.T) *cutSite {
	s := &cutSite{cutPlan: p, random: rand.New(rand.NewPCG(p.seed, 3)), cut: map[string]bool{}, conns: map[net.Conn]string{}, first: map[bool]int{}, served: map[bool]int{}, runs: map[string]int{}}
	inVMFleet(t, 0, func(fleet *vmFleet) {
		s.fleet = fleet
		fleet.dialReplica = func(vm string) exchange.DialFunc {
			return func(ctx context.Context, _, addr string) (net.Conn, error) { return s.dial(ctx, vm, addr) }
		}
		fleet.domainOf = func(vm string) string {
			var n int
			_, err := fmt.Sscanf(vm, "vm%d", &n)
			assert.NilError(t, err)
			return fmt.Sprint("d", n%p.domains)
		}
		fleet.store.put(memConfigs, "main", s.table(t))
		replica := func(service string, i int) {
			id := fmt.Sprint(service, "-", i)
			fleet.store.put(memReplicas, id, discovery.Replica{ID: id, Service: service, Addr: id, Domain: fmt.Sprint("d", i%p.domains), Slots: 4, Born: 1})
		}
		for i := range 12 {
			replica("s", i)
		}
		for shard := range p.shards {
			for i := range 3 {
				replica(fmt.Sprint("t", shard), shard+i)
			}
		}
		for i := range p.vms {
			fleet.start(fmt.Sprint("vm", i))
		}
		time.Sleep(6 * time.Second)
		s.run()
		s.closeConns(func(string) bool { return true })
	})
	return s
}

func (s *cutSite) table(t *testing.T) *routes.Table {
	service := func(name string) *routes.Service {
		return &routes.Service{Name: name, HealthPath: "/healthz", MaxConns: 200}
	}
	var shards []string
	services := []*routes.Service{service("s")}
	for i := range s.shards {
		shards = append(shards, fmt.Sprint("t", i))
		services = append(services, service(shards[i]))
	}
	single := []routes.Weighted{{Service: "s", Weight: 1}}
	table, err := routes.NewTable(1, routes.Limits{BodyBytes: 1000}, []*routes.Route{
		{Name: "read", Host: "h.example", Prefix: "/read/", Idempotent: true, Timeout: 3 * time.Second, Target: 500 * time.Millisecond, Attempts: 3, Services: single},
		{Name: "book", Host: "h.example", Prefix: "/book/", Timeout: 3 * time.Second, Target: 500 * time.Millisecond, Attempts: 3, Services: single},
		{Name: "all", Host: "h.example", Prefix: "/all/", Idempotent: true, Timeout: 1200 * time.Millisecond, Target: 120 * time.Millisecond, Attempts: 2, Shards: shards, TopK: 3, MinCoverage: 0.9},
	}, services)
	assert.NilError(t, err)
	return table
}

func (s *cutSite) isCut(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[vm]
}

func (s *cutSite) dial(ctx context.Context, vm, addr string) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	switch cut := s.isCut(vm); {
	case cut && (s.mode == cutRefuses || s.mode == cutKeepsConnections):
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case cut:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	s.mu.Lock()
	s.conns[server] = vm
	s.mu.Unlock()
	go s.serve(server, vm, addr)
	return client, nil
}

// serve answers as the replica with the ID.
func (s *cutSite) serve(c net.Conn, vm, id string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.isCut(vm) && s.mode != cutKeepsConnections {
			continue // nothing passes the cut
		}
		requestID := request.Header.Get("Id")
		answer := "HTTP/1.1 200 OK\r\nReplica: " + id + "\r\nContent-Length: 0\r\n\r\n"
		if request.URL.Path != "/healthz" {
			service, _, _ := strings.Cut(id, "-")
			if service == "s" {
				s.mu.Lock()
				s.runs[requestID]++
				s.mu.Unlock()
			}
			body := fmt.Sprintf("%-16.16s", requestID)
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: %s.%s\r\nContent-Length: 16\r\n\r\n%s", requestID, service, requestID, body)
			time.Sleep(10 * time.Millisecond)
		}
		if !s.isCut(vm) || s.mode == cutKeepsConnections {
			_, _ = c.Write([]byte(answer)) // the VM may have closed the connection
		}
	}
}

// closeConns closes the connections of the VMs for which match holds.
func (s *cutSite) closeConns(match func(vm string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, vm := range s.conns {
		if match(vm) {
			_ = c.Close() // ends the replica's goroutine
			delete(s.conns, c)
		}
	}
}

// run sends requests to each VM, and cuts some off after a while.
func (s *cutSite) run() {
	const before = 2 * time.Second
	began := time.Now()
	end := began.Add(before + s.lasts + 3*time.Second)
	counted := func(at time.Time) bool {
		d := at.Sub(began.Add(before))
		return d > crashContact && d < s.lasts
	}
	var sent sync.WaitGroup
	for i, vm := range s.fleet.vms {
		random := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		sent.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				sent.Go(func() { s.send(vm, id, n, counted) })
				time.Sleep(time.Duration((0.5 + random.Float64()) * float64(s.gap)))
			}
		})
	}
	time.Sleep(before)
	s.mu.Lock()
	for _, vm := range s.fleet.vms {
		settings := vm.config.Settings
		s.cut[settings.VM] = (s.oneDomain && settings.Domain == "d0") || (!s.oneDomain && s.random.Float64() < s.share)
	}
	cut := s.cut
	s.mu.Unlock()
	if s.mode == cutResets || s.mode == cutRefuses {
		s.closeConns(func(vm string) bool { return cut[vm] })
	}
	time.Sleep(s.lasts)
	s.mu.Lock()
	s.cut = map[string]bool{}
	s.mu.Unlock()
	s.closeConns(func(vm string) bool { return cut[vm] })
	sent.Wait()
}

// send sends a request of a caller to a VM.
func (s *cutSite) send(vm *controllerService, id string, n int, counted func(time.Time) bool) {
	target := []string{"/all/x", "/read/x", "/all/y", "/book/x"}[n%4]
	method := "GET"
	if n%4 == 3 {
		method = "POST"
	}
	r := httptest.NewRequest(method, "http://h.example"+target, nil)
	r.RemoteAddr = "10.0.0.1:1"
	r.Header.Set("Id", id)
	r.Header.Set("Left", "3000")
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), 3*time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	vm.forwarder.ServeHTTP(w, r.WithContext(ctx))
	s.mu.Lock()
	defer s.mu.Unlock()
	served := w.Code == http.StatusOK
	if body := w.Body.String(); served && !strings.HasPrefix(body, fmt.Sprintf("%-16.16s", id)) {
		s.wrong = append(s.wrong, fmt.Sprintf("%s: %q", id, body))
	}
	if (w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests) && s.runs[id] > 0 && n%4 == 3 {
		s.wrong = append(s.wrong, id+": refused, but it has run")
	}
	if n%4 == 3 && s.runs[id] > 1 {
		s.wrong = append(s.wrong, id+": ran more than once")
	}
	if counted(sentAt) {
		cut := s.cut[vm.config.Settings.VM]
		s.first[cut]++
		if served {
			s.served[cut]++
		}
	}
}

// check fails the test if callers of VMs without links were served worse than others.
func (s *cutSite) check(t *testing.T) {
	t.Helper()
	t.Logf("%s: first tries served: %d of %d at VMs that are cut off, %d of %d at others", s.cutPlan, s.served[true], s.first[true], s.served[false], s.first[false])
	if s.first[true] == 0 || s.first[false] == 0 {
		return
	}
	share := func(cut bool) float64 { return float64(s.served[cut]) / float64(s.first[cut]) }
	failed := s.first[true] - s.served[true]
	all := s.first[true] + s.first[false]
	assert.Assert(t, share(true) >= 2*share(false)/3 || failed <= 10+all/50, "served %.2f and %.2f, %d of %d failed", share(true), share(false), failed, all)
	assert.Assert(t, share(false) > 0.95, "the other VMs serve %.2f", share(false))
	assert.Equal(t, len(s.wrong), 0, "%v", s.wrong)
}

// Guards against callers that are not served because their VM has lost its links to all
// replicas, though other VMs reach them.
func TestVMsWithoutLinksServeTheirCallers(t *testing.T) {
	plan := cutPlan{seed: 1, vms: 12, domains: 3, shards: 8, share: 0.6, lasts: 12 * time.Second, gap: 100 * time.Millisecond}
	for _, mode := range []cutMode{cutHangs, cutResets, cutRefuses, cutKeepsConnections} {
		t.Run(string(mode), func(t *testing.T) {
			p := plan
			p.mode = mode
			p.play(t).check(t)
		})
		t.Run(string(mode)+"_one_domain", func(t *testing.T) {
			p := plan
			p.mode, p.oneDomain = mode, true
			p.play(t).check(t)
		})
	}
}

// drawCutPlan draws a plan.
func drawCutPlan(seed uint64) cutPlan {
	r := rand.New(rand.NewPCG(seed, 4))
	modes := []cutMode{cutHangs, cutResets, cutRefuses, cutKeepsConnections}
	return cutPlan{
		seed: seed, vms: []int{3, 5, 9, 20}[r.IntN(4)], domains: 2 + r.IntN(3), shards: []int{4, 8, 12}[r.IntN(3)], mode: modes[r.IntN(len(modes))],
		share: 0.1 + 0.8*r.Float64(), oneDomain: r.IntN(4) == 0, lasts: time.Duration(6+r.IntN(8)) * time.Second,
		gap: time.Duration(30+r.IntN(500)) * time.Millisecond,
	}
}

// Guards against the same failure in fleets and cuts of other kinds.
func TestDrawnCutPlans(t *testing.T) {
	for seed := range uint64(*fleetPlans) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { drawCutPlan(seed).play(t).check(t) })
	}
}
