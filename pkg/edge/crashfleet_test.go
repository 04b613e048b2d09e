package edge

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

var testHeaders = forward.HeaderNames{
	RequestID: "Id", Deadline: "Left", TargetReplica: "For", Receipt: "Receipt", NotRun: "Not-Run",
	Receipts: "Receipts", MissingShards: "Missing", ReplicaID: "Replica", WarmupLeft: "Cold", RequestLimit: "Limit", Leaving: "Leaving",
}

const (
	// crashingPath ends the path of a request that ends each replica that runs it.
	crashingPath = "/crash"
	// crashContact is the time after the third crash from which all VMs have to refuse
	// the request, and maxLateAttempts how many more attempts may reach replicas.
	crashContact    = 4 * time.Second
	maxLateAttempts = 3
	// crashRunTime is how long requests are sent.
	crashRunTime = 24 * time.Second
	// attemptHeader tells attempts of the crashing request apart whose request IDs are
	// the same.
	attemptHeader = "Attempt"
	// entryLapse is the time after which the entry of a silent replica is removed.
	entryLapse = 3600 * time.Millisecond
)

// crashPlan tells how a crashing request comes again and what happens beside it.
type crashPlan struct {
	seed uint64
	vms  int
	// fanOut sends the request to all shards.
	fanOut bool
	shards int
	// silent makes connections hang instead of ending, and dials time out instead of
	// being refused.
	silent bool
	// sameID lets a replica start again under its ID.
	sameID bool
	// queries adds another query string to each attempt.
	queries bool
	// sameRequestID gives all attempts one request ID.
	sameRequestID bool
	// manyCallers lets each attempt come from another caller.
	manyCallers bool
	// popular lets all other callers ask for the same few paths, each with its own query
	// string.
	popular bool
	// soundFor is how long the request succeeds before replicas begin to end under it.
	soundFor time.Duration
	// pauseAfter is the number of attempts after which the request pauses for pause.
	pauseAfter int
	pause      time.Duration
	// massCrash is when half of the replicas of each service end for another reason; 0
	// for never. With hot, each caller sends one and the same request all the time.
	massCrash time.Duration
	hot       bool
	// domains is the number of failure domains of VMs and replicas; 0 stands for one.
	domains int
	// downFor is how long a replica is down, crashAfter how long it works before it ends.
	downFor, crashAfter time.Duration
	// gap is the mean time between attempts, otherGap that between other requests.
	gap, otherGap time.Duration
	// storeAway is when the store goes away for storeAwayFor.
	storeAway, storeAwayFor time.Duration
	// joining is the number of VMs that start meanwhile.
	joining int
}

// crashPlanFields prints as the fields of a plan.
type crashPlanFields crashPlan

func (p crashPlan) String() string {
	return fmt.Sprintf("%+v", crashPlanFields(p))
}

// crashSite is a site in virtual time that plays a crashPlan.
type crashSite struct {
	crashPlan
	fleet  *vmFleet
	random *rand.Rand

	mu       sync.Mutex
	replicas map[string]*crashingReplica
	starts   int
	conns    []net.Conn
	// crashesFrom is when the request begins to end replicas.
	crashesFrom time.Time
	// crashes holds when replicas ended, arrivals when each attempt reached replicas
	// after crashesFrom.
	crashes  []time.Time
	arrivals map[string][]time.Time
	// asked, served and poisoned count the other requests.
	asked, served, poisoned int
}

// crashingReplica is an address at which replicas run one after another.
type crashingReplica struct {
	site          *crashSite
	service, addr string
	id            string
	up            bool
	// start counts the replicas at the address.
	start int
	conns []net.Conn
}

// play plays the plan.
func (p crashPlan) play(t *testing.T) *crashSite {
	s := &crashSite{crashPlan: p, random: rand.New(rand.NewPCG(p.seed, 1)), replicas: map[string]*crashingReplica{}, arrivals: map[string][]time.Time{}}
	inVMFleet(t, 0, func(fleet *vmFleet) {
		s.fleet, fleet.dialReplica = fleet, func(string) exchange.DialFunc { return s.dial }
		fleet.domainOf = s.domainOf
		fleet.store.put(memConfigs, "main", s.table(t))
		for i := range 12 {
			s.addReplica("s", fmt.Sprint("s-", i))
		}
		for shard := range p.shards {
			for i := range 3 {
				s.addReplica(fmt.Sprint("t", shard), fmt.Sprintf("t%d-%d", shard, i))
			}
		}
		for i := range p.vms {
			fleet.start(fmt.Sprint("vm", i+1))
		}
		time.Sleep(6 * time.Second)
		s.run()
		for _, c := range s.conns {
			_ = c.Close() // ends the replica's goroutine
		}
	})
	return s
}

