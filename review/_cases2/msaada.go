package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	hostAll, hostOne = "leno12.example", "hufi27.example"
)

// addedRoute is a route that a later version adds.
var addedRoute = map[string]any{"name": "account-read", "hostname": hostOne, "path_prefix": "/acct55/", "type": "idempotent", "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "attempts": 2, "backend": "member-accounts"}

// putManifest writes a version of the manifest of msaada-search: a query over ten shards, a
// route to one service, and added routes.
func putManifest(s *site, version int, singleType string, added ...map[string]any) (shards []string) {
	for i := range 10 {
		shards = append(shards, fmt.Sprintf("assist-search~%d", i+1))
	}
	services := []map[string]any{{"name": "itinerary-lookup", "health_path": "/healthz", "max_conns": 110, "warmup_s": 3.0, "warmup_per_s": 20.0}}
	for _, name := range shards {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 31, "warmup_s": 3.0, "warmup_per_s": 20.0})
	}
	services = append(services, map[string]any{"name": "member-accounts", "health_path": "/healthz", "max_conns": 110, "warmup_s": 3.0, "warmup_per_s": 20.0})
	s.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": append([]map[string]any{
			{"name": "assist-sweep", "hostname": hostAll, "path_prefix": "/rany330/", "type": "idempotent", "timeout_ms": 1200, "target_latency_ms": 120, "priority": 1, "attempts": 2, "gather": shards, "top_k": 50, "min_coverage": 0.89},
			{"name": "trip-read", "hostname": hostOne, "path_prefix": "/goka902/", "type": singleType, "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "attempts": 2, "backend": "itinerary-lookup"},
		}, added...),
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	return shards
}

// buildMsaada starts the site msaada-search at a machine count of five.
func buildMsaada(s *site, singleType string) error {
	for i, m := range []struct {
		zone    string
		mb, fds int
	}{{"nbo-a", 414, 6150}, {"nbo-a", 414, 6150}, {"nbo-b", 544, 8200}, {"nbo-c", 284, 4100}, {"nbo-d", 544, 8200}} {
		s.addMachine(fmt.Sprintf("edge-%s-%d", m.zone, i+1), m.zone, m.mb, m.fds)
	}
	zones := []string{"nbo-a", "nbo-b", "nbo-c", "nbo-d"}
	n := 0
	add := func(service string, work time.Duration) error {
		n++
		r, err := s.addReplica(fmt.Sprintf("i-%04d", n), service, zones[n%4], work)
		if err == nil {
			r.register("ready")
		}
		return err
	}
	for _, shard := range putManifest(s, 7, singleType) {
		for range 3 {
			if err := add(shard, 15*time.Millisecond); err != nil {
				return err
			}
		}
	}
	for range 26 {
		if err := add("itinerary-lookup", 60*time.Millisecond); err != nil {
			return err
		}
	}
	return s.startAll()
}

// msaadaLoad sends the usual traffic.
func msaadaLoad(s *site, method string) *load {
	l := newLoad()
	for vm := range s.vms {
		l.callers(s, vm, 8, 220*time.Millisecond, func(c *consumer) *attempt {
			return c.send(http.MethodGet, hostAll, fmt.Sprintf("/rany330/%x", time.Now().UnixNano()), 1200*time.Millisecond, "")
		})
		l.callers(s, vm, 4, 440*time.Millisecond, func(c *consumer) *attempt {
			return c.send(method, hostOne, fmt.Sprintf("/goka902/%x", time.Now().UnixNano()), 5*time.Second, "body "+c.site.vms[c.vm].name)
		})
	}
	return l
}
