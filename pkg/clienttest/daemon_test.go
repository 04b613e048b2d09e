package clienttest

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

const (
	// daemonMemoryMB and daemonFDs are the machine of nutmeghitchd. Its settings name none,
	// so that the machine is that of the stand-in's settings (200 MB) and the descriptors
	// are those of its own limit of 10,000 connections.
	daemonMemoryMB = 200
	daemonFDs      = 10_000
	searchPath     = "/v1/search/bookings"
	daemonSecret   = "0123456789abcdef-clienttest"
)

// daemonDocument is a site with one search service of two replicas.
func daemonDocument() *model.Document {
	search := &model.Service{
		Kind: model.Search, Slots: 2, Connections: 20, DeadlineMS: 5000, MaxDeadlineMS: 30000,
		ExtraLoad: 0.05, TargetQuantile: 0.99, ColdWindow: 1, QueueLimit: 64, Limit: 20,
		Operations: map[string]model.Operation{"search": {Idempotent: true}},
		Order:      []model.OrderKey{{Field: "date"}, {Field: "id"}},
		ShardMaps: []model.ShardMap{{Epoch: 1, Groups: []model.Group{{
			ID: "g0", Shards: []model.ShardID{"s0"}, Replicas: []model.Replica{{ID: "r0", Domain: "a"}, {ID: "r1", Domain: "a"}},
		}}}},
	}
	return &model.Document{
		Site: "clienttest", Domains: map[model.DomainID]model.Domain{"a": {Region: "r"}},
		Services: map[model.ServiceID]*model.Service{"bookings": search},
		Tier: model.Tier{
			ClaimPartitions: 8, ClaimRetentionMS: 86_400_000, PoisonLimit: 2, PoisonBlockMS: 600_000,
			SameDomainUS: 100, SameRegionUS: 500, OtherRegionUS: 5000,
		},
	}
}

// startDaemon returns a site whose VM is nutmeghitchd.
func startDaemon(t *testing.T) *site {
	t.Helper()
	cluster, err := testcluster.Start(t.Context(), testcluster.Config{
		Document: daemonDocument(), Seed: 1, Records: 200,
		Profile: func(model.ServiceID, *model.Service) testcluster.Profile {
			return testcluster.Profile{ServiceTime: time.Millisecond, ConnCost: time.Millisecond}
		},
	})
	assert.NilError(t, err)
	t.Cleanup(cluster.Close)
	s := newSite(t, daemonMemoryMB, daemonFDs)
	callers, operators := freeAddr(t), freeAddr(t)
	settings, err := json.Marshal(map[string]any{
		"vm": "vm0", "domain": "a", "region": "r",
		"listen": map[string]any{
			"callers": map[string]any{"addr": callers}, "peers": map[string]any{"addr": freeAddr(t)},
			"operators": map[string]any{"addr": operators},
		},
		"platform":    map[string]any{"url": cluster.Platform.URL(), "token": testcluster.PlatformToken},
		"peer_secret": daemonSecret, "operator_token": daemonSecret, "balancer_notice_ms": 500,
	})
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, settings, 0o600))
	s.targets = []target{{callers, searchPath, searchPath}, {callers, noRoutePath, noRoutePath}, {operators, "/readyz", "/metrics"}}
	s.ordinary = []func(context.Context) error{
		func(ctx context.Context) error { return s.ask(ctx, http.MethodGet, operators, "/readyz", "") },
		func(ctx context.Context) error {
			return s.ask(ctx, http.MethodPost, callers, searchPath, `{"query":{}}`)
		},
	}
	s.start(daemon, path)
	s.awaitOrdinaryAnswers()
	return s
}

// Guards against clients that exhaust nutmeghitchd, kind by kind.
func TestDaemon(t *testing.T) {
	for _, k := range kinds {
		t.Run(strings.ReplaceAll(k.name, " ", "_"), func(t *testing.T) { runAtEachTarget(t, startDaemon, k) })
	}
	t.Run("mixed", func(t *testing.T) { runMixed(t, startDaemon) })
}
