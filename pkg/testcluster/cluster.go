// Package testcluster runs a whole site in one process over loopback: the
// stand-ins for upstreams and platform, and the VMs of the tier. Tests, the
// demo and measurements use it.
package testcluster

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// firstVersion is the index version that upstreams hold at the start.
const firstVersion = 1

// Profile describes how the upstreams of a service behave.
type Profile struct {
	ServiceTime time.Duration
	Variation   float64
	TailChance  float64
	TailFactor  float64
	ConnCost    time.Duration
	Cold        fake.ColdConfig
	// Overcommit is the number of runs accepted beyond the slots, so that a
	// breach of the limit is seen instead of refused.
	Overcommit int
	// RestartAfter restarts an upstream that long after a crash.
	RestartAfter time.Duration
}

// Config describes a cluster. Addresses in the document are replaced.
type Config struct {
	Document *model.Document
	// VMs lists the failure domain of each VM.
	VMs     []model.DomainID
	Seed    uint64
	Records int
	// Profile returns the behaviour of a service's upstreams.
	Profile func(model.ServiceID, *model.Service) Profile
	// DomainDelay is the one-way delay between failure domains.
	DomainDelay time.Duration
	// BalancerNotice is the time between leaving and the end of accepting.
	BalancerNotice time.Duration
	// Log receives the log lines of all VMs; nil drops them.
	Log io.Writer
	// ListLag is the lag of the platform's VM list.
	ListLag time.Duration
	// Policy selects a baseline for measurements.
	Policy model.Policy
}

// Cluster is a running site.
type Cluster struct {
	cfg        Config
	Network    *Network
	Platform   *fake.Platform
	Document   *model.Document
	Data       map[model.ServiceID]*fake.Dataset
	Executions map[model.ServiceID]*fake.Executions
	Upstreams  map[model.ReplicaID]*fake.Upstream
	// Domains holds the failure domain of each upstream.
	Domains map[model.ReplicaID]model.DomainID

	mu     sync.Mutex
	vms    []*VM
	all    []*VM
	nextVM int
	// maps holds every shard map that was ever published, by service and epoch.
	maps   map[model.ServiceID]map[uint64]*model.ShardMap
	logger *logrus.Logger
}

// Start starts all parts and publishes the configuration. VMs become ready
// later, see AwaitReady.
func Start(ctx context.Context, c Config) (*Cluster, error) {
	cl := &Cluster{
		cfg:        c,
		Network:    NewNetwork(),
		Platform:   fake.NewPlatform(fake.PlatformConfig{Token: PlatformToken}),
		Document:   c.Document,
		Data:       make(map[model.ServiceID]*fake.Dataset),
		Executions: make(map[model.ServiceID]*fake.Executions),
		Upstreams:  make(map[model.ReplicaID]*fake.Upstream),
		Domains:    make(map[model.ReplicaID]model.DomainID),
		logger:     newLogger(c.Log),
		maps:       make(map[model.ServiceID]map[uint64]*model.ShardMap),
	}
	cl.Platform.ListLag(c.ListLag)
	cl.Network.Register(hostOf(cl.Platform.URL()), PlatformEndpoint)
	cl.setDelays()
	if err := cl.startUpstreams(); err != nil {
		cl.Close()
		return nil, err
	}
	if _, err := config.Publish(ctx, cl.Store(), cl.Document, 0); err != nil {
		cl.Close()
		return nil, err
	}
	for _, d := range c.VMs {
		if _, err := cl.StartVM(d); err != nil {
			cl.Close()
			return nil, err
		}
	}
	return cl, nil
}

// PlatformToken opens the platform stand-in.
const PlatformToken = "platform-token-of-a-local-cluster"

func hostOf(url string) string { return url[len("http://"):] }

// Store returns a client of the platform for the operator's side.
func (c *Cluster) Store() platform.Store {
	return platform.NewClient(platform.Config{
		URL: c.Platform.URL(), Token: PlatformToken, CallsPerSecond: 1000, BurstCalls: 1000,
	})
}

func (c *Cluster) setDelays() {
	for a := range c.cfg.Document.Domains {
		for b := range c.cfg.Document.Domains {
			if a != b {
				c.Network.SetDelay(DomainEndpoint(a), DomainEndpoint(b), c.cfg.DomainDelay)
			}
		}
	}
}

