// Package peer is the TCP transport between VMs. It authenticates peers,
// keeps at most one dialled connection per peer and lane, and multiplexes
// exchanges over it.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"github.com/sirupsen/logrus"
)

const (
	// ProgressBound is the default time without a received byte after which a
	// connection with outstanding exchanges is retired; live peers answer a
	// probe at a quarter of it. It is above the pauses of a loaded VM, and leaves
	// a request with a deadline of one second time for another replica.
	ProgressBound = 400 * time.Millisecond
	// MaxIncoming is the default bound of incoming connections: two lanes of
	// 1,500 VMs, and a quarter more for connections that are being replaced.
	MaxIncoming = 3750
	// probesPerBound is how often a connection is looked at within its bound.
	probesPerBound = 4
	// idleTimeout is the time after which an unused connection is closed. A
	// ping round over 1,500 VMs takes 750 s, so control connections at that
	// size are short-lived and memory depends on use, not on the fleet.
	idleTimeout = 30 * time.Second
	// flushTimeout bounds the flush of replies that wait when Close is called.
	flushTimeout = time.Second
)

// Config holds what a Transport needs. Dial, TLS, MaxIncoming, Progress and
// Log are optional.
type Config struct {
	Self     model.VM
	Listener net.Listener
	Secret   []byte
	// TLS serves as both client and server configuration. Its ServerName
	// must be set, because peers are addressed by IP.
	TLS         *tls.Config
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Log         logrus.FieldLogger
	MaxIncoming int
	Progress    time.Duration
}

type laneKey struct {
	vm   model.VMID
	kind wire.Lane
}

// Transport implements wire.Transport over TCP.
type Transport struct {
	cfg    Config
	log    logrus.FieldLogger
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	handlers [256]atomic.Pointer[wire.Handler]
	incoming atomic.Int64
	// refused and authenticated tell whether a handshake has ever ended so.
	refused, authenticated atomic.Bool

	mu       sync.Mutex
	closed   bool
	watching bool
	lanes    map[laneKey]*lane
	accepted map[*conn]struct{}
}

