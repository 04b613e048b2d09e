package forward

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
)

// sendEach sends some requests one after the other and returns how many were served.
func (v *virtualTier) sendEach(path string, n int, gap time.Duration) (served int) {
	for i := range n {
		if v.send(nil, path, strconv.Itoa(i)).Code == http.StatusOK {
			served++
		}
		time.Sleep(gap)
	}
	return served
}

// Guards against requests to a replica that has said in an answer that it leaves, from
// first tries, hedges and retries, and of a VM that serves relayed requests.
func TestReplicaThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	inVirtualTime(t, singleRoute(true), func(v *virtualTier) {
		leaving := v.addReplica("s", "r1", 100, always(5*time.Millisecond))
		other := v.addReplica("s", "r2", 100, always(50*time.Millisecond))
		leaving.headers = func(requestID string) string {
			if requestID >= "3" {
				return "Leaving: 1\r\n"
			}
			return ""
		}
		other.Tracker.SetDown(true)
		assert.Equal(t, v.sendEach("/p/x", 3, 10*time.Millisecond), 3)
		assert.Equal(t, v.send(nil, "/p/x", "3").Code, http.StatusOK)
		assert.Assert(t, leaving.Tracker.Leaving())
		other.Tracker.SetDown(false)
		before := leaving.requests.Load()
		assert.Equal(t, v.sendEach("/p/x", 50, 100*time.Millisecond), 50)
		assert.Equal(t, leaving.requests.Load(), before)
		assert.Assert(t, other.requests.Load() >= 50)
	})
}

// Guards against requests to a replica within the pause that it has asked for, and
// against one that stays unused after it, or for a value that is no pause.
func TestReplicaThatAsksForAPauseGetsNone(t *testing.T) {
	for value, pause := range map[string]time.Duration{
		"2": 2 * time.Second, "1.5": 1500 * time.Millisecond, "100000": maxReplicaPause,
		"": 0, "-3": 0, "0": 0, "NaN": 0, "Inf": 0, "soon": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		inVirtualTime(t, singleRoute(true), func(v *virtualTier) {
			paused := v.addReplica("s", "r1", 1000, always(time.Millisecond))
			other := v.addReplica("s", "r2", 1000, always(40*time.Millisecond))
			asks := true
			paused.refuse = func(string) bool { return asks }
			paused.headers = func(string) string {
				if asks && value != "" {
					return "Retry-After: " + value + "\r\n"
				}
				return ""
			}
			other.Tracker.SetDown(true)
			v.sendEach("/p/x", 1, 0)
			assert.Equal(t, paused.requests.Load(), int64(1), value)
			other.Tracker.SetDown(false)
			asked := time.Now()
			asks = false
			before := paused.requests.Load()
			for time.Since(asked) < pause-50*time.Millisecond {
				assert.Equal(t, v.sendEach("/p/x", 1, 20*time.Millisecond), 1, value)
				assert.Equal(t, paused.requests.Load(), before, value)
			}
			time.Sleep(100 * time.Millisecond)
			other.Tracker.SetDown(true)
			assert.Equal(t, v.sendEach("/p/x", 1, 0), 1, "%q: not used again", value)
		})
	}
}

// Guards against requests that wait though all replicas have asked for a pause, and a
// refusal that does not tell when it ends.
func TestRequestsAreRefusedAtOnceWhileAllReplicasPause(t *testing.T) {
	inVirtualTime(t, singleRoute(true), func(v *virtualTier) {
		for _, id := range []string{"r1", "r2"} {
			r := v.addReplica("s", id, 1000, always(time.Millisecond))
			r.refuse = func(string) bool { return true }
			r.headers = func(string) string { return "Retry-After: 4\r\n" }
		}
		first := v.send(nil, "/p/x", "1")
		assert.Equal(t, first.Code, http.StatusServiceUnavailable)
		time.Sleep(time.Second)
		second := v.send(nil, "/p/x", "2")
		assert.Equal(t, second.Code, http.StatusServiceUnavailable)
		assert.Assert(t, second.duration < 5*time.Millisecond)
		seconds, err := strconv.ParseFloat(second.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 2.9 && seconds < 3.1, "%f", seconds)
	})
}

// Guards against requests that were waiting for a connection when the replica asked for
// a pause, and reach it within that.
func TestWaitingRequestsAreNotSentIntoAPause(t *testing.T) {
	inVirtualTime(t, singleRoute(true), func(v *virtualTier) {
		r := v.addReplica("s", "r1", 1000, always(100*time.Millisecond))
		r.Pool.SetMaxConns(1)
		var paused atomic.Bool
		check := func() *errs.Refusal {
			if !paused.Load() {
				return nil
			}
			return errs.Refuse(errs.UpstreamShed, "paused")
		}
		call := exchange.Call{Method: "GET", Head: []byte("GET /p/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"), IDHeader: "Id", ID: "1", Check: check}
		ended := make(chan *errs.Refusal, 2)
		for range 2 {
			go func() { _, refusal := r.Pool.Do(v.t.Context(), call); ended <- refusal }()
		}
		time.Sleep(50 * time.Millisecond)
		paused.Store(true)
		first, second := <-ended, <-ended
		assert.Assert(t, first == nil, "%v", first)
		assert.Assert(t, second != nil && second.RunState == errs.DidNotRun, "%v", second)
		assert.Equal(t, r.requests.Load(), int64(1))
		paused.Store(false)
		_, refusal := r.Pool.Do(v.t.Context(), call)
		assert.Assert(t, refusal == nil, "the connection is free again: %v", refusal)
		assert.Equal(t, r.accepted.Load(), int64(1))
	})
}