// domainOf returns the failure domain of the VM or replica with a name that ends in a
// number.
func (s *crashSite) domainOf(name string) string {
	number, err := strconv.Atoi(name[strings.LastIndexFunc(name, func(c rune) bool { return c < '0' || c > '9' })+1:])
	if err != nil || s.domains == 0 {
		return "d1"
	}
	return fmt.Sprint("d", number%s.domains)
}

func (s *crashSite) table(t *testing.T) *routes.Table {
	service := func(name string) *routes.Service {
		return &routes.Service{Name: name, HealthPath: "/healthz", MaxConns: 40, WarmupPerSecond: 10}
	}
	var shards []string
	services := []*routes.Service{service("s")}
	for i := range s.shards {
		shards = append(shards, fmt.Sprint("t", i))
		services = append(services, service(shards[i]))
	}
	table, err := routes.NewTable(1, routes.Limits{BodyBytes: 1000}, []*routes.Route{
		{Name: "one", Host: "h.example", Prefix: "/one/", Idempotent: true, Timeout: 1500 * time.Millisecond, Target: 400 * time.Millisecond, Attempts: 3, Services: []routes.Weighted{{Service: "s", Weight: 1}}},
		{Name: "all", Host: "h.example", Prefix: "/all/", Idempotent: true, Timeout: 1500 * time.Millisecond, Target: 200 * time.Millisecond, Attempts: 2, Shards: shards, TopK: 3, MinCoverage: 0.8},
	}, services)
	assert.NilError(t, err)
	return table
}

func (s *crashSite) addReplica(service, addr string) {
	s.replicas[addr] = &crashingReplica{site: s, service: service, addr: addr}
	s.startReplica(s.replicas[addr], 0)
}

// startReplica starts the next replica at an address.
func (s *crashSite) startReplica(r *crashingReplica, warmup time.Duration) {
	s.starts++
	r.start++
	r.up = true
	if r.id == "" || !s.sameID {
		r.id = fmt.Sprint("i", s.starts)
	}
	s.fleet.store.put(memReplicas, r.id, discovery.Replica{
		ID: r.id, Service: r.service, Addr: r.addr, Domain: s.domainOf(r.addr), Slots: 3, Born: time.Now().UnixMilli(), WarmupLeft: warmup,
	})
}

// crash ends a replica under the crashing request.
func (r *crashingReplica) crash() {
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	if r.up {
		r.site.crashes = append(r.site.crashes, time.Now())
		r.end()
	}
}

// crashHalf ends half of the replicas of each service at once.
func (s *crashSite) crashHalf() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		if number := r.addr[strings.LastIndex(r.addr, "-")+1:]; r.up && strings.ContainsAny(number[len(number)-1:], "02468") {
			r.end()
		}
	}
}

// end ends a replica and starts the next one at its address later. The site's mu is held.
func (r *crashingReplica) end() {
	s := r.site
	r.up = false
	id, start, conns := r.id, r.start, r.conns
	r.conns = nil
	end := func() {
		for _, c := range conns {
			_ = c.Close() // ends the replica's goroutine
		}
	}
	if !s.silent {
		end()
	}
	time.AfterFunc(entryLapse, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.id != id || r.start == start {
			s.fleet.store.put(memReplicas, id, nil)
		}
	})
	time.AfterFunc(s.downFor, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		end() // a host that runs again resets connections that it does not know
		s.startReplica(r, time.Second)
	})
}

func (s *crashSite) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.replicas[addr]
	switch {
	case r == nil:
		return s.fleet.dial(ctx, "", addr)
	case !r.up && s.silent:
		s.mu.Unlock()
		defer s.mu.Lock()
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case !r.up:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	r.conns, s.conns = append(r.conns, server), append(s.conns, server)
	go r.serve(server, r.id, r.start)
	return client, nil
}

