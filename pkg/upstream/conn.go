package upstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// trackedConn is a connection that records whether bytes of the current request may
// have been sent. A request counts as not run only if none were.
type trackedConn struct {
	net.Conn
	onClosed  func()
	closeOnce sync.Once

	mu                sync.Mutex
	user              *attempt
	possiblySentBytes int // of the current request
	sealed            bool
}

// setUser starts the count of sent bytes for the request of a.
func (c *trackedConn) setUser(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = a
	c.possiblySentBytes = 0
}

// Write implements net.Conn. Bytes are counted before they are written, and are
// subtracted again only if the kernel accepted none of them.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errs.Refuse(errs.UpstreamLost, "connection is sealed")
	}
	c.possiblySentBytes += len(b)
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.possiblySentBytes -= len(b)
		c.mu.Unlock()
	}
	return n, err
}

// sealIfUnsent reports whether no byte of a's request was sent. If so, it also makes
// all later writes fail.
func (c *trackedConn) sealIfUnsent(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != a || c.possiblySentBytes > 0 {
		return false
	}
	c.sealed = true
	return true
}

// retire closes the connection unless another attempt uses it in the meantime; that
// one checks its own reply.
func (c *trackedConn) retire(a *attempt) {
	c.mu.Lock()
	idle := c.user == a
	c.sealed = c.sealed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.onClosed)
	return err
}

// spareConn is a connection that was opened before it is needed. A goroutine reads
// from it to notice when the upstream closes it.
type spareConn struct {
	*trackedConn
	generation uint64        // generation of the connector when the dial began
	readDone   chan struct{} // closed when the read has ended
	readErr    error         // error of the read; valid after readDone is closed
}

// newSpareConn starts to read from c. onLost is called if the connection breaks while
// it is spare.
func newSpareConn(c *trackedConn, generation uint64, onLost func()) *spareConn {
	s := &spareConn{trackedConn: c, generation: generation, readDone: make(chan struct{})}
	go func() {
		var one [1]byte
		_, s.readErr = c.Conn.Read(one[:])
		close(s.readDone)
		if !errors.Is(s.readErr, os.ErrDeadlineExceeded) {
			_ = c.Close()
			onLost()
		}
	}()
	return s
}

// stopReading ends the read and reports whether the connection is usable.
func (s *spareConn) stopReading() bool {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	<-s.readDone
	if !errors.Is(s.readErr, os.ErrDeadlineExceeded) {
		return false
	}
	return s.SetReadDeadline(time.Time{}) == nil
}

// lost reports whether the connection broke while it was spare.
func (s *spareConn) lost() bool {
	select {
	case <-s.readDone:
		return true
	default:
		return false
	}
}
