package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// responseStream is the remainder of a replica's response that is too long to be
// held in memory. The send that receives it waits until the remainder has been
// forwarded or is known not to be needed.
type responseStream struct {
	rest  io.Reader
	ended chan error
}

func newResponseStream(rest io.Reader) *responseStream {
	return &responseStream{rest: rest, ended: make(chan error, 1)}
}

// wait waits for end and returns its error, or the error of ctx if that ends first.
func (s *responseStream) wait(ctx context.Context) error {
	select {
	case err := <-s.ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// end lets the send finish. An error closes its connection.
func (s *responseStream) end(err error) { s.ended <- err }

// forwardStream copies the remainder of a response to the caller. If it fails, the
// caller's connection is closed, because the caller must not take a truncated
// response for a complete one.
func (q *query) forwardStream(caller context.Context, w http.ResponseWriter, s *responseStream) {
	stop := context.AfterFunc(caller, q.cancel)
	defer stop()
	rest := &errorCapturingReader{Reader: s.rest}
	n, err := io.Copy(w, rest)
	switch {
	case err == nil:
		s.end(nil)
		return
	case rest.err != nil:
		s.end(rest.err)
	default:
		s.end(errs.Ambiguous(errs.Canceled, "the caller has left"))
	}
	q.forwarder.log.WithFields(logrus.Fields{"id": q.id, "route": q.route.Name, "streamed_bytes": n, "error": err}).Info("response aborted while it was streamed to the caller")
	callerConnOf(caller).resetOnClose()
	panic(http.ErrAbortHandler)
}

// errorCapturingReader keeps the error of its reader, so that a failure of the
// replica can be distinguished from one of the caller.
type errorCapturingReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorCapturingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}
