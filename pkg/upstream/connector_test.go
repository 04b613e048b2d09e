package upstream

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the use of a spare connection that was being dialed, or was taken out
// of the list for a check, while all idle connections were closed because one was
// silent. Such a connection can be silent too.
func TestCloseSparesIncludesSparesBeingDialed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialed, release := make(chan net.Conn), make(chan struct{})
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			dialed <- c
			<-release
		}
		return c, err
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	k := newConnector(ctx, dial, l.Addr().String(), 1, 1)
	old := <-dialed
	k.closeSpares()
	release <- struct{}{}
	taken := make(chan net.Conn, 1)
	go func() {
		c, err := k.get(ctx, "", "")
		assert.Check(t, err)
		taken <- c
	}()
	select {
	case newer := <-dialed:
		close(release)
		c := <-taken
		assert.Equal(t, c.(*trackedConn).Conn, newer)
		_ = c.Close()
	case c := <-taken:
		t.Fatalf("got connection %v instead of a new one; the spare dialed before closeSpares is %v", c.LocalAddr(), old.LocalAddr())
	}
}
