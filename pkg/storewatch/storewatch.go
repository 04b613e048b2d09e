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
	// Answered gets the revision up to which all changes were passed on.
	Failed(error)
	Answered(revision int64)
}

// Follow passes all objects and then every change to the sink until ctx ends.
// Where all changes up to a revision are known, it begins with the changes
// after it; 0 stands for no knowledge. No watch call waits longer than longest: a store that loses its history may
// leave a waiting call without the changes before, and only the next call
// tells.
func Follow[T any](ctx context.Context, source Source[T], breaker *Breaker, after int64, longest time.Duration, sink Sink[T]) {
	f := follower[T]{source: source, breaker: breaker, sink: sink, longest: longest, pause: minPause}
	if after > 0 {
		f.watch(ctx, after)
	}
	for ctx.Err() == nil {
		after, ok := f.list(ctx)
		if ok {
			f.watch(ctx, after)
		}
	}
}

type follower[T any] struct {
	source  Source[T]
	breaker *Breaker
	sink    Sink[T]
	longest time.Duration
	pause   time.Duration
}

// list reports whether it could list the objects.
func (f *follower[T]) list(ctx context.Context) (int64, bool) {
	var batch Batch[T]
	err := f.call(ctx, func(bool) (err error) {
		batch, err = f.source.List(ctx)
		return err
	})
	if err != nil {
		f.failed(ctx, err)
		return 0, false
	}
	f.sink.Listed(batch)
	f.answered(batch.Revision)
	return batch.Revision, true
}

// watch returns when the history is gone or ctx ends.
func (f *follower[T]) watch(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		var batch Batch[T]
		err := f.call(ctx, func(probe bool) (err error) {
			longest := f.longest
			if probe {
				longest = min(longest, probeWait)
			}
			batch, err = f.source.Watch(ctx, after, longest)
			return err
		})
		switch {
		case errs.Is(err, errs.PlatformWatchGap):
			f.sink.Failed(err)
			return
		case err != nil:
			f.failed(ctx, err)
		default:
			after = max(after, batch.Revision)
			if len(batch.Items) > 0 {
				f.sink.Changed(batch)
			}
			f.answered(after)
			if len(batch.Items) > 0 {
				wait.Sleep(ctx, batchPause)
			}
		}
	}
}

// call makes one call when the gate lets it.
func (f *follower[T]) call(ctx context.Context, do func(probe bool) error) error {
	probe, ok := f.breaker.acquire(ctx)
	if !ok {
		f.breaker.release(probe, probe, true)
		return errs.Refuse(errs.Canceled, "stopped")
	}
	err := do(probe)
	failed := err != nil && !errs.Is(err, errs.PlatformWatchGap)
	f.breaker.release(probe, failed && ctx.Err() == nil, ctx.Err() != nil)
	return err
}

func (f *follower[T]) answered(revision int64) {
	f.pause = minPause
	f.sink.Answered(revision)
}

// failed reports err and waits. Pauses are drawn at random, so that VMs do not
// return to a recovering store together.
func (f *follower[T]) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.sink.Failed(err)
	wait.Sleep(ctx, f.pause/2+rand.N(f.pause/2))
	f.pause = min(2*f.pause, maxPause)
}

// Retry calls f until it succeeds or ctx ends, with the pauses of a Follower.
func Retry(ctx context.Context, f func() error) {
	pause := minPause
	for ctx.Err() == nil && f() != nil {
		wait.Sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxPause)
	}
}
