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

// Guards against any unintended change to what replicas and callers receive, from
// the request line to the last header. `go test ./pkg/forward -update` rewrites the
// golden file.
func TestWholeSession(t *testing.T) {
	tier := newTestTier(t, singleRoute(false), fanOutRoute(0.6, "a", "b", "c"))
	var mu sync.Mutex
	var received []string
	recordRequest := func(name string, h handler) handler {
		return func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // a short read shows in the golden file
			mu.Lock()
			received = append(received, fmt.Sprintf("  %s gets %s %s host=%s %s body=%q", name, r.Method, r.RequestURI, r.Host, headerText(r.Header), body))
			mu.Unlock()
			h(w, r)
		}
	}
	tier.addReplica(tier.addService("s", 5), "s1", recordRequest("s1", respondWith("rs", "single answer")))
	tier.addReplica(tier.addService("a", 5), "a1", recordRequest("a1", respondWith("ra", record("1")+record("5"))))
	tier.addReplica(tier.addService("b", 5), "b1", recordRequest("b1", respondWith("rb", record("9")+record("3"))))
	tier.addService("c", 5)
	var session strings.Builder
	for i, step := range []struct{ method, path, body string }{
		{"GET", "/p/one%20item?q=1&q=2", ""},
		{"POST", "/p/order", "two chairs"},
		{"GET", "/a/all", ""},
		{"GET", "/unknown/", ""},
		{"POST", "/p/long", strings.Repeat("x", 1001)},
	} {
		status, header, body := tier.send(step.method, step.path, fmt.Sprint("id-", i), step.body)
		mu.Lock()
		slices.Sort(received)
		fmt.Fprintf(&session, "%s %s\n%s\n  answer %d %s body=%q\n", step.method, step.path, strings.Join(received, "\n"), status, headerText(header), body)
		received = nil
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
