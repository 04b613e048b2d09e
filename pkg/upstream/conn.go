package upstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// trackedConn is a connection that knows whether bytes of the current request
// may have left. It is the ground for every claim that a request did not run.
type trackedConn struct {
	net.Conn
	onClosed func()
	once     sync.Once

	mu     sync.Mutex
	user   *attempt
	left   int // bytes of the current request that may have left
	sealed bool
}

// begin makes a the user of the connection.
func (c *trackedConn) begin(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = a
	c.left = 0
}

// Write implements net.Conn. Bytes count as left before they are written; they
// are taken back only when the kernel accepted none of them.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errs.Refuse(errs.UpstreamLost, "connection is sealed")
	}
	c.left += len(b)
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.left -= len(b)
		c.mu.Unlock()
	}
	return n, err
}

// sealUnused reports whether no byte of a's request has left. If so, none will
// leave later either.
func (c *trackedConn) sealUnused(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != a || c.left > 0 {
		return false
	}
	c.sealed = true
	return true
}

// retire closes the connection unless another attempt uses it by now; that one
// judges the connection by its own reply.
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
	c.once.Do(c.onClosed)
	return err
}

// spareConn is a connection that was opened ahead of need. A goroutine reads
// from it to notice when the upstream closes it.
type spareConn struct {
	*trackedConn
	retired uint64        // the connector's count when the dial began
	watched chan struct{} // closed when the read has ended
	err     error         // of the read; valid after watched
}

// watch starts watching c. onLost is called if the connection breaks while it
// is spare.
func watch(c *trackedConn, retired uint64, onLost func()) *spareConn {
	s := &spareConn{trackedConn: c, retired: retired, watched: make(chan struct{})}
	go func() {
		var one [1]byte
		_, s.err = c.Conn.Read(one[:])
		close(s.watched)
		if !errors.Is(s.err, os.ErrDeadlineExceeded) {
			_ = c.Close()
			onLost()
		}
	}()
	return s
}

// claim ends the watch and reports whether the connection is usable.
func (s *spareConn) claim() bool {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	<-s.watched
	if !errors.Is(s.err, os.ErrDeadlineExceeded) {
		return false
	}
	return s.SetReadDeadline(time.Time{}) == nil
}

// lost reports whether the connection broke while it was spare.
func (s *spareConn) lost() bool {
	select {
	case <-s.watched:
		return true
	default:
		return false
	}
}
