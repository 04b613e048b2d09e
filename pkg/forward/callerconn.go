package forward

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// CallerConn is the connection of a caller, from its acceptance on.
type CallerConn struct {
	// Conn is the connection itself, which only the HTTP server reads and writes.
	Conn net.Conn
	// RoundTrip is the round-trip time to the caller, 0 if it is not known.
	RoundTrip time.Duration
	// requests is the number of requests that were read from the connection.
	requests atomic.Int64
}

type callerConnKey struct{}

// WithCallerConn returns a context for the requests of a caller's connection.
func WithCallerConn(ctx context.Context, c *CallerConn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a request, nil if it is not known.
func callerConnOf(ctx context.Context) *CallerConn {
	c, _ := ctx.Value(callerConnKey{}).(*CallerConn)
	return c
}

// resetOnClose makes the end of the connection a reset. A caller of HTTP/1.0 takes
// an orderly end for the end of an answer without a length.
func (c *CallerConn) resetOnClose() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that has ended
	}
}

// requestReceived tells the connection that a request on it is complete.
func (c *CallerConn) requestReceived() {
	if c == nil {
		return
	}
	if conn, ok := c.Conn.(interface{ RequestReceived() }); ok {
		conn.RequestReceived()
	}
}
