package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/tenant"
)

// Keys of the tenants of keyedTable.
const (
	keyOfA = "key-of-tenant-a"
	keyOfB = "key-of-tenant-b"
)

// keyedTable returns a version of the configuration with two tenants. Requests below /o/
// need no key.
func keyedTable(t *testing.T, version uint64, list ...*routes.Route) *routes.Table {
	t.Helper()
	open := singleRoute(true)
	open.Name, open.Prefix, open.Public = "open", "/o/", true
	table, err := routes.NewTable(version, routes.Limits{BodyBytes: 1000}, append(list, open), nil)
	assert.NilError(t, err)
	assert.NilError(t, table.SetTenants([]*routes.Tenant{
		{Name: "tenant a", Keys: [][32]byte{routes.KeyDigest(keyOfA)}, HasPriority: true, Priority: 3},
		{Name: "b", Keys: [][32]byte{routes.KeyDigest(keyOfB)}},
	}))
	return table
}

// useTable makes a VM use a version of the configuration that the store has confirmed.
func (tt *testTier) useTable(table *routes.Table) {
	view := *tt.view
	view.Table, tt.table = table, table
	tt.view = &view
	tt.forwarder.SetView(tt.view)
	tt.forwarder.SetTenantBounds(tenant.Bounds{Apply: time.Minute, Revoke: time.Minute})
	tt.forwarder.SetConfigState(tenant.State{ConfirmedAt: time.Now()})
}

// sendWith sends a request with header fields to the forwarder, and returns its status,
// its header and its body.
func (tt *testTier) sendWith(path, id string, header http.Header) (int, http.Header, string) {
	tt.t.Helper()
	request, err := http.NewRequestWithContext(tt.t.Context(), "GET", tt.server.URL+path, nil)
	assert.NilError(tt.t, err)
	request.Host, request.Header = "h.example", header.Clone()
	request.Header.Set("Id", id)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(tt.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(tt.t, err)
	return response.StatusCode, response.Header, string(content)
}

func bearer(key string) http.Header {
	return http.Header{"Authorization": {"Bearer " + key}, "Tenant": {"forged", "twice"}}
}

// sentFields records the fields that replicas get.
type sentFields struct {
	mu  sync.Mutex
	all []http.Header
}

func (s *sentFields) add(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, h.Clone())
}

// recording answers like next and records the fields of the request.
func (s *sentFields) recording(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request) { s.add(r.Header); next(w, r) }
}

// assertTenant checks that all of at least n sends have named the tenant, "" for none, and
// no key.
func (s *sentFields) assertTenant(t *testing.T, n int, want string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, len(s.all) >= n, "%d sends", len(s.all))
	for _, h := range s.all {
		var values []string
		if want != "" {
			values = []string{want}
		}
		assert.DeepEqual(t, h["Tenant"], values)
		assert.Assert(t, !strings.Contains(fmt.Sprint(h), "key-of-tenant"), "%v", h)
	}
	s.all = nil
}

// Guards against a send that names no tenant or the one that the caller has named, and
// against a key that a replica gets: at first sends, retries and hedges, and on public
// routes.
func TestEachSendNamesTheTenantAndNoKey(t *testing.T) {
	route := singleRoute(true)
	route.Target = 40 * time.Millisecond
	tier := newTestTier(t, route)
	rs := tier.addService("s", 100)
	tier.useTable(keyedTable(t, 8, route))
	var sent sentFields
	answer := sent.recording(respondWith("x", "fine"))
	tier.addReplica(rs, "r1", answer)
	status, _, body := tier.sendWith("/p/x", "first", bearer(keyOfA))
	assert.Equal(t, status, 200, body)
	sent.assertTenant(t, 1, "tenant a")
	status, _, _ = tier.sendWith("/o/x", "public", bearer(keyOfA))
	assert.Equal(t, status, 200)
	sent.assertTenant(t, 1, "")
	status, _, _ = tier.sendWith("/o/x", "public without key", http.Header{})
	assert.Equal(t, status, 200)
	sent.assertTenant(t, 1, "")

	rs.Upstreams = nil
	tier.addReplica(rs, "r2", sent.recording(closeConnection))
	tier.addReplica(rs, "r3", sent.recording(closeConnection))
	_, _, _ = tier.sendWith("/p/x", "retried", bearer(keyOfB))
	sent.assertTenant(t, 2, "b")

	rs.Upstreams = nil
	bothArrived := make(chan struct{})
	var arrived atomic.Int64
	waiting := sent.recording(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == 2 {
			close(bothArrived)
		}
		<-bothArrived
		respondWith("x", "fine")(w, r)
	})
	tier.addReplica(rs, "r4", waiting)
	tier.addReplica(rs, "r5", waiting)
	status, _, _ = tier.sendWith("/p/not-suspect", "hedged", bearer(keyOfB))
	assert.Equal(t, status, 200)
	sent.assertTenant(t, 2, "b")
}

