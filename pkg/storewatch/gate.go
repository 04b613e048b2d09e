package storewatch

import (
	"context"
	"sync"
)

// Gate keeps the followers of one VM from calling a store that is away all at
// once: after a failed call only one of them tries, and the others go on when
// it has succeeded.
type Gate struct {
	mu      sync.Mutex
	failing bool
	// trying tells that one follower makes a call while the store is away.
	trying bool
	back   chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{back: make(chan struct{})} }

// enter waits until a call may be made. probe tells that the store is away and
// the call should end soon. It reports false when ctx has ended.
func (g *Gate) enter(ctx context.Context) (probe, ok bool) {
	for {
		g.mu.Lock()
		if !g.failing {
			g.mu.Unlock()
			return false, ctx.Err() == nil
		}
		if !g.trying {
			g.trying = true
			g.mu.Unlock()
			return true, ctx.Err() == nil
		}
		back := g.back
		g.mu.Unlock()
		select {
		case <-back:
		case <-ctx.Done():
			return false, false
		}
	}
}

// leave takes in how a call ended. Followers that wait are let on when the
// store is back, and one of them when the caller that tried has given up.
func (g *Gate) leave(probe, failed, gaveUp bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if probe {
		g.trying = false
	}
	g.failing = failed
	if !failed || (probe && gaveUp) {
		close(g.back)
		g.back = make(chan struct{})
	}
}
