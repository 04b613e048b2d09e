package exchange

import (
	"bufio"
	"io"
	"net/http/httputil"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// freeBodyBytes is the length up to which a buffered body is not counted
	// against the memory budget. The usual answers are shorter, and the number of
	// sends bounds what they hold together.
	freeBodyBytes = 8 << 10
	// bodyGrowthBytes is the first capacity of the buffer of a body of unknown
	// length, which is then doubled.
	bodyGrowthBytes = 2 << 10
)

// Memory bounds the bytes that all buffered bodies of a VM hold together. Its
// methods may be called concurrently.
type Memory struct {
	mu         sync.Mutex
	limitBytes int64
	heldBytes  int64
}

// NewMemory returns a budget of limitBytes; 0 means no limit.
func NewMemory(limitBytes int64) *Memory { return &Memory{limitBytes: limitBytes} }

// Held returns the bytes that are held now.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldBytes
}

// take reports whether n more bytes may be held, and counts them if so.
func (m *Memory) take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limitBytes > 0 && m.heldBytes+n > m.limitBytes {
		return false
	}
	m.heldBytes += n
	return true
}

func (m *Memory) giveBack(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldBytes -= n
}

// Holding is the part of a Memory that the bodies of one request hold. Its methods
// may be called concurrently.
type Holding struct {
	memory *Memory
	mu     sync.Mutex
	bytes  int64
	ended  bool
}

// NewHolding returns an empty holding.
func (m *Memory) NewHolding() *Holding { return &Holding{memory: m} }

// take counts n more bytes, or returns a refusal.
func (h *Holding) take(n int64) error {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return errs.Ambiguous(errs.Canceled, "the request has ended")
	}
	if !h.memory.take(n) {
		return errs.Ambiguous(errs.MemoryLimit, "the bodies that this VM buffers would exceed %d bytes", h.memory.limitBytes)
	}
	h.bytes += n
	return nil
}

// End gives back what the holding has. Bodies that count against the budget are
// not buffered any more.
func (h *Holding) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.ended = true
		h.memory.giveBack(h.bytes)
	}
}

// bodyReader returns a reader that ends with the body. For a body without a length
// the end of the connection is the end of the body.
func (h *responseHead) bodyReader(r *bufio.Reader) io.Reader {
	switch {
	case h.chunked:
		return &chunkedBody{data: httputil.NewChunkedReader(r), conn: r}
	case h.contentLength >= 0:
		return &sizedBody{conn: r, left: h.contentLength}
	default:
		return r
	}
}

// sizedBody reads a body of known length.
type sizedBody struct {
	conn *bufio.Reader
	left int64
}

// Read implements io.Reader. A connection that ends early is an error.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left > 0 && errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a chunked body and its trailer, which is discarded.
type chunkedBody struct {
	data  io.Reader
	conn  *bufio.Reader
	ended bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.data.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := skipTrailer(b.conn); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// skipTrailer reads the lines after the last chunk up to the empty one.
func skipTrailer(r *bufio.Reader) error {
	raw, err := readHeadBytes(r, nil, maxTrailerBytes)
	if err != nil {
		return err
	}
	trailer := string(raw)
	// Other readers of HTTP do not take a bare line feed for the end of a trailer, and
	// would read on where this one stops.
	if trailer != "\r\n" && !strings.HasSuffix(trailer, "\r\n\r\n") {
		return invalidResponse("the trailer ends without an empty line of CRLF")
	}
	line, rest := cutLine(trailer)
	for ; line != ""; line, rest = cutLine(rest) {
		if _, ok := parseField(line); !ok {
			return invalidResponse("malformed trailer line %.40q", line)
		}
	}
	return nil
}

// ReadBody buffers a body of up to limitBytes, or the first limitBytes+1 bytes of a
// longer one. The buffer grows with what arrives, whatever length the head states,
// and what it holds counts against the holding.
func ReadBody(r io.Reader, contentLength int64, limitBytes int, holding *Holding) ([]byte, error) {
	if contentLength >= 0 && contentLength <= freeBodyBytes {
		body := make([]byte, contentLength)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body := make([]byte, 0, bodyGrowthBytes)
	for len(body) <= limitBytes {
		if len(body) == cap(body) {
			grown := min(2*cap(body), limitBytes+1)
			if err := takeGrowth(holding, cap(body), grown); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// takeGrowth counts the growth of a buffer beyond freeBodyBytes.
func takeGrowth(holding *Holding, before, after int) error {
	before, after = max(0, before-freeBodyBytes), max(0, after-freeBodyBytes)
	if after == before {
		return nil
	}
	return holding.take(int64(after - before))
}
