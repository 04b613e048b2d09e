package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// Guards against changes to a forwarded request (method, escaped path, query,
// headers, body) or to the replica's response (status, headers, body).
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	tier := newTestTier(t, singleRoute(false))
	tier.addReplica(tier.addService("s", 0), "r1", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil && string(body) == "payload")
		assert.Check(t, r.Method == "POST" && r.RequestURI == "/p/a%2Fb?x=1&y=%20" && r.Host == "h.example")
		assert.Check(t, r.Header.Get("For") == "r1" && r.Header.Get("Other") == "")
		leftMS, err := strconv.Atoi(r.Header.Get("Left"))
		assert.Check(t, err == nil && leftMS > 0 && leftMS <= 5000)
		w.Header().Set("Receipt", "x")
		w.Header().Set("Own", "value")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "short and stout")
	})
	status, header, body := tier.send("POST", "/p/a%2Fb?x=1&y=%20", "1", "payload")
	assert.Equal(t, status, http.StatusTeapot)
	assert.Equal(t, header.Get("Receipt"), "x")
	assert.Equal(t, header.Get("Own"), "value")
	assert.Equal(t, body, "short and stout")
}

// Guards against a non-idempotent request that runs twice: a send without an
// answer may have run and must not be retried, while a refused send did not run.
func TestNonIdempotentRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	tier := newTestTier(t, singleRoute(false))
	replicas := tier.addService("s", 10)
	tier.addReplica(replicas, "r1", closeConnection)
	tier.addReplica(replicas, "r2", closeConnection)
	status, _, _ := tier.send("POST", "/p/", "1", "x")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, len(tier.received()), 1)

	tier = newTestTier(t, singleRoute(false))
	replicas = tier.addService("s", 10)
	tier.addReplica(replicas, "r1", refuseNotRun)
	tier.addReplica(replicas, "r2", refuseNotRun)
	tier.addUpstream(replicas, "r3", "127.0.0.1:1")
	status, header, _ := tier.send("POST", "/p/", "1", "x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
}

// Guards against the failure of one replica being returned to the caller although
// another replica could serve the request.
func TestIdempotentRequestIsRetriedAtAnotherReplica(t *testing.T) {
	for name, bad := range map[string]handler{
		"closes the connection": closeConnection, "refuses": refuseNotRun,
		"fails":      func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Receipt", "f"); w.WriteHeader(500) },
		"no receipt": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) },
	} {
		tier := newTestTier(t, singleRoute(true))
		replicas := tier.addService("s", 10)
		tier.addReplica(replicas, "bad", bad)
		tier.addReplica(replicas, "good", respondWith("g", "fine"))
		for i := range 4 {
			status, _, body := tier.send("GET", "/p/", strconv.Itoa(i), "")
			assert.Equal(t, status, http.StatusOK, name)
			assert.Equal(t, body, "fine", name)
		}
	}
}

// Guards against retries beyond the budget, and against a status that claims that
// the request did not run although it may have.
func TestBudgetBoundsRetries(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	replicas := tier.addService("s", 0)
	tier.addReplica(replicas, "r1", closeConnection)
	tier.addReplica(replicas, "r2", closeConnection)
	status, _, _ := tier.send("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, len(tier.received()), 1)
}

// Guards against a request that is run by more replicas than the attempts of its
// route allow.
func TestRouteAttemptsBoundTheReplicasThatRunARequest(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	replicas := tier.addService("s", 10)
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		tier.addReplica(replicas, id, closeConnection)
	}
	status, _, _ := tier.send("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, len(tier.received()), 2)
}

// Guards against a merged response that does not contain exactly the shards whose
// receipts it lists, or that counts the missing shards wrongly.
func TestFanOutMergesAnswersAndCountsMissingShards(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(0.6, "a", "b", "c"))
	tier.addReplica(tier.addService("a", 0), "a1", respondWith("ra", record("1")+record("7")))
	tier.addReplica(tier.addService("b", 0), "b1", respondWith("rb", record("9")+record("3")+"rest"))
	tier.addService("c", 0)
	status, header, body := tier.send("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, record("9")+record("7")+record("3"))
	assert.Equal(t, header.Get("Receipts"), "ra, rb")
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, header.Get("Id"), "1")
}

