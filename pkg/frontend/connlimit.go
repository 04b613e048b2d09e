package frontend

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
)

// Connections above the soft limit are accepted only to refuse their requests.
// The hard limit allows softLimit/excessConnsDivisor + minExcessConns of them.
const (
	excessConnsDivisor = 4
	minExcessConns     = 16
)

// overLimitKey is the context key of a connection above the soft limit.
type overLimitKey struct{}

// limitListener bounds the open connections. A request on a connection above
// the soft limit gets a typed refusal; a connection above the hard limit is
// closed at once.
type limitListener struct {
	net.Listener
	softLimit int64
	openConns atomic.Int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	hardLimit := l.softLimit + l.softLimit/excessConnsDivisor + minExcessConns
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.openConns.Add(1)
		if n <= hardLimit {
			return &countedConn{Conn: c, openConns: &l.openConns, overLimit: n > l.softLimit}, nil
		}
		l.openConns.Add(-1)
		_ = c.Close()
	}
}

// countedConn is counted in openConns until it is closed.
type countedConn struct {
	net.Conn
	openConns *atomic.Int64
	closeOnce sync.Once
	overLimit bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.openConns.Add(-1) })
	return c.Conn.Close()
}

// markOverLimit is the ConnContext of the server. It marks the context of a
// connection above the soft limit, also under TLS.
func markOverLimit(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if counted, ok := c.(*countedConn); ok && counted.overLimit {
		return context.WithValue(ctx, overLimitKey{}, true)
	}
	return ctx
}

// isOverLimit reports whether the request came on a connection above the soft
// limit.
func isOverLimit(ctx context.Context) bool { return ctx.Value(overLimitKey{}) != nil }
