package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Timeouts and pauses of dialing.
const (
	// dialTimeout bounds one dial; within a region a connection takes
	// milliseconds.
	dialTimeout = time.Second
	// minRedialPause and maxRedialPause bound the pause between a failed dial of a
	// spare connection and the next one, so that an upstream that is down is not
	// flooded with dials.
	minRedialPause = 100 * time.Millisecond
	maxRedialPause = 2 * time.Second
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// connector opens connections to one upstream and keeps some spare. It limits the
// number of connections that are open or being dialed.
type connector struct {
	dial    dialFunc
	addr    string
	permits chan struct{} // has one entry for each connection that is open or being dialed
	spares  chan *spareConn
	wake    chan struct{}
	ctx     context.Context
	// generation counts the calls of closeSpares. A spare whose dial began before the
	// last call is not used, also if it was not in spares at the time of the call.
	generation atomic.Uint64
}

// newConnector starts a connector with at most limit connections, of which up to spare
// are opened before they are needed. It keeps spares until ctx ends.
func newConnector(ctx context.Context, dial dialFunc, addr string, limit, spare int) *connector {
	k := &connector{
		dial:    dial,
		addr:    addr,
		permits: make(chan struct{}, limit),
		spares:  make(chan *spareConn, min(spare, limit)),
		wake:    make(chan struct{}, 1),
		ctx:     ctx,
	}
	go k.maintainSpares()
	return k
}

// wakeMaintainer makes maintainSpares check whether spares are missing.
func (k *connector) wakeMaintainer() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// get returns a spare connection or dials a new one. At the limit it waits until
// either is possible.
func (k *connector) get(ctx context.Context, _, _ string) (net.Conn, error) {
	defer k.wakeMaintainer()
	for {
		select {
		case s := <-k.spares:
			if k.prepareSpare(s) {
				return s.trackedConn, nil
			}
			continue
		default:
		}
		select {
		case s := <-k.spares:
			if k.prepareSpare(s) {
				return s.trackedConn, nil
			}
		case k.permits <- struct{}{}:
			return k.dialPermitted(ctx)
		case <-ctx.Done():
			return nil, errs.Refuse(errs.UpstreamLost, "no connection to %s: %v", k.addr, ctx.Err())
		}
	}
}

// prepareSpare ends the read of a spare and reports whether the spare is usable. A
// spare that was dialed before the last call of closeSpares is closed.
func (k *connector) prepareSpare(s *spareConn) bool {
	if k.outdated(s) {
		_ = s.Close()
		return false
	}
	return s.stopReading()
}

// outdated reports whether the dial of s began before the last call of closeSpares.
func (k *connector) outdated(s *spareConn) bool { return s.generation != k.generation.Load() }

// dialPermitted dials a connection. The caller has a permit, which is released when the
// dial fails or the connection is closed.
func (k *connector) dialPermitted(ctx context.Context) (*trackedConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := k.dial(ctx, "tcp", k.addr)
	if err != nil {
		<-k.permits
		return nil, err
	}
	return &trackedConn{Conn: c, onClosed: k.releasePermit}, nil
}

// releasePermit releases the permit of a connection that was closed.
func (k *connector) releasePermit() {
	<-k.permits
	k.wakeMaintainer()
}

// maintainSpares opens missing spare connections until the context of the connector
// ends, then closes the spares.
func (k *connector) maintainSpares() {
	pause := minRedialPause
	for {
		if k.openMissingSpares() {
			pause = minRedialPause
			select {
			case <-k.wake:
				continue
			case <-k.ctx.Done():
			}
		} else {
			timer := time.NewTimer(pause)
			pause = min(2*pause, maxRedialPause)
			select {
			case <-timer.C:
				continue
			case <-k.ctx.Done():
				timer.Stop()
			}
		}
		k.closeSpares()
		return
	}
}

// openMissingSpares opens spares up to their number or the limit of connections. It
// returns false if a dial failed.
func (k *connector) openMissingSpares() bool {
	k.closeUnusableSpares()
	for len(k.spares) < cap(k.spares) && k.ctx.Err() == nil {
		select {
		case k.permits <- struct{}{}:
		default:
			return true // at the limit; a connection that closes wakes maintainSpares
		}
		generation := k.generation.Load()
		c, err := k.dialPermitted(k.ctx)
		if err != nil {
			return false
		}
		k.spares <- newSpareConn(c, generation, k.wakeMaintainer)
	}
	return true
}

// closeUnusableSpares removes and closes the spares that broke or are outdated.
func (k *connector) closeUnusableSpares() {
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

// closeSpares closes all spares. Those that are being dialed become outdated and are
// closed later.
func (k *connector) closeSpares() {
	k.generation.Add(1)
	for {
		select {
		case s := <-k.spares:
			_ = s.Close()
		default:
			return
		}
	}
}