// Guards against sends for a query that cannot reach its coverage: it must be
// refused before it is sent to any replica, with a Retry-After.
func TestQueryWithoutEnoughShardsIsRefusedBeforeItRuns(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(0.6, "a", "b", "c"))
	tier.addReplica(tier.addService("a", 0), "a1", respondWith("ra", ""))
	tier.addService("b", 0)
	down := tier.addReplica(tier.addService("c", 0), "c1", respondWith("rc", ""))
	down.Tracker.SetDown(true)
	status, header, _ := tier.send("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(tier.received()), 0)
}

// Guards against a failure status that claims that the request did not run although
// some shards ran it.
func TestFailureAfterAShardRanDoesNotClaimThatNothingRan(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(1, "a", "b"))
	tier.addReplica(tier.addService("a", 0), "a1", respondWith("ra", ""))
	tier.addReplica(tier.addService("b", 0), "b1", closeConnection)
	status, _, _ := tier.send("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusBadGateway)
}

// Guards against a straggler that delays the response beyond the target although
// the other shards reach the coverage.
func TestResponseOmitsAStraggler(t *testing.T) {
	route := fanOutRoute(0.5, "a", "b")
	route.Target = 200 * time.Millisecond
	tier := newTestTier(t, route)
	release := make(chan struct{})
	defer close(release)
	tier.addReplica(tier.addService("a", 0), "a1", respondWith("ra", record("1")))
	tier.addReplica(tier.addService("b", 0), "b1", func(http.ResponseWriter, *http.Request) { <-release })
	status, header, body := tier.send("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, body, record("1"))
}

// Guards against a shard whose only replica is slow making every query late
// although the coverage can be reached without it, and against skipping more
// shards than the coverage allows.
func TestLateShardsAreSkipped(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(0.6, "a", "b", "c"))
	now := time.Now()
	for _, service := range []string{"a", "b", "c"} {
		u := tier.addReplica(tier.addService(service, 0), service+"1", respondWith("r"+service, record(service)))
		if service != "a" {
			u.Tracker.Begin(now.Add(-3 * time.Second))
			u.Tracker.End(now, now.Add(-3*time.Second), 0)
		}
	}
	status, header, _ := tier.send("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, len(tier.received()), 2)
}

// Guards against a replica that keeps working on a request after the caller has
// disconnected.
func TestDisconnectOfTheCallerCancelsItsSends(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	started, canceled := make(chan struct{}), make(chan struct{})
	tier.addReplica(tier.addService("s", 0), "r1", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", tier.server.URL+"/p/", nil)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Id", "1")
	requestEnded := make(chan struct{})
	go func() {
		defer close(requestEnded)
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	<-started
	disconnect()
	<-requestEnded
	<-canceled
}

// Guards against a request that fails because another replica has taken over the
// address: it must be sent to a further replica, and the expected one must be
// reported as unreachable.
func TestMisdirectedRequestIsSentToAnotherReplica(t *testing.T) {
	tier := newTestTier(t, singleRoute(false))
	replicas := tier.addService("s", 10)
	tier.addReplica(replicas, "old", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	tier.addReplica(replicas, "new", respondWith("n", "fine")).Tracker.Local = false // the other replica is preferred
	for i := range 4 {
		status, _, _ := tier.send("POST", "/p/", strconv.Itoa(i), "x")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Assert(t, len(tier.unreachable) > 0)
	for _, id := range tier.unreachable {
		assert.Equal(t, id, "old")
	}
}

// Guards against a wrong status of the forwarder's own refusals: no configuration
// yet, no matching route, and a body above the limit.
func TestStatusOfOwnRefusals(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	status, header, _ := tier.send("GET", "/p/", "1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	tier.addReplica(tier.addService("s", 0), "r1", respondWith("r", ""))
	status, _, _ = tier.send("GET", "/unknown/", "1", "")
	assert.Equal(t, status, http.StatusNotFound)
	status, _, _ = tier.send("POST", "/p/", "1", strings.Repeat("x", 1001))
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, len(tier.received()), 0)
}

// Guards against a request that crashes one replica after another when its caller
// retries it: it must be refused after three attempts, and other requests must
// still be served.
func TestRequestThatCrashesReplicasIsRefused(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	replicas := tier.addService("s", 100)
	for _, id := range []string{"r1", "r2", "r3"} {
		tier.addReplica(replicas, id, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/p/bad" {
				closeConnection(w, r)
				return
			}
			respondWith("x", "fine")(w, r)
		})
	}
	for i := range 3 {
		status, _, _ := tier.send("GET", "/p/bad", "bad"+strconv.Itoa(i), "")
		assert.Equal(t, status, http.StatusBadGateway)
	}
	before := len(tier.received())
	assert.Assert(t, before <= 4, "a suspect request was retried by the forwarder: %v", tier.received())
	status, _, _ := tier.send("GET", "/p/bad", "bad3", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(tier.received()), before)
	status, _, _ = tier.send("GET", "/p/good", "good", "")
	assert.Equal(t, status, http.StatusOK)
}

// blockRequest makes other VMs report that replicas crashed under the request of the
// test's caller to a path.
func (tt *testTier) blockRequest(fp uint64) {
	for _, id := range []string{"x", "y", "z"} {
		tt.ledger.RecordLoss(time.Now(), "", id, []uint64{fp})
	}
}

// Guards against an answer that ends within its head and reaches the caller as a success.
func TestAnswerThatEndsWithinItsHeadIsNoSuccess(t *testing.T) {
	cutHead := func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nReceipt: r\r\nContent-Le") // the connection then ends
			_ = c.Close()
		}
	}
	tier := newTestTier(t, singleRoute(false), fanOutRoute(1, "s"))
	tier.addReplica(tier.addService("s", 0), "r1", cutHead)
	for _, path := range []string{"/p/x", "/a/x"} {
		status, _, body := tier.send("GET", path, path, "")
		assert.Equal(t, status, http.StatusBadGateway, "%s: %s", path, body)
	}
}

