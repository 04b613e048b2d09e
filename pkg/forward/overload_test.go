package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against queries beyond what the replicas bear that are all sent: each
// then finds some shard full and none is answered. The excess must be refused
// as not run, without a send, and later queries must be served again.
func TestExcessQueriesAreRefusedBeforeTheyRun(t *testing.T) {
	s := newSite(t, fanOut(1, "a", "b"))
	release := make(chan struct{})
	hold := func(w http.ResponseWriter, r *http.Request) {
		<-release
		serves("r", record("1"))(w, r)
	}
	s.view.VMs = 4
	s.replica(s.group("a", 0), "a1", hold)
	s.replica(s.group("b", 0), "b1", hold)
	const callers = 40
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		refused int
	)
	limits := s.view.limits(s.table.Routes[0])
	for i := range callers {
		group.Go(func() {
			status, header, _ := s.ask("GET", "/a/", fmt.Sprint(i), "")
			if status != http.StatusOK {
				assert.Check(t, status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests, "%d", status)
				assert.Check(t, header.Get("Retry-After") != "")
				mu.Lock()
				defer mu.Unlock()
				refused++
				if refused == callers-limits.Concurrency {
					close(release)
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, refused, callers-limits.Concurrency)
	assert.Equal(t, len(s.arrivals()), 2*limits.Concurrency)
	status, _, _ := s.ask("GET", "/a/", "again", "")
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a bound that counts replicas that cannot be reached, or that
// a shard which the coverage can do without lowers.
func TestLimitsFollowTheWeakestNeededShard(t *testing.T) {
	s := newSite(t, fanOut(0.6, "a", "b", "c"))
	down := s.upstream(s.group("a", 0), "a1", "127.0.0.1:1")
	s.upstream(s.view.Groups["a"], "a2", "127.0.0.1:1")
	s.upstream(s.group("b", 0), "b1", "127.0.0.1:1")
	s.upstream(s.view.Groups["b"], "b2", "127.0.0.1:1")
	s.group("c", 0)
	route := s.table.Routes[0]
	assert.Equal(t, s.view.slots(route), 4)
	down.Tracker.SetDown(true)
	assert.Equal(t, s.view.slots(route), 2)
	s.view.VMs = 4
	assert.Equal(t, s.view.limits(route).Concurrency, 4) // 3*2/4 + 2*sqrt(3*2/4)
}
