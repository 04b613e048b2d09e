package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const usual = 20 * time.Millisecond

func expected(t *testing.T, tr *Tracker, now time.Time) time.Duration {
	t.Helper()
	d, ok := tr.Cost(now, usual)
	assert.Assert(t, ok)
	return d
}

// Guards against requests that queue at a replica which has stopped answering
// while others are free.
func TestSilentReplicaIsAvoided(t *testing.T) {
	paused, busy := NewTracker(true, 3), NewTracker(true, 3)
	paused.Begin(start)
	busy.Begin(start)
	busy.End(start.Add(95*time.Millisecond), start.Add(80*time.Millisecond), Served)
	busy.Begin(start.Add(96 * time.Millisecond))
	now := start.Add(100 * time.Millisecond)
	assert.Assert(t, expected(t, paused, now) > 2*expected(t, busy, now))
	silent := expected(t, paused, now)
	paused.End(now, start, Served)
	assert.Assert(t, expected(t, paused, now) < silent)
}

// Guards against a replica that was slow once and is never tried again.
func TestSlownessIsForgotten(t *testing.T) {
	tr := NewTracker(true, 1)
	tr.Begin(start)
	tr.End(start.Add(time.Second), start, Served)
	soon, later := start.Add(time.Second), start.Add(31*time.Second)
	assert.Assert(t, expected(t, tr, soon) > 900*time.Millisecond)
	assert.Assert(t, expected(t, tr, later) < 25*time.Millisecond)
}

// Guards against a replica that fails fast and so looks like the fastest one.
func TestFailingReplicaIsAvoided(t *testing.T) {
	bad, good := NewTracker(true, 1), NewTracker(true, 1)
	now := start
	for range 6 {
		bad.Begin(now)
		bad.End(now.Add(time.Millisecond), now, Failed)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, expected(t, bad, now) > 3*expected(t, good, now))
	bad.SetDown(true)
	_, usable := bad.Cost(now, usual)
	assert.Assert(t, !usable)
}

// Guards against more requests at a cold replica within any second than the
// VMs may send together, whatever the times of the sends and the number of VMs.
func TestModelColdReplicaStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "vms")
		total := rapid.Float64Range(1, 60).Draw(t, "total")
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("vm", i)
		}
		trackers := make([]*Tracker, n)
		for i, vm := range names {
			trackers[i] = NewTracker(true, 1)
			trackers[i].LimitCold(start.Add(time.Hour), ColdRequestsPerSecond(total, "r", vm, names))
		}
		var sent []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "sends") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			if trackers[rapid.IntRange(0, n-1).Draw(t, "vm")].AllowCold(now) {
				sent = append(sent, now)
			}
			within := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					within++
				}
			}
			assert.Assert(t, float64(within) <= total, "%d in a second, bound %.1f", within, total)
		}
	})
}
