package poison

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

var (
	start  = time.Unix(1000, 0)
	config = Config{BlockDuration: 10 * time.Minute, SuspectDuration: time.Minute, ProvenDuration: 30 * time.Second}
)

// The fixed seed makes test runs reproducible; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// Guards against a request that crashes one upstream after the other, and against
// other requests being blocked because they ran on the same upstreams.
func TestPoisonIsBlockedAndInnocentIsNot(t *testing.T) {
	l, now, lost := NewLedger(config), start, 0
	const poison = 99
	innocent := []uint64{1, 2, 3}
	for round := range 20 {
		now = now.Add(time.Second)
		verdict := l.Check(now, poison)
		if verdict == Blocked {
			continue
		}
		lost++
		inFlight := []uint64{poison}
		for _, fp := range innocent {
			// A suspect request runs alone, so no other suspect is in flight with it.
			if verdict != Suspect || l.Check(now, fp) != Suspect {
				inFlight = append(inFlight, fp)
			}
		}
		l.RecordLoss(now, "r", fmt.Sprint(round), inFlight)
	}
	assert.Equal(t, lost, DefaultLossLimit)
	for _, fp := range innocent {
		assert.Equal(t, l.Check(now, fp), Suspect)
		e, changed := l.RecordSuccess(now, fp)
		assert.Assert(t, changed && e.Lifted)
		assert.Equal(t, l.Check(now, fp), Proven)
	}
	_, changed := l.RecordSuccess(now, poison)
	assert.Assert(t, !changed)
	assert.Equal(t, l.Check(now, poison), Blocked)
}

// Guards against one crash counting several times because several connections report
// it, with and without a known instance.
func TestOneLossCountsOnce(t *testing.T) {
	for _, instance := range []string{"a", ""} {
		l := NewLedger(config)
		assert.Equal(t, len(l.RecordLoss(start, "r", instance, []uint64{1, 2, 1})), 2)
		assert.Equal(t, len(l.RecordLoss(start.Add(time.Second), "r", instance, []uint64{1})), 0)
		assert.Equal(t, l.Check(start, 1), Suspect)
		assert.Equal(t, len(l.RecordLoss(start.Add(time.Second), "other", instance, []uint64{1})), 1)
		assert.Equal(t, l.Check(start.Add(time.Second), 1), Blocked)
	}
	l := NewLedger(config)
	l.RecordLoss(start, "r", "", []uint64{1})
	l.RecordLoss(start.Add(2*unknownInstanceWindow), "r", "", []uint64{1})
	assert.Equal(t, l.Check(start.Add(2*unknownInstanceWindow), 1), Blocked)
}

// Guards against verdicts that never end because VMs keep sending them to each other.
func TestVerdictsExpire(t *testing.T) {
	a, b, now := NewLedger(config), NewLedger(config), start
	a.RecordLoss(now, "r", "1", []uint64{1, 2})
	a.RecordLoss(now, "r", "2", []uint64{2})
	for now.Before(start.Add(config.BlockDuration + 5*time.Second)) {
		for _, e := range a.List(now) {
			b.Merge(now.Add(time.Second), e)
		}
		now = now.Add(time.Second)
		for _, e := range b.List(now) {
			a.Merge(now.Add(time.Second), e)
		}
		if now.After(start.Add(config.SuspectDuration + time.Second)) {
			assert.Equal(t, a.Check(now, 1), Unknown)
		}
		if now.Before(start.Add(config.BlockDuration - 2*time.Second)) {
			assert.Equal(t, a.Check(now, 2), Blocked)
		}
	}
	assert.Equal(t, len(a.List(now))+len(b.List(now)), 0)
	a.RecordLoss(now, "r", "9", []uint64{1})
	assert.Equal(t, a.Check(now, 1), Suspect, "a loss whose verdict has expired does not count")

	c := NewLedger(config)
	for _, instance := range []string{"1", "2", "3"} {
		c.RecordLoss(start, "r", instance, []uint64{1})
	}
	b = NewLedger(config)
	b.RecordLoss(start, "r", "1", []uint64{1})
	cleared, _ := b.RecordSuccess(start, 1)
	assert.Assert(t, c.Merge(start.Add(config.BlockDuration/2), cleared))
	assert.Equal(t, c.Check(start.Add(config.BlockDuration), 1), Unknown, "an entry with a cleared loss does not extend the verdict")
	a.RecordSuccess(now, 3)
	assert.Equal(t, a.Check(now.Add(config.ProvenDuration), 3), Proven)
	assert.Equal(t, a.Check(now.Add(config.ProvenDuration+1), 3), Unknown)
}

