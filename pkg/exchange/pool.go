// Package exchange sends HTTP/1.1 requests to one replica over a bounded set
// of kept connections. It tells failures of requests that did not run from
// those that may have run.
package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// defaultIdle is how long an unused connection is kept when the replica
	// states no time-out.
	defaultIdle = 20 * time.Second
	// idleMargin is taken off a stated time-out, so that a request does not
	// cross the replica's close.
	idleMargin = 500 * time.Millisecond
	// readBuffer holds the head and body of a usual answer.
	readBuffer = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool holds the connections to one replica.
type Pool struct {
	dial DialFunc
	addr string

	mu      sync.Mutex
	limit   int
	used    int
	idle    []*conn
	waiters []chan struct{}
	closed  bool
	// dials counts the connections opened.
	dials uint64
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// lastUse and keep tell until when the connection may be used again.
	lastUse time.Time
	keep    time.Duration
}

// NewPool returns a pool of at most limit connections to addr.
func NewPool(dial DialFunc, addr string, limit int) *Pool {
	return &Pool{dial: dial, addr: addr, limit: max(1, limit)}
}

// SetLimit changes the number of connections. Connections in use beyond it are
// closed when their requests end.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, limit)
	p.trim()
}

// trim closes idle connections beyond the limit. p.mu is held.
func (p *Pool) trim() {
	for len(p.idle) > 0 && p.used+len(p.idle) > p.limit {
		p.idle[0].discard()
		p.idle = p.idle[1:]
	}
}

// Close closes the idle connections; those in use are closed when their
// requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleLocked()
}

// CloseIdle closes the idle connections. It is called when the replica is
// unreachable or silent, because the idle connections may then be broken too.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

// closeIdleLocked closes the idle connections. p.mu is held.
func (p *Pool) closeIdleLocked() {
	for _, c := range p.idle {
		c.discard()
	}
	p.idle = nil
}

// Stats returns the open and idle connections and the number of dials so far.
func (p *Pool) Stats() (open, idle int, dials uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used + len(p.idle), len(p.idle), p.dials
}

// Full reports whether a request would have to wait for a connection.
func (p *Pool) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used >= p.limit
}

// take returns a connection that nobody else uses. Its errors are refusals of
// requests that did not run.
func (p *Pool) take(ctx context.Context, maxIdle time.Duration) (*conn, *errs.Refusal) {
	if refusal := p.acquire(ctx); refusal != nil {
		return nil, refusal
	}
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.dials++
			p.mu.Unlock()
			return p.open(ctx)
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if c.usable(maxIdle) {
			return c, nil
		}
		c.discard()
	}
}

// acquire waits for the right to use one connection.
func (p *Pool) acquire(ctx context.Context) *errs.Refusal {
	p.mu.Lock()
	if p.used < p.limit {
		p.used++
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.waiters = append(p.waiters, turn)
	p.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		for i, w := range p.waiters {
			if w == turn {
				p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
				return errs.Refuse(errs.QueueFull, "all %d connections to %s are in use", p.limit, p.addr)
			}
		}
		// The turn came at the same moment; it goes to the next in line.
		p.release()
		return errs.Refuse(errs.QueueFull, "all %d connections to %s were in use", p.limit, p.addr)
	}
}

// release gives back the right to use a connection. p.mu is held.
func (p *Pool) release() {
	if len(p.waiters) > 0 && p.used <= p.limit {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
		return
	}
	p.used--
}

func (p *Pool) open(ctx context.Context) (*conn, *errs.Refusal) {
	c, err := p.dial(ctx, "tcp", p.addr)
	if err != nil {
		p.mu.Lock()
		p.release()
		p.mu.Unlock()
		if ctx.Err() != nil {
			return nil, errs.Refuse(errs.Canceled, "dialing %s: %v", p.addr, err)
		}
		refusal := errs.Refuse(errs.UpstreamLost, "dialing %s: %v", p.addr, err)
		refusal.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		return nil, refusal
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), keep: defaultIdle}, nil
}

// put gives back a connection after an exchange.
func (p *Pool) put(c *conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The connection still counts as used here, so a waiter that gets the turn
	// finds it among the idle ones.
	keep := reuse && !p.closed && p.used+len(p.idle) <= p.limit
	p.release()
	if !keep {
		c.discard()
		return
	}
	// The deadline of this exchange must not fail the check before the next.
	_ = c.SetDeadline(time.Time{}) // a closed socket fails in that check
	c.lastUse = time.Now()
	p.idle = append(p.idle, c)
}

// usable reports whether a kept connection is young enough and has neither
// been closed by the replica nor holds bytes that belong to no request.
func (c *conn) usable(maxIdle time.Duration) bool {
	age := time.Since(c.lastUse)
	if age > c.keep || (maxIdle > 0 && age > maxIdle) || c.reader.Buffered() > 0 {
		return false
	}
	return quiet(c.Conn)
}

// discard closes the connection; what it still carries is of no use.
func (c *conn) discard() {
	// The error of closing a socket that is not used again tells nothing.
	_ = c.Close()
}

// quiet reports whether a read of the socket would wait.
func quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	var probe [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err == syscall.EAGAIN
		return true
	})
	return err == nil && waits
}