// Guards against a field of the caller that a replica may read as that of the tenant or of
// the key, and against others that are lost.
func TestFieldsThatAReplicaMayReadAsTheTenant(t *testing.T) {
	f, table := newTestForwarder(silentObserver{}, nil), keyedTable(t, 8)
	f.headers.Tenant = "X-Tenant"
	for name, omitted := range map[string]bool{
		"X-Tenant": true, "X_tenant": true, "Authorization": true, "X_other": false, "X-Tenants": false, "Proxy-Authorization": false,
	} {
		assert.Equal(t, f.omitsHeader(name, table), omitted, name)
	}
}

// Guards against a relayed send that names no tenant, or holds the key.
func TestRelayedSendNamesTheTenantAndNoKey(t *testing.T) {
	inRelayFleet(t, 1, func(r *relayFleet) {
		r.view.Table = keyedTable(t, 8, r.view.Table.Routes[0])
		r.forwarder.SetView(r.view)
		request := httptest.NewRequest("GET", "http://h.example/a/", nil)
		request.Header = bearer(keyOfA)
		request.Header.Set("Id", "1")
		answer := httptest.NewRecorder()
		r.forwarder.ServeHTTP(answer, request)
		assert.Equal(t, answer.Code, 200, answer.Body)
		head, _ := r.head.Load().(string)
		assert.Assert(t, strings.Contains(head, "\r\nTenant: tenant a\r\n"), head)
		assert.Assert(t, !strings.Contains(head, "key-of-tenant") && !strings.Contains(head, "forged"), head)
	})
}

// Guards against a key that leaves the VM of the caller, and against the receiver of a
// forwarded request that believes a caller which of the tenants it is.
func TestForwardedRequestNamesTheTenant(t *testing.T) {
	var sent sentFields
	for _, test := range []struct {
		name          string
		senderTenants bool
		older         bool
		fields        http.Header
		status        int
		tenant        string
	}{
		{"key of a", true, false, bearer(keyOfA), 200, "tenant a"},
		{"sender without tenants passes the key on", false, false, bearer(keyOfB), 200, "b"},
		{"sender of an older build does too", false, true, bearer(keyOfB), 200, "b"},
		{"sender without tenants, no key", false, false, http.Header{"Tenant": {"b"}}, 401, ""},
		{"sender of an older build, no key", false, true, http.Header{"Tenant": {"b"}, forwardedVersion: {forwardedByTenant}}, 401, ""},
		{"caller that imitates a VM", false, false, http.Header{"Tenant": {"b"}, forwardedVersion: {forwardedByTenant, forwardedByTenant}}, 401, ""},
	} {
		route := singleRoute(true)
		cutOff, other := newCutOffTier(t, route, sent.recording(respondWith("x", "fine")))
		other.useTable(keyedTable(t, 8, route))
		if test.senderTenants {
			cutOff.useTable(keyedTable(t, 8, route))
		}
		h := cutOff.addHelper(other)
		h.withoutTenants = test.older
		status, _, body := cutOff.sendWith("/p/x", "1", test.fields)
		assert.Equal(t, status, test.status, "%s: %s", test.name, body)
		assert.Equal(t, h.served.Load(), int64(1), test.name)
		assert.Equal(t, h.keysSeen.Load() > 0, !test.senderTenants && len(test.fields["Authorization"]) > 0, test.name)
		if test.status == 200 {
			sent.assertTenant(t, 1, test.tenant)
		}
	}
}

