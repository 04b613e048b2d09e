package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Guards against a VM that sends to a replica that may have a new owner. When the view
// is too old, new attempts and those that wait for a slot must be refused.
func TestStaleViewRefusesAttempts(t *testing.T) {
	runWithUpstream(t, 800*time.Millisecond, func(t *testing.T, ctx context.Context, u *fakeUpstream) {
		o := newOwner(ctx, "o", u, 1, 8, true)
		first := o.call(ctx, "first", 10*time.Second)
		synctest.Wait()
		waiting := o.call(ctx, "waiting", 10*time.Second)
		synctest.Wait()
		o.view.change(func(v *model.View) { v.PublishedAt = time.Now().Add(-model.ViewMaxAge / 2); o.view.frozen = true })
		time.Sleep(model.ViewMaxAge/2 + time.Millisecond)
		late := <-o.call(ctx, "late", 10*time.Second)
		<-first
		for _, r := range []*wire.CallReply{late, <-waiting} {
			assert.Equal(t, r.Failure.Code, errs.StaleView)
			assert.Equal(t, r.Failure.RunState, errs.DidNotRun)
		}
		runs, _ := u.counts()
		assert.Equal(t, runs, 1)
	})
}

// Guards against queued attempts that are sent to a replica after an operator has
// taken it out of service, running attempts that this cancels, and a replica that
// gets no work after its return.
func TestExclusionRefusesQueuedAttempts(t *testing.T) {
	runWithUpstream(t, 800*time.Millisecond, func(t *testing.T, ctx context.Context, u *fakeUpstream) {
		o := newOwner(ctx, "o", u, 1, 8, true)
		running := o.call(ctx, "running", 10*time.Second)
		synctest.Wait()
		waiting := o.call(ctx, "waiting", 10*time.Second)
		synctest.Wait()
		o.view.change(func(v *model.View) { v.Excluded = map[model.ReplicaID]string{"r": "drained"} })
		for _, r := range []*wire.CallReply{<-waiting, <-o.call(ctx, "new", time.Second)} {
			assert.Equal(t, r.Failure.Code, errs.UpstreamDraining)
			assert.Equal(t, r.Failure.RunState, errs.DidNotRun)
		}
		assert.Assert(t, (<-running).Failure == nil, "the exclusion ended a running attempt")
		runs, _ := u.counts()
		assert.Equal(t, runs, 1)
		o.view.change(func(v *model.View) { v.Excluded = nil })
		time.Sleep(time.Second)
		assert.Assert(t, (<-o.call(ctx, "back", 10*time.Second)).Failure == nil)
	})
}

// Guards against a canceled attempt that keeps its place in the queue.
func TestCanceledAttemptLeavesTheQueue(t *testing.T) {
	runWithUpstream(t, 800*time.Millisecond, func(t *testing.T, ctx context.Context, u *fakeUpstream) {
		o := newOwner(ctx, "o", u, 1, 1, true)
		first := o.call(ctx, "first", 10*time.Second)
		synctest.Wait()
		waitCtx, giveUp := context.WithCancel(ctx)
		waiting := o.call(waitCtx, "waiting", 10*time.Second)
		synctest.Wait()
		assert.Equal(t, (<-o.call(ctx, "full", 10*time.Second)).Failure.Code, errs.QueueFull)
		giveUp()
		synctest.Wait()
		assert.Equal(t, (<-waiting).Failure.Code, errs.Canceled)
		next := o.call(ctx, "next", 10*time.Second)
		assert.Assert(t, (<-first).Failure == nil)
		assert.Assert(t, (<-next).Failure == nil)
		runs, _ := u.counts()
		assert.Equal(t, runs, 2)
	})
}

