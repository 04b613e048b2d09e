package clienttest

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"github.com/nutmeghitch/nutmeghitch/platform"
)

const (
	// clients is the number of connections of a kind that sends much, and crowd of one
	// that does it by many connections, more than the machine has descriptors.
	clients = 240
	crowd   = 600
	// bodyBytes is the longest legal body of the stand-in's configuration, headBytes
	// somewhat less than the longest legal head.
	bodyBytes = 65536
	headBytes = 16000
	// slowRounds and slowPause are the bytes of a slow client and the time between them.
	slowRounds = 20
	slowPause  = 50 * time.Millisecond
	// blockedTimeout ends a write that the process does not read. It only bounds how much
	// a client sends, not the verdict.
	blockedTimeout = time.Second
)

// target is where clients send to.
type target struct{ addr, path, largePath string }

// client is one connection. Its errors end its part: the process may close it.
type client struct {
	net.Conn
	target
	number int
}

// send writes and reports whether all of it was taken.
func (c *client) send(content string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(blockedTimeout)) // a closed connection fails in the write
	_, err := io.WriteString(c, content)
	return err == nil
}

// head returns the start of a head, without the empty line that ends it.
func (c *client) head(method, path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: c%d\r\n%s", method, path, siteHost, platform.Headers.RequestID, c.number, fields)
}

// post returns the head of a POST with a body of n bytes.
func (c *client) post(n int) string {
	return c.head("POST", c.path, fmt.Sprintf("Content-Length: %d\r\n\r\n", n))
}

// readAnswer reads until something has come.
func (c *client) readAnswer() {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout)) // a closed connection fails in the read
	_, _ = c.Read(make([]byte, 4<<10))
}

var body = strings.Repeat("b", bodyBytes)

// shortFields returns fields of together about n bytes, as many as fit.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// play is one way to misbehave: what a client sends on its connection, which stays open
// afterwards.
type play func(c *client)

// kind is a number of clients that misbehave in the same way.
type kind struct {
	name    string
	clients int
	play    play
}

// kinds are all kinds of clients.
var kinds = []kind{
	{"bodies in one piece", clients, sendBody},
	{"bodies in small pieces", clients, sendBodyInPieces},
	{"bodies in chunks", clients, sendBodyInChunks},
	{"bodies that stop short", clients, stopShort},
	{"bodies far over the limit", clients, sendFarOverTheLimit},
	{"very many short fields", clients, sendShortFields},
	{"pipelined requests without reading", clients, pipelineWithoutReading},
	{"slow senders", crowd, sendSlowly},
	{"slow readers", crowd, readSlowly},
	{"stops halfway", crowd, stopHalfway},
}

// runAtEachTarget plays one kind of clients at each target, each with a process of its
// own.
func runAtEachTarget(t *testing.T, start func(*testing.T) *site, k kind) {
	for i, name := range []string{"route", "no_route", "ready_path"} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.check(k.clients, func(int) (target, play) { return s.targets[i], k.play })
		})
	}
}

// runMixed plays all kinds at all targets at once.
func runMixed(t *testing.T, start func(*testing.T) *site) {
	s := start(t)
	s.check(crowd, func(i int) (target, play) {
		return s.targets[i/len(kinds)%len(s.targets)], kinds[i%len(kinds)].play
	})
}

// check plays all clients at once, waits until each has done its part, and checks that the
// process lives within its machine and serves.
func (s *site) check(clients int, partOf func(number int) (target, play)) {
	s.t.Helper()
	done := make(chan struct{})
	var sampling, playing sync.WaitGroup
	sampling.Go(func() { s.sample(done) })
	for i := range clients {
		to, p := partOf(i)
		playing.Go(func() {
			dialer := net.Dialer{Timeout: waitTimeout}
			conn, err := dialer.DialContext(context.Background(), "tcp", to.addr)
			if err != nil {
				return // refusing a client is allowed
			}
			s.t.Cleanup(func() { _ = conn.Close() }) // the process may have closed it
			p(&client{Conn: conn, target: to, number: i})
		})
	}
	playing.Wait()
	s.awaitOrdinaryAnswers()
	close(done)
	sampling.Wait()
	memory := s.peakMemoryKB()
	s.t.Logf("memory %d KB, descriptors %d", memory, s.peakFDs)
	if memory > s.memoryMB<<10 {
		s.t.Errorf("the process has held %d KB, its machine has %d KB", memory, s.memoryMB<<10)
	}
	if s.peakFDs > s.maxFDs {
		s.t.Errorf("the process has had %d descriptors, its machine has %d", s.peakFDs, s.maxFDs)
	}
	if !s.alive() {
		s.t.Errorf("the process has ended\n%s", s.logTail())
	}
}

func sendBody(c *client) {
	if c.send(c.post(bodyBytes) + body) {
		c.readAnswer()
	}
}

func sendBodyInPieces(c *client) {
	const pieceBytes = 1 << 10
	sent := c.send(c.post(bodyBytes))
	for i := 0; sent && i < bodyBytes; i += pieceBytes {
		sent = c.send(body[i : i+pieceBytes])
	}
	if sent {
		c.readAnswer()
	}
}

// chunkOf returns a chunk of n bytes.
func chunkOf(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, body[:n]) }

