package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

// Bounds of the small deployment podstavek-iskanje, as its page states them.
const (
	contactTime  = 4 * time.Second
	drainTimeout = 3 * time.Second
)

// siteHost is the host of all routes.
const siteHost = "leno12.example"

// zones are the zones of the VMs, as in podstavek-iskanje.
var vmZones = []string{"osrednja-a", "osrednja-a", "osrednja-b", "osrednja-c"}

// replicaZones are the zones of the replicas.
var replicaZones = []string{"osrednja-a", "osrednja-b", "osrednja-c"}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), out: f}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment: a store, replicas and VM processes.
type site struct {
	record   *record
	dir      string
	edge     string
	store    *standin.Store
	listener net.Listener
	vms      []*vm
	replicas []*replica
	version  int
	seen     *seen
	trouble  atomic.Int64
	// links lead from the first VM to the servers, by their addresses, if they can be cut.
	links map[string]*link
	// storeCut is set while the first VM does not reach the store.
	storeCut atomic.Bool
}

// route is a route of the manifest.
type route struct {
	name, prefix, kind, service string
	timeoutMS, targetMS         int
	attempts                    int
}

func newSite(r *record, edge string) (*site, error) {
	dir, err := os.MkdirTemp("", "nutmeghitch-review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, edge: edge, store: standin.NewStore(), listener: l, version: 1, seen: &seen{runs: map[string][]string{}}}
	go func() {
		_ = (&http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}).Serve(l)
	}()
	return s, nil
}

// serveFirstVM is the store as the first VM sees it: the servers' addresses are those of
// links that can be cut, as its whole way to the store can be.
func (s *site) serveFirstVM(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	done := make(chan struct{})
	go func() { defer close(done); s.store.ServeHTTP(answer, r) }()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		}
		if s.storeCut.Load() {
			panic(http.ErrAbortHandler) // the connection breaks
		}
	}
	body := answer.Body.String()
	for addr, l := range s.links {
		body = strings.ReplaceAll(body, addr, l.addr)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write([]byte(body))
}

// link passes the connections of the first VM to one server on until it is cut. Then it
// resets them and refuses new ones.
type link struct {
	addr, target string
	mu           sync.Mutex
	listener     net.Listener
	conns        map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	l := &link{addr: addr, target: target, conns: map[net.Conn]bool{}}
	return l, l.open()
}

func (l *link) open() error {
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c)
		}
	}()
	return nil
}

func (l *link) pass(c net.Conn) {
	up, err := net.Dial("tcp", l.target)
	if err != nil {
		l.end(c)
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[up] = true, true
	l.mu.Unlock()
	go func() { _, _ = io.Copy(up, c); l.end(c); l.end(up) }()
	_, _ = io.Copy(c, up)
	l.end(c)
	l.end(up)
}

// end resets a connection.
func (l *link) end(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) cut() {
	l.mu.Lock()
	_ = l.listener.Close()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		l.end(c)
	}
}

