package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against metrics that are not exported, against a registration that
// fails because two VMs run in one process, and against a vm label that
// differs from the VM's name.
func TestHandlerServesScope(t *testing.T) {
	var failures []error
	onError := func(err error) { failures = append(failures, err) }
	for _, vm := range []string{"nbo-a-1", "b1"} {
		m := New(map[string]string{"vm": vm}, onError)
		m.Scope.SubScope("gateway").Tagged(map[string]string{"service": "billing"}).Counter("hedges").Inc(3)
		m.Scope.Histogram("query_latency", LatencyBuckets).RecordDuration(2 * time.Millisecond)
		assert.NilError(t, m.Close())
		w := httptest.NewRecorder()
		m.Handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		body := w.Body.String()
		assert.Assert(t, strings.Contains(body, `nutmeghitch_gateway_hedges{service="billing",vm="`+vm+`"} 3`), body)
		assert.Assert(t, strings.Contains(body, `nutmeghitch_query_latency_bucket{vm="`+vm+`",le="0.00189`), body)
		assert.Assert(t, strings.Contains(body, `nutmeghitch_query_latency_count{vm="`+vm+`"} 1`), body)
	}
	assert.Equal(t, len(failures), 0)
}
