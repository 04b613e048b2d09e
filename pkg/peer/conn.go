package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// controlReadBuffer also serves the handshake. Control connections are the
	// most numerous ones, so their buffer is small.
	controlReadBuffer = 4 << 10
	trafficReadBuffer = 32 << 10
	// noticeQueue is the number of notifications that wait for their handler.
	// Control messages are repeated or have a fallback, so an excess is dropped.
	noticeQueue = 256
	// maxExchanges bounds the handlers that run for one connection.
	maxExchanges = 8192
)

// conn is one authenticated connection. The dialling side opens streams, the
// accepting side serves them; notifications go both ways.
type conn struct {
	t    *Transport
	peer model.VM
	lane wire.Lane
	// dialled is true on the side that opens streams.
	dialled bool
	nc      net.Conn
	r       *wire.Reader
	out     *outbox
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// written is closed when the writer has stopped.
	written chan struct{}
	notices chan wire.Message

	opening   sync.Mutex
	mu        sync.Mutex
	streams   map[uint64]*stream
	exchanges map[uint64]*exchange
	nextID    uint64
	err       error

	// lastRead and waiting are times in nanoseconds since the transport's
	// start. waiting is 0 when nothing is expected from the peer.
	lastRead atomic.Int64
	waiting  atomic.Int64
	probed   atomic.Bool
}

// newConn takes over an authenticated connection. br holds bytes that arrived
// with the last handshake frame.
func newConn(t *Transport, nc net.Conn, br *bufio.Reader, peer model.VM, lane wire.Lane, dialled bool) *conn {
	if lane == wire.TrafficLane {
		br = bufio.NewReaderSize(br, trafficReadBuffer)
	}
	c := &conn{t: t, peer: peer, lane: lane, dialled: dialled, nc: nc, out: newOutbox(lane), written: make(chan struct{})}
	c.r = wire.NewReader(br, lane.MaxFrameBytes())
	c.ctx, c.cancel = context.WithCancelCause(t.ctx)
	c.streams = map[uint64]*stream{}
	c.exchanges = map[uint64]*exchange{}
	c.lastRead.Store(t.clock())
	return c
}

// start runs the connection's goroutines.
func (c *conn) start() {
	if c.lane == wire.ControlLane {
		c.notices = make(chan wire.Message, noticeQueue)
		c.t.wg.Go(c.serveNotices)
	}
	c.t.wg.Go(c.read)
	c.t.wg.Go(func() {
		err := c.out.write(c.nc, c.ctx.Done())
		close(c.written)
		c.end(errs.Ambiguous(errs.PeerLost, "write to %s: %v", c.peer.ID, err))
	})
}

// open starts an exchange with m as its first message.
func (c *conn) open(ctx context.Context, m wire.Message) (*stream, error) {
	for {
		s, room, err := c.tryOpen(m)
		if s != nil || err != nil {
			return s, err
		}
		if err := waitRoom(ctx, c.ctx.Done(), room); err != nil {
			return nil, err
		}
	}
}

// tryOpen returns a channel to wait on when the outbox is full. The first
// frames of streams are queued in the order of their ids, because the
// accepting side takes a lower id for an exchange that has ended.
func (c *conn) tryOpen(m wire.Message) (*stream, <-chan struct{}, error) {
	c.opening.Lock()
	defer c.opening.Unlock()
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return nil, nil, errs.Refuse(errs.PeerLost, "connection to %s ended before the request was written", c.peer.ID)
	}
	c.nextID++
	s := newStream(c, c.nextID)
	c.streams[s.id] = s
	c.mu.Unlock()
	room, err := c.out.tryPut(s.id, m)
	if room != nil || err != nil {
		c.forget(s.id)
		return nil, room, err
	}
	c.waiting.CompareAndSwap(0, c.t.clock())
	return s, nil, nil
}

// send queues a frame. An error means that no byte of it was handed over.
func (c *conn) send(ctx context.Context, id uint64, m wire.Message) error {
	if err := c.out.put(ctx, c.ctx.Done(), id, m); err != nil {
		return err
	}
	c.waiting.CompareAndSwap(0, c.t.clock())
	return nil
}

// post queues a small frame unless the outbox is full. Without room the
// connection is overloaded and the frame is not needed for correctness.
func (c *conn) post(id uint64, m wire.Message) {
	_, _ = c.out.tryPut(id, m)
}

// forget removes a stream and reports whether it was known.
func (c *conn) forget(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.streams[id]
	delete(c.streams, id)
	return ok
}

// endIdle ends the connection if no stream is open. A stream that is opened
// at the same time either prevents it or fails before its frame is queued.
func (c *conn) endIdle() {
	c.endIf(errs.Ambiguous(errs.PeerLost, "idle"), func() bool { return len(c.streams) == 0 })
}

// end closes the connection once and ends everything on it.
func (c *conn) end(err error) {
	c.endIf(err, func() bool { return true })
}

func (c *conn) endIf(err error, wanted func() bool) {
	c.mu.Lock()
	if c.err != nil || !wanted() {
		c.mu.Unlock()
		return
	}
	c.err = err
	streams := c.streams
	c.streams = map[uint64]*stream{}
	c.mu.Unlock()
	c.out.close()
	c.cancel(err)
	_ = c.nc.Close()
	for _, s := range streams {
		s.fail(err)
	}
	c.t.dropped(c, err)
}

