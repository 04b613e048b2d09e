package edge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// isolationCheckInterval is the interval at which this VM checks whether it
	// can cover all queries.
	isolationCheckInterval = 300 * time.Millisecond
	// isolationDialTimeout limits the dials of VMs in other failure domains, which
	// run concurrently.
	isolationDialTimeout = 250 * time.Millisecond
	// routineChecks is the number of checks of which one dials without a sign of
	// trouble. The balancer takes callers to another domain only when no VM of the
	// isolated one is ready, also none that has no queries.
	routineChecks = 3
	// routineDials is the number of VMs that it dials.
	routineDials = 2
	// maxIsolationDials is the number of VMs, and of replicas, that are dialled. They
	// are spread over as many failure domains as possible.
	maxIsolationDials = 4
)

// isolationDetector detects that this VM can reach no other failure domain and
// lacks replicas of shards that some queries need. The VM then reports that it
// is not ready, so that the load balancer sends callers to VMs that can cover
// these queries. A VM that lacks shards for other reasons stays ready, because
// the other VMs lack them too.
type isolationDetector struct {
	self      discovery.VM
	updates   *updateSource
	forwarder *forward.Forwarder
	ready     *readiness
	prober    *prober
	dial      feed.DialFunc
	log       logrus.FieldLogger
	// checks counts the checks.
	checks int
}

// run updates the readiness until ctx ends.
func (i *isolationDetector) run(ctx context.Context) {
	for wait.Sleep(ctx, isolationCheckInterval) {
		view := i.forwarder.View()
		isolated := view != nil && i.isolated(ctx, view)
		i.forwarder.SetIsolated(isolated)
		if i.ready.isolated.Swap(isolated) != isolated {
			i.log.WithField("isolated", isolated).Warn("isolation from all other failure domains changed")
			i.forwarder.SetCloseConnections(isolated || i.ready.stopping.Load())
		}
	}
}

// isolated reports whether this VM is isolated. Before so many replicas are known to
// be unreachable that shards are missing, which takes as many queries, it dials VMs on
// a sign of trouble and now and then, and replicas if no VM can be reached: the VMs of
// other domains may all have ended.
func (i *isolationDetector) isolated(ctx context.Context, view *forward.View) bool {
	i.checks++
	if !view.MeetsMinCoverage(false) {
		return i.otherDomainsUnreachable(ctx, maxIsolationDials)
	}
	if view.MeetsMinCoverage(true) {
		return false
	}
	trouble := view.RelaysFail() || i.prober.busy()
	if !trouble && (i.checks%routineChecks != 0 || !i.otherDomainsUnreachable(ctx, routineDials)) {
		return false
	}
	return i.otherDomainsUnreachable(ctx, maxIsolationDials) && i.noneReachable(ctx, remoteReplicaAddrs(view))
}

// remoteReplicaAddrs returns the addresses of some replicas in other failure domains,
// of each domain if there are few.
func remoteReplicaAddrs(view *forward.View) []string {
	var addrs []string
	byDomain := map[string]int{}
	for _, rs := range view.ReplicaSets {
		for _, u := range rs.Upstreams {
			d := u.Member.Domain
			if len(addrs) < maxIsolationDials && !u.Tracker.Local && !u.Tracker.Down() && byDomain[d] < 1+maxIsolationDials/4 {
				byDomain[d]++
				addrs = append(addrs, u.Member.Addr)
			}
		}
	}
	return addrs
}

// otherDomainsUnreachable reports whether VMs of other failure domains are known
// and none of the up to maxDials that it dials can be reached.
func (i *isolationDetector) otherDomainsUnreachable(ctx context.Context, maxDials int) bool {
	targets := isolationDialTargets(i.self, i.updates.vms(ctx), maxDials)
	addrs := make([]string, 0, len(targets))
	for _, vm := range targets {
		addrs = append(addrs, vm.PeerAddr)
	}
	return len(addrs) > 0 && i.noneReachable(ctx, addrs)
}

// noneReachable reports whether no connection to any of the addresses can be opened.
func (i *isolationDetector) noneReachable(ctx context.Context, addrs []string) bool {
	return reachable(ctx, i.dial, addrs) == 0
}

// reachable returns to how many of the addresses a connection can be opened. A refused
// one does not count: the device that blocks a link may refuse it in place of the other
// side.
func reachable[D ~func(ctx context.Context, network, addr string) (net.Conn, error)](ctx context.Context, dial D, addrs []string) int {
	ctx, cancel := context.WithTimeout(ctx, isolationDialTimeout)
	defer cancel()
	var reached atomic.Int64
	var dials sync.WaitGroup
	for _, addr := range addrs {
		dials.Go(func() {
			if c, err := dial(ctx, "tcp", addr); err == nil {
				_ = c.Close() // nothing was sent on the connection
				reached.Add(1)
			}
		})
	}
	dials.Wait()
	return int(reached.Load())
}

// isolationDialTargets returns up to limit VMs of other failure domains, in no fixed
// order: the first of each domain, then the second of each, and so on.
func isolationDialTargets(self discovery.VM, vms map[string]discovery.VM, limit int) []discovery.VM {
	byDomain := map[string][]discovery.VM{}
	for _, vm := range vms {
		if vm.Domain != self.Domain && vm.PeerAddr != "" {
			byDomain[vm.Domain] = append(byDomain[vm.Domain], vm)
		}
	}
	var targets []discovery.VM
	for round := 0; len(targets) < limit; round++ {
		before := len(targets)
		for _, domainVMs := range byDomain {
			if round < len(domainVMs) && len(targets) < limit {
				targets = append(targets, domainVMs[round])
			}
		}
		if len(targets) == before {
			break
		}
	}
	return targets
}
