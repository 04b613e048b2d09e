package dispatch

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// takeoverHoldTime is how long a new owner uses only one slot unless the
	// previous owner releases the replica. It covers the detection of a previous
	// owner that is paused.
	takeoverHoldTime = 3 * time.Second
	// takeoverStepInterval is the time after which the limit rises by one slot.
	takeoverStepInterval = 2 * time.Second
	// takeoverBackoff is how long the limit stays at one slot after the upstream has
	// shed a request.
	takeoverBackoff = 10 * time.Second
)

// takeoverLimiter limits the window of a replica whose previous owner may still
// send requests to it.
type takeoverLimiter struct {
	lastShed time.Time
}

func (c *takeoverLimiter) recordShed(now time.Time) { c.lastShed = now }

// limit returns the limit of the window in slots, or 0 if there is none.
func (c *takeoverLimiter) limit(now time.Time, takeover model.Takeover, slots int) float64 {
	if takeover.Since.IsZero() || takeover.Released {
		return 0
	}
	start := takeover.Since.Add(takeoverHoldTime)
	if after := c.lastShed.Add(takeoverBackoff); after.After(start) {
		start = after
	}
	if now.Before(start) {
		return 1
	}
	limit := 2 + int(now.Sub(start)/takeoverStepInterval)
	if limit >= slots {
		return 0
	}
	return float64(limit)
}
