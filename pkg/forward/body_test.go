package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// pipeListener hands out connections in memory.
type pipeListener struct{ conns chan net.Conn }

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// inServedVirtualTime runs f in virtual time with a forwarder that an HTTP server serves,
// and that has one replica. dial opens a connection of a caller.
func inServedVirtualTime(t *testing.T, f func(v *virtualTier, r *virtualReplica, dial func() net.Conn)) {
	t.Helper()
	inVirtualTime(t, singleRoute(false), func(v *virtualTier) {
		r := v.addReplica("s", "r", 0, always(time.Millisecond))
		listener := pipeListener{conns: make(chan net.Conn)}
		server := &http.Server{Handler: v.forwarder, ReadHeaderTimeout: time.Minute}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		f(v, r, func() net.Conn {
			client, conn := net.Pipe()
			listener.conns <- conn
			return client
		})
		close(listener.conns)
		assert.Check(t, server.Close())
		<-served
	})
}

// head returns the head of a request whose body has n bytes.
func bodyHead(path, id string, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nLeft: 60000\r\nContent-Length: %d\r\n\r\n", path, id, n)
}

// readStatus returns the status of the next response and whether the connection ends.
func readStatus(t *testing.T, c net.Conn) (status int, ends bool, body string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Close, string(content)
}

// Guards against a caller that stalls within its body and holds a connection and its
// handler for ever, and against a slow but sound one that is refused.
func TestStalledBodyEndsItsRequest(t *testing.T) {
	inServedVirtualTime(t, func(v *virtualTier, r *virtualReplica, dial func() net.Conn) {
		v.forwarder.SetBodyStall(900 * time.Millisecond)
		start := time.Now()
		stalled := dial()
		_, err := io.WriteString(stalled, bodyHead("/p/x", "1", 9)+"four")
		assert.NilError(t, err)
		status, ends, body := readStatus(t, stalled)
		assert.Equal(t, status, http.StatusRequestTimeout)
		assert.Assert(t, ends && strings.Contains(body, "did_not_run") && strings.Contains(body, "4 had arrived"), body)
		assert.Assert(t, time.Since(start) < time.Second)
		assert.Equal(t, r.requests.Load(), int64(0))

		slow := dial()
		_, err = io.WriteString(slow, bodyHead("/p/x", "2", 4))
		assert.NilError(t, err)
		for range 4 {
			time.Sleep(800 * time.Millisecond)
			_, err = io.WriteString(slow, "x")
			assert.NilError(t, err)
		}
		status, ends, _ = readStatus(t, slow)
		assert.Assert(t, status == http.StatusOK && !ends)
		// The bound does not outlast the body: the connection stays open.
		time.Sleep(5 * time.Second)
		_, err = io.WriteString(slow, bodyHead("/p/x", "3", 0))
		assert.NilError(t, err)
		status, _, _ = readStatus(t, slow)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, r.requests.Load(), int64(2))
	})
}

