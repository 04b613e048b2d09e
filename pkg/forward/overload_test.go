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
				if refused == callers-limits.MaxRunning {
					close(release)
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, refused, callers-limits.MaxRunning)
	assert.Equal(t, len(s.arrivals()), 2*limits.MaxRunning)
	status, _, _ := s.ask("GET", "/a/", "again", "")
	assert.Equal(t, status, http.StatusOK)
}

// Guards against queries that wait for silent replicas past their target and keep
// others out though they load no replica.
func TestQueryThatMissedItsTargetKeepsNobodyOut(t *testing.T) {
	route := fanOut(1, "a", "b")
	route.Target = 50 * time.Millisecond
	s := newSite(t, route)
	s.view.VMs = 4
	s.replica(s.group("a", 0), "a1", serves("ra", record("1")))
	end := make(chan struct{})
	held := make(chan struct{}, 100)
	serve := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Id"), "waits") {
			held <- struct{}{}
			<-end
		}
		serves("rb", record("2"))(w, r)
	}
	b := s.group("b", 0)
	s.replica(b, "b1", serve)
	s.replica(b, "b2", serve) // leaves connections to others
	limit := s.view.limits(route).MaxRunning
	var waiting sync.WaitGroup
	for i := range limit {
		waiting.Go(func() { s.ask("GET", "/a/", fmt.Sprint("waits", i), "") })
	}
	for range limit {
		<-held
	}
	status := 0
	for i := 0; status != http.StatusOK && i < 100; i++ {
		status, _, _ = s.ask("GET", "/a/", fmt.Sprint("next", i), "")
	}
	close(end)
	waiting.Wait()
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a bound that counts replicas that cannot be reached, or that
// a shard which the coverage can do without lowers.
func TestLimitsFollowTheWeakestNeededShard(t *testing.T) {
	s := newSite(t, fanOut(0.6, "a", "b", "c"))
	down := s.upstream(s.group("a", 0), "a1", "127.0.0.1:1")
	s.upstream(s.view.ReplicaSets["a"], "a2", "127.0.0.1:1")
	s.upstream(s.group("b", 0), "b1", "127.0.0.1:1")
	s.upstream(s.view.ReplicaSets["b"], "b2", "127.0.0.1:1")
	s.group("c", 0)
	route := s.table.Routes[0]
	assert.Equal(t, s.view.slots(route), 4)
	down.Tracker.SetDown(true)
	assert.Equal(t, s.view.slots(route), 2)
	s.view.VMs = 4
	assert.Equal(t, s.view.limits(route).MaxRunning, 4) // 3*2/4 + 2*sqrt(3*2/4)
}

// Guards against a budget that is spent on queries which fail all the same:
// while the replicas of most shards refuse requests and the budget is spent, a
// query is refused before it is sent anywhere.
func TestQueryWithoutAChanceIsRefusedBeforeItRuns(t *testing.T) {
	s := newSite(t, fanOut(1, "a", "b", "c", "d"))
	for _, name := range []string{"a", "b", "c"} {
		s.replica(s.group(name, 0), name+"1", sheds)
	}
	s.replica(s.group("d", 0), "d1", serves("rd", record("1")))
	status, id := http.StatusOK, ""
	for i := 0; status != http.StatusServiceUnavailable && i < 20; i++ {
		id = fmt.Sprint(i)
		status, _, _ = s.ask("GET", "/a/", id, "")
	}
	assert.Equal(t, status, http.StatusServiceUnavailable)
	for _, arrival := range s.arrivals() {
		assert.Assert(t, !strings.HasSuffix(arrival, " "+id), arrival)
	}
}

// Guards against a scarce budget that is spent on a shard which the coverage
// can do without, and against one that is left out though it is needed.
func TestScarceBudgetGoesToShardsThatAreNeeded(t *testing.T) {
	for _, c := range []struct {
		coverage float64
		missing  string
		arrivals int
	}{{0.5, "1", 2}, {1, "0", 3}} {
		s := newSite(t, fanOut(c.coverage, "a", "b"))
		a := s.group("a", 10)
		for !a.Budget.BelowRetryReserve() {
			assert.NilError(t, a.Budget.TryTakeExtra(1))
		}
		s.replica(a, "a1", sheds)
		second := s.replica(a, "a2", serves("ra", record("1")))
		second.Tracker.Local = false // the first is preferred
		s.replica(s.group("b", 0), "b1", serves("rb", record("2")))
		status, header, _ := s.ask("GET", "/a/", "1", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, header.Get("Missing"), c.missing)
		assert.Equal(t, len(s.arrivals()), c.arrivals)
	}
}