// Guards against two losses that two VMs see counting as one, and against an old
// entry that undoes a lift.
func TestMergeCountsInstancesAndKeepsLifts(t *testing.T) {
	a, b := NewLedger(config), NewLedger(config)
	fromA := a.RecordLoss(start, "r1", "x", []uint64{1})[0]
	fromB := b.RecordLoss(start, "r2", "y", []uint64{1})[0]
	assert.Assert(t, a.Merge(start, fromB) && b.Merge(start, fromA))
	blocked := a.List(start)[0]
	assert.Assert(t, blocked.Blocked && blocked.TTL == config.BlockDuration)
	assert.DeepEqual(t, a.List(start), b.List(start))
	lift, ok := b.Lift(start, 1)
	assert.Assert(t, ok && lift.Lifted)
	c := NewLedger(config)
	for range 2 {
		for _, e := range []model.PoisonEntry{lift, blocked, fromA, fromB} {
			a.Merge(start, e)
			c.Merge(start, e)
		}
	}
	assert.Equal(t, a.Check(start, 1), Unknown)
	assert.Equal(t, c.Check(start, 1), Unknown)
	b.RecordLoss(start, "r1", "z", []uint64{1})
	assert.Equal(t, b.Check(start, 1), Suspect, "losses before the lift do not count")
}

// Guards against memory that grows with the number of requests, and against blocks
// that are dropped to keep suspects.
func TestMemoryIsBounded(t *testing.T) {
	l := NewLedger(config)
	l.RecordLoss(start, "r", "1", []uint64{1})
	l.RecordLoss(start, "r", "2", []uint64{1})
	late := start.Add(config.BlockDuration - config.SuspectDuration/2)
	for fp := range uint64(3 * MaxProven) {
		l.RecordLoss(late, "r", "3", []uint64{fp + 10})
		l.RecordSuccess(late, fp+1e9)
	}
	assert.Assert(t, len(l.records) <= MaxRecords)
	assert.Assert(t, len(l.proven.current)+len(l.proven.previous) <= MaxProven)
	assert.Equal(t, l.Check(late, 1), Blocked)
	for fp := range uint64(MaxRecords / 2) {
		l.RecordLoss(start.Add(time.Hour), "r", "4", []uint64{fp})
	}
	assert.Assert(t, len(l.records) <= MaxRecords/2, "expired records are dropped first")
	for i := range 2 * model.MaxPoisonInstances {
		l.RecordSuccess(start, 5)
		l.RecordLoss(start, "r", fmt.Sprint("5-", i), []uint64{5})
	}
	l.RecordLoss(start, "r", "5-last", []uint64{5})
	assert.Equal(t, l.Check(start, 5), Blocked, "new losses replace cleared ones")
}

// Guards against different requests that get the same fingerprint because their parts
// are hashed without their lengths.
func TestFingerprintDelimitsParts(t *testing.T) {
	assert.Assert(t, Fingerprint("ab", "c", nil) != Fingerprint("a", "bc", nil))
	assert.Assert(t, Fingerprint("a", "b", []byte("c")) != Fingerprint("a", "bc", nil))
	zeros := make([]byte, 'a')
	assert.Assert(t, Fingerprint("", string(zeros), nil) != Fingerprint("a", "", zeros[1:]))
	assert.Equal(t, Fingerprint("a", "b", []byte("c")), Fingerprint("a", "b", []byte("c")))
}

// TestModelLedgers compares three ledgers with sets of lost and cleared instances.
// The ledgers exchange entries late, in any order and repeatedly. It guards against
// verdicts that depend on the order of the entries.
func TestModelLedgers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type lossSet = map[int]bool // lost instance to whether its loss was cleared
		var ledgers [3]*Ledger
		var known [3]lossSet
		for i := range ledgers {
			ledgers[i], known[i] = NewLedger(config), lossSet{}
		}
		type message struct {
			entry model.PoisonEntry
			known lossSet
		}
		var messages []message
		losses := 0
		copyOf := func(s lossSet) lossSet {
			c := lossSet{}
			for k, v := range s {
				c[k] = v
			}
			return c
		}
		active := func(s lossSet) (n int) {
			for _, cleared := range s {
				if !cleared {
					n++
				}
			}
			return n
		}
		clearAll := func(s lossSet) {
			for k := range s {
				s[k] = true
			}
		}
		vm := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"lost": func(t *rapid.T) {
				if losses == model.MaxPoisonInstances {
					return
				}
				i := vm.Draw(t, "vm")
				losses++
				known[i][losses] = false
				for _, e := range ledgers[i].RecordLoss(start, "r", fmt.Sprint(losses), []uint64{7}) {
					messages = append(messages, message{e, copyOf(known[i])})
				}
			},
			"succeeded": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				n := active(known[i])
				e, changed := ledgers[i].RecordSuccess(start, 7)
				assert.Equal(t, changed, n > 0 && n < DefaultLossLimit)
				if changed {
					clearAll(known[i])
					messages = append(messages, message{e, copyOf(known[i])})
				}
			},
			"lift": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				e, ok := ledgers[i].Lift(start, 7)
				assert.Equal(t, ok, active(known[i]) > 0)
				if ok {
					clearAll(known[i])
					messages = append(messages, message{e, copyOf(known[i])})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(messages) == 0 {
					return
				}
				i := vm.Draw(t, "vm")
				m := rapid.SampledFrom(messages).Draw(t, "message")
				before := fmt.Sprint(known[i])
				for k, cleared := range m.known {
					known[i][k] = known[i][k] || cleared
				}
				assert.Equal(t, ledgers[i].Merge(start, m.entry), fmt.Sprint(known[i]) != before)
			},
			"": func(t *rapid.T) {
				for i, l := range ledgers {
					n := active(known[i])
					assert.Equal(t, l.Check(start, 7) == Blocked, n >= DefaultLossLimit)
					assert.Equal(t, l.Check(start, 7) == Suspect, n > 0 && n < DefaultLossLimit)
					assert.Equal(t, len(l.List(start)), min(n, 1))
				}
			},
		})
	})
}

