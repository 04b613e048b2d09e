package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/merge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// pipeListener accepts in-memory connections. A wait on one of them lets the
// virtual time of synctest advance, a wait on a socket would not.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// scriptedGateway answers with its functions, or with fixed answers where they
// are nil, and records the last request.
type scriptedGateway struct {
	search      func(ctx context.Context, r SearchRequest) (*SearchAnswer, error)
	call        func(ctx context.Context, r CallRequest) (*CallAnswer, error)
	mu          sync.Mutex
	lastRequest string
}

func (g *scriptedGateway) recordRequest(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRequest = fmt.Sprintf(format, args...)
}

func (g *scriptedGateway) Search(ctx context.Context, r SearchRequest) (*SearchAnswer, error) {
	g.recordRequest("search id=%s caller=%s service=%s operation=%s query=%s limit=%d in=%s\n",
		r.RequestID, r.Caller, r.Service, r.Operation, r.Query, r.Limit, time.Until(r.Deadline))
	if g.search != nil {
		return g.search(ctx, r)
	}
	return &SearchAnswer{
		Snapshot: model.Snapshot{Version: 7, Epoch: 2},
		Coverage: merge.Coverage{Covered: 2, Total: 3, Missing: []merge.MissingShard{{Shard: "s3", Group: "g2", Reason: "no_replica"}}},
		Rows:     []wire.Row{{Data: []byte(`{"porter":4}`)}, {Data: []byte(`{"porter":9}`)}},
	}, nil
}

func (g *scriptedGateway) Call(ctx context.Context, r CallRequest) (*CallAnswer, error) {
	g.recordRequest("call id=%s caller=%s service=%s operation=%s key=%s body=%s in=%s\n",
		r.RequestID, r.Caller, r.Service, r.Operation, r.Key, r.Body, time.Until(r.Deadline))
	if g.call != nil {
		return g.call(ctx, r)
	}
	return &CallAnswer{Result: []byte(`{"booked":true}`)}, nil
}

// fixedViewSource always returns the same view.
type fixedViewSource struct{ view *model.View }

func (f fixedViewSource) Current() *model.View { return f.view }

// testView has the search service "assist" and the lookup service "trips".
func testView() *model.View {
	idempotent := model.Operation{Idempotent: true}
	return &model.View{Seq: 3, Self: model.VM{ID: "vm1"}, Config: &model.Document{Site: "demo", Version: 12, Services: map[model.ServiceID]*model.Service{
		"assist": {Kind: model.Search, Limit: 20, DeadlineMS: 380, MaxDeadlineMS: 2000,
			Operations: map[string]model.Operation{"search": idempotent, "holds": idempotent, "book": {}}},
		"trips": {Kind: model.Lookup, DeadlineMS: 500, MaxDeadlineMS: 30000,
			Operations: map[string]model.Operation{"read": idempotent, "book": {}}},
	}}}
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// startServer serves a callers' handler with a body limit of 256 bytes on an
// in-memory listener.
func startServer(t *testing.T, g Gateway, view *model.View, maxConns int) (*Server, *pipeListener) {
	var ids atomic.Int64
	handler := NewCallers(CallersConfig{
		Gateway: g, View: fixedViewSource{view}, Log: discardLogger(), MaxBodyBytes: 256,
		NewRequestID: func() string { return fmt.Sprintf("generated-%d", ids.Add(1)) },
	})
	s := NewServer(ServerConfig{Handler: handler, Log: discardLogger(), MaxConns: maxConns})
	l := newPipeListener()
	go func() { assert.Check(t, s.Serve(l)) }()
	return s, l
}

// roundTrip writes a raw HTTP request and reads the response and its body.
func roundTrip(c net.Conn, request string) (*http.Response, string, error) {
	go func() { _, _ = io.WriteString(c, request) }()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}
