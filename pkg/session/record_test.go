package session

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// side is one end of the connections that are recorded.
type side struct {
	from, to string
	frames   bool
}

// recorder keeps the bytes of all connections that VMs dial.
type recorder struct {
	mu    sync.Mutex
	conns []*recorded
	names map[string]string // by address
}

// recorded is one connection and the bytes that no step has taken yet.
type recorded struct {
	net.Conn
	side

	mu       sync.Mutex
	sent     []byte
	received []byte
	ended    bool
	closed   bool
}

func (r *recorder) dial(from string, frames bool) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		k := &recorded{Conn: c, side: side{from: from, to: r.names[addr], frames: frames}}
		r.conns = append(r.conns, k)
		return k, nil
	}
}

// name gives the address of a listener the name that transcripts show.
func (r *recorder) name(addr, as string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names[addr] = as
}

func (c *recorded) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.sent = append(c.sent, b...)
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *recorded) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = append(c.received, b[:n]...)
	c.ended = c.ended || err != nil
	return n, err
}

func (c *recorded) Close() error {
	c.mu.Lock()
	c.ended, c.closed = true, true
	c.mu.Unlock()
	return c.Conn.Close()
}

// closed returns a function that reports whether the VMs have closed all
// connections to a name that are open now.
func (r *recorder) closed(to string) func() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*recorded
	for _, c := range r.conns {
		if c.to == to {
			open = append(open, c)
		}
	}
	return func() bool {
		return !slices.ContainsFunc(open, func(c *recorded) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.closed
		})
	}
}

// take returns what was said since the last call, sorted. Concurrent
// exchanges have no order that every run repeats.
func (r *recorder) take() []string {
	r.mu.Lock()
	conns := slices.Clone(r.conns)
	r.mu.Unlock()
	var out []string
	for _, c := range conns {
		c.mu.Lock()
		if c.frames {
			out = append(out, c.takeFrames()...)
		} else {
			out = append(out, c.takeHTTP()...)
		}
		c.mu.Unlock()
	}
	slices.Sort(out)
	return fold(out)
}

// fold joins equal exchanges, whose number can depend on timing.
func fold(sorted []string) []string {
	var out []string
	for i, text := range sorted {
		switch {
		case i == 0 || text != sorted[i-1]:
			out = append(out, text)
		case i+1 == len(sorted) || text != sorted[i+1]:
			out = append(out, "    (repeated)\n")
		}
	}
	return out
}

// counting tells how much of a buffer a parser has used.
type counting struct {
	r    *bytes.Reader
	size int
}

func newCounting(b []byte) (*counting, *bufio.Reader) {
	c := &counting{r: bytes.NewReader(b), size: len(b)}
	return c, bufio.NewReaderSize(c.r, 16)
}

func (c *counting) used(b *bufio.Reader) int { return c.size - c.r.Len() - b.Buffered() }

// takeHTTP must be called with c.mu held.
func (c *recorded) takeHTTP() []string {
	var out []string
	for len(c.sent) > 0 {
		at, br := newCounting(c.sent)
		request, err := http.ReadRequest(br)
		if err != nil {
			break
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			break
		}
		status, reply, used, complete := c.response(request)
		if !complete && !c.ended {
			break
		}
		c.sent = c.sent[at.used(br):]
		c.received = c.received[used:]
		if line := c.exchange(request, body, status, reply); line != "" {
			out = append(out, line)
		}
	}
	return out
}

func (c *recorded) response(request *http.Request) (status string, reply []byte, used int, complete bool) {
	at, br := newCounting(c.received)
	response, err := http.ReadResponse(br, request)
	if err != nil {
		return "connection lost", nil, len(c.received), false
	}
	reply, err = io.ReadAll(response.Body)
	if err != nil {
		return "reply cut", nil, len(c.received), false
	}
	return response.Status, reply, at.used(br), true
}

// exchange renders one HTTP exchange, or nothing for the periodic ones.
func (c *recorded) exchange(request *http.Request, body []byte, status string, reply []byte) string {
	path := request.URL.RequestURI()
	if c.to == "platform" && !strings.HasPrefix(path, "/objects/claims%2F") || path == "/status" {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "  %s -> %s %s %s", c.from, normalise(c.to), request.Method, path)
	if request.Header.Get("If-None-Match") != "" {
		b.WriteString(" if absent")
	}
	if request.Header.Get("If-Match") != "" {
		b.WriteString(" if unchanged")
	}
	fmt.Fprintf(&b, "\n    > %s\n    < %s %s\n", render(c.to, body), status, render(c.to, reply))
	return b.String()
}

// takeFrames must be called with c.mu held. The frames of one exchange stay
// together; the parts of a partial are sorted, because flushes depend on timing.
func (c *recorded) takeFrames() []string {
	streams := map[uint64][]string{}
	collect := func(mark string, buf *[]byte) {
		for {
			at := bytes.NewReader(*buf)
			id, m, err := wire.NewReader(at, wire.MaxTrafficFrameBytes).Next()
			if err != nil {
				return
			}
			*buf = (*buf)[len(*buf)-at.Len():]
			if text := renderFrame(m); text != "" {
				for _, line := range strings.Split(text, "\n") {
					streams[id] = append(streams[id], "    "+mark+" "+line+"\n")
				}
			}
		}
	}
	collect(">", &c.sent)
	collect("<", &c.received)
	var out []string
	for _, lines := range streams {
		slices.SortStableFunc(lines, func(a, b string) int {
			if strings.Contains(a, "search_partial") && strings.Contains(b, "search_partial") {
				return strings.Compare(a, b)
			}
			return 0
		})
		out = append(out, fmt.Sprintf("  %s -> %s frames\n%s", c.from, c.to, strings.Join(lines, "")))
	}
	return out
}
