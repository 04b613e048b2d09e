package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// scriptedServer is a TCP server that handles each accepted connection with the
// next of a list of functions.
type scriptedServer struct {
	listener net.Listener
	accepted chan struct{}
}

func newScriptedServer(t *testing.T, conns ...func(c net.Conn, r *bufio.Reader)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedServer{listener: l, accepted: make(chan struct{}, len(conns))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, serve := range conns {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			serve(c, bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return s
}

func (s *scriptedServer) pool(limit int) *Pool {
	return NewPool((&net.Dialer{}).DialContext, s.listener.Addr().String(), limit)
}

func callWithID(id string) Call {
	return Call{Method: "GET", Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n"), IDHeader: "Id", ID: id}
}

func readRequest(r *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func exchangeOnce(t *testing.T, p *Pool, c Call) (Reply, *errs.Refusal) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.Do(ctx, c)
}

// Guards against taking a late response to an earlier request on a reused
// connection for the response to the current request.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("1", "first"))
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("1", "again")+okResponse("2", "second"))
	})
	p := s.pool(1)
	first, refusal := exchangeOnce(t, p, callWithID("1"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, string(first.Body), "first")
	second, refusal := exchangeOnce(t, p, callWithID("2"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, string(second.Body), "second")
}

// Guards against accepting a successful response without the id of its request, and
// against requiring an id from health probes, which send none: probes would never
// succeed and the replica would stay unused.
func TestSuccessNeedsRequestIDExceptForProbes(t *testing.T) {
	plain := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	serve := func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, plain) }
	s := newScriptedServer(t, serve, serve)
	_, refusal := exchangeOnce(t, s.pool(1), callWithID("1"))
	assert.Assert(t, refusal != nil && refusal.Code == errs.ResponseMismatch && refusal.RunState == errs.MayHaveRun, "%v", refusal)
	reply, refusal := exchangeOnce(t, s.pool(1), Call{Method: "GET", Head: []byte("GET /healthz HTTP/1.1\r\nHost: h\r\n")})
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, reply.Status, http.StatusOK)
}

// Guards against accepting a truncated response as complete, with Content-Length,
// with chunks, within the headers and without any data.
func TestTruncatedResponsesFail(t *testing.T) {
	for _, partial := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nConte",
		"no answer at all",
		"",
	} {
		s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, partial) })
		_, refusal := exchangeOnce(t, s.pool(1), callWithID("1"))
		assert.Assert(t, refusal != nil && refusal.RunState == errs.MayHaveRun, "%q: %v", partial, refusal)
	}
}

// Guards against accepting a response without a length as complete although its
// connection was reset.
func TestResponseWithoutLengthFailsOnReset(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody"
	s := newScriptedServer(t,
		func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, head) },
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, head)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
	p := s.pool(1)
	reply, refusal := exchangeOnce(t, p, callWithID("1"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, string(reply.Body), "body")
	_, refusal = exchangeOnce(t, p, callWithID("1"))
	assert.Assert(t, refusal != nil && refusal.RunState == errs.MayHaveRun, "%v", refusal)
}

// Guards against reusing a connection on which the replica responded before it had
// read the whole request body: it would take the next request for the rest of that
// body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	// The body is read only after the response was received. A replica that reads it
	// at once may have all of it by then, and the connection is rightly reused.
	received := make(chan struct{})
	s := newScriptedServer(t,
		func(c net.Conn, r *bufio.Reader) {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse("1", "early"))
			<-received
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = r.ReadByte() // returns when the pool closes the connection
		},
		func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, okResponse("2", "new")) })
	p := s.pool(2)
	post := callWithID("1")
	post.Method, post.Head = "POST", []byte("POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\n")
	post.Body = []byte(strings.Repeat("x", 32<<20))
	reply, refusal := exchangeOnce(t, p, post)
	close(received)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, string(reply.Body), "early")
	reply, refusal = exchangeOnce(t, p, callWithID("2"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, string(reply.Body), "new")
}

// Guards against reporting that a request did not run although it was sent, and that
// it may have run although no connection could be opened.
func TestRunStateOfFailures(t *testing.T) {
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) { readRequest(r) })
	p := s.pool(1)
	_, refusal := exchangeOnce(t, p, callWithID("1"))
	assert.Assert(t, refusal != nil && refusal.RunState == errs.MayHaveRun, "%v", refusal)
	assert.NilError(t, s.listener.Close())
	_, refusal = exchangeOnce(t, p, callWithID("2"))
	assert.Assert(t, refusal != nil && refusal.RunState == errs.DidNotRun && refusal.Code == errs.UpstreamLost, "%v", refusal)
}

// waiting returns the number of requests that wait for a connection.
func (p *Pool) waiterCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}

// Guards against opening more connections than the limit, against not waking a
// waiting request when a connection becomes free, and against closing that
// connection instead of giving it to the waiting request.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		<-release
		_, _ = io.WriteString(c, okResponse("1", ""))
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("2", ""))
	})
	p := s.pool(1)
	results := make(chan *errs.Refusal, 2)
	ctx, cancelTimeout := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancelTimeout()
	go func() { _, refusal := p.Do(ctx, callWithID("1")); results <- refusal }()
	<-s.accepted
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	_, refusal := p.Do(canceledCtx, callWithID("3"))
	assert.Assert(t, refusal != nil && refusal.Code == errs.QueueFull && refusal.RunState == errs.DidNotRun, "%v", refusal)
	go func() { _, refusal := p.Do(ctx, callWithID("2")); results <- refusal }()
	for p.waiterCount() == 0 && ctx.Err() == nil {
		runtime.Gosched()
	}
	close(release)
	for range 2 {
		refusal := <-results
		assert.Assert(t, refusal == nil, "%v", refusal)
	}
	_, _, dials := p.Stats()
	assert.Equal(t, dials, uint64(1))
}

// Guards against sending a request on an idle connection that the replica has
// closed: the write would end in a reset, after which the request may have run.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{})
	s := newScriptedServer(t,
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, okResponse("1", ""))
			_ = c.Close()
			close(closed)
		},
		func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, okResponse("2", "")) })
	p := s.pool(1)
	_, refusal := exchangeOnce(t, p, callWithID("1"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	<-closed
	_, refusal = exchangeOnce(t, p, callWithID("2"))
	assert.Assert(t, refusal == nil, "%v", refusal)
}

// Guards against closing an idle connection because the deadline of its last request
// has passed: each new connection takes one of the connections that the replica
// accepts.
func TestConnectionIsReusedAfterRequestDeadline(t *testing.T) {
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("1", ""))
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("2", ""))
	})
	p := s.pool(1)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, refusal := p.Do(ctx, callWithID("1"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	<-ctx.Done()
	_, refusal = exchangeOnce(t, p, callWithID("2"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	_, _, dials := p.Stats()
	assert.Equal(t, dials, uint64(1))
}
