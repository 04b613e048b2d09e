package edge

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

const (
	// usableConnShare is the part of a replica's connections that all VMs use; the
	// rest is room for VMs that have just joined and for health probes.
	usableConnShare = 0.85
	// usableRetrySlackShare is the part of the shared retry slack that VMs use together;
	// a VM that restarts begins with a full share again.
	usableRetrySlackShare = 0.6
	// usableRetryRatioShare is the part of the retry ratio that is used, because callers'
	// requests and sends fall into different windows. It is of each VM's own
	// requests, so the sum holds without knowledge of the others.
	usableRetryRatioShare = 0.95
	// coldMargin prolongs a cold time for the way of the entry that told it.
	coldMargin = 300 * time.Millisecond
	// hedgeExtraLoad makes second sends start behind the slowest 8%.
	hedgeExtraLoad      = 0.1
	hedgeTargetQuantile = 0.999
)

// replicaKey identifies one run of a replica at one address.
type replicaKey struct {
	id   string
	born int64
	addr string
}

// state is what this VM believes. One goroutine owns it.
type state struct {
	settings Settings
	log      logrus.FieldLogger
	dial     exchange.DialFunc
	registry *discovery.Registry
	table    *routes.Table
	vms      map[string]discovery.VM
	// crashes holds the reports in the store by their names.
	crashes       map[string]discovery.Crash
	upstreams     map[replicaKey]*forward.Upstream
	retryBudgets  map[string]*hedge.Policy
	hedgePolicies map[string]*hedge.Policy
	// replicasListed tells that the replicas were replicasListed once.
	replicasListed bool
	// tableRevision is the version of the configuration's object in the store.
	tableRevision int64
	// restoredDomains holds the failure domains that came back since the last view.
	restoredDomains map[string]bool
}

func newState(s Settings, log logrus.FieldLogger, dial exchange.DialFunc) *state {
	return &state{
		settings: s, log: log, dial: dial,
		registry:        discovery.NewRegistry(),
		vms:             map[string]discovery.VM{},
		crashes:         map[string]discovery.Crash{},
		upstreams:       map[replicaKey]*forward.Upstream{},
		retryBudgets:    map[string]*hedge.Policy{},
		hedgePolicies:   map[string]*hedge.Policy{},
		restoredDomains: map[string]bool{},
	}
}

// apply puts changed settings in force. Bounds hold from the next view on.
func (s *state) apply(settings Settings) { s.settings = settings }

// ready reports whether requests can be served.
func (s *state) ready() bool { return s.table != nil && s.replicasListed }

// setTable takes in a configuration. Versions only move forward.
func (s *state) setTable(t *routes.Table) bool {
	if s.table != nil && t.Version <= s.table.Version {
		return false
	}
	s.table = t
	return true
}

// vmNames returns the names of all VMs, this one among them.
func (s *state) vmNames() []string {
	names := slices.Collect(maps.Keys(s.vms))
	if _, ok := s.vms[s.settings.VM]; !ok {
		names = append(names, s.settings.VM)
	}
	slices.Sort(names)
	return names
}

// view builds what requests are decided by and retires the replicas that are
// gone.
func (s *state) view(now time.Time) *forward.View {
	if s.table == nil {
		return nil
	}
	vms := s.vmNames()
	v := &forward.View{Table: s.table, ReplicaSets: map[string]*forward.ReplicaSet{}, HedgeDelays: map[string]*hedge.Policy{}, VMs: len(vms)}
	current := map[replicaKey]bool{}
	members := s.registry.View().Services
	for name, service := range s.table.Services {
		g := &forward.ReplicaSet{Service: name, Budget: s.retryBudget(name, len(vms))}
		for _, m := range members[name] {
			u := s.upstream(now, m, service, vms)
			current[replicaKeyOf(m)] = true
			g.Upstreams = append(g.Upstreams, u)
		}
		v.ReplicaSets[name] = g
	}
	for k, u := range s.upstreams {
		if !current[k] {
			u.Pool.Close()
			delete(s.upstreams, k)
		}
	}
	for _, r := range s.table.Routes {
		d, ok := s.hedgePolicies[r.Name]
		if !ok {
			d = hedge.NewPolicy(hedge.Config{Groups: 1, TargetQuantile: hedgeTargetQuantile, ExtraLoad: hedgeExtraLoad})
			s.hedgePolicies[r.Name] = d
		}
		v.HedgeDelays[r.Name] = d
	}
	return v
}

func replicaKeyOf(m *discovery.Member) replicaKey {
	return replicaKey{id: m.ID, born: m.Born, addr: m.Addr}
}

// upstream returns what is kept for a replica, new if it was not known.
func (s *state) upstream(now time.Time, m *discovery.Member, service *routes.Service, vms []string) *forward.Upstream {
	limit := connLimit(service.MaxConns, len(vms))
	k := replicaKeyOf(m)
	u, ok := s.upstreams[k]
	if !ok {
		u = &forward.Upstream{
			Member:  m,
			Tracker: replica.NewTracker(m.Domain == s.settings.Domain, m.Slots),
			Pool:    exchange.NewPool(s.dial, m.Addr, limit),
		}
		s.upstreams[k] = u
		s.log.WithFields(logrus.Fields{
			"replica": m.ID, "service": m.Service, "addr": m.Addr, "domain": m.Domain, "revision": m.Revision,
			"cold_ms": max(0, m.ColdUntil.Sub(now).Milliseconds()), "connections": limit,
		}).Info("replica joined")
	} else {
		u.Pool.SetLimit(limit)
	}
	if m.ColdUntil.After(now) {
		s.limitColdReplica(u, m.ColdUntil, service, vms)
	}
	return u
}

// limitColdReplica limits the requests to a limitColdReplica replica to this VM's share.
func (s *state) limitColdReplica(u *forward.Upstream, until time.Time, service *routes.Service, vms []string) {
	if service.WarmupPerSecond <= 0 {
		return
	}
	total := service.WarmupPerSecond*s.settings.Bounds.ColdRateFactor + s.settings.Bounds.ColdSlackPerSecond
	u.Tracker.LimitCold(until.Add(coldMargin), replica.ColdRequestsPerSecond(total, u.Member.ID, s.settings.VM, vms))
}

// connLimit returns the connections that one VM may open to a replica.
func connLimit(all, vms int) int {
	return max(1, int(math.Floor(usableConnShare*float64(all)/float64(max(1, vms)))))
}

// retryBudget returns the retryBudget for sends beyond the first at a service. Every VM
// adds a share of its own requests; the fixed part is divided among the VMs.
func (s *state) retryBudget(service string, vms int) *hedge.Policy {
	config := hedge.Config{
		Groups: 1, TargetQuantile: hedgeTargetQuantile,
		ExtraLoad: usableRetryRatioShare * s.settings.Bounds.RetryRatio,
		Burst:     max(1, int(usableRetrySlackShare*s.settings.Bounds.RetrySlack/float64(max(1, vms)))),
	}
	b, ok := s.retryBudgets[service]
	if !ok {
		b = hedge.NewPolicy(config)
		s.retryBudgets[service] = b
	}
	b.ResizeBudget(config)
	return b
}
