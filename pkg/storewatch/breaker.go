package storewatch

import (
	"context"
	"sync"
)

// Breaker is a circuit breaker that the watchers of one VM share. While the
// store does not answer, it lets one call at a time probe the store; all other
// calls wait until a probe succeeds.
type Breaker struct {
	mu sync.Mutex
	// open is true while the last call that ended has failed.
	open bool
	// probing is true while a call checks whether the store answers again.
	probing bool
	// recheck is closed to make waiting calls read open and probing again.
	recheck chan struct{}
	// era is the newest era that a call has shown.
	era int64
	// waiting holds the watch calls that end when a newer era is shown: a call to the
	// store of before may wait for changes that will never come.
	waiting map[*waitingCall]bool
}

// waitingCall is a watch call after a position of an era.
type waitingCall struct {
	era    int64
	cancel context.CancelFunc
}

// NewBreaker returns a closed breaker, which lets all calls pass.
func NewBreaker() *Breaker {
	return &Breaker{recheck: make(chan struct{}), waiting: map[*waitingCall]bool{}}
}

// acquire waits until a call may be made. If probe is true, the call checks
// whether the store answers again and should be short, because the other calls
// wait for it. If ctx has ended, ok is false and no call may be made.
func (b *Breaker) acquire(ctx context.Context) (probe, ok bool) {
	for {
		b.mu.Lock()
		if !b.open {
			b.mu.Unlock()
			return false, ctx.Err() == nil
		}
		if !b.probing {
			b.probing = true
			b.mu.Unlock()
			return true, ctx.Err() == nil
		}
		recheck := b.recheck
		b.mu.Unlock()
		select {
		case <-recheck:
		case <-ctx.Done():
			return false, false
		}
	}
}

// release records the outcome of a call, also of one that acquire did not
// allow. A call whose caller was canceled tells nothing of the store. release wakes
// the waiting calls after a success, and after a canceled call, so that one of them
// takes over its probe.
func (b *Breaker) release(probe, failed, canceled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.probing = false
	}
	if !canceled {
		b.open = failed
	}
	if !failed || canceled {
		close(b.recheck)
		b.recheck = make(chan struct{})
	}
}

// observeEra records the era that a call has shown. If it is newer than any before, the
// watch calls of older ones end.
func (b *Breaker) observeEra(era int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if era <= b.era {
		return
	}
	b.era = era
	for call := range b.waiting {
		if call.era < era {
			call.cancel()
		}
	}
}

// untilNewerEra returns a context that ends with ctx, or when a call has shown a newer
// era. It must be released.
func (b *Breaker) untilNewerEra(ctx context.Context, era int64) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	call := &waitingCall{era: era, cancel: cancel}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[call] = true
	if b.era > era {
		cancel()
	}
	return ctx, func() {
		cancel()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.waiting, call)
	}
}
