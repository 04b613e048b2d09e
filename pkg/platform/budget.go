package platform

import (
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Budget is a token bucket that limits the calls of one process, so that the
// fleet stays within the platform's rates. It may be used concurrently.
type Budget struct {
	rate  float64
	burst float64
	now   func() time.Time

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget. A rate of 0 is unlimited. A burst below 1
// is raised to 1, because nothing could be called otherwise.
func NewBudget(callsPerSecond float64, burst int, now func() time.Time) *Budget {
	full := max(1, float64(burst))
	return &Budget{rate: callsPerSecond, burst: full, now: now, tokens: full, last: now()}
}

// Take spends one call, or returns a refusal with code PlatformThrottled that
// says when the next call is possible.
func (b *Budget) Take() error {
	if b.rate <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
		return errs.Refuse(errs.PlatformThrottled, "call budget of %g/s is spent", b.rate).WithRetryAfter(wait)
	}
	b.tokens--
	return nil
}
