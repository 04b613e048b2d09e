// Package workload describes the load that the callers of each site send, and
// checks every answer against the data that the stand-in upstreams hold.
package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

const (
	// searchDeadline and lookupDeadline are what callers ask for.
	searchDeadline = time.Second
	lookupDeadline = time.Second
	// repeatShare is the share of non-idempotent requests sent twice at once.
	repeatShare = 0.1
)

// Rates are the arrivals per second of each kind of request.
type Rates struct {
	// Search applies to each search service.
	Search float64
	// Read and Once apply to each lookup service.
	Read float64
	Once float64
}

// Mix returns the requests of a site.
func Mix(c *testcluster.Cluster, r Rates) []loadgen.Request {
	var mix []loadgen.Request
	for _, name := range sortedServices(c.Document) {
		svc := c.Document.Services[name]
		if svc.Kind == model.Search {
			mix = append(mix, searchRequest(c, name, svc, r.Search))
			continue
		}
		for _, op := range sortedOperations(svc) {
			mix = append(mix, callRequest(c, name, op, svc.Operations[op], r))
		}
	}
	return mix
}

func sortedServices(d *model.Document) []model.ServiceID {
	names := make([]model.ServiceID, 0, len(d.Services))
	for name := range d.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func sortedOperations(svc *model.Service) []string {
	names := make([]string, 0, len(svc.Operations))
	for name := range svc.Operations {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func searchRequest(c *testcluster.Cluster, name model.ServiceID, svc *model.Service, rate float64) loadgen.Request {
	return loadgen.Request{
		Service:   name,
		Operation: "search",
		PerSecond: rate,
		Deadline:  searchDeadline,
		Search:    true,
		Body:      queries(c.Document.Site),
		Check: func(query []byte, a loadgen.SearchAnswer) string {
			return checkSearch(c, name, svc, query, a)
		},
	}
}

func callRequest(c *testcluster.Cluster, name model.ServiceID, op string, o model.Operation, r Rates) loadgen.Request {
	data := c.Data[name]
	req := loadgen.Request{
		Service:   name,
		Operation: op,
		PerSecond: r.Read,
		Deadline:  lookupDeadline,
		Body: func(rng *rand.Rand, _ int) []byte {
			return fmt.Appendf(nil, `{"id":%q}`, data.ID(rng.IntN(data.Len())))
		},
	}
	if !o.Idempotent {
		req.Once = true
		req.PerSecond = r.Once
		req.RepeatShare = repeatShare
		// Upstreams count executions by the field "token", so a request that
		// ran twice under different claims is noticed.
		req.Body = func(rng *rand.Rand, n int) []byte {
			return fmt.Appendf(nil, `{"id":%q,"token":"%s-%s-%d-%x"}`, data.ID(rng.IntN(data.Len())), name, op, n, rng.Uint64())
		}
	}
	return req
}

// queries returns a generator of realistic searches of a site.
func queries(site string) func(*rand.Rand, int) []byte {
	kinds, field := []string{"wheelchair", "escort", "guide", "lift", "buggy"}, "kind"
	if site == "podstavek" {
		kinds, field = []string{"round", "square", "stepped", "corner", "monument"}, "plinth"
	}
	return func(rng *rand.Rand, _ int) []byte {
		from := time.Date(2026, 1, 1+rng.IntN(60), 0, 0, 0, 0, time.UTC)
		q := fake.Query{
			Equals: map[string]any{field: kinds[rng.IntN(len(kinds))]},
			From:   from.Format(time.DateOnly),
			To:     from.AddDate(0, 0, 1+rng.IntN(30)).Format(time.DateOnly),
		}
		body, err := json.Marshal(q)
		if err != nil {
			panic(err) // a Query holds only strings
		}
		return body
	}
}

// checkSearch compares an answer with a search over the covered shards on the
// snapshot that the answer names.
func checkSearch(c *testcluster.Cluster, name model.ServiceID, svc *model.Service, query []byte, a loadgen.SearchAnswer) string {
	m := c.ShardMap(name, a.Snapshot.Epoch)
	if m == nil {
		return fmt.Sprintf("answer names unknown shard-map epoch %d", a.Snapshot.Epoch)
	}
	q, err := fake.ParseQuery(query)
	if err != nil {
		return "generated query does not parse: " + err.Error()
	}
	index := testcluster.IndexVersion(a.Snapshot.Version, m, &m.Groups[0])
	covered := without(index.Map, a.MissingShards)
	if a.Total != len(index.Map) || a.Covered != len(covered) {
		return fmt.Sprintf("coverage %d of %d does not match %d missing shards of %d", a.Covered, a.Total, len(a.MissingShards), len(index.Map))
	}
	want := c.Data[name].Search(index, covered, q, svc.Order, svc.Limit)
	if len(want) != len(a.Rows) {
		return fmt.Sprintf("answer has %d rows, expected %d", len(a.Rows), len(want))
	}
	for i := range want {
		if !bytes.Equal(want[i].Data, a.Rows[i]) {
			return fmt.Sprintf("row %d is %s, expected %s", i, a.Rows[i], want[i].Data)
		}
	}
	return ""
}

func without(all, missing []model.ShardID) []model.ShardID {
	out := make([]model.ShardID, 0, len(all))
	for _, s := range all {
		if !slices.Contains(missing, s) {
			out = append(out, s)
		}
	}
	return out
}

// Profile is the behaviour of the upstreams of a service. The brief gives
// connection costs; service times are typical of in-memory indexes.
func Profile(_ model.ServiceID, svc *model.Service) testcluster.Profile {
	p := testcluster.Profile{
		ServiceTime: 4 * time.Millisecond,
		Variation:   0.3,
		ConnCost:    6 * time.Millisecond,
		Cold: fake.ColdConfig{
			For:    2 * time.Second,
			Runs:   20,
			Limit:  1,
			Factor: 4,
		},
	}
	if svc.Kind == model.Lookup {
		p.ServiceTime = 2 * time.Millisecond
		p.ConnCost = time.Millisecond
	}
	return p
}
