package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
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
	// Body is sent with a Content-Length header unless it is nil.
	Body []byte
	// IDHeader is the name of the header that replicas copy from the request into
	// the response, ID its value. Both are empty for health probes.
	IDHeader, ID string
	// MaxIdleTime is the longest time that a reused connection may have been idle;
	// 0 is no limit. A request that must not be repeated needs a connection that was
	// used recently: a replica may drop an idle one without notice.
	MaxIdleTime time.Duration
	// StreamResponse receives a response longer than streamThresholdBytes while it
	// is still arriving: reply.Body holds its first bytes, and rest reads the others
	// and returns an error if the response is cut off. Do returns after it; an error
	// of StreamResponse closes the connection. When StreamResponse is nil, the whole
	// response is buffered, and one longer than maxBufferedBytes fails.
	StreamResponse func(reply Reply, rest io.Reader) error
	// BeforeSend is called just before the request is written to the connection.
	BeforeSend func()
}

// Reply is a complete response, or the first part of one that is passed to
// Call.StreamResponse.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends one request and reads its response. When ctx ends, Do returns at once
// and closes the connection, which cancels the request at the replica.
func (p *Pool) Do(ctx context.Context, call Call) (Reply, *errs.Refusal) {
	c, refusal := p.acquireConn(ctx, call.MaxIdleTime)
	if refusal != nil {
		return Reply{}, refusal
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline) // on a closed socket the exchange itself fails
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if call.BeforeSend != nil {
		call.BeforeSend()
	}
	reply, reuse, err := c.exchange(call)
	if !stop() {
		reuse = false
	}
	p.releaseConn(c, reuse && err == nil)
	if err != nil {
		return Reply{}, classifyError(ctx, p.addr, err)
	}
	return reply, nil
}

// classifyError returns the refusal for a request that was sent to addr and failed
// with err. Such a request may have run.
func classifyError(ctx context.Context, addr string, err error) *errs.Refusal {
	var refusal *errs.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errs.Ambiguous(errs.DeadlineExceeded, "%s: %v", addr, err)
	case ctx.Err() != nil:
		return errs.Ambiguous(errs.Canceled, "%s: %v", addr, err)
	default:
		return errs.Ambiguous(errs.UpstreamLost, "%s: %v", addr, err)
	}
}

// exchange writes the request and reads its response. It reports whether the
// connection can be reused.
func (c *conn) exchange(call Call) (Reply, bool, error) {
	written, err := c.send(call)
	if err != nil {
		return Reply{}, false, err
	}
	reply, reuse, err := c.receive(call)
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
// goroutine while the response is read. The channel receives the result of the
// write.
func (c *conn) send(call Call) (<-chan error, error) {
	written := make(chan error, 1)
	var b bytes.Buffer
	b.Grow(len(call.Head) + 32 + min(len(call.Body), maxInlineBodyBytes))
	b.Write(call.Head)
	if call.Body != nil {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(call.Body) <= maxInlineBodyBytes {
		b.Write(call.Body)
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	if len(call.Body) <= maxInlineBodyBytes {
		written <- nil
		return written, nil
	}
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
		response, err := c.readHead(call.Method)
		if err != nil {
			return Reply{}, false, err
		}
		body, err := readBody(response, call.bufferLimitBytes())
		if err != nil {
			return Reply{}, false, err
		}
		if call.IDHeader != "" {
			echoed := response.Header.Get(call.IDHeader)
			if echoed != "" && echoed != call.ID && !response.Close {
				continue
			}
			if echoed != call.ID && (echoed != "" || response.StatusCode < http.StatusMultipleChoices) {
				break
			}
		}
		c.idleTimeout = idleTimeout(response.Header)
		reuse := !response.Close && response.ContentLength >= 0 || isChunked(response)
		reply := Reply{Status: response.StatusCode, Header: response.Header, Body: body}
		if len(body) > call.bufferLimitBytes() {
			if err := call.StreamResponse(reply, response.Body); err != nil {
				return Reply{}, false, err
			}
		}
		return reply, reuse && !response.Close && c.reader.Buffered() == 0, nil
	}
	return Reply{}, false, errs.Ambiguous(errs.ResponseMismatch, "%s: the answer belongs to another request", c.RemoteAddr())
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) == 1 && r.TransferEncoding[0] == "chunked"
}

// readHead reads the status line and the headers of the next response that is not
// informational (1xx).
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// bufferLimitBytes returns how many bytes of a response body are buffered.
func (c Call) bufferLimitBytes() int {
	if c.StreamResponse != nil {
		return streamThresholdBytes
	}
	return maxBufferedBytes
}

// readBody reads a body of up to limitBytes, or the first limitBytes+1 bytes of a
// longer one.
func readBody(response *http.Response, limitBytes int) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= int64(limitBytes) {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limitBytes)+1))
	if err == nil && len(body) > limitBytes && limitBytes == maxBufferedBytes {
		return nil, errs.Ambiguous(errs.TooLarge, "the answer exceeds %d bytes", maxBufferedBytes)
	}
	return body, err
}

// idleTimeout returns how long the connection may stay idle. It is taken from the
// Keep-Alive header, in which the replica states its timeout in whole seconds.
func idleTimeout(header http.Header) time.Duration {
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
