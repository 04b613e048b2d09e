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

// sweepEvery is the interval at which connections beyond their limits are
// closed; the limits are seconds.
const sweepEvery = 500 * time.Millisecond

// callerConns closes callers' connections that stay idle, or take for the head
// of a request, longer than the configuration allows. The time-outs of net/http
// are fixed at its start, and these limits change while connections are open.
type callerConns struct {
	log   logrus.FieldLogger
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is one connection of a caller.
type callerConn struct {
	conn net.Conn
	// phase is what the connection is in since a time.
	phase connPhase
	since time.Time
}

type connPhase uint8

const (
	// heading: the head of the first request is being read.
	heading connPhase = iota
	// idle: the head of a later request has not come, or not all of it.
	idle
	// serving: a request is being served.
	serving
)

func newCallerConns(log logrus.FieldLogger) *callerConns {
	return &callerConns{log: log, conns: map[net.Conn]*callerConn{}}
}

// track is the ConnState hook of the server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[conn] = &callerConn{conn: conn, phase: heading, since: now}
	case http.StateActive: // the head of a request has been read
		c.enter(conn, serving, now)
	case http.StateIdle:
		c.enter(conn, idle, now)
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// enter must be called with c.mu held.
func (c *callerConns) enter(conn net.Conn, phase connPhase, now time.Time) {
	if known := c.conns[conn]; known != nil {
		known.phase, known.since = phase, now
	}
}

// run closes connections beyond the limits until ctx ends.
func (c *callerConns) run(ctx context.Context, limits func() routes.Limits) {
	for wait.Sleep(ctx, sweepEvery) {
		c.sweep(time.Now(), limits())
	}
}

// sweep closes the connections that are beyond the limits; a limit of 0 is none.
func (c *callerConns) sweep(now time.Time, limits routes.Limits) {
	c.mu.Lock()
	var late []*callerConn
	for _, conn := range c.conns {
		if conn.beyond(now, limits) {
			late = append(late, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range late {
		c.log.WithFields(logrus.Fields{"caller": conn.conn.RemoteAddr().String(), "idle": conn.phase == idle}).Info("connection closed, beyond its time limit")
		// The server notices the close; one that it has closed already is gone.
		_ = conn.conn.Close()
	}
}

func (c *callerConn) beyond(now time.Time, limits routes.Limits) bool {
	limit := map[connPhase]time.Duration{idle: limits.IdleTimeout, heading: limits.HeaderTimeout}[c.phase]
	return limit > 0 && now.Sub(c.since) > limit
}
