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

// attempt is the state of one request from the start of Run until its reply was read
// or discarded.
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

// outcome is the reply or the error that the exchange ended with.
type outcome struct {
	status int
	body   []byte
	// err is set when there is no complete reply.
	err error
	// truncated is set if the connection ended within the body of the reply.
	truncated bool
}

// newAttempt returns an attempt whose request is not sent yet.
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

// exchange sends the request and delivers the outcome on done.
func (a *attempt) exchange(body []byte) {
	defer a.cancel()
	a.done <- a.roundTrip(body)
}

// roundTrip sends the request and reads the reply. The body has a type that net/http
// cannot rewind, so that net/http never sends the request twice.
func (a *attempt) roundTrip(body []byte) outcome {
	var once sync.Once
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn.(*trackedConn)
			conn.setUser(a)
			if a.conn.Swap(conn) == nil {
				close(a.connected)
			}
		},
		GotFirstResponseByte: func() { once.Do(func() { close(a.responded) }) },
	}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	nonRewindableBody := struct{ io.Reader }{bytes.NewReader(body)}
	url := "http://" + a.client.config.Addr + "/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nonRewindableBody)
	if err != nil {
		return outcome{err: err}
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.workTransport.RoundTrip(request)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, MaxReplyBytes+1))
	truncated := errors.Is(err, io.ErrUnexpectedEOF)
	return outcome{status: response.StatusCode, body: reply, err: err, truncated: truncated}
}

// wait returns the response or the refusal. It gives the attempt up when ctx, the
// deadline or the progress timeout ends first.
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
			return a.giveUpSilent()
		case <-deadline.C:
			return a.giveUp(errs.DeadlineExceeded)
		case <-ctx.Done():
			return a.giveUp(contextErrorCode(ctx.Err()))
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
		return a.giveUp(contextErrorCode(ctx.Err()))
	}
}

// giveUpSilent gives up an attempt that got no response byte within the progress
// timeout, and closes its connection and all idle ones. A reply that arrives before
// the connection is closed is still used.
func (a *attempt) giveUpSilent() (*RunResponse, error) {
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

// giveUp ends the wait for the reply with a refusal. If a part of the request was sent,
// the reply is read in the background, so that the connection can be used again.
func (a *attempt) giveUp(code errs.Code) (*RunResponse, error) {
	conn := a.conn.Load()
	if conn == nil || conn.sealIfUnsent(a) {
		a.cancel()
		if o := <-a.done; o.err == nil {
			return a.classify(o)
		}
		return nil, a.refuse(code, "given up before it was sent")
	}
	go a.awaitAndDiscard()
	return nil, errs.Ambiguous(code, "%s: given up while waiting for the reply", a.client.config.Replica)
}

// awaitAndDiscard waits for the outcome up to drainTimeout and discards it.
func (a *attempt) awaitAndDiscard() {
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
		a.cancel()
	}
}

// refuse returns the refusal of an attempt whose exchange has failed. Its run state is
// DidNotRun if the request had no connection or no byte of it was sent.
func (a *attempt) refuse(code errs.Code, format string, args ...any) *errs.Refusal {
	refusal := errs.Ambiguous(code, string(a.client.config.Replica)+": "+format, args...)
	conn := a.conn.Load()
	if conn == nil || conn.sealIfUnsent(a) {
		refusal.RunState = errs.DidNotRun
	}
	return refusal
}