// Guards against a forwarded request of a tenant that a newer configuration has removed.
func TestForwardedRequestOfARemovedTenantIsRefused(t *testing.T) {
	route := singleRoute(true)
	cutOff, other := newCutOffTier(t, route, respondWith("x", "fine"))
	cutOff.useTable(keyedTable(t, 8, route))
	newer := keyedTable(t, 9, route)
	assert.NilError(t, newer.SetTenants(newer.Tenants[:1]))
	other.useTable(newer)
	cutOff.addHelper(other)
	status, header, _ := cutOff.sendWith("/p/x", "1", bearer(keyOfB))
	assert.Equal(t, status, 503)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(other.received()), 0)
}

// Guards against a refusal that tells a caller with a good key that it is wrong, an
// unknown route that a newer configuration may have, and a refusal that reaches a replica
// or names the key in answer or log.
func TestRequestsWithoutAGoodKeyAreRefused(t *testing.T) {
	route := singleRoute(true)
	tier := newTestTier(t, route)
	var logged bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logged)
	scope := tally.NewTestScope("", nil)
	tier.forwarder.log, tier.forwarder.tenants = log, newTenantCheck(scope)
	tier.addReplica(tier.addService("s", 0), "r", respondWith("x", "fine"))
	status, _, _ := tier.sendWith("/p/x", "without tenants", http.Header{})
	assert.Equal(t, status, 200)
	tier.useTable(keyedTable(t, 8, route))
	two := http.Header{"Authorization": {"Bearer " + keyOfA, "Bearer " + keyOfB}}
	for _, test := range []struct {
		path      string
		fields    http.Header
		confirmed bool
		status    int
	}{
		{"/p/x", http.Header{}, true, 401},
		{"/p/x", bearer("key-of-tenant-c"), true, 401},
		{"/p/x", two, true, 400},
		{"/none/x", bearer(keyOfA), true, 404},
		{"/p/x", http.Header{}, false, 503},
		{"/p/x", bearer("key-of-tenant-c"), false, 503},
		{"/p/x", two, false, 503},
		{"/none/x", bearer(keyOfA), false, 503},
	} {
		state := tenant.State{}
		if test.confirmed {
			state.ConfirmedAt = time.Now()
		}
		tier.forwarder.SetConfigState(state)
		status, header, body := tier.sendWith(test.path, "refused", test.fields)
		assert.Equal(t, status, test.status, "%s %v", test.path, test.fields)
		assert.Equal(t, header.Get("Retry-After") != "", test.status == 503)
		assert.Equal(t, header.Get("WWW-Authenticate") != "", test.status == 401)
		assert.Assert(t, !strings.Contains(body+fmt.Sprint(header), "key-of-tenant"), body)
	}
	status, _, _ = tier.sendWith("/p/x", "known key, out of touch", bearer(keyOfB))
	assert.Equal(t, status, 200)
	assert.Equal(t, len(tier.received()), 2)
	assert.Assert(t, !strings.Contains(logged.String(), "key-of-tenant"))
	assert.Assert(t, strings.Contains(logged.String(), "tenant=b"), logged.String())
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Tags()["reason"]] += c.Value()
	}
	assert.DeepEqual(t, counts, map[string]int64{"no_key": 1, "unknown_key": 1, "several_fields": 1, "unconfirmed": 4, "changed": 0, "other_scheme": 0, "revocation_unknown": 0})
}

