package edge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

const (
	// usableConnShare is the part of a replica's connection limit that the VMs
	// divide among themselves. The rest is for VMs that have just joined and for
	// health probes.
	usableConnShare = 0.85
	// usableRetrySlackShare is the part of RetrySlack that the VMs divide among
	// themselves. The rest allows for restarts: a VM that restarts begins with a
	// full share again.
	usableRetrySlackShare = 0.6
	// usableRetryRatioShare is the part of RetryRatio that is used. It is below 1
	// because a request and its extra sends may fall into different windows. Each
	// VM applies the ratio to its own requests, so the total needs no
	// coordination.
	usableRetryRatioShare = 0.95
	// coldMargin extends the warm-up time of a replica by the time that the entry
	// which reports it may take to arrive.
	coldMargin = 300 * time.Millisecond
	// relayVMsPerDomain is the number of VMs of another failure domain to which this
	// VM relays requests: one, and others while that one fails.
	relayVMsPerDomain = 3
	// hedgeExtraLoad sets the hedge delay: the slowest 8% of requests get a second
	// send, which is hedge.HedgeBudgetShare of this ratio.
	hedgeExtraLoad = 0.1
	// hedgeTargetQuantile is the share of requests that must not wait for a slow
	// replica.
	hedgeTargetQuantile = 0.999
)

// replicaKey identifies one process of a replica at one address. After a restart
// the ID is the same and the start time differs.
type replicaKey struct {
	id         string
	bornUnixMS int64
	addr       string
}

// state is what this VM knows of settings, configuration, replicas and VMs. Only
// the controller's goroutine uses it.
type state struct {
	settings Settings
	log      logrus.FieldLogger
	dial     exchange.DialFunc
	registry *discovery.Registry
	// registeredTable is the configuration whose services the registry knows.
	registeredTable *routes.Table
	// configs holds the configuration in force.
	configs configHistory
	// configEra is the era of the store in which configurations are read.
	configEra int64
	// vms holds the entries of the VMs by name.
	vms map[string]discovery.VM
	// crashes holds the crash reports in the store by name.
	crashes map[string]discovery.Crash
	// limits holds the request limits in the store by the ID of the replica.
	limits map[string]discovery.RequestLimit
	// lostLimits holds the IDs of those that the store has lost.
	lostLimits map[string]bool
	upstreams  map[replicaKey]*forward.Upstream
	// formerUpstreams holds usable replicas of services that the configuration no longer
	// has. Requests that began before may still be sent to them.
	formerUpstreams map[replicaKey][]*forward.Upstream
	// relayPeers holds the VMs to which requests are relayed.
	relayPeers map[discovery.VM]*relay.Peer
	// retryBudgets holds the budget for extra sends of each service by name.
	retryBudgets map[string]*hedge.Policy
	// hedgePolicies holds the policy that sets the hedge delay of each route by
	// name.
	hedgePolicies map[string]*hedge.Policy
	// replicasListed is set once the replicas have been listed.
	replicasListed bool
	// restoredDomains holds the failure domains that were put back into service
	// since the last view was built.
	restoredDomains map[string]bool
	rollouts        *rolloutState
}

func newState(s Settings, log logrus.FieldLogger, dial exchange.DialFunc) *state {
	registry := discovery.NewRegistry()
	registry.SetServices(time.Now(), nil) // none before the first configuration
	return &state{
		settings: s, log: log, dial: dial,
		registry:        registry,
		vms:             map[string]discovery.VM{},
		crashes:         map[string]discovery.Crash{},
		limits:          map[string]discovery.RequestLimit{},
		lostLimits:      map[string]bool{},
		upstreams:       map[replicaKey]*forward.Upstream{},
		formerUpstreams: map[replicaKey][]*forward.Upstream{},
		relayPeers:      map[discovery.VM]*relay.Peer{},
		retryBudgets:    map[string]*hedge.Policy{},
		hedgePolicies:   map[string]*hedge.Policy{},
		restoredDomains: map[string]bool{},
		rollouts:        newRolloutState(),
	}
}

