package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/merge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// waitTimeout bounds every wait for a condition. It is far above the times of the
// design, so that a slow machine does not change the verdict.
const waitTimeout = 30 * time.Second

// daemon is the built nutmeghitchd.
var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "nutmeghitchd")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "nutmeghitchd")
	build := exec.Command("go", "build", "-o", daemon, "../../cmd/nutmeghitchd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const secret = "0123456789abcdef-e2e"

// site is the stand-ins and the processes of a small site.
type site struct {
	t       *testing.T
	cluster *testcluster.Cluster
	seeds   []map[string]any
	mu      sync.Mutex // guards changes of vms while traffic runs
	vms     []*process
	client  *http.Client
	scheme  string
	// edit changes the settings of a VM before it starts.
	edit func(id string, settings map[string]any)
}

// process is one running nutmeghitchd.
type process struct {
	id, domain                string
	site                      *site
	callers, peers, operators string
	cmd                       *exec.Cmd
	output                    *output
	exited                    chan error
}

// output collects what a process writes while tests read it.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns everything written so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func (o *output) contains(s string) bool { return strings.Contains(o.String(), s) }

// newSite starts upstreams and platform of two failure domains and publishes
// the configuration.
func newSite(t *testing.T) *site { return newSiteOf(t, fake.ColdConfig{}) }

// newSiteOf starts a site whose upstreams have the cold start.
func newSiteOf(t *testing.T, cold fake.ColdConfig) *site {
	t.Helper()
	c, err := testcluster.Start(t.Context(), testcluster.Config{
		Document: document(),
		Seed:     1,
		Records:  200,
		Profile: func(model.ServiceID, *model.Service) testcluster.Profile {
			return testcluster.Profile{ServiceTime: 2 * time.Millisecond, ConnCost: time.Millisecond, Cold: cold}
		},
	})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return &site{t: t, cluster: c, scheme: "http", client: &http.Client{Timeout: 20 * time.Second}}
}

func document() *model.Document {
	search := &model.Service{
		Kind: model.Search, Slots: 2, Connections: 20, DeadlineMS: 5000, MaxDeadlineMS: 30000,
		ExtraLoad: 0.05, TargetQuantile: 0.99, ColdWindow: 1, QueueLimit: 64, Limit: 20,
		Operations: map[string]model.Operation{"search": {Idempotent: true}},
		Order:      []model.OrderKey{{Field: "date"}, {Field: "id"}},
		ShardMaps:  []model.ShardMap{{Epoch: 1}},
	}
	for g := range 3 {
		group := model.Group{ID: model.GroupID(fmt.Sprintf("g%d", g))}
		group.Shards = []model.ShardID{model.ShardID(fmt.Sprintf("s%d", 2*g)), model.ShardID(fmt.Sprintf("s%d", 2*g+1))}
		group.Replicas = replicas("search-"+string(group.ID), 2)
		search.ShardMaps[0].Groups = append(search.ShardMaps[0].Groups, group)
	}
	lookup := &model.Service{
		Kind: model.Lookup, Slots: 2, Connections: 20, DeadlineMS: 5000, MaxDeadlineMS: 30000,
		ExtraLoad: 0.05, TargetQuantile: 0.99, ColdWindow: 1, QueueLimit: 64,
		Operations: map[string]model.Operation{"trip": {Idempotent: true}, "book": {}},
		ShardMaps:  []model.ShardMap{{Epoch: 1, Groups: []model.Group{{ID: "all", Replicas: replicas("lookup", 2)}}}},
	}
	return &model.Document{
		Site:     "e2e",
		Domains:  map[model.DomainID]model.Domain{"a": {Region: "r"}, "b": {Region: "r"}},
		Services: map[model.ServiceID]*model.Service{"bookings": search, "trips": lookup},
		Tier: model.Tier{
			ClaimPartitions: 8, ClaimRetentionMS: 86_400_000, PoisonLimit: 2, PoisonBlockMS: 600_000,
			SameDomainUS: 100, SameRegionUS: 500, OtherRegionUS: 5000,
		},
	}
}

func replicas(prefix string, n int) []model.Replica {
	out := make([]model.Replica, n)
	for i := range out {
		out[i] = model.Replica{ID: model.ReplicaID(fmt.Sprintf("%s-r%d", prefix, i)), Domain: model.DomainID([]string{"a", "b"}[i%2])}
	}
	return out
}

// Ports of the processes lie below the range from which the system gives ports
// to listeners on port 0 and to outgoing connections, so that nothing else
// takes one between its choice and the start of the process.
const (
	firstPort = 22000
	portCount = 9000
)

var (
	portMu   sync.Mutex
	nextPort = os.Getpid() * 64 % portCount
)

// freeAddr returns a loopback address that nothing listens on. No two calls
// of one process return the same.
func freeAddr(t *testing.T) string {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		nextPort = (nextPort + 1) % portCount
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// start runs a VM in a failure domain and waits until it is ready.
func (s *site) start(id, domain string) *process {
	s.t.Helper()
	p := s.launch(id, domain)
	s.await("ready "+id, func() bool {
		select {
		case err := <-p.exited:
			s.t.Fatalf("%s ended: %v\n%s", id, err, p.output)
		default:
		}
		return p.ready()
	})
	return p
}

// launch runs a VM without waiting for it.
func (s *site) launch(id, domain string) *process {
	s.t.Helper()
	p := &process{
		id: id, domain: domain, callers: freeAddr(s.t), peers: freeAddr(s.t), operators: freeAddr(s.t),
		site: s, output: &output{}, exited: make(chan error, 1),
	}
	settings := map[string]any{
		"vm": id, "domain": domain, "region": "r",
		"listen": map[string]any{
			"callers":   map[string]any{"addr": p.callers},
			"peers":     map[string]any{"addr": p.peers},
			"operators": map[string]any{"addr": p.operators},
		},
		"platform":           map[string]any{"url": s.cluster.Platform.URL(), "token": testcluster.PlatformToken},
		"seeds":              s.seeds,
		"peer_secret":        secret,
		"operator_token":     secret,
		"balancer_notice_ms": 500,
	}
	s.seeds = append(s.seeds, map[string]any{"id": id, "addr": p.peers, "domain": domain, "region": "r"})
	if s.edit != nil {
		s.edit(id, settings)
	}
	data, err := json.Marshal(settings)
	assert.NilError(s.t, err)
	file := filepath.Join(s.t.TempDir(), id+".jsonc")
	assert.NilError(s.t, os.WriteFile(file, data, 0o600))
	p.cmd = exec.Command(daemon, "--settings", file)
	p.cmd.Stderr = p.output
	assert.NilError(s.t, p.cmd.Start())
	go func() { p.exited <- p.cmd.Wait() }()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if s.t.Failed() {
			out := p.output.String()
			s.t.Logf("%s, end of log:\n%s", id, out[max(0, len(out)-4000):])
		}
	})
	s.mu.Lock()
	s.vms = append(s.vms, p)
	s.mu.Unlock()
	return p
}

