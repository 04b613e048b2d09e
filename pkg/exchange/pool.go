// Package exchange sends HTTP/1.1 requests to one replica over a bounded pool of
// persistent connections. Its errors distinguish requests that did not run from
// requests that may have run.
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
	// defaultIdleTimeout is how long an idle connection is kept if the replica
	// states no timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the replica states, so
	// that no request is sent while the replica closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// readBufferBytes is large enough for the head and body of a typical response.
	readBufferBytes = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool holds the connections to one replica.
type Pool struct {
	dial DialFunc
	addr string

	mu       sync.Mutex
	maxConns int
	inUse    int
	idle     []*conn
	waiters  []chan struct{}
	closed   bool
	// dials counts the attempts to open a connection.
	dials uint64
}

// conn is a connection of a Pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// socket gives access to the socket; nil if the connection has none.
	socket syscall.RawConn
	// reused is set once an exchange has ended on the connection.
	reused bool
	// scratch is reused for the bytes of request and response heads.
	scratch []byte
	// lastUsed is the end of the last exchange. The connection is not reused when it
	// has been idle for longer than idleTimeout.
	lastUsed    time.Time
	idleTimeout time.Duration
}

// NewPool returns a pool of at most max(1, maxConns) connections to addr.
func NewPool(dial DialFunc, addr string, maxConns int) *Pool {
	return &Pool{dial: dial, addr: addr, maxConns: max(1, maxConns)}
}

// SetMaxConns changes the maximum number of connections to max(1, maxConns).
// Connections in use beyond it are closed when their requests end.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = max(1, maxConns)
	p.closeExcessIdleLocked()
}

// closeExcessIdleLocked closes idle connections while there are more than maxConns
// in total. p.mu is held.
func (p *Pool) closeExcessIdleLocked() {
	for len(p.idle) > 0 && p.inUse+len(p.idle) > p.maxConns {
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
	return p.inUse + len(p.idle), len(p.idle), p.dials
}

// Full reports whether all connections are in use, so that a request would have to
// wait for one.
func (p *Pool) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse >= p.maxConns
}

// takeConn returns an idle connection or opens a new one, for a slot that is
// reserved. If it fails, the slot is released and the request did not run.
func (p *Pool) takeConn(ctx context.Context, maxIdleTime time.Duration) (*conn, *errs.Refusal) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.dials++
			p.mu.Unlock()
			return p.dialConn(ctx)
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if !c.expired(maxIdleTime) {
			return c, nil
		}
		c.discard()
	}
}

// acquireSlot waits until fewer than maxConns connections are in use and reserves
// one of them.
func (p *Pool) acquireSlot(ctx context.Context) *errs.Refusal {
	p.mu.Lock()
	if p.inUse < p.maxConns {
		p.inUse++
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	p.waiters = append(p.waiters, granted)
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		for i, w := range p.waiters {
			if w == granted {
				p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
				return errs.Refuse(errs.QueueFull, "all %d connections to %s are in use", p.maxConns, p.addr)
			}
		}
		// The slot was granted just when ctx ended; it goes to the next waiter.
		p.releaseSlotLocked()
		return errs.Refuse(errs.QueueFull, "all %d connections to %s were in use", p.maxConns, p.addr)
	}
}

// releaseSlotLocked passes a reserved connection to the next waiter or frees it.
// p.mu is held.
func (p *Pool) releaseSlotLocked() {
	if len(p.waiters) > 0 && p.inUse <= p.maxConns {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
		return
	}
	p.inUse--
}

// dialConn opens a connection. If it fails, it releases the reserved slot.
func (p *Pool) dialConn(ctx context.Context) (*conn, *errs.Refusal) {
	c, err := p.dial(ctx, "tcp", p.addr)
	if err != nil {
		p.mu.Lock()
		p.releaseSlotLocked()
		p.mu.Unlock()
		if ctx.Err() != nil {
			return nil, errs.Refuse(errs.Canceled, "dialing %s: %v", p.addr, err)
		}
		refusal := errs.Refuse(errs.UpstreamLost, "dialing %s: %v", p.addr, err)
		refusal.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		return nil, refusal
	}
	return newConn(c), nil
}

// releaseConn returns a connection to the pool after an exchange, or closes it.
func (p *Pool) releaseConn(c *conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// This connection still counts as in use here. p.mu is held until it is idle, so
	// a waiter that gets the slot finds it among the idle connections.
	keep := reuse && !p.closed && p.inUse+len(p.idle) <= p.maxConns
	p.releaseSlotLocked()
	if !keep {
		c.discard()
		return
	}
	c.lastUsed, c.reused = time.Now(), true
	p.idle = append(p.idle, c)
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), idleTimeout: defaultIdleTimeout}
	if s, ok := c.(syscall.Conn); ok {
		if socket, err := s.SyscallConn(); err == nil {
			wrapped.socket = socket
		}
	}
	return wrapped
}

// expired reports whether an idle connection has been unused for too long.
func (c *conn) expired(maxIdleTime time.Duration) bool {
	idle := time.Since(c.lastUsed)
	return idle > c.idleTimeout || (maxIdleTime > 0 && idle > maxIdleTime)
}

// discard closes the connection.
func (c *conn) discard() {
	// The error has no consequence, because the socket is not used again.
	_ = c.Close()
}
