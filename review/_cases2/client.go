package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one request of a consumer and what became of it.
type attempt struct {
	id, path string
	// method and content are what was sent.
	method, content string
	vm              int
	idempotent      bool
	sentAt          time.Time
	endedAt         time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	header http.Header
	body   []byte
	err    error
}

// consumer keeps one connection to a machine and sends one request after the other.
type consumer struct {
	site   *site
	vm     int
	conn   net.Conn
	reader *bufio.Reader
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and waits for its answer.
func (c *consumer) send(method, host, path string, deadline time.Duration, body string) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, method: method, vm: c.vm, idempotent: method == http.MethodGet, sentAt: time.Now()}
	defer func() {
		a.endedAt = time.Now()
		c.site.rec.add("answer %s: %d %q %v, %d bytes", a.id, a.status, a.header.Get("X-Server-Stamp"), a.err, len(a.body))
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.site.vms[c.vm].front, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	length := ""
	if method == http.MethodGet {
		body = ""
	} else {
		a.content = body
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.site.rec.add("sent %s: %s %s, body of %d bytes, to %s", a.id, method, path, len(body), c.site.vms[c.vm].name)
	a.sentAt = time.Now()
	if _, a.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s", method, path, host, a.id, deadline.Milliseconds(), length, body); a.err != nil {
		c.close()
		return a
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.body, a.err = io.ReadAll(answer.Body)
	if a.err != nil {
		c.close()
		return a
	}
	a.status, a.header = answer.StatusCode, answer.Header
	if answer.Close {
		c.close()
	}
	return a
}

// load is the traffic of a run.
type load struct {
	mu       sync.Mutex
	attempts []*attempt
	stop     chan struct{}
	done     sync.WaitGroup
}

func newLoad() *load { return &load{stop: make(chan struct{})} }

func (l *load) add(a *attempt) {
	l.mu.Lock()
	l.attempts = append(l.attempts, a)
	l.mu.Unlock()
}

// callers starts n consumers at a machine that each send a request about every interval.
func (l *load) callers(s *site, vm, n int, interval time.Duration, send func(c *consumer) *attempt) {
	for range n {
		l.done.Go(func() {
			c := &consumer{site: s, vm: vm}
			defer c.close()
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(interval))):
				}
				l.add(send(c))
			}
		})
	}
}

func (l *load) end() {
	close(l.stop)
	l.done.Wait()
}
