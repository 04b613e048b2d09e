package replica

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against VMs that together exceed a request limit within any 4 s, whatever
// the load of each is, also when one more VM joins that the others do not know yet.
func TestModelVMsKeepARequestLimitTogether(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SampledFrom([]int{2, 3, 5, 29, 119}).Draw(t, "vms")
		limit := RequestLimit{PerSecond: rapid.Float64Range(0, 80).Draw(t, "limit"), Named: true}
		trackers := make([]*Tracker, vms)
		for i := range trackers {
			trackers[i] = NewTracker(true, 3)
			trackers[i].SetVMs(vms, i)
			trackers[i].RecordRequestLimit(start.Add(-time.Minute), start.Add(-time.Minute), limit)
		}
		if rapid.Bool().Draw(t, "joins") {
			for i := range trackers[:vms-1] {
				trackers[i].SetVMs(vms-1, i)
			}
		}
		var sent []time.Time
		now := start
		flutters := rapid.Bool().Draw(t, "flutters")
		for i := range rapid.IntRange(1, 200).Draw(t, "bursts") {
			if flutters {
				each := RequestLimit{PerSecond: limit.PerSecond * (1 - 0.001*float64(i%7)), Named: true}
				for _, tr := range trackers {
					tr.RecordRequestLimit(now, now, each)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "gap")) * time.Millisecond)
			for range rapid.IntRange(1, 20).Draw(t, "requests") {
				from := rapid.IntRange(0, vms-1).Draw(t, "vm")
				for i := range rapid.IntRange(1, vms).Draw(t, "senders") {
					if trackers[(from+i)%vms].AllowSend(now) {
						sent = append(sent, now)
					}
				}
			}
		}
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= window {
				first++
			}
			assert.Assert(t, float64(i-first+1) <= 1.5*limit.PerSecond*window.Seconds()+5, "%d requests within %s, limit %g a second, %d VMs", i-first+1, window, limit.PerSecond, vms)
		}
	})
}

// Guards against a limit of which a good part is never given out.
func TestVMsUseMostOfARequestLimit(t *testing.T) {
	for _, vms := range []int{1, 5, 119} {
		trackers := make([]*Tracker, vms)
		for i := range trackers {
			trackers[i] = NewTracker(true, 3)
			trackers[i].SetVMs(vms, i)
			trackers[i].RecordRequestLimit(start, start, RequestLimit{PerSecond: 20, Named: true})
		}
		sent := 0
		for ms := range 20_000 {
			for _, tr := range trackers {
				if tr.AllowSend(start.Add(time.Duration(ms) * time.Millisecond)) {
					sent++
				}
			}
		}
		assert.Assert(t, sent > 20*20*7/10, "%d VMs: %d requests in 20 s", vms, sent)
	}
}

// Guards against a VM without requests that saves up permits and then sends them all.
func TestPermitsLapse(t *testing.T) {
	tr := NewTracker(true, 3)
	tr.RecordRequestLimit(start, start, RequestLimit{PerSecond: 20, Named: true})
	sent := 0
	for tr.AllowSend(start.Add(time.Minute)) {
		sent++
	}
	assert.Assert(t, sent <= 20, "%d", sent)
	wait := tr.WaitForPermit(start.Add(time.Minute))
	assert.Assert(t, wait > 0 && wait <= 63*time.Millisecond, "%s", wait)
	assert.Assert(t, tr.AllowSend(start.Add(time.Minute+wait)))
}

// Guards against an answer from before the limit that seems to end it, and against a
// limit that does not end.
func TestRequestLimitEndsWithALaterAnswer(t *testing.T) {
	tr := NewTracker(true, 3)
	named := RequestLimit{PerSecond: 1, Named: true}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	_, _, changed := tr.RecordRequestLimit(at(100), at(50), named)
	assert.Assert(t, changed)
	_, _, changed = tr.RecordRequestLimit(at(110), at(60), RequestLimit{})
	assert.Assert(t, !changed)
	assert.Assert(t, !tr.AllowSend(at(120)))
	before, _, changed := tr.RecordRequestLimit(at(300), at(200), RequestLimit{})
	assert.Assert(t, changed)
	assert.Equal(t, before, named)
	for range 50 {
		assert.Assert(t, tr.AllowSend(at(300)))
	}
}

// Guards against a log line and a report to the store for each answer of a replica
// whose limit changes a little with each.
func TestSmallChangesOfARequestLimitAreNotReported(t *testing.T) {
	tr := NewTracker(true, 3)
	reported := 0
	for i := range 100 {
		limit := RequestLimit{PerSecond: 20 + 0.01*float64(i%10), Named: true}
		if _, _, changed := tr.RecordRequestLimit(start, start, limit); changed {
			reported++
		}
		assert.Equal(t, tr.RequestLimit(), limit)
	}
	assert.Equal(t, reported, 1)
	_, _, changed := tr.RecordRequestLimit(start, start, RequestLimit{PerSecond: 15, Named: true})
	assert.Assert(t, changed)
}

// Guards against permits of several VMs that fall on the same moments.
func TestPermitsOfVMsAreSpread(t *testing.T) {
	const vms = 10
	limit := RequestLimit{PerSecond: 5, Named: true}
	apart := shareOf(limit, vms, 0).interval / vms
	assert.Assert(t, apart >= 250*time.Millisecond && apart < 263*time.Millisecond, "%s", apart)
	var permits []time.Time
	for i := range vms {
		var p permitSchedule
		permit, _ := p.next(start, shareOf(limit, vms, i))
		permits = append(permits, permit)
	}
	slices.SortFunc(permits, time.Time.Compare)
	for i := range vms - 1 {
		gap := permits[i+1].Sub(permits[i])
		assert.Assert(t, gap > apart-time.Millisecond && gap < apart+time.Millisecond, "%s", gap)
	}
}
