package forward

import (
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// rankedRoute returns a copy of a route with another path prefix and priority, and a
// target that no wait of a test reaches.
func rankedRoute(r *routes.Route, prefix string, priority int) *routes.Route {
	c := *r
	c.Name, c.Prefix, c.Priority, c.Target, c.Timeout = prefix, prefix, priority, time.Minute, time.Minute
	return &c
}

// waitForLoad returns when so many requests run and wait at the resource.
func (tt *testTier) waitForLoad(key string, running, waiting int) {
	a := tt.forwarder.rankedAdmission
	for {
		a.mu.Lock()
		if r := a.resources[key]; r != nil {
			if inUse, n := r.queue.Load(); inUse == float64(running) && n == waiting {
				a.mu.Unlock()
				return
			}
		}
		a.mu.Unlock()
		runtime.Gosched()
	}
}

// Guards against admission that takes no account of the priority: a request must then
// wait behind less urgent ones, or be refused because they hold all places. It holds for
// fan-outs and for requests to one replica.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	for key, route := range map[string]*routes.Route{"shards s": fanOutRoute(1, "s"), "service s": singleRoute(true)} {
		tier := newTestTier(t, rankedRoute(route, "/low/", 1), rankedRoute(route, "/high/", 0))
		tier.view.VMs = 4 // 6 places of all, 4 of this VM
		release := make(chan struct{})
		s := tier.addService("s", 0)
		for i := range 2 {
			u := tier.addReplica(s, fmt.Sprint(i), func(w http.ResponseWriter, r *http.Request) {
				<-release
				respondWith("r", record("1"))(w, r)
			})
			u.Tracker.Slots = 1
		}
		var (
			pending  sync.WaitGroup
			mu       sync.Mutex
			statuses = map[string][]int{}
		)
		refused := make(chan struct{})
		send := func(path string, n int) {
			for range n {
				pending.Go(func() {
					status, header, _ := tier.send("GET", path, path+fmt.Sprint(time.Now().UnixNano()), "")
					mu.Lock()
					defer mu.Unlock()
					statuses[path] = append(statuses[path], status)
					if status != http.StatusOK {
						assert.Check(t, header.Get("Retry-After") != "")
						close(refused)
					}
				})
			}
		}
		send("/low/", 12)
		tier.waitForLoad(key, 4, 8)
		send("/high/", 5)
		<-refused
		assert.DeepEqual(t, statuses["/low/"], []int{http.StatusServiceUnavailable})
		tier.waitForLoad(key, 4, 12)
		close(release)
		pending.Wait()
		assert.Equal(t, len(statuses["/low/"]), 12)
		assert.DeepEqual(t, statuses["/high/"], slices.Repeat([]int{http.StatusOK}, 5))
		assert.Equal(t, len(tier.received()), 16)
	}
}

// Guards against sending a request to a replica that cannot answer it by its deadline:
// it takes a slot from others and is refused late.
func TestRequestThatNoReplicaCanAnswerIsRefusedAtOnce(t *testing.T) {
	tier := newTestTier(t, rankedRoute(singleRoute(true), "/p/", 1), rankedRoute(singleRoute(true), "/high/", 0))
	u := tier.addReplica(tier.addService("s", 0), "s1", respondWith("r", "x"))
	now := time.Now()
	u.Tracker.Begin(now)
	u.Tracker.End(now, now.Add(-time.Hour), replica.Served)
	status, header, _ := tier.send("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(tier.received()), 0)
}
