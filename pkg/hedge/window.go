package hedge

import (
	"sync"
	"time"
)

// windowSlots is the number of parts of the window by which sends are counted.
const windowSlots = 10

// windowBudget bounds the extra attempts in any window of time: a burst, plus a share of the
// primary sends in the same window. It answers the load of large fleets, where a VM sends
// about one request a second to each service and its share of the burst is one or two
// attempts. A token bucket of that size forgets what the sends of the last seconds have
// earned, so that hedges leave nothing for retries when answers are lost for some seconds.
//
// Sends are counted by slots of the window. The oldest slot that is partly in the window
// counts for extra attempts and not for primary sends, so that the bound holds for each
// window that ends with an extra attempt. It is safe for concurrent use.
type windowBudget struct {
	slot time.Duration
	now  func() time.Time

	mu sync.Mutex
	// current is the number of the slot in progress since the start of time.
	current int64
	primary [windowSlots + 1]int64
	extra   [windowSlots + 1]int64
}

// windowReserve returns the part of a window's budget that hedges leave for retries: a share,
// and a whole attempt if the budget has two. Less than an attempt would be none.
func windowReserve(total int64) int64 {
	reserve := int64(RetryReserveShare * float64(total))
	if total >= 2*unitsPerAttempt {
		return max(reserve, unitsPerAttempt)
	}
	return reserve
}

func newWindowBudget(window time.Duration, now func() time.Time) *windowBudget {
	return &windowBudget{slot: window / windowSlots, now: now}
}

// advance drops the slots that have left the window. w.mu is held.
func (w *windowBudget) advance() int64 {
	slot := w.now().UnixNano() / int64(w.slot)
	for n := max(w.current+1, slot-windowSlots); n <= slot; n++ {
		w.primary[n%(windowSlots+1)], w.extra[n%(windowSlots+1)] = 0, 0
	}
	w.current = max(w.current, slot) // the time of day may be set back
	return w.current
}

// addPrimary counts primary sends.
func (w *windowBudget) addPrimary(n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.primary[w.advance()%(windowSlots+1)] += n
}

// take counts extra attempts if that leaves at least floor of the budget, in units of an
// attempt, and reports whether it did. size returns the whole budget for a number of primary
// sends.
func (w *windowBudget) take(n, floor int64, size func(primary int64) int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	total, used := w.level(size)
	if total-used-n*unitsPerAttempt < floor {
		return false
	}
	w.extra[w.current%(windowSlots+1)] += n
	return true
}

// level returns the whole budget and the part that is used. w.mu is held.
func (w *windowBudget) level(size func(primary int64) int64) (total, used int64) {
	oldest := (w.advance() + 1) % (windowSlots + 1)
	var primary, extra int64
	for i := range w.primary {
		if int64(i) != oldest {
			primary += w.primary[i]
		}
		extra += w.extra[i]
	}
	return size(primary), extra * unitsPerAttempt
}
