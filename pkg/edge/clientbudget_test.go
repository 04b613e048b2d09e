package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/connbudget"
)

// startPort returns the address of a server whose connections count against the callers'
// share of a VM with so much memory. It answers with the length of the body.
func startPort(t *testing.T, memoryBytes int64) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := listen("127.0.0.1:0")
	assert.NilError(t, err)
	budget := newClientBudget(Settings{MemoryBytes: memoryBytes, Descriptors: 100}, log, tally.NoopScope)
	server := &http.Server{ConnState: connStateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprint(w, len(body)) // the client may have left
	})}
	go func() { _ = server.Serve(budget.listener(connbudget.Callers, l)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// ask sends requests on one connection and returns the status of each answer.
func ask(t *testing.T, addr string, requests ...string) []int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, strings.Join(requests, ""))
	assert.NilError(t, err)
	var statuses []int
	r := bufio.NewReader(c)
	for range requests {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

// Guards against a single legal request that is refused although nothing is wrong, and
// against one that the port has no memory for and that is not refused with a 503.
func TestRequestsAreRefusedOnlyBeyondTheShare(t *testing.T) {
	manyFields := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n"
	longBody := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 256<<10, strings.Repeat("\n", 256<<10))
	ordinary := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

	large := startPort(t, 184<<20)
	assert.DeepEqual(t, ask(t, large, longBody, manyFields, ordinary), []int{200, 200, 200})
	small := startPort(t, 1<<20)
	assert.DeepEqual(t, ask(t, small, manyFields), []int{503})
	assert.DeepEqual(t, ask(t, small, longBody), []int{503})
	assert.DeepEqual(t, ask(t, small, ordinary, ordinary), []int{200, 200})
}

// Guards against lines of a head that are missed where it comes in pieces, and against
// those of a body that count.
func TestLinesOfHeadsAreCounted(t *testing.T) {
	const head, body = "GET / HTTP/1.1\r\nHost: h\r\na:\n\r\n", "x\r\n\r\ny\n"
	for pieceBytes := 1; pieceBytes <= len(head+body); pieceBytes++ {
		var h headLines
		h.begin()
		lines := 0
		for rest := head + body; rest != ""; {
			n := min(pieceBytes, len(rest))
			lines += h.count([]byte(rest[:n]))
			rest = rest[n:]
		}
		assert.Equal(t, lines, 4, "pieces of %d bytes", pieceBytes)
		assert.Assert(t, !h.reading)
	}
}

// Guards against connections of other VMs that use up the share of those that have not
// sent a message yet: a large site keeps hundreds of them.
func TestKnownVMsDoNotCount(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := listen("127.0.0.1:0")
	assert.NilError(t, err)
	budget := newClientBudget(Settings{Descriptors: 100}, log, tally.NoopScope)
	bounded := budget.listener(connbudget.Peers, l)
	defer bounded.Close()
	for range 2 * minPortConns {
		vm, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer vm.Close()
		c, err := bounded.Accept()
		assert.NilError(t, err)
		defer c.Close()
		c.(*clientConn).RequestReceived()
		conns, bytes := budget.budget.Held(connbudget.Peers)
		assert.Equal(t, conns, 0)
		assert.Equal(t, bytes, int64(0))
	}
}
