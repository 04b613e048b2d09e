package forward

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/golden"
)

// Guards against any change of what replicas and callers see on the wire, from
// the request line to the last header. `go test ./pkg/forward -update` writes
// the file anew.
func TestWholeSession(t *testing.T) {
	s := newSite(t, plain(false), fanOut(0.6, "a", "b", "c"))
	var mu sync.Mutex
	var seen []string
	records := func(name string, h handler) handler {
		return func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // the golden file shows what came
			mu.Lock()
			seen = append(seen, fmt.Sprintf("  %s gets %s %s host=%s %s body=%q", name, r.Method, r.RequestURI, r.Host, headerText(r.Header), body))
			mu.Unlock()
			h(w, r)
		}
	}
	s.replica(s.group("s", 5), "s1", records("s1", serves("rs", "single answer")))
	s.replica(s.group("a", 5), "a1", records("a1", serves("ra", record("1")+record("5"))))
	s.replica(s.group("b", 5), "b1", records("b1", serves("rb", record("9")+record("3"))))
	s.group("c", 5)
	var session strings.Builder
	for i, step := range []struct{ method, path, body string }{
		{"GET", "/p/one%20item?q=1&q=2", ""},
		{"POST", "/p/order", "two chairs"},
		{"GET", "/a/all", ""},
		{"GET", "/unknown/", ""},
		{"POST", "/p/long", strings.Repeat("x", 1001)},
	} {
		status, header, body := s.ask(step.method, step.path, fmt.Sprint("id-", i), step.body)
		mu.Lock()
		slices.Sort(seen)
		fmt.Fprintf(&session, "%s %s\n%s\n  answer %d %s body=%q\n", step.method, step.path, strings.Join(seen, "\n"), status, headerText(header), body)
		seen = nil
		mu.Unlock()
	}
	golden.Assert(t, session.String(), "session.golden")
}

// headerText returns the headers that do not change from run to run.
func headerText(h http.Header) string {
	var out []string
	for name, values := range h {
		if name == testHeaders.Deadline || name == "Date" {
			values = []string{"(varies)"}
		}
		out = append(out, fmt.Sprintf("%s=%q", name, strings.Join(values, "|")))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
