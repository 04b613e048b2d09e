package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// endlessServer accepts connections and, after each request, writes start and then
// repeat until the connection is closed.
type endlessServer struct {
	addr string
	// closed counts the connections whose other side was seen to close.
	closed atomic.Int64
}

func newEndlessServer(t *testing.T, start, repeat string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &endlessServer{addr: l.Addr().String()}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { s.serve(c, start, repeat) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); serving.Wait() })
	return s
}

func (s *endlessServer) serve(c net.Conn, start, repeat string) {
	defer c.Close()
	readRequest(bufio.NewReader(c))
	_, err := io.WriteString(c, start)
	block := []byte(strings.Repeat(repeat, max(1, 4096/max(1, len(repeat)))))
	for err == nil && repeat != "" {
		_, err = c.Write(block)
	}
	if repeat == "" {
		_, _ = io.Copy(io.Discard, c)
	}
	s.closed.Add(1)
}

func (s *endlessServer) pool() *Pool { return NewPool((&net.Dialer{}).DialContext, s.addr, 1) }

const okHead = "HTTP/1.1 200 OK\r\nId: 1\r\n"

// endless are answers that go on until the VM closes the connection.
var endless = []struct {
	name, start, repeat string
}{
	{"header value", okHead + "X: ", "x"},
	{"header lines", okHead, "X: y\r\n"},
	{"empty-valued header lines", okHead, "X:\r\n"},
	{"status line", "HTTP/1.1 200 ", "o"},
	{"informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"informational heads with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("l", 500) + "\r\n\r\n"},
	{"bytes that are no HTTP", "", "\x00\xff"},
	{"empty lines", "", "\r\n"},
	{"chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n4;", "e"},
	{"chunk extensions", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
	{"chunk size", okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	{"trailer line", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"},
	{"trailer lines", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	{"chunked body", okHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	{"body without a length", okHead + "\r\n", "x"},
	{"body of a huge length", okHead + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
	{"answers to another request", "", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nx"},
}

// Guards against a faulty replica whose answer has no end: it would take the memory
// of the VM, or the whole time of the request, and the connection would be reused.
func TestAnswersWithoutEndFailAndCloseTheConnection(t *testing.T) {
	for _, c := range endless {
		t.Run(c.name, func(t *testing.T) {
			s := newEndlessServer(t, c.start, c.repeat)
			p := s.pool()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, refusal := p.Do(ctx, callWithID("1"))
			assert.Assert(t, refusal != nil && refusal.RunState == errs.MayHaveRun, "%v", refusal)
			assert.Assert(t, refusal.Code == errs.ResponseInvalid || refusal.Code == errs.ResponseMismatch || refusal.Code == errs.UpstreamLost, "%v", refusal)
			assert.NilError(t, ctx.Err())
			for s.closed.Load() == 0 && ctx.Err() == nil {
				runtime.Gosched()
			}
			open, _, _ := p.Stats()
			assert.Equal(t, open, 0)
		})
	}
}

// Guards against an answer that drips in, or stops, and is waited for longer than the
// request may take.
func TestDrippingAnswersEndWithTheRequest(t *testing.T) {
	for _, start := range []string{
		"", "H", okHead, okHead + "Content-Length: 4000000\r\n\r\nx", okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
	} {
		s := newEndlessServer(t, start, "")
		p := s.pool()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, refusal := p.Do(ctx, callWithID("1"))
		cancel()
		assert.Assert(t, refusal != nil && refusal.Code == errs.DeadlineExceeded && refusal.RunState == errs.MayHaveRun, "%q: %v", start, refusal)
		open, _, _ := p.Stats()
		assert.Equal(t, open, 0, "%q", start)
	}
}

// Guards against the memory that many bad replicas take together: what is buffered
// beyond the usual answers must stay within the budget of the VM and be given back.
func TestManyEndlessAnswersStayWithinTheMemoryBudget(t *testing.T) {
	const (
		replicas   = 135
		limitBytes = 8 << 20
	)
	s := newEndlessServer(t, okHead+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n")
	memory := NewMemory(limitBytes)
	holding := memory.NewHolding()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var sends sync.WaitGroup
	var failed, overBudget atomic.Int64
	for range replicas {
		p := s.pool()
		sends.Go(func() {
			call := callWithID("1")
			call.Holding = holding
			_, refusal := p.Do(ctx, call)
			if refusal != nil && refusal.RunState == errs.MayHaveRun {
				failed.Add(1)
				if refusal.Code == errs.MemoryLimit {
					overBudget.Add(1)
				}
			}
			assert.Check(t, memory.Held() <= limitBytes)
		})
	}
	sends.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.NilError(t, ctx.Err())
	assert.Equal(t, failed.Load(), int64(replicas))
	assert.Assert(t, overBudget.Load() > 0)
	assert.Assert(t, int64(after.HeapAlloc)-int64(before.HeapAlloc) < 2*limitBytes, "%d bytes", after.HeapAlloc-before.HeapAlloc)
	holding.End()
	assert.Equal(t, memory.Held(), int64(0))
	call := callWithID("1")
	call.Holding = holding
	_, refusal := s.pool().Do(ctx, call)
	assert.Assert(t, refusal != nil && refusal.Code == errs.Canceled, "%v", refusal)
	assert.Equal(t, memory.Held(), int64(0))
}

// Guards against bytes after a complete answer that are taken for the next one.
func TestBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	for _, extra := range []string{"x", okResponse("1", "again"), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"} {
		s := newScriptedServer(t,
			func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, okResponse("1", "first")+extra)
				_, _ = r.ReadByte()
			},
			func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, okResponse("2", "second")) })
		p := s.pool(1)
		reply, refusal := exchangeOnce(t, p, callWithID("1"))
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, string(reply.Body), "first")
		reply, refusal = exchangeOnce(t, p, callWithID("2"))
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, string(reply.Body), "second")
	}
}

// Guards against the second copy of an answer that a health probe takes for its own:
// the probe's answer would then be taken for that of the next request, and a 503
// with the mark "not run" would have it sent again.
func TestProbeSkipsTheAnswerOfAnEarlierRequest(t *testing.T) {
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("1", "first"))
		readRequest(r) // the probe
		_, _ = io.WriteString(c, okResponse("1", "again")+"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("2", "second"))
	})
	p := s.pool(1)
	_, refusal := exchangeOnce(t, p, callWithID("1"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	probe := Call{Method: "GET", Head: []byte("GET /healthz HTTP/1.1\r\nHost: h\r\n"), IDHeader: "Id"}
	reply, refusal := exchangeOnce(t, p, probe)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, reply.Status, http.StatusServiceUnavailable)
	reply, refusal = exchangeOnce(t, p, callWithID("2"))
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, string(reply.Body), "second")
}

