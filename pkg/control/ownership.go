package control

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// takeover describes how this VM became the owner of a replica. previousOwner is
// empty if there was none; released is true after the previous owner has reported
// that its last attempt at the replica has ended.
type takeover struct {
	since         time.Time
	previousOwner model.VMID
	released      bool
}

// earlyRelease is a Release that arrived before this VM gained the replica.
type earlyRelease struct {
	from model.VMID
	at   time.Time
}

// assignOwners computes the owners of all replicas and updates the takeovers for
// the replicas that this VM gained or lost.
func (s *state) assignOwners(now time.Time) {
	if s.doc == nil {
		return
	}
	previousOwners := s.owners
	if previousOwners == nil {
		previousOwners = s.ownersWithoutSelf()
	}
	s.owners = placement.Owners(s.doc, s.vms)
	for r, owner := range s.owners {
		if _, owned := s.takeovers[r]; owner == s.self && !owned {
			s.gainReplica(now, r, previousOwners[r])
		}
	}
	for r := range s.takeovers {
		if owner := s.owners[r]; owner != s.self {
			delete(s.takeovers, r)
			s.log.Infof("control: gave up replica %s, owner is now %q", r, owner)
		}
	}
	s.copyTakeoversForView()
}

// ownersWithoutSelf returns the owners as peers computed them before this VM joined.
func (s *state) ownersWithoutSelf() map[model.ReplicaID]model.VMID {
	others := s.members.VMs()
	delete(others, s.self)
	return placement.Owners(s.doc, others)
}

// gainReplica starts the takeover of a replica from its previous owner. A Release
// that this owner has sent already counts.
func (s *state) gainReplica(now time.Time, r model.ReplicaID, previousOwner model.VMID) {
	if previousOwner == s.self {
		previousOwner = ""
	}
	e, ok := s.earlyReleases[r]
	t := takeover{
		since: now, previousOwner: previousOwner,
		released: ok && previousOwner != "" && e.from == previousOwner,
	}
	delete(s.earlyReleases, r)
	s.takeovers[r] = t
	s.log.Infof("control: gained replica %s, previous owner %q, released by it: %v", r, previousOwner, t.released)
}

// copyTakeoversForView copies the takeovers, because published views are immutable.
func (s *state) copyTakeoversForView() {
	s.viewTakeovers = make(map[model.ReplicaID]model.Takeover, len(s.takeovers))
	for r, t := range s.takeovers {
		s.viewTakeovers[r] = model.Takeover{Since: t.since, Released: t.released}
	}
	s.viewDue = true
}

// receiveRelease marks replicas as released if the Release is from their previous
// owner. A Release from another VM does not mean that the attempts of the previous
// owner have ended. It is kept for replicas that this VM does not own yet.
func (s *state) receiveRelease(now time.Time, from model.VMID, m *wire.Release) {
	changed := false
	for _, r := range m.Replicas {
		t, owned := s.takeovers[r]
		switch {
		case !owned:
			s.earlyReleases[r] = earlyRelease{from: from, at: now}
		case t.previousOwner == from && !t.released:
			t.released = true
			s.takeovers[r] = t
			changed = true
			s.log.Infof("control: VM %s released replica %s", from, r)
		}
	}
	if changed {
		s.copyTakeoversForView()
	}
}

// sendRelease tells the owner of a replica which this VM gave up that the last
// attempt of this VM at it has ended.
func (s *state) sendRelease(r model.ReplicaID) {
	owner, ok := s.owners[r]
	if !ok || owner == s.self {
		return
	}
	s.log.Infof("control: released replica %s to VM %s", r, owner)
	s.io.send(membership.Envelope{To: s.vms[owner], Message: &wire.Release{Replicas: []model.ReplicaID{r}}}, nil)
}