// runs reports whether the replica that was started as the given one still runs.
func (r *crashingReplica) runs(start int) bool {
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	return r.up && r.start == start
}

func (r *crashingReplica) serve(c net.Conn, id string, start int) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		requestID := request.Header.Get("Id")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: %s.%s\r\nContent-Length: 16\r\n\r\n%s", requestID, r.service, requestID, strings.Repeat("a", 16))
		switch {
		case !r.runs(start):
			continue // the host is silent
		case request.URL.Path == "/healthz":
			answer = "HTTP/1.1 200 OK\r\nReplica: " + id + "\r\nContent-Length: 0\r\n\r\n"
		case request.Header.Get("For") != id:
			answer = "HTTP/1.1 421 Misdirected Request\r\nId: " + requestID + "\r\nContent-Length: 0\r\n\r\n"
		case strings.HasSuffix(request.URL.Path, crashingPath) && !time.Now().Before(r.site.crashesFrom):
			attempt := request.Header.Get(attemptHeader)
			r.site.mu.Lock()
			r.site.arrivals[attempt] = append(r.site.arrivals[attempt], time.Now())
			r.site.mu.Unlock()
			time.Sleep(r.site.crashAfter)
			r.crash()
		default:
			time.Sleep(20 * time.Millisecond)
		}
		if r.runs(start) {
			_, _ = c.Write([]byte(answer)) // the VM may have closed the connection
		}
	}
}

// send sends a request through a random VM and returns the status of the answer.
func (s *crashSite) send(caller, target, id, attempt string) int {
	s.mu.Lock()
	vm := s.fleet.vms[s.random.IntN(len(s.fleet.vms))]
	s.mu.Unlock()
	r := httptest.NewRequest("GET", "http://h.example"+target, nil)
	r.RemoteAddr = caller + ":1"
	r.Header.Set("Id", id)
	r.Header.Set("Left", "1500")
	r.Header.Set(attemptHeader, attempt)
	ctx, cancel := context.WithTimeout(r.Context(), 1500*time.Millisecond)
	defer cancel()
	w := httptest.NewRecorder()
	vm.forwarder.ServeHTTP(w, r.WithContext(ctx))
	if strings.Contains(w.Body.String(), "replicas crashed when they ran") && !strings.Contains(target, crashingPath) {
		s.mu.Lock()
		s.poisoned++
		s.mu.Unlock()
	}
	return w.Code
}

// sendOthers sends the requests of a caller that do no harm; each third comes again
// and again.
func (s *crashSite) sendOthers(caller string, sent *sync.WaitGroup) {
	for n, end := 0, time.Now().Add(crashRunTime+s.soundFor); time.Now().Before(end); n++ {
		target := "/one/hot"
		switch {
		case s.popular:
			target = []string{"/one/popular", "/all/popular", fmt.Sprint("/one/popular?of=", caller, n), fmt.Sprint("/all/popular?of=", caller, n)}[n%4]
		case !s.hot:
			target = []string{"/one/again", fmt.Sprint("/one/", n), fmt.Sprint("/all/", n), "/all/again", fmt.Sprint("/all/x/", n)}[n%5]
		}
		sent.Go(func() {
			status := s.send(caller, target, fmt.Sprint(caller, "-", n), "")
			s.mu.Lock()
			defer s.mu.Unlock()
			s.asked++
			if status == http.StatusOK {
				s.served++
			}
		})
		time.Sleep(12 * s.otherGap)
	}
}

