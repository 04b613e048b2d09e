package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// TestModelEncoding guards against an encoding that loses a field or exceeds
// the size that the bounds are checked with.
func TestModelEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition()
		p.Revision = rapid.Uint64().Draw(t, "revision")
		for range rapid.IntRange(0, 5).Draw(t, "entries") {
			p.put(Entry{
				KeyHash: string(rapid.SliceOfN(rapid.Byte(), hashBytes, hashBytes).Draw(t, "key")),
				Token:   string(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "token")), Fingerprint: rapid.Uint64().Draw(t, "body"),
				State: State(rapid.IntRange(1, 3).Draw(t, "state")), Status: rapid.IntRange(0, 599).Draw(t, "status"),
				Answer: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "answer"), At: rapid.Int64().Draw(t, "at"),
			})
		}
		value, err := p.Encode()
		assert.NilError(t, err)
		assert.Assert(t, len(value) <= p.size, "%d bytes, bound %d", len(value), p.size)
		read, err := Decode(value)
		assert.NilError(t, err)
		assert.DeepEqual(t, read.entries, p.entries)
		assert.Equal(t, read.Revision, p.Revision)
		assert.Equal(t, read.size, p.size)
	})
}

// drive runs a Machine against one object until it wants nothing more.
func drive(m *Machine, now time.Time, o *platform.Object) []Result {
	for {
		a, ok := m.Next(now)
		if !ok {
			return m.Results()
		}
		if a.Load {
			m.Loaded(now, *o, nil)
			continue
		}
		*o = platform.Object{Value: a.Value, Version: o.Version + "x"}
		m.Stored(now, o.Version, nil)
	}
}

// TestFullAndExpired guards against a full partition that refuses outcomes or
// stays full after its entries have expired, and against entries that expire
// within the retention.
func TestFullAndExpired(t *testing.T) {
	now := time.UnixMilli(1)
	m := NewMachine(MachineConfig{WritesPerSecond: 1e9, Burst: 1e9, Retention: DefaultRetention}, now)
	value, err := NewPartition().Encode()
	assert.NilError(t, err)
	object := platform.Object{Value: value, Version: "x"}
	submit := func(now time.Time, i int) {
		key := fmt.Sprintf("%016d", i)
		m.Submit(now, Op{ID: uint64(i), Step: wire.ClaimTake, KeyHash: key, Token: key, Deadline: now.Add(time.Second)})
	}
	take := func(now time.Time, i int) wire.ClaimVerdict {
		submit(now, i)
		return drive(m, now, &object)[0].Verdict
	}
	for i := range MaxPending {
		submit(now, i)
	}
	claims := 0
	for _, r := range drive(m, now, &object) {
		if r.Verdict == wire.ClaimGranted {
			claims++
		}
	}
	assert.Assert(t, claims > 1400, "%d claims", claims)
	assert.Equal(t, take(now, claims), wire.ClaimFull)
	for i := range claims {
		key := fmt.Sprintf("%016d", i)
		m.Submit(now, Op{ID: uint64(i), Step: wire.ClaimRecord, KeyHash: key, Token: key, Answer: make([]byte, answerReserve), Deadline: now.Add(time.Second)})
	}
	for _, r := range drive(m, now, &object) {
		assert.Equal(t, r.Verdict, wire.ClaimRecorded)
	}
	assert.Assert(t, len(object.Value) <= MaxObject)
	assert.Equal(t, take(now.Add(DefaultRetention), 0), wire.ClaimDone)
	assert.Equal(t, take(now.Add(DefaultRetention), claims), wire.ClaimFull)
	assert.Equal(t, take(now.Add(DefaultRetention+ClockSkew+time.Minute), claims), wire.ClaimGranted)
}

// TestWithdrawnToken guards against a claim that arrives after its own release
// and holds the key for the retention.
func TestWithdrawnToken(t *testing.T) {
	now := time.UnixMilli(1)
	m := NewMachine(MachineConfig{WritesPerSecond: 1, Burst: 9, Retention: time.Hour}, now)
	value, err := NewPartition().Encode()
	assert.NilError(t, err)
	object := platform.Object{Value: value, Version: "x"}
	op := Op{Step: wire.ClaimRelease, KeyHash: "key", Token: "token", Deadline: now.Add(time.Second)}
	m.Submit(now, op)
	assert.Equal(t, drive(m, now, &object)[0].Verdict, wire.ClaimReleased)
	op.Step = wire.ClaimTake
	m.Submit(now, op)
	assert.Equal(t, drive(m, now, &object)[0].Verdict, wire.ClaimWithdrawn)
	op.Token = "other"
	m.Submit(now, op)
	assert.Equal(t, drive(m, now, &object)[0].Verdict, wire.ClaimGranted)
}

// TestExpiredAttempt guards against a repeat that is told that it did not run
// although it was seen that another request holds the key.
func TestExpiredAttempt(t *testing.T) {
	a := Attempt{}
	a.Started()
	assert.Assert(t, !a.Reply(Result{Verdict: wire.ClaimWaiting}))
	assert.Assert(t, a.Expire())
	assert.Equal(t, a.Result().Verdict, wire.ClaimUnknown)
	assert.Assert(t, a.NeedsRelease())
	assert.Assert(t, !a.Reply(Result{Verdict: wire.ClaimGranted}))
}

// TestUnreadableObject guards against overwriting claims that this version
// cannot read.
func TestUnreadableObject(t *testing.T) {
	now := time.UnixMilli(1)
	m := NewMachine(MachineConfig{WritesPerSecond: 1, Burst: 9}, now)
	m.Submit(now, Op{Step: wire.ClaimTake, KeyHash: "key", Token: "token", Deadline: now.Add(time.Hour)})
	for range 20 {
		if a, ok := m.Next(now); ok {
			assert.Assert(t, a.Load)
			m.Loaded(now, platform.Object{Value: []byte{0x93, 9, 0, 0x90}, Version: "x"}, nil)
		}
		now = now.Add(100 * time.Millisecond)
	}
	r := m.Results()
	assert.Equal(t, r[0].Verdict, wire.ClaimUnavailable)
	assert.Assert(t, !r[0].Exposed)
}
