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
	// inlineBody is the largest body that is written before the answer is
	// read. It fits into any socket's buffer, so the write cannot block on a
	// replica that answers first.
	inlineBody = 4 << 10
	// maxBufferedBytes bounds a response that is buffered until it is complete. A
	// fan-out query buffers one response of each shard.
	maxBufferedBytes = 4 << 20
	// streamThresholdBytes is the length above which a response is handed to
	// Call.StreamResponse, if that is set, instead of being buffered whole.
	streamThresholdBytes = 256 << 10
	// maxStrays is the number of answers to other requests that are skipped
	// before a connection is given up.
	maxStrays = 2
)

// Call is one request to a replica.
type Call struct {
	Method string
	// Head is the request line and the header lines, without the blank line
	// and without the length of the body.
	Head []byte
	// Body is sent with its length unless it is nil.
	Body []byte
	// IDHeader is the header that replicas echo, ID its value. Health probes
	// have none.
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

// Reply is a whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes one exchange. It ends at once when ctx ends; the connection is then
// closed, which cancels the request at the replica.
func (p *Pool) Do(ctx context.Context, call Call) (Reply, *errs.Refusal) {
	c, refusal := p.take(ctx, call.MaxIdleTime)
	if refusal != nil {
		return Reply{}, refusal
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline) // a closed socket fails in the exchange
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if call.BeforeSend != nil {
		call.BeforeSend()
	}
	reply, reuse, err := c.exchange(call)
	if !stop() {
		reuse = false
	}
	p.put(c, reuse && err == nil)
	if err != nil {
		return Reply{}, failure(ctx, p.addr, err)
	}
	return reply, nil
}

// failure returns the refusal of a request that was sent.
func failure(ctx context.Context, addr string, err error) *errs.Refusal {
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

// exchange writes the request and reads its answer.
func (c *conn) exchange(call Call) (Reply, bool, error) {
	written, err := c.send(call)
	if err != nil {
		return Reply{}, false, err
	}
	reply, reuse, err := c.receive(call)
	select {
	case sent := <-written:
		return reply, reuse && sent == nil, err
	default:
		// The replica answered before it read the whole body. What it reads
		// next would be the rest of it, so the connection ends here.
		return reply, false, err
	}
}

// send writes the request. A long body is written beside the reading of the
// answer; the channel gets the outcome.
func (c *conn) send(call Call) (<-chan error, error) {
	written := make(chan error, 1)
	var b bytes.Buffer
	b.Grow(len(call.Head) + 32 + min(len(call.Body), inlineBody))
	b.Write(call.Head)
	if call.Body != nil {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(call.Body) <= inlineBody {
		b.Write(call.Body)
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	if len(call.Body) <= inlineBody {
		written <- nil
		return written, nil
	}
	go func() {
		_, err := c.Write(call.Body)
		written <- err
	}()
	return written, nil
}

// receive reads answers until one belongs to the request.
func (c *conn) receive(call Call) (Reply, bool, error) {
	for range maxStrays + 1 {
		response, err := c.readHead(call.Method)
		if err != nil {
			return Reply{}, false, err
		}
		body, err := readBody(response, call.held())
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
		c.keep = keepFor(response.Header)
		reuse := !response.Close && response.ContentLength >= 0 || isChunked(response)
		reply := Reply{Status: response.StatusCode, Header: response.Header, Body: body}
		if len(body) > call.held() {
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

// readHead reads the head of the next final answer.
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

// held returns how much of an answer is held in memory.
func (c Call) held() int {
	if c.StreamResponse != nil {
		return streamThresholdBytes
	}
	return maxBufferedBytes
}

// readBody reads a body of up to held bytes, or one byte more of a longer one.
func readBody(response *http.Response, held int) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= int64(held) {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(held)+1))
	if err == nil && len(body) > held && held == maxBufferedBytes {
		return nil, errs.Ambiguous(errs.TooLarge, "the answer exceeds %d bytes", maxBufferedBytes)
	}
	return body, err
}

// keepFor returns how long the connection may stay unused, by the time-out
// that the replica states in whole seconds.
func keepFor(header http.Header) time.Duration {
	_, stated, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return defaultIdle
	}
	stated, _, _ = strings.Cut(stated, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(stated))
	if err != nil || seconds < 0 {
		return defaultIdle
	}
	return max(0, time.Duration(seconds)*time.Second-idleMargin)
}
