package quota

import "time"

const (
	// usageSlots is the number of parts of the window by which grants are counted. The part
	// that is leaving the window counts as a whole, which costs a twentieth of the cap.
	usageSlots = 20
	// peakSlots is the number of parts over which peaks are bounded: a fifth of the window.
	peakSlots = usageSlots / 5
	// usableShare is the part of what the operators' bound allows in a window that a VM
	// grants. The rest is for the changes of the granting VM: its successor does not know
	// what it has granted.
	usableShare = 0.85
	// peakFactor and peakSlack bound the grants beyond the bucket in peakSlots parts of the
	// window: peakFactor times the mean, and some for the chance of arrivals. A successor that
	// begins within a window then meets no burst at its beginning.
	peakFactor = 1.1
	peakSlack  = 2
	// calmShare is the part of the usable tokens of a window up to which a tenant is calm, and
	// spareTime how long a spare token may be used. There are at most as many spare tokens as
	// tokens were granted within spareTime, so that both are within the usable ones.
	calmShare = 0.4
	spareTime = 1200 * time.Millisecond
)

// usage counts the tokens of a tenant that were granted, by parts of the window.
type usage struct {
	slot   int64
	counts [usageSlots + 1]int
}

func slotTime(window time.Duration) time.Duration { return window / usageSlots }

// advance drops the parts that have left the window.
func (u *usage) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(slotTime(window))
	for s := max(u.slot+1, slot-usageSlots); s <= slot; s++ {
		u.counts[s%(usageSlots+1)] = 0
	}
	u.slot = max(u.slot, slot)
}

// add counts tokens that are granted now.
func (u *usage) add(n int) { u.counts[u.slot%(usageSlots+1)] += n }

// recent returns the tokens of the window, the oldest part as a whole, and those of the last
// peakSlots parts.
func (u *usage) recent() (inWindow, inPeak int) {
	for _, n := range u.counts {
		inWindow += n
	}
	for s := max(0, u.slot-peakSlots+1); s <= u.slot; s++ {
		inPeak += u.counts[s%(usageSlots+1)]
	}
	return inWindow, inPeak
}

// admits reports whether the next token of a tenant is within its cap. The cap is what the
// operators' bound allows in a window, with a rest for the failures that the package handles:
// the bucket alone would refuse requests that the bound allows, and such a refusal helps
// nobody. A VM that has begun to grant within the last window does not know what its
// predecessor has granted, and goes by the bucket.
func (g *Granter) admits(now time.Time, t *tenantBuckets, c Cap) bool {
	window := g.bounds.window()
	t.usage.advance(now, window)
	if now.Sub(t.right.since) < window {
		return t.bucket.level >= 1
	}
	usable := g.usable(c)
	inWindow, inPeak := t.usage.recent()
	if float64(inWindow+1) > usable {
		return false
	}
	return t.bucket.level >= 1 || float64(inPeak+1) <= peakFactor*usable*peakSlots/usageSlots+peakSlack
}

// usable returns the tokens that may be granted in a window.
func (g *Granter) usable(c Cap) float64 {
	return usableShare * (c.PerSecond*g.bounds.window().Seconds() + c.Burst + g.bounds.extra(c))
}

// calm reports whether a tenant uses so little that each VM that gets a token may have a spare
// one. Spare tokens serve ordinary tenants in the second in which the granting VM changes.
func (g *Granter) calm(now time.Time, t *tenantBuckets, c Cap) bool {
	if now.Sub(t.right.since) < g.bounds.window() {
		return false
	}
	inWindow, inPeak := t.usage.recent()
	calm := calmShare * g.usable(c)
	return float64(inWindow) <= calm && float64(inPeak) <= peakFactor*calm*peakSlots/usageSlots+peakSlack
}

// retryAfter returns the time until a token of a tenant may be free that has none now.
func (g *Granter) retryAfter(now time.Time, t *tenantBuckets, c Cap) time.Duration {
	part := slotTime(g.bounds.window())
	wait := seconds((1 - t.bucket.level) / c.PerSecond)
	if now.Sub(t.right.since) < g.bounds.window() {
		return wait
	}
	left := part - time.Duration(now.UnixNano()%int64(part))
	if t.bucket.level >= 1 {
		return left // the window is used up, not the bucket
	}
	return min(wait, left)
}
