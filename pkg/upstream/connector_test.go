package upstream

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a spare connection that survives the retirement of all idle
// connections because it was being dialled or sorted at that moment. Such a
// connection can be silent.
func TestDropReachesSparesInDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialled, release := make(chan net.Conn), make(chan struct{})
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			dialled <- c
			<-release
		}
		return c, err
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	k := newConnector(ctx, dial, l.Addr().String(), 1, 1)
	old := <-dialled
	k.drop()
	release <- struct{}{}
	taken := make(chan net.Conn, 1)
	go func() {
		c, err := k.take(ctx, "", "")
		assert.Check(t, err)
		taken <- c
	}()
	select {
	case newer := <-dialled:
		close(release)
		c := <-taken
		assert.Equal(t, c.(*trackedConn).Conn, newer)
		_ = c.Close()
	case c := <-taken:
		t.Fatalf("took %v, which was dialled before the drop as %v", c.LocalAddr(), old.LocalAddr())
	}
}
