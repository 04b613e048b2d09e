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

// TestModelEncoding guards against an encoding that loses a field or is longer
// than sizeBytes, on which the size limits rely.
func TestModelEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition()
		p.Revision = rapid.Uint64().Draw(t, "revision")
		for range rapid.IntRange(0, 5).Draw(t, "entries") {
			p.put(Entry{
				KeyHash: string(rapid.SliceOfN(rapid.Byte(), keyHashBytes, keyHashBytes).Draw(t, "key")),
				Token:   string(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "token")), Fingerprint: rapid.Uint64().Draw(t, "body"),
				State: State(rapid.IntRange(1, 3).Draw(t, "state")), Status: rapid.IntRange(0, 599).Draw(t, "status"),
				Answer: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "answer"), ChangedAtUnixMilli: rapid.Int64().Draw(t, "at"),
			})
		}
		value, err := p.Encode()
		assert.NilError(t, err)
		assert.Assert(t, len(value) <= p.sizeBytes, "%d bytes, bound %d", len(value), p.sizeBytes)
		read, err := Decode(value)
		assert.NilError(t, err)
		assert.DeepEqual(t, read.entries, p.entries)
		assert.Equal(t, read.Revision, p.Revision)
		assert.Equal(t, read.sizeBytes, p.sizeBytes)
	})
}

// runUntilIdle carries out the calls of an Updater on one object until it requests
// no further call, and returns its results.
func runUntilIdle(u *Updater, now time.Time, o *platform.Object) []Result {
	for {
		a, ok := u.Next(now)
		if !ok {
			return u.Results()
		}
		if a.Load {
			u.Loaded(now, *o, nil)
			continue
		}
		*o = platform.Object{Value: a.Value, Version: o.Version + "x"}
		u.Stored(now, o.Version, nil)
	}
}

// TestFullPartitionRecordsOutcomesAndExpires guards against a full partition that
// refuses outcomes or stays full after its entries have expired, and against
// entries that expire within the retention.
func TestFullPartitionRecordsOutcomesAndExpires(t *testing.T) {
	now := time.UnixMilli(1)
	u := NewUpdater(UpdaterConfig{WritesPerSecond: 1e9, BurstWrites: 1e9, Retention: DefaultRetention}, now)
	value, err := NewPartition().Encode()
	assert.NilError(t, err)
	object := platform.Object{Value: value, Version: "x"}
	submit := func(now time.Time, i int) {
		key := fmt.Sprintf("%016d", i)
		u.Submit(now, Op{ID: uint64(i), Step: wire.ClaimTake, KeyHash: key, Token: key, Deadline: now.Add(time.Second)})
	}
	take := func(now time.Time, i int) wire.ClaimVerdict {
		submit(now, i)
		return runUntilIdle(u, now, &object)[0].Verdict
	}
	for i := range MaxPendingOps {
		submit(now, i)
	}
	claims := 0
	for _, r := range runUntilIdle(u, now, &object) {
		if r.Verdict == wire.ClaimGranted {
			claims++
		}
	}
	assert.Assert(t, claims > 1400, "%d claims", claims)
	assert.Equal(t, take(now, claims), wire.ClaimFull)
	for i := range claims {
		key := fmt.Sprintf("%016d", i)
		u.Submit(now, Op{ID: uint64(i), Step: wire.ClaimRecord, KeyHash: key, Token: key, Answer: make([]byte, answerReserveBytes), Deadline: now.Add(time.Second)})
	}
	for _, r := range runUntilIdle(u, now, &object) {
		assert.Equal(t, r.Verdict, wire.ClaimRecorded)
	}
	assert.Assert(t, len(object.Value) <= MaxObjectBytes)
	assert.Equal(t, take(now.Add(DefaultRetention), 0), wire.ClaimDone)
	assert.Equal(t, take(now.Add(DefaultRetention), claims), wire.ClaimFull)
	assert.Equal(t, take(now.Add(DefaultRetention+ClockSkew+time.Minute), claims), wire.ClaimGranted)
}

// TestWithdrawnToken guards against a delayed claim that arrives after its own
// release and then holds the key for the whole retention.
func TestWithdrawnToken(t *testing.T) {
	now := time.UnixMilli(1)
	u := NewUpdater(UpdaterConfig{WritesPerSecond: 1, BurstWrites: 9, Retention: time.Hour}, now)
	value, err := NewPartition().Encode()
	assert.NilError(t, err)
	object := platform.Object{Value: value, Version: "x"}
	op := Op{Step: wire.ClaimRelease, KeyHash: "key", Token: "token", Deadline: now.Add(time.Second)}
	u.Submit(now, op)
	assert.Equal(t, runUntilIdle(u, now, &object)[0].Verdict, wire.ClaimReleased)
	op.Step = wire.ClaimTake
	u.Submit(now, op)
	assert.Equal(t, runUntilIdle(u, now, &object)[0].Verdict, wire.ClaimWithdrawn)
	op.Token = "other"
	u.Submit(now, op)
	assert.Equal(t, runUntilIdle(u, now, &object)[0].Verdict, wire.ClaimGranted)
}

// TestExpiredAttemptOfHeldKeyIsUnknown guards against a repeat that gets "did not
// run" although another request was known to hold the key and may have run.
func TestExpiredAttemptOfHeldKeyIsUnknown(t *testing.T) {
	a := Attempt{}
	a.Submitted()
	assert.Assert(t, !a.AddResult(Result{Verdict: wire.ClaimWaiting}))
	assert.Assert(t, a.Expire())
	assert.Equal(t, a.Result().Verdict, wire.ClaimUnknown)
	assert.Assert(t, a.NeedsRelease())
	assert.Assert(t, !a.AddResult(Result{Verdict: wire.ClaimGranted}))
}

// TestUnreadableObjectIsNotOverwritten guards against the loss of claims that are
// stored in a format that this version cannot decode.
func TestUnreadableObjectIsNotOverwritten(t *testing.T) {
	now := time.UnixMilli(1)
	u := NewUpdater(UpdaterConfig{WritesPerSecond: 1, BurstWrites: 9}, now)
	u.Submit(now, Op{Step: wire.ClaimTake, KeyHash: "key", Token: "token", Deadline: now.Add(time.Hour)})
	for range 20 {
		if a, ok := u.Next(now); ok {
			assert.Assert(t, a.Load)
			u.Loaded(now, platform.Object{Value: []byte{0x93, 9, 0, 0x90}, Version: "x"}, nil)
		}
		now = now.Add(100 * time.Millisecond)
	}
	r := u.Results()
	assert.Equal(t, r[0].Verdict, wire.ClaimUnavailable)
	assert.Assert(t, !r[0].MayBeStored)
}
