package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// longAnswer is the rest of a replica's answer that is too long to be held. The
// send that reads it waits until it has been passed on or is not wanted.
type longAnswer struct {
	rest  io.Reader
	ended chan error
}

func newLongAnswer(rest io.Reader) *longAnswer {
	return &longAnswer{rest: rest, ended: make(chan error, 1)}
}

// wait returns how the passing on ended, or the end of the query.
func (l *longAnswer) wait(ctx context.Context) error {
	select {
	case err := <-l.ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// end lets the send go on; with an error its connection is closed.
func (l *longAnswer) end(err error) { l.ended <- err }

// passOn copies the rest to the caller. One that breaks off must not look
// complete, so the caller's connection is then closed.
func (q *query) passOn(caller context.Context, w http.ResponseWriter, l *longAnswer) {
	stop := context.AfterFunc(caller, q.cancel)
	defer stop()
	rest := &failingReader{Reader: l.rest}
	n, err := io.Copy(w, rest)
	switch {
	case err == nil:
		l.end(nil)
		return
	case rest.err != nil:
		l.end(rest.err)
	default:
		l.end(errs.Ambiguous(errs.Canceled, "the caller has left"))
	}
	q.f.log.WithFields(logrus.Fields{"id": q.id, "route": q.route.Name, "bytes": n, "error": err}).Info("answer broken off")
	panic(http.ErrAbortHandler)
}

// failingReader keeps the error of its reader, so that a failure of the replica
// is told from one of the caller.
type failingReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *failingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}