// Guards against a slot that is given to another attempt while the upstream may still
// run one that ended without an answer.
func TestSlotStaysTakenWhileTheUpstreamMayRun(t *testing.T) {
	for name, c := range map[string]struct {
		work          time.Duration
		ignoresCancel bool
		deadline      time.Duration
		cancel        bool
	}{
		"canceled":                                  {work: time.Minute, deadline: 500 * time.Millisecond, cancel: true},
		"canceled, ignoring cancellations":          {work: 400 * time.Millisecond, deadline: 500 * time.Millisecond, cancel: true, ignoresCancel: true},
		"past its deadline":                         {work: time.Minute, deadline: 500 * time.Millisecond},
		"past its deadline, ignoring cancellations": {work: time.Minute, deadline: 500 * time.Millisecond, ignoresCancel: true},
		"silent connection":                         {work: 3 * time.Second, deadline: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runWithUpstream(t, c.work, func(t *testing.T, ctx context.Context, u *fakeUpstream) {
				u.ignoresCancel = c.ignoresCancel
				o := newOwner(ctx, "o", u, 2, 32, true)
				var replies []<-chan *wire.CallReply
				for i := range 12 {
					callCtx, cancel := context.WithCancel(ctx)
					defer cancel()
					replies = append(replies, o.call(callCtx, fmt.Sprintf("c%d", i), c.deadline))
					if c.cancel {
						time.Sleep(10 * time.Millisecond)
						cancel()
					}
				}
				for _, r := range replies {
					<-r
				}
				_, most := u.counts()
				assert.Assert(t, most <= 2, "%d concurrent runs in 2 slots", most)
			})
		})
	}
}

// Guards against more than slots + 1 concurrent runs while a replica changes its owner,
// and against a replica that is not released once after its last attempt.
func TestTakeoverBoundsConcurrentRuns(t *testing.T) {
	const slots = 3
	for name, release := range map[string]bool{"with release": true, "without release": false} {
		t.Run(name, func(t *testing.T) {
			runWithUpstream(t, 800*time.Millisecond, func(t *testing.T, ctx context.Context, u *fakeUpstream) {
				old := newOwner(ctx, "old", u, slots, 64, true)
				next := newOwner(ctx, "next", u, slots, 64, false)
				load := func(o *owner, n int) (all []<-chan *wire.CallReply) {
					for i := range n {
						all = append(all, o.call(ctx, fmt.Sprintf("%s-%d", o.cfg.Self, i), 30*time.Second))
					}
					synctest.Wait()
					return all
				}
				before := load(old, 10)
				since := time.Now()
				next.setOwner("next", model.Takeover{Since: since})
				time.Sleep(2 * reconcileInterval)
				after := load(next, 30)
				time.Sleep(100 * time.Millisecond) // the previous owner gets the new view later
				old.setOwner("next", model.Takeover{})
				moved := 0
				for _, r := range before {
					if f := (<-r).Failure; f != nil {
						assert.Equal(t, f.Code, errs.NotOwner)
						assert.Equal(t, f.RunState, errs.DidNotRun)
						moved++
					}
				}
				assert.Assert(t, moved > 0, "the previous owner refused no queued attempt")
				time.Sleep(2 * reconcileInterval)
				assert.Equal(t, old.releaseCount(), 1)
				if release {
					next.setOwner("next", model.Takeover{Since: since, Released: true})
				}
				for _, r := range after {
					assert.Assert(t, (<-r).Failure == nil)
				}
				_, most := u.counts()
				assert.Assert(t, most <= slots+1, "%d concurrent runs in %d slots", most, slots)
				assert.Assert(t, most >= slots, "the new owner never used its slots")
			})
		})
	}
}

// Guards against a refusal of a cold upstream after which the window stays above its
// cold value, or after which the limit of a new owner does not go back to one slot.
func TestColdRefusalResetsTheWindow(t *testing.T) {
	runWithUpstream(t, 100*time.Millisecond, func(t *testing.T, ctx context.Context, u *fakeUpstream) {
		u.cold = 1
		o := newOwner(ctx, "o", u, 8, 8, true)
		for i := 0; i < 500 && o.targets["r"].hint().Window < 4; i++ {
			<-o.call(ctx, fmt.Sprintf("c%d", i), time.Second)
		}
		before := o.targets["r"].hint().Window
		u.refuse = func() string { return "cold" }
		assert.Equal(t, (<-o.call(ctx, "cold", time.Second)).Failure.Code, errs.UpstreamCold)
		after := o.targets["r"].hint().Window
		assert.Assert(t, before >= 4 && after <= 1, "window %.2f before and %.2f after", before, after)
		assert.Assert(t, !o.targets["r"].takeover.lastShed.IsZero(), "the takeover limiter recorded no shed")
	})
}
