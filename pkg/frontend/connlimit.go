package frontend

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
)

// excessShare sets the connections accepted above the limit only to refuse
// their requests: a quarter of the limit and excessMin.
const (
	excessShare = 4
	excessMin   = 16
)

type overLimitKey struct{}

// limitListener bounds the open connections. A request on a connection above
// the soft limit gets a typed refusal; a connection above the hard limit is
// closed at once.
type limitListener struct {
	net.Listener
	soft int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	hard := l.soft + l.soft/excessShare + excessMin
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		if n <= hard {
			return &countedConn{Conn: c, open: &l.open, excess: n > l.soft}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

type countedConn struct {
	net.Conn
	open   *atomic.Int64
	once   sync.Once
	excess bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func connContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if counted, ok := c.(*countedConn); ok && counted.excess {
		return context.WithValue(ctx, overLimitKey{}, true)
	}
	return ctx
}

func overLimit(ctx context.Context) bool { return ctx.Value(overLimitKey{}) != nil }
