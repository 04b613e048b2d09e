package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standbyRun is what one VM without a feed did.
type standbyRun struct {
	checks int
	// feedAt and watchAt are the times at which it got a feed, or watched the store.
	feedAt, watchAt time.Time
}

// runStandby plays a VM that loses its feed at lostAt. The store answers outside the
// outage, and other VMs accept subscriptions from feedsFrom on, never if it is zero.
func runStandby(random *rand.Rand, confirmedAt, lostAt, outageStart, outageEnd, feedsFrom time.Time) standbyRun {
	s := standby{confirmedAt: confirmedAt}
	run := standbyRun{}
	for now := lostAt; ; now = now.Add(s.pause(now)) {
		if !feedsFrom.IsZero() && !now.Before(feedsFrom) {
			run.feedAt = now
			return run
		}
		if s.shouldCheck(now) {
			run.checks++
			s.checked(now, now.Before(outageStart) || !now.Before(outageEnd), random.Float64())
		}
		if s.mustWatch(now) {
			run.watchAt = now
			return run
		}
	}
}

// Guards against a store that all VMs call again at its return: those without a feed
// must wait for the few that watch it, with few checks meanwhile, and still have a
// feed within seconds.
func TestVMsWaitForAFeedAfterAnOutageOfTheStore(t *testing.T) {
	const vms = 300
	start := time.Unix(1000, 0)
	for _, outage := range []time.Duration{time.Second, 7 * time.Second, 30 * time.Second} {
		random := rand.New(rand.NewPCG(1, 2))
		checks := 0
		end := start.Add(outage)
		for range vms {
			lostAt := start.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			run := runStandby(random, lostAt.Add(-time.Second), lostAt, start, end, end.Add(time.Second))
			assert.Assert(t, run.watchAt.IsZero(), "outage of %s: a VM watched the store %s after it", outage, run.watchAt.Sub(end))
			assert.Assert(t, run.feedAt.Sub(end) <= time.Second+awayPause, "outage of %s: feed %s after it", outage, run.feedAt.Sub(end))
			checks += run.checks
		}
		limit := vms * (5 + int(outage/time.Second))
		assert.Assert(t, checks <= limit, "outage of %s: %d checks of %d VMs", outage, checks, vms)
	}
}

// Guards against a VM that waits for a feed while changes in the store pass it by:
// they must take effect within 3 s.
func TestVMWithoutAFeedWatchesTheStoreInTime(t *testing.T) {
	const bound = 3 * time.Second
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	for _, unconfirmed := range []time.Duration{0, time.Second, 2300 * time.Millisecond} {
		run := runStandby(random, start.Add(-unconfirmed), start, time.Time{}, time.Time{}, time.Time{})
		assert.Assert(t, run.watchAt.Sub(start) <= max(0, maxUnconfirmed-unconfirmed), "%s", run.watchAt.Sub(start))
		assert.Assert(t, run.watchAt.Sub(start)+unconfirmed < bound)
	}
	// After an outage the VM has until it counts as in touch, 4 s after the return.
	const inTouch = 4 * time.Second
	end := start.Add(10 * time.Second)
	for range 100 {
		run := runStandby(random, start, start, start, end, time.Time{})
		assert.Assert(t, run.watchAt.Sub(end) <= inTouch-500*time.Millisecond, "%s", run.watchAt.Sub(end))
	}
}
