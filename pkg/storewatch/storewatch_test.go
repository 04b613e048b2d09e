package storewatch

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

// scriptedSource answers the calls to the store from a list of steps, and stops
// the test after the last one.
type scriptedSource struct {
	steps    []func() (Batch[string], error)
	maxWaits []time.Duration
	calls    []string
	stop     context.CancelFunc
}

func (s *scriptedSource) next(call string) (Batch[string], error) {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.stop()
		return Batch[string]{}, errs.Refuse(errs.PlatformDown, "end of the script")
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *scriptedSource) List(context.Context) (Batch[string], error) { return s.next("list") }

func (s *scriptedSource) Watch(_ context.Context, after int64, maxWait time.Duration) (Batch[string], error) {
	s.maxWaits = append(s.maxWaits, maxWait)
	return s.next(fmt.Sprint("watch ", after))
}

// recordingSink records the calls of Listed, Changed and Failed.
type recordingSink struct{ lines []string }

func (r *recordingSink) Listed(b Batch[string]) {
	r.lines = append(r.lines, fmt.Sprint("listed ", b.Revision))
}
func (r *recordingSink) Changed(b Batch[string]) {
	r.lines = append(r.lines, fmt.Sprint("changed ", b.Revision))
}
func (r *recordingSink) Failed(err error) { r.lines = append(r.lines, string(errs.As(err).Code)) }
func (r *recordingSink) Synced(Position)  {}
func (r *recordingSink) Cut(error)        {}

func batch(revision int64, names ...string) func() (Batch[string], error) {
	b := Batch[string]{Position: Position{Revision: revision}}
	for _, n := range names {
		b.Items = append(b.Items, Item[string]{Name: n})
	}
	return func() (Batch[string], error) { return b, nil }
}

func refusal(code errs.Code) func() (Batch[string], error) {
	return func() (Batch[string], error) { return Batch[string]{}, errs.Refuse(code, "scripted") }
}

// Guards against watch calls that wait longer than maxWait, changes missed after
// the store lost its history, and a new list after every failed call.
func TestListAndWatchListsAgainOnlyWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		source := &scriptedSource{stop: stop, steps: []func() (Batch[string], error){
			refusal(errs.PlatformDown), batch(5, "a"), batch(7, "b"), batch(9), refusal(errs.PlatformThrottled),
			batch(12, "c"), refusal(errs.PlatformWatchGap), batch(20), batch(21, "d"),
		}}
		sink := &recordingSink{}
		ListAndWatch(ctx, source, NewBreaker(), Position{Revision: 0}, 2*time.Second, sink)
		assert.DeepEqual(t, source.calls, []string{
			"list", "list", "watch 5", "watch 7", "watch 9", "watch 9", "watch 12", "list", "watch 20", "watch 21",
		})
		assert.DeepEqual(t, sink.lines, []string{
			"platform_down", "listed 5", "changed 7", "platform_throttled", "changed 12", "platform_watch_gap", "listed 20", "changed 21",
		})
		// The call after a failure is a probe.
		maxWait := 2 * time.Second
		assert.DeepEqual(t, source.maxWaits, []time.Duration{maxWait, maxWait, maxWait, maxProbeWait, maxWait, maxWait, maxWait})
	})
}

// Guards against a VM that starts to watch with what it knows, and whose subscribers
// leave because the first watch call, which waits for a change, confirms nothing for
// seconds.
func TestKnownRevisionIsConfirmedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		source := &scriptedSource{stop: stop, steps: []func() (Batch[string], error){batch(5), batch(5), batch(5)}}
		ListAndWatch(ctx, source, NewBreaker(), Position{Revision: 5}, 2*time.Second, &recordingSink{})
		assert.DeepEqual(t, source.calls[:3], []string{"watch 5", "watch 5", "watch 5"})
		assert.DeepEqual(t, source.maxWaits[:3], []time.Duration{maxProbeWait, 2 * time.Second, 2 * time.Second})
	})
}

// Guards against a topic that counts as failed until a long watch call ends, after
// another topic's call has found that the store answers again: all VMs that are fed
// wait for it.
func TestReturnOfTheStoreIsConfirmedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		breaker := NewBreaker()
		source := &scriptedSource{stop: stop, steps: []func() (Batch[string], error){
			batch(5), batch(5), refusal(errs.PlatformDown),
			func() (Batch[string], error) { return Batch[string]{Position: Position{Revision: 5}}, nil }, batch(5),
		}}
		go func() {
			time.Sleep(20 * time.Millisecond) // another topic's call succeeds first
			breaker.release(false, false, false)
		}()
		ListAndWatch(ctx, source, breaker, Position{Revision: 5}, 20*time.Second, &recordingSink{})
		assert.DeepEqual(t, source.maxWaits[:5], []time.Duration{maxProbeWait, 20 * time.Second, 20 * time.Second, maxProbeWait, 20 * time.Second})
	})
}

