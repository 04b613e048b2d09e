package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// writeTimeout bounds one write to a connection whose peer does not read.
	writeTimeout = 5 * time.Second
	// keepOutbox is the largest buffer that an idle connection keeps.
	keepOutbox = 64 << 10
	// outboxFrames is the number of full-size frames that may wait in an outbox.
	outboxFrames = 2
)

// outbox collects frames of all streams of a connection. One writer hands
// everything that waits to the connection in a single write.
type outbox struct {
	lane  wire.Lane
	mu    sync.Mutex
	buf   []byte
	spare []byte
	// room is closed when the writer has taken the buffer.
	room chan struct{}
	// wake tells the writer that frames wait.
	wake   chan struct{}
	closed bool
	ending bool
}

func newOutbox(l wire.Lane) *outbox {
	return &outbox{lane: l, room: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// put appends the frame of m and waits for room until ctx or done ends. An
// error means that no byte of the frame was taken.
func (o *outbox) put(ctx context.Context, done <-chan struct{}, stream uint64, m wire.Message) error {
	for {
		room, err := o.tryPut(stream, m)
		if err != nil || room == nil {
			return err
		}
		if err := waitRoom(ctx, done, room); err != nil {
			return err
		}
	}
}

func waitRoom(ctx context.Context, done, room <-chan struct{}) error {
	select {
	case <-room:
		return nil
	case <-done:
		return errs.Refuse(errs.PeerLost, "connection ended before the frame was written")
	case <-ctx.Done():
		return errs.Refuse(errs.QueueFull, "no room for the frame: %v", context.Cause(ctx))
	}
}

// tryPut returns a channel to wait on when the outbox is full.
func (o *outbox) tryPut(stream uint64, m wire.Message) (<-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.ending {
		return nil, errs.Refuse(errs.PeerLost, "connection ended before the frame was written")
	}
	if len(o.buf) >= outboxFrames*o.lane.MaxFrameBytes() {
		return o.room, nil
	}
	buf, err := wire.Append(o.buf, stream, m, o.lane.MaxFrameBytes())
	if err != nil {
		return nil, err
	}
	o.buf = buf
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil, nil
}

// take returns all frames that wait, and whether the outbox is ending.
func (o *outbox) take() ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.buf
	o.buf = o.spare[:0]
	o.spare = nil
	close(o.room)
	o.room = make(chan struct{})
	return b, o.ending
}

func (o *outbox) giveBack(b []byte) {
	if cap(b) > keepOutbox {
		return
	}
	o.mu.Lock()
	o.spare = b
	o.mu.Unlock()
}

// finish lets the writer flush what waits and then stop.
func (o *outbox) finish() {
	o.mu.Lock()
	o.ending = true
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
}

// write runs until the outbox has been finished and flushed, done is closed
// or a write fails.
func (o *outbox) write(nc net.Conn, done <-chan struct{}) error {
	for {
		select {
		case <-o.wake:
		case <-done:
			return nil
		}
		b, ending := o.take()
		if len(b) > 0 {
			if err := nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			if _, err := nc.Write(b); err != nil {
				return err
			}
		}
		o.giveBack(b)
		if ending {
			return nil
		}
	}
}
