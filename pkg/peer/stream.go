package peer

import (
	"context"
	"sync"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// streamQueue is the number of replies that wait for one Recv. A stream
	// that exceeds it is ended, so that it cannot stop the reader.
	streamQueue = 1024
	// exchangeQueue is the number of later messages that wait for a handler.
	exchangeQueue = 16
)

// stream is the dialling side of one exchange.
type stream struct {
	id    uint64
	c     *conn
	mu    sync.Mutex
	queue []wire.Message
	err   error
	// ready has an element when the queue or err changed.
	ready chan struct{}
}

func newStream(c *conn, id uint64) *stream {
	return &stream{id: id, c: c, ready: make(chan struct{}, 1)}
}

// Send implements wire.Stream.
func (s *stream) Send(m wire.Message) error {
	s.mu.Lock()
	err := s.err
	s.mu.Unlock()
	if err != nil {
		return errs.Refuse(errs.As(err).Code, "stream has ended: %v", err)
	}
	return s.c.send(context.Background(), s.id, m)
}

// Recv implements wire.Stream.
func (s *stream) Recv(ctx context.Context) (wire.Message, error) {
	for {
		m, err := s.next()
		if m != nil || err != nil {
			return m, err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, contextRefusal(ctx)
		}
	}
}

func contextRefusal(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return errs.Ambiguous(errs.DeadlineExceeded, "no reply before the deadline")
	}
	return errs.Ambiguous(errs.Canceled, "exchange canceled")
}

// next returns (nil, nil) when nothing waits. Replies that arrived before the
// end of the stream are returned before its error.
func (s *stream) next() (wire.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, s.err
	}
	m := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	if f, ok := m.(*wire.Failure); ok {
		return nil, f.Err()
	}
	return m, nil
}

// push queues a reply and reports whether there was room.
func (s *stream) push(m wire.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return true
	}
	if len(s.queue) >= streamQueue {
		return false
	}
	s.queue = append(s.queue, m)
	s.signal()
	return true
}

func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
		s.signal()
	}
}

func (s *stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Close implements wire.Stream.
func (s *stream) Close() {
	s.fail(errs.Ambiguous(errs.Canceled, "stream closed"))
	if s.c.forget(s.id) {
		s.c.post(s.id, &wire.StreamEnd{})
	}
}

// exchange is the accepting side of one stream. Only the reader of the
// connection calls push and end, so ended needs no lock.
type exchange struct {
	in     chan wire.Message
	cancel context.CancelCauseFunc
	ended  bool
}

// push queues a later message; an exchange without room is ended. A peer may
// still send on a stream that it has ended, such messages are dropped.
func (e *exchange) push(m wire.Message) {
	if e.ended {
		return
	}
	select {
	case e.in <- m:
	default:
		e.cancel(errs.Ambiguous(errs.QueueFull, "handler does not read its messages"))
	}
}

// end tells the handler that no more messages come. The context is ended
// first, so a handler that sees the closed channel can read the cause.
func (e *exchange) end(err error) {
	if e.ended {
		return
	}
	e.ended = true
	e.cancel(err)
	close(e.in)
}