// Guards against a sender that never stalls and never ends, and against the answer to it
// after the route's timeout.
func TestBodyEndsWithTheDeadline(t *testing.T) {
	inServedVirtualTime(t, func(v *virtualTier, r *virtualReplica, dial func() net.Conn) {
		start := time.Now()
		c := dial()
		_, err := io.WriteString(c, bodyHead("/p/x", "1", 1000))
		assert.NilError(t, err)
		go func() {
			for {
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		status, ends, body := readStatus(t, c)
		assert.Assert(t, status == http.StatusServiceUnavailable && ends && strings.Contains(body, "did_not_run"), body)
		assert.Assert(t, time.Since(start) < 5100*time.Millisecond, "the route's timeout is 5 s")
		assert.Equal(t, r.requests.Load(), int64(0))
		assert.NilError(t, c.Close())
	})
}

// Guards against a refusal that waits for a body which nobody needs.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	inServedVirtualTime(t, func(v *virtualTier, _ *virtualReplica, dial func() net.Conn) {
		table, err := routes.NewTable(7, routes.Limits{BodyBytes: 1000, HeaderBytes: 400}, v.view.Table.Routes, nil)
		assert.NilError(t, err)
		v.view.Table = table
		v.forwarder.SetView(v.view)
		for head, want := range map[string]int{
			bodyHead("/unknown/", "1", 9):                          404,
			bodyHead("/p/../x", "1", 9):                            400,
			bodyHead("/p/x", "1", 1001):                            413,
			bodyHead("/p/"+strings.Repeat("x", 400), "1", 9):       431,
			strings.Replace(bodyHead("/", "1", 9), "POST", "G", 1): 404,
		} {
			start := time.Now()
			c := dial()
			_, err := io.WriteString(c, head+"four")
			assert.NilError(t, err)
			status, ends, _ := readStatus(t, c)
			assert.Assert(t, status == want && ends, "%d, want %d", status, want)
			assert.Assert(t, time.Since(start) < 50*time.Millisecond, want)
		}
		// A body that has arrived keeps the connection.
		c := dial()
		_, err = io.WriteString(c, bodyHead("/unknown/", "1", 4)+"four")
		assert.NilError(t, err)
		status, ends, _ := readStatus(t, c)
		assert.Assert(t, status == 404 && !ends)
		time.Sleep(5 * time.Second)
		_, err = io.WriteString(c, bodyHead("/p/x", "2", 0))
		assert.NilError(t, err)
		status, _, _ = readStatus(t, c)
		assert.Equal(t, status, http.StatusOK)
	})
}

// Guards against slow senders that fill the memory of the VM with parts of bodies, and
// against parts that are counted after their requests have ended.
func TestHalfReadBodiesAreBounded(t *testing.T) {
	inServedVirtualTime(t, func(v *virtualTier, _ *virtualReplica, dial func() net.Conn) {
		const limit = 200 << 10
		v.forwarder.bodies = exchange.NewMemory(limit)
		refused := 0
		var open []net.Conn
		for i := range 20 {
			c := dial()
			_, err := io.WriteString(c, bodyHead("/p/x", fmt.Sprint(i), 100<<10))
			assert.NilError(t, err)
			go func() { _, _ = io.WriteString(c, strings.Repeat("x", 40<<10)) }() // fails if the request is refused
			synctest.Wait()
			assert.Assert(t, v.forwarder.bodies.Held() <= limit)
			if i < 3 {
				open = append(open, c)
				continue
			}
			status, ends, body := readStatus(t, c)
			assert.Assert(t, status == http.StatusServiceUnavailable && ends && strings.Contains(body, "did_not_run"), "%d: %s", i, body)
			refused++
			assert.NilError(t, c.Close())
		}
		assert.Equal(t, refused, 17)
		// Requests with short bodies are served meanwhile.
		c := dial()
		_, err := io.WriteString(c, bodyHead("/p/x", "short", 4)+"four")
		assert.NilError(t, err)
		status, _, _ := readStatus(t, c)
		assert.Equal(t, status, http.StatusOK)
		for _, c := range open {
			assert.NilError(t, c.Close())
		}
		time.Sleep(time.Second)
		assert.Equal(t, v.forwarder.bodies.Held(), int64(0))
	})
}

// Guards against a stall that is taken for a broken connection on real sockets, where
// the error of a read is wrapped, with a length and in chunks.
func TestStalledBodyOnASocket(t *testing.T) {
	tier := newTestTier(t, singleRoute(false))
	tier.addReplica(tier.addService("s", 0), "r1", respondWith("x", "y"))
	tier.forwarder.SetBodyStall(50 * time.Millisecond)
	for _, framing := range []string{"Content-Length: 9\r\n\r\nfour", "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", "Transfer-Encoding: chunked\r\n\r\n9\r\nfour"} {
		status, body := tier.sendRaw("POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n" + framing)
		assert.Check(t, status == http.StatusRequestTimeout && strings.Contains(body, "4 had arrived"), "%q: %d %s", framing, status, body)
	}
	assert.Equal(t, len(tier.received()), 0)
}
