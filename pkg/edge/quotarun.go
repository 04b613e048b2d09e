package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/quota"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// quotaTick is the interval at which votes that are due are asked for.
	quotaTick = 100 * time.Millisecond
	// quotaVMsInterval is the interval at which the list of VMs is read.
	quotaVMsInterval = time.Second
	// quotaLinkIdle closes a connection that is not used, and maxQuotaLinks bounds the
	// connections to other VMs: the least used are closed. VMs have 4,100 descriptors or
	// more, and each VM has about as many connections from others.
	quotaLinkIdle = time.Minute
	maxQuotaLinks = 128
	// silentBefore is the number of new connections that a VM must have closed without an
	// answer to count as one of an older build; a VM that dies may close one.
	silentBefore = 2
	// quotaLogInterval is the interval of the log lines about tenants over their cap, of
	// which each VM writes up to maxQuotaLines.
	quotaLogInterval = 10 * time.Second
	maxQuotaLines    = 8
)

// quotaLinks holds the connections to other VMs. The mutex of its quotaService guards it.
type quotaLinks struct {
	// vms holds the known VMs by name.
	vms    map[string]discovery.VM
	byName map[string]*quotaLink
	// silent counts the connections that a VM has closed without an answer.
	silent map[string]int
}

// link returns the connection to a VM, nil if it is not known.
func (s *quotaService) link(name string) *quotaLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.links.vms[name]
	if !ok || vm.PeerAddr == "" {
		return nil
	}
	l := s.links.byName[name]
	if l != nil && l.vm == vm {
		return l
	}
	if l != nil {
		l.close()
	}
	l = &quotaLink{
		vm: vm, dial: s.dial, pending: map[uint64]func(*wire.QuotaReply){},
		onSilent: func() { s.heard(name, false) }, onAnswer: func() { s.heard(name, true) },
	}
	s.links.byName[name] = l
	return l
}

// heard records whether a VM answers on a new connection.
func (s *quotaService) heard(name string, answers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answers {
		if s.links.silent[name] > 0 {
			delete(s.links.silent, name)
			s.node.MarkCurrent(time.Now(), name)
		}
		return
	}
	s.links.silent[name]++
	if s.links.silent[name] == silentBefore {
		s.log.WithField("vm", name).Warn("VM does not answer about caps: left out as one of an older build")
	}
	if s.links.silent[name] >= silentBefore {
		s.node.MarkOlder(time.Now(), name)
	}
}

// closeLinks closes connections that are not used, to VMs that are gone, or beyond the
// bound.
func (s *quotaService) closeLinks(now time.Time) {
	type idle struct {
		name  string
		since time.Time
	}
	var unused []idle
	for name, l := range s.links.byName {
		since, ok := l.idleSince()
		if ok && (now.Sub(since) >= quotaLinkIdle || s.links.vms[name] != l.vm) {
			l.close()
			delete(s.links.byName, name)
		} else if ok {
			unused = append(unused, idle{name, since})
		}
	}
	slices.SortFunc(unused, func(a, b idle) int { return a.since.Compare(b.since) })
	for _, i := range unused[:max(0, min(len(unused), len(s.links.byName)-maxQuotaLinks))] {
		s.links.byName[i.name].close()
		delete(s.links.byName, i.name)
	}
}

// run takes part in the caps until ctx ends.
func (s *quotaService) run(ctx context.Context) {
	var listedAt time.Time
	loggedAt := time.Now()
	granting, known := false, (*routes.Table)(nil)
	for wait.Sleep(ctx, quotaTick) {
		now := time.Now()
		if now.Sub(listedAt) >= quotaVMsInterval {
			vms := s.vms(ctx)
			if len(vms) > 0 { // a VM that has just started knows them soon
				listedAt = now
			}
			s.setVMs(now, vms)
		}
		if t := s.table(); t != known {
			known = t
			s.capped.Store(hasCaps(t))
		}
		if !s.capped.Load() {
			continue
		}
		s.mu.Lock()
		votes := s.node.Tick(now)
		grants := s.node.Granting(now)
		s.mu.Unlock()
		s.sendVotes(ctx, votes)
		if grants != granting {
			granting = grants
			s.log.WithField("granting", granting).Info("right to grant tokens of tenants' caps changed")
			s.metrics.granting.Update(map[bool]float64{true: 1}[granting])
		}
		if now.Sub(loggedAt) >= quotaLogInterval {
			loggedAt = now
			s.logTenants()
		}
	}
}

// hasCaps reports whether a configuration names a tenant with a cap.
func hasCaps(t *routes.Table) bool {
	return t != nil && slices.ContainsFunc(t.Tenants, func(t *routes.Tenant) bool { return t.RatePerSecond > 0 })
}

func (s *quotaService) setVMs(now time.Time, vms map[string]discovery.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links.vms = vms
	all := make([]quota.VM, 0, len(vms))
	for _, vm := range vms {
		all = append(all, quota.VM{Name: vm.Name, Domain: vm.Domain})
	}
	s.node.SetVMs(now, all)
	s.closeLinks(now)
	maps.DeleteFunc(s.links.silent, func(name string, _ int) bool { return vms[name].Name == "" })
}

// sendVotes asks for votes. One without an answer lapses.
func (s *quotaService) sendVotes(ctx context.Context, votes []quota.VoteRequest) {
	askedAt := time.Now()
	for _, v := range votes {
		link := s.link(v.To)
		if link == nil {
			continue
		}
		s.metrics.votes.Inc(1)
		request := &wire.QuotaRequest{VM: s.self, Vote: &wire.QuotaVote{Kind: uint8(v.Vote.Kind), Subject: v.Vote.Subject}}
		link.send(ctx, request, func(reply *wire.QuotaReply) {
			if reply == nil {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.node.VoteResult(time.Now(), askedAt, v, reply.Voted)
		})
	}
}

// leave gives the right to grant back at the beginning of a planned stop.
func (s *quotaService) leave() {
	s.mu.Lock()
	votes := s.node.Leave(time.Now())
	s.mu.Unlock()
	if s.capped.Load() {
		s.sendVotes(s.ctx, votes)
	}
}

// quotaCounts counts the requests of a tenant at this VM since the last log line.
type quotaCounts struct {
	tenant            *routes.Tenant
	admitted, refused int
}

func (s *quotaService) count(t *routes.Tenant, admitted bool, outcome tally.Counter) {
	outcome.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counts[t.Name]
	if !ok {
		c = &quotaCounts{}
		s.counts[t.Name] = c
	}
	c.tenant = t
	if admitted {
		c.admitted++
	} else {
		c.refused++
	}
}

// logTenants writes a line for each of the tenants with the most refused requests.
func (s *quotaService) logTenants() {
	s.mu.Lock()
	counts := s.counts
	s.counts = map[string]*quotaCounts{}
	s.mu.Unlock()
	refused := slices.DeleteFunc(slices.Collect(maps.Values(counts)), func(c *quotaCounts) bool { return c.refused == 0 })
	slices.SortFunc(refused, func(a, b *quotaCounts) int { return cmp.Compare(b.refused, a.refused) })
	for _, c := range refused[:min(len(refused), maxQuotaLines)] {
		s.mu.Lock()
		granting := s.node.GrantingVM(c.tenant.Name)
		s.mu.Unlock()
		s.log.WithFields(logrus.Fields{
			"tenant": c.tenant.Name, "per_second": c.tenant.RatePerSecond, "burst": c.tenant.Burst,
			"admitted": c.admitted, "refused": c.refused, "asks_first": granting, "tenants_refused": len(refused),
		}).Warn("requests of a tenant were refused at this VM because of its cap")
	}
}