// Guards against a late refusal without an identifier, of a probe or of an earlier
// request, that is taken for the answer to the next request: it would then count as
// not run and be sent again.
func TestRefusalNeedsTheRequestIDToo(t *testing.T) {
	s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	p := s.pool(1)
	_, refusal := exchangeOnce(t, p, callWithID("1"))
	assert.Assert(t, refusal != nil && refusal.Code == errs.ResponseMismatch && refusal.RunState == errs.MayHaveRun, "%v", refusal)
	open, _, _ := p.Stats()
	assert.Equal(t, open, 0)
}

// TestHeadsAreReadAsNetHTTPReadsThem compares the parser with that of net/http. It
// guards against a head that is framed in another way than other readers frame it.
func TestHeadsAreReadAsNetHTTPReadsThem(t *testing.T) {
	for _, c := range []struct {
		raw string
		// stricter is set where this package rejects what net/http accepts.
		stricter bool
	}{
		{raw: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		{raw: "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\nContent-Length:5 \n\n"},
		{raw: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n"},
		{raw: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\n"},
		{raw: "HTTP/1.1 503 Service Unavailable\r\nconnection: x, Close\r\ncontent-length: 0\r\n\r\n"},
		{raw: "HTTP/1.1 204 No Content\r\n\r\n"},
		{raw: "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nContent-Length: 1e2\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\n\r\n"},
		{raw: "HTTP/1.1 abc OK\r\n\r\n"},
		{raw: "HTTP/2.0 200 OK\r\n\r\n", stricter: true},
		{raw: "ICY 200 OK\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nno colon\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nsp ace: x\r\n\r\n", stricter: true},
		{raw: "HTTP/1.1 200 OK\r\n: x\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nA: x\r\n folded\r\n\r\n", stricter: true},
		{raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"},
	} {
		want, wantErr := http.ReadResponse(bufio.NewReader(strings.NewReader(c.raw)), &http.Request{Method: "GET"})
		var scratch []byte
		got, err := readHead(bufio.NewReader(strings.NewReader(c.raw)), "GET", &scratch)
		if wantErr != nil || c.stricter {
			assert.Assert(t, err != nil, "%q", c.raw)
			continue
		}
		assert.NilError(t, err, "%q", c.raw)
		assert.Equal(t, got.status, want.StatusCode, "%q", c.raw)
		assert.Equal(t, got.close, want.Close, "%q", c.raw)
		assert.Equal(t, got.chunked, len(want.TransferEncoding) > 0, "%q", c.raw)
		if want.StatusCode != http.StatusNotModified {
			assert.Equal(t, got.contentLength, want.ContentLength, "%q", c.raw)
		}
		for name := range want.Header {
			assert.Equal(t, got.header.HTTP().Get(name), want.Header.Get(name), "%q", c.raw)
		}
	}
}

// FuzzResponse reads arbitrary bytes as a response. It guards against a crash, more
// memory than the limits allow, and a success that net/http reads in another way.
func FuzzResponse(f *testing.F) {
	for _, c := range endless {
		f.Add([]byte(c.start + strings.Repeat(c.repeat, 3)))
	}
	f.Add([]byte(okResponse("1", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n4\r\nbody\r\n0\r\nT: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := &conn{reader: bufio.NewReaderSize(bytes.NewReader(raw), readBufferBytes)}
		reply, _, err := c.receive(Call{Method: "GET", IDHeader: "Id", ID: "1"})
		if err != nil {
			return
		}
		assert.Assert(t, len(reply.Body) <= len(raw))
		if reply.Status >= http.StatusMultipleChoices {
			return
		}
		assert.Equal(t, reply.Header.Get("Id"), "1")
		want, body := readWithNetHTTP(t, raw)
		assert.Equal(t, reply.Status, want.StatusCode)
		assert.DeepEqual(t, reply.Body, body)
	})
}

// readWithNetHTTP returns the first response with the id "1" that net/http reads.
func readWithNetHTTP(t *testing.T, raw []byte) (*http.Response, []byte) {
	t.Helper()
	r := bufio.NewReader(bytes.NewReader(raw))
	for range maxSkippedResponses + maxInformational + 1 {
		response, err := http.ReadResponse(r, &http.Request{Method: "GET"})
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		if response.StatusCode >= http.StatusOK && response.Header.Get("Id") == "1" {
			return response, body
		}
	}
	t.Fatalf("no response with the id in %q", raw)
	return nil, nil
}
