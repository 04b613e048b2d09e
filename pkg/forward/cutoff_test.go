package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against answers without the missing shards that reach their callers just
// after the target: on a new connection the handshake takes one more round trip of
// the caller's time. It also guards against a cutoff so early that shards are left
// out whose answers would be in time.
func TestCutoffAnswersReachTheCallerWithinTheTarget(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		target, roundTrip, lastInTime time.Duration
	}{
		{60 * ms, 6400 * time.Microsecond, 42 * ms},
		{60 * ms, 2 * ms, 51 * ms},
		{120 * ms, 6400 * time.Microsecond, 98 * ms},
		{50 * ms, 8 * ms, 29 * ms},
	} {
		route := fanOutRoute(0.5, "quick", "medium", "silent")
		route.Target = c.target
		inVirtualTime(t, route, func(tier *virtualTier) {
			tier.addReplica("quick", "q1", 0, always(5*ms))
			tier.addReplica("medium", "m1", 0, always(c.lastInTime))
			tier.addReplica("silent", "s1", 0, always(time.Second))
			conn := &CallerConn{RoundTrip: c.roundTrip}
			for i := range 3 {
				answer := tier.send(conn, "/a/", fmt.Sprint(i))
				assert.Equal(t, answer.Code, 200)
				assert.Equal(t, answer.Header().Get("Missing"), "1")
				assert.Assert(t, answer.duration <= c.target, "request %d took %s of %s", i, answer.duration, c.target)
			}
		})
	}
}

// Guards against a cutoff that is counted from the end of the wait for admission.
func TestCutoffCountsFromArrival(t *testing.T) {
	const ms = time.Millisecond
	route := fanOutRoute(0.5, "quick", "silent")
	route.Target = 100 * ms
	inVirtualTime(t, route, func(tier *virtualTier) {
		tier.view.VMs = 1000 // one query at a time
		tier.addReplica("quick", "q1", 0, always(ms))
		tier.addReplica("silent", "s1", 0, func(id string) time.Duration {
			if id == "first" {
				return 18 * ms
			}
			return time.Second
		})
		done := make(chan virtualAnswer)
		limit := tier.view.fanOutLimits(route, false).MaxRunning
		for range limit {
			go func() { done <- tier.send(nil, "/a/", "first") }()
		}
		time.Sleep(ms)
		answer := tier.send(nil, "/a/", "second")
		for range limit {
			<-done
		}
		assert.Equal(t, answer.Code, 200)
		assert.Assert(t, answer.duration <= route.Target, "%s", answer.duration)
	})
}

// Guards against a cutoff after the target or before half of it, whatever round-trip
// time the system reports.
func TestCutoffStaysWithinTheTarget(t *testing.T) {
	for _, target := range []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second} {
		for _, network := range []time.Duration{0, time.Microsecond, 10 * time.Millisecond, time.Minute} {
			route := fanOutRoute(1, "a")
			route.Target = target
			cutoff := cutoffAfter(route, network)
			assert.Assert(t, cutoff >= target/2 && cutoff < target, "target %s, network %s: %s", target, network, cutoff)
		}
	}
}