// run sends all requests.
func (s *crashSite) run() {
	var sent sync.WaitGroup
	for i := range 12 {
		sent.Go(func() {
			time.Sleep(time.Duration(i) * s.otherGap)
			s.sendOthers(fmt.Sprint("10.0.0.", i), &sent)
		})
	}
	if s.storeAwayFor > 0 {
		time.AfterFunc(s.storeAway, func() { s.fleet.store.setDown(true) })
		time.AfterFunc(s.storeAway+s.storeAwayFor, func() { s.fleet.store.setDown(false) })
	}
	if s.massCrash > 0 {
		time.AfterFunc(s.massCrash, s.crashHalf)
	}
	for i := range s.joining {
		time.AfterFunc(time.Duration(i+1)*4*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.fleet.start(fmt.Sprint("joined", i))
		})
	}
	target := "/one" + crashingPath
	if s.fanOut {
		target = "/all" + crashingPath
	}
	began := time.Now()
	s.crashesFrom = began.Add(s.soundFor)
	time.Sleep(time.Second)
	for n := 0; time.Since(began) < crashRunTime+s.soundFor; n++ {
		again := target
		if s.queries {
			again += fmt.Sprint("?page=", n)
		}
		id := fmt.Sprint("crash", n)
		if s.sameRequestID {
			id = "crash"
		}
		caller := "10.9.9.9"
		if s.manyCallers {
			caller = fmt.Sprintf("10.9.%d.%d", n/200, n%200)
		}
		sent.Go(func() { s.send(caller, again, id, fmt.Sprint(n)) })
		s.mu.Lock()
		gap := time.Duration((0.5 + s.random.Float64()) * float64(s.gap))
		s.mu.Unlock()
		time.Sleep(gap)
		if n+1 == s.pauseAfter {
			time.Sleep(s.pause)
		}
	}
	sent.Wait()
	time.Sleep(10 * time.Second)
}

// lateAttempts returns the number of attempts that reached replicas later than
// crashContact after the third of them had ended. While the store is away, and
// crashContact after it, VMs cannot tell each other.
func (s *crashSite) lateAttempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < 3 {
		return 0
	}
	slices.SortFunc(s.crashes, time.Time.Compare)
	from := s.crashes[2].Add(crashContact)
	if s.storeAwayFor > 0 {
		// The first attempt is sent a second after the run has begun.
		storeBack := s.crashes[0].Add(s.storeAway + s.storeAwayFor - time.Second)
		if end := storeBack.Add(crashContact); end.After(from) {
			from = end
		}
	}
	late := 0
	for _, at := range s.arrivals {
		if slices.ContainsFunc(at, func(t time.Time) bool { return t.After(from) }) {
			late++
		}
	}
	return late
}

// check fails the test if the request reached replicas too often, or other requests
// were refused in its place.
func (s *crashSite) check(t *testing.T) {
	t.Helper()
	late := s.lateAttempts()
	t.Logf("%s: %d late attempts of %d, %d replicas ended, others: %d of %d served, %d refused as crashing", s.crashPlan, late, len(s.arrivals), len(s.crashes), s.served, s.asked, s.poisoned)
	assert.Assert(t, late <= maxLateAttempts, "%d late attempts", late)
	assert.Equal(t, s.poisoned, 0)
}

// drawCrashPlan draws a plan.
func drawCrashPlan(seed uint64) crashPlan {
	r := rand.New(rand.NewPCG(seed, 2))
	ms := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	p := crashPlan{
		seed: seed, vms: []int{1, 4, 5, 12}[r.IntN(4)], fanOut: r.IntN(2) == 0, shards: []int{6, 10}[r.IntN(2)],
		silent: r.IntN(3) == 0, sameID: r.IntN(4) == 0, queries: r.IntN(3) == 0,
		downFor: ms(800, 5000), crashAfter: ms(1, 60), gap: ms(200, 2500), otherGap: ms(10, 60),
	}
	if r.IntN(3) == 0 {
		p.storeAway, p.storeAwayFor = ms(500, 4000), ms(500, 5000)
	}
	if r.IntN(3) == 0 {
		p.joining = 2
	}
	p.manyCallers, p.popular = r.IntN(2) == 0, r.IntN(3) == 0
	return p
}

