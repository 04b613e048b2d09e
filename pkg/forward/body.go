package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

const (
	// DefaultBodyStall is the longest time without a byte of a request's body where the
	// settings name none. Senders on poor links pause for seconds.
	DefaultBodyStall = 10 * time.Second
	// unreadBodyGrace is how long a refusal waits for the rest of a body, most of which
	// has then arrived with the head, so that the connection can be kept.
	unreadBodyGrace = 20 * time.Millisecond
	// bodyMemoryRetryAfter is the Retry-After of requests whose body finds no memory: the
	// bodies before it arrive or time out within seconds.
	bodyMemoryRetryAfter = time.Second
)

// SetBodyStall sets the longest time without a byte of a request's body, after which the
// request is refused; 0 stands for DefaultBodyStall.
func (f *Forwarder) SetBodyStall(d time.Duration) {
	if d <= 0 {
		d = DefaultBodyStall
	}
	f.bodyStall.Store(int64(d))
}

// readBody returns the whole body of a request, nil if the request has none. It waits no
// longer than until the deadline of the request, as a later answer is of no use, and for
// each byte no longer than the bound that SetBodyStall sets. What the body takes of the
// memory for bodies counts against holding.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, limits routes.Limits, deadline time.Time, holding *exchange.Holding) ([]byte, *errs.Refusal) {
	if r.Body == nil || r.Body == http.NoBody || (r.ContentLength == 0 && len(r.TransferEncoding) == 0) {
		return nil, nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, errs.Refuse(errs.TooLarge, "body of %d bytes exceeds %d", r.ContentLength, limit)
	}
	bounded := &boundedBody{body: http.MaxBytesReader(w, r.Body, limit), conn: http.NewResponseController(w), stall: time.Duration(f.bodyStall.Load()), deadline: deadline}
	body, err := exchange.ReadBody(bounded, r.ContentLength, int(limit), holding)
	bounded.end(f.log)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, errs.Refuse(errs.TooLarge, "body exceeds %d bytes", limit)
	case errs.Is(err, errs.MemoryLimit):
		return nil, errs.Refuse(errs.MemoryLimit, "no memory is left for the body, %d of its bytes had arrived", bounded.bytes).WithRetryAfter(bodyMemoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Until(deadline) <= 0:
		return nil, errs.Refuse(errs.DeadlineExceeded, "the body was not complete in time, %d bytes had arrived", bounded.bytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errs.Refuse(errs.BodyTimeout, "no byte of the body for %s, %d had arrived", bounded.stall, bounded.bytes)
	default:
		return nil, errs.Refuse(errs.Canceled, "reading the body: %v", err)
	}
}

// boundedBody is a body that fails if a byte of it does not arrive in time.
type boundedBody struct {
	body     io.Reader
	conn     *http.ResponseController
	stall    time.Duration
	deadline time.Time
	// bytes is the number of bytes that have arrived.
	bytes int
	// unbounded is the error of a connection that cannot bound a read.
	unbounded error
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	until := time.Now().Add(b.stall)
	if until.After(b.deadline) {
		until = b.deadline
	}
	b.unbounded = b.conn.SetReadDeadline(until)
	n, err := b.body.Read(p)
	b.bytes += n
	return n, err
}

// end removes the bound: the HTTP server goes on to read the connection, to learn when
// the caller leaves.
func (b *boundedBody) end(log logrus.FieldLogger) {
	if err := errors.CombineErrors(b.unbounded, b.conn.SetReadDeadline(time.Time{})); err != nil && !errors.Is(err, http.ErrNotSupported) {
		log.WithField("error", err).Info("the time to read a body was not bounded: the connection has ended")
	}
}

// boundUnreadBody keeps the HTTP server from waiting for the rest of a body that is not
// needed before it writes a refusal.
func boundUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// It fails on a connection that has ended.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyGrace))
	}
}
