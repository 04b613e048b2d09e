package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

var testHeaders = HeaderNames{
	RequestID: "Id", Deadline: "Left", TargetReplica: "For", Receipt: "Receipt", NotRun: "Not-Run",
	Receipts: "Receipts", MissingShards: "Missing", ReplicaID: "Replica", WarmupLeft: "Cold",
}

// site is a set of replicas on loopback in front of a forwarder.
type site struct {
	t         *testing.T
	forwarder *Forwarder
	table     *routes.Table
	view      *View
	entry     *httptest.Server
	ledger    *poison.Ledger

	mu          sync.Mutex
	seen        []string // "replica id" for each arrival
	unreachable []string
	broken      []string
	silent      []string
}

// handler is what a replica does with a request.
type handler func(w http.ResponseWriter, r *http.Request)

func (s *site) ReplicaUnreachable(u *Upstream, _ *errs.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = append(s.unreachable, u.Member.ID)
}

func (s *site) ReplicaUnresponsive(u *Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = append(s.silent, u.Member.ID)
}

func (s *site) RequestInterrupted(u *Upstream, _ *errs.Refusal, suspect RequestAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, u.Member.ID)
	s.ledger.Lost(time.Now(), "", suspect.RequestID, []uint64{suspect.Fingerprint})
}

func newSite(t *testing.T, all ...*routes.Route) *site {
	t.Helper()
	table, err := routes.NewTable(7, routes.Limits{BodyBytes: 1000}, all, nil)
	assert.NilError(t, err)
	s := &site{t: t, table: table, ledger: poison.NewLedger(poison.Config{Limit: 3}), view: &View{Table: table, ReplicaSets: map[string]*ReplicaSet{}, HedgeDelays: map[string]*hedge.Policy{}}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.forwarder = New(testHeaders, s, s.ledger, log, tally.NoopScope, tally.DefaultBuckets)
	s.entry = httptest.NewServer(s.forwarder)
	t.Cleanup(s.entry.Close)
	return s
}

// group adds a service with a budget of so many sends beyond the first.
func (s *site) group(service string, budget int) *ReplicaSet {
	g := &ReplicaSet{Service: service, Budget: hedge.NewPolicy(hedge.Config{Groups: 1, ExtraLoad: 0.001, Burst: max(1, budget)})}
	for range max(1, budget) - budget {
		assert.NilError(s.t, g.Budget.TryTakeExtra(1))
	}
	s.view.ReplicaSets[service] = g
	s.forwarder.SetView(s.view)
	return g
}

// replica adds a replica to a service.
func (s *site) replica(g *ReplicaSet, id string, h handler) *Upstream {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.seen = append(s.seen, id+" "+r.Header.Get("Id"))
		s.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		h(w, r)
	}))
	s.t.Cleanup(server.Close)
	return s.upstream(g, id, server.Listener.Addr().String())
}

func (s *site) upstream(g *ReplicaSet, id, addr string) *Upstream {
	u := &Upstream{
		Member:  &discovery.Member{Replica: discovery.Replica{ID: id, Service: g.Service, Addr: addr}},
		Tracker: replica.NewTracker(true, 2),
		Pool:    exchange.NewPool((&net.Dialer{Timeout: time.Second}).DialContext, addr, 4),
	}
	s.t.Cleanup(u.Pool.Close)
	g.Upstreams = append(g.Upstreams, u)
	return u
}

func (s *site) arrivals() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.seen))
}

// ask sends one request of a caller and returns status, header and body.
func (s *site) ask(method, path, id string, body string) (int, http.Header, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, s.entry.URL+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	request.Host = "h.example"
	request.Header.Set("Id", id)
	request.Header.Set("Left", "5000")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(s.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	return response.StatusCode, response.Header, string(content)
}

func serves(receipt, body string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Receipt", receipt)
		fmt.Fprint(w, body)
	}
}

func sheds(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breaks ends the connection without an answer.
func breaks(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func plain(idempotent bool) *routes.Route {
	return &routes.Route{
		Name: "plain", Host: "h.example", Prefix: "/p/", Idempotent: idempotent, Timeout: 5 * time.Second,
		Target: time.Second, Attempts: 2, Services: []routes.Weighted{{Service: "s", Weight: 1}},
	}
}

func fanOut(coverage float64, shards ...string) *routes.Route {
	return &routes.Route{
		Name: "all", Host: "h.example", Prefix: "/a/", Idempotent: true, Timeout: 5 * time.Second,
		Target: time.Second, Attempts: 2, Shards: shards, TopK: 3, MinCoverage: coverage,
	}
}

// record returns a 16-byte record that begins with a letter.
func record(letter string) string { return letter + strings.Repeat(".", 15) }
