package connbudget

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a crowd of connections that stop halfway and keep ordinary callers out,
// and against closing ordinary callers' idle connections before it.
func TestCrowdGivesWayToOrdinaryCallers(t *testing.T) {
	const limit = 100
	b := New([Ports]Limits{Callers: {Conns: limit}})
	ordinary, verdict := b.Open(at(0), Callers)
	assert.Assert(t, verdict.Granted)
	b.SetPhase(at(0), ordinary, Serving)
	b.SetPhase(at(10_000), ordinary, Idle)
	crowd := map[ID]bool{}
	for i := range 10 * limit {
		id, verdict := b.Open(at(22_000+i/100), Callers) // idle for 12 s, the crowd for milliseconds
		assert.Assert(t, verdict.Granted)
		crowd[id] = true
		for _, closed := range verdict.Close {
			assert.Assert(t, crowd[closed], "the ordinary connection was closed")
		}
	}
	conns, _ := b.Held(Callers)
	assert.Equal(t, conns, limit)
}

// Guards against a crowd of connections that are served once and stay idle: they must not
// keep new callers out, nor cost one its request that is coming in.
func TestIdleCrowdGivesWayToNewRequests(t *testing.T) {
	const limit = 100
	b := New([Ports]Limits{Callers: {Conns: limit}})
	for i := range limit {
		id, _ := b.Open(at(i), Callers)
		b.SetPhase(at(i), id, Idle)
	}
	for i := range limit / 2 {
		_, verdict := b.Open(at(1000+i), Callers)
		assert.Assert(t, verdict.Granted)
		assert.DeepEqual(t, verdict.Close, []ID{ID(i + 1)})
	}
}

// Guards against one client that holds much for long while others, which hold little or
// have just come, are closed in its place.
func TestLargestAndOldestIsClosedFirst(t *testing.T) {
	b := New([Ports]Limits{Callers: {Bytes: 10 * ConnBytes}})
	old, _ := b.Open(at(0), Callers)
	large, _ := b.Open(at(500), Callers)
	assert.Assert(t, b.Hold(at(500), large, 5*ConnBytes).Granted)
	fresh, _ := b.Open(at(990), Callers)
	assert.Assert(t, b.Hold(at(1000), fresh, ConnBytes).Granted)
	verdict := b.Hold(at(1000), fresh, 2*ConnBytes)
	assert.Assert(t, verdict.Granted)
	assert.DeepEqual(t, verdict.Close, []ID{large})
	assert.Assert(t, !b.Hold(at(1001), large, 1).Granted, "it was closed")
	verdict = b.Hold(at(1100), fresh, 7*ConnBytes)
	assert.Assert(t, !verdict.Granted, "the port has no room for it alone")
	assert.Equal(t, len(verdict.Close), 0)
	verdict = b.Hold(at(1100), fresh, 6*ConnBytes)
	assert.Assert(t, verdict.Granted)
	assert.DeepEqual(t, verdict.Close, []ID{old})
}

// Guards against a request that is cut off while it is served, and against a port that
// takes more than its limit where nothing may be closed.
func TestServedRequestsAreNotCutOff(t *testing.T) {
	b := New([Ports]Limits{Callers: {Conns: 2}})
	for range 2 {
		id, _ := b.Open(at(0), Callers)
		b.SetPhase(at(1), id, Serving)
	}
	_, verdict := b.Open(at(60_000), Callers)
	assert.Assert(t, !verdict.Granted)
	assert.Equal(t, len(verdict.Close), 0)
	_, verdict = b.Open(at(60_000), Ready)
	assert.Assert(t, verdict.Granted, "the share of ready checks is their own")
}

// Guards against answers that nobody reads and that are held without end.
func TestUnreadAnswersStall(t *testing.T) {
	b := New([Ports]Limits{})
	unread, _ := b.Open(at(0), Callers)
	b.SetPhase(at(0), unread, Answering)
	other, _ := b.Open(at(0), Callers)
	b.SetPhase(at(0), other, Serving)
	assert.Equal(t, len(b.CloseStalled(at(1000), time.Second)), 0)
	assert.DeepEqual(t, b.CloseStalled(at(1001), time.Second), []ID{unread})
}

// Guards against connections that are told to close faster than they end, and hold their
// memory beside those that take their place.
func TestClosedConnectionsCountUntilTheyEnd(t *testing.T) {
	b := New([Ports]Limits{Callers: {Bytes: 8 * ConnBytes}})
	var closed []ID
	for i := range 11 {
		_, verdict := b.Open(at(i*100), Callers)
		closed = append(closed, verdict.Close...)
		assert.Equal(t, b.Draining(Callers), len(closed) > 2)
	}
	b.Close(closed[0])
	assert.Assert(t, !b.Draining(Callers))
}

// Guards against counts that drift from what the connections hold, and against limits
// that are exceeded, over random histories.
func TestModelHeldStaysWithinLimits(t *testing.T) {
	limits := [Ports]Limits{Callers: {Conns: 8, Bytes: 20 * ConnBytes}, Ready: {Conns: 2, Bytes: 3 * ConnBytes}, Peers: {Conns: 4, Bytes: 8 * ConnBytes}}
	rapid.Check(t, func(t *rapid.T) {
		b, now, open := New(limits), start, []ID{}
		closeAll := func(v Verdict) {
			for _, id := range v.Close {
				open = slices.DeleteFunc(open, func(o ID) bool { return o == id })
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			step := rapid.IntRange(0, 5).Draw(t, "step")
			if step == 0 || len(open) == 0 {
				id, v := b.Open(now, Port(rapid.IntRange(0, int(Ports)-1).Draw(t, "port")))
				if closeAll(v); v.Granted {
					open = append(open, id)
				}
				continue
			}
			id := rapid.SampledFrom(open).Draw(t, "conn")
			switch step {
			case 1:
				closeAll(b.Hold(now, id, int64(rapid.IntRange(0, 4*ConnBytes).Draw(t, "bytes"))))
			case 2, 3:
				b.SetPhase(now, id, Phase(rapid.IntRange(0, int(Idle)).Draw(t, "phase")))
			case 5:
				closeAll(b.SetUnread(now, id, int64(rapid.IntRange(0, 4*ConnBytes).Draw(t, "unread"))))
			case 4:
				b.Close(id)
				open = slices.DeleteFunc(open, func(o ID) bool { return o == id })
			}
			total := 0
			for d, l := range limits {
				conns, bytes := b.Held(Port(d))
				total += conns
				assert.Assert(t, conns <= l.Conns && bytes <= l.Bytes && bytes >= int64(conns)*ConnBytes, "%s: %d, %d", Port(d), conns, bytes)
			}
			assert.Equal(t, total, len(open))
		}
	})
}
