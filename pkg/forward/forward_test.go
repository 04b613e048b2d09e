package forward

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that changes on its way: method, path with escapes
// and query, headers, body, and the replica's status, headers and body back.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	s := newSite(t, plain(false))
	s.replica(s.group("s", 0), "r1", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil && string(body) == "payload")
		assert.Check(t, r.Method == "POST" && r.RequestURI == "/p/a%2Fb?x=1&y=%20" && r.Host == "h.example")
		assert.Check(t, r.Header.Get("For") == "r1" && r.Header.Get("Other") == "")
		left, err := strconv.Atoi(r.Header.Get("Left"))
		assert.Check(t, err == nil && left > 0 && left <= 5000)
		w.Header().Set("Receipt", "x")
		w.Header().Set("Own", "value")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "short and stout")
	})
	status, header, body := s.ask("POST", "/p/a%2Fb?x=1&y=%20", "1", "payload")
	assert.Equal(t, status, http.StatusTeapot)
	assert.Equal(t, header.Get("Receipt"), "x")
	assert.Equal(t, header.Get("Own"), "value")
	assert.Equal(t, body, "short and stout")
}

// Guards against a request that may not be repeated and runs twice: a send
// without an answer may have run, a refused one has not.
func TestNonIdempotentRequestIsSentAgainOnlyIfItDidNotRun(t *testing.T) {
	s := newSite(t, plain(false))
	g := s.group("s", 10)
	s.replica(g, "r1", breaks)
	s.replica(g, "r2", breaks)
	status, _, _ := s.ask("POST", "/p/", "1", "x")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, len(s.arrivals()), 1)

	s = newSite(t, plain(false))
	g = s.group("s", 10)
	s.replica(g, "r1", sheds)
	s.replica(g, "r2", sheds)
	s.upstream(g, "r3", "127.0.0.1:1")
	status, header, _ := s.ask("POST", "/p/", "1", "x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
}

// Guards against a failure of one replica that reaches the caller although
// another could serve the request.
func TestIdempotentRequestMovesToAnotherReplica(t *testing.T) {
	for name, bad := range map[string]handler{
		"breaks off": breaks, "sheds": sheds,
		"fails":      func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Receipt", "f"); w.WriteHeader(500) },
		"no receipt": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) },
	} {
		s := newSite(t, plain(true))
		g := s.group("s", 10)
		s.replica(g, "bad", bad)
		s.replica(g, "good", serves("g", "fine"))
		for i := range 4 {
			status, _, body := s.ask("GET", "/p/", strconv.Itoa(i), "")
			assert.Equal(t, status, http.StatusOK, name)
			assert.Equal(t, body, "fine", name)
		}
	}
}