// Guards against a query that crashes a replica of each shard each time it comes again,
// and against one that was in flight at a crash by chance and is no longer answered.
func TestSuspectQueryIsTriedAtOneShardFirst(t *testing.T) {
	shards := []string{"a", "b", "c", "d"}
	tier := newTestTier(t, fanOutRoute(1, shards...))
	for _, s := range shards {
		tier.addReplica(tier.addService(s, 100), s+"1", func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/a/crash":
				closeConnection(w, r)
			case r.URL.Path == "/a/full" && s != "b":
				refuseNotRun(w, r)
			default:
				respondWith("r"+s, record(s))(w, r)
			}
		})
	}
	send := func(path string) (status, received int) {
		request := httptest.NewRequest("GET", path, nil)
		attempt := requestAttempt(request.Method, targetOf(request), tier.table.Routes[0], nil, "127.0.0.1", nil, "")
		tier.ledger.RecordLoss(time.Now(), "", "x", []uint64{attempt.Fingerprint})
		before := len(tier.received())
		status, _, _ = tier.send("GET", path, path, "")
		return status, len(tier.received()) - before
	}
	status, received := send("/a/crash")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, received, 1)
	status, received = send("/a/chance")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, received, len(shards))
	status, received = send("/a/full")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, received, 1)
}

// Guards against a failure that is passed on to the caller and counts as a success of a
// request that was in flight when replicas crashed.
func TestOnlySuccessesClearARequest(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	tier.addReplica(tier.addService("s", 0), "r1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Receipt", "x")
		if status, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/p/")); err == nil {
			w.WriteHeader(status)
		}
	})
	for path, succeeds := range map[string]bool{"/p/500": false, "/p/503": false, "/p/429": false, "/p/408": false, "/p/404": true, "/p/succeeds": true} {
		request := httptest.NewRequest("GET", path, nil)
		attempt := requestAttempt(request.Method, targetOf(request), tier.table.Routes[0], nil, "127.0.0.1", nil, "")
		tier.ledger.RecordLoss(time.Now(), "", "x", []uint64{attempt.Fingerprint})
		tier.send("GET", path, "1", "")
		assert.Equal(t, tier.ledger.Check(time.Now(), attempt.Exact) == poison.Proven, succeeds, path)
		assert.Equal(t, slices.Contains(tier.cleared, attempt.Fingerprint), succeeds, path)
	}
}

