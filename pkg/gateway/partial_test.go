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

func items(x *exchange) *wire.SearchBatch { return x.request.(*wire.SearchBatch) }

func failureOf(r *errs.Refusal) *wire.Failure { return wire.FailureOf(r) }

// Guards against rows of a partial that is late, repeated, crossed with
// another query or attempt, or cut: none may count, and the group must be
// asked again.
func TestForeignPartialsNeverCount(t *testing.T) {
	bad := func(change func(p *wire.SearchPartial)) func(x *exchange) {
		return func(x *exchange) {
			p := partial(items(x), nil)
			for i := range p.Rows {
				p.Rows[i].Data = []byte(`"foreign"`)
			}
			change(p)
			x.replies <- p
		}
	}
	for name, first := range map[string]func(x *exchange){
		"other query":    bad(func(p *wire.SearchPartial) { p.QueryID = "other" }),
		"other attempt":  bad(func(p *wire.SearchPartial) { p.Groups[0].Attempt += 100 }),
		"other replica":  bad(func(p *wire.SearchPartial) { p.Groups[0].Replica = "other" }),
		"unknown group":  bad(func(p *wire.SearchPartial) { p.Groups[0].Group = "other" }),
		"other shards":   bad(func(p *wire.SearchPartial) { p.Groups[0].Shards = []model.ShardID{"other"} }),
		"missing shards": bad(func(p *wire.SearchPartial) { p.Groups[0].Shards = nil }),
		"cut off":        func(x *exchange) { x.lose() },
		"other message":  func(x *exchange) { x.replies <- &wire.CallReply{} },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, 1, func(n int, x *exchange) {
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

// Guards against a partial that is delivered twice and counts twice.
func TestRepeatedPartialCountsOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, 2, func(_ int, x *exchange) {
			b := items(x)
			for i := range b.Items {
				one := *b
				one.Items = b.Items[i : i+1]
				p := partial(&one, nil)
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

// Guards against a hedge whose answer leaves the other attempt running, or
// whose group counts twice, and against a hedge at the same replica.
func TestHedgeCancelsTheOtherAttempt(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, 2, nil)
		s.warm()
		s.forget(func(n int, x *exchange) {
			if n == 1 { // answers its groups late, after the hedge
				time.Sleep(100 * time.Millisecond)
				x.replies <- partial(items(x), nil)
				return
			}
			x.answer(nil)
		})
		a, err := s.search()
		assert.NilError(t, err)
		assert.Equal(t, a.Coverage.Covered, 2)
		assert.Equal(t, len(a.Rows), 2)
		synctest.Wait()
		assert.Assert(t, s.exchanges()[0].cancelled() > 0, "the slow attempt was not cancelled")
		replicas := map[model.ReplicaID]bool{}
		for _, x := range s.exchanges() {
			for _, it := range items(x).Items {
				assert.Assert(t, !replicas[it.Replica], "%s was asked twice", it.Replica)
				replicas[it.Replica] = true
			}
		}
	})
}

// Guards against a move that is charged as a retry, and against one that goes
// to the old owner again.
func TestMoveGoesToTheNewOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, 1, nil)
		s.forget(func(n int, x *exchange) {
			if x.owner == "o3" {
				x.answer(nil)
				return
			}
			s.setOwner("search-g0-o1", "o3")
			s.setOwner("search-g0-o2", "o3")
			x.answer(errs.Refuse(errs.NotOwner, "moved"))
		})
		policy := s.gateway.policy("search", s.view.Config.Services["search"], 1)
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

// Guards against retries and hedges that together exceed the extra-load
// budget while sends are slow and some are lost. The first replacement of each
// lost send is outside the budget, so that coverage does not depend on it.
func TestExtraLoadStaysWithinBudget(t *testing.T) {
	for name, lossEvery := range map[string]int{"slow": 0, "slow and lost": 7} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, 4, nil)
				s.warm()
				before := s.gateway.Sends()
				var lost atomic.Int64
				s.forget(func(n int, x *exchange) {
					time.Sleep(20 * time.Millisecond)
					if lossEvery > 0 && n%lossEvery == 0 {
						lost.Add(int64(len(items(x).Items)))
						x.answer(died)
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
				burst := int64(s.gateway.policy("search", s.view.Config.Services["search"], 4).Burst())
				assert.Assert(t, extra <= lost.Load()+primary/20+burst, "%d extra sends, %d lost, %d primary", extra, lost.Load(), primary)
				assert.Assert(t, extra > 0, "no extra send was tried")
			})
		})
	}
}
