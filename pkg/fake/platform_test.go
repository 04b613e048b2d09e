package fake

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// call makes one call and returns its status code, body and ETag.
func call(t *testing.T, p *Platform, method, path, body string, header ...string) (int, string, string) {
	t.Helper()
	request, err := http.NewRequest(method, p.URL()+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := single.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data), response.Header.Get("ETag")
}

// Guards against a stand-in whose status codes differ from docs/protocol.md.
func TestPlatformStatusCodes(t *testing.T) {
	p := NewPlatform(PlatformConfig{History: 2, ValueLimit: 8})
	defer p.Close()
	status, _, etag := call(t, p, "PUT", "/objects/a/b", "1", "If-None-Match", "*")
	assert.Equal(t, status, http.StatusOK)
	status, _, _ = call(t, p, "PUT", "/objects/a/b", "2", "If-None-Match", "*")
	assert.Equal(t, status, http.StatusPreconditionFailed)
	status, _, second := call(t, p, "PUT", "/objects/a%2Fb", "2", "If-Match", etag)
	assert.Equal(t, status, http.StatusOK)
	status, _, _ = call(t, p, "DELETE", "/objects/a/b", "", "If-Match", etag)
	assert.Equal(t, status, http.StatusPreconditionFailed)
	status, body, read := call(t, p, "GET", "/objects/a/b", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "2")
	assert.Equal(t, read, second)
	status, body, _ = call(t, p, "GET", "/objects?prefix=a/", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `[{"key":"a/b","value":"Mg==","version":"3"}]`)
	status, _, _ = call(t, p, "PUT", "/objects/big", "123456789")
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	status, body, _ = call(t, p, "GET", "/watch?prefix=a/&after=2&timeout_ms=0", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `{"revision":3,"events":[{"key":"a/b","version":"3","deleted":false}]}`)
	status, _, _ = call(t, p, "DELETE", "/objects/a/b", "")
	assert.Equal(t, status, http.StatusNoContent)
	status, _, _ = call(t, p, "GET", "/watch?prefix=a/&after=1&timeout_ms=0", "")
	assert.Equal(t, status, http.StatusGone)
	status, _, _ = call(t, p, "GET", "/objects/a/b", "")
	assert.Equal(t, status, http.StatusNotFound)
	p.Throttle(1)
	status, _, _ = call(t, p, "GET", "/vms", "")
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.DeepEqual(t, p.Calls(), PlatformCalls{Get: 2, Put: 4, Delete: 2, List: 1, Watch: 2, VMs: 1, Throttled: 1})
}

// Guards against a rate limit that lets everything or nothing through.
func TestBucketHoldsOneSecond(t *testing.T) {
	b := bucket{rate: 2}
	now := time.Now()
	taken := 0
	for range 5 {
		if b.take(now) {
			taken++
		}
	}
	assert.Equal(t, taken, 2)
	assert.Assert(t, b.take(now.Add(500*time.Millisecond)))
	assert.Assert(t, !b.take(now.Add(500*time.Millisecond)))
}
