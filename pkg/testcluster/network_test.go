package testcluster

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// echo accepts connections and returns what it reads.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func exchange(c net.Conn, wait time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against a silent path that recovers, or that takes new connections
// with it: the tier would then not need to open new ones.
func TestSilenceIsForGoodAndSparesNewConnections(t *testing.T) {
	n := NewNetwork()
	addr := echo(t)
	n.Register(addr, "b")
	dial := n.Dialer("a")
	old, err := dial(context.Background(), "tcp", addr)
	assert.NilError(t, err)
	defer old.Close()
	assert.NilError(t, exchange(old, 10*time.Second))

	n.Silence("a", "b")
	n.Cut("a", "b")
	n.Heal("a", "b")
	assert.Assert(t, errors.Is(exchange(old, 50*time.Millisecond), os.ErrDeadlineExceeded))
	fresh, err := dial(context.Background(), "tcp", addr)
	assert.NilError(t, err)
	defer fresh.Close()
	assert.NilError(t, exchange(fresh, 10*time.Second))
}
