package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Times of dialling.
const (
	// dialTimeout bounds one dial; within a region a connection takes
	// milliseconds.
	dialTimeout = time.Second
	// minRedial and maxRedial bound the pause before a spare connection is
	// dialled again after a failure, so that a dead upstream is not flooded.
	minRedial = 100 * time.Millisecond
	maxRedial = 2 * time.Second
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// connector opens connections to one upstream, keeps some spare and never has
// more than its limit open.
type connector struct {
	dial   dialFunc
	addr   string
	permit chan struct{} // one entry for each open connection
	spares chan *spareConn
	wake   chan struct{}
	ctx    context.Context
	// retired counts the calls of drop. A spare whose dial began before the
	// last one is not used, also when drop did not find it in spares.
	retired atomic.Uint64
}

// newConnector starts a connector. It keeps spares until ctx ends.
func newConnector(ctx context.Context, dial dialFunc, addr string, limit, spare int) *connector {
	k := &connector{
		dial:   dial,
		addr:   addr,
		permit: make(chan struct{}, limit),
		spares: make(chan *spareConn, min(spare, limit)),
		wake:   make(chan struct{}, 1),
		ctx:    ctx,
	}
	go k.keep()
	return k
}

// signal makes the connector look whether spares are missing.
func (k *connector) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// take returns a spare connection, or a new one, or waits for either.
func (k *connector) take(ctx context.Context, _, _ string) (net.Conn, error) {
	defer k.signal()
	for {
		select {
		case s := <-k.spares:
			if k.usable(s) {
				return s.trackedConn, nil
			}
			continue
		default:
		}
		select {
		case s := <-k.spares:
			if k.usable(s) {
				return s.trackedConn, nil
			}
		case k.permit <- struct{}{}:
			return k.open(ctx)
		case <-ctx.Done():
			return nil, errs.Refuse(errs.UpstreamLost, "no connection to %s: %v", k.addr, ctx.Err())
		}
	}
}

// usable claims a spare, or closes it if it is not to be used.
func (k *connector) usable(s *spareConn) bool {
	if k.outdated(s) {
		_ = s.Close()
		return false
	}
	return s.claim()
}

// outdated reports whether s was dialled before the last drop.
func (k *connector) outdated(s *spareConn) bool { return s.retired != k.retired.Load() }

// open dials a connection. The caller holds a permit, which passes to the
// connection or is given back.
func (k *connector) open(ctx context.Context) (*trackedConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := k.dial(ctx, "tcp", k.addr)
	if err != nil {
		<-k.permit
		return nil, err
	}
	return &trackedConn{Conn: c, onClosed: k.closed}, nil
}

// closed gives back the permit of a closed connection.
func (k *connector) closed() {
	<-k.permit
	k.signal()
}

// keep opens spare connections whenever some are missing.
func (k *connector) keep() {
	pause := minRedial
	for {
		if k.fill() {
			pause = minRedial
			select {
			case <-k.wake:
				continue
			case <-k.ctx.Done():
			}
		} else {
			timer := time.NewTimer(pause)
			pause = min(2*pause, maxRedial)
			select {
			case <-timer.C:
				continue
			case <-k.ctx.Done():
				timer.Stop()
			}
		}
		k.drop()
		return
	}
}

// fill opens the missing spares. It reports false when a dial failed.
func (k *connector) fill() bool {
	k.discardLost()
	for len(k.spares) < cap(k.spares) && k.ctx.Err() == nil {
		select {
		case k.permit <- struct{}{}:
		default:
			return true // all connections are in use; one that closes wakes keep
		}
		retired := k.retired.Load()
		c, err := k.open(k.ctx)
		if err != nil {
			return false
		}
		k.spares <- watch(c, retired, k.signal)
	}
	return true
}

// discardLost removes spares that broke or were dropped.
func (k *connector) discardLost() {
	for range len(k.spares) {
		select {
		case s := <-k.spares:
			if k.outdated(s) || s.lost() {
				_ = s.Close()
				continue
			}
			k.spares <- s
		default:
		}
	}
}

// drop closes all spares, and those that are being dialled as soon as they are
// found.
func (k *connector) drop() {
	k.retired.Add(1)
	for {
		select {
		case s := <-k.spares:
			_ = s.Close()
		default:
			return
		}
	}
}
