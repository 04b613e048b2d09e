package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

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

// stuckWriter blocks until it is released.
type stuckWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that wait for the log. The writer is never released while requests are answered.
func TestStuckLogWriterDelaysNoRequest(t *testing.T) {
	release := make(chan struct{})
	log := logging.NewAsyncWriter(stuckWriter{release}, 4)
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
	assert.Assert(t, log.DroppedLines() > 0)
}

// Guards against routing lines that do not say for which query, what and why.
func TestRoutingLinesAreComplete(t *testing.T) {
	var out bytes.Buffer
	log := logging.NewAsyncWriter(&out, 1<<16)
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
		if strings.Contains(line, "batch of groups sent to an owner") {
			routed++
			for _, field := range []string{" query=", " choice=", " reason="} {
				assert.Assert(t, strings.Contains(line, field), line)
			}
		}
	}
	assert.Assert(t, routed > 0)
}
