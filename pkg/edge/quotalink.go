package edge

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// maxQuotaFrameBytes bounds a message about caps: a tenant's name has up to 256 bytes.
	maxQuotaFrameBytes = 2 << 10
	// quotaDialTimeout bounds a dial, whose handshake takes two times 3.9 ms at most.
	quotaDialTimeout = 100 * time.Millisecond
	// quotaWriteTimeout bounds the writing of a message, which fits into the buffer of
	// the socket.
	quotaWriteTimeout = 20 * time.Millisecond
	// quotaPause is how long requests of callers do not ask a VM that has failed, or has
	// not answered in time.
	quotaPause = 250 * time.Millisecond
	// maxQuotaPending bounds the requests to one VM that wait for answers: a second of the
	// largest tenants at one VM.
	maxQuotaPending = 512
)

// quotaLink is the connection to another VM for requests about caps. It is opened by the
// first one and opened again after a failure. It is safe for concurrent use.
type quotaLink struct {
	vm   discovery.VM
	dial relay.DialFunc
	// onSilent is called when the VM has closed a new connection without an answer, as
	// one of an older build does. onAnswer is called with each answer.
	onSilent, onAnswer func()

	mu         sync.Mutex
	conn       net.Conn
	connecting bool
	closed     bool
	// pending holds what waits for the answer of each stream.
	pending map[uint64]func(*wire.QuotaReply)
	// unsent holds messages that wait for the connection.
	unsent      []byte
	stream      uint64
	lastUsed    time.Time
	pausedUntil time.Time
	// writing is held while a message is written.
	writing sync.Mutex
}

// usable reports whether requests of callers may wait for an answer.
func (l *quotaLink) usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.pausedUntil.After(now)
}

// pause makes requests of callers ask others for a while.
func (l *quotaLink) pause(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedUntil = now.Add(quotaPause)
}

// send sends a request. onReply is called once, with nil if there is no answer, but not
// before the connection has ended.
func (l *quotaLink) send(ctx context.Context, request *wire.QuotaRequest, onReply func(*wire.QuotaReply)) {
	l.mu.Lock()
	l.stream++
	frame, err := wire.Append(nil, l.stream, request, maxQuotaFrameBytes)
	if err != nil || l.closed || len(l.pending) >= maxQuotaPending {
		l.mu.Unlock()
		onReply(nil)
		return
	}
	l.pending[l.stream] = onReply
	l.lastUsed = time.Now()
	c := l.conn
	if c == nil {
		l.unsent = append(l.unsent, frame...)
		if !l.connecting {
			l.connecting = true
			go l.connect(ctx)
		}
	}
	l.mu.Unlock()
	if c != nil {
		l.write(c, frame)
	}
}

// write writes frames. If that fails, the connection is closed, which ends its reader.
func (l *quotaLink) write(c net.Conn, frames []byte) {
	l.writing.Lock()
	defer l.writing.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(quotaWriteTimeout)) // a closed socket fails in the write
	if _, err := c.Write(frames); err != nil {
		_ = c.Close() // its reader reports the end
	}
}

// connect opens the connection and reads answers until it ends.
func (l *quotaLink) connect(ctx context.Context) {
	dialCtx, cancel := context.WithTimeout(ctx, quotaDialTimeout)
	c, err := l.dial(dialCtx, "tcp", l.vm.PeerAddr)
	cancel()
	if err != nil {
		l.ended()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends the reader
	defer stop()
	l.mu.Lock()
	if l.closed {
		_ = c.Close() // nothing was sent on it
	}
	l.conn, l.connecting = c, false
	frames := l.unsent
	l.unsent = nil
	l.mu.Unlock()
	go l.write(c, frames)
	answers, err := l.read(c)
	_ = c.Close() // nothing is read from it any more
	// A VM of an older build closes the connection, and resets it if it has not read all.
	if answers == 0 && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) {
		l.onSilent()
	}
	l.ended()
}

// read passes answers on until the connection ends, and returns their number.
func (l *quotaLink) read(c net.Conn) (int, error) {
	reader := wire.NewReader(c, maxQuotaFrameBytes)
	for n := 0; ; n++ {
		stream, m, err := reader.Next()
		if err != nil {
			return n, err
		}
		reply, ok := m.(*wire.QuotaReply)
		if !ok {
			return n, errs.Refuse(errs.ProtocolMismatch, "kind %d in place of an answer about caps", m.Kind())
		}
		l.mu.Lock()
		onReply := l.pending[stream]
		delete(l.pending, stream)
		l.pausedUntil = time.Time{}
		l.mu.Unlock()
		l.onAnswer()
		if onReply != nil {
			onReply(reply)
		}
	}
}

// ended reports to all that wait that there is no answer.
func (l *quotaLink) ended() {
	l.mu.Lock()
	pending := l.pending
	l.pending, l.conn, l.connecting, l.unsent = map[uint64]func(*wire.QuotaReply){}, nil, false, nil
	l.pausedUntil = time.Now().Add(quotaPause)
	l.mu.Unlock()
	for _, onReply := range pending {
		onReply(nil)
	}
}

// idleSince returns when the link was last used, and whether nothing waits for an answer.
func (l *quotaLink) idleSince() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastUsed, len(l.pending) == 0 && !l.connecting
}

// close ends the use of the link.
func (l *quotaLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.Close() // its reader reports the end
	}
}
