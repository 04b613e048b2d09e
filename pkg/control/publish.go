package control

import (
	"maps"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Reasons why a replica gets no new work, as the view and the log state them.
const (
	reasonDomainOut = "domain_out"
	reasonDrained   = "drained"
	reasonDraining  = "draining"
)

// updateView recomputes what depends on changed state. It publishes a view if
// something changed or the current view is due for a refresh.
func (s *state) updateView(now time.Time) {
	s.adoptConfig(now)
	if s.members.Revision() != s.membersRevision || s.vms == nil {
		s.membersRevision = s.members.Revision()
		s.vms = s.members.VMs()
		s.updateWatcherRole(now)
		s.ownersDue = true
		s.viewDue = true
	}
	if s.ownersDue && s.joinDone(now) {
		s.ownersDue = false
		s.assignOwners(now)
	}
	if s.replicasDue {
		s.replicasDue = false
		s.viewDue = true
		s.updateExclusions()
	}
	if s.poisonDue {
		s.rebuildPoison(now)
	}
	if s.config.Version() > 0 && s.joinDone(now) && !s.config.Behind() {
		s.controller.synced.Store(true)
	}
	s.publishView(now)
}

// updateWatcherRole decides anew whether this VM watches the platform.
func (s *state) updateWatcherRole(now time.Time) {
	s.watcherRoleUpdatedAt = now
	s.config.SetVMs(s.vms, func(id model.VMID) bool {
		return s.members.HasItem(now, wire.WatchFailureItem, string(id))
	})
}

// joinDone reports whether this VM has joined its peers or has waited for joinTimeout.
// Before that it assigns no owners, because a VM that knows no peer would compute
// that it owns all replicas.
func (s *state) joinDone(now time.Time) bool {
	peersKnown := s.vmListKnown || len(s.controller.cfg.Seeds) > 0
	return peersKnown && s.members.Joined() || now.Sub(s.startedAt) >= joinTimeout
}

// publishView publishes a view if the state has changed or the current view is due
// for a refresh. A view is refreshed one and a half ticks early, so that it does
// not exceed ViewRefreshInterval before the next tick, even if that is late.
func (s *state) publishView(now time.Time) {
	last := s.controller.view.Load().PublishedAt
	refreshDue := now.Sub(last) > model.ViewRefreshInterval-membership.TickInterval-membership.TickInterval/2
	if !s.viewDue && !refreshDue || s.waitsForPeer(now) {
		return
	}
	s.viewDue = false
	s.viewSeq++
	s.controller.view.Store(&model.View{
		PublishedAt: now, Seq: s.viewSeq, Self: s.members.Self(), Config: s.doc, VMs: s.vms, Owners: s.owners,
		Takeovers: s.viewTakeovers, Replicas: s.replicaStatuses, Excluded: s.excluded, Poison: s.poison,
	})
}

// adoptConfig puts a newer configuration in force if all its sections have arrived
// and can be joined.
func (s *state) adoptConfig(now time.Time) {
	m, ok := s.config.Ready()
	if !ok {
		return
	}
	doc, err := s.controller.cfg.JoinSections(m, s.config.Section)
	if err != nil {
		s.log.Warnf("control: configuration %d cannot be used: %v", m.Version, err)
		s.config.Reject(now)
		return
	}
	s.config.Adopt()
	doc.Version = m.Version
	s.doc = doc
	s.configuredReplicas = placement.Replicas(doc)
	s.log.Infof("control: configuration %d is in force", m.Version)
	s.dropRemovedReplicas()
	s.updateExclusions()
	s.ownersDue = true
	s.viewDue = true
}

// dropRemovedReplicas drops the status of replicas that are no longer in the
// configuration.
func (s *state) dropRemovedReplicas() {
	kept := maps.Clone(s.replicaStatuses)
	maps.DeleteFunc(kept, func(id model.ReplicaID, _ model.ReplicaStatus) bool {
		_, ok := s.configuredReplicas[id]
		if !ok {
			s.members.DeleteItem(wire.ReplicaItem, string(id))
		}
		return !ok
	})
	s.replicaStatuses = kept
}

// updateExclusions computes which replicas get no new work. An operator's override
// takes precedence over the replica's own status as the stated reason.
func (s *state) updateExclusions() {
	if s.doc == nil {
		return
	}
	excluded := map[model.ReplicaID]string{}
	domainsOut := map[model.DomainID]bool{}
	for _, d := range s.doc.Overrides.DomainsOut {
		domainsOut[d] = true
	}
	for id, r := range s.configuredReplicas {
		if s.replicaStatuses[id].Draining {
			excluded[id] = reasonDraining
		}
		if domainsOut[r.Domain] {
			excluded[id] = reasonDomainOut
		}
	}
	for _, id := range s.doc.Overrides.Drained {
		excluded[id] = reasonDrained
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
