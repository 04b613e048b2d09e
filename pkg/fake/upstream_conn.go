package fake

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// reservation holds a port while the upstream is crashed, so that a restart
// gets the same address and connections are refused in between. The socket is
// bound with SO_REUSEADDR and never listens.
type reservation struct{ fd int }

// reserve binds addr, which must be an IPv4 address, and returns the address
// with the port that was chosen.
func reserve(addr string) (*reservation, string, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, "", errs.Refuse(errs.SettingsInvalid, "address %s: %v", addr, err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, "", errs.Refuse(errs.AddressInUse, "socket: %v", err)
	}
	socket := &syscall.SockaddrInet4{Port: resolved.Port}
	copy(socket.Addr[:], resolved.IP.To4())
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, socket); err != nil {
		_ = syscall.Close(fd)
		return nil, "", errs.Refuse(errs.AddressInUse, "bind %s: %v", addr, err)
	}
	name, err := syscall.Getsockname(fd)
	bound, ok := name.(*syscall.SockaddrInet4)
	if err != nil || !ok {
		_ = syscall.Close(fd)
		return nil, "", errs.Refuse(errs.AddressInUse, "name of socket for %s: %v", addr, err)
	}
	return &reservation{fd}, net.JoinHostPort(resolved.IP.String(), strconv.Itoa(bound.Port)), nil
}

// close releases the port.
func (r *reservation) close() { _ = syscall.Close(r.fd) }

// conn is one accepted connection.
type conn struct {
	net.Conn
	// ready is the time until which the connection's first reply is held back.
	ready    time.Time
	silent   atomic.Bool
	once     sync.Once
	onClosed func(*conn)
}

// Read reads from the caller. A silent connection swallows what arrives.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the caller. A silent connection swallows what is sent.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and reports it once.
func (c *conn) Close() error {
	c.once.Do(func() { c.onClosed(c) })
	return c.Conn.Close()
}

// reset closes the connection with a reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// limitedListener applies the upstream's connection limit.
type limitedListener struct {
	net.Listener
	upstream *Upstream
}

// Accept returns the next connection within the limit; others are reset.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, onClosed: l.upstream.forget}
		if l.upstream.adopt(c) {
			return c, nil
		}
		c.onClosed = func(*conn) {}
		c.reset()
	}
}

// adopt registers a connection unless the limit is reached or the upstream
// went down while the connection was accepted.
func (u *Upstream) adopt(c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil {
		return false
	}
	if len(u.conns) >= u.config.MaxConns {
		u.counters.RefusedConnections++
		return false
	}
	c.ready = time.Now().Add(u.config.ConnCost)
	u.conns[c] = struct{}{}
	u.counters.Connections++
	u.counters.MaxConnections = max(u.counters.MaxConnections, len(u.conns))
	return true
}

// forget removes a closed connection.
func (u *Upstream) forget(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}
