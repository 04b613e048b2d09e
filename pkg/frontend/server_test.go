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

// TestPlannedStop guards against a stop that cuts a request in flight, stops
// accepting before the balancer has noticed, or fails /readyz too late. The
// request in flight outlasts the read timeout, which must not end it.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var events []string
		begin := time.Now()
		note := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			events = append(events, fmt.Sprintf("%s "+format, append([]any{time.Since(begin)}, args...)...))
		}
		slow := &scripted{call: func(ctx context.Context, r CallRequest) (*CallAnswer, error) {
			time.Sleep(20 * time.Second)
			return &CallAnswer{Result: []byte(`1`)}, ctx.Err()
		}}
		server, l := start(t, slow, testView(), 0)
		ready := &Readiness{}
		ready.SetReady(true)
		inFlight, err := l.dial()
		assert.NilError(t, err)
		answered := make(chan string)
		go func() {
			_, body, err := exchangeRaw(inFlight, with(bookLine, "Idempotency-Key: k\r\nNutmeghitch-Deadline-Ms: 30000\r\n", `{}`))
			answered <- fmt.Sprint(body, err)
		}()
		time.Sleep(time.Second)
		stopped := make(chan error)
		plan := StopPlan{Readiness: ready, Callers: server, BalancerNotice: DefaultBalancerNotice, AnnounceLeave: func(context.Context) {
			note("announced, ready %v, in flight %d", ready.Ready(), server.InFlight())
		}}
		go func() { stopped <- plan.Run(t.Context()) }()
		time.Sleep(2900 * time.Millisecond)
		late, err := l.dial()
		assert.NilError(t, err)
		response, _, err := exchangeRaw(late, with(searchLine, "", `{"query":1}`))
		assert.NilError(t, err)
		note("late search: %d, connection closes %v", response.StatusCode, response.Close)
		time.Sleep(200 * time.Millisecond)
		_, err = l.dial()
		note("dial after the notice: %v", err)
		note("answered: %s", <-answered)
		// net/http polls for the end of the last request at random intervals.
		err = <-stopped
		events = append(events, fmt.Sprintf("stopped: %v, in flight %d", err, server.InFlight()))
		golden.Assert(t, strings.Join(events, "\n"), "stop.golden")
	})
}

// TestConnectionLimit guards against callers above the limit waiting without
// an answer, and against connections that are never given back.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, l := start(t, &scripted{}, testView(), 1)
		for range 3 {
			first, err := l.dial()
			assert.NilError(t, err)
			response, _, err := exchangeRaw(first, with(searchLine, "", `{"query":1}`))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 200)
			second, err := l.dial()
			assert.NilError(t, err)
			response, body, err := exchangeRaw(second, with(searchLine, "", `{"query":1}`))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 503)
			assert.Assert(t, response.Close && strings.Contains(body, `"code":"overloaded","run_state":"did_not_run"`), body)
			assert.NilError(t, first.Close())
			assert.NilError(t, second.Close())
			synctest.Wait()
		}
		var open []io.Closer
		for range 17 {
			c, err := l.dial()
			assert.NilError(t, err)
			open = append(open, c)
		}
		beyond, err := l.dial()
		assert.NilError(t, err)
		_, err = beyond.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		for _, c := range open {
			assert.NilError(t, c.Close())
		}
		assert.NilError(t, server.Stop(t.Context()))
	})
}

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

// TestGoldenOperators guards the operators' interface and that nothing but
// /healthz and /readyz answers without the token.
func TestGoldenOperators(t *testing.T) {
	view := testView()
	view.VMs = map[model.VMID]model.VM{"vm2": {ID: "vm2", State: model.Leaving}, "vm1": {ID: "vm1", Addr: "127.0.0.1:1", Domain: "d", Region: "r"}}
	view.Owners = map[model.ReplicaID]model.VMID{"a": "vm1"}
	view.Excluded = map[model.ReplicaID]string{"b": "domain out"}
	view.Replicas = map[model.ReplicaID]model.ReplicaStatus{"b": {Instance: "i2", Draining: true}, "a": {Instance: "i1", Snapshots: []model.Snapshot{{Version: 7, Epoch: 2}}}}
	view.Poison = map[uint64]model.PoisonEntry{1: {Blocked: true}, 2: {}, 3: {Lifted: true}}
	ready := &Readiness{}
	config := OperatorsConfig{View: fixedView{view}, Readiness: ready, Poison: &poisonStub{}, InFlight: func() int { return 4 },
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metric 1") })}
	closed := NewOperators(config)
	config.Token = "secret"
	open := NewOperators(config)
	var out strings.Builder
	ask := func(h http.Handler, method, path, authorization string) {
		r := httptest.NewRequest(method, path, nil)
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		fmt.Fprintf(&out, "%s %s [%s]: %d %s\n", method, path, authorization, w.Code, w.Body)
	}
	paths := []string{"/healthz", "/readyz", "/metrics", "/admin/status", "/admin/poison", "/admin/poison/beef", "/other"}
	for _, path := range paths {
		ask(closed, "GET", path, "Bearer ")
		ask(open, "GET", path, "Basic secret")
		ask(open, "GET", path, "Bearer secret1")
		ask(open, "GET", path, "Bearer secret")
	}
	ready.SetReady(true)
	ask(open, "GET", "/readyz", "")
	ready.MarkLeaving()
	ask(open, "GET", "/readyz", "")
	for _, fp := range []string{"beef", "1234", "dead", "xyz"} {
		ask(open, "DELETE", "/admin/poison/"+fp, "Bearer secret")
	}
	golden.Assert(t, out.String(), "operators.golden")
}

// TestDisconnectAfterReadTimeout guards against work that goes on for a caller
// that left later than the read timeout.
func TestDisconnectAfterReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		ended := make(chan time.Duration, 1)
		waits := &scripted{call: func(ctx context.Context, r CallRequest) (*CallAnswer, error) {
			<-ctx.Done()
			ended <- time.Since(begin)
			return nil, errs.Ambiguous(errs.Canceled, "the caller has gone")
		}}
		server, l := start(t, waits, testView(), 0)
		conn, err := l.dial()
		assert.NilError(t, err)
		go func() {
			_, _ = io.WriteString(conn, with(bookLine, "Idempotency-Key: k\r\nNutmeghitch-Deadline-Ms: 30000\r\n", `{}`))
		}()
		time.Sleep(15 * time.Second)
		assert.NilError(t, conn.Close())
		assert.Equal(t, <-ended, 15*time.Second)
		assert.NilError(t, server.Stop(t.Context()))
	})
}

// TestTLS guards against a listener that ignores its TLS settings, loses the
// connection limit under TLS, or lets one connection carry many requests at a
// time with HTTP/2.
func TestTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	handler := NewCallers(CallersConfig{Gateway: &scripted{}, View: fixedView{testView()}, Log: quiet()})
	server := NewServer(ServerConfig{Handler: handler, Log: quiet(), TLS: certified.TLS, MaxConns: 1})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { assert.Check(t, server.Serve(l)) }()
	client := certified.Client()
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
