package exchange

import (
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/netconn"
)

// errNotIdle tells that a kept connection was closed or holds bytes that belong to no
// request, and that nothing was written to it.
var errNotIdle = errors.New("the connection is not idle")

// writeIfIdle writes the request unless the connection is not idle. With
// awaitResponse it then waits for the first byte of the response.
//
// All of this is one operation on the socket. Separate ones would cost a system
// call more, a read that finds nothing yet, for each part of a fan-out query.
func (c *conn) writeIfIdle(request []byte, awaitResponse bool) error {
	if c.reader.Buffered() > 0 {
		return errNotIdle
	}
	if c.socket == nil {
		n, err := c.Write(request)
		if c.reused && n == 0 && err != nil {
			return errNotIdle
		}
		return err
	}
	var (
		idle     = true
		sent     = false
		n        int
		writeErr error
	)
	// The callback runs at once and, if it returns false, again when the socket is
	// readable. Readiness is reset before its first run only, so a response that
	// arrives right after the write is not missed.
	err := c.socket.Read(func(fd uintptr) bool {
		if sent {
			return true
		}
		if idle = !c.reused || netconn.SocketHasNothingToRead(int(fd)); !idle {
			return true
		}
		n, writeErr = writeSocket(int(fd), request)
		sent = true
		return !awaitResponse || writeErr != nil || n < len(request)
	})
	switch {
	case !idle, err != nil && !sent:
		return errNotIdle
	case writeErr != nil && !errors.Is(writeErr, syscall.EAGAIN):
		return writeErr
	case n < len(request):
		_, err := c.Write(request[n:])
		return err
	default:
		return err
	}
}

// writeSocket writes what the socket takes without blocking.
func writeSocket(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}
