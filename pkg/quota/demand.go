package quota

import "time"

const (
	// demandSlots is the number of parts of the window by which demand is counted.
	demandSlots = 5
	// toleratedShare of what the operators' bound allows in a window may be admitted of a
	// tenant beyond its bucket. The rest is for the changes of the granting VM.
	toleratedShare = 0.85
	// toleratedPeak and toleratedPeakSlack bound a part of the window likewise: toleratedPeak
	// times the mean, and some requests for the chance of arrivals. A tenant that suddenly
	// sends many times its cap is recognized within a second, and owes its bucket no more
	// than that second.
	toleratedPeak      = 1.2
	toleratedPeakSlack = 2
	// strictWindows is the number of windows for which the bucket alone decides after a
	// tenant has asked for too much. VMs that were told to wait do not ask meanwhile, so
	// that its demand is not known.
	strictWindows = 2
)

// demand counts the requests for tokens of a tenant by parts of the window.
type demand struct {
	slot   int64
	counts [demandSlots + 1]int
}

// add counts requests.
func (d *demand) add(now time.Time, window time.Duration, n int) {
	slot := now.UnixNano() / int64(window/demandSlots)
	for s := max(d.slot+1, slot-demandSlots); s <= slot; s++ {
		d.counts[s%(demandSlots+1)] = 0
	}
	d.slot = max(d.slot, slot)
	d.counts[d.slot%(demandSlots+1)] += n
}

// recent returns the requests of the last window and of the last part of it; each includes
// the oldest part as a whole.
func (d *demand) recent() (inWindow, inPart int) {
	for _, n := range d.counts {
		inWindow += n
	}
	return inWindow, d.counts[d.slot%(demandSlots+1)]
}

// tolerates reports whether a request beyond the bucket is admitted. The operators' bound
// allows more in a window than the cap. While all that a tenant asks for stays well within
// that bound, admitting it cannot break the bound, and refusing it would only cost its
// callers. The bucket goes into debt, so that a tenant that then asks for more waits for a
// part of the window. A VM that has begun to grant within the last window does not know what its
// predecessor has admitted, and tolerates nothing.
func (g *Granter) tolerates(now time.Time, t *tenantBuckets, c Cap) bool {
	window := g.bounds.window()
	if now.Sub(t.right.since) < window || now.Before(t.strictUntil) {
		return false
	}
	allowed := toleratedShare * (c.PerSecond*window.Seconds() + c.Burst + g.bounds.extra(c))
	inWindow, inPart := t.demand.recent()
	if float64(inWindow) <= allowed && float64(inPart) <= toleratedPeak*allowed/demandSlots+toleratedPeakSlack {
		return true
	}
	t.strictUntil = now.Add(strictWindows * window)
	return false
}
