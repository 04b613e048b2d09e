// Package model defines the identifiers, the configuration document and the
// control state that the packages of the tier share.
package model

import "time"

// VMID identifies an entry VM.
type VMID string

// DomainID identifies a failure domain.
type DomainID string

// RegionID identifies a region.
type RegionID string

// ServiceID identifies a service.
type ServiceID string

// GroupID identifies a group of replicas that hold the same shards.
type GroupID string

// ShardID identifies a shard.
type ShardID string

// ReplicaID identifies an upstream. It is unique across all services.
type ReplicaID string

// ServiceKind tells which upstreams of a service a request goes to.
type ServiceKind string

// Kinds of services.
const (
	// Search sends a request to one replica of each group and merges the rows.
	Search ServiceKind = "search"
	// Lookup sends a request to one replica.
	Lookup ServiceKind = "lookup"
)

// Document is the configuration in force: the merge of a base file and a
// site overlay. A published Document is never modified.
type Document struct {
	// Version increases with each published Document. It is set from the manifest
	// and is 0 for a Document that was never published.
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

// Overrides lists what operators have taken out of service with a command,
// without a new configuration file.
type Overrides struct {
	// DomainsOut lists failure domains that get no new work.
	DomainsOut []DomainID `json:"domains_out" msgpack:"domains_out"`
	// Drained lists upstreams that get no new work.
	Drained []ReplicaID `json:"drained" msgpack:"drained"`
}

// Tier holds settings of the tier as a whole.
type Tier struct {
	// ClaimPartitions is the number of platform objects that hold the claims of
	// idempotency keys.
	ClaimPartitions int `json:"claim_partitions" msgpack:"claim_partitions"`
	// ClaimRetentionMS is how long a recorded outcome of a claim is kept.
	ClaimRetentionMS int64 `json:"claim_retention_ms" msgpack:"claim_retention_ms"`
	// PoisonLimit is the number of upstreams that were lost with requests of one
	// fingerprint in flight at which that fingerprint is blocked.
	PoisonLimit int `json:"poison_limit" msgpack:"poison_limit"`
	// PoisonBlockMS is how long a fingerprint stays blocked.
	PoisonBlockMS int64 `json:"poison_block_ms" msgpack:"poison_block_ms"`
	// SameDomainUS, SameRegionUS and OtherRegionUS are the network distances that
	// routing assumes within a failure domain, within a region and between regions.
	SameDomainUS  int64 `json:"same_domain_us" msgpack:"same_domain_us"`
	SameRegionUS  int64 `json:"same_region_us" msgpack:"same_region_us"`
	OtherRegionUS int64 `json:"other_region_us" msgpack:"other_region_us"`
}

// Service describes a service and its upstreams.
type Service struct {
	Kind       ServiceKind          `json:"kind" msgpack:"kind"`
	Operations map[string]Operation `json:"operations" msgpack:"operations"`
	// Order and Limit are the sort keys and the maximum number of the merged rows
	// of a search service.
	Order []OrderKey `json:"order" msgpack:"order"`
	Limit int        `json:"limit" msgpack:"limit"`
	// Slots is the number of requests that one replica runs at a time.
	Slots int `json:"slots" msgpack:"slots"`
	// Connections is the number of connections that one replica accepts.
	Connections int `json:"connections" msgpack:"connections"`
	// DeadlineMS is the deadline of a request that states none, MaxDeadlineMS the
	// longest deadline that a request may state.
	DeadlineMS    int64 `json:"deadline_ms" msgpack:"deadline_ms"`
	MaxDeadlineMS int64 `json:"max_deadline_ms" msgpack:"max_deadline_ms"`
	// ExtraLoad bounds hedges and retries to this share of the primary sends.
	ExtraLoad float64 `json:"extra_load" msgpack:"extra_load"`
	// TargetQuantile is the share of queries that must not wait for a slow replica.
	TargetQuantile float64 `json:"target_quantile" msgpack:"target_quantile"`
	// CanaryGroups is the number of groups that get a search with an unknown
	// fingerprint before the other groups; 0 sends it to all groups at once.
	CanaryGroups int `json:"canary_groups" msgpack:"canary_groups"`
	// ColdWindow is the number of concurrent requests that a replica gets right
	// after its start.
	ColdWindow float64 `json:"cold_window" msgpack:"cold_window"`
	// QueueLimit bounds the requests that wait for one replica at its owner.
	QueueLimit int `json:"queue_limit" msgpack:"queue_limit"`
	// Concurrency bounds the requests of the service in flight at one entry VM; 0
	// derives the bound from Slots.
	Concurrency int        `json:"concurrency" msgpack:"concurrency"`
	ShardMaps   []ShardMap `json:"shard_maps" msgpack:"shard_maps"`
}

// Operation describes an operation of a service.
type Operation struct {
	Idempotent bool `json:"idempotent" msgpack:"idempotent"`
}

// OrderKey is one sort key of the merged rows.
type OrderKey struct {
	Field string `json:"field" msgpack:"field"`
	Desc  bool   `json:"desc" msgpack:"desc"`
}

// ShardMap assigns shards to groups of replicas. A service has more than one
// shard map while shards are split, merged or moved.
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

// Replica is an upstream as a member of a group.
type Replica struct {
	ID     ReplicaID `json:"id" msgpack:"id"`
	Addr   string    `json:"addr" msgpack:"addr"`
	Domain DomainID  `json:"domain" msgpack:"domain"`
}

// DefaultDeadline returns the deadline of a request that states none.
func (s *Service) DefaultDeadline() time.Duration {
	return time.Duration(s.DeadlineMS) * time.Millisecond
}

// IsDomainOut reports whether operators have taken the failure domain out.
func (d *Document) IsDomainOut(id DomainID) bool {
	for _, out := range d.Overrides.DomainsOut {
		if out == id {
			return true
		}
	}
	return false
}

// Region returns the region of a failure domain, empty if the domain is unknown.
func (d *Document) Region(id DomainID) RegionID { return d.Domains[id].Region }