// apply replaces the settings. Bounds take effect with the next view.
func (s *state) apply(settings Settings) { s.settings = settings }

// ready reports whether requests can be served.
func (s *state) ready() bool { return s.table() != nil && s.replicasListed }

// table returns the configuration in force, nil before the first one.
func (s *state) table() *routes.Table {
	if s.configs.current == nil {
		return nil
	}
	return s.configs.current.table
}

// vmNames returns the sorted names of all VMs, including this one.
func (s *state) vmNames() []string {
	names := slices.Collect(maps.Keys(s.vms))
	if _, ok := s.vms[s.settings.VM]; !ok {
		names = append(names, s.settings.VM)
	}
	slices.Sort(names)
	return names
}

// view builds the view for requests, or returns nil without a configuration. It
// closes the connections of replicas that are no longer in it.
func (s *state) view(now time.Time) *forward.View {
	if s.table() == nil {
		return nil
	}
	vms := s.vmNames()
	position, _ := slices.BinarySearch(vms, s.settings.VM)
	v := &forward.View{Table: s.table(), ReplicaSets: map[string]*forward.ReplicaSet{}, HedgeDelays: map[string]*hedge.Policy{}, VMs: len(vms), RelayPeers: s.currentRelayPeers()}
	current := map[replicaKey]bool{}
	if s.registeredTable != s.table() {
		s.registeredTable = s.table()
		s.registry.SetServices(now, slices.Collect(maps.Keys(s.table().Services)))
	}
	members := s.registry.View().Services
	for name, service := range s.table().Services {
		replicaSet := &forward.ReplicaSet{Service: name, Budget: s.retryBudget(name, len(vms))}
		for _, m := range members[name] {
			u := s.upstream(now, m, service, vms)
			u.Tracker.SetVMs(len(vms), position)
			current[replicaKeyOf(m)] = true
			replicaSet.Upstreams = append(replicaSet.Upstreams, u)
		}
		s.applyRolloutPlan(replicaSet)
		v.ReplicaSets[name] = replicaSet
	}
	s.removeUpstreams(current, members)
	for _, r := range s.table().Routes {
		policy, ok := s.hedgePolicies[r.Name]
		if !ok {
			policy = hedge.NewPolicy(hedge.Config{Groups: 1, TargetQuantile: hedgeTargetQuantile, ExtraLoad: hedgeExtraLoad})
			s.hedgePolicies[r.Name] = policy
		}
		v.HedgeDelays[r.Name] = policy
	}
	return v
}

// removeUpstreams removes the replicas that are not among the current ones, and withdraws
// those that are no longer usable: requests that began before know them still.
func (s *state) removeUpstreams(current map[replicaKey]bool, members map[string][]*discovery.Member) {
	for k, u := range s.upstreams {
		if !current[k] {
			u.Pool.Close()
			delete(s.upstreams, k)
			s.formerUpstreams[k] = append(s.formerUpstreams[k], u)
		}
	}
	if len(s.formerUpstreams) == 0 {
		return
	}
	usable := map[replicaKey]bool{}
	for _, list := range members {
		for _, m := range list {
			usable[replicaKeyOf(m)] = true
		}
	}
	for k, list := range s.formerUpstreams {
		if usable[k] {
			continue
		}
		for _, u := range list {
			u.Tracker.Withdraw()
			s.log.WithFields(logrus.Fields{"replica": u.Member.ID, "service": u.Member.Service, "addr": u.Member.Addr, "revision": u.Member.Revision}).Info("replica withdrawn: it drains, has left or is out of service")
		}
		delete(s.formerUpstreams, k)
	}
}

// currentRelayPeers returns the VMs to which this VM relays requests. It closes the
// connections to the others.
func (s *state) currentRelayPeers() []*relay.Peer {
	chosen := relayVMs(s.settings.VM, s.settings.Domain, s.vms)
	peers := make([]*relay.Peer, 0, len(chosen))
	for _, vm := range chosen {
		p, ok := s.relayPeers[vm]
		if !ok {
			p = relay.NewPeer(vm.Name, vm.Domain, vm.PeerAddr, relay.DialFunc(s.dial))
			s.relayPeers[vm] = p
		}
		peers = append(peers, p)
	}
	for vm, p := range s.relayPeers {
		if !slices.Contains(chosen, vm) {
			p.Close()
			delete(s.relayPeers, vm)
		}
	}
	return peers
}

