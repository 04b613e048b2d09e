// Package wait provides waits that end early when a context ends.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns true after d and false when ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
