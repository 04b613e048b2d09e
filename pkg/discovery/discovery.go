// Package discovery tracks the replicas of each service by the entries that they
// write to the platform's store. It performs no I/O, and every method that needs
// the time gets it as an argument.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReregistrationGracePeriod is how long a replica whose entry lapsed while the
// store was unreachable stays usable after the store answers again. A live
// replica writes its entry again within about two seconds; the remaining 200 ms
// are for the delivery of the event.
const ReregistrationGracePeriod = 2200 * time.Millisecond

const (
	// restoredEntryDelay is how long, after the store has come back from an older copy,
	// a ready entry does not count whose replica is known to have left or to drain. By
	// then the replica has written its entry again, or the store has removed it after
	// three silent heartbeat intervals of 1.2 s.
	restoredEntryDelay = 5 * time.Second
	// maxDepartureAge is how long a replica that has left is remembered. The store's
	// copies are some seconds old.
	maxDepartureAge = time.Minute
)

// Replica is the entry that a replica writes to the store.
type Replica struct {
	ID      string
	Service string
	Addr    string
	Domain  string
	// Version is the version of the service that the replica runs, empty if its entry
	// names none.
	Version string
	// Slots is the number of requests that the replica processes concurrently.
	Slots    int
	Draining bool
	// WarmupLeft is the time from the writing of the entry until the replica is
	// warm.
	WarmupLeft time.Duration
	// Born is the start time of the replica's process in Unix milliseconds. It
	// tells a restarted process from an earlier one with the same ID.
	Born int64
}

// Member is a replica with what this VM has derived from its entry.
type Member struct {
	Replica
	// ColdUntil is the local time from which the replica is warm. It is zero if
	// the entry reports no warm-up.
	ColdUntil time.Time
	// Revision is the version of the entry in the store.
	Revision int64
	// withheld is set while the entry comes from an older copy of the store and the
	// replica is known to have left or to drain.
	withheld bool
	// missingSince is when the entry was found missing. It is zero unless the
	// replica is kept although its entry is missing, because the store was
	// unreachable when the entry lapsed.
	missingSince time.Time
}

// View is an immutable snapshot of the usable replicas.
type View struct {
	// Services holds the usable replicas by service, sorted by ID.
	Services map[string][]*Member
	// OutOfService holds the failure domains that get no requests.
	OutOfService map[string]bool
}

// Registry holds the known replicas and applies changes of the store to them. It
// is not safe for concurrent use.
type Registry struct {
	members      map[string]*Member
	outOfService map[string]bool
	// storeUnreachable is true while the store does not answer. During that time,
	// and for ReregistrationGracePeriod after storeRecoveredAt, replicas whose
	// entries are missing are kept.
	storeUnreachable bool
	storeRecoveredAt time.Time
	// departed holds the replicas that have left, by ID.
	departed map[string]departure
	// withholdUntil is when the restored entries of such replicas count again.
	withholdUntil time.Time
	// services holds the services of the configuration; nil if all count.
	services map[string]bool
}

// departure records that the process of a replica has left.
type departure struct {
	born int64
	at   time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{members: map[string]*Member{}, outOfService: map[string]bool{}, departed: map[string]departure{}}
}

// Put applies an entry with its revision in the store, and ignores it if it is older
// than the known one. It reports whether the view changes.
func (r *Registry) Put(now time.Time, entry Replica, revision int64) bool {
	old := r.members[entry.ID]
	if old != nil && (revision < old.Revision || entry.Born < old.Born) {
		return false
	}
	m := &Member{Replica: entry, Revision: revision, withheld: r.hasLeft(now, entry)}
	if entry.WarmupLeft > 0 {
		m.ColdUntil = now.Add(entry.WarmupLeft)
	}
	r.members[entry.ID] = m
	if !m.withheld {
		delete(r.departed, entry.ID)
		r.removeFormerHolders(now, m)
	}
	return old == nil || old.Replica != entry || !old.missingSince.IsZero()
}

// hasLeft reports whether a ready entry, which may come from an older copy of the
// store, is that of a replica that is known to have left or to drain.
func (r *Registry) hasLeft(now time.Time, entry Replica) bool {
	if entry.Draining || !now.Before(r.withholdUntil) {
		return false
	}
	if old := r.members[entry.ID]; old != nil && old.Born == entry.Born && (old.Draining || old.withheld) {
		return true
	}
	d, left := r.departed[entry.ID]
	return left && d.born == entry.Born
}

// remove deletes a replica and remembers that it has left.
func (r *Registry) remove(now time.Time, m *Member) {
	delete(r.members, m.ID)
	for id, d := range r.departed {
		if now.Sub(d.at) > maxDepartureAge {
			delete(r.departed, id)
		}
	}
	r.departed[m.ID] = departure{born: m.Born, at: now}
}

// StartEra records that the store has come back from an older copy: the revisions of
// the known entries say nothing any more, and entries may be those of replicas that
// have left since the copy was made.
func (r *Registry) StartEra(now time.Time) {
	for _, m := range r.members {
		m.Revision = 0
	}
	r.withholdUntil = now.Add(restoredEntryDelay)
}

// ReleaseWithheld makes the withheld entries count that are still there after
// restoredEntryDelay. It reports whether the view changes.
func (r *Registry) ReleaseWithheld(now time.Time) bool {
	if r.withholdUntil.IsZero() || now.Before(r.withholdUntil) {
		return false
	}
	r.withholdUntil = time.Time{}
	changed := false
	for _, m := range r.members {
		if m.withheld {
			m.withheld, changed = false, true
		}
	}
	return changed
}

