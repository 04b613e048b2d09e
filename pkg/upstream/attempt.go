package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// attempt is one request on its way.
type attempt struct {
	client    *Client
	request   RunRequest
	ctx       context.Context // ends with the client or when the attempt is given up
	cancel    context.CancelFunc
	conn      atomic.Pointer[trackedConn]
	connected chan struct{} // closed when the request has a connection
	responded chan struct{} // closed at the first response byte
	done      chan outcome
}

// outcome is what the exchange ended with.
type outcome struct {
	status int
	body   []byte
	// err is set when there is no complete reply.
	err error
	// truncated tells that the reply began and ended early.
	truncated bool
}

// newAttempt returns an attempt that was not sent yet.
func newAttempt(c *Client, r RunRequest) *attempt {
	ctx, cancel := context.WithCancel(c.ctx)
	return &attempt{
		client:    c,
		request:   r,
		ctx:       ctx,
		cancel:    cancel,
		connected: make(chan struct{}),
		responded: make(chan struct{}),
		done:      make(chan outcome, 1),
	}
}

// exchange sends the request and reads the reply.
func (a *attempt) exchange(body []byte) {
	defer a.cancel()
	a.done <- a.roundTrip(body)
}

// roundTrip performs the HTTP exchange. The body is no type that net/http can
// rewind, so net/http never sends it twice.
func (a *attempt) roundTrip(body []byte) outcome {
	var once sync.Once
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn.(*trackedConn)
			conn.begin(a)
			if a.conn.Swap(conn) == nil {
				close(a.connected)
			}
		},
		GotFirstResponseByte: func() { once.Do(func() { close(a.responded) }) },
	}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	rewindless := struct{ io.Reader }{bytes.NewReader(body)}
	url := "http://" + a.client.config.Addr + "/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, rewindless)
	if err != nil {
		return outcome{err: err}
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.work.RoundTrip(request)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, MaxReplyBytes+1))
	truncated := errors.Is(err, io.ErrUnexpectedEOF)
	return outcome{status: response.StatusCode, body: reply, err: err, truncated: truncated}
}

// wait returns the outcome, or gives the attempt up when its context, its
// deadline or its progress bound ends first.
func (a *attempt) wait(ctx context.Context) (*RunResponse, error) {
	deadline := time.NewTimer(time.Until(a.request.Deadline))
	defer deadline.Stop()
	connected := a.connected
	var progress <-chan time.Time
	for {
		select {
		case o := <-a.done:
			return a.classify(o)
		case <-connected:
			connected = nil
			if a.request.ProgressTimeout > 0 {
				timer := time.NewTimer(a.request.ProgressTimeout)
				defer timer.Stop()
				progress = timer.C
			}
		case <-a.responded:
			return a.waitForBody(ctx, deadline)
		case <-progress:
			return a.silent()
		case <-deadline.C:
			return a.giveUp(errs.DeadlineExceeded)
		case <-ctx.Done():
			return a.giveUp(endCode(ctx.Err()))
		}
	}
}

// waitForBody waits for the rest of a reply that has begun.
func (a *attempt) waitForBody(ctx context.Context, deadline *time.Timer) (*RunResponse, error) {
	select {
	case o := <-a.done:
		return a.classify(o)
	case <-deadline.C:
		return a.giveUp(errs.DeadlineExceeded)
	case <-ctx.Done():
		return a.giveUp(endCode(ctx.Err()))
	}
}

// silent gives up an attempt without a response byte. Its connection is closed
// and all idle ones are retired. A reply that arrives in the last moment is
// still used.
func (a *attempt) silent() (*RunResponse, error) {
	select {
	case <-a.responded:
		return a.classify(<-a.done)
	default:
	}
	a.cancel()
	o := <-a.done
	if o.err == nil {
		return a.classify(o)
	}
	a.client.retireIdle()
	return nil, a.refuse(errs.ConnectionSilent, "no response byte within %v", a.request.ProgressTimeout)
}

// giveUp returns without the reply. If the request has left, its reply is
// drained in the background, so that the connection can be used again.
func (a *attempt) giveUp(code errs.Code) (*RunResponse, error) {
	conn := a.conn.Load()
	if conn == nil || conn.sealUnused(a) {
		a.cancel()
		if o := <-a.done; o.err == nil {
			return a.classify(o)
		}
		return nil, a.refuse(code, "given up before it was sent")
	}
	go a.drain()
	return nil, errs.Ambiguous(code, "%s: given up while waiting for the reply", a.client.config.Replica)
}

// drain waits for the outcome within a bound and drops it.
func (a *attempt) drain() {
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
		a.cancel()
	}
}

// refuse returns a refusal of an attempt whose exchange has failed. It did not
// run if it never had a connection or no byte of it left.
func (a *attempt) refuse(code errs.Code, format string, args ...any) *errs.Refusal {
	refusal := errs.Ambiguous(code, string(a.client.config.Replica)+": "+format, args...)
	conn := a.conn.Load()
	if conn == nil || conn.sealUnused(a) {
		refusal.RunState = errs.DidNotRun
	}
	return refusal
}
