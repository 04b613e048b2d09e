package edge

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// Guards against callers' connections that stay open beyond the limits of the
// configuration, against a limit that aborts a request being served, and
// against changed limits that apply to new connections only.
func TestConnectionsBeyondTheirLimitsAreClosed(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := newCallerConns(log)
	limits := routes.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	open := func() (caller, served net.Conn) {
		caller, served = net.Pipe()
		t.Cleanup(func() { _ = caller.Close() })
		c.connStateChanged(served, http.StateNew)
		return caller, served
	}
	closed := func(caller net.Conn) bool {
		return caller.SetReadDeadline(time.Time{}) != nil
	}
	now := time.Now()
	slow, _ := open()
	busy, busyServed := open()
	c.connStateChanged(busyServed, http.StateActive)
	kept, keptServed := open()
	c.connStateChanged(keptServed, http.StateActive)
	c.connStateChanged(keptServed, http.StateIdle)

	c.closeExpired(now.Add(2*time.Second), limits)
	assert.Assert(t, !closed(slow) && !closed(busy) && !closed(kept))
	c.closeExpired(now.Add(4*time.Second), limits)
	assert.Assert(t, closed(slow) && !closed(busy) && !closed(kept))
	c.closeExpired(now.Add(time.Minute), routes.Limits{})
	assert.Assert(t, !closed(kept), "no limits are configured")
	c.closeExpired(now.Add(14*time.Second), limits)
	assert.Assert(t, !closed(busy) && !closed(kept))
	limits.IdleTimeout = 10 * time.Second
	c.closeExpired(now.Add(14*time.Second), limits)
	assert.Assert(t, !closed(busy) && closed(kept))
	c.connStateChanged(busyServed, http.StateClosed)
	assert.Equal(t, len(c.conns), 2)
}