// New returns a Transport. It can open exchanges at once; Serve accepts them.
func New(c Config) *Transport {
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
	if c.MaxIncoming == 0 {
		c.MaxIncoming = MaxIncoming
	}
	if c.Progress == 0 {
		c.Progress = ProgressBound
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	t := &Transport{cfg: c, log: c.Log, start: time.Now()}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.lanes = map[laneKey]*lane{}
	t.accepted = map[*conn]struct{}{}
	return t
}

// Handle registers the handler of a kind. It must be called before Serve, and
// may be called while exchanges are open: a connection that this VM has dialled
// also carries requests of the peer. Kinds without a handler are refused.
func (t *Transport) Handle(k wire.Kind, h wire.Handler) { t.handlers[k].Store(&h) }

func (t *Transport) handler(k wire.Kind) wire.Handler {
	if h := t.handlers[k].Load(); h != nil {
		return *h
	}
	return nil
}

// clock returns nanoseconds since the start of the transport, never 0.
func (t *Transport) clock() int64 { return int64(time.Since(t.start)) + 1 }

// spawn runs f in a goroutine that Close waits for, unless the transport is
// closed.
func (t *Transport) spawn(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Go(f)
	return true
}

// Open implements wire.Transport.
func (t *Transport) Open(ctx context.Context, to model.VM, m wire.Message) (wire.Stream, error) {
	var s *stream
	err := t.use(ctx, to, wire.TrafficLane, func(c *conn) (err error) {
		s, err = c.open(ctx, m)
		return err
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Notify implements wire.Transport.
func (t *Transport) Notify(ctx context.Context, to model.VM, m wire.Message) error {
	return t.use(ctx, to, wire.ControlLane, func(c *conn) error { return c.send(ctx, 0, m) })
}

// use runs f on a connection to the VM. A connection that ended before f
// queued its frame is replaced once: nothing was written, so the repetition
// is safe.
func (t *Transport) use(ctx context.Context, to model.VM, k wire.Lane, f func(*conn) error) error {
	err := t.useOnce(ctx, to, k, f)
	if errs.Is(err, errs.PeerLost) {
		err = t.useOnce(ctx, to, k, f)
	}
	return err
}

func (t *Transport) useOnce(ctx context.Context, to model.VM, k wire.Lane, f func(*conn) error) error {
	l := t.lane(to.ID, k)
	c, err := l.get(ctx, to)
	if err == errLaneGone {
		t.forget(laneKey{to.ID, k}, l)
	}
	if err != nil {
		return err
	}
	if err = f(c); errs.Is(err, errs.PeerLost) {
		l.drop(c)
	}
	return err
}

// Retire ends the control connection to a VM, so that the next Notify uses a
// fresh one. A ping without an answer can mean a silent connection.
func (t *Transport) Retire(id model.VMID) {
	if c := t.lane(id, wire.ControlLane).retire(); c != nil {
		c.end(errs.Ambiguous(errs.PeerLost, "connection retired"))
	}
}

func (t *Transport) lane(id model.VMID, k wire.Lane) *lane {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := laneKey{id, k}
	l := t.lanes[key]
	if l == nil {
		l = &lane{t: t, kind: k}
		t.lanes[key] = l
	}
	if !t.watching && !t.closed {
		t.watching = true
		t.wg.Go(t.watch)
	}
	return l
}

// forget removes a lane that was given up, unless another one took its place.
func (t *Transport) forget(k laneKey, l *lane) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lanes[k] == l {
		delete(t.lanes, k)
	}
}

// Refused reports whether peers refused this VM's secret and none has ever
// accepted it. Such a VM sees nobody alive and would own every replica.
func (t *Transport) Refused() bool { return t.refused.Load() && !t.authenticated.Load() }

// connect dials and authenticates one connection.
func (t *Transport) connect(ctx context.Context, to model.VM, k wire.Lane) (*conn, error) {
	raw, err := t.cfg.Dial(ctx, to.Addr)
	if err != nil {
		return nil, errs.Refuse(errs.PeerUnreachable, "dial %s: %v", to.ID, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	nc := raw
	if t.cfg.TLS != nil {
		nc = tls.Client(raw, clientTLS(t.cfg.TLS, to.Addr))
	}
	br := bufio.NewReaderSize(nc, controlReadBuffer)
	err = dialHandshake(nc, wire.NewHandshakeReader(br), t.cfg.Self, to, t.cfg.Secret, k)
	if err == nil && !stop() {
		err = errs.Refuse(errs.PeerUnreachable, "handshake with %s: %v", to.ID, ctx.Err())
	}
	if err != nil {
		_ = raw.Close()
		t.log.Warnf("peer: handshake with %s failed: %v", to.ID, err)
		if errs.Is(err, errs.AuthenticationFailed) {
			t.refused.Store(true)
		}
		return nil, err
	}
	t.authenticated.Store(true)
	return newConn(t, nc, br, to, k, true), nil
}

// dropped forgets a connection that ended.
func (t *Transport) dropped(c *conn, err error) {
	t.mu.Lock()
	l := t.lanes[laneKey{c.peer.ID, c.lane}]
	delete(t.accepted, c)
	t.mu.Unlock()
	if !c.dialled {
		t.log.Infof("peer: %s connection from %s ended: %v", c.lane, c.peer.ID, err)
		t.incoming.Add(-1)
		return
	}
	if l != nil {
		l.drop(c)
	}
	t.log.Infof("peer: %s connection to %s ended: %v", c.lane, c.peer.ID, err)
}

// clientTLS returns the settings for dialling addr. A client must know which
// name to verify; without one in the settings it is the host that is dialled.
func clientTLS(c *tls.Config, addr string) *tls.Config {
	if c.ServerName != "" {
		return c
	}
	c = c.Clone()
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	c.ServerName = host
	return c
}
