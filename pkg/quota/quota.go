// Package quota decides which requests of a tenant are within its cap, which holds for
// all VMs together. One VM at a time, the granting VM of the tenant, keeps the tenant's
// token bucket and gives tokens to the others. The package does no I/O: a Node takes
// time, messages and requests as input and returns decisions and messages to send.
//
// Failures that it handles: granting VMs that die, restart or are cut off, answers that
// are lost, VMs that know different sets of VMs, and VMs that reach no other one. In any
// window, at most (rate x window + burst) x (1 + overage) + slack requests are admitted.
package quota

import (
	"math"
	"time"
)

// Parts of the requests that overage and slack allow beyond rate x window + burst. Their
// sum, with two starts in a window, is 0.93: the rest is for the time between admission
// and the first send.
const (
	// lifetimeShare is for tokens that are used later than they were granted.
	lifetimeShare = 0.2
	// startShare is the level of the bucket of a VM that begins to grant. Two such
	// starts fit into a window.
	startShare = 0.1
	// deputyShare is for the reserves of the first rankedVMs VMs of a tenant. With the
	// usual slack of 20 a reserve holds a little more than one token.
	deputyShare = 0.33
	// localShare is for requests of VMs that reach none of these.
	localShare = 0.05
	// toleranceShare makes the bucket larger than the burst: requests that their sender
	// spaced by the cap come closer together after retries and the network.
	toleranceShare = 0.15
)

// rankedVMs is the number of VMs that may give out tokens of a tenant: its granting VM
// and, while that one is unreachable, those that take over. Three let a VM die while
// another one is replaced.
const rankedVMs = 3

// defaultWindow is the window where the settings name none.
const defaultWindow = 5 * time.Second

// Cap bounds the requests of a tenant.
type Cap struct {
	// PerSecond is the rate; 0 is no limit. Burst is the number of requests that may
	// come at once beyond it.
	PerSecond, Burst float64
}

// limited reports whether there is a limit.
func (c Cap) limited() bool { return c.PerSecond > 0 }

// valid reports whether the numbers of another VM can be calculated with.
func (c Cap) valid() bool {
	return !math.IsInf(c.PerSecond, 0) && !math.IsNaN(c.Burst) && !math.IsInf(c.Burst, 0)
}

// Bounds are the operators' bounds on what all VMs together admit beyond a cap.
type Bounds struct {
	Window time.Duration
	// Overage is a part of rate x window + burst, Slack a number of requests.
	Overage, Slack float64
}

func (b Bounds) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return b.Window
}

// extra returns the requests that are allowed beyond rate x window + burst.
func (b Bounds) extra(c Cap) float64 {
	return b.Overage*(c.PerSecond*b.window().Seconds()+c.Burst) + b.Slack
}

// capacity returns the size of the bucket. One below a token would never admit a request.
func (b Bounds) capacity(c Cap) float64 { return max(1, c.Burst+toleranceShare*b.extra(c)) }

// tokenLifetime returns how long after the request for it a token may be used. In any
// window, tokens of this time more can be used.
func (b Bounds) tokenLifetime() time.Duration {
	return time.Duration(lifetimeShare * b.Overage * float64(b.window()))
}

// startLevel returns the level of a bucket whose former holder may have given out all
// that the cap allows.
func (b Bounds) startLevel(c Cap) float64 { return min(b.capacity(c), startShare*b.extra(c)) }

// reserve returns the bucket from which a ranked VM gives out tokens while it may not
// grant: half of its part at once, but a whole token, and the rest over the window.
func (b Bounds) reserve(c Cap) Cap {
	part := deputyShare * b.extra(c) / rankedVMs
	atOnce := min(part, max(1, part/2))
	return Cap{PerSecond: min(c.PerSecond, (part-atOnce)/b.window().Seconds()), Burst: atOnce}
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds what has accrued until now.
func (b *bucket) fill(now time.Time, perSecond, capacity float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += elapsed.Seconds() * perSecond
		b.at = now
	}
	b.level = min(b.level, capacity)
}