// Guards against a request that goes on with a key that was removed while its body
// arrived or between its sends, and against a replica that counts as failed by that.
func TestKeyRemovedWhileARequestRuns(t *testing.T) {
	route := singleRoute(true)
	tier := newTestTier(t, route)
	rs := tier.addService("s", 100)
	without := keyedTable(t, 9, route)
	assert.NilError(t, without.SetTenants([]*routes.Tenant{{Name: "tenant a"}}))
	tier.useTable(keyedTable(t, 8, route))
	remove := func(w http.ResponseWriter, _ *http.Request) { tier.useTable(without); refuseNotRun(w, nil) }
	tier.addReplica(rs, "r1", remove)
	tier.addReplica(rs, "r2", remove)
	status, _, body := tier.sendWith("/p/x", "1", bearer(keyOfA))
	assert.Equal(t, status, 503, body)
	assert.Equal(t, len(tier.received()), 1)
	assert.Equal(t, len(tier.unreachable), 0)

	tier.useTable(keyedTable(t, 10, route))
	reader, writer := io.Pipe()
	request, err := http.NewRequestWithContext(t.Context(), "POST", tier.server.URL+"/p/x", reader)
	assert.NilError(t, err)
	request.Host, request.Header = "h.example", bearer(keyOfA)
	go func() {
		_, _ = writer.Write([]byte("begin")) // fails if the request has ended
		tier.useTable(without)
		_ = writer.Close() // it is a pipe
	}()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.Assert(t, response.StatusCode == 401 || response.StatusCode == 503, "%d", response.StatusCode)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, len(tier.received()), 1)
}

// Guards against one tenant whose requests are refused because another one's, otherwise
// the same, crash replicas.
func TestFingerprintsOfTenantsDiffer(t *testing.T) {
	route, target := singleRoute(true), routes.Target{Host: "h", URI: "/p/x", Path: "/p/x"}
	of := func(tenant *routes.Tenant) RequestAttempt {
		return requestAttempt("GET", target, route, tenant, "192.0.2.1", []byte("body"), "")
	}
	none, a, b := of(nil), of(&routes.Tenant{Name: "a"}), of(&routes.Tenant{Name: "b"})
	assert.Equal(t, a.Fingerprint, of(&routes.Tenant{Name: "a", Priority: 2}).Fingerprint)
	for _, pair := range [][2]RequestAttempt{{none, a}, {none, b}, {a, b}} {
		assert.Assert(t, pair[0].Fingerprint != pair[1].Fingerprint)
		assert.Assert(t, pair[0].Exact != pair[1].Exact)
	}
}

// Guards against a tenant whose priority is not used, and against one without a priority
// that gets the highest.
func TestPriorityOfTenantTakesPrecedence(t *testing.T) {
	route := singleRoute(true)
	route.Priority = 2
	table := keyedTable(t, 8, route)
	assert.Equal(t, table.TenantNamed("tenant a").PriorityOn(route), 3)
	assert.Equal(t, table.TenantNamed("b").PriorityOn(route), 2)
	assert.Equal(t, table.TenantNamed("none").PriorityOn(route), 2)
}

// Guards against a deployment without tenants whose requests, or forwarded requests,
// arrive with changed fields.
func TestFieldsAreUnchangedWithoutTenants(t *testing.T) {
	var sent sentFields
	route := singleRoute(true)
	cutOff, other := newCutOffTier(t, route, sent.recording(respondWith("x", "fine")))
	fields := http.Header{"Authorization": {"Basic abc", "Bearer def"}, "Tenant": {"own use", "twice"}}
	check := func(tier *testTier) {
		t.Helper()
		status, _, _ := tier.sendWith("/p/x", "1", fields)
		assert.Equal(t, status, 200)
		got := sent.all[len(sent.all)-1]
		for name := range fields {
			assert.DeepEqual(t, got[name], fields[name])
		}
		assert.Equal(t, got.Get(forwardedVersion), "")
	}
	check(other)
	cutOff.addHelper(other)
	check(cutOff)
}
