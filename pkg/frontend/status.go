package frontend

import (
	"cmp"
	"slices"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Status is the JSON body of /admin/status: the view of the tier that this VM
// acts on.
type Status struct {
	Self                model.VMID                     `json:"self"`
	Site                string                         `json:"site"`
	ConfigVersion       uint64                         `json:"config_version"`
	ViewSeq             uint64                         `json:"view_seq"`
	InFlight            int                            `json:"in_flight"`
	DomainsOut          []model.DomainID               `json:"domains_out"`
	VMs                 []VMStatus                     `json:"vms"`
	Owners              map[model.ReplicaID]model.VMID `json:"owners"`
	Excluded            map[model.ReplicaID]string     `json:"excluded"`
	Replicas            []ReplicaStatus                `json:"replicas"`
	SuspectFingerprints int                            `json:"suspect_fingerprints"`
	BlockedFingerprints int                            `json:"blocked_fingerprints"`
}

// VMStatus is the state of one VM of the tier in this VM's view.
type VMStatus struct {
	ID          model.VMID     `json:"id"`
	Addr        string         `json:"addr"`
	Domain      model.DomainID `json:"domain"`
	Region      model.RegionID `json:"region"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
}

// ReplicaStatus is the last known state of one replica.
type ReplicaStatus struct {
	ID        model.ReplicaID  `json:"id"`
	Instance  string           `json:"instance"`
	Draining  bool             `json:"draining"`
	Down      bool             `json:"down"`
	Snapshots []model.Snapshot `json:"snapshots"`
}

// newStatus returns the status of a view. Lifted verdicts are not counted.
func newStatus(v *model.View, inFlight int) Status {
	s := Status{
		Self: v.Self.ID, ViewSeq: v.Seq, InFlight: inFlight,
		DomainsOut: []model.DomainID{}, VMs: []VMStatus{}, Replicas: []ReplicaStatus{},
		Owners: v.Owners, Excluded: v.Excluded,
	}
	if v.Config != nil {
		s.Site, s.ConfigVersion = v.Config.Site, v.Config.Version
		s.DomainsOut = append(s.DomainsOut, v.Config.Overrides.DomainsOut...)
	}
	for _, m := range v.VMs {
		s.VMs = append(s.VMs, VMStatus{m.ID, m.Addr, m.Domain, m.Region, m.State.String(), m.Incarnation})
	}
	slices.SortFunc(s.VMs, func(a, b VMStatus) int { return cmp.Compare(a.ID, b.ID) })
	for id, r := range v.Replicas {
		s.Replicas = append(s.Replicas, ReplicaStatus{id, r.Instance, r.Draining, r.Down, r.Snapshots})
	}
	slices.SortFunc(s.Replicas, func(a, b ReplicaStatus) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range v.Poison {
		switch {
		case p.Lifted:
		case p.Blocked:
			s.BlockedFingerprints++
		default:
			s.SuspectFingerprints++
		}
	}
	return s
}
