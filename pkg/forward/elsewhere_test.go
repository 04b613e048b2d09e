package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// helperServer serves requests that another VM forwards. breakNext makes it close the
// next connection when a request has arrived.
type helperServer struct {
	server   *http.Server
	listener net.Listener
	// older makes it a VM of a version without reports of replicas.
	older     bool
	breakNext atomic.Bool
	// withoutTenants makes the other VM one of a build that does not know tenants.
	withoutTenants bool
	// keysSeen counts the requests that have arrived with a key.
	keysSeen atomic.Int64
	// reports is set if the other VM reads the reports of replicas.
	reports atomic.Bool
	// tenants is set if the other VM tells whether it has replaced the caller's key.
	tenants atomic.Bool
	// served counts the requests that have arrived.
	served atomic.Int64
}

// Accept implements net.Listener: it takes the first message off the connection.
func (h *helperServer) Accept() (net.Conn, error) {
	c, err := h.listener.Accept()
	if err != nil {
		return nil, err
	}
	_, m, err := wire.NewReader(c, maxOpenFrameBytes).Next()
	open, ok := m.(*wire.ForwardOpen)
	if err != nil || !ok {
		_ = c.Close() // nothing was sent on it
		return nil, net.ErrClosed
	}
	h.reports.Store(open.Reports)
	h.tenants.Store(open.Tenants)
	return c, nil
}

func (h *helperServer) Close() error   { return h.listener.Close() }
func (h *helperServer) Addr() net.Addr { return h.listener.Addr() }

// addHelper makes another VM answer requests in place of the VM of tt, which is cut off.
func (tt *testTier) addHelper(other *testTier) *helperServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tt.t, err)
	h := &helperServer{listener: l}
	h.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.served.Add(1)
		if h.breakNext.Swap(false) {
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get(authorizationHeader) != "" {
			h.keysSeen.Add(1)
		}
		if h.withoutTenants {
			values := r.Header[forwardedVersion]
			r.Header[forwardedVersion] = append(values[:len(values)-2:len(values)-2], values[len(values)-1])
		} else if h.tenants.Load() {
			r = r.WithContext(WithTenantNames(r.Context()))
		}
		if h.reports.Load() && !h.older {
			r = r.WithContext(WithReplicaReports(r.Context()))
		}
		other.forwarder.ServeForwarded(w, r)
	})}
	go func() { _ = h.server.Serve(h) }() // ends with Close
	tt.t.Cleanup(func() { _ = h.server.Close() })
	helper := NewHelper("vm1", "vm2", "d2", l.Addr().String(), (&net.Dialer{}).DialContext)
	tt.t.Cleanup(helper.Close)
	var helpers []*Helper
	if known := tt.forwarder.helpers.Load(); known != nil {
		helpers = *known
	}
	tt.forwarder.SetCutOff(true, append(slices.Clone(helpers), helper))
	return h
}

// newCutOffTier returns a VM that is cut off from a replica, and another one that reaches
// a replica with the handler.
func newCutOffTier(t *testing.T, route *routes.Route, h handler) (cutOff, other *testTier) {
	t.Helper()
	cutOff, other = newTestTier(t, route), newTestTier(t, route)
	other.addReplica(other.addService("s", 100), "r1", h)
	cutOff.addUpstream(cutOff.addService("s", 100), "r1", "127.0.0.1:1").Tracker.SetDown(true)
	return cutOff, other
}

// Guards against a request that another VM changes, a response that it changes, and a
// caller whose requests it takes for those of the VM.
func TestRequestIsAnsweredElsewhereUnchanged(t *testing.T) {
	var seen http.Header
	cutOff, other := newCutOffTier(t, singleRoute(false), func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Receipt", "x")
		w.Header().Set("Other", "kept")
		w.WriteHeader(http.StatusAccepted)
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Host)
	})
	cutOff.addHelper(other)
	status, header, body := cutOff.send("POST", "/p/a%2Fb?x=1&y=%20", "id1", "payload")
	assert.Equal(t, status, http.StatusAccepted)
	assert.Equal(t, body, "POST /p/a%2Fb?x=1&y=%20 h.example")
	assert.Equal(t, header.Get("Receipt"), "x")
	assert.Equal(t, header.Get("Other"), "kept")
	for name := range seen {
		assert.Assert(t, !strings.HasPrefix(name, "Nutmeghitch"), name)
	}
	assert.Equal(t, seen.Get("Id"), "id1")
	assert.Equal(t, seen.Get("For"), "r1")
	assert.DeepEqual(t, other.received(), []string{"r1 id1"})

	request, err := http.NewRequest("GET", "/p/bad", nil)
	assert.NilError(t, err)
	request.RequestURI, request.Host = "/p/bad", "h.example"
	attempt := requestAttempt(request.Method, targetOf(request), other.table.Routes[0], nil, "127.0.0.1", nil, "")
	for _, id := range []string{"a", "b", "c"} {
		other.ledger.RecordLoss(time.Now(), "", id, []uint64{attempt.Fingerprint})
	}
	assert.Equal(t, other.ledger.Check(time.Now(), attempt.Fingerprint), poison.Blocked)
	status, _, _ = cutOff.send("GET", "/p/bad", "id2", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(other.received()), 1, "a request that crashes replicas, known to the other VM only")
}

