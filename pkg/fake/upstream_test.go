package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// testVersion is an index version of two shards that are both held.
func testVersion(version uint64) IndexVersion {
	shards := []model.ShardID{"s0", "s1"}
	return IndexVersion{Version: version, Epoch: 1, Map: shards, Held: shards}
}

// startUpstream runs an upstream for the test.
func startUpstream(t *testing.T, c UpstreamConfig) *Upstream {
	t.Helper()
	if c.Data == nil {
		c.Data = AssistanceBookings(7, 200)
	}
	if c.Kind == "" {
		c.Kind = model.Search
	}
	u, err := NewUpstream(c)
	assert.NilError(t, err)
	t.Cleanup(u.Close)
	return u
}

// single opens a connection for each request, so that none outlives its upstream.
var single = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a run request and decodes the answer.
func post(u *Upstream, request UpstreamRequest) (int, map[string]any, error) {
	body, _ := json.Marshal(request)
	response, err := single.Post("http://"+u.Addr()+"/run", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	var decoded map[string]any
	err = json.NewDecoder(response.Body).Decode(&decoded)
	return response.StatusCode, decoded, err
}

// searchFor returns a request for both shards of version 1.
func searchFor(id string) UpstreamRequest {
	return UpstreamRequest{
		RequestID: id, Operation: "search", Version: 1, Epoch: 1, DeadlineMS: 60_000, Limit: 5,
		Shards: []model.ShardID{"s0", "s1"}, Payload: json.RawMessage(`{"equals":{"kind":"escort"}}`),
	}
}

// Guards against replicas of a group that answer the same query differently,
// and against versions that cannot be told apart.
func TestReplicasAgreeAndVersionsDiffer(t *testing.T) {
	order := []model.OrderKey{{Field: "date", Desc: true}, {Field: "id"}}
	versions := []IndexVersion{testVersion(1), testVersion(2)}
	a := startUpstream(t, UpstreamConfig{Replica: "a", Versions: versions, Order: order})
	b := startUpstream(t, UpstreamConfig{Replica: "b", Versions: versions, Order: order, Data: AssistanceBookings(7, 200)})
	_, first, err := post(a, searchFor("q1"))
	assert.NilError(t, err)
	_, second, err := post(b, searchFor("q1"))
	assert.NilError(t, err)
	assert.DeepEqual(t, first["rows"], second["rows"])
	assert.Equal(t, first["row_count"], 5.0)
	other := searchFor("q2")
	other.Version = 2
	_, third, err := post(a, other)
	assert.NilError(t, err)
	row := third["rows"].([]any)[0].(map[string]any)["data"].(map[string]any)
	assert.Equal(t, row["version"], 2.0)
}

// Guards against a split search that finds other records than the whole.
func TestShardsPartitionTheRecords(t *testing.T) {
	data := PlinthOrders(3, 300)
	v := testVersion(1)
	whole := data.Search(v, v.Map, Query{Text: "CRANE", From: "2026-01-10"}, nil, 0)
	left := data.Search(v, v.Map[:1], Query{Text: "crane", From: "2026-01-10"}, nil, 0)
	right := data.Search(v, v.Map[1:], Query{Text: "crane", From: "2026-01-10"}, nil, 0)
	assert.Assert(t, len(left) > 0 && len(right) > 0)
	assert.Equal(t, len(whole), len(left)+len(right))
}

// Guards against explicit refusals that are sent although the request ran.
func TestRefusalsDidNotRun(t *testing.T) {
	u := startUpstream(t, UpstreamConfig{Versions: []IndexVersion{testVersion(1)}, Slots: 1})
	expect := func(code string, request UpstreamRequest) {
		t.Helper()
		_, reply, err := post(u, request)
		assert.NilError(t, err)
		assert.Equal(t, reply["code"], code)
		assert.Equal(t, reply["did_not_run"], true)
		assert.Equal(t, reply["request_id"], request.RequestID)
	}
	gone := searchFor("gone")
	gone.Version = 9
	expect("version_gone", gone)
	late := searchFor("late")
	late.DeadlineMS = 0
	expect("deadline", late)
	u.Shed(1)
	expect("shed", searchFor("shed"))
	u.Drain(true)
	expect("draining", searchFor("draining"))
	u.Drain(false)
	u.Hang(true)
	done := make(chan struct{})
	go func() { defer close(done); _, _, _ = post(u, searchFor("first")) }()
	assert.NilError(t, u.Await(t.Context(), func(_ UpstreamCounters, running int) bool { return running == 1 }))
	expect("busy", searchFor("busy"))
	u.Hang(false)
	<-done
	assert.Equal(t, u.Counters().Runs, 1)
	assert.Equal(t, u.Counters().Sends, 6)
}

// Guards against a cold upstream that takes any load, or stays cold for good.
func TestColdUpstreamFailsUnderFullLoad(t *testing.T) {
	u := startUpstream(t, UpstreamConfig{
		Versions: []IndexVersion{testVersion(1)}, Slots: 4, Cold: ColdConfig{Runs: 1, CrashAt: 3},
	})
	u.Hang(true)
	go func() { _, _, _ = post(u, searchFor("first")) }()
	assert.NilError(t, u.Await(t.Context(), func(_ UpstreamCounters, running int) bool { return running == 1 }))
	_, reply, err := post(u, searchFor("second"))
	assert.NilError(t, err)
	assert.Equal(t, reply["code"], "cold")
	before := u.Instance()
	_, _, err = post(u, searchFor("third"))
	assert.Assert(t, err != nil)
	assert.Equal(t, u.Counters().Crashes, 1)
	assert.Equal(t, u.Counters().ColdExcess, 2)
	_, _, err = post(u, searchFor("refused"))
	assert.Assert(t, err != nil, "a crashed upstream must refuse connections")
	u.Hang(false)
	assert.NilError(t, u.Restart())
	assert.Assert(t, u.Instance() != before)
	status, _, err := post(u, searchFor("warm"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	u.mu.Lock()
	defer u.mu.Unlock()
	assert.Assert(t, !u.isCold(time.Now()))
}

// Guards against executions that are not counted, or not by their token.
func TestExecutionsAreCountedByToken(t *testing.T) {
	shared := NewExecutions()
	config := UpstreamConfig{
		Kind: model.Lookup, Executions: shared,
		Operations: map[string]model.Operation{"trip": {Idempotent: true}, "book": {}},
	}
	a, b := startUpstream(t, config), startUpstream(t, config)
	book := UpstreamRequest{RequestID: "r1", Operation: "book", DeadlineMS: 60_000, Payload: json.RawMessage(`{"token":"t1"}`)}
	read := UpstreamRequest{RequestID: "r2", Operation: "trip", DeadlineMS: 60_000, Payload: json.RawMessage(`{"id":"MS-000003"}`)}
	for _, u := range []*Upstream{a, b} {
		_, _, err := post(u, book)
		assert.NilError(t, err)
		_, reply, err := post(u, read)
		assert.NilError(t, err)
		assert.Equal(t, reply["result"].(map[string]any)["found"], true)
	}
	assert.Equal(t, shared.Count("t1"), 2)
	assert.Equal(t, shared.Total(), 2)
	assert.DeepEqual(t, shared.Repeated(), []string{"t1"})
	assert.Equal(t, a.SendsAfter(time.Time{}), 2)
	assert.Equal(t, a.RunsAfter(time.Now().Add(time.Hour)), 0)
}

// Guards against connections that survive a crash and connections beyond the limit.
func TestConnectionLimit(t *testing.T) {
	u := startUpstream(t, UpstreamConfig{Versions: []IndexVersion{testVersion(1)}, MaxConns: 1})
	held := &http.Client{Transport: &http.Transport{}}
	defer held.CloseIdleConnections()
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+u.Addr()+"/status", nil)
	response, err := held.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, _, err = post(u, searchFor("beyond"))
	assert.Assert(t, err != nil)
	assert.Equal(t, u.Counters().RefusedConnections, 1)
	u.Crash()
	assert.Equal(t, u.Connections(), 0)
}

// Guards against a status that is always fresh, and against a new connection
// that costs nothing.
func TestStatusLagAndConnectionCost(t *testing.T) {
	u := startUpstream(t, UpstreamConfig{Versions: []IndexVersion{testVersion(1)}})
	state := func() any {
		response, err := single.Get("http://" + u.Addr() + "/status")
		assert.NilError(t, err)
		defer response.Body.Close()
		var status map[string]any
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&status))
		return status["state"]
	}
	u.SetStatusLag(time.Hour)
	assert.Equal(t, state(), "ready")
	u.Drain(true)
	assert.Equal(t, state(), "ready")
	u.SetStatusLag(0)
	assert.Equal(t, state(), "draining")
	slow := startUpstream(t, UpstreamConfig{ConnCost: time.Hour})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+slow.Addr()+"/status", nil)
	_, err := single.Do(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, slow.Counters().StatusCalls, 0)
}
