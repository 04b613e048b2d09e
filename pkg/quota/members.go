package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// joinDelay is how long a VM must be known before it counts, unless the observer has
	// just started itself: by then all VMs in touch know it. The platform applies
	// changes within 5 s.
	joinDelay = 10 * time.Second
	// leaveDelay is how long a VM counts after it has gone from the list. A store that
	// has lost entries gets them back within seconds.
	leaveDelay = 10 * time.Second
	// forgetDelay is how long a VM that has gone is remembered. It counts at once if it
	// comes back.
	forgetDelay = 10 * time.Minute
	// olderDelay is how long a VM that does not know the messages is left out.
	olderDelay = 30 * time.Second
	// maxElectors is the number of VMs that decide whether a VM may grant. With five,
	// two may be lost.
	maxElectors = 5
	// maxRankings bounds the rankings of tenants that are kept.
	maxRankings = 20000
)

// VM is a VM of the tier.
type VM struct{ Name, Domain string }

type member struct {
	vm        VM
	firstSeen time.Time
	// goneSince is zero while the VM is in the list.
	goneSince time.Time
	// olderUntil is set for a VM that does not know the messages.
	olderUntil time.Time
}

// members decides which VMs count. All VMs should count the same ones: two that rank the
// VMs of a tenant differently may ask different VMs for its tokens. It handles lists
// that change at different times on different VMs.
type members struct {
	started time.Time
	known   map[string]*member
	counted []VM
	// rankings caches the ranked VMs of tenants and the electors of VMs.
	rankings map[string][]string
}

func newMembers(now time.Time) *members {
	return &members{started: now, known: map[string]*member{}, rankings: map[string][]string{}}
}

// update takes the list of VMs.
func (m *members) update(now time.Time, vms []VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		k, ok := m.known[vm.Name]
		if !ok {
			k = &member{firstSeen: now}
			m.known[vm.Name] = k
		}
		k.vm, k.goneSince = vm, time.Time{}
	}
	for name, k := range m.known {
		if listed[name] {
			continue
		}
		if k.goneSince.IsZero() {
			k.goneSince = now
		}
		if now.Sub(k.goneSince) >= forgetDelay {
			delete(m.known, name)
		}
	}
	m.recount(now)
}

// markOlder leaves a VM out that does not know the messages.
func (m *members) markOlder(now time.Time, name string) {
	if k, ok := m.known[name]; ok {
		k.olderUntil = now.Add(olderDelay)
		m.recount(now)
	}
}

// markCurrent ends that.
func (m *members) markCurrent(now time.Time, name string) {
	if k, ok := m.known[name]; ok && k.olderUntil.After(now) {
		k.olderUntil = time.Time{}
		m.recount(now)
	}
}

// counts reports whether a VM counts.
func (m *members) counts(now time.Time, name string) bool {
	k, ok := m.known[name]
	if !ok || k.olderUntil.After(now) {
		return false
	}
	if !k.goneSince.IsZero() && now.Sub(k.goneSince) >= leaveDelay {
		return false
	}
	return k.firstSeen.Sub(m.started) < joinDelay || now.Sub(k.firstSeen) >= joinDelay
}

func (m *members) recount(now time.Time) {
	counted := make([]VM, 0, len(m.known))
	for name, k := range m.known {
		if m.counts(now, name) {
			counted = append(counted, k.vm)
		}
	}
	slices.SortFunc(counted, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.Equal(counted, m.counted) {
		m.counted = counted
		clear(m.rankings)
	}
}

// ranked returns the VMs that may give out tokens of a tenant, the granting VM first: the
// highest by rendezvous hashing.
func (m *members) ranked(tenant string) []string {
	return m.cached("t\x00"+tenant, func(key string) []string {
		type candidate struct {
			hash uint64
			name string
		}
		var best []candidate
		for _, vm := range m.counted {
			c := candidate{hash: xxhash.Sum64String(key + "\x00" + vm.Name), name: vm.Name}
			if len(best) == rankedVMs && c.hash <= best[rankedVMs-1].hash {
				continue
			}
			best = append(best, c)
			slices.SortFunc(best, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
			best = best[:min(len(best), rankedVMs)]
		}
		names := make([]string, 0, len(best))
		for _, c := range best {
			names = append(names, c.name)
		}
		return names
	})
}

// electors returns the VMs that decide whether a VM may grant, spread over the failure
// domains: a VM that reaches few of these loses them.
func (m *members) electors(vm string) []string {
	return m.cached("e\x00"+vm, func(key string) []string {
		rank := func(v VM) uint64 { return xxhash.Sum64String(key + "\x00" + v.Name) }
		byHash := slices.Clone(m.counted)
		slices.SortFunc(byHash, func(a, b VM) int { return cmp.Compare(rank(a), rank(b)) })
		var names []string
		for round, found := 0, true; found && len(names) < maxElectors; round++ {
			found = false
			inDomain := map[string]int{}
			for _, v := range byHash {
				if inDomain[v.Domain] == round && len(names) < maxElectors {
					names, found = append(names, v.Name), true
				}
				inDomain[v.Domain]++
			}
		}
		return names
	})
}

func (m *members) cached(key string, compute func(key string) []string) []string {
	if names, ok := m.rankings[key]; ok {
		return names
	}
	if len(m.rankings) >= maxRankings {
		clear(m.rankings)
	}
	names := compute(key)
	m.rankings[key] = names
	return names
}