// Guards against a query that ends the replicas of one shard each time and counts as a
// success, because the others answer.
func TestAnswerWithoutAShardClearsNothing(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(0.5, "a", "b"))
	tier.addReplica(tier.addService("a", 0), "a1", respondWith("ra", record("1")))
	tier.addReplica(tier.addService("b", 0), "b1", func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	request := httptest.NewRequest("GET", "/a/", nil)
	attempt := requestAttempt(request.Method, targetOf(request), tier.table.Routes[0], nil, "127.0.0.1", nil, "")
	status, header, _ := tier.send("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, tier.ledger.Check(time.Now(), attempt.Exact), poison.Unknown)
}

// Guards against a request that goes on to further replicas after other VMs have
// reported that it crashes them.
func TestRequestIsNotSentAgainOnceItIsKnownToCrashReplicas(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	replicas := tier.addService("s", 100)
	for _, id := range []string{"r1", "r2", "r3"} {
		tier.addReplica(replicas, id, func(w http.ResponseWriter, r *http.Request) {
			tier.blockRequest(requestAttempt(r.Method, targetOf(r), tier.table.Routes[0], nil, "127.0.0.1", nil, "").Fingerprint)
			refuseNotRun(w, r)
		})
	}
	status, _, _ := tier.send("GET", "/p/x", "1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(tier.received()), 1)
}

// Guards against a query that fails because one shard was skipped and another one
// failed, although querying the skipped shard would reach the coverage.
func TestSkippedShardIsQueriedWhenAnotherFails(t *testing.T) {
	tier := newTestTier(t, fanOutRoute(0.6, "a", "b", "c"))
	now := time.Now()
	tier.addReplica(tier.addService("a", 0), "a1", respondWith("ra", record("1")))
	late := tier.addReplica(tier.addService("b", 0), "b1", respondWith("rb", record("2")))
	late.Tracker.Begin(now.Add(-3 * time.Second))
	late.Tracker.End(now, now.Add(-3*time.Second), 0)
	tier.addReplica(tier.addService("c", 0), "c1", refuseNotRun)
	status, header, body := tier.send("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Missing"), "1")
	assert.Equal(t, body, record("2")+record("1"))
}

// Guards against forwarding a request whose header exceeds the configured limit, and
// against refusing one within the limit.
func TestHeaderAboveTheLimitIsRefused(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	tier.table.Limits.HeaderBytes = 500
	tier.addReplica(tier.addService("s", 0), "r1", respondWith("r", "fine"))
	status, _, _ := tier.send("GET", "/p/short", "1", "")
	assert.Equal(t, status, http.StatusOK)
	status, header, _ := tier.send("GET", "/p/"+strings.Repeat("x", 500), "2", "")
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, header.Get("Retry-After"), "")
	assert.DeepEqual(t, tier.received(), []string{"r1 1"})
}

// unresponsiveObserver hands on which replicas are reported as unresponsive.
type unresponsiveObserver struct {
	silentObserver
	reported chan string
}

func (o unresponsiveObserver) ReplicaUnresponsive(u *Upstream) { o.reported <- u.Member.ID }

// Guards against a broken network path that is noticed only when the deadlines of
// the requests sent over it have passed.
func TestUnresponsiveReplicaIsReportedWhileTheQueryWaits(t *testing.T) {
	route := fanOutRoute(1, "a", "b")
	route.Target = 10 * time.Millisecond
	inVirtualTime(t, route, func(v *virtualTier) {
		observer := unresponsiveObserver{reported: make(chan string, 10)}
		v.forwarder.observer = observer
		v.addReplica("a", "a1", 0, always(time.Millisecond))
		v.addReplica("b", "b1", 0, func(string) time.Duration {
			// The replica answers only after it has been reported.
			assert.Check(t, <-observer.reported == "b1")
			return 0
		})
		answer := v.send(nil, "/a/", "1")
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.Equal(t, answer.Header().Get("Missing"), "0")
		assert.Equal(t, len(observer.reported), 0, "another replica was reported")
	})
}

