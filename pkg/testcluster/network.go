package testcluster

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Endpoint names one side of a connection: a failure domain, or a single VM.
type Endpoint string

// PlatformEndpoint is the platform's side of its connections.
const PlatformEndpoint Endpoint = "platform"

// DomainEndpoint returns the endpoint of a failure domain.
func DomainEndpoint(d model.DomainID) Endpoint { return Endpoint("domain/" + d) }

// Network connects the parts of a cluster over loopback. Pairs of endpoints
// can be cut: established connections between them stall and new ones time
// out, as in a partition that drops packets.
type Network struct {
	mu    sync.Mutex
	hosts map[string]Endpoint // by address
	cut   map[[2]Endpoint]bool
	delay map[[2]Endpoint]time.Duration
	// lost counts how often the path of a pair lost its connection state.
	lost map[[2]Endpoint]int
	heal chan struct{} // closed and replaced when a cut is added or removed
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{
		hosts: make(map[string]Endpoint),
		cut:   make(map[[2]Endpoint]bool),
		delay: make(map[[2]Endpoint]time.Duration),
		lost:  make(map[[2]Endpoint]int),
		heal:  make(chan struct{}),
	}
}

// Register tells which endpoint listens on addr.
func (n *Network) Register(addr string, e Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = e
}

// SetDelay sets the one-way delay between two endpoints.
func (n *Network) SetDelay(a, b Endpoint, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[pair(a, b)] = d
}

// Silence makes the established connections between two endpoints carry
// nothing any more, for good and without closing them. New ones work.
func (n *Network) Silence(a, b Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[pair(a, b)]++
	n.wake()
}

// wake makes waiting connections look at the state again. It must be called
// with n.mu held.
func (n *Network) wake() {
	close(n.heal)
	n.heal = make(chan struct{})
}

// Cut drops everything between two endpoints until Heal.
func (n *Network) Cut(a, b Endpoint) { n.set(a, b, true) }

// Heal restores the connection between two endpoints.
func (n *Network) Heal(a, b Endpoint) { n.set(a, b, false) }

func (n *Network) set(a, b Endpoint, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair(a, b)] = cut
	n.wake()
}

func pair(a, b Endpoint) [2]Endpoint {
	if a > b {
		a, b = b, a
	}
	return [2]Endpoint{a, b}
}

// state returns whether the pair is cut, how often it lost its connection
// state, and a channel that closes at the next change.
func (n *Network) state(p [2]Endpoint) (cut bool, lost int, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[p], n.lost[p], n.heal
}

// Dialer returns a dial function for connections that start at from.
func (n *Network) Dialer(from Endpoint) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		p := pair(from, n.hosts[addr])
		delay := n.delay[p]
		n.mu.Unlock()
		if err := n.awaitOpen(ctx, p); err != nil {
			return nil, err
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newLink(c, n, p, delay), nil
	}
}

// awaitOpen blocks while the pair is cut, as an unanswered SYN does.
func (n *Network) awaitOpen(ctx context.Context, p [2]Endpoint) error {
	for {
		cut, _, changed := n.state(p)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
	}
}

// chunk is received data that is due at a time.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// link is the dialling side of a connection. It delays and stalls data in
// both directions.
type link struct {
	net.Conn
	network *Network
	pair    [2]Endpoint
	delay   time.Duration
	lost    int // as it was when the connection was opened

	received chan chunk
	rest     chunk
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	deadline time.Time
	rearm    chan struct{}
	out      chan chunk
}

func newLink(c net.Conn, n *Network, p [2]Endpoint, delay time.Duration) *link {
	_, lost, _ := n.state(p)
	l := &link{
		Conn:     c,
		network:  n,
		pair:     p,
		delay:    delay,
		lost:     lost,
		received: make(chan chunk, 64),
		closed:   make(chan struct{}),
		rearm:    make(chan struct{}),
		out:      make(chan chunk, 256),
	}
	go l.readLoop()
	go l.writeLoop()
	return l
}

func (l *link) readLoop() {
	for {
		buf := make([]byte, 16<<10)
		k, err := l.Conn.Read(buf)
		select {
		case l.received <- chunk{data: buf[:k], err: err, due: time.Now().Add(l.delay)}:
		case <-l.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *link) writeLoop() {
	for {
		select {
		case c := <-l.out:
			if !l.ready(c.due) {
				return
			}
			if _, err := l.Conn.Write(c.data); err != nil {
				return
			}
		case <-l.closed:
			return
		}
	}
}

// ready waits until data that is due may pass; it reports false after Close.
func (l *link) ready(due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-l.closed:
			return false
		}
	}
	for {
		cut, lost, changed := l.network.state(l.pair)
		if !cut && lost == l.lost {
			return true
		}
		select {
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// Read implements net.Conn.
func (l *link) Read(b []byte) (int, error) {
	if len(l.rest.data) == 0 && l.rest.err == nil {
		if err := l.next(); err != nil {
			return 0, err
		}
	}
	if len(l.rest.data) == 0 {
		return 0, l.rest.err
	}
	k := copy(b, l.rest.data)
	l.rest.data = l.rest.data[k:]
	return k, nil
}

func (l *link) next() error {
	for {
		expired, rearm := l.readDeadline()
		select {
		case c := <-l.received:
			if !l.ready(c.due) {
				return net.ErrClosed
			}
			l.rest = c
			return nil
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-rearm:
		case <-l.closed:
			return net.ErrClosed
		}
	}
}

func (l *link) readDeadline() (<-chan time.Time, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deadline.IsZero() {
		return nil, l.rearm
	}
	return time.After(time.Until(l.deadline)), l.rearm
}

// Write implements net.Conn. Like a socket buffer it accepts data that has
// not been delivered yet.
func (l *link) Write(b []byte) (int, error) {
	c := chunk{data: append([]byte(nil), b...), due: time.Now().Add(l.delay)}
	select {
	case l.out <- c:
		return len(b), nil
	case <-l.closed:
		return 0, net.ErrClosed
	}
}

// SetDeadline implements net.Conn.
func (l *link) SetDeadline(t time.Time) error { return l.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (l *link) SetReadDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	close(l.rearm)
	l.rearm = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.Conn.
func (l *link) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn. Data that waits in the link is lost.
func (l *link) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Conn.Close()
}
