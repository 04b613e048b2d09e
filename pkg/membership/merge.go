package membership

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// source is the kind of message in which a record reached this VM.
type source uint8

const (
	// fromGossip records are recent updates and are applied at once.
	fromGossip source = iota
	// fromExchange records come from a comparison of complete states and can be
	// outdated.
	fromExchange
)

// overrides reports whether record a replaces record b: the higher incarnation wins,
// and within one incarnation the state of higher precedence.
func overrides(a, b model.VM) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// applyMember merges the record that a peer sent of a VM.
func (m *Machine) applyMember(now time.Time, w wire.Member, from source) {
	v := w.VM()
	if v.ID == "" || v.State > model.Dead {
		return
	}
	if v.ID == m.self.ID {
		m.refuteClaim(v)
		return
	}
	r := m.records[v.ID]
	if r == nil {
		// An unknown dead VM is not stored. Peers remove dead VMs at different times
		// and would send them to each other forever.
		if v.State != model.Dead {
			m.storeMember(now, v)
		}
		return
	}
	if !overrides(v, r.vm) {
		return
	}
	// After a network partition each side has declared the VMs of the other side dead.
	// A VM that is live here is therefore pinged before such a record from a state
	// exchange is applied.
	if from == fromExchange && v.State == model.Dead && r.vm.State != model.Dead {
		m.deathClaims[v.ID] = w
		return
	}
	m.storeMember(now, v)
}

// refuteClaim answers a record of this VM that would override its own state: it takes
// a higher incarnation and gossips its state.
func (m *Machine) refuteClaim(v model.VM) {
	if v.Incarnation < m.self.Incarnation {
		return
	}
	unchanged := v.State == m.self.State && v.Addr == m.self.Addr && v.Domain == m.self.Domain
	outdated := v.State == model.Alive && m.self.State == model.Leaving
	if v.Incarnation == m.self.Incarnation && (unchanged || outdated) {
		return
	}
	m.self.Incarnation = v.Incarnation + 1
	m.revision++
	m.queueSelfUpdate()
}

// storeMember replaces the record of another VM, updates its suspicion and queues the
// change for gossip.
func (m *Machine) storeMember(now time.Time, v model.VM) {
	r := m.records[v.ID]
	if r == nil {
		r = &record{vm: model.VM{State: model.Dead}}
		m.records[v.ID] = r
		m.insertProbeTarget(v.ID)
	}
	m.liveCount += countLive(v) - countLive(r.vm)
	r.vm = v
	r.suspicionDeadline = time.Time{}
	delete(m.unresponsive, v.ID)
	if c, ok := m.deathClaims[v.ID]; ok && !overrides(c.VM(), v) {
		delete(m.deathClaims, v.ID)
	}
	switch v.State {
	case model.Suspect:
		m.startSuspicion(now, r)
	case model.Dead:
		r.deadSince = now
	}
	m.revision++
	m.memberQueue.add(updateKey{vm: v.ID})
}

// countLive returns 0 for a dead VM and 1 for any other.
func countLive(v model.VM) int {
	if v.State == model.Dead {
		return 0
	}
	return 1
}

// startSuspicion sets the time at which the VM is declared dead.
func (m *Machine) startSuspicion(now time.Time, r *record) {
	r.suspicionDeadline = now.Add(m.suspicionTimeout())
	m.unresponsive[r.vm.ID] = true
}

// handleFailedProbe makes a VM suspect after a failed probe. A leaving VM stays
// leaving, because the state suspect has a lower precedence, but gets the same
// deadline.
func (m *Machine) handleFailedProbe(now time.Time, id model.VMID) {
	r := m.records[id]
	if r == nil || r.vm.State == model.Dead || m.unresponsive[id] {
		return
	}
	if r.vm.State == model.Leaving {
		m.startSuspicion(now, r)
		return
	}
	v := r.vm
	v.State = model.Suspect
	m.storeMember(now, v)
}

// clearLeavingSuspicion removes the deadline of a leaving VM that answered. A suspect
// VM ends its suspicion itself, by taking a higher incarnation.
func (m *Machine) clearLeavingSuspicion(id model.VMID) {
	r := m.records[id]
	if r != nil && r.vm.State == model.Leaving {
		r.suspicionDeadline = time.Time{}
		delete(m.unresponsive, id)
	}
}

// correction returns this VM's record of a peer if it overrides the record that the
// peer sent of itself. The peer can then refute it.
func (m *Machine) correction(w wire.Member) []wire.Member {
	r := m.records[w.ID]
	if r == nil || !overrides(r.vm, w.VM()) {
		return nil
	}
	return []wire.Member{wire.MemberOf(r.vm)}
}
