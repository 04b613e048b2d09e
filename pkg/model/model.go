// Package model defines the identifiers and the configuration document that
// all parts of the tier share.
package model

import "time"

// VMID names one entry VM.
type VMID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region.
type RegionID string

// ServiceID names a service.
type ServiceID string

// GroupID names a group of replicas that hold the same shards.
type GroupID string

// ShardID names a shard.
type ShardID string

// ReplicaID names an upstream. It is unique over all services.
type ReplicaID string

// ServiceKind tells how a service answers.
type ServiceKind string

// Kinds of services.
const (
	Search ServiceKind = "search"
	Lookup ServiceKind = "lookup"
)

// Document is the configuration in force: the merge of a base file and a
// site overlay. A published Document is never modified.
type Document struct {
	// Version orders documents. It is set from the manifest and is 0 for a
	// document that was never published.
	Version   uint64                 `json:"-" msgpack:"version"`
	Site      string                 `json:"site" msgpack:"site"`
	Domains   map[DomainID]Domain    `json:"domains" msgpack:"domains"`
	Services  map[ServiceID]*Service `json:"services" msgpack:"services"`
	Overrides Overrides              `json:"overrides" msgpack:"overrides"`
	Tier      Tier                   `json:"tier" msgpack:"tier"`
}

// Domain describes a failure domain.
type Domain struct {
	Region RegionID `json:"region" msgpack:"region"`
}

// Overrides are the operators' short-notice decisions.
type Overrides struct {
	// DomainsOut lists failure domains that get no new work.
	DomainsOut []DomainID `json:"domains_out" msgpack:"domains_out"`
	// Drained lists upstreams that get no new work.
	Drained []ReplicaID `json:"drained" msgpack:"drained"`
}

// Tier holds settings of the tier as a whole.
type Tier struct {
	// ClaimPartitions is the number of claim objects in the platform.
	ClaimPartitions int `json:"claim_partitions" msgpack:"claim_partitions"`
	// ClaimRetentionMS is how long a recorded outcome is kept.
	ClaimRetentionMS int64 `json:"claim_retention_ms" msgpack:"claim_retention_ms"`
	// PoisonLimit is the number of lost upstreams after which a fingerprint is blocked.
	PoisonLimit int `json:"poison_limit" msgpack:"poison_limit"`
	// PoisonBlockMS is how long a fingerprint stays blocked.
	PoisonBlockMS int64 `json:"poison_block_ms" msgpack:"poison_block_ms"`
	// SameDomainUS, SameRegionUS and OtherRegionUS are network distances used for routing.
	SameDomainUS  int64 `json:"same_domain_us" msgpack:"same_domain_us"`
	SameRegionUS  int64 `json:"same_region_us" msgpack:"same_region_us"`
	OtherRegionUS int64 `json:"other_region_us" msgpack:"other_region_us"`
}

// Service describes one service that the tier fronts.
type Service struct {
	Kind       ServiceKind          `json:"kind" msgpack:"kind"`
	Operations map[string]Operation `json:"operations" msgpack:"operations"`
	// Order and Limit define the merge of a search service.
	Order []OrderKey `json:"order" msgpack:"order"`
	Limit int        `json:"limit" msgpack:"limit"`
	// Slots is the number of requests one replica runs at a time.
	Slots int `json:"slots" msgpack:"slots"`
	// Connections is the number of connections one replica accepts.
	Connections int `json:"connections" msgpack:"connections"`
	// DeadlineMS is the deadline of a request that names none, MaxDeadlineMS the longest accepted.
	DeadlineMS    int64 `json:"deadline_ms" msgpack:"deadline_ms"`
	MaxDeadlineMS int64 `json:"max_deadline_ms" msgpack:"max_deadline_ms"`
	// ExtraLoad is the share of primary sends that hedges and retries may add.
	ExtraLoad float64 `json:"extra_load" msgpack:"extra_load"`
	// TargetQuantile is the share of queries that must not wait for a straggler.
	TargetQuantile float64 `json:"target_quantile" msgpack:"target_quantile"`
	// CanaryGroups is the number of groups an unknown search fingerprint is tried on first; 0 turns canaries off.
	CanaryGroups int `json:"canary_groups" msgpack:"canary_groups"`
	// ColdWindow is the concurrency that a replica bears right after its start.
	ColdWindow float64 `json:"cold_window" msgpack:"cold_window"`
	// QueueLimit bounds the requests that wait at one replica's owner.
	QueueLimit int `json:"queue_limit" msgpack:"queue_limit"`
	// Concurrency bounds the requests of the service in flight at one entry VM; 0 derives it from the slots.
	Concurrency int        `json:"concurrency" msgpack:"concurrency"`
	ShardMaps   []ShardMap `json:"shard_maps" msgpack:"shard_maps"`
}

// Operation describes one operation of a service.
type Operation struct {
	Idempotent bool `json:"idempotent" msgpack:"idempotent"`
}

// OrderKey is one key of the order in which results are merged.
type OrderKey struct {
	Field string `json:"field" msgpack:"field"`
	Desc  bool   `json:"desc" msgpack:"desc"`
}

// ShardMap assigns shards to groups of replicas. A service has more than one
// while shards are split, merged or moved.
type ShardMap struct {
	Epoch  uint64  `json:"epoch" msgpack:"epoch"`
	Groups []Group `json:"groups" msgpack:"groups"`
}

// Group is a set of replicas that hold the same shards.
type Group struct {
	ID       GroupID   `json:"id" msgpack:"id"`
	Shards   []ShardID `json:"shards" msgpack:"shards"`
	Replicas []Replica `json:"replicas" msgpack:"replicas"`
}

// Replica is one upstream.
type Replica struct {
	ID     ReplicaID `json:"id" msgpack:"id"`
	Addr   string    `json:"addr" msgpack:"addr"`
	Domain DomainID  `json:"domain" msgpack:"domain"`
}

// DefaultDeadline returns the default deadline of the service.
func (s *Service) DefaultDeadline() time.Duration {
	return time.Duration(s.DeadlineMS) * time.Millisecond
}

// IsDomainOut reports whether operators have taken the failure domain out.
func (d *Document) IsDomainOut(id DomainID) bool {
	for _, o := range d.Overrides.DomainsOut {
		if o == id {
			return true
		}
	}
	return false
}

// Region returns the region of a failure domain.
func (d *Document) Region(id DomainID) RegionID { return d.Domains[id].Region }
