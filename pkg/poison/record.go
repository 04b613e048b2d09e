package poison

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// record is what is known of one fingerprint. An instance identifies one
// process of an upstream, so it can be lost once and its loss be cleared once.
// That makes the union of two records well defined in any order.
type record struct {
	instances [model.MaxPoisonInstances]uint64 // ascending, unused places are 0 and come first
	cleared   uint8
	expires   time.Time // end of the verdict
	forget    time.Time // end of the memory of cleared instances
}

// active returns the number of losses that are not cleared.
func (r *record) active() int {
	used := 0
	for _, hash := range r.instances {
		if hash != 0 {
			used++
		}
	}
	return used - bits.OnesCount8(r.cleared)
}

// holds tells whether there is a verdict on the fingerprint.
func (r *record) holds(now time.Time) bool {
	return now.Before(r.expires) && r.active() > 0
}

// until prolongs the verdict; it never shortens it.
func (r *record) until(t time.Time) {
	if t.After(r.expires) {
		r.expires = t
	}
}

// clear marks all losses as cleared.
func (r *record) clear() {
	for i, hash := range r.instances {
		if hash != 0 {
			r.cleared |= 1 << i
		}
	}
}

// add takes in one loss and tells whether it is news. If there is no place, a
// cleared loss is dropped for an active one; further active losses would not
// change the verdict.
func (r *record) add(hash uint64, cleared bool) bool {
	for i, known := range r.instances {
		if known != hash {
			continue
		}
		if !cleared || r.cleared&(1<<i) != 0 {
			return false
		}
		r.cleared |= 1 << i
		return true
	}
	at := r.place(cleared)
	if at < 0 {
		return false
	}
	r.instances[at] = hash
	r.setCleared(at, cleared)
	r.sort()
	return true
}

// place returns the place for a new loss, or -1.
func (r *record) place(cleared bool) int {
	for i, hash := range r.instances {
		if hash == 0 {
			return i
		}
	}
	if !cleared && r.cleared != 0 {
		return bits.TrailingZeros8(r.cleared)
	}
	return -1
}

func (r *record) setCleared(i int, cleared bool) {
	r.cleared &^= 1 << i
	if cleared {
		r.cleared |= 1 << i
	}
}

func (r *record) sort() {
	for i := 1; i < len(r.instances); i++ {
		for j := i; j > 0 && r.instances[j] < r.instances[j-1]; j-- {
			r.swap(j, j-1)
		}
	}
}

func (r *record) swap(i, j int) {
	a, b := r.cleared&(1<<i) != 0, r.cleared&(1<<j) != 0
	r.instances[i], r.instances[j] = r.instances[j], r.instances[i]
	r.setCleared(i, b)
	r.setCleared(j, a)
}

// record returns the record of a fingerprint for a change. A verdict that has
// expired counts as cleared, so that an old entry cannot bring it back.
func (l *Ledger) record(now time.Time, fp uint64) *record {
	r, ok := l.records[fp]
	if ok && r.active() > 0 && !now.Before(r.expires) {
		r.clear()
	}
	if ok {
		return r
	}
	if len(l.records) >= MaxRecords {
		l.makeRoom(now)
	}
	r = &record{}
	l.records[fp] = r
	return r
}

// makeRoom drops what is no longer needed, and if that is not enough, an
// eighth of the records that matter least: cleared ones, then suspects, then
// blocks, and among equals those that end first. Dropping many at once keeps
// the cost of a flood of losses low.
func (l *Ledger) makeRoom(now time.Time) {
	type candidate struct {
		fp   uint64
		rank int
		end  time.Time
	}
	var all []candidate
	for fp, r := range l.records {
		switch {
		case r.holds(now):
			all = append(all, candidate{fp, min(r.active(), l.config.LossLimit), r.expires})
		case now.Before(r.forget):
			all = append(all, candidate{fp, 0, r.forget})
		default:
			delete(l.records, fp)
		}
	}
	if len(l.records) < MaxRecords {
		return
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.end.Compare(b.end), cmp.Compare(a.fp, b.fp))
	})
	for _, c := range all[:MaxRecords/8] {
		delete(l.records, c.fp)
	}
}

// recentSet holds fingerprints that succeeded recently in two generations, so
// that old ones are dropped without a scan.
type recentSet struct {
	keep    time.Duration
	current map[uint64]time.Time
	older   map[uint64]time.Time
	since   time.Time
}

func newRecentSet(keep time.Duration) recentSet {
	return recentSet{keep: keep, current: map[uint64]time.Time{}}
}

func (s *recentSet) add(now time.Time, fp uint64) {
	if len(s.current) >= MaxProven/2 || now.Sub(s.since) > s.keep {
		s.older = s.current
		s.current = map[uint64]time.Time{}
		s.since = now
	}
	s.current[fp] = now
}

func (s *recentSet) has(now time.Time, fp uint64) bool {
	at, ok := s.current[fp]
	if !ok {
		at, ok = s.older[fp]
	}
	return ok && now.Sub(at) <= s.keep
}
