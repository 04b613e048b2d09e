package poison

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// record holds the upstream instances that were lost while a request with one
// fingerprint was in flight. An instance is one process of an upstream, so it is lost
// at most once, and its loss is cleared at most once. The result of merging records is
// therefore the same in any order.
type record struct {
	instances   [model.MaxPoisonInstances]uint64 // hashes of instances in ascending order; unused elements are 0 and come first
	spans       [model.MaxPoisonInstances]span   // when the attempts of the losses ran; zero where it is not known
	clearedMask uint8                            // bit i is set when the loss of instances[i] is cleared
	expiresAt   time.Time                        // when the verdict (suspect or blocked) ends
	forgetAt    time.Time                        // when the record may be dropped if no verdict is in force
}

// span is the time from the start of an attempt to the report that a replica has ended
// under it.
type span struct{ from, to time.Time }

// activeLosses returns the number of losses that are not cleared and independent of each
// other.
func (r *record) activeLosses() int { return bits.OnesCount8(r.independentMask()) }

// independentMask selects the losses that count: as many as possible that are not cleared
// and whose attempts did not overlap. One event, such as a failure domain that loses power,
// ends replicas under all attempts of a popular request that are in flight. A request that
// crashes replicas does so again after it has done so.
func (r *record) independentMask() uint8 {
	var mask uint8
	var last time.Time
	for left := r.activeMask(); left != 0; {
		next := -1 // the one that ends first leaves most room for others
		for i := range r.instances {
			if left&(1<<i) != 0 && (next < 0 || r.spans[i].to.Before(r.spans[next].to)) {
				next = i
			}
		}
		left &^= 1 << next
		if s := r.spans[next]; s.to.IsZero() || mask == 0 || s.from.After(last) {
			mask |= 1 << next
			last = s.to
		}
	}
	return mask
}

// activeMask selects the losses that are not cleared.
func (r *record) activeMask() uint8 {
	var mask uint8
	for i, hash := range r.instances {
		if hash != 0 {
			mask |= 1 << i
		}
	}
	return mask &^ r.clearedMask
}

// inForce reports whether a verdict is in force: the fingerprint is suspect or blocked.
func (r *record) inForce(now time.Time) bool {
	return now.Before(r.expiresAt) && r.activeLosses() > 0
}

// extendTo extends the verdict to t; it never shortens it.
func (r *record) extendTo(t time.Time) {
	if t.After(r.expiresAt) {
		r.expiresAt = t
	}
}

// clearLosses marks all losses as cleared.
func (r *record) clearLosses() {
	for i, hash := range r.instances {
		if hash != 0 {
			r.clearedMask |= 1 << i
		}
	}
}

// addLoss adds one loss, or marks a known one as cleared, and reports whether the
// record changed. If all elements are in use, an active loss replaces a cleared one or
// one that does not count, and a cleared loss is ignored. If all elements hold losses that
// count, any further loss is ignored, because it would not change the verdict.
func (r *record) addLoss(hash uint64, cleared bool, during span) bool {
	for i, known := range r.instances {
		if known != hash {
			continue
		}
		if !cleared || r.clearedMask&(1<<i) != 0 {
			return false
		}
		r.clearedMask |= 1 << i
		return true
	}
	i := r.indexFor(cleared)
	if i < 0 {
		return false
	}
	r.instances[i], r.spans[i] = hash, during
	r.setCleared(i, cleared)
	r.sort()
	return true
}

// indexFor returns the index for a new loss, or -1 if there is none.
func (r *record) indexFor(cleared bool) int {
	for i, hash := range r.instances {
		if hash == 0 {
			return i
		}
	}
	replaceable := r.clearedMask
	if replaceable == 0 {
		replaceable = r.activeMask() &^ r.independentMask()
	}
	if cleared || replaceable == 0 {
		return -1
	}
	return bits.TrailingZeros8(replaceable)
}

func (r *record) setCleared(i int, cleared bool) {
	r.clearedMask &^= 1 << i
	if cleared {
		r.clearedMask |= 1 << i
	}
}

