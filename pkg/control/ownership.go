package control

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// takeover is the state of a replica that this VM owns. from is the previous
// owner, empty when there was none.
type takeover struct {
	since    time.Time
	from     model.VMID
	released bool
}

// early is a Release that arrived before this VM gained the replica.
type early struct {
	from model.VMID
	at   time.Time
}

// assign computes the owners and the takeover state of gained replicas.
func (s *state) assign(now time.Time) {
	if s.doc == nil {
		return
	}
	before := s.owners
	if before == nil {
		before = s.ownersWithoutSelf()
	}
	s.owners = placement.Owners(s.doc, s.vms)
	for r, owner := range s.owners {
		if _, mine := s.takeovers[r]; owner == s.self && !mine {
			s.gain(now, r, before[r])
		}
	}
	for r := range s.takeovers {
		if owner := s.owners[r]; owner != s.self {
			delete(s.takeovers, r)
			s.log.Infof("control: gave up replica %s, owner is %s", r, owner)
		}
	}
	s.copyTakeovers()
}

// ownersWithoutSelf gives the owners as peers saw them before this VM joined.
func (s *state) ownersWithoutSelf() map[model.ReplicaID]model.VMID {
	others := s.members.VMs()
	delete(others, s.self)
	return placement.Owners(s.doc, others)
}

func (s *state) gain(now time.Time, r model.ReplicaID, from model.VMID) {
	if from == s.self {
		from = ""
	}
	e, ok := s.early[r]
	t := takeover{since: now, from: from, released: ok && from != "" && e.from == from}
	delete(s.early, r)
	s.takeovers[r] = t
	s.log.Infof("control: gained replica %s from %q, released %v", r, from, t.released)
}

func (s *state) copyTakeovers() {
	s.gained = make(map[model.ReplicaID]model.Takeover, len(s.takeovers))
	for r, t := range s.takeovers {
		s.gained[r] = model.Takeover{Since: t.since, Released: t.released}
	}
	s.dirty = true
}

// receiveRelease marks replicas as released by their previous owner. A
// Release of any other VM says nothing about the previous owner's work.
func (s *state) receiveRelease(now time.Time, from model.VMID, m *wire.Release) {
	changed := false
	for _, r := range m.Replicas {
		t, mine := s.takeovers[r]
		switch {
		case !mine:
			s.early[r] = early{from: from, at: now}
		case t.from == from && !t.released:
			t.released = true
			s.takeovers[r] = t
			changed = true
			s.log.Infof("control: %s released replica %s", from, r)
		}
	}
	if changed {
		s.copyTakeovers()
	}
}

// sendRelease tells the owner of a replica that this VM has given up that no
// attempt of it is left.
func (s *state) sendRelease(r model.ReplicaID) {
	owner, ok := s.owners[r]
	if !ok || owner == s.self {
		return
	}
	s.log.Infof("control: released replica %s to %s", r, owner)
	s.io.send(membership.Envelope{To: s.vms[owner], Message: &wire.Release{Replicas: []model.ReplicaID{r}}}, nil)
}
