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

// pipeListener hands out in-memory connections, which virtual time can see.
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

// scripted answers with its functions and records what it was asked.
type scripted struct {
	search func(ctx context.Context, r SearchRequest) (*SearchAnswer, error)
	call   func(ctx context.Context, r CallRequest) (*CallAnswer, error)
	mu     sync.Mutex
	seen   string
}

func (g *scripted) see(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen = fmt.Sprintf(format, args...)
}

func (g *scripted) Search(ctx context.Context, r SearchRequest) (*SearchAnswer, error) {
	g.see("search id=%s caller=%s service=%s operation=%s query=%s limit=%d in=%s\n",
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

func (g *scripted) Call(ctx context.Context, r CallRequest) (*CallAnswer, error) {
	g.see("call id=%s caller=%s service=%s operation=%s key=%s body=%s in=%s\n",
		r.RequestID, r.Caller, r.Service, r.Operation, r.Key, r.Body, time.Until(r.Deadline))
	if g.call != nil {
		return g.call(ctx, r)
	}
	return &CallAnswer{Result: []byte(`{"booked":true}`)}, nil
}

type fixedView struct{ view *model.View }

func (f fixedView) Current() *model.View { return f.view }

func testView() *model.View {
	idempotent := model.Operation{Idempotent: true}
	return &model.View{Seq: 3, Self: model.VM{ID: "vm1"}, Config: &model.Document{Site: "demo", Version: 12, Services: map[model.ServiceID]*model.Service{
		"assist": {Kind: model.Search, Limit: 20, DeadlineMS: 380, MaxDeadlineMS: 2000,
			Operations: map[string]model.Operation{"search": idempotent, "holds": idempotent, "book": {}}},
		"trips": {Kind: model.Lookup, DeadlineMS: 500, MaxDeadlineMS: 30000,
			Operations: map[string]model.Operation{"read": idempotent, "book": {}}},
	}}}
}

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// start serves a callers' handler on an in-memory listener.
func start(t *testing.T, g Gateway, view *model.View, maxConns int) (*Server, *pipeListener) {
	var ids atomic.Int64
	handler := NewCallers(CallersConfig{
		Gateway: g, View: fixedView{view}, Log: quiet(), MaxBodyBytes: 256,
		NewRequestID: func() string { return fmt.Sprintf("generated-%d", ids.Add(1)) },
	})
	s := NewServer(ServerConfig{Handler: handler, Log: quiet(), MaxConns: maxConns})
	l := newPipeListener()
	go func() { assert.Check(t, s.Serve(l)) }()
	return s, l
}

// exchangeRaw writes a raw request and reads the response.
func exchangeRaw(c net.Conn, request string) (*http.Response, string, error) {
	go func() { _, _ = io.WriteString(c, request) }()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}
