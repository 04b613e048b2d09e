package edge

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/connbudget"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// refusal answers a client for which the budget has no place while its head is not
	// complete: nothing has run.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout bounds the write of a refusal, which fits into an empty buffer.
	refusalTimeout = 10 * time.Millisecond
	// serverBufferBytes is the read buffer of net/http, which may hold the start of the
	// next request when an answer has been written.
	serverBufferBytes = 4 << 10
	// manyLines is the number of lines in that buffer from which on it counts as the start
	// of a head. Ordinary requests have fewer.
	manyLines = 256
)

// clientConn is a connection whose client's requests and unread answers count against the
// budget. Only one goroutine reads it at a time, and one writes it.
type clientConn struct {
	*net.TCPConn
	budget *clientBudget
	id     connbudget.ID
	port   connbudget.Port
	head   headLines
	// lastLines is the number of line ends in what was read last, if it may still be in the
	// buffer of the server.
	lastLines int
	// readSinceIdle is set once something has been read for the next request.
	readSinceIdle bool
	// fieldBytes is what counts for the lines of the head.
	fieldBytes int64
	// refused is set once the budget has refused the connection.
	refused bool
	// answering is set while an answer is written.
	answering atomic.Bool
	// written is set if a part of an answer may not have been read yet.
	written atomic.Bool
	// trusted is set once the connection is known to be one of another VM, whose bytes are
	// bounded by what serves it.
	trusted atomic.Bool
}

// headLines counts the lines of heads: each may become a field, which takes more memory
// than its bytes.
type headLines struct {
	// reading is set until the empty line that ends a head.
	reading bool
	// lineBytes is the length of the incomplete line.
	lineBytes int
}

// begin starts another head.
func (h *headLines) begin() { *h = headLines{reading: true} }

// count returns how many lines end in the part of p that belongs to the head.
func (h *headLines) count(p []byte) int {
	lines := 0
	for h.reading && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.lineBytes += len(p)
			return lines
		}
		lines++
		h.reading = h.lineBytes+end > len("\r")
		h.lineBytes, p = 0, p[end+1:]
	}
	return lines
}

// Read implements net.Conn. What the budget refuses is not handed to the server, which
// would allocate memory for it.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, io.EOF
	}
	n, err := c.TCPConn.Read(p)
	if n == 0 || c.trusted.Load() {
		return n, err
	}
	inHead, lines := c.head.reading, c.head.count(p[:n])
	if inHead {
		c.fieldBytes += connbudget.FieldBytes * int64(lines)
	}
	c.lastLines, c.readSinceIdle = 0, true
	if n <= serverBufferBytes {
		c.lastLines = bytes.Count(p[:n], []byte{'\n'})
	}
	if c.hold(int64(n + connbudget.FieldBytes*lines)) {
		return n, err
	}
	c.refused = true
	if inHead && c.port != connbudget.Peers {
		c.refuse()
		return 0, io.EOF
	}
	return 0, errs.Refuse(errs.MemoryLimit, "clients hold more than their share of the memory")
}

// hold reports whether the connection may hold more bytes. It waits for connections that
// were told to close to free theirs.
func (c *clientConn) hold(n int64) bool {
	b := c.budget
	b.mu.Lock()
	verdict := b.budget.Hold(time.Now(), c.id, n)
	if granted := b.apply(verdict, c.port); !verdict.Wait {
		return granted
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.awaitDrained(c)
}

// refuse answers a request whose head is not complete.
func (c *clientConn) refuse() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // a closed connection fails in the write
	_, _ = io.WriteString(c.TCPConn, refusal)              // the client may have left
}

// Write implements net.Conn. While a client does not read, it holds what is written. The
// answer exists already, so that it is written also if the budget has no place for it.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.trusted.Load() {
		return c.TCPConn.Write(p)
	}
	c.answering.Store(true)
	c.written.Store(true)
	before, held := c.beginAnswer(len(p))
	n, err := c.TCPConn.Write(p)
	c.endAnswer(before, held)
	c.answering.Store(false)
	return n, err
}

// beginAnswer returns what the connection did before, and the bytes that count for the
// write. Those of the server's buffer belong to the connection.
func (c *clientConn) beginAnswer(n int) (before connbudget.Phase, held int64) {
	b, now := c.budget, time.Now()
	b.mu.Lock()
	before = b.budget.SetPhase(now, c.id, connbudget.Answering)
	if n <= serverBufferBytes {
		b.mu.Unlock()
		return before, 0
	}
	verdict := b.budget.Hold(now, c.id, int64(n))
	victims := b.remove(verdict.Close)
	b.mu.Unlock()
	closeClients(victims)
	if verdict.Granted {
		held = int64(n)
	}
	return before, held
}

func (c *clientConn) endAnswer(before connbudget.Phase, held int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.budget.Release(c.id, held)
	c.budget.budget.SetPhase(time.Now(), c.id, before)
}

// headRead is called when the head of a request has been read. Of requests that came
// together, each waits for its turn: goroutines that never wait would keep the processor for
// 10 ms each, which is seconds with a crowd of them.
func (c *clientConn) headRead() {
	c.head.reading = false
	if !c.readSinceIdle {
		runtime.Gosched()
	}
}

// becomeIdle is called when an answer has been written completely.
func (c *clientConn) becomeIdle() {
	c.head.begin()
	c.readSinceIdle, c.fieldBytes = false, 0
	c.budget.mu.Lock()
	c.budget.budget.SetPhase(time.Now(), c.id, connbudget.Idle)
	c.budget.mu.Unlock()
	if c.lastLines >= manyLines && !c.hold(int64(connbudget.FieldBytes*c.lastLines)) {
		c.refused = true
	}
}

// RequestReceived tells that a request is complete: the connection is then not closed
// until an answer is written. One of another VM counts no more.
func (c *clientConn) RequestReceived() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.port != connbudget.Peers {
		c.budget.budget.SetPhase(time.Now(), c.id, connbudget.Serving)
		return
	}
	c.trusted.Store(true)
	c.budget.forget(c)
}

// CloseWrite is called by net/http before it waits for 500 ms, so that the client reads
// its answer before the connection is closed. The head is still held then.
func (c *clientConn) CloseWrite() error {
	c.budget.mu.Lock()
	c.budget.budget.ReleaseAllBut(c.id, connbudget.ConnBytes+c.fieldBytes)
	c.budget.ended.Broadcast()
	c.budget.mu.Unlock()
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.budget.mu.Lock()
	c.budget.forget(c)
	c.budget.mu.Unlock()
	return c.TCPConn.Close()
}