// SetServices sets the services of the configuration. Until it is called, all services
// count.
func (r *Registry) SetServices(now time.Time, services []string) {
	r.services = map[string]bool{}
	for _, s := range services {
		r.services[s] = true
	}
	for _, m := range r.members {
		if !m.withheld {
			r.removeFormerHolders(now, m)
		}
	}
}

// removeFormerHolders removes the replicas with older entries for current's
// address. An address belongs to one replica at a time. An entry of a service that the
// configuration does not have may come from another writer and proves nothing.
func (r *Registry) removeFormerHolders(now time.Time, current *Member) {
	if r.services != nil && !r.services[current.Service] {
		return
	}
	for id, m := range r.members {
		if id != current.ID && m.Addr == current.Addr && m.Revision < current.Revision {
			r.remove(now, m)
		}
	}
}

// Remove applies the removal of an entry, or its change to an unreadable one, at the
// given revision of the store. Revision 0 is newer than any other. It reports whether
// the view changes. If the entry lapsed while the store was unreachable, the replica is
// kept until it has had time to write the entry again.
func (r *Registry) Remove(now time.Time, id string, revision int64) bool {
	m := r.members[id]
	if m == nil || (revision > 0 && revision < m.Revision) {
		return false
	}
	if r.keepsMissing(now) {
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
		return false
	}
	r.remove(now, m)
	return true
}

// Retain removes the entries that a complete list of the store lacks. It reports
// whether the view changes.
func (r *Registry) Retain(now time.Time, listed map[string]bool) bool {
	changed := false
	for _, id := range slices.Collect(maps.Keys(r.members)) {
		if !listed[id] {
			changed = r.Remove(now, id, 0) || changed
		}
	}
	return changed
}

// keepsMissing reports whether replicas whose entries are missing are kept.
func (r *Registry) keepsMissing(now time.Time) bool {
	return r.storeUnreachable || (!r.storeRecoveredAt.IsZero() && now.Before(r.storeRecoveredAt.Add(ReregistrationGracePeriod)))
}

// MarkStoreUnreachable records that the store does not answer.
func (r *Registry) MarkStoreUnreachable() { r.storeUnreachable = true }

// MarkStoreReachable records that the store answers again, which starts the grace
// period for missing entries.
func (r *Registry) MarkStoreReachable(now time.Time) {
	if r.storeUnreachable {
		r.storeUnreachable, r.storeRecoveredAt = false, now
	}
}

// ExpireMissing removes the replicas that did not write their entries again
// within the grace period. It reports whether the view changes.
func (r *Registry) ExpireMissing(now time.Time) bool {
	if r.keepsMissing(now) {
		return false
	}
	changed := false
	for _, m := range r.members {
		if !m.missingSince.IsZero() {
			r.remove(now, m)
			changed = true
		}
	}
	return changed
}

// SetOutOfService takes a failure domain out of service, so that its replicas get
// no requests, or puts it back into service. It reports whether the view changes.
func (r *Registry) SetOutOfService(domain string, out bool) bool {
	if r.outOfService[domain] == out {
		return false
	}
	if out {
		r.outOfService[domain] = true
	} else {
		delete(r.outOfService, domain)
	}
	return true
}

// OutOfService returns the failure domains that are out of service, sorted.
func (r *Registry) OutOfService() []string { return slices.Sorted(maps.Keys(r.outOfService)) }

// View returns a snapshot of the replicas that may get requests.
func (r *Registry) View() *View {
	v := &View{Services: map[string][]*Member{}, OutOfService: maps.Clone(r.outOfService)}
	for _, m := range r.members {
		if !m.Draining && !m.withheld && !r.outOfService[m.Domain] {
			copied := *m
			v.Services[m.Service] = append(v.Services[m.Service], &copied)
		}
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// Listed returns the replicas whose entries exist, sorted by ID. It leaves out
// the replicas that are kept although their entries are missing: a VM that
// learned of them from this one would believe that their entries exist and never
// remove them.
func (r *Registry) Listed() []*Member {
	var listed []*Member
	for _, m := range r.members {
		if m.missingSince.IsZero() {
			listed = append(listed, m)
		}
	}
	slices.SortFunc(listed, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	return listed
}

// Len returns the number of all known replicas, including unusable ones.
func (r *Registry) Len() int { return len(r.members) }

// VM is the entry that a VM of the tier writes to the store.
type VM struct {
	Name     string
	PeerAddr string
	Domain   string
}

// RequestLimit is the report of a VM that a replica names a request limit.
type RequestLimit struct {
	Replica string
	// Born is the start time of the replica's process in Unix milliseconds.
	Born int64
	// PerSecond is the number of requests a second that the replica accepts from all
	// VMs together.
	PerSecond float64
}

// Crash reports an attempt of a request that was in flight at a replica when the
// replica crashed.
type Crash struct {
	Fingerprint uint64
	// Exact identifies the request with its query string.
	Exact uint64
	// Service is that of the replica, empty in reports of older VMs.
	Service string
	// Attempt identifies the attempt.
	Attempt string
	// RequestID is the caller's name for it, empty in reports of older VMs.
	RequestID string
	// At is the time of the report, and StartedAt that of the attempt's start, by the clock
	// of the VM that wrote it. StartedAt is zero in reports of older VMs, and in those that
	// count whatever other attempts ran at the same time.
	At, StartedAt time.Time
}