// finish flushes what waits and ends the connection.
func (c *conn) finish(bound <-chan time.Time) {
	c.out.finish()
	select {
	case <-c.written:
	case <-bound:
	}
	c.end(errs.Ambiguous(errs.PeerLost, "this VM closes its connections"))
}

// read dispatches incoming frames until the connection ends.
func (c *conn) read() {
	var err error
	for err == nil {
		var id uint64
		var m wire.Message
		id, m, err = c.r.Next()
		if err == nil {
			c.noteRead()
			c.dispatch(id, m)
		}
	}
	c.end(errs.Ambiguous(errs.PeerLost, "read from %s: %v", c.peer.ID, err))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.exchanges {
		e.end(c.err)
	}
}

// noteRead records progress. While streams are open the next byte is
// expected from now on.
func (c *conn) noteRead() {
	now := c.t.clock()
	c.lastRead.Store(now)
	c.probed.Store(false)
	c.mu.Lock()
	open := len(c.streams) > 0
	c.mu.Unlock()
	if open {
		c.waiting.Store(now)
		return
	}
	c.waiting.Store(0)
}

func (c *conn) dispatch(id uint64, m wire.Message) {
	switch m.(type) {
	case *wire.Probe:
		c.post(0, &wire.ProbeReply{})
		return
	case *wire.ProbeReply:
		return
	}
	if id == 0 {
		c.notice(m)
		return
	}
	c.mu.Lock()
	s := c.streams[id]
	e := c.exchanges[id]
	c.mu.Unlock()
	_, end := m.(*wire.StreamEnd)
	switch {
	case s != nil && end:
		c.forget(id)
		s.fail(errs.Ambiguous(errs.PeerLost, "%s ended the exchange", c.peer.ID))
	case s != nil:
		c.deliver(s, m)
	case e != nil && end:
		// Messages that follow the end must not reach the closed channel.
		c.mu.Lock()
		delete(c.exchanges, id)
		c.mu.Unlock()
		e.end(errs.Ambiguous(errs.Canceled, "peer gave up the exchange"))
	case e != nil:
		e.push(m)
	case !end:
		c.serve(id, m)
	}
}

// deliver hands a reply to its stream, or ends a stream that is not read.
func (c *conn) deliver(s *stream, m wire.Message) {
	if s.push(m) {
		return
	}
	c.forget(s.id)
	s.fail(errs.Ambiguous(errs.QueueFull, "replies of %s are not read", c.peer.ID))
	c.post(s.id, &wire.StreamEnd{})
}

// serve starts the handler of a new exchange.
func (c *conn) serve(id uint64, m wire.Message) {
	if !c.accepting(id) {
		return
	}
	h := c.t.handler(m.Kind())
	if h == nil {
		c.refuse(id, errs.Refuse(errs.UnknownOperation, "no handler for kind %d", m.Kind()))
		return
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	e := &exchange{in: make(chan wire.Message, exchangeQueue), cancel: cancel}
	c.mu.Lock()
	full := len(c.exchanges) >= maxExchanges
	if !full {
		c.exchanges[id] = e
	}
	c.mu.Unlock()
	if full {
		cancel(nil)
		c.refuse(id, errs.Refuse(errs.Overloaded, "%d exchanges are open", maxExchanges))
		return
	}
	c.t.wg.Go(func() {
		defer cancel(nil)
		h(ctx, c.peer.ID, m, e.in, func(r wire.Message) error { return c.send(ctx, id, r) })
		c.mu.Lock()
		delete(c.exchanges, id)
		c.mu.Unlock()
		c.post(id, &wire.StreamEnd{})
	})
}

// accepting reports whether a frame with an unknown stream opens an exchange.
// On a dialled connection it is a late reply of a closed stream. On an
// accepted one, ids only grow, so an older id belongs to an ended exchange.
func (c *conn) accepting(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialled || id <= c.nextID {
		return false
	}
	c.nextID = id
	return true
}

func (c *conn) refuse(id uint64, err error) {
	c.post(id, wire.FailureOf(err))
	c.post(id, &wire.StreamEnd{})
}

func (c *conn) notice(m wire.Message) {
	if c.notices == nil || c.t.handler(m.Kind()) == nil {
		return
	}
	select {
	case c.notices <- m:
	default:
		c.t.log.Warnf("peer: dropped a notification of kind %d from %s, queue is full", m.Kind(), c.peer.ID)
	}
}

// serveNotices runs the handlers of notifications in order. Their replies are
// notifications on the same connection, so a VM whose address is not yet
// known can be answered.
func (c *conn) serveNotices() {
	none := make(chan wire.Message)
	close(none)
	reply := func(m wire.Message) error { return c.send(c.ctx, 0, m) }
	for {
		select {
		case m := <-c.notices:
			c.t.handler(m.Kind())(c.ctx, c.peer.ID, m, none, reply)
		case <-c.ctx.Done():
			return
		}
	}
}