// sort sorts the instances and keeps the bits of clearedMask with them.
func (r *record) sort() {
	for i := 1; i < len(r.instances); i++ {
		for j := i; j > 0 && r.instances[j] < r.instances[j-1]; j-- {
			r.swap(j, j-1)
		}
	}
}

func (r *record) swap(i, j int) {
	clearedI, clearedJ := r.clearedMask&(1<<i) != 0, r.clearedMask&(1<<j) != 0
	r.instances[i], r.instances[j] = r.instances[j], r.instances[i]
	r.spans[i], r.spans[j] = r.spans[j], r.spans[i]
	r.setCleared(i, clearedJ)
	r.setCleared(j, clearedI)
}

// recordFor returns the record of a fingerprint so that it can be changed, and
// creates it if needed. It clears the losses of an expired verdict, so that an old
// entry from a peer cannot put the verdict into force again.
func (l *Ledger) recordFor(now time.Time, fp uint64) *record {
	r, ok := l.records[fp]
	if ok && r.activeLosses() > 0 && !now.Before(r.expiresAt) {
		r.clearLosses()
	}
	if ok {
		return r
	}
	if len(l.records) >= MaxRecords {
		l.evict(now)
	}
	r = &record{}
	l.records[fp] = r
	return r
}

// evict drops the records that are no longer needed. If that frees none, it drops
// an eighth of MaxRecords: first records without a verdict, then those of suspect and
// then of blocked fingerprints, and among equals those that expire first. Many are
// dropped at a time because each call scans and sorts all records.
func (l *Ledger) evict(now time.Time) {
	type candidate struct {
		fp   uint64
		rank int
		end  time.Time
	}
	var all []candidate
	for fp, r := range l.records {
		switch {
		case r.inForce(now):
			all = append(all, candidate{fp, min(r.activeLosses(), l.config.LossLimit), r.expiresAt})
		case now.Before(r.forgetAt):
			all = append(all, candidate{fp, 0, r.forgetAt})
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

// provenSet holds the fingerprints that succeeded recently. It has two generations
// and drops the older one as a whole, which needs no scan for old fingerprints.
type provenSet struct {
	retention time.Duration
	current   map[uint64]successes
	previous  map[uint64]successes
	rotatedAt time.Time
}

// successes holds when a request last succeeded as a whole, and when in part. missing holds
// the services that were missing then, with the time of their last success in part.
type successes struct {
	wholeAt, partialAt time.Time
	missing            map[string]time.Time
}

// at returns when the request last succeeded at a service.
func (s successes) at(service string) time.Time {
	at := s.partialAt
	if before, ok := s.missing[service]; ok {
		at = before
	}
	if s.wholeAt.After(at) {
		return s.wholeAt
	}
	return at
}

func newProvenSet(retention time.Duration) provenSet {
	return provenSet{retention: retention, current: map[uint64]successes{}}
}

func (s *provenSet) add(now time.Time, fp uint64) {
	known := s.get(fp)
	known.wholeAt = now
	s.put(now, fp, known)
}

func (s *provenSet) addPartial(now time.Time, fp uint64, missing []string) {
	known := s.get(fp)
	before := make(map[string]time.Time, len(missing))
	for _, service := range missing {
		before[service] = known.at(service)
	}
	known.partialAt, known.missing = now, before
	s.put(now, fp, known)
}

func (s *provenSet) put(now time.Time, fp uint64, known successes) {
	if len(s.current) >= MaxProven/2 || now.Sub(s.rotatedAt) > s.retention {
		s.previous = s.current
		s.current = map[uint64]successes{}
		s.rotatedAt = now
	}
	s.current[fp] = known
}

// get returns the last successes of a fingerprint, which may be older than the retention.
func (s *provenSet) get(fp uint64) successes {
	if known, ok := s.current[fp]; ok {
		return known
	}
	return s.previous[fp]
}

func (s *provenSet) has(now time.Time, fp uint64) bool {
	return now.Sub(s.get(fp).wholeAt) <= s.retention
}
