package testcluster

import (
	"context"
	"net"
	"os"
	"sync"
)

// host holds all connections of one VM, so that a crash of the VM can break
// them at once.
type host struct {
	dialer func(ctx context.Context, network, addr string) (net.Conn, error)

	mu        sync.Mutex
	down      bool
	conns     map[*hostConn]struct{}
	listeners []net.Listener
}

func newHost(n *Network, e Endpoint) *host {
	return &host{dialer: n.Dialer(e), conns: make(map[*hostConn]struct{})}
}

// listen opens a loopback listener on a free port.
func (h *host) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, l)
	return &hostListener{Listener: l, host: h}, nil
}

// dial opens a connection that ends with the host.
func (h *host) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := h.dialer(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return h.track(c)
}

func (h *host) track(c net.Conn) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrClosed}
	}
	t := &hostConn{Conn: c, host: h}
	h.conns[t] = struct{}{}
	return t, nil
}

// crash closes everything and refuses new connections.
func (h *host) crash() {
	h.mu.Lock()
	h.down = true
	conns := h.conns
	h.conns = nil
	listeners := h.listeners
	h.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for c := range conns {
		_ = c.Conn.Close()
	}
}

type hostListener struct {
	net.Listener
	host *host
}

// Accept implements net.Listener.
func (l *hostListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.host.track(c)
}

type hostConn struct {
	net.Conn
	host *host
}

// Close implements net.Conn.
func (c *hostConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}