func (c *client) chunkedPost() string {
	return c.head("POST", c.path, "Transfer-Encoding: chunked\r\n\r\n")
}

func sendBodyInChunks(c *client) {
	const chunkBytes = 256
	chunk, sent := chunkOf(chunkBytes), c.send(c.chunkedPost())
	for i := 0; sent && i < bodyBytes; i += chunkBytes {
		sent = c.send(chunk)
	}
	if sent && c.send("0\r\n\r\n") {
		c.readAnswer()
	}
}

func stopShort(c *client) { c.send(c.post(bodyBytes) + body[1:]) }

func sendFarOverTheLimit(c *client) {
	const pieces = 64
	first, piece := c.post(1<<30), body
	if c.number%2 == 0 {
		first, piece = c.chunkedPost(), chunkOf(bodyBytes)
	}
	sent := c.send(first)
	for i := 0; sent && i < pieces; i++ {
		sent = c.send(piece)
	}
}

const longHeadBytes = 240 << 10

var legalFields, longFields = shortFields(headBytes), shortFields(longHeadBytes)

// sendShortFields sends a legal head with a body that stops, a legal head without its
// end, or a long head without its end.
func sendShortFields(c *client) {
	switch c.number % 3 {
	case 0:
		c.send(c.head("POST", c.path, legalFields) + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + body[:100])
	case 1:
		c.send(c.head("GET", c.path, legalFields))
	default:
		c.send(c.head("GET", c.path, longFields))
	}
}

func pipelineWithoutReading(c *client) {
	const requests = 1000
	c.send(strings.Repeat(c.head("GET", c.largePath, "\r\n"), requests))
}

func sendSlowly(c *client) {
	sent := c.send(c.post(bodyBytes))
	for i := 0; sent && i < slowRounds; i++ {
		time.Sleep(slowPause)
		sent = c.send("b")
	}
}

func readSlowly(c *client) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(1 << 10) // a larger buffer only takes more of the answer
	}
	sent := c.send(strings.Repeat(c.head("GET", c.largePath, "\r\n"), 3))
	var err error
	for i := 0; sent && err == nil && i < slowRounds; i++ {
		_ = c.SetReadDeadline(time.Now().Add(blockedTimeout)) // a closed connection fails in the read
		_, err = c.Read(make([]byte, 1))
		time.Sleep(slowPause)
	}
}

// stopHalfway stops in the middle of a head or of a body.
func stopHalfway(c *client) {
	if c.number%2 == 0 {
		c.send(c.head("POST", c.path, strings.Repeat("F: v\r\n", 100)))
		return
	}
	c.send(c.post(bodyBytes) + body[:bodyBytes/2])
}

// Guards against memory that many legal bodies take at once.
func TestBodiesInOnePiece(t *testing.T) { runAtEachTarget(t, startSite, kinds[0]) }

// Guards against memory that legal bodies take which come in small pieces.
func TestBodiesInSmallPieces(t *testing.T) { runAtEachTarget(t, startSite, kinds[1]) }

// Guards against memory that legal bodies take whose length is not known before.
func TestBodiesInChunks(t *testing.T) { runAtEachTarget(t, startSite, kinds[2]) }

// Guards against bodies that lack their last byte and hold their memory as long as their
// senders like.
func TestBodiesThatStopShort(t *testing.T) { runAtEachTarget(t, startSite, kinds[3]) }

// Guards against bodies far beyond the limit that are taken into memory.
func TestBodiesFarOverTheLimit(t *testing.T) { runAtEachTarget(t, startSite, kinds[4]) }

// Guards against heads whose fields take a multiple of their bytes in memory.
func TestVeryManyShortFields(t *testing.T) { runAtEachTarget(t, startSite, kinds[5]) }

// Guards against answers that pile up for a client which sends request after request
// without reading.
func TestPipelinedRequestsWithoutReading(t *testing.T) {
	runAtEachTarget(t, startSite, kinds[6])
}

// Guards against connections that send a byte now and then and hold a descriptor each.
func TestSlowSenders(t *testing.T) { runAtEachTarget(t, startSite, kinds[7]) }

// Guards against long answers that are held for clients which read a byte now and then.
func TestSlowReaders(t *testing.T) { runAtEachTarget(t, startSite, kinds[8]) }

// Guards against connections that stop in the middle of a head or a body and stay open.
func TestStopsHalfway(t *testing.T) { runAtEachTarget(t, startSite, kinds[9]) }

// Guards against limits that each hold alone and not together: all kinds at all targets
// at once.
func TestMixedClients(t *testing.T) { runMixed(t, startSite) }

// Guards against connections that stop in their first message at the port for other VMs.
func TestStopsHalfwayAtThePeerPort(t *testing.T) {
	const maxMessageBytes = 64 << 10 // of the first message
	message, err := wire.Append(nil, 0, &wire.FeedSubscribe{VM: body[:maxMessageBytes/2]}, maxMessageBytes)
	assert.NilError(t, err)
	start := string(message[:len(message)-1])
	s := startSite(t)
	s.check(crowd, func(int) (target, play) {
		return target{addr: s.settings.PeersAddr}, func(c *client) { c.send(start) }
	})
}
