package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// longBody is longer than the part of a response that is held in memory.
var longBody = strings.Repeat("0123456789abcdef", 1<<16)

// Guards against long responses that fail, are changed, or leave their connection
// unusable.
func TestLongResponseIsStreamed(t *testing.T) {
	for name, length := range map[string]string{"with a length": strconv.Itoa(len(longBody)), "in chunks": ""} {
		tier := newTestTier(t, singleRoute(false))
		u := tier.addReplica(tier.addService("s", 0), "r1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Receipt", "r")
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, longBody)
		})
		for i := range 3 {
			status, header, body := tier.send("POST", "/p/", strconv.Itoa(i), "x")
			assert.Equal(t, status, http.StatusOK, name)
			assert.Equal(t, header.Get("Receipt"), "r", name)
			assert.Equal(t, header.Get("Content-Length"), length, name)
			assert.Assert(t, body == longBody, name)
		}
		_, _, dials := u.Pool.Stats()
		assert.Equal(t, dials, uint64(1), name)
	}
}

// Guards against a truncated long response that looks complete to the caller.
func TestTruncatedLongResponseIsNotComplete(t *testing.T) {
	for name, length := range map[string]string{"with a length": strconv.Itoa(len(longBody)), "in chunks": ""} {
		tier := newTestTier(t, singleRoute(false))
		tier.addReplica(tier.addService("s", 0), "r1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Receipt", "r")
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, longBody[:len(longBody)/2])
			panic(http.ErrAbortHandler)
		})
		request, err := http.NewRequestWithContext(t.Context(), "POST", tier.server.URL+"/p/", strings.NewReader("x"))
		assert.NilError(t, err)
		request.Host = "h.example"
		request.Header.Set("Id", "1")
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, err != nil, name)
	}
}

// Guards against a truncated long response that looks complete to a caller of
// HTTP/1.0, for which the end of the connection is the end of the answer.
func TestTruncatedLongResponseIsNotCompleteForHTTP10(t *testing.T) {
	tier := newTestTier(t, singleRoute(false))
	tier.addReplica(tier.addService("s", 0), "r1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Receipt", "r")
		_, _ = io.WriteString(w, longBody[:len(longBody)/2])
		panic(http.ErrAbortHandler)
	})
	c, err := net.Dial("tcp", tier.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /p/ HTTP/1.0\r\nHost: h.example\r\nId: 1\r\n\r\n")
	assert.NilError(t, err)
	answer, err := io.ReadAll(c)
	assert.Assert(t, err != nil, "%d bytes and an orderly end", len(answer))
}

// Guards against a rejected long response that keeps its connection in use for ever.
func TestRejectedLongResponseFreesItsConnection(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	replicas := tier.addService("s", 10)
	bad := tier.addReplica(replicas, "bad", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, longBody) })
	tier.addReplica(replicas, "good", respondWith("g", "fine")).Tracker.Local = false // the other replica is preferred
	status, _, body := tier.send("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "fine")
	ctx := t.Context()
	for open, _, _ := bad.Pool.Stats(); open > 0 && ctx.Err() == nil; open, _, _ = bad.Pool.Stats() {
		runtime.Gosched()
	}
}

// Guards against a replica that ends in the middle of a long answer and whose request
// counts as successful because the answer had begun.
func TestBrokenLongResponseClearsNoCrashReports(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	tier.addReplica(tier.addService("s", 0), "r1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Receipt", "r")
		if r.URL.Path == "/p/breaks" {
			_, _ = io.WriteString(w, longBody[:len(longBody)/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, longBody)
	})
	for _, path := range []string{"/p/breaks", "/p/succeeds"} {
		request := httptest.NewRequest("GET", path, nil)
		attempt := requestAttempt(request.Method, targetOf(request), tier.table.Routes[0], nil, "127.0.0.1", nil, "")
		tier.ledger.RecordLoss(time.Now(), "", "x", []uint64{attempt.Fingerprint})
		request, err := http.NewRequestWithContext(t.Context(), "GET", tier.server.URL+path, nil)
		assert.NilError(t, err)
		request.Host = "h.example"
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.Equal(t, err == nil, path == "/p/succeeds", path)
		assert.NilError(t, response.Body.Close())
		cleared := func() bool {
			tier.mu.Lock()
			defer tier.mu.Unlock()
			return slices.Contains(tier.cleared, attempt.Fingerprint)
		}
		if path == "/p/succeeds" {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if cleared() {
					return poll.Success()
				}
				return poll.Continue("the success is not recorded yet")
			})
		}
		assert.Equal(t, cleared(), path == "/p/succeeds", path)
		assert.Equal(t, tier.ledger.Check(time.Now(), attempt.Exact) == poison.Proven, path == "/p/succeeds", path)
	}
}