// configure writes a manifest with the routes and services.
func (s *site) configure(routes []route, services []string) {
	s.version++
	specs := []map[string]any{}
	for _, r := range routes {
		specs = append(specs, map[string]any{
			"name": r.name, "hostname": siteHost, "path_prefix": r.prefix, "type": r.kind, "backend": r.service,
			"timeout_ms": r.timeoutMS, "target_latency_ms": r.targetMS, "priority": 1, "attempts": r.attempts,
		})
	}
	serviceSpecs := []map[string]any{}
	for _, name := range services {
		serviceSpecs = append(serviceSpecs, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 43, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.version, "routes": specs, "services": serviceSpecs,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startVMs starts the VM processes and waits until all are ready and in touch.
func (s *site) startVMs(n int) error {
	for i := range n {
		v, err := newVM(s, i)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	seeds := []string{}
	for _, v := range s.vms[:min(3, len(s.vms))] {
		seeds = append(seeds, v.peers)
	}
	for _, v := range s.vms {
		if err := v.start(s, seeds); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if !v.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	s.record.add("all %d VMs are ready", len(s.vms))
	time.Sleep(contactTime + time.Second) // a VM is in touch contact_ms after its start
	return nil
}

// startTrouble begins the disruption of the answers of servers.
func (s *site) startTrouble() { s.trouble.Store(time.Now().UnixNano()) }

// troubleAt returns when the disruption has begun, a time to come if it has not.
func (s *site) troubleAt() time.Time {
	if at := s.trouble.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Now().Add(time.Hour)
}

// close ends all processes that the run started.
func (s *site) close() {
	for _, v := range s.vms {
		v.kill()
	}
	for _, r := range s.replicas {
		r.exit()
	}
	_ = s.listener.Close()
	_ = os.RemoveAll(s.dir)
}

// vm is one VM process.
type vm struct {
	name, zone, front, ready, peers string
	cmd                             *exec.Cmd
	done                            chan struct{}
	dir                             string
}

func newVM(s *site, i int) (*vm, error) {
	v := &vm{name: fmt.Sprintf("edge-%s-%d", vmZones[i], i+1), zone: vmZones[i], dir: s.dir}
	for _, addr := range []*string{&v.front, &v.ready, &v.peers} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	return v, nil
}

// freeAddr returns a loopback address of this process alone with a port below those
// that the system gives to outgoing connections.
func freeAddr() (string, error) {
	pid := os.Getpid()
	host := net.IPv4(127, byte(1+pid>>16%100), byte(pid>>8), byte(pid)).String()
	for range 100 {
		addr := net.JoinHostPort(host, strconv.Itoa(20000+rand.IntN(10000)))
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

const settings = `node_name: %q
role: "entry"
machine_class: "edge"
zone: %q
region: "osrednja"
bind_addrs:
  front: %q
  ready_addr: %q
  control: %q
seed_peers: [%s]
bootstrap: true
limits:
  cpu_share: 0.608
  cpu_cores: 1
  memory_mb: 414
  max_fds: 6150
heartbeat_ms: 1200
bounds:
  seed_lag_s: 3
  addr_reuse_s: 2
  contact_ms: 4000
  drain_timeout_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_slack: 54
  warmup_overage: 1.5
  warmup_slack: 5
  evacuate_ms: 5000
  recovery_s: 12
platform:
  address: %q
  form: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
`

// start starts the process with the command of the deploy file.
func (v *vm) start(s *site, seeds []string) error {
	quoted := []string{}
	for _, a := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", a))
	}
	path := filepath.Join(v.dir, v.name+".yaml")
	store := s.listener.Addr().String()
	if s.links != nil && v == s.vms[0] {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		store = l.Addr().String()
		go func() {
			_ = (&http.Server{Handler: http.HandlerFunc(s.serveFirstVM), ReadHeaderTimeout: time.Minute}).Serve(l)
		}()
	}
	text := fmt.Sprintf(settings, v.name, v.zone, v.front, v.ready, v.peers, strings.Join(quoted, ", "), store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(v.dir, v.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	v.cmd = exec.Command(s.edge)
	v.cmd.Env = append(os.Environ(), "NUTMEGHITCH_BOOT="+path)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func() { _ = v.cmd.Wait(); close(v.done) }()
	return nil
}

func (v *vm) awaitReady(longest time.Duration) bool {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := http.Get("http://" + v.ready + "/readyz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

func (v *vm) kill() {
	if v.cmd == nil || v.done == nil {
		return
	}
	select {
	case <-v.done:
	default:
		_ = v.cmd.Process.Kill()
		<-v.done
	}
}

// copyLogs keeps the logs of the VMs where KEEP_LOGS names a folder.
func (s *site) copyLogs() {
	to := os.Getenv("KEEP_LOGS")
	if to == "" {
		return
	}
	for _, v := range s.vms {
		if b, err := os.ReadFile(filepath.Join(v.dir, v.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(to, v.name+".log"), b, 0o600)
		}
	}
}

// configureGather writes a manifest with one route over all shards, like order-sweep.
func (s *site) configureGather(shards []string) {
	s.version++
	services := []map[string]any{}
	for _, name := range shards {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 26, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0})
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.version, "services": services,
		"routes": []map[string]any{{
			"name": "all", "hostname": siteHost, "path_prefix": "/all/", "type": "idempotent", "gather": shards, "top_k": 50, "min_coverage": 0.89,
			"timeout_ms": 1500, "target_latency_ms": 100, "priority": 1, "attempts": 2,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
