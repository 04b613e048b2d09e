package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

func batchOf(x *scriptedStream) *wire.SearchBatch { return x.request.(*wire.SearchBatch) }

func failureOf(r *errs.Refusal) *wire.Failure { return wire.FailureOf(r) }

// Guards against rows of a partial answer that belongs to another query, attempt,
// replica or group, or is incomplete. None of them may count, and the search must
// be sent to the group again.
func TestForeignPartialsNeverCount(t *testing.T) {
	bad := func(change func(p *wire.SearchPartial)) func(x *scriptedStream) {
		return func(x *scriptedStream) {
			p := partialFor(batchOf(x), nil)
			for i := range p.Rows {
				p.Rows[i].Data = []byte(`"foreign"`)
			}
			change(p)
			x.replies <- p
		}
	}
	for name, first := range map[string]func(x *scriptedStream){
		"other query":    bad(func(p *wire.SearchPartial) { p.QueryID = "other" }),
		"other attempt":  bad(func(p *wire.SearchPartial) { p.Groups[0].Attempt += 100 }),
		"other replica":  bad(func(p *wire.SearchPartial) { p.Groups[0].Replica = "other" }),
		"unknown group":  bad(func(p *wire.SearchPartial) { p.Groups[0].Group = "other" }),
		"other shards":   bad(func(p *wire.SearchPartial) { p.Groups[0].Shards = []model.ShardID{"other"} }),
		"missing shards": bad(func(p *wire.SearchPartial) { p.Groups[0].Shards = nil }),
		"cut off":        func(x *scriptedStream) { x.breakConnection() },
		"other message":  func(x *scriptedStream) { x.replies <- &wire.CallReply{} },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				s := newTestTier(t, 1, func(n int, x *scriptedStream) {
					if n == 1 {
						first(x)
						return
					}
					x.answer(nil)
				})
				a, err := s.search()
				assert.NilError(t, err)
				assert.Equal(t, a.Coverage.Covered, 1)
				assert.Equal(t, len(a.Rows), 1)
				assert.Assert(t, string(a.Rows[0].Data) != `"foreign"`)
			})
		})
	}
}

// Guards against a partial answer that counts twice because it is delivered twice.
func TestRepeatedPartialCountsOnce(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		s := newTestTier(t, 2, func(_ int, x *scriptedStream) {
			b := batchOf(x)
			for i := range b.Items {
				one := *b
				one.Items = b.Items[i : i+1]
				p := partialFor(&one, nil)
				p.Last = false
				x.replies <- p
				x.replies <- p
			}
		})
		a, err := s.search()
		assert.NilError(t, err)
		assert.Equal(t, a.Coverage.Covered, 2)
		assert.Equal(t, len(a.Rows), 2)
	})
}

// Guards against an attempt that keeps running after the answer of its hedge,
// against a group that counts twice because both attempts answered, and against a
// hedge that is sent to the same replica.
func TestHedgeCancelsTheOtherAttempt(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		s := newTestTier(t, 2, nil)
		s.warmUp()
		s.setScript(func(n int, x *scriptedStream) {
			if n == 1 { // answers later than the hedge
				time.Sleep(100 * time.Millisecond)
				x.replies <- partialFor(batchOf(x), nil)
				return
			}
			x.answer(nil)
		})
		a, err := s.search()
		assert.NilError(t, err)
		assert.Equal(t, a.Coverage.Covered, 2)
		assert.Equal(t, len(a.Rows), 2)
		synctest.Wait()
		assert.Assert(t, s.streams()[0].messagesSent() > 0, "the slow attempt was not cancelled")
		replicas := map[model.ReplicaID]bool{}
		for _, x := range s.streams() {
			for _, it := range batchOf(x).Items {
				assert.Assert(t, !replicas[it.Replica], "%s was asked twice", it.Replica)
				replicas[it.Replica] = true
			}
		}
	})
}

// Guards against a misrouted attempt whose replacement is charged as a retry or
// is sent to the old owner again.
func TestMisroutedAttemptIsSentToNewOwner(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		s := newTestTier(t, 1, nil)
		s.setScript(func(n int, x *scriptedStream) {
			if x.owner == "o3" {
				x.answer(nil)
				return
			}
			s.setOwner("search-g0-o1", "o3")
			s.setOwner("search-g0-o2", "o3")
			x.answer(errs.Refuse(errs.NotOwner, "moved"))
		})
		policy := s.gateway.hedgePolicyFor("search", s.view.Config.Services["search"], 1)
		_, err := s.search()
		assert.NilError(t, err)
		sends := s.gateway.Sends()
		assert.Equal(t, sends.Moved, int64(1))
		assert.Equal(t, sends.Retry, int64(0))
		for range policy.Burst() {
			assert.NilError(t, policy.TryTakeExtra(1))
		}
	})
}

// Guards against retries and hedges that together exceed the extra-load budget
// while answers are slow and some upstreams are lost. The first replacement of
// each lost attempt is allowed beyond the budget, so that the coverage does not
// depend on it.
func TestExtraLoadStaysWithinBudget(t *testing.T) {
	for name, lossEvery := range map[string]int{"slow": 0, "slow and lost": 7} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				s := newTestTier(t, 4, nil)
				s.warmUp()
				before := s.gateway.Sends()
				var lost atomic.Int64
				s.setScript(func(n int, x *scriptedStream) {
					time.Sleep(20 * time.Millisecond)
					if lossEvery > 0 && n%lossEvery == 0 {
						lost.Add(int64(len(batchOf(x).Items)))
						x.answer(upstreamLost)
						return
					}
					x.answer(nil)
				})
				for range 200 {
					_, _ = s.search()
				}
				now := s.gateway.Sends()
				primary := now.Primary - before.Primary
				extra := now.Hedge + now.Retry - before.Hedge - before.Retry
				burst := int64(s.gateway.hedgePolicyFor("search", s.view.Config.Services["search"], 4).Burst())
				assert.Assert(t, extra <= lost.Load()+primary/20+burst, "%d extra sends, %d lost, %d primary", extra, lost.Load(), primary)
				assert.Assert(t, extra > 0, "no extra send was tried")
			})
		})
	}
}
