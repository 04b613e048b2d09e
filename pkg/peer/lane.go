package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// dialTimeout bounds a dial with its handshake.
	dialTimeout = 2 * time.Second
	backoffMin  = 50 * time.Millisecond
	// backoffMax is below the time in which a dead VM is declared dead (3 s),
	// so a restarted VM is reached again before its peers give it up.
	backoffMax = 2 * time.Second
)

// errLaneGone tells use to look the lane up again.
var errLaneGone error = errs.Refuse(errs.PeerLost, "lane was given up while unused")

// lane is the dialling side's state for one lane of one peer. It holds at
// most one connection.
type lane struct {
	t    *Transport
	kind wire.Lane
	mu   sync.Mutex
	addr string
	conn *conn
	// dialled is non-nil during a dial and closed at its end.
	dialled chan struct{}
	// failed, retryAt and backoff describe the last failed dial.
	failed  error
	retryAt time.Time
	backoff time.Duration
	used    time.Time
	gone    bool
}

// get returns the connection and dials when there is none. While a failed
// dial backs off, get fails at once.
func (l *lane) get(ctx context.Context, to model.VM) (*conn, error) {
	for {
		c, wait, err := l.state(to)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errs.Refuse(errs.PeerUnreachable, "no connection to %s in time: %v", to.ID, context.Cause(ctx))
		}
	}
}

// state returns a connection, a dial to wait for, or an error.
func (l *lane) state(to model.VM) (*conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return nil, nil, errLaneGone
	}
	l.used = time.Now()
	if l.addr != to.Addr {
		l.moved(to.Addr)
	}
	switch {
	case l.conn != nil:
		return l.conn, nil, nil
	case l.dialled != nil:
		return nil, l.dialled, nil
	case l.failed != nil && l.used.Before(l.retryAt):
		return nil, nil, l.failed
	}
	done := make(chan struct{})
	l.dialled = done
	// The dial outlives the caller that needed it first: others wait for it.
	if !l.t.spawn(func() { l.dial(to, done) }) {
		l.dialled = nil
		return nil, nil, errs.Refuse(errs.Stopping, "transport is closed")
	}
	return nil, done, nil
}

// moved forgets the state of a former address of the VM.
func (l *lane) moved(addr string) {
	old := l.conn
	l.addr = addr
	l.conn = nil
	l.failed = nil
	l.backoff = 0
	if old != nil {
		l.t.spawn(func() { old.end(errs.Ambiguous(errs.PeerLost, "%s has a new address", old.peer.ID)) })
	}
}

func (l *lane) dial(to model.VM, done chan struct{}) {
	ctx, cancel := context.WithTimeout(l.t.ctx, dialTimeout)
	defer cancel()
	c, err := l.t.connect(ctx, to, l.kind)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialled = nil
	if err != nil {
		l.backoff = min(max(2*l.backoff, backoffMin), backoffMax)
		l.failed = err
		l.retryAt = time.Now().Add(l.backoff/2 + rand.N(l.backoff/2))
		return
	}
	l.backoff = 0
	l.failed = nil
	l.conn = c
	c.start()
}

// drop forgets c if it is the current connection.
func (l *lane) drop(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
}

// retire takes the connection out of use and returns it. A dial that follows
// does not wait for a backoff.
func (l *lane) retire() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conn
	l.conn = nil
	l.failed = nil
	return c
}

// abandon marks a lane without use as gone and reports whether it did. A
// caller that still holds it gets another one.
func (l *lane) abandon(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone = l.conn == nil && l.dialled == nil && now.After(l.used.Add(idleTimeout))
	return l.gone
}

func (l *lane) current() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}
