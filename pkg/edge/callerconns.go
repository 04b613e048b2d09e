package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

// expiryCheckInterval is the interval of the check for connections that exceed
// a time limit. The limits are in the order of seconds.
const expiryCheckInterval = 500 * time.Millisecond

// callerConns closes callers' connections that stay idle, or take to send a
// request header, longer than the configuration allows. It stands in for the
// timeouts of net/http, which are fixed when the server starts, while these
// limits change while connections are open.
type callerConns struct {
	log   logrus.FieldLogger
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is one connection of a caller.
type callerConn struct {
	conn  net.Conn
	phase connPhase
	// since is when the phase began.
	since time.Time
}

// connPhase is the phase of a connection. Each phase has its own time limit.
type connPhase uint8

const (
	// readingFirstHeader: the header of the first request is not complete.
	readingFirstHeader connPhase = iota
	// idle: a request was answered, and the header of the next is not complete.
	idle
	// serving: a request is being served. This phase has no time limit.
	serving
)

func newCallerConns(log logrus.FieldLogger) *callerConns {
	return &callerConns{log: log, conns: map[net.Conn]*callerConn{}}
}

// connStateChanged is the ConnState hook of the HTTP server.
func (c *callerConns) connStateChanged(conn net.Conn, state http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[conn] = &callerConn{conn: conn, phase: readingFirstHeader, since: now}
	case http.StateActive: // the header of a request has been read
		c.setPhase(conn, serving, now)
	case http.StateIdle:
		c.setPhase(conn, idle, now)
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// setPhase records the phase that a tracked connection enters. c.mu must be
// held.
func (c *callerConns) setPhase(conn net.Conn, phase connPhase, now time.Time) {
	if tracked := c.conns[conn]; tracked != nil {
		tracked.phase, tracked.since = phase, now
	}
}

// run closes connections that exceed the limits until ctx ends.
func (c *callerConns) run(ctx context.Context, limits func() routes.Limits) {
	for wait.Sleep(ctx, expiryCheckInterval) {
		c.closeExpired(time.Now(), limits())
	}
}

// closeExpired closes the connections that exceed the time limit of their
// phase. A limit of 0 means no limit.
func (c *callerConns) closeExpired(now time.Time, limits routes.Limits) {
	c.mu.Lock()
	var expired []*callerConn
	for _, conn := range c.conns {
		if conn.expired(now, limits) {
			expired = append(expired, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		c.log.WithFields(logrus.Fields{"caller": conn.conn.RemoteAddr().String(), "idle": conn.phase == idle}).Info("caller connection closed: time limit exceeded")
		// The server may have closed it already, so the error has no meaning.
		_ = conn.conn.Close()
	}
}

// expired reports whether the connection exceeds the time limit of its phase.
func (c *callerConn) expired(now time.Time, limits routes.Limits) bool {
	limit := map[connPhase]time.Duration{idle: limits.IdleTimeout, readingFirstHeader: limits.HeaderTimeout}[c.phase]
	return limit > 0 && now.Sub(c.since) > limit
}