// Guards against a request that goes on to crash replicas because VMs do not recognize
// the crashes, or do not tell each other.
func TestRequestThatCrashesReplicasIsRefusedByAllVMs(t *testing.T) {
	plan := crashPlan{seed: 1, vms: 5, shards: 6, downFor: 3 * time.Second, crashAfter: 20 * time.Millisecond, gap: 500 * time.Millisecond, otherGap: 20 * time.Millisecond}
	for name, change := range map[string]func(p *crashPlan){
		"closed":  func(*crashPlan) {},
		"silent":  func(p *crashPlan) { p.silent = true },
		"same_ID": func(p *crashPlan) { p.sameID, p.silent = true, true },
		"fan-out": func(p *crashPlan) { p.fanOut = true },
		"silent_fan-out": func(p *crashPlan) {
			p.fanOut, p.silent = true, true
		},
		"other_queries":   func(p *crashPlan) { p.queries = true },
		"same_request_ID": func(p *crashPlan) { p.sameRequestID = true },
		"many_callers":    func(p *crashPlan) { p.manyCallers = true },
		"many_callers_fan-out": func(p *crashPlan) {
			p.manyCallers, p.fanOut, p.shards, p.gap = true, true, 10, 130*time.Millisecond
		},
		"sound_before":        func(p *crashPlan) { p.soundFor, p.gap = 4*time.Second, 300*time.Millisecond },
		"silent_sound_before": func(p *crashPlan) { p.soundFor, p.gap, p.silent = 4*time.Second, 300*time.Millisecond, true },
		"domains":             func(p *crashPlan) { p.domains = 4 },
		"silent_domains":      func(p *crashPlan) { p.domains, p.silent = 4, true },
		"silent_repeated_after_a_pause": func(p *crashPlan) {
			p.vms, p.fanOut, p.shards, p.silent, p.downFor = 4, true, 10, true, 4500*time.Millisecond
			p.gap, p.pauseAfter, p.pause = 300*time.Millisecond, 2, 8*time.Second
		},
		"store_away": func(p *crashPlan) { p.storeAway, p.storeAwayFor = 1100*time.Millisecond, 3*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			p := plan
			change(&p)
			p.play(t).check(t)
		})
	}
}

// Guards against a caller that is refused because many replicas ended at once while it
// repeated a request.
func TestRepeatedRequestIsNotRefusedAfterManyReplicasHaveEnded(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("silent_%t/%d", silent, seed), func(t *testing.T) {
				p := crashPlan{seed: seed, vms: 5, shards: 6, silent: silent, hot: true, massCrash: 3 * time.Second, downFor: 3 * time.Second, gap: time.Hour, otherGap: 10 * time.Millisecond}
				p.play(t).check(t)
			})
		}
	}
}

// Guards against a popular path that is refused because many attempts for it, of many
// callers, were in flight when half of the replicas ended.
func TestPopularPathIsNotRefusedAfterManyReplicasHaveEnded(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("silent_%t/%d", silent, seed), func(t *testing.T) {
				p := crashPlan{seed: seed, vms: 5, shards: 6, silent: silent, popular: true, massCrash: 3 * time.Second, downFor: 3 * time.Second, gap: time.Hour, otherGap: 10 * time.Millisecond}
				p.play(t).check(t)
			})
		}
	}
}

// Guards against a request that goes on to crash replicas because its attempts are not
// counted, or no longer.
func TestDrawnPlansOfRecurringCrashes(t *testing.T) {
	for seed := range uint64(*fleetPlans) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { drawRecurringPlan(seed).play(t).check(t) })
	}
}

// drawRecurringPlan draws a plan in which the request comes soon again and succeeds
// before it crashes replicas, or keeps its ID.
func drawRecurringPlan(seed uint64) crashPlan {
	r := rand.New(rand.NewPCG(seed, 3))
	ms := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	p := drawCrashPlan(seed)
	p.storeAwayFor, p.joining = 0, 0
	p.gap, p.downFor, p.crashAfter = ms(200, 1500), ms(800, 5000), ms(40, 150)
	p.sameRequestID = r.IntN(2) == 0
	if r.IntN(2) == 0 {
		p.soundFor = ms(1000, 6000)
	}
	if r.IntN(2) == 0 {
		p.domains = 4
	}
	if r.IntN(4) == 0 {
		p.massCrash = ms(2000, 12000)
	}
	return p
}

// Guards against the same failure in other mixes of faults.
func TestDrawnCrashPlans(t *testing.T) {
	for seed := range uint64(*fleetPlans) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { drawCrashPlan(seed).play(t).check(t) })
	}
}

var fleetPlans = flag.Int("fleet.plans", 24, "number of plans that each of the tests with drawn plans plays")