// Guards against an answer without end that stops a request which may be repeated,
// that is repeated where it must not be, or that is refused as not run or as a fault
// of the caller.
func TestEndlessAnswerMovesOnOnlyIfTheRequestMayBeRepeated(t *testing.T) {
	endlessHead := func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nX: ")
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat("x", 4096))
		}
	}
	for idempotent, want := range map[bool]int{true: http.StatusOK, false: http.StatusBadGateway} {
		tier := newTestTier(t, singleRoute(idempotent))
		replicas := tier.addService("s", 10)
		tier.addReplica(replicas, "bad", endlessHead)
		tier.addReplica(replicas, "good", respondWith("g", "fine")).Tracker.Local = false // the other replica is preferred
		status, _, _ := tier.send("GET", "/p/", "1", "")
		assert.Equal(t, status, want)
		assert.Equal(t, slices.Contains(tier.received(), "good 1"), idempotent)
		assert.DeepEqual(t, tier.interrupted, []string{"bad"})
	}
}

// Guards against a slow answer to a suspect request that nobody is told of, and against
// such reports of requests that are not suspect.
func TestSuspectWithoutAnswerIsReportedUntilItIsAnswered(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	answer := make(chan struct{})
	tier.addReplica(tier.addService("s", 0), "r1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/p/suspect" {
			<-answer
		}
		respondWith("x", "body")(w, r)
	})
	request := httptest.NewRequest("GET", "/p/suspect", nil)
	tier.ledger.RecordLoss(time.Now(), "", "x", []uint64{requestAttempt(request.Method, targetOf(request), tier.table.Routes[0], nil, "127.0.0.1", nil, "").Fingerprint})
	tier.send("GET", "/p/sound", "id1", "")
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		tier.send("GET", "/p/suspect", "id2", "")
	}()
	reported := func() []string {
		tier.mu.Lock()
		defer tier.mu.Unlock()
		return slices.Compact(slices.Clone(tier.suspects))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(reported()) == 0 {
			return poll.Continue("not reported yet")
		}
		return poll.Success()
	})
	close(answer)
	<-answered
	assert.DeepEqual(t, reported(), []string{"unanswered id2", "answered id2"})
}

// Guards against an answer that lacks a shard and clears a query at the shard that is
// missing, or nowhere.
func TestIncompleteAnswerClearsTheShardsThatHaveAnswered(t *testing.T) {
	shards := []string{"a", "b", "c", "d"}
	tier := newTestTier(t, fanOutRoute(0.5, shards...))
	for _, s := range shards {
		tier.addReplica(tier.addService(s, 0), s+"1", func(w http.ResponseWriter, r *http.Request) {
			if s == "b" && r.URL.Path != "/a/whole" || s != "a" && r.URL.Path == "/a/refused" {
				closeConnection(w, r)
				return
			}
			respondWith("r"+s, record(s))(w, r)
		})
	}
	for _, test := range []struct {
		path   string
		status int
		want   [][]string
	}{
		{"/a/partial", http.StatusOK, [][]string{{"a", "c", "d"}}},
		{"/a/whole", http.StatusOK, [][]string{nil}},
		{"/a/refused", http.StatusBadGateway, [][]string{{"a"}}},
	} {
		attempt := requestAttempt("GET", targetOf(httptest.NewRequest("GET", test.path, nil)), tier.table.Routes[0], nil, "127.0.0.1", nil, "")
		tier.ledger.RecordLoss(time.Now(), "", "x", []uint64{attempt.Fingerprint})
		tier.clearedAt = nil
		start := time.Now()
		status, _, _ := tier.send("GET", test.path, test.path, "")
		assert.Equal(t, status, test.status, test.path)
		tier.mu.Lock()
		assert.DeepEqual(t, tier.clearedAt, test.want)
		tier.mu.Unlock()
		assert.Equal(t, tier.ledger.SucceededSince(time.Now(), attempt.Exact, "a", start), true, test.path)
		assert.Assert(t, tier.ledger.SucceededSince(time.Now(), attempt.Exact, "b", start) == (test.path == "/a/whole"), test.path)
	}
}
