package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
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
	// maxIsolationDials is the number of VMs that are dialled. They are spread
	// over as many failure domains as possible.
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
	dial      feed.DialFunc
	log       logrus.FieldLogger
}

// run updates the readiness until ctx ends.
func (i *isolationDetector) run(ctx context.Context) {
	for wait.Sleep(ctx, isolationCheckInterval) {
		view := i.forwarder.View()
		isolated := view != nil && !view.MeetsMinCoverage() && i.otherDomainsUnreachable(ctx)
		if i.ready.isolated.Swap(isolated) != isolated {
			i.log.WithField("isolated", isolated).Warn("isolation from all other failure domains changed")
			i.forwarder.SetCloseConnections(isolated || i.ready.stopping.Load())
		}
	}
}

// otherDomainsUnreachable reports whether VMs of other failure domains are known
// and none of those that it dials can be reached.
func (i *isolationDetector) otherDomainsUnreachable(ctx context.Context) bool {
	targets := isolationDialTargets(i.self, i.updates.vms(ctx))
	if len(targets) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, isolationDialTimeout)
	defer cancel()
	var group errgroup.Group
	for _, vm := range targets {
		group.Go(func() error {
			c, err := i.dial(ctx, "tcp", vm.PeerAddr)
			if err != nil {
				// A refused connection counts as unreachable too: the device that
				// blocks a link may refuse it in place of the other side.
				return nil
			}
			_ = c.Close() // nothing was sent on the connection
			return errVMReachable
		})
	}
	return group.Wait() == nil
}

// errVMReachable makes the group of dials report that one of them succeeded.
var errVMReachable = errs.Refuse(errs.PeerUnreachable, "a VM can be reached")

// isolationDialTargets returns up to maxIsolationDials VMs of other failure
// domains: the first of each domain, then the second of each, and so on.
func isolationDialTargets(self discovery.VM, vms map[string]discovery.VM) []discovery.VM {
	byDomain := map[string][]discovery.VM{}
	for _, vm := range vms {
		if vm.Domain != self.Domain && vm.PeerAddr != "" {
			byDomain[vm.Domain] = append(byDomain[vm.Domain], vm)
		}
	}
	var targets []discovery.VM
	for round := 0; len(targets) < maxIsolationDials; round++ {
		before := len(targets)
		for _, domainVMs := range byDomain {
			if round < len(domainVMs) && len(targets) < maxIsolationDials {
				targets = append(targets, domainVMs[round])
			}
		}
		if len(targets) == before {
			break
		}
	}
	return targets
}
