// Package storewatch follows the objects of one kind in the platform's store:
// it lists them, watches for changes, and lists again when history is gone.
package storewatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// batchPause is the pause between watch calls, so that changes that come
	// together cost one call.
	batchPause = 150 * time.Millisecond
	// probeWait bounds the wait of a watch call that tries whether the store is
	// back: the other followers wait for it.
	probeWait = 50 * time.Millisecond
	// minPause and maxPause bound the pause after a failed call. The longest
	// keeps a VM within a second of the store's return.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
)

// Item is one object, decoded.
type Item[T any] struct {
	Name     string
	Revision int64
	Deleted  bool
	Value    T
	// Err tells why the object could not be decoded; Value is then unset.
	Err error
}

// Batch is a set of objects as of one revision of the store.
type Batch[T any] struct {
	Items    []Item[T]
	Revision int64
}

// Source reads the objects of one kind. Its errors carry an *errs.Refusal;
// errs.PlatformWatchGap means that the history since the revision is gone.
type Source[T any] interface {
	List(ctx context.Context) (Batch[T], error)
	Watch(ctx context.Context, after int64, longest time.Duration) (Batch[T], error)
}

// Sink takes in what a Follower learns. Its methods are called by the
// follower's goroutine, one at a time.
type Sink[T any] interface {
	// Listed gets all objects of the kind.
	Listed(Batch[T])
	// Changed gets the objects that changed.
	Changed(Batch[T])
	// Failed gets the error of a call.
	Failed(error)
	// Synced gets the revision up to which all changes have been passed on.
	Synced(revision int64)
}

// ListAndWatch passes all objects of the kind to the sink, and then every
// change, until ctx ends. If after is not 0, the caller already knows all
// changes up to that revision, and the first call watches for later ones. No
// watch call waits longer than longest: a store that loses its history may leave
// a waiting call without the changes before the loss, and only the next call
// reports the gap.
func ListAndWatch[T any](ctx context.Context, source Source[T], breaker *Breaker, after int64, longest time.Duration, sink Sink[T]) {
	w := watcher[T]{source: source, breaker: breaker, sink: sink, longest: longest, pause: minPause}
	if after > 0 {
		w.watch(ctx, after)
	}
	for ctx.Err() == nil {
		after, ok := w.list(ctx)
		if ok {
			w.watch(ctx, after)
		}
	}
}

type watcher[T any] struct {
	source  Source[T]
	breaker *Breaker
	sink    Sink[T]
	longest time.Duration
	pause   time.Duration
}

// list reports whether it could list the objects.
func (w *watcher[T]) list(ctx context.Context) (int64, bool) {
	var batch Batch[T]
	err := w.call(ctx, func(bool) (err error) {
		batch, err = w.source.List(ctx)
		return err
	})
	if err != nil {
		w.failed(ctx, err)
		return 0, false
	}
	w.sink.Listed(batch)
	w.synced(batch.Revision)
	return batch.Revision, true
}

// watch returns when the history is gone or ctx ends.
func (w *watcher[T]) watch(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		var batch Batch[T]
		err := w.call(ctx, func(probe bool) (err error) {
			longest := w.longest
			if probe {
				longest = min(longest, probeWait)
			}
			batch, err = w.source.Watch(ctx, after, longest)
			return err
		})
		switch {
		case errs.Is(err, errs.PlatformWatchGap):
			w.sink.Failed(err)
			return
		case err != nil:
			w.failed(ctx, err)
		default:
			after = max(after, batch.Revision)
			if len(batch.Items) > 0 {
				w.sink.Changed(batch)
			}
			w.synced(after)
			if len(batch.Items) > 0 {
				wait.Sleep(ctx, batchPause)
			}
		}
	}
}

// call makes one call when the gate lets it.
func (w *watcher[T]) call(ctx context.Context, do func(probe bool) error) error {
	probe, ok := w.breaker.acquire(ctx)
	if !ok {
		w.breaker.release(probe, probe, true)
		return errs.Refuse(errs.Canceled, "stopped")
	}
	err := do(probe)
	failed := err != nil && !errs.Is(err, errs.PlatformWatchGap)
	w.breaker.release(probe, failed && ctx.Err() == nil, ctx.Err() != nil)
	return err
}

func (w *watcher[T]) synced(revision int64) {
	w.pause = minPause
	w.sink.Synced(revision)
}

// failed reports err and waits. Pauses are drawn at random, so that VMs do not
// return to a recovering store together.
func (w *watcher[T]) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.sink.Failed(err)
	wait.Sleep(ctx, w.pause/2+rand.N(w.pause/2))
	w.pause = min(2*w.pause, maxPause)
}

// Retry calls f until it succeeds or ctx ends, with the pauses of a Follower.
func Retry(ctx context.Context, f func() error) {
	pause := minPause
	for ctx.Err() == nil && f() != nil {
		wait.Sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxPause)
	}
}
