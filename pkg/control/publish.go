package control

import (
	"maps"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Reasons for which a replica gets no new work.
const (
	domainOut = "domain_out"
	drained   = "drained"
	draining  = "draining"
)

// settle brings derived state up to date and publishes a view when something
// changed or the current view is due for a refresh.
func (s *state) settle(now time.Time) {
	s.adopt(now)
	if s.members.Revision() != s.revision || s.vms == nil {
		s.revision = s.members.Revision()
		s.vms = s.members.VMs()
		s.chooseWatchers(now)
		s.ownersDue = true
		s.dirty = true
	}
	if s.ownersDue && s.joined(now) {
		s.ownersDue = false
		s.assign(now)
	}
	if s.replicasDue {
		s.replicasDue = false
		s.dirty = true
		s.exclude()
	}
	if s.poisonDue {
		s.listPoison(now)
	}
	if s.config.Version() > 0 && s.joined(now) && !s.config.Behind() {
		s.c.synced.Store(true)
	}
	s.publish(now)
}

// chooseWatchers decides whether this VM watches the platform.
func (s *state) chooseWatchers(now time.Time) {
	s.lastWatchers = now
	s.config.SetVMs(s.vms, func(id model.VMID) bool {
		return s.members.HasItem(now, wire.WatchFailureItem, string(id))
	})
}

// joined reports whether owners can be computed. A VM that knows no peer yet
// would take every replica.
func (s *state) joined(now time.Time) bool {
	asked := s.vmsKnown || len(s.c.cfg.Seeds) > 0
	return asked && s.members.Joined() || now.Sub(s.started) >= joinTimeout
}

func (s *state) publish(now time.Time) {
	last := s.c.view.Load().PublishedAt
	due := now.Sub(last) > model.ViewRefreshInterval-membership.TickInterval-membership.TickInterval/2
	if !s.dirty && !due || s.waitsForPeer(now) {
		return
	}
	s.dirty = false
	s.seq++
	s.c.view.Store(&model.View{
		PublishedAt: now, Seq: s.seq, Self: s.members.Self(), Config: s.doc, VMs: s.vms, Owners: s.owners,
		Takeovers: s.gained, Replicas: s.replicas, Excluded: s.excluded, Poison: s.poison,
	})
}

// adopt puts a complete newer configuration in force.
func (s *state) adopt(now time.Time) {
	m, ok := s.config.Ready()
	if !ok {
		return
	}
	doc, err := s.c.cfg.JoinSections(m, s.config.Section)
	if err != nil {
		s.log.Warnf("control: configuration %d cannot be used: %v", m.Version, err)
		s.config.Reject(now)
		return
	}
	s.config.Adopt()
	doc.Version = m.Version
	s.doc = doc
	s.known = placement.Replicas(doc)
	s.log.Infof("control: configuration %d is in force", m.Version)
	s.forgetReplicas()
	s.exclude()
	s.ownersDue = true
	s.dirty = true
}

// forgetReplicas drops the status of replicas that left the configuration.
func (s *state) forgetReplicas() {
	kept := maps.Clone(s.replicas)
	maps.DeleteFunc(kept, func(id model.ReplicaID, _ model.ReplicaStatus) bool {
		_, ok := s.known[id]
		if !ok {
			s.members.DeleteItem(wire.ReplicaItem, string(id))
		}
		return !ok
	})
	s.replicas = kept
}

// exclude computes the replicas that get no new work.
func (s *state) exclude() {
	if s.doc == nil {
		return
	}
	excluded := map[model.ReplicaID]string{}
	out := map[model.DomainID]bool{}
	for _, d := range s.doc.Overrides.DomainsOut {
		out[d] = true
	}
	for id, r := range s.known {
		if s.replicas[id].Draining {
			excluded[id] = draining
		}
		if out[r.Domain] {
			excluded[id] = domainOut
		}
	}
	for _, id := range s.doc.Overrides.Drained {
		excluded[id] = drained
	}
	for id, reason := range excluded {
		if s.excluded[id] != reason {
			s.log.Infof("control: replica %s gets no new work, %s", id, reason)
		}
	}
	for id := range s.excluded {
		if excluded[id] == "" {
			s.log.Infof("control: replica %s gets work again", id)
		}
	}
	s.excluded = excluded
}
