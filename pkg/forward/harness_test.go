package forward

import (
	"context"
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
	RequestID: "Id", Deadline: "Left", Tenant: "Tenant", TargetReplica: "For", Receipt: "Receipt", NotRun: "Not-Run",
	Receipts: "Receipts", MissingShards: "Missing", ReplicaID: "Replica", WarmupLeft: "Cold", RequestLimit: "Limit", Leaving: "Leaving",
}

// testTier is a forwarder in front of replicas on the loopback interface. It is also
// the forwarder's observer.
type testTier struct {
	t         *testing.T
	forwarder *Forwarder
	table     *routes.Table
	view      *View
	server    *httptest.Server
	ledger    *poison.Ledger

	mu                 sync.Mutex
	receivedByReplicas []string // "<replica ID> <request ID>" for each request
	// The IDs of the replicas that were reported to the observer.
	unreachable  []string
	interrupted  []string
	unresponsive []string
	// suspects holds what was reported of suspect requests without an answer.
	suspects []string
	// cleared holds the fingerprints of suspect requests that have succeeded.
	cleared []uint64
	// clearedAt holds the services at which they have, nil for all.
	clearedAt [][]string
}

// handler answers a request at a replica.
type handler func(w http.ResponseWriter, r *http.Request)

func (tt *testTier) ReplicaUnreachable(u *Upstream, _ *errs.Refusal) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.unreachable = append(tt.unreachable, u.Member.ID)
}

func (tt *testTier) ReplicaUnresponsive(u *Upstream) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.unresponsive = append(tt.unresponsive, u.Member.ID)
}

func (tt *testTier) ReplicaTold(*Upstream) {}

func (tt *testTier) RequestLimitChanged(*Upstream) {}

func (tt *testTier) SuspectUnanswered(_ *Upstream, _ time.Time, attempt RequestAttempt) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.suspects = append(tt.suspects, "unanswered "+attempt.RequestID)
}

func (tt *testTier) SuspectAnswered(attempt RequestAttempt) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.suspects = append(tt.suspects, "answered "+attempt.RequestID)
}

func (tt *testTier) SuspectSucceeded(attempt RequestAttempt, services []string) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.cleared = append(tt.cleared, attempt.Fingerprint)
	tt.clearedAt = append(tt.clearedAt, services)
}

func (tt *testTier) RequestUnanswered(*Upstream, time.Time, RequestAttempt) {}

func (tt *testTier) RequestInterrupted(u *Upstream, _ time.Time, _ *errs.Refusal, attempt RequestAttempt) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.interrupted = append(tt.interrupted, u.Member.ID)
	tt.ledger.RecordLoss(time.Now(), "", attempt.RequestID, []uint64{attempt.Fingerprint})
}

// newTestForwarder returns a forwarder without a view, which writes no log.
func newTestForwarder(o Observer, ledger *poison.Ledger) *Forwarder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{
		Headers: testHeaders, Observer: o, Ledger: ledger, Memory: exchange.NewMemory(0), Bodies: exchange.NewMemory(0),
		Log: log, Scope: tally.NoopScope, Buckets: tally.DefaultBuckets,
	})
}

func newTestTier(t *testing.T, routeList ...*routes.Route) *testTier {
	t.Helper()
	table, err := routes.NewTable(7, routes.Limits{BodyBytes: 1000}, routeList, nil)
	assert.NilError(t, err)
	tt := &testTier{t: t, table: table, ledger: poison.NewLedger(poison.Config{LossLimit: 3}), view: &View{Table: table, ReplicaSets: map[string]*ReplicaSet{}, HedgeDelays: map[string]*hedge.Policy{}}}
	tt.forwarder = newTestForwarder(tt, tt.ledger)
	tt.server = httptest.NewUnstartedServer(tt.forwarder)
	tt.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return WithCallerConn(ctx, &CallerConn{Conn: c})
	}
	tt.server.Start()
	t.Cleanup(tt.server.Close)
	return tt
}

// addService adds a service whose budget allows the given number of extra sends.
func (tt *testTier) addService(service string, extraSends int) *ReplicaSet {
	rs := &ReplicaSet{Service: service, Budget: hedge.NewPolicy(hedge.Config{Groups: 1, ExtraLoad: 0.001, Burst: max(1, extraSends)})}
	for range max(1, extraSends) - extraSends {
		assert.NilError(tt.t, rs.Budget.TryTakeExtra(1))
	}
	tt.view.ReplicaSets[service] = rs
	tt.forwarder.SetView(tt.view)
	return rs
}

// addReplica starts a replica and adds it to a service.
func (tt *testTier) addReplica(rs *ReplicaSet, id string, h handler) *Upstream {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tt.mu.Lock()
		tt.receivedByReplicas = append(tt.receivedByReplicas, id+" "+r.Header.Get("Id"))
		tt.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		h(w, r)
	}))
	tt.t.Cleanup(server.Close)
	return tt.addUpstream(rs, id, server.Listener.Addr().String())
}

// addUpstream adds a replica with an address at which it need not run.
func (tt *testTier) addUpstream(rs *ReplicaSet, id, addr string) *Upstream {
	u := &Upstream{
		Member:  &discovery.Member{Replica: discovery.Replica{ID: id, Service: rs.Service, Addr: addr}},
		Tracker: replica.NewTracker(true, 2),
		Pool:    exchange.NewPool((&net.Dialer{Timeout: time.Second}).DialContext, addr, 4),
	}
	tt.t.Cleanup(u.Pool.Close)
	rs.Upstreams = append(rs.Upstreams, u)
	return u
}

// received returns "<replica ID> <request ID>" for each request that a replica has
// received.
func (tt *testTier) received() []string {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return slices.Sorted(slices.Values(tt.receivedByReplicas))
}

// send sends a request to the forwarder and returns the status, header and body of
// the response.
func (tt *testTier) send(method, path, id, body string) (int, http.Header, string) {
	tt.t.Helper()
	request, err := http.NewRequestWithContext(tt.t.Context(), method, tt.server.URL+path, strings.NewReader(body))
	assert.NilError(tt.t, err)
	request.Host = "h.example"
	request.Header.Set("Id", id)
	request.Header.Set("Left", "5000")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(tt.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(tt.t, err)
	return response.StatusCode, response.Header, string(content)
}

// respondWith answers with a receipt and a body.
func respondWith(receipt, body string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Receipt", receipt)
		fmt.Fprint(w, body)
	}
}

// refuseNotRun answers that the replica did not run the request.
func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// singleRoute returns a route to one service.
func singleRoute(idempotent bool) *routes.Route {
	return &routes.Route{
		Name: "plain", Host: "h.example", Prefix: "/p/", Idempotent: idempotent, Timeout: 5 * time.Second,
		Target: time.Second, Attempts: 2, Services: []routes.Weighted{{Service: "s", Weight: 1}},
	}
}

// fanOutRoute returns a route to all the given shards.
func fanOutRoute(minCoverage float64, shards ...string) *routes.Route {
	return &routes.Route{
		Name: "all", Host: "h.example", Prefix: "/a/", Idempotent: true, Timeout: 5 * time.Second,
		Target: time.Second, Attempts: 2, Shards: shards, TopK: 3, MinCoverage: minCoverage,
	}
}

// record returns a 16-byte record that begins with the given character.
func record(first string) string { return first + strings.Repeat(".", 15) }

// targetOf returns the target of a request as a replica gets it.
func targetOf(r *http.Request) routes.Target {
	target, refusal := routes.ParseTarget(r.Host, r.RequestURI)
	if refusal != nil {
		panic(refusal)
	}
	return target
}
