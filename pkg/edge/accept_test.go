package edge

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// failingListener fails to accept connections, as at the limit of open files, and then
// hands out conns.
type failingListener struct {
	failures int
	conns    chan net.Conn
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *failingListener) Close() error   { close(l.closed); return nil }
func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against the end of the process because a connection of another VM could not be
// accepted, and against a busy loop meanwhile.
func TestFailedAcceptIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := &failingListener{failures: 20, conns: make(chan net.Conn), closed: make(chan struct{})}
		ended := make(chan error, 1)
		start := time.Now()
		go func() { ended <- (&peerServer{log: log}).run(ctx, l) }()
		other, conn := net.Pipe()
		l.conns <- conn
		assert.Assert(t, time.Since(start) > 10*time.Second && time.Since(start) < 20*time.Second, time.Since(start))
		assert.NilError(t, other.Close()) // a VM that only checks whether this one is reachable
		cancel()
		assert.NilError(t, <-ended)
	})
}
