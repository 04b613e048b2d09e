package membership

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// source tells how a record reached this VM.
type source uint8

const (
	// gossiped records are recent updates and are taken as they are.
	gossiped source = iota
	// exchanged records come from a comparison of whole states and can be old.
	exchanged
)

// newer reports whether a overrides b: the higher incarnation does, and
// within one incarnation the state of higher precedence.
func newer(a, b model.VM) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// apply merges what a peer says about a VM.
func (m *Machine) apply(now time.Time, w wire.Member, from source) {
	v := w.VM()
	if v.ID == "" || v.State > model.Dead {
		return
	}
	if v.ID == m.self.ID {
		m.hearOfSelf(v)
		return
	}
	r := m.records[v.ID]
	if r == nil {
		// An unknown dead VM is not stored: peers forget it at different
		// times and would hand it to each other for ever.
		if v.State != model.Dead {
			m.store(now, v)
		}
		return
	}
	if !newer(v, r.vm) {
		return
	}
	// After a partition each side holds the other as dead. Such a claim in a
	// state exchange is checked with the VM before it is believed.
	if from == exchanged && v.State == model.Dead && r.vm.State != model.Dead {
		m.challenges[v.ID] = w
		return
	}
	m.store(now, v)
}

// hearOfSelf refutes any claim about this VM that overrides its own state.
func (m *Machine) hearOfSelf(v model.VM) {
	if v.Incarnation < m.self.Incarnation {
		return
	}
	same := v.State == m.self.State && v.Addr == m.self.Addr && v.Domain == m.self.Domain
	older := v.State == model.Alive && m.self.State == model.Leaving
	if v.Incarnation == m.self.Incarnation && (same || older) {
		return
	}
	m.self.Incarnation = v.Incarnation + 1
	m.revision++
	m.announceSelf()
}

// store replaces the record of another VM, updates timers and queues the
// change for gossip.
func (m *Machine) store(now time.Time, v model.VM) {
	r := m.records[v.ID]
	if r == nil {
		r = &record{vm: model.VM{State: model.Dead}}
		m.records[v.ID] = r
		m.insertProbeTarget(v.ID)
	}
	m.live += alive(v) - alive(r.vm)
	r.vm = v
	r.deadline = time.Time{}
	delete(m.doubtful, v.ID)
	if c, ok := m.challenges[v.ID]; ok && !newer(c.VM(), v) {
		delete(m.challenges, v.ID)
	}
	switch v.State {
	case model.Suspect:
		m.doubt(now, r)
	case model.Dead:
		r.since = now
	}
	m.revision++
	m.memberQueue.add(updateKey{vm: v.ID})
}

func alive(v model.VM) int {
	if v.State == model.Dead {
		return 0
	}
	return 1
}

// doubt starts the deadline after which the VM is declared dead.
func (m *Machine) doubt(now time.Time, r *record) {
	r.deadline = now.Add(m.suspicion())
	m.doubtful[r.vm.ID] = true
}

// suspect reacts to a failed probe. A leaving VM stays leaving, because
// suspect has a lower precedence, but gets the same deadline.
func (m *Machine) suspect(now time.Time, id model.VMID) {
	r := m.records[id]
	if r == nil || r.vm.State == model.Dead || m.doubtful[id] {
		return
	}
	if r.vm.State == model.Leaving {
		m.doubt(now, r)
		return
	}
	v := r.vm
	v.State = model.Suspect
	m.store(now, v)
}

// answered clears the doubt about a leaving VM. A suspect VM clears its own
// by refuting it with a higher incarnation.
func (m *Machine) answered(id model.VMID) {
	r := m.records[id]
	if r != nil && r.vm.State == model.Leaving {
		r.deadline = time.Time{}
		delete(m.doubtful, id)
	}
}

// correction returns this VM's record of a peer when it overrides what the
// peer says of itself, so that the peer can refute it.
func (m *Machine) correction(w wire.Member) []wire.Member {
	r := m.records[w.ID]
	if r == nil || !newer(r.vm, w.VM()) {
		return nil
	}
	return []wire.Member{wire.MemberOf(r.vm)}
}
