package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// acceptPause is the wait after a failed accept, for example when no file
// descriptor is left.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until ctx ends, then closes the transport.
func (t *Transport) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.cfg.Listener.Close() })
	defer stop()
	defer t.Close()
	for {
		nc, err := t.cfg.Listener.Accept()
		switch {
		case ctx.Err() != nil || t.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			if nc != nil {
				_ = nc.Close()
			}
			return nil
		case err != nil:
			t.log.Warnf("peer: accept failed: %v", err)
			time.Sleep(acceptPause)
		default:
			t.admit(nc)
		}
	}
}

// admit starts the handshake unless the bound of connections is reached.
func (t *Transport) admit(nc net.Conn) {
	if t.incoming.Add(1) > int64(t.cfg.MaxIncoming) {
		t.incoming.Add(-1)
		_ = nc.Close()
		t.log.Warnf("peer: refused a connection, %d are open", t.cfg.MaxIncoming)
		return
	}
	if !t.spawn(func() { t.accept(nc) }) {
		t.incoming.Add(-1)
		_ = nc.Close()
	}
}

func (t *Transport) accept(raw net.Conn) {
	timer := time.AfterFunc(handshakeTimeout, func() { _ = raw.Close() })
	stop := context.AfterFunc(t.ctx, func() { _ = raw.Close() })
	nc := raw
	if t.cfg.TLS != nil {
		nc = tls.Server(raw, t.cfg.TLS)
	}
	br := bufio.NewReaderSize(nc, controlReadBuffer)
	hello, err := acceptHandshake(nc, wire.NewHandshakeReader(br), t.cfg.Self, t.cfg.Secret)
	intime := timer.Stop()
	open := stop()
	if err == nil && intime && open && t.keep(nc, br, hello) {
		t.authenticated.Store(true)
		return
	}
	t.incoming.Add(-1)
	_ = raw.Close()
	if err != nil {
		t.log.Warnf("peer: refused an incoming connection: %v", err)
	}
}

// keep starts an accepted connection; it reports false when the transport is
// closed.
func (t *Transport) keep(nc net.Conn, br *bufio.Reader, hello *wire.Hello) bool {
	c := newConn(t, nc, br, hello.VM, hello.Lane, false)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.accepted[c] = struct{}{}
	c.start()
	return true
}

// watch looks at all connections until the transport is closed.
func (t *Transport) watch() {
	tick := time.NewTicker(t.cfg.Progress / probesPerBound)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.inspect()
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Transport) inspect() {
	for _, c := range t.conns() {
		c.inspect()
	}
	now := time.Now()
	for k, l := range t.dialledLanes() {
		if l.abandon(now) {
			t.forget(k, l)
		}
	}
}

// dialledLanes returns a copy, because a lane's lock is taken before the
// transport's and never after it.
func (t *Transport) dialledLanes() map[laneKey]*lane {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.lanes)
}

// conns returns all open connections.
func (t *Transport) conns() []*conn {
	t.mu.Lock()
	list := slices.Collect(maps.Keys(t.accepted))
	t.mu.Unlock()
	for _, l := range t.dialledLanes() {
		if c := l.current(); c != nil {
			list = append(list, c)
		}
	}
	return list
}

// inspect probes, retires or closes the connection. Accepted connections get
// twice the idle time, so that the dialling side closes first and no request
// is written to a connection that is being closed.
func (c *conn) inspect() {
	now := c.t.clock()
	since := c.waiting.Load()
	bound := int64(c.t.cfg.Progress)
	unread := now - c.lastRead.Load()
	switch {
	case !c.dialled:
		if unread > 2*int64(idleTimeout) {
			c.end(errs.Ambiguous(errs.ConnectionSilent, "nothing received from %s", c.peer.ID))
		}
	case since == 0:
		if unread > int64(idleTimeout) {
			c.endIdle()
		}
	case now-since > bound:
		c.end(errs.Ambiguous(errs.PeerLost, "no progress on the connection to %s", c.peer.ID))
	case now-since >= bound/probesPerBound && !c.probed.Swap(true):
		c.post(0, &wire.Probe{})
	}
}

// Close flushes replies that wait, ends all connections and waits for the
// transport's goroutines. The caller has ended its exchanges before.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		t.wg.Wait()
		return
	}
	t.closed = true
	t.mu.Unlock()
	if t.cfg.Listener != nil {
		_ = t.cfg.Listener.Close()
	}
	bound := time.After(flushTimeout)
	for _, c := range t.conns() {
		c.finish(bound)
	}
	t.cancel()
	t.wg.Wait()
}
