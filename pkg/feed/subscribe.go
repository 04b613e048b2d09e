package feed

import (
	"context"
	"net"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// dialTimeout bounds the dial of another VM, which normally takes 1 ms.
	dialTimeout = 250 * time.Millisecond
	// initialStateTimeout bounds the wait for the first update, which holds the
	// full state.
	initialStateTimeout = 500 * time.Millisecond
	// heartbeatTimeout ends a subscription that gets no update: three heartbeats
	// are missing.
	heartbeatTimeout = 1100 * time.Millisecond
	// maxVerificationAge ends a subscription to a VM whose state the store has not
	// confirmed for this time. The store confirms urgent topics at least every
	// 2 s, and a change must take effect within 3 s.
	maxVerificationAge = 2300 * time.Millisecond
	// reportTimeout bounds the write of a report, whose few kilobytes fit into the
	// buffers of the connection.
	reportTimeout = 100 * time.Millisecond
	// maxReportBytes bounds a report.
	maxReportBytes = 256 << 10
)

// DialFunc opens a connection to another VM.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Subscription is an open feed from another VM.
type Subscription struct {
	conn        net.Conn
	reader      *wire.Reader
	acceptStale bool
	verifiedAt  time.Time
}

// Subscribe opens the feed of the VM at addr and returns it with the full state of
// that VM. Its errors are *errs.Refusal.
func Subscribe(ctx context.Context, dial DialFunc, addr string, request wire.FeedSubscribe) (*Subscription, []wire.FeedTopic, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := dial(dialCtx, "tcp", addr)
	if err != nil {
		return nil, nil, errs.Refuse(errs.PeerUnreachable, "%v", err)
	}
	s := &Subscription{conn: c, reader: wire.NewReader(c, maxFrameBytes), acceptStale: request.AcceptStale}
	_ = c.SetWriteDeadline(time.Now().Add(initialStateTimeout)) // a closed socket fails in the write
	if err := wire.Write(c, 0, &request, maxFrameBytes); err != nil {
		s.Close()
		return nil, nil, errs.Refuse(errs.PeerLost, "%s: %v", addr, err)
	}
	state, err := s.next(initialStateTimeout)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	return s, state, nil
}

// Next returns the next changes, or none after a heartbeat. After an error, the
// feed must no longer be used.
func (s *Subscription) Next() ([]wire.FeedTopic, error) { return s.next(heartbeatTimeout) }

func (s *Subscription) next(timeout time.Duration) ([]wire.FeedTopic, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(timeout)) // a closed socket fails in the read
	_, m, err := s.reader.Next()
	if err != nil {
		return nil, errs.Refuse(errs.PeerLost, "%s: %v", s.conn.RemoteAddr(), err)
	}
	update, ok := m.(*wire.FeedUpdate)
	if !ok {
		return nil, errs.Refuse(errs.ProtocolMismatch, "%s sent kind %d", s.conn.RemoteAddr(), m.Kind())
	}
	if !s.acceptStale && (update.StoreUnreachable || update.SinceVerified > maxVerificationAge) {
		return nil, errs.Refuse(errs.StaleView, "%s has lost the store, last confirmed %s ago", s.conn.RemoteAddr(), update.SinceVerified)
	}
	s.verifiedAt = time.Now().Add(-update.SinceVerified)
	return update.Topics, nil
}

// Report sends what this VM reports to the VM that feeds it. A VM of an older version does
// not read it. After an error nothing more can be reported.
func (s *Subscription) Report(topics []wire.FeedTopic) error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(reportTimeout)) // a closed socket fails in the write
	return wire.Write(s.conn, 0, &wire.FeedUpdate{Topics: topics}, maxReportBytes)
}

// VerifiedAt returns when the store has confirmed the state of the sender, as of
// the last update.
func (s *Subscription) VerifiedAt() time.Time { return s.verifiedAt }

// Close ends the feed.
func (s *Subscription) Close() {
	_ = s.conn.Close() // the protocol has no closing message
}