// Guards against watchers that all call a store that does not answer, and
// against watchers that wait forever after the probing one was canceled.
func TestBreakerLetsOneCallProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBreaker()
		b.release(false, true, false)
		probe, ok := b.acquire(t.Context())
		assert.Assert(t, probe && ok)
		acquired := make(chan bool, 2)
		for range 2 {
			go func() {
				probe, ok := b.acquire(t.Context())
				acquired <- probe && ok
			}()
		}
		synctest.Wait()
		assert.Equal(t, len(acquired), 0)
		b.release(true, false, true) // the probing caller was canceled, which says nothing of the store
		synctest.Wait()
		assert.Equal(t, len(acquired), 1)
		assert.Assert(t, <-acquired)
		b.release(true, false, false) // the store answers again
		assert.Assert(t, !<-acquired)
	})
}

// Guards against a watch that goes on in the history of another era and misses the
// changes up to the revision that is known from the era before.
func TestAnotherEraIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inEra := func(era, revision int64, names ...string) func() (Batch[string], error) {
			return func() (Batch[string], error) {
				b, err := batch(revision, names...)()
				b.Era = era
				return b, err
			}
		}
		ctx, stop := context.WithCancel(t.Context())
		source := &scriptedSource{stop: stop, steps: []func() (Batch[string], error){
			inEra(1, 5), inEra(1, 6, "a"), inEra(2, 9, "b"), inEra(2, 9), inEra(2, 10, "c"),
		}}
		sink := &recordingSink{}
		ListAndWatch(ctx, source, NewBreaker(), Position{}, 2*time.Second, sink)
		assert.DeepEqual(t, source.calls, []string{"list", "watch 5", "watch 6", "list", "watch 9", "watch 10"})
		assert.DeepEqual(t, sink.lines, []string{"listed 5", "changed 6", "platform_watch_gap", "listed 9", "changed 10"})

		ctx, stop = context.WithCancel(t.Context())
		source = &scriptedSource{stop: stop, steps: []func() (Batch[string], error){inEra(2, 9, "b")}}
		sink = &recordingSink{}
		assert.Assert(t, Check(ctx, source, NewBreaker(), Position{Era: 1, Revision: 6}, sink), "the store has answered")
		assert.Equal(t, len(sink.lines), 0)
	})
}

// blockingSource waits in each watch call for the longest time.
type blockingSource struct{ lists atomic.Int64 }

func (s *blockingSource) List(context.Context) (Batch[string], error) {
	return Batch[string]{Position: Position{Era: s.lists.Add(1), Revision: 5}}, nil
}

func (s *blockingSource) Watch(ctx context.Context, _ int64, maxWait time.Duration) (Batch[string], error) {
	wait.Sleep(ctx, maxWait)
	return Batch[string]{Position: Position{Era: s.lists.Load(), Revision: 5}}, ctx.Err()
}

// Guards against a kind with long watch calls that learns of a new era only when its
// call ends, long after another kind has.
func TestNewerEraEndsWaitingWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		breaker, source, sink := NewBreaker(), &blockingSource{}, &recordingSink{}
		ended := make(chan struct{})
		go func() {
			ListAndWatch(ctx, source, breaker, Position{}, 20*time.Second, sink)
			close(ended)
		}()
		time.Sleep(time.Second)
		assert.Equal(t, source.lists.Load(), int64(1))
		breaker.observeEra(1)
		time.Sleep(time.Second)
		assert.Equal(t, source.lists.Load(), int64(1))
		breaker.observeEra(2)
		time.Sleep(time.Millisecond)
		assert.Equal(t, source.lists.Load(), int64(2))
		stop()
		<-ended
		assert.DeepEqual(t, sink.lines, []string{"listed 5", "platform_watch_gap", "listed 5"})
	})
}

// Guards against an outage that is seen in each watch which the store cuts off: replicas
// without entries are kept for seconds after an outage.
func TestCutWatchIsNoOutage(t *testing.T) {
	down := refusal(errs.PlatformDown)
	late := func() (Batch[string], error) {
		time.Sleep(maxCutTime)
		return batch(7, "b")()
	}
	for name, c := range map[string]struct {
		steps []func() (Batch[string], error)
		lines []string
	}{
		"cut once":         {[]func() (Batch[string], error){batch(5), down, batch(6, "a")}, []string{"listed 5", "changed 6"}},
		"cut repeatedly":   {[]func() (Batch[string], error){batch(5), down, batch(5), down, batch(5), down, batch(6, "a")}, []string{"listed 5", "changed 6"}},
		"away":             {[]func() (Batch[string], error){batch(5), down, down, batch(6, "a")}, []string{"listed 5", "platform_down", "platform_down", "changed 6"}},
		"back after a bit": {[]func() (Batch[string], error){batch(5), down, late}, []string{"listed 5", "platform_down", "changed 7"}},
		"back in another era": {[]func() (Batch[string], error){batch(5), down, func() (Batch[string], error) {
			time.Sleep(maxCutTime)
			return refusal(errs.PlatformWatchGap)()
		}, batch(3)}, []string{"listed 5", "platform_down", "platform_watch_gap", "listed 3"}},
		"turned away": {[]func() (Batch[string], error){batch(5), refusal(errs.PlatformThrottled), batch(6, "a")}, []string{"listed 5", "platform_throttled", "changed 6"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			sink := &recordingSink{}
			ListAndWatch(ctx, &scriptedSource{stop: stop, steps: c.steps}, NewBreaker(), Position{}, 2*time.Second, sink)
			assert.Check(t, slices.Equal(sink.lines, c.lines), "%s: %v", name, sink.lines)
		})
	}
}
