// Package discovery keeps the replicas that serve each service, from the
// entries that they write to the platform's store. It performs no I/O; the
// caller passes the time.
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

// Replica is the entry of one replica.
type Replica struct {
	ID      string
	Service string
	Addr    string
	Domain  string
	// Slots is the number of requests that the replica works on at once.
	Slots    int
	Draining bool
	// WarmupLeft is how long the replica stayed cold when it wrote the entry.
	WarmupLeft time.Duration
	// Born is the start of the replica's process in Unix milliseconds; a
	// restart under the same ID has a later one.
	Born int64
}

// Member is a replica as this VM believes it to be.
type Member struct {
	Replica
	// ColdUntil is the local time at which the replica is warm, by its entry.
	ColdUntil time.Time
	// Revision is the version of the entry in the store.
	Revision int64
	// missingSince is set while the entry is gone but the replica is kept,
	// because the store was away when the entry lapsed.
	missingSince time.Time
}

// View is an immutable picture of all replicas.
type View struct {
	// Services holds the usable replicas by service, sorted by ID.
	Services map[string][]*Member
	// OutOfService are the failure domains that get no requests.
	OutOfService map[string]bool
}

// Registry applies events of the store. It is used by one goroutine.
type Registry struct {
	members      map[string]*Member
	outOfService map[string]bool
	// storeUnreachable is true while the store does not answer; until then and for
	// RejoinGrace after backAt, missing entries are kept.
	storeUnreachable bool
	storeRecoveredAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{members: map[string]*Member{}, outOfService: map[string]bool{}}
}

// Put takes in an entry. It reports whether the view changes.
func (r *Registry) Put(now time.Time, entry Replica, revision int64) bool {
	old := r.members[entry.ID]
	if old != nil && (revision < old.Revision || entry.Born < old.Born) {
		return false
	}
	m := &Member{Replica: entry, Revision: revision}
	if entry.WarmupLeft > 0 {
		m.ColdUntil = now.Add(entry.WarmupLeft)
	}
	r.members[entry.ID] = m
	r.dropFormerTenant(m)
	return old == nil || old.Replica != entry || !old.missingSince.IsZero()
}

// dropFormerTenant removes replicas with older entries whose address the new
// one has: an address belongs to one replica at a time.
func (r *Registry) dropFormerTenant(current *Member) {
	for id, m := range r.members {
		if id != current.ID && m.Addr == current.Addr && m.Revision < current.Revision {
			delete(r.members, id)
		}
	}
}

// Remove takes in that an entry is gone or unreadable as of a revision, 0 for
// the newest. It reports whether the
// view changes. A replica whose entry lapsed while the store was away is kept
// until it has had time to write it again.
func (r *Registry) Remove(now time.Time, id string, revision int64) bool {
	m := r.members[id]
	if m == nil || (revision > 0 && revision < m.Revision) {
		return false
	}
	if r.recovering(now) {
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
		return false
	}
	delete(r.members, id)
	return true
}

// Retain takes in the names of a complete list: entries that it lacks are
// gone. It reports whether the view changes.
func (r *Registry) Retain(now time.Time, listed map[string]bool) bool {
	changed := false
	for _, id := range slices.Collect(maps.Keys(r.members)) {
		if !listed[id] {
			changed = r.Remove(now, id, 0) || changed
		}
	}
	return changed
}

// recovering reports whether missing entries are kept for now.
func (r *Registry) recovering(now time.Time) bool {
	return r.storeUnreachable || (!r.storeRecoveredAt.IsZero() && now.Before(r.storeRecoveredAt.Add(ReregistrationGracePeriod)))
}

// MarkStoreUnreachable records that the store does not answer.
func (r *Registry) MarkStoreUnreachable() { r.storeUnreachable = true }

// MarkStoreReachable records that the store answers again.
func (r *Registry) MarkStoreReachable(now time.Time) {
	if r.storeUnreachable {
		r.storeUnreachable, r.storeRecoveredAt = false, now
	}
}

// ExpireMissing drops the replicas that did not write their entries again in time. It
// reports whether the view changes.
func (r *Registry) ExpireMissing(now time.Time) bool {
	if r.recovering(now) {
		return false
	}
	changed := false
	for id, m := range r.members {
		if !m.missingSince.IsZero() {
			delete(r.members, id)
			changed = true
		}
	}
	return changed
}

// SetOutOfService marks a failure domain whose replicas get no requests, or takes the
// mark back. It reports whether the view changes.
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

// OutOfService returns the failure domains that are taken out, sorted.
func (r *Registry) OutOfService() []string { return slices.Sorted(maps.Keys(r.outOfService)) }

// View returns the replicas that may get requests.
func (r *Registry) View() *View {
	v := &View{Services: map[string][]*Member{}, OutOfService: maps.Clone(r.outOfService)}
	for _, m := range r.members {
		if !m.Draining && !r.outOfService[m.Domain] {
			copied := *m
			v.Services[m.Service] = append(v.Services[m.Service], &copied)
		}
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// Listed returns the replicas whose entries exist, sorted by ID. Those that are
// only kept after the store's absence are left out: who is told of them would
// take them for listed and never drop them.
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

// Len returns the number of known replicas, usable or not.
func (r *Registry) Len() int { return len(r.members) }

// VM is the entry of one VM of the tier.
type VM struct {
	Name     string
	PeerAddr string
	Domain   string
}

// Crash is the report of one attempt of a request that was under way when a
// replica crashed.
type Crash struct {
	Fingerprint uint64
	Attempt     string
	// At is the time of the report, by the clock of its VM.
	At time.Time
}
