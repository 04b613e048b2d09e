package exchange

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the response is
	// read. It fits into the send buffer of any socket, so the write cannot block
	// while the replica responds without reading the body.
	maxInlineBodyBytes = 4 << 10
	// maxBufferedBytes bounds a response that is buffered until it is complete. A
	// fan-out query buffers one response of each shard.
	maxBufferedBytes = 4 << 20
	// streamThresholdBytes is the length above which a response is handed to
	// Call.StreamResponse, if that is set, instead of being buffered whole.
	streamThresholdBytes = 256 << 10
	// maxSkippedResponses is the number of responses to other requests that are
	// skipped before the connection is closed.
	maxSkippedResponses = 2
)

// Call is one request to a replica.
type Call struct {
	Method string
	// Head is the request line and the header lines, without Content-Length and
	// without the empty line at the end.
	Head []byte
	// AppendFields appends further header lines when the request is written, which may be
	// long after Do was called; nil appends none.
	AppendFields func(b []byte) []byte
	// Body is sent with a Content-Length header unless it is nil.
	Body []byte
	// IDHeader is the name of the header that replicas copy from the request into
	// the response, ID its value. A response with another one, or without it, is not
	// the answer, whatever its status: a late refusal of an earlier request must not
	// say that this one did not run. A health probe has no ID.
	IDHeader, ID string
	// MaxIdleTime is the longest time that a reused connection may have been idle;
	// 0 is no limit. A request that must not be repeated needs a connection that was
	// used recently: a replica may drop an idle one without notice.
	MaxIdleTime time.Duration
	// Holding counts the memory of the buffered response; nil is no limit.
	Holding *Holding
	// Check is called before the request is written, which may be long after Do was
	// called; nil allows every request. A refusal of it is that of Do.
	Check func() *errs.Refusal
	// StreamResponse receives a response longer than streamThresholdBytes while it
	// is still arriving: reply.Body holds its first bytes, and rest reads the others
	// and returns an error if the response is cut off. Do returns after it; an error
	// of StreamResponse closes the connection. When StreamResponse is nil, the whole
	// response is buffered, and one longer than maxBufferedBytes fails.
	StreamResponse func(reply Reply, rest io.Reader) error
}

// Reply is a complete response, or the first part of one that is passed to
// Call.StreamResponse.
type Reply struct {
	Status int
	Header Header
	Body   []byte
}

// Do sends one request and reads its response. When ctx ends, Do returns at once
// and closes the connection, which cancels the request at the replica.
func (p *Pool) Do(ctx context.Context, call Call) (Reply, *errs.Refusal) {
	if refusal := p.acquireSlot(ctx); refusal != nil {
		return Reply{}, refusal
	}
	for {
		c, refusal := p.takeConn(ctx, call.MaxIdleTime)
		if refusal != nil {
			return Reply{}, refusal
		}
		if call.Check != nil {
			if refusal := call.Check(); refusal != nil {
				p.releaseConn(c, true) // nothing was written to it
				return Reply{}, refusal
			}
		}
		// The deadline of ctx needs no deadline of the connection besides.
		stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		reply, reuse, err := c.exchange(call)
		if !stop() {
			reuse = false
		}
		if errors.Is(err, errNotIdle) && ctx.Err() == nil {
			c.discard() // nothing was sent on it
			continue
		}
		p.releaseConn(c, reuse && err == nil)
		if err != nil {
			return Reply{}, classifyError(ctx, p.addr, err)
		}
		return reply, nil
	}
}

// classifyError returns the refusal for a request to addr that failed with err. The
// request may have run, unless the connection was not idle.
func classifyError(ctx context.Context, addr string, err error) *errs.Refusal {
	var refusal *errs.Refusal
	switch {
	case errors.Is(err, errNotIdle):
		return errs.Refuse(errs.Canceled, "%s: %v", addr, ctx.Err())
	case errors.As(err, &refusal):
		named := *refusal // others may hold the original, which ended a stream
		named.Detail = addr + ": " + refusal.Detail
		return &named
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errs.Ambiguous(errs.DeadlineExceeded, "%s: %v", addr, err)
	case ctx.Err() != nil:
		return errs.Ambiguous(errs.Canceled, "%s: %v", addr, err)
	default:
		return errs.Ambiguous(errs.UpstreamLost, "%s: %v", addr, err)
	}
}

// exchange writes the request and reads its response. It reports whether the
// connection can be reused. After errNotIdle nothing was written.
func (c *conn) exchange(call Call) (Reply, bool, error) {
	written, err := c.send(call)
	if err != nil {
		return Reply{}, false, err
	}
	reply, reuse, err := c.receive(call)
	if written == nil {
		return reply, reuse, err
	}
	select {
	case writeErr := <-written:
		return reply, reuse && writeErr == nil, err
	default:
		// The replica responded before it had read the whole body. It would take
		// the next request for the rest of the body, so the connection is not
		// reused.
		return reply, false, err
	}
}

// send writes the request. A body longer than maxInlineBodyBytes is written in a
// goroutine while the response is read; the channel then receives the result.
func (c *conn) send(call Call) (<-chan error, error) {
	b := append(c.scratch[:0], call.Head...)
	if call.AppendFields != nil {
		b = call.AppendFields(b)
	}
	if call.Body != nil {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(call.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	inline := len(call.Body) <= maxInlineBodyBytes
	if inline {
		b = append(b, call.Body...)
	}
	c.scratch = b
	if err := c.writeIfIdle(b, inline); err != nil {
		return nil, err
	}
	if inline {
		return nil, nil
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(call.Body)
		written <- err
	}()
	return written, nil
}

// receive reads responses until one carries the id of the request. It reports
// whether the connection can be reused.
func (c *conn) receive(call Call) (Reply, bool, error) {
	for range maxSkippedResponses + 1 {
		head, err := readHead(c.reader, call.Method, &c.scratch)
		if err != nil {
			return Reply{}, false, err
		}
		content := head.bodyReader(c.reader)
		body, err := ReadBody(content, head.contentLength, call.bufferLimitBytes(), call.Holding)
		if err != nil {
			return Reply{}, false, err
		}
		if len(body) > maxBufferedBytes {
			return Reply{}, false, invalidResponse("the answer exceeds %d bytes", maxBufferedBytes)
		}
		if call.IDHeader != "" {
			echoed := head.header.Get(call.IDHeader)
			if echoed != "" && echoed != call.ID && !head.close && len(body) <= call.bufferLimitBytes() {
				continue
			}
			if echoed != call.ID {
				break
			}
		}
		c.idleTimeout = idleTimeout(head.header)
		reply := Reply{Status: head.status, Header: head.header, Body: body}
		if len(body) > call.bufferLimitBytes() {
			if err := call.StreamResponse(reply, content); err != nil {
				return Reply{}, false, err
			}
		}
		return reply, !head.close && c.reader.Buffered() == 0, nil
	}
	return Reply{}, false, errs.Ambiguous(errs.ResponseMismatch, "the answer belongs to another request")
}

// bufferLimitBytes returns how many bytes of a response body are buffered.
func (c Call) bufferLimitBytes() int {
	if c.StreamResponse != nil {
		return streamThresholdBytes
	}
	return maxBufferedBytes
}

// idleTimeout returns how long the connection may stay idle. It is taken from the
// Keep-Alive header, in which the replica states its timeout in whole seconds.
func idleTimeout(header Header) time.Duration {
	_, value, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return defaultIdleTimeout
	}
	value, _, _ = strings.Cut(value, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds < 0 {
		return defaultIdleTimeout
	}
	return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
}
