package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const usualLatency = 20 * time.Millisecond

func cost(t *testing.T, tr *Tracker, now time.Time) time.Duration {
	t.Helper()
	d, ok := tr.Cost(now, usualLatency)
	assert.Assert(t, ok)
	return d
}

// Guards against sending requests to a replica that has stopped responding while
// others are free.
func TestUnresponsiveReplicaIsAvoided(t *testing.T) {
	paused, busy := NewTracker(true, 3), NewTracker(true, 3)
	paused.Begin(start)
	busy.Begin(start)
	busy.End(start.Add(95*time.Millisecond), start.Add(80*time.Millisecond), Served)
	busy.Begin(start.Add(96 * time.Millisecond))
	now := start.Add(100 * time.Millisecond)
	assert.Assert(t, cost(t, paused, now) > 2*cost(t, busy, now))
	beforeResponse := cost(t, paused, now)
	paused.End(now, start, Served)
	assert.Assert(t, cost(t, paused, now) < beforeResponse)
}

// Guards against never using a replica again after it was slow once.
func TestHighLatencyDecays(t *testing.T) {
	tr := NewTracker(true, 1)
	tr.Begin(start)
	tr.End(start.Add(time.Second), start, Served)
	soon, later := start.Add(time.Second), start.Add(31*time.Second)
	assert.Assert(t, cost(t, tr, soon) > 900*time.Millisecond)
	assert.Assert(t, cost(t, tr, later) < 25*time.Millisecond)
}

// Guards against preferring a replica that fails fast, because its failures look like
// a low latency.
func TestFailingReplicaIsAvoided(t *testing.T) {
	bad, good := NewTracker(true, 1), NewTracker(true, 1)
	now := start
	for range 6 {
		bad.Begin(now)
		bad.End(now.Add(time.Millisecond), now, Failed)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, cost(t, bad, now) > 3*cost(t, good, now))
	bad.SetDown(true)
	_, usable := bad.Cost(now, usualLatency)
	assert.Assert(t, !usable)
}

// Guards against sending more requests to a cold replica within any second than it
// accepts from all VMs together, for any send times and any number of VMs.
func TestModelColdReplicaRateStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "vms")
		totalPerSecond := rapid.Float64Range(1, 60).Draw(t, "total")
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("vm", i)
		}
		trackers := make([]*Tracker, n)
		for i, vm := range names {
			trackers[i] = NewTracker(true, 1)
			trackers[i].LimitCold(start.Add(time.Hour), ColdRequestsPerSecond(totalPerSecond, "r", vm, names))
		}
		var sent []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "sends") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			if trackers[rapid.IntRange(0, n-1).Draw(t, "vm")].AllowSend(now) {
				sent = append(sent, now)
			}
			lastSecond := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					lastSecond++
				}
			}
			assert.Assert(t, float64(lastSecond) <= totalPerSecond, "%d requests within a second, limit %.1f", lastSecond, totalPerSecond)
		}
	})
}
