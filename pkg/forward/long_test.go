package forward

import (
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// longBody is longer than what is held of an answer.
var longBody = strings.Repeat("0123456789abcdef", 1<<16)

// Guards against long answers that fail, change on their way, or take a
// connection with them.
func TestLongAnswerIsPassedOn(t *testing.T) {
	for name, length := range map[string]string{"with a length": strconv.Itoa(len(longBody)), "in chunks": ""} {
		s := newSite(t, plain(false))
		u := s.replica(s.group("s", 0), "r1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Receipt", "r")
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, longBody)
		})
		for i := range 3 {
			status, header, body := s.ask("POST", "/p/", strconv.Itoa(i), "x")
			assert.Equal(t, status, http.StatusOK, name)
			assert.Equal(t, header.Get("Receipt"), "r", name)
			assert.Equal(t, header.Get("Content-Length"), length, name)
			assert.Assert(t, body == longBody, name)
		}
		_, _, dials := u.Pool.Stats()
		assert.Equal(t, dials, uint64(1), name)
	}
}

// Guards against a long answer that breaks off and looks complete.
func TestLongAnswerThatBreaksOffIsNotComplete(t *testing.T) {
	for name, length := range map[string]string{"with a length": strconv.Itoa(len(longBody)), "in chunks": ""} {
		s := newSite(t, plain(false))
		s.replica(s.group("s", 0), "r1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Receipt", "r")
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, longBody[:len(longBody)/2])
			panic(http.ErrAbortHandler)
		})
		request, err := http.NewRequestWithContext(t.Context(), "POST", s.entry.URL+"/p/", strings.NewReader("x"))
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

// Guards against a long answer that is not wanted and keeps its connection in
// use for good.
func TestUnwantedLongAnswerFreesItsConnection(t *testing.T) {
	s := newSite(t, plain(true))
	g := s.group("s", 10)
	bad := s.replica(g, "bad", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, longBody) })
	s.replica(g, "good", serves("g", "fine")).Tracker.Local = false // the other is preferred
	status, _, body := s.ask("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "fine")
	ctx := t.Context()
	for open, _, _ := bad.Pool.Stats(); open > 0 && ctx.Err() == nil; open, _, _ = bad.Pool.Stats() {
		runtime.Gosched()
	}
}
