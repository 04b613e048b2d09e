package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// TestPlannedStop guards against a graceful stop that cancels a request in
// flight, stops accepting before the balancer has noticed that /readyz fails, or
// fails /readyz too late. The request in flight takes longer than the read
// timeout, which must not end it.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var events []string
		begin := time.Now()
		record := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			events = append(events, fmt.Sprintf("%s "+format, append([]any{time.Since(begin)}, args...)...))
		}
		slowGateway := &scriptedGateway{call: func(ctx context.Context, r CallRequest) (*CallAnswer, error) {
			time.Sleep(20 * time.Second)
			return &CallAnswer{Result: []byte(`1`)}, ctx.Err()
		}}
		server, l := startServer(t, slowGateway, testView(), 0)
		readiness := &Readiness{}
		readiness.SetReady(true)
		firstConn, err := l.dial()
		assert.NilError(t, err)
		answered := make(chan string)
		go func() {
			_, body, err := roundTrip(firstConn, withBody(bookHead, "Idempotency-Key: k\r\nNutmeghitch-Deadline-Ms: 30000\r\n", `{}`))
			answered <- fmt.Sprint(body, err)
		}()
		time.Sleep(time.Second)
		stopped := make(chan error)
		plan := StopPlan{Readiness: readiness, Callers: server, BalancerNotice: DefaultBalancerNotice, AnnounceLeave: func(context.Context) {
			record("announced, ready %v, in flight %d", readiness.Ready(), server.InFlight())
		}}
		go func() { stopped <- plan.Run(t.Context()) }()
		time.Sleep(2900 * time.Millisecond)
		lateConn, err := l.dial()
		assert.NilError(t, err)
		response, _, err := roundTrip(lateConn, withBody(searchHead, "", `{"query":1}`))
		assert.NilError(t, err)
		record("late search: %d, connection closes %v", response.StatusCode, response.Close)
		time.Sleep(200 * time.Millisecond)
		_, err = l.dial()
		record("dial after the notice: %v", err)
		record("answered: %s", <-answered)
		// The time is left out, because net/http polls for the end of the last
		// request at random intervals.
		err = <-stopped
		events = append(events, fmt.Sprintf("stopped: %v, in flight %d", err, server.InFlight()))
		golden.Assert(t, strings.Join(events, "\n"), "stop.golden")
	})
}

// TestConnectionLimit guards against callers above the connection limit that
// wait without an answer, and against closed connections that still count.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, l := startServer(t, &scriptedGateway{}, testView(), 1)
		for range 3 {
			first, err := l.dial()
			assert.NilError(t, err)
			response, _, err := roundTrip(first, withBody(searchHead, "", `{"query":1}`))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 200)
			second, err := l.dial()
			assert.NilError(t, err)
			response, body, err := roundTrip(second, withBody(searchHead, "", `{"query":1}`))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 503)
			assert.Assert(t, response.Close && strings.Contains(body, `"code":"overloaded","run_state":"did_not_run"`), body)
			assert.NilError(t, first.Close())
			assert.NilError(t, second.Close())
			synctest.Wait()
		}
		var open []io.Closer
		// The hard limit for a MaxConns of 1 is 1 + 1/4 + 16 = 17 connections.
		for range 17 {
			c, err := l.dial()
			assert.NilError(t, err)
			open = append(open, c)
		}
		overHardLimit, err := l.dial()
		assert.NilError(t, err)
		_, err = overHardLimit.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		for _, c := range open {
			assert.NilError(t, c.Close())
		}
		assert.NilError(t, server.Stop(t.Context()))
	})
}

// poisonStub blocks one fingerprint, 0xbeef, and fails to lift 0xdead.
type poisonStub struct{ lifted []uint64 }

func (p *poisonStub) List() []model.PoisonEntry {
	return []model.PoisonEntry{{Fingerprint: 0xbeef, Losses: 2, Blocked: true, TTL: time.Minute}, {Fingerprint: 1, Lifted: true}}
}

func (p *poisonStub) Lift(_ context.Context, fp uint64) (bool, error) {
	p.lifted = append(p.lifted, fp)
	if fp == 0xdead {
		return false, errs.Refuse(errs.NotReady, "no peers")
	}
	return fp == 0xbeef, nil
}

