package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// oracle is a simple model of the replicas that a registry should hold.
type oracle struct {
	entries          map[string]oracleEntry
	storeUnreachable bool
	storeRecoveredAt time.Time
}

type oracleEntry struct {
	entry    Replica
	revision int64
	missing  bool
}

func (o *oracle) keepsMissing(now time.Time) bool {
	return o.storeUnreachable || !o.storeRecoveredAt.IsZero() && now.Sub(o.storeRecoveredAt) < ReregistrationGracePeriod
}

func (o *oracle) put(entry Replica, revision int64) {
	if old, ok := o.entries[entry.ID]; ok && (revision < old.revision || entry.Born < old.entry.Born) {
		return
	}
	for id, e := range o.entries {
		if id != entry.ID && e.entry.Addr == entry.Addr && e.revision < revision {
			delete(o.entries, id)
		}
	}
	o.entries[entry.ID] = oracleEntry{entry: entry, revision: revision}
}

func (o *oracle) remove(now time.Time, id string, revision int64) {
	e, ok := o.entries[id]
	switch {
	case !ok || revision > 0 && revision < e.revision:
	case o.keepsMissing(now):
		e.missing = true
		o.entries[id] = e
	default:
		delete(o.entries, id)
	}
}

func (o *oracle) expireMissing(now time.Time) {
	for id, e := range o.entries {
		if e.missing && !o.keepsMissing(now) {
			delete(o.entries, id)
		}
	}
}

func (o *oracle) usable() []string {
	out := []string{}
	for id, e := range o.entries {
		if !e.entry.Draining {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Compares a registry with the model over random sequences of entries, removals,
// lists and store outages. Guards against using a removed replica and losing a
// live one.
func TestModelRegistryAgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, o := NewRegistry(), &oracle{entries: map[string]oracleEntry{}}
		now, revision := start, int64(1)
		id := func() string { return fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				revision++
				e := entry(id(), fmt.Sprint("a", rapid.IntRange(0, 5).Draw(t, "addr")))
				e.Draining = rapid.Bool().Draw(t, "draining")
				e.Born = rapid.Int64Range(1, 3).Draw(t, "born")
				at := revision - rapid.Int64Range(0, min(2, revision-1)).Draw(t, "late")
				r.Put(now, e, at)
				o.put(e, at)
			},
			"remove": func(t *rapid.T) {
				revision++
				name, at := id(), rapid.SampledFrom([]int64{0, 1, revision}).Draw(t, "at")
				r.Remove(now, name, at)
				o.remove(now, name, at)
			},
			"list": func(t *rapid.T) {
				listed := map[string]bool{id(): true, id(): true}
				r.Retain(now, listed)
				for name := range o.entries {
					if !listed[name] {
						o.remove(now, name, 0)
					}
				}
			},
			"outage": func(*rapid.T) { r.MarkStoreUnreachable(); o.storeUnreachable = true },
			"available": func(*rapid.T) {
				r.MarkStoreReachable(now)
				if o.storeUnreachable {
					o.storeUnreachable, o.storeRecoveredAt = false, now
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
				r.ExpireMissing(now)
				o.expireMissing(now)
			},
			"": func(t *rapid.T) {
				got := []string{}
				for _, m := range r.View().Services["s"] {
					got = append(got, m.ID)
				}
				assert.DeepEqual(t, got, o.usable())
			},
		})
	})
}
