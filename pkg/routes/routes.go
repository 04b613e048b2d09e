// Package routes holds one version of the operators' configuration in a form that is
// indexed for routing requests.
package routes

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Route describes how the requests to one host with one path prefix are served.
type Route struct {
	Name string
	// Host and Prefix select the requests. Prefix is a path prefix that begins and ends
	// with a slash.
	Host, Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for a response. Target is the
	// time within which a response has its full value to the caller.
	Timeout, Target time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Public is set if requests need no key where tenants are in force.
	Public bool
	// Attempts is the maximum number of replicas that one request is sent to; in a
	// fan-out query it applies to each shard.
	Attempts int
	// Services are the services among which the requests are split by weight; often
	// there is only one.
	Services []Weighted
	// Shards are the services that a fan-out query is sent to, all of them for each
	// query. A route has either Services or Shards.
	Shards []string
	// TopK is the maximum number of records in the response to a fan-out query.
	TopK int
	// MinCoverage is the smallest fraction of the shards that must have responded for a
	// fan-out query to succeed.
	MinCoverage float64

	// shardSetKey holds the names in Shards, joined by commas.
	shardSetKey string
}

// ShardSetKey returns a key that is equal for routes that query the same shards in
// the same order.
func (r *Route) ShardSetKey() string { return r.shardSetKey }

// FanOut reports whether each request is sent to all Shards instead of to one of the
// Services.
func (r *Route) FanOut() bool { return len(r.Shards) > 0 }

// Weighted is a service and its weight in the traffic split of a route.
type Weighted struct {
	Service string
	Weight  float64
}

// Service describes the replicas of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one replica accepts from all
	// VMs together.
	MaxConns int
	// WarmupPerSecond is the number of requests a second that a cold replica accepts
	// from all VMs together; 0 is no limit.
	WarmupPerSecond float64
}

// Limits bounds the size of callers' requests, the time that a caller may take to
// send the headers, and the time that a caller's connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It does not change after NewTable and
// SetTenants.
type Table struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Services map[string]*Service
	// HasTenants is set if the configuration names tenants, of which there may be none:
	// requests then need a key unless their route is public.
	HasTenants bool
	Tenants    []*Tenant
	// TenantsUnknown is set if the table has come from a VM of an older build, which
	// does not pass tenants on. The configuration may have some.
	TenantsUnknown bool
	// holders maps the digest of a key to the tenant that holds it.
	holders       map[[sha256.Size]byte]*Tenant
	tenantsByName map[string]*Tenant
	// hosts maps a host name in lower case to its routes.
	hosts map[string]*hostRoutes
}

// NewTable indexes the routes of one version. It fails with an *errs.Refusal that
// names the first route without a host, a valid path prefix or a service.
func NewTable(version uint64, limits Limits, all []*Route, services []*Service) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Routes: all, Services: map[string]*Service{}, hosts: map[string]*hostRoutes{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	byHost := map[string][]*Route{}
	for _, r := range all {
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return nil, errs.Refuse(errs.SettingsInvalid, "route %q: host %q and prefix %q select nothing", r.Name, r.Host, r.Prefix)
		}
		if len(r.Services) == 0 && !r.FanOut() {
			return nil, errs.Refuse(errs.SettingsInvalid, "route %q names no service", r.Name)
		}
		r.Attempts = max(1, r.Attempts)
		r.shardSetKey = strings.Join(r.Shards, ",")
		host := strings.ToLower(strings.TrimSuffix(r.Host, "."))
		byHost[host] = append(byHost[host], r)
	}
	for host, list := range byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		t.hosts[host] = newHostRoutes(list)
	}
	return t, nil
}

// Pick returns the service for one request, given a random number draw from the
// uniform distribution on [0, 1). If no weight is positive, all services are equally
// likely.
func (r *Route) Pick(draw float64) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, w := range r.Services {
		total += max(0, w.Weight)
	}
	if total == 0 {
		return r.Services[min(int(draw*float64(len(r.Services))), len(r.Services)-1)].Service
	}
	remaining := draw * total
	for _, w := range r.Services {
		if remaining -= max(0, w.Weight); remaining < 0 {
			return w.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// encodedTable is the form in which a Table is sent between VMs. Older builds ignore the
// fields that they do not know.
type encodedTable struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Services map[string]*Service
	// KnowsTenants tells a table without tenants from one of an older build.
	KnowsTenants bool
	HasTenants   bool
	Tenants      []*Tenant
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (t *Table) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.Encode(&encodedTable{
		Version: t.Version, Limits: t.Limits, Routes: t.Routes, Services: t.Services,
		KnowsTenants: !t.TenantsUnknown, HasTenants: t.HasTenants, Tenants: t.Tenants,
	})
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (t *Table) DecodeMsgpack(d *msgpack.Decoder) error {
	var in encodedTable
	if err := d.Decode(&in); err != nil {
		return err
	}
	table, err := NewTable(in.Version, in.Limits, in.Routes, slices.Collect(maps.Values(in.Services)))
	if err != nil {
		return err
	}
	table.TenantsUnknown = !in.KnowsTenants
	if in.HasTenants {
		if err := table.SetTenants(in.Tenants); err != nil {
			return err
		}
	}
	*t = *table
	return nil
}
