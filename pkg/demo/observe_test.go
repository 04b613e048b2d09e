package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// post sends one request and returns its status.
func post(t *testing.T, vm *testcluster.VM, path, key, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+vm.Callers+path, strings.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

func scrape(t *testing.T, vm *testcluster.VM) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+vm.Operators+"/metrics", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testcluster.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

// awaitMetrics polls until /metrics has every text.
func awaitMetrics(t *testing.T, vm *testcluster.VM, want ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := scrape(t, vm)
		for _, w := range want {
			if !strings.Contains(got, w) {
				return poll.Continue("no %s", w)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// documented returns the names of the table of metrics.
func documented(t *testing.T) []string {
	page, err := os.ReadFile("../../docs/operations.md")
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(page), "\n## Metrics\n")
	assert.Assert(t, found)
	var names []string
	for line := range strings.Lines(table) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(cells[1], -1) {
				names = append(names, m[1])
			}
		}
	}
	assert.Assert(t, len(names) > 20, "%v", names)
	return names
}

// Guards against a metric that the operators' page names and /metrics does not
// have, against a metric that no page names, and against counters that do not
// count.
func TestDocumentedMetricsExist(t *testing.T) {
	cluster, err := Site(t.Context(), Config{Site: "msaada", Seed: 1, Progress: io.Discard})
	assert.NilError(t, err)
	defer cluster.Close()
	vm := cluster.Running()[0]
	assert.Equal(t, post(t, vm, "/v1/search/rostering", "", `{"query":{}}`), http.StatusOK)
	for range 2 {
		assert.Equal(t, post(t, vm, "/v1/call/itinerary-lookup/book", "k1", `{"id":"MS-000001"}`), http.StatusOK)
	}
	var want []string
	known := map[string]bool{}
	for _, name := range documented(t) {
		known[name] = true
		want = append(want, "# TYPE nutmeghitch_"+name+" ")
	}
	labels := `{domain="nbo-a",`
	awaitMetrics(t, vm, append(want,
		"nutmeghitch_config_version"+labels+`vm="vm-1"} 1`,
		"nutmeghitch_vms_alive"+labels+`vm="vm-1"} 5`,
		"nutmeghitch_claims"+labels+`verdict="granted",vm="vm-1"} 1`,
		"nutmeghitch_claims"+labels+`verdict="repeated",vm="vm-1"} 1`,
		"nutmeghitch_platform_calls"+labels+`kind="watch",vm="vm-1"} `,
	)...)
	for _, m := range regexp.MustCompile(`# TYPE nutmeghitch_([a-z_]+) `).FindAllStringSubmatch(scrape(t, vm), -1) {
		assert.Assert(t, known[m[1]], "%s is not in docs/operations.md", m[1])
	}
}

// stuckWriter blocks until it is released.
type stuckWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that wait for the log, and against lost lines that
// no metric shows. The writer is never released while requests are answered.
func TestStuckLogWriterDelaysNoRequest(t *testing.T) {
	release := make(chan struct{})
	log := logging.NewAsync(stuckWriter{release}, 4)
	defer func() {
		close(release)
		assert.Check(t, log.Close(context.Background()))
	}()
	cluster, err := Site(t.Context(), Config{Site: "msaada", Seed: 1, Progress: io.Discard, Log: log})
	assert.NilError(t, err)
	defer cluster.Close()
	vm := cluster.Running()[0]
	for range 20 {
		assert.Equal(t, post(t, vm, "/v1/search/rostering", "", `{"query":{}}`), http.StatusOK)
	}
	assert.Assert(t, log.Dropped() > 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if regexp.MustCompile(`nutmeghitch_log_lines_dropped\{.*\} [1-9]`).MatchString(scrape(t, vm)) {
			return poll.Success()
		}
		return poll.Continue("no dropped lines in /metrics")
	}, poll.WithTimeout(30*time.Second))
}

// Guards against routing lines that do not say for which query, what and why.
func TestRoutingLinesAreComplete(t *testing.T) {
	var out bytes.Buffer
	log := logging.NewAsync(&out, 1<<16)
	cluster, err := Site(t.Context(), Config{Site: "podstavek", Seed: 1, Progress: io.Discard, Log: log})
	assert.NilError(t, err)
	vm := cluster.Running()[0]
	search := ""
	for _, r := range mixOf(cluster) {
		if r.Search && search == "" {
			search = string(r.Service)
		}
	}
	assert.Equal(t, post(t, vm, "/v1/search/"+search, "", `{"query":{}}`), http.StatusOK)
	cluster.Close()
	assert.NilError(t, log.Close(t.Context()))
	routed := 0
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, "Routed groups.") {
			routed++
			for _, field := range []string{" query=", " choice=", " reason="} {
				assert.Assert(t, strings.Contains(line, field), line)
			}
		}
	}
	assert.Assert(t, routed > 0)
}
