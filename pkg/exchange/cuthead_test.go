package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Guards against an answer that ends within its head, where the replica closes or resets
// the connection, and counts as complete with an empty or short body.
func TestAnswerThatEndsWithinItsHeadFails(t *testing.T) {
	const body = "0123456789abcdef"
	for name, framing := range map[string]string{
		"with a length":           "Content-Length: 16\r\n\r\n" + body,
		"in chunks":               "Transfer-Encoding: chunked\r\n\r\n10\r\n" + body + "\r\n0\r\n\r\n",
		"without a length":        "Connection: close\r\n\r\n" + body,
		"after an informational":  "Content-Length: 16\r\n\r\n" + body,
		"a length as last header": "Receipt: r\r\nContent-Length: 16\r\n\r\n" + body,
	} {
		answer := "HTTP/1.1 200 OK\r\nId: 1\r\nReceipt: r\r\n" + framing
		if strings.HasPrefix(name, "after") {
			answer = "HTTP/1.1 100 Continue\r\nId: 1\r\n\r\n" + answer
		}
		end := strings.LastIndex(answer, "\r\n\r\n") + len("\r\n\r\n")
		if strings.HasPrefix(name, "in chunks") {
			end = len(answer)
		}
		for cut := range end {
			for _, reset := range []bool{false, true} {
				server := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
					readRequest(r)
					_, _ = io.WriteString(c, answer[:cut])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed socket
					}
				})
				pool := server.pool(1)
				reply, refusal := exchangeOnce(t, pool, callWithID("1"))
				pool.Close()
				what := fmt.Sprintf("%s, reset %t, cut after %q", name, reset, answer[:cut])
				assert.Assert(t, refusal != nil, "%s: taken for %+v", what, reply)
				assert.Equal(t, refusal.RunState, errs.MayHaveRun, what)
			}
		}
	}
}
