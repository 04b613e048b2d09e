package forward

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
)

// Guards against an answer that promises that a request did not run, and never will,
// although nobody has said so, and against statuses that change without need.
func TestFinalAnswersPromiseOnlyWhatIsKnown(t *testing.T) {
	for _, from := range []source{fromThisVM, fromReplica, fromOtherVM} {
		for status := 200; status < 600; status++ {
			for bits := range 8 {
				a := lastAnswer{source: from, status: status, notRun: bits&1 != 0, receipt: bits&2 != 0, idempotent: bits&4 != 0}
				got := a.callerStatus()
				promised := slices.Contains([]int{408, 421, 429, 503}, status)
				mayHaveRun := !a.notRun && (from != fromOtherVM || a.receipt)
				want := status
				switch {
				case from == fromThisVM && promised && mayHaveRun, from != fromThisVM && promised && mayHaveRun && !a.idempotent:
					want = 502
				case from == fromThisVM && a.notRun && (status == 502 || status == 504):
					want = 503
				}
				assert.Check(t, got == want, "%+v: %d, want %d", a, got, want)
			}
		}
	}
}

// failWith answers with a failure of the replica's own, which does not say that the
// request did not run.
func failWith(status int, body string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Receipt", "own")
		if w.Header().Get("Retry-After") == "" {
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

// Guards against a request that is carried out twice: it has run and is not idempotent,
// and a failure of the replica told its caller that it had not.
func TestOwnFailureOfAReplicaIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, body := range map[string]string{"short": "failed", "long": strings.Repeat("x", 300<<10)} {
			for _, idempotent := range []bool{false, true} {
				want, receipt := http.StatusBadGateway, ""
				if idempotent && (name == "short" || status < 500) {
					want, receipt = status, "own"
				}
				where := fmt.Sprint(name, " ", status, " idempotent: ", idempotent)

				tier := newTestTier(t, singleRoute(idempotent))
				tier.addReplica(tier.addService("s", 0), "r1", failWith(status, body))
				got, header, _ := tier.send("POST", "/p/", "1", "x")
				assert.Check(t, got == want && header.Get("Receipt") == receipt, "%s: %d", where, got)
				assert.DeepEqual(t, tier.received(), []string{"r1 1"})

				// Another VM answers, and an older one, which passes the status on as it
				// does here for an idempotent request.
				for _, older := range []bool{false, true} {
					cutOff, _ := newCutOffTier(t, singleRoute(idempotent), respondWith("", ""))
					_, other := newCutOffTier(t, singleRoute(idempotent || older), failWith(status, body))
					cutOff.addHelper(other)
					got, header, _ = cutOff.send("POST", "/p/", "1", "x")
					assert.Check(t, got == want && header.Get("Receipt") == receipt, "%s, older VM: %v: %d", where, older, got)
				}
			}
		}
	}
}

// Guards against the loss of the failure that a replica tells the caller of an idempotent
// request, and of the promise that it has not run at any replica.
func TestFailuresOfRetriedRequestsAreTruthful(t *testing.T) {
	for name, c := range map[string]struct {
		first, second handler
		want          int
	}{
		"own failures":         {failWith(503, ""), failWith(503, ""), 503},
		"not run twice":        {refuseNotRun, refuseNotRun, 503},
		"broken off, not run":  {closeConnection, refuseNotRun, 502},
		"broken off, then 503": {closeConnection, failWith(503, ""), 503},
		"own failure, success": {failWith(503, ""), respondWith("x", ""), 200},
	} {
		tier := newTestTier(t, singleRoute(true))
		rs := tier.addService("s", 9)
		var sends atomic.Int64
		h := func(w http.ResponseWriter, r *http.Request) {
			if sends.Add(1) == 1 {
				c.first(w, r)
				return
			}
			c.second(w, r)
		}
		tier.addReplica(rs, "r1", h)
		tier.addReplica(rs, "r2", h)
		status, _, _ := tier.send("GET", "/p/", "1", "")
		assert.Check(t, status == c.want, "%s: %d", name, status)
	}

	// The failure of one shard is no promise for the query either.
	tier := newTestTier(t, fanOutRoute(1, "a", "b"))
	for _, s := range []string{"a", "b"} {
		tier.addReplica(tier.addService(s, 0), s, failWith(503, ""))
	}
	status, _, _ := tier.send("GET", "/a/", "1", "")
	assert.Equal(t, status, http.StatusBadGateway)

	// Nor where another VM relays the request of the shard.
	u := tier.view.ReplicaSets["a"].Upstreams[0]
	own := exchange.Reply{Status: http.StatusServiceUnavailable, Header: exchange.Header{{Name: "Receipt", Value: "own"}}}
	assert.Equal(t, tier.forwarder.relayedPart(0, u, 0, own, nil).refusal.RunState, errs.MayHaveRun)
	own.Header = append(own.Header, exchange.Field{Name: "Not-Run", Value: "1"})
	assert.Equal(t, tier.forwarder.relayedPart(0, u, 0, own, nil).refusal.RunState, errs.DidNotRun)
}
