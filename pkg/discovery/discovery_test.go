package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func entry(id, addr string) Replica {
	return Replica{ID: id, Service: "s", Addr: addr, Domain: "d1", Slots: 2, Born: 1}
}

func usableIDs(r *Registry) []string {
	var out []string
	for _, m := range r.View().Services["s"] {
		out = append(out, m.ID)
	}
	return out
}

// Guards against requests to replicas that drain, were removed, or are in a
// failure domain that is out of service.
func TestViewHoldsUsableReplicasOnly(t *testing.T) {
	r := NewRegistry()
	r.Put(start, entry("a", "1"), 1)
	draining := entry("b", "2")
	draining.Draining = true
	r.Put(start, draining, 2)
	other := entry("c", "3")
	other.Domain = "d2"
	r.Put(start, other, 3)
	assert.DeepEqual(t, usableIDs(r), []string{"a", "c"})
	assert.Assert(t, r.SetOutOfService("d2", true))
	assert.DeepEqual(t, usableIDs(r), []string{"a"})
	assert.Assert(t, r.SetOutOfService("d2", false))
	assert.Assert(t, r.Remove(start, "a", 0))
	assert.DeepEqual(t, usableIDs(r), []string{"c"})
	assert.Assert(t, !r.Remove(start, "c", 2), "a removal that is older than the entry")
}

// Guards against an entry that overwrites a newer one, where newer means a later
// revision or a later start of the process.
func TestPutIgnoresOlderEntries(t *testing.T) {
	r := NewRegistry()
	newer := entry("a", "1")
	newer.Born, newer.Draining = 5, true
	r.Put(start, newer, 10)
	assert.Assert(t, !r.Put(start, entry("a", "1"), 11))
	stale := newer
	stale.Draining = false
	assert.Assert(t, !r.Put(start, stale, 9))
	assert.Equal(t, len(usableIDs(r)), 0)
}

// Guards against requests to a replica whose address now belongs to another one.
func TestPutRemovesFormerHolderOfAddress(t *testing.T) {
	r := NewRegistry()
	r.Put(start, entry("a", "1"), 1)
	r.Put(start, entry("b", "1"), 2)
	assert.DeepEqual(t, usableIDs(r), []string{"b"})
}

// Guards against a sound replica that is not used any more because an entry of a service
// which the configuration does not have names its address, and against a former holder
// that stays when the configuration has the service.
func TestEntryOfAnUnknownServiceTakesNoAddress(t *testing.T) {
	foreign := entry("x", "1")
	foreign.Service = "unknown"
	for _, early := range []bool{false, true} {
		r := NewRegistry()
		r.SetServices(start, nil)
		if early {
			r.SetServices(start, []string{"s"})
		}
		r.Put(start, entry("a", "1"), 1)
		r.Put(start, foreign, 2)
		r.SetServices(start, []string{"s"})
		assert.DeepEqual(t, usableIDs(r), []string{"a"})
		r.Put(start, entry("b", "1"), 3)
		assert.DeepEqual(t, usableIDs(r), []string{"b"})
		foreign.Service = "t"
		r.Put(start, foreign, 4)
		assert.DeepEqual(t, usableIDs(r), []string{"b"})
		r.SetServices(start, []string{"s", "t"})
		assert.Equal(t, len(usableIDs(r)), 0, "its replica has started at the address of b")
	}
}

// Guards against losing live replicas whose entries lapsed while the store was
// unreachable, and against keeping dead ones after the grace period.
func TestEntriesThatLapsedWhileStoreWasUnreachable(t *testing.T) {
	r := NewRegistry()
	r.Put(start, entry("a", "1"), 1)
	r.Put(start, entry("b", "2"), 2)
	r.MarkStoreUnreachable()
	r.Remove(start, "a", 0)
	recovered := start.Add(5 * time.Second)
	r.MarkStoreReachable(recovered)
	r.Retain(recovered, nil)
	assert.DeepEqual(t, usableIDs(r), []string{"a", "b"})
	r.Put(recovered.Add(time.Second), entry("a", "1"), 7)
	assert.Assert(t, !r.ExpireMissing(recovered.Add(ReregistrationGracePeriod/2)))
	assert.Assert(t, r.ExpireMissing(recovered.Add(ReregistrationGracePeriod)))
	assert.DeepEqual(t, usableIDs(r), []string{"a"})
}

// Guards against delaying a removal that arrives while the store answers.
func TestRemoveIsImmediateWhileTheStoreAnswers(t *testing.T) {
	r := NewRegistry()
	r.Put(start, entry("a", "1"), 1)
	assert.Assert(t, r.Retain(start, nil))
	assert.Equal(t, r.Len(), 0)
}
