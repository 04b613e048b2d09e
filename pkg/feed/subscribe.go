package feed

import (
	"context"
	"net"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// dialTimeout bounds the dial of another VM, which takes a millisecond.
	dialTimeout = 250 * time.Millisecond
	// firstTimeout bounds the wait for all that the other VM knows.
	firstTimeout = 500 * time.Millisecond
	// silence ends a subscription without any update: three beats are missing.
	silence = 1100 * time.Millisecond
	// maxUnverified ends a subscription to a VM whose own knowledge is old.
	// The store confirms urgent topics every 2 s at least, and a change must be
	// in force within 3 s.
	maxUnverified = 2300 * time.Millisecond
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Subscription is an open feed of another VM.
type Subscription struct {
	conn   net.Conn
	reader *wire.Reader
	any    bool
}

// Subscribe opens the feed of the VM at addr and returns it with all that the
// VM knows. Its errors are *errs.Refusal.
func Subscribe(ctx context.Context, dial DialFunc, addr string, hello wire.FeedSubscribe) (*Subscription, []wire.FeedTopic, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := dial(dialCtx, "tcp", addr)
	if err != nil {
		return nil, nil, errs.Refuse(errs.PeerUnreachable, "%v", err)
	}
	s := &Subscription{conn: c, reader: wire.NewReader(c, frameLimit), any: hello.AcceptStale}
	_ = c.SetWriteDeadline(time.Now().Add(firstTimeout)) // a closed socket fails in the write
	if err := wire.Write(c, 0, &hello, frameLimit); err != nil {
		s.Close()
		return nil, nil, errs.Refuse(errs.PeerLost, "%s: %v", addr, err)
	}
	all, err := s.next(firstTimeout)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	return s, all, nil
}

// Next returns the next changes, none after a beat. A failure means that the
// feed can no longer be relied on.
func (s *Subscription) Next() ([]wire.FeedTopic, error) { return s.next(silence) }

func (s *Subscription) next(longest time.Duration) ([]wire.FeedTopic, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(longest)) // a closed socket fails in the read
	_, m, err := s.reader.Next()
	if err != nil {
		return nil, errs.Refuse(errs.PeerLost, "%s: %v", s.conn.RemoteAddr(), err)
	}
	update, ok := m.(*wire.FeedUpdate)
	if !ok {
		return nil, errs.Refuse(errs.ProtocolMismatch, "%s sent kind %d", s.conn.RemoteAddr(), m.Kind())
	}
	if !s.any && (update.StoreUnreachable || update.SinceVerified > maxUnverified) {
		return nil, errs.Refuse(errs.StaleView, "%s has lost the store, last confirmed %s ago", s.conn.RemoteAddr(), update.SinceVerified)
	}
	return update.Topics, nil
}

// Close ends the feed.
func (s *Subscription) Close() {
	_ = s.conn.Close() // a feed that has ended needs no farewell
}
