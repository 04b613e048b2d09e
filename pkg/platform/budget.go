package platform

import (
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// CallBudget is a token bucket that limits the calls of one process, so that all
// VMs of the tier together stay within the platform's rate limits. It is safe
// for concurrent use.
type CallBudget struct {
	callsPerSecond float64
	maxTokens      float64
	now            func() time.Time

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// NewCallBudget returns a full budget. A rate of 0 means unlimited calls. A burst
// below 1 is raised to 1, because otherwise no call would ever be allowed.
func NewCallBudget(callsPerSecond float64, burstCalls int, now func() time.Time) *CallBudget {
	maxTokens := max(1, float64(burstCalls))
	return &CallBudget{callsPerSecond: callsPerSecond, maxTokens: maxTokens, now: now, tokens: maxTokens, lastRefill: now()}
}

// Take takes the token for one call. If none is left, it returns a refusal with
// code PlatformThrottled and the time until the next call is possible.
func (b *CallBudget) Take() error {
	if b.callsPerSecond <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(b.maxTokens, b.tokens+b.callsPerSecond*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / b.callsPerSecond * float64(time.Second))
		return errs.Refuse(errs.PlatformThrottled, "call budget of %g/s is spent", b.callsPerSecond).WithRetryAfter(wait)
	}
	b.tokens--
	return nil
}
