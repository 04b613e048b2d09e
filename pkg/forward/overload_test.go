package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sending more queries than the replicas have capacity for: each
// would then find some shard full, and none would be answered. The excess must be
// refused as not run, without any send, and later queries must be served again.
func TestExcessQueriesAreRefusedBeforeTheyRun(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(1, "a", "b"))
	release := make(chan struct{})
	holdRequest := func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondWith("r", record("1"))(w, r)
	}
	tier.view.VMs = 4
	tier.addReplica(tier.addService("a", 0), "a1", holdRequest)
	tier.addReplica(tier.addService("b", 0), "b1", holdRequest)
	const callers = 40
	var (
		pending sync.WaitGroup
		mu      sync.Mutex
		refused int
	)
	limits := tier.view.fanOutLimits(tier.table.Routes[0], false)
	for i := range callers {
		pending.Go(func() {
			status, header, _ := tier.send("GET", "/a/", fmt.Sprint(i), "")
			if status != http.StatusOK {
				assert.Check(t, status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests, "%d", status)
				assert.Check(t, header.Get("Retry-After") != "")
				mu.Lock()
				defer mu.Unlock()
				refused++
				if refused == callers-limits.MaxRunning {
					close(release)
				}
			}
		})
	}
	pending.Wait()
	assert.Equal(t, refused, callers-limits.MaxRunning)
	assert.Equal(t, len(tier.received()), 2*limits.MaxRunning)
	status, _, _ := tier.send("GET", "/a/", "again", "")
	assert.Equal(t, status, http.StatusOK)
}

// Guards against queries that wait for unresponsive replicas past their target and
// still block the admission of others, although they load no replica.
func TestQueryThatMissedItsTargetBlocksNoOther(t *testing.T) {
	route := fanOutRoute(1, "a", "b")
	route.Target = 50 * time.Millisecond
	tier := newTestTier(t, route)
	tier.view.VMs = 4
	tier.addReplica(tier.addService("a", 0), "a1", respondWith("ra", record("1")))
	end := make(chan struct{})
	held := make(chan struct{}, 100)
	serve := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Id"), "waits") {
			held <- struct{}{}
			<-end
		}
		respondWith("rb", record("2"))(w, r)
	}
	b := tier.addService("b", 0)
	tier.addReplica(b, "b1", serve)
	tier.addReplica(b, "b2", serve) // its connections are free for the later queries
	limit := tier.view.fanOutLimits(route, false).MaxRunning
	var waiting sync.WaitGroup
	for i := range limit {
		waiting.Go(func() { tier.send("GET", "/a/", fmt.Sprint("waits", i), "") })
	}
	for range limit {
		<-held
	}
	status := 0
	for i := 0; status != http.StatusOK && i < 100; i++ {
		status, _, _ = tier.send("GET", "/a/", fmt.Sprint("next", i), "")
	}
	close(end)
	waiting.Wait()
	assert.Equal(t, status, http.StatusOK)
}

// Guards against admission limits that count unreachable replicas, or that are
// lowered by a shard without which the coverage can still be reached.
func TestLimitsFollowTheRequiredShardWithTheFewestSlots(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(0.6, "a", "b", "c"))
	down := tier.addUpstream(tier.addService("a", 0), "a1", "127.0.0.1:1")
	tier.addUpstream(tier.view.ReplicaSets["a"], "a2", "127.0.0.1:1")
	tier.addUpstream(tier.addService("b", 0), "b1", "127.0.0.1:1")
	tier.addUpstream(tier.view.ReplicaSets["b"], "b2", "127.0.0.1:1")
	tier.addService("c", 0)
	route := tier.table.Routes[0]
	assert.Equal(t, tier.view.limitingSlots(route, false), 4)
	down.Tracker.SetDown(true)
	assert.Equal(t, tier.view.limitingSlots(route, false), 2)
	tier.view.VMs = 4
	assert.Equal(t, tier.view.fanOutLimits(route, false).MaxRunning, 4) // 3*2/4 + 2*sqrt(3*2/4)
}

// Guards against spending the budget on queries that fail anyway: while the replicas
// of most shards refuse requests and the budget is spent, a query must be refused
// before it is sent to any replica.
func TestQueryThatWouldLikelyFailIsRefusedBeforeItRuns(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(1, "a", "b", "c", "d"))
	for _, name := range []string{"a", "b", "c"} {
		tier.addReplica(tier.addService(name, 0), name+"1", refuseNotRun)
	}
	tier.addReplica(tier.addService("d", 0), "d1", respondWith("rd", record("1")))
	status, id := http.StatusOK, ""
	for i := 0; status != http.StatusServiceUnavailable && i < 20; i++ {
		id = fmt.Sprint(i)
		status, _, _ = tier.send("GET", "/a/", id, "")
	}
	assert.Equal(t, status, http.StatusServiceUnavailable)
	for _, received := range tier.received() {
		assert.Assert(t, !strings.HasSuffix(received, " "+id), received)
	}
}

// Guards against taking the reserve of the budget for a shard without which the
// coverage can be reached, and against skipping a shard that is required.
func TestReservedBudgetIsKeptForRequiredShards(t *testing.T) {
	for _, c := range []struct {
		minCoverage float64
		missing     string
		received    int
	}{{0.5, "1", 2}, {1, "0", 3}} {
		tier := newTestTier(t, fanOutRoute(c.minCoverage, "a", "b"))
		a := tier.addService("a", 10)
		for !a.Budget.BelowRetryReserve() {
			assert.NilError(t, a.Budget.TryTakeExtra(1))
		}
		tier.addReplica(a, "a1", refuseNotRun)
		second := tier.addReplica(a, "a2", respondWith("ra", record("1")))
		second.Tracker.Local = false // a local replica is preferred
		tier.addReplica(tier.addService("b", 0), "b1", respondWith("rb", record("2")))
		status, header, _ := tier.send("GET", "/a/", "1", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, header.Get("Missing"), c.missing)
		assert.Equal(t, len(tier.received()), c.received)
	}
}

// Guards against queries that an isolated VM holds until their deadline although it
// knows that replicas of other failure domains are out of reach, and against refusals
// of those that its own domain can answer.
func TestIsolatedVMRefusesWhatItCannotCover(t *testing.T) {
	for _, c := range []struct {
		minCoverage float64
		status      int
	}{{1, http.StatusServiceUnavailable}, {0.5, http.StatusOK}} {
		tier := newTestTier(t, fanOutRoute(c.minCoverage, "a", "b"))
		tier.addReplica(tier.addService("a", 0), "a1", respondWith("ra", record("1")))
		tier.addReplica(tier.addService("b", 0), "b1", respondWith("rb", record("2"))).Tracker.Local = false
		tier.forwarder.SetIsolated(true)
		status, header, body := tier.send("GET", "/a/", "1", "")
		assert.Equal(t, status, c.status)
		if status == http.StatusServiceUnavailable {
			assert.Assert(t, header.Get("Retry-After") != "")
			assert.Equal(t, len(tier.received()), 0)
			assert.Assert(t, strings.Contains(body, "no replica in this failure domain"), body)
		} else {
			assert.Equal(t, header.Get("Missing"), "1")
		}
		tier.forwarder.SetIsolated(false)
		status, _, _ = tier.send("GET", "/a/", "2", "")
		assert.Equal(t, status, http.StatusOK)
	}
}