// Guards against a request that runs twice, or is refused though a VM could answer it,
// because another VM failed.
func TestForwardedRequestMovesOnOnlyIfThatIsAllowed(t *testing.T) {
	for name, test := range map[string]struct {
		idempotent bool
		first      func(cutOff, other *testTier, h *helperServer)
		status     int
	}{
		"does not take requests": {false, func(_, other *testTier, _ *helperServer) { other.forwarder.SetCutOff(true, nil) }, http.StatusOK},
		"older configuration":    {false, func(cutOff, _ *testTier, _ *helperServer) { cutOff.table.Version++ }, http.StatusServiceUnavailable},
		"has ended":              {false, func(_, _ *testTier, h *helperServer) { _ = h.server.Close() }, http.StatusOK},
		"breaks off":             {false, func(_, _ *testTier, h *helperServer) { h.breakNext.Store(true) }, http.StatusBadGateway},
		"breaks off, idempotent": {true, func(_, _ *testTier, h *helperServer) { h.breakNext.Store(true) }, http.StatusOK},
	} {
		cutOff, other := newCutOffTier(t, singleRoute(test.idempotent), respondWith("x", "fine"))
		_, second := newCutOffTier(t, singleRoute(test.idempotent), respondWith("x", "fine"))
		first := cutOff.addHelper(other)
		test.first(cutOff, other, first)
		helpers := *cutOff.forwarder.helpers.Load()
		cutOff.addHelper(second)
		both := *cutOff.forwarder.helpers.Load()
		for i := 0; first.served.Load() == 0 && i < 100 && helpers[0].Peer.Usable(); i++ {
			// The VMs are tried in random order.
			cutOff.forwarder.SetCutOff(true, both)
			status, _, body := cutOff.send("GET", "/p/x", fmt.Sprint(i), "")
			if first.served.Load() > 0 || !helpers[0].Peer.Usable() {
				assert.Equal(t, status, test.status, "%s: %s", name, body)
			}
		}
		assert.Assert(t, first.served.Load() > 0 || !helpers[0].Peer.Usable(), name)
		ran := append(other.received(), second.received()...)
		slices.Sort(ran)
		assert.Equal(t, len(slices.Compact(slices.Clone(ran))), len(ran), "%s: a request ran twice: %v", name, ran)
	}
}

// Guards against VMs that pass a request on to each other without end.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	one, two := newTestTier(t, singleRoute(true)), newTestTier(t, singleRoute(true))
	one.addService("s", 0)
	two.addService("s", 0)
	h1, h2 := one.addHelper(two), two.addHelper(one)
	status, _, _ := one.send("GET", "/p/x", "1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, h1.served.Load()+h2.served.Load(), int64(1))
}

// Guards against a caller that leaves while another VM works for it.
func TestCallerThatLeavesEndsItsForwardedRequest(t *testing.T) {
	canceled := make(chan struct{})
	cutOff, other := newCutOffTier(t, singleRoute(true), func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	})
	cutOff.addHelper(other)
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", cutOff.server.URL+"/p/x", nil)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Id", "1")
	time.AfterFunc(50*time.Millisecond, leave)
	_, err = http.DefaultClient.Do(request)
	assert.Assert(t, err != nil)
	<-canceled
}

// Guards against an answer that is cut off between VMs and reaches the caller as whole.
func TestTruncatedAnswerFromAnotherVMIsNotComplete(t *testing.T) {
	for name, long := range map[string]bool{"short": false, "long": true} {
		size := 1000
		if long {
			size = 1 << 20
		}
		cutOff, other := newCutOffTier(t, singleRoute(true), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Receipt", "x")
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write([]byte(strings.Repeat("x", size*9/10)))
		})
		cutOff.addHelper(other)
		request, err := http.NewRequestWithContext(t.Context(), "GET", cutOff.server.URL+"/p/x", nil)
		assert.NilError(t, err)
		request.Host = "h.example"
		request.Header.Set("Id", "1")
		response, err := http.DefaultClient.Do(request)
		if err == nil && response.StatusCode == http.StatusOK {
			n, readErr := response.Body.Read(make([]byte, 2*size))
			for readErr == nil {
				var m int
				m, readErr = response.Body.Read(make([]byte, 2*size))
				n += m
			}
			assert.Assert(t, readErr.Error() != "EOF", "%s: %d bytes as whole", name, n)
			_ = response.Body.Close() // it has been read
		}
	}
}
