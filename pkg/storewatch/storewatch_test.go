package storewatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// scripted answers calls from a list.
type scripted struct {
	steps []func() (Batch[string], error)
	waits []time.Duration
	calls []string
	stop  context.CancelFunc
}

func (s *scripted) next(call string) (Batch[string], error) {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.stop()
		return Batch[string]{}, errs.Refuse(errs.PlatformDown, "end of the script")
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *scripted) List(context.Context) (Batch[string], error) { return s.next("list") }

func (s *scripted) Watch(_ context.Context, after int64, longest time.Duration) (Batch[string], error) {
	s.waits = append(s.waits, longest)
	return s.next(fmt.Sprint("watch ", after))
}

type recorder struct{ lines []string }

func (r *recorder) Listed(b Batch[string]) {
	r.lines = append(r.lines, fmt.Sprint("listed ", b.Revision))
}
func (r *recorder) Changed(b Batch[string]) {
	r.lines = append(r.lines, fmt.Sprint("changed ", b.Revision))
}
func (r *recorder) Failed(err error) { r.lines = append(r.lines, string(errs.As(err).Code)) }
func (r *recorder) Synced(int64)     {}

func batch(revision int64, names ...string) func() (Batch[string], error) {
	b := Batch[string]{Revision: revision}
	for _, n := range names {
		b.Items = append(b.Items, Item[string]{Name: n})
	}
	return func() (Batch[string], error) { return b, nil }
}

func fails(code errs.Code) func() (Batch[string], error) {
	return func() (Batch[string], error) { return Batch[string]{}, errs.Refuse(code, "scripted") }
}

// Guards against a follower that waits longer than it was told, that misses
// changes when history is gone, or that lists again for every failed call.
func TestListAndWatchListsAgainOnlyWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		source := &scripted{stop: stop, steps: []func() (Batch[string], error){
			fails(errs.PlatformDown), batch(5, "a"), batch(7, "b"), batch(9), fails(errs.PlatformThrottled),
			batch(12, "c"), fails(errs.PlatformWatchGap), batch(20), batch(21, "d"),
		}}
		seen := &recorder{}
		ListAndWatch(ctx, source, NewBreaker(), 0, 2*time.Second, seen)
		assert.DeepEqual(t, source.calls, []string{
			"list", "list", "watch 5", "watch 7", "watch 9", "watch 9", "watch 12", "list", "watch 20", "watch 21",
		})
		assert.DeepEqual(t, seen.lines, []string{
			"platform_down", "listed 5", "changed 7", "platform_throttled", "changed 12", "platform_watch_gap", "listed 20", "changed 21",
		})
		// The call after a failure only tries whether the store is back.
		long := 2 * time.Second
		assert.DeepEqual(t, source.waits, []time.Duration{long, long, long, probeWait, long, long, long})
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
		entered := make(chan bool, 2)
		for range 2 {
			go func() {
				probe, ok := b.acquire(t.Context())
				entered <- probe && ok
			}()
		}
		synctest.Wait()
		assert.Equal(t, len(entered), 0)
		b.release(true, true, true) // the probing caller was canceled
		synctest.Wait()
		assert.Equal(t, len(entered), 1)
		assert.Assert(t, <-entered)
		b.release(true, false, false) // the store answers again
		assert.Assert(t, !<-entered)
	})
}