func (c *Cluster) startUpstreams() error {
	for _, name := range sortedServices(c.Document) {
		svc := c.Document.Services[name]
		c.Data[name] = c.dataset(name)
		c.Executions[name] = fake.NewExecutions()
		for mi := range svc.ShardMaps {
			m := &svc.ShardMaps[mi]
			c.keepMap(name, m)
			for gi := range m.Groups {
				if err := c.startGroup(name, svc, m, &m.Groups[gi], firstVersion); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *Cluster) dataset(name model.ServiceID) *fake.Dataset {
	seed := c.cfg.Seed ^ uint64(len(name))
	if c.Document.Site == "podstavek" {
		return fake.PlinthOrders(seed, c.cfg.Records)
	}
	return fake.AssistanceBookings(seed, c.cfg.Records)
}

func (c *Cluster) startGroup(name model.ServiceID, svc *model.Service, m *model.ShardMap, g *model.Group, version uint64) error {
	for ri := range g.Replicas {
		r := &g.Replicas[ri]
		if u := c.Upstream(r.ID); u != nil {
			r.Addr = u.Addr()
			continue
		}
		u, err := fake.NewUpstream(c.upstreamConfig(name, svc, m, g, r, version))
		if err != nil {
			return err
		}
		r.Addr = u.Addr()
		c.mu.Lock()
		c.Upstreams[r.ID] = u
		c.Domains[r.ID] = r.Domain
		c.mu.Unlock()
		c.Network.Register(u.Addr(), DomainEndpoint(r.Domain))
	}
	return nil
}

func (c *Cluster) upstreamConfig(name model.ServiceID, svc *model.Service, m *model.ShardMap, g *model.Group, r *model.Replica, version uint64) fake.UpstreamConfig {
	p := c.cfg.Profile(name, svc)
	var versions []fake.IndexVersion
	if svc.Kind == model.Search { // lookup services have no index
		versions = append(versions, IndexVersion(version, m, g))
	}
	return fake.UpstreamConfig{
		Replica:      r.ID,
		Kind:         svc.Kind,
		Data:         c.Data[name],
		Versions:     versions,
		Order:        svc.Order,
		Operations:   svc.Operations,
		Executions:   c.Executions[name],
		Slots:        svc.Slots,
		Overcommit:   p.Overcommit,
		MaxConns:     svc.Connections,
		ConnCost:     p.ConnCost,
		ServiceTime:  p.ServiceTime,
		Variation:    p.Variation,
		TailChance:   p.TailChance,
		TailFactor:   p.TailFactor,
		Seed:         c.cfg.Seed,
		Cold:         p.Cold,
		StartWarm:    true,
		RestartAfter: p.RestartAfter,
	}
}

// Upstream returns the stand-in of a replica, or nil.
func (c *Cluster) Upstream(id model.ReplicaID) *fake.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Upstreams[id]
}

// Replicas returns the stand-ins of all replicas. Unlike the field Upstreams
// it may be used while replicas are added.
func (c *Cluster) Replicas() map[model.ReplicaID]*fake.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.Upstreams)
}

func sortedServices(d *model.Document) []model.ServiceID { return slices.Sorted(maps.Keys(d.Services)) }

// IndexVersion describes an index version as a group of a shard map holds it.
func IndexVersion(version uint64, m *model.ShardMap, g *model.Group) fake.IndexVersion {
	v := fake.IndexVersion{Version: version, Epoch: m.Epoch, Held: g.Shards}
	for _, group := range m.Groups {
		v.Map = append(v.Map, group.Shards...)
	}
	return v
}

// AwaitReady waits until every running VM is ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		if c.allReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errs.Refuse(errs.NotReady, "VMs are not ready: %s", c.notReady())
		case <-tick.C:
		}
	}
}

func (c *Cluster) allReady() bool { return c.notReady() == "" }

func (c *Cluster) notReady() string {
	names := ""
	for _, vm := range c.Running() {
		if !vm.Node.Ready() {
			names += fmt.Sprintf("%s ", vm.ID)
		}
	}
	return names
}

// EditOverrides changes the operators' overrides as the command line does.
func (c *Cluster) EditOverrides(ctx context.Context, edit func(*model.Overrides) error) error {
	_, err := config.EditOverrides(ctx, c.Store(), edit)
	return err
}

// Close stops everything at once.
func (c *Cluster) Close() {
	for _, vm := range c.Running() {
		vm.Kill()
	}
	for _, u := range c.Replicas() {
		u.Close()
	}
	c.Platform.Close()
}

func (c *Cluster) rand(salt uint64) *rand.Rand { return rand.New(rand.NewPCG(c.cfg.Seed, salt)) }

func newLogger(w io.Writer) *logrus.Logger {
	l := logrus.New()
	if w == nil {
		l.SetOutput(io.Discard)
		l.SetLevel(logrus.PanicLevel)
		return l
	}
	l.SetOutput(w)
	l.SetFormatter(&logging.Formatter{})
	return l
}