// Guards against sends beyond the budget, and against a failure with a status
// that promises that the request did not run.
func TestBudgetBoundsRepeatedSends(t *testing.T) {
	s := newSite(t, plain(true))
	g := s.group("s", 0)
	s.replica(g, "r1", breaks)
	s.replica(g, "r2", breaks)
	status, _, _ := s.ask("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, len(s.arrivals()), 1)
}

// Guards against more replicas running a request than its route allows.
func TestAttemptsBoundTheReplicasThatRun(t *testing.T) {
	s := newSite(t, plain(true))
	g := s.group("s", 10)
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		s.replica(g, id, breaks)
	}
	status, _, _ := s.ask("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, len(s.arrivals()), 2)
}

// Guards against an answer that is not the merge of exactly the parts that it
// names.
func TestFanOutMergesAndCounts(t *testing.T) {
	s := newSite(t, fanOut(0.6, "a", "b", "c"))
	s.replica(s.group("a", 0), "a1", serves("ra", record("1")+record("7")))
	s.replica(s.group("b", 0), "b1", serves("rb", record("9")+record("3")+"rest"))
	s.group("c", 0)
	status, header, body := s.ask("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, record("9")+record("7")+record("3"))
	assert.Equal(t, header.Get("Receipts"), "ra, rb")
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, header.Get("Id"), "1")
}

// Guards against sends on behalf of a query that cannot succeed: it is refused
// before any replica gets it, and the refusal says when to come back.
func TestQueryWithoutEnoughShardsIsRefusedBeforeItRuns(t *testing.T) {
	s := newSite(t, fanOut(0.6, "a", "b", "c"))
	s.replica(s.group("a", 0), "a1", serves("ra", ""))
	s.group("b", 0)
	down := s.replica(s.group("c", 0), "c1", serves("rc", ""))
	down.Tracker.SetDown(true)
	status, header, _ := s.ask("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(s.arrivals()), 0)
}

// Guards against a failure after some shards ran that claims the request did
// not run.
func TestQueryThatRanSomewhereIsNotCalledUnrun(t *testing.T) {
	s := newSite(t, fanOut(1, "a", "b"))
	s.replica(s.group("a", 0), "a1", serves("ra", ""))
	s.replica(s.group("b", 0), "b1", breaks)
	status, _, _ := s.ask("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusBadGateway)
}

// Guards against a straggler that holds the answer of all other shards back
// beyond the time in which it has its worth.
func TestAnswerLeavesOutAStraggler(t *testing.T) {
	route := fanOut(0.5, "a", "b")
	route.Target = 200 * time.Millisecond
	s := newSite(t, route)
	release := make(chan struct{})
	defer close(release)
	s.replica(s.group("a", 0), "a1", serves("ra", record("1")))
	s.replica(s.group("b", 0), "b1", func(http.ResponseWriter, *http.Request) { <-release })
	status, header, body := s.ask("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, body, record("1"))
}

// Guards against a shard with one slow replica that makes each query late,
// although the coverage allows to leave it out, and against leaving out more
// shards than it allows.
func TestPlanLeavesOutLateShards(t *testing.T) {
	s := newSite(t, fanOut(0.6, "a", "b", "c"))
	now := time.Now()
	for _, service := range []string{"a", "b", "c"} {
		u := s.replica(s.group(service, 0), service+"1", serves("r"+service, record(service)))
		if service != "a" {
			u.Tracker.Begin(now.Add(-3 * time.Second))
			u.Tracker.End(now, now.Add(-3*time.Second), 0)
		}
	}
	status, header, _ := s.ask("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, len(s.arrivals()), 2)
}

// Guards against a replica that stays at work after the caller has left.
func TestCallerThatLeavesCancelsItsSends(t *testing.T) {
	s := newSite(t, plain(true))
	started, canceled := make(chan struct{}), make(chan struct{})
	s.replica(s.group("s", 0), "r1", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", s.entry.URL+"/p/", nil)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Id", "1")
	failed := make(chan struct{})
	go func() {
		defer close(failed)
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	<-started
	leave()
	<-failed
	<-canceled
}

// Guards against an address that belongs to another replica by now: the
// request moves on, and the replica counts as unreachable.
func TestMisdirectedRequestMovesOn(t *testing.T) {
	s := newSite(t, plain(false))
	g := s.group("s", 10)
	s.replica(g, "old", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	s.replica(g, "new", serves("n", "fine"))
	for i := range 4 {
		status, _, _ := s.ask("POST", "/p/", strconv.Itoa(i), "x")
		assert.Equal(t, status, http.StatusOK)
	}
	for _, id := range s.unreachable {
		assert.Equal(t, id, "old")
	}
}

// Guards against refusals that use the wrong status: no configuration yet, no
// route, and a body beyond the limit.
func TestOwnRefusals(t *testing.T) {
	s := newSite(t, plain(true))
	status, header, _ := s.ask("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	s.replica(s.group("s", 0), "r1", serves("r", ""))
	status, _, _ = s.ask("GET", "/unknown/", "1", "")
	assert.Equal(t, status, http.StatusNotFound)
	status, _, _ = s.ask("POST", "/p/", "1", strings.Repeat("x", 1001))
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, len(s.arrivals()), 0)
}

// Guards against a request that crashes replica after replica when its caller
// sends it again: it is refused after three attempts, and others are not.
func TestRequestThatCrashesReplicasIsRefused(t *testing.T) {
	s := newSite(t, plain(true))
	g := s.group("s", 100)
	for _, id := range []string{"r1", "r2", "r3"} {
		s.replica(g, id, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/p/bad" {
				breaks(w, r)
				return
			}
			serves("x", "fine")(w, r)
		})
	}
	for i := range 3 {
		status, _, _ := s.ask("GET", "/p/bad", "bad"+strconv.Itoa(i), "")
		assert.Equal(t, status, http.StatusBadGateway)
	}
	before := len(s.arrivals())
	assert.Assert(t, before <= 4, "a suspect is not sent again: %v", s.arrivals())
	status, _, _ := s.ask("GET", "/p/bad", "bad3", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(s.arrivals()), before)
	status, _, _ = s.ask("GET", "/p/good", "good", "")
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a query that fails because a shard was left out and another
// one failed: the one that was left out can still make up the coverage.
func TestLeftOutShardIsAskedWhenAnotherFails(t *testing.T) {
	s := newSite(t, fanOut(0.6, "a", "b", "c"))
	now := time.Now()
	s.replica(s.group("a", 0), "a1", serves("ra", record("1")))
	late := s.replica(s.group("b", 0), "b1", serves("rb", record("2")))
	late.Tracker.Begin(now.Add(-3 * time.Second))
	late.Tracker.End(now, now.Add(-3*time.Second), 0)
	s.replica(s.group("c", 0), "c1", sheds)
	status, header, body := s.ask("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, body, record("2")+record("1"))
}

// Guards against a head beyond the operators' limit that is passed on, and
// against one within it that is refused.
func TestHeadBeyondTheLimitIsRefused(t *testing.T) {
	s := newSite(t, plain(true))
	s.table.Limits.HeaderBytes = 500
	s.replica(s.group("s", 0), "r1", serves("r", "fine"))
	status, _, _ := s.ask("GET", "/p/short", "1", "")
	assert.Equal(t, status, http.StatusOK)
	status, header, _ := s.ask("GET", "/p/"+strings.Repeat("x", 500), "2", "")
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, header.Get("Retry-After"), "")
	assert.DeepEqual(t, s.arrivals(), []string{"r1 1"})
}

// Guards against a cut link that is noticed only when the deadlines of the
// requests on it have passed.
func TestSilentReplicaIsReportedWhileTheQueryWaits(t *testing.T) {
	route := fanOut(1, "a", "b")
	route.Target = 10 * time.Millisecond
	s := newSite(t, route)
	s.replica(s.group("a", 0), "a1", serves("ra", record("1")))
	s.replica(s.group("b", 0), "b1", func(w http.ResponseWriter, r *http.Request) {
		// The replica answers once it was reported.
		for r.Context().Err() == nil {
			s.mu.Lock()
			reported := len(s.silent) > 0
			s.mu.Unlock()
			if reported {
				serves("rb", record("2"))(w, r)
				return
			}
			runtime.Gosched()
		}
	})
	status, header, _ := s.ask("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Missing"), "0")
	assert.DeepEqual(t, s.silent, []string{"b1"})
}