// relayVMs returns some VMs of each other failure domain, chosen by a hash of both
// names: the VMs of a domain spread over all of the others, and each keeps few
// connections.
func relayVMs(self, domain string, vms map[string]discovery.VM) []discovery.VM {
	byDomain := map[string][]discovery.VM{}
	for _, vm := range vms {
		if vm.Domain != domain && vm.PeerAddr != "" {
			byDomain[vm.Domain] = append(byDomain[vm.Domain], vm)
		}
	}
	var chosen []discovery.VM
	for _, d := range slices.Sorted(maps.Keys(byDomain)) {
		in := byDomain[d]
		rank := func(vm discovery.VM) uint64 { return xxhash.Sum64String(self + "\x00" + vm.Name) }
		slices.SortFunc(in, func(a, b discovery.VM) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name)) })
		chosen = append(chosen, in[:min(len(in), relayVMsPerDomain)]...)
	}
	return chosen
}

// replicaKeyOf returns the key of a registered replica.
func replicaKeyOf(m *discovery.Member) replicaKey {
	return replicaKey{id: m.ID, bornUnixMS: m.Born, addr: m.Addr}
}

// upstream returns the connection pool and tracker of a replica with its current
// limits. It creates them for a new replica.
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
		if limit, ok := s.limits[m.ID]; ok && limit.Born == m.Born {
			u.Tracker.ShareRequestLimit(now, replica.RequestLimit{PerSecond: limit.PerSecond, Named: true})
		}
		s.log.WithFields(logrus.Fields{
			"replica": m.ID, "service": m.Service, "addr": m.Addr, "domain": m.Domain, "revision": m.Revision,
			"cold_ms": max(0, m.ColdUntil.Sub(now).Milliseconds()), "connections": limit,
		}).Info("replica added")
	} else {
		u.Pool.SetMaxConns(limit)
	}
	if m.ColdUntil.After(now) {
		s.limitColdReplica(u, m.ColdUntil, service, vms)
	}
	return u
}

// limitColdReplica limits the requests to a cold replica to this VM's share of
// its warm-up rate.
func (s *state) limitColdReplica(u *forward.Upstream, until time.Time, service *routes.Service, vms []string) {
	if service.WarmupPerSecond <= 0 {
		return
	}
	totalPerSecond := service.WarmupPerSecond*s.settings.Bounds.ColdRateFactor + s.settings.Bounds.ColdSlackPerSecond
	u.Tracker.LimitCold(until.Add(coldMargin), replica.ColdRequestsPerSecond(totalPerSecond, u.Member.ID, s.settings.VM, vms))
}

// connLimit returns the number of connections that one of vms VMs may open to a
// replica that accepts maxConns.
func connLimit(maxConns, vms int) int {
	return max(1, int(math.Floor(usableConnShare*float64(maxConns)/float64(max(1, vms)))))
}

// retryBudget returns the budget of a service for sends beyond the first of each
// request, adjusted to the number of VMs. Each VM may add a ratio of its own
// requests; the fixed part is divided among the VMs.
func (s *state) retryBudget(service string, vms int) *hedge.Policy {
	config := hedge.Config{
		Groups: 1, TargetQuantile: hedgeTargetQuantile,
		ExtraLoad: usableRetryRatioShare * s.settings.Bounds.RetryRatio,
		Window:    s.settings.Bounds.RetryWindow, BurstAttempts: usableRetrySlackShare * s.settings.Bounds.RetrySlack / float64(max(1, vms)),
		Burst: max(1, int(usableRetrySlackShare*s.settings.Bounds.RetrySlack/float64(max(1, vms)))),
	}
	budget, ok := s.retryBudgets[service]
	if !ok {
		budget = hedge.NewPolicy(config)
		s.retryBudgets[service] = budget
	}
	budget.ResizeBudget(config)
	return budget
}