// TestGoldenOperators guards the operators' interface against unnoticed changes
// and against paths other than /healthz and /readyz that answer without the
// token.
func TestGoldenOperators(t *testing.T) {
	view := testView()
	view.VMs = map[model.VMID]model.VM{"vm2": {ID: "vm2", State: model.Leaving}, "vm1": {ID: "vm1", Addr: "127.0.0.1:1", Domain: "d", Region: "r"}}
	view.Owners = map[model.ReplicaID]model.VMID{"a": "vm1"}
	view.Excluded = map[model.ReplicaID]string{"b": "domain out"}
	view.Replicas = map[model.ReplicaID]model.ReplicaStatus{"b": {Instance: "i2", Draining: true}, "a": {Instance: "i1", Snapshots: []model.Snapshot{{Version: 7, Epoch: 2}}}}
	view.Poison = map[uint64]model.PoisonEntry{1: {Blocked: true}, 2: {}, 3: {Lifted: true}}
	readiness := &Readiness{}
	config := OperatorsConfig{View: fixedViewSource{view}, Readiness: readiness, Poison: &poisonStub{}, InFlight: func() int { return 4 },
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metric 1") })}
	withoutToken := NewOperators(config)
	config.Token = "secret"
	withToken := NewOperators(config)
	var out strings.Builder
	sendRequest := func(h http.Handler, method, path, authorization string) {
		r := httptest.NewRequest(method, path, nil)
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		fmt.Fprintf(&out, "%s %s [%s]: %d %s\n", method, path, authorization, w.Code, w.Body)
	}
	paths := []string{"/healthz", "/readyz", "/metrics", "/admin/status", "/admin/poison", "/admin/poison/beef", "/other"}
	for _, path := range paths {
		sendRequest(withoutToken, "GET", path, "Bearer ")
		sendRequest(withToken, "GET", path, "Basic secret")
		sendRequest(withToken, "GET", path, "Bearer secret1")
		sendRequest(withToken, "GET", path, "Bearer secret")
	}
	readiness.SetReady(true)
	sendRequest(withToken, "GET", "/readyz", "")
	readiness.MarkLeaving()
	sendRequest(withToken, "GET", "/readyz", "")
	for _, fp := range []string{"beef", "1234", "dead", "xyz"} {
		sendRequest(withToken, "DELETE", "/admin/poison/"+fp, "Bearer secret")
	}
	golden.Assert(t, out.String(), "operators.golden")
}

// TestDisconnectAfterReadTimeout guards against work that continues for a caller
// that disconnected after the read timeout had passed.
func TestDisconnectAfterReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		ended := make(chan time.Duration, 1)
		waitingGateway := &scriptedGateway{call: func(ctx context.Context, r CallRequest) (*CallAnswer, error) {
			<-ctx.Done()
			ended <- time.Since(begin)
			return nil, errs.Ambiguous(errs.Canceled, "the caller has gone")
		}}
		server, l := startServer(t, waitingGateway, testView(), 0)
		conn, err := l.dial()
		assert.NilError(t, err)
		go func() {
			_, _ = io.WriteString(conn, withBody(bookHead, "Idempotency-Key: k\r\nNutmeghitch-Deadline-Ms: 30000\r\n", `{}`))
		}()
		time.Sleep(15 * time.Second)
		assert.NilError(t, conn.Close())
		assert.Equal(t, <-ended, 15*time.Second)
		assert.NilError(t, server.Stop(t.Context()))
	})
}

// TestTLS guards against a listener that ignores its TLS settings, does not
// apply the connection limit under TLS, or accepts HTTP/2, which would carry
// many requests at a time on one connection.
func TestTLS(t *testing.T) {
	tlsServer := httptest.NewTLSServer(nil)
	defer tlsServer.Close()
	handler := NewCallers(CallersConfig{Gateway: &scriptedGateway{}, View: fixedViewSource{testView()}, Log: discardLogger()})
	server := NewServer(ServerConfig{Handler: handler, Log: discardLogger(), TLS: tlsServer.TLS, MaxConns: 1})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { assert.Check(t, server.Serve(l)) }()
	client := tlsServer.Client()
	for _, want := range []int{200, 503} {
		client.Transport = client.Transport.(*http.Transport).Clone()
		response, err := client.Post("https://"+l.Addr().String()+"/v1/search/assist", "application/json", strings.NewReader(`{"query":1}`))
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, want)
		assert.Equal(t, response.Proto, "HTTP/1.1")
	}
	assert.NilError(t, server.Stop(t.Context()))
}