func BenchmarkCheck(b *testing.B) {
	l := NewLedger(config)
	for fp := range uint64(MaxRecords) {
		l.RecordLoss(start, "r", "1", []uint64{fp})
	}
	for name, fp := range map[string]uint64{"suspect": 5, "unknown": 1 << 40} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					l.Check(start, fp)
				}
			})
		})
	}
}

func BenchmarkRecordSuccess(b *testing.B) {
	l, fp := NewLedger(config), uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		fp++
		l.RecordSuccess(start, fp)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1024)
	b.ReportAllocs()
	for b.Loop() {
		Fingerprint("assistance", "search", body)
	}
}

// Guards against a success at some services that counts for one that was missing, and
// against one that is forgotten when a later one lacks other services.
func TestPartialSuccessCountsForTheServicesThatAnswered(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	l := NewLedger(Config{ProvenDuration: 30 * time.Second})
	since := func(service string) (s int) {
		for s = 0; s < 20 && l.SucceededSince(at(20), 1, service, at(s)); s++ {
		}
		return s - 1
	}
	l.RecordPartialSuccess(at(1), 1, []string{"a", "b"})
	assert.DeepEqual(t, []int{since("a"), since("b"), since("c")}, []int{-1, -1, 1})
	l.RecordPartialSuccess(at(2), 1, []string{"b", "c"})
	assert.DeepEqual(t, []int{since("a"), since("b"), since("c")}, []int{2, -1, 1})
	l.RecordPartialSuccess(at(3), 1, []string{"a", "b", "c"})
	assert.DeepEqual(t, []int{since("a"), since("b"), since("c")}, []int{2, -1, 1})
	l.RecordSuccess(at(4), 1)
	assert.DeepEqual(t, []int{since("a"), since("b"), since("c")}, []int{4, 4, 4})
	l.RecordPartialSuccess(at(5), 1, []string{"b"})
	assert.DeepEqual(t, []int{since("a"), since("b"), since("c")}, []int{5, 4, 5})
	assert.Assert(t, !l.SucceededSince(at(36), 1, "a", at(0)), "longer ago than ProvenDuration")
	assert.Assert(t, !l.SucceededSince(at(20), 2, "a", at(0)), "another request")
}

// Guards against a popular request that is blocked because several attempts for it were in
// flight when many replicas ended, and against one that crashes replicas and is not blocked
// because its first attempts overlapped.
func TestOverlappingAttemptsCountOnce(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l := NewLedger(config)
	attempt := func(from, to int) { l.RecordAttempt(at(to), fmt.Sprint(from, "-", to), at(from), at(to), 1, 2) }
	for i := range 2 * model.MaxPoisonInstances {
		attempt(i, 100+i)
	}
	assert.Equal(t, l.Losses(at(200), 1), 1)
	attempt(50, 250)
	assert.Equal(t, l.Losses(at(250), 1), 1)
	attempt(210, 260)
	assert.Equal(t, l.Losses(at(260), 1), 2)
	attempt(300, 310)
	assert.Equal(t, l.Check(at(310), 1), Blocked)
	assert.Equal(t, l.CheckAttempt(at(310), Attempt{Fingerprint: 9, Exact: 2}), Blocked)
	assert.Equal(t, l.CheckAttempt(at(310), Attempt{Fingerprint: 9, Exact: 8, Former: 2}), Blocked, "VMs of older versions report another fingerprint")
	l.ClearAttempt(at(311), "300-310", 1, 2)
	l.ClearAttempt(at(311), "210-260", 1, 2)
	assert.Equal(t, l.Check(at(311), 1), Suspect)
	for i := range DefaultLossLimit {
		l.RecordAttempt(at(400), fmt.Sprint("unknown start ", i), time.Time{}, at(400), 7)
	}
	assert.Equal(t, l.Check(at(400), 7), Blocked)
}
