package dispatch

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// takeoverHold is how long a new owner stays at one slot without a
	// release by the previous owner. It covers detection of a paused owner.
	takeoverHold = 3 * time.Second
	// takeoverStep is the time between two raises of the cap by one slot.
	takeoverStep = 2 * time.Second
	// takeoverBackoff is how long a shed keeps the cap at one slot.
	takeoverBackoff = 10 * time.Second
)

// takeoverCap limits the window of a replica whose previous owner may still
// be sending.
type takeoverCap struct {
	lastShed time.Time
}

func (c *takeoverCap) shed(now time.Time) { c.lastShed = now }

// limit returns the cap, or 0 when there is none.
func (c *takeoverCap) limit(now time.Time, k model.Takeover, slots int) float64 {
	if k.Since.IsZero() || k.Released {
		return 0
	}
	start := k.Since.Add(takeoverHold)
	if after := c.lastShed.Add(takeoverBackoff); after.After(start) {
		start = after
	}
	if now.Before(start) {
		return 1
	}
	cap := 2 + int(now.Sub(start)/takeoverStep)
	if cap >= slots {
		return 0
	}
	return float64(cap)
}
