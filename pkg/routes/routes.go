// Package routes holds one version of the operators' configuration in the form
// that requests are routed by. A Table never changes once it is built.
package routes

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Route tells how the requests below one path of one host are served.
type Route struct {
	Name string
	// Host and Prefix select the requests. Prefix begins and ends with a slash.
	Host, Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds the time a caller is kept waiting, Target is the time
	// within which an answer has its full worth.
	Timeout, Target time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Attempts is the number of replicas that one request may be sent to; in a
	// fan-out it holds for each shard.
	Attempts int
	// Services share the requests by weight. A plain route has one.
	Services []Weighted
	// Shards are the services that a fan-out query asks. A route has either
	// Services or Shards.
	Shards []string
	// TopK is the number of records in the answer of a fan-out query.
	TopK int
	// MinCoverage is the least share of shards in a successful answer.
	MinCoverage float64

	// shardSetKey holds the names in Shards, joined by commas.
	shardSetKey string
}

// ShardSetKey returns a key that is equal for routes that query the same shards in
// the same order.
func (r *Route) ShardSetKey() string { return r.shardSetKey }

// FanOut reports whether requests go to every shard.
func (r *Route) FanOut() bool { return len(r.Shards) > 0 }

// Weighted is a service with its share of a route's requests.
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
	// WarmupPerSecond is the request rate that a cold replica bears.
	WarmupPerSecond float64
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Services map[string]*Service
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// NewTable indexes the routes of one version. It fails with an *errs.Refusal
// that names the first route no request could be served by.
func NewTable(version uint64, limits Limits, all []*Route, services []*Service) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Routes: all, Services: map[string]*Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range all {
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return nil, errs.Refuse(errs.SettingsInvalid, "route %q: host %q and prefix %q select nothing", r.Name, r.Host, r.Prefix)
		}
		if len(r.Services) == 0 && !r.FanOut() {
			return nil, errs.Refuse(errs.SettingsInvalid, "route %q names no service", r.Name)
		}
		r.Attempts = max(1, r.Attempts)
		r.shardSetKey = strings.Join(r.Shards, ",")
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Match returns the route of a request, or nil. The port of the host does not
// count; the longest prefix wins.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	list, ok := t.hosts[host]
	if !ok {
		list = t.hosts[strings.ToLower(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for one request, given a number drawn evenly from
// [0, 1). Weights that are all zero or negative share evenly.
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
	at := draw * total
	for _, w := range r.Services {
		if at -= max(0, w.Weight); at < 0 {
			return w.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// encodedTable is the form of a Table between VMs.
type encodedTable struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Services map[string]*Service
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (t *Table) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.Encode(&encodedTable{Version: t.Version, Limits: t.Limits, Routes: t.Routes, Services: t.Services})
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (t *Table) DecodeMsgpack(d *msgpack.Decoder) error {
	var in encodedTable
	if err := d.Decode(&in); err != nil {
		return err
	}
	made, err := NewTable(in.Version, in.Limits, in.Routes, slices.Collect(maps.Values(in.Services)))
	if err != nil {
		return err
	}
	*t = *made
	return nil
}