// await polls a condition.
func (s *site) await(what string, done func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			s.t.Fatalf("gave up waiting: %s", what)
		case <-tick.C:
		}
	}
}

func (p *process) ready() bool {
	resp, err := p.site.client.Get(p.site.scheme + "://" + p.operators + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// status returns the control state as operators see it.
func (p *process) status() (frontend.Status, bool) {
	var st frontend.Status
	req, err := http.NewRequest(http.MethodGet, p.site.scheme+"://"+p.operators+"/admin/status", nil)
	if err != nil {
		return st, false
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := p.site.client.Do(req)
	if err != nil {
		return st, false
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// knows reports whether the VM sees another one alive.
func (p *process) knows(id string) bool {
	st, ok := p.status()
	return ok && slices.ContainsFunc(st.VMs, func(v frontend.VMStatus) bool {
		return string(v.ID) == id && v.State == model.Alive.String()
	})
}

// reply is the outcome of one request.
type reply struct {
	status   int
	Code     string            `json:"code"`
	RunState string            `json:"run_state"`
	Result   json.RawMessage   `json:"result"`
	Coverage merge.Coverage    `json:"coverage"`
	Snapshot model.Snapshot    `json:"snapshot"`
	Results  []json.RawMessage `json:"results"`
}

// post sends one request to one VM. A broken connection has status 0.
func (p *process) post(path, key, body string, deadline time.Duration) reply {
	var r reply
	// A frozen VM does not answer; its caller gives up some time after the deadline.
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.site.scheme+"://"+p.callers+path, bytes.NewBufferString(body))
	if err != nil {
		return r
	}
	req.Header.Set(frontend.HeaderDeadlineMS, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(frontend.HeaderIdempotencyKey, key)
	}
	resp, err := p.site.client.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&r) == nil {
		r.status = resp.StatusCode
	}
	return r
}

func (p *process) search() reply {
	return p.post("/v1/search/bookings", "", `{"query":{}}`, 5*time.Second)
}

func (p *process) book(key string) reply {
	return p.post("/v1/call/trips/book", key, fmt.Sprintf(`{"id":"MS-000001","token":%q}`, key), 5*time.Second)
}

// covered reports whether a search through the VM covers every shard.
func (p *process) covered() bool { return p.coveredBy(`{"query":{}}`) }

func (p *process) coveredBy(body string) bool {
	r := p.post("/v1/search/bookings", "", body, 5*time.Second)
	return r.status == http.StatusOK && r.Coverage.Total == 6 && r.Coverage.Covered == 6
}
