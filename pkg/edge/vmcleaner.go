package edge

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// vmCheckInterval is the interval at which the coordinator dials all other
	// VMs.
	vmCheckInterval = time.Minute
	// vmRemovalDelay is how long a VM must be unreachable before its entry is
	// removed. A restart takes seconds and a network partition minutes; a VM that
	// comes back later registers again.
	vmRemovalDelay = 10 * time.Minute
	// vmDialTimeout limits the dial of one VM, which normally takes milliseconds.
	vmDialTimeout = time.Second
	// maxVMDials limits the concurrent dials.
	maxVMDials = 16
)

// vmCleaner removes the entries of permanently lost VMs from the store. Entries
// do not expire, and every entry reduces the shares of the other VMs in
// connections, retries and queries. Only the coordinator does this: the first VM
// in the ranking of package feed that can be reached.
type vmCleaner struct {
	self       discovery.VM
	controller *controller
	updates    *updateSource
	store      Store
	dial       feed.DialFunc
	log        logrus.FieldLogger
	// unreachableSince holds when each unreachable VM was first found so. The key
	// includes the address: a VM with the same name and another address is a
	// different VM.
	unreachableSince map[discovery.VM]time.Time
}

// run removes entries until ctx ends, while this VM is the coordinator.
func (c *vmCleaner) run(ctx context.Context) {
	for wait.Sleep(ctx, vmCheckInterval) {
		vms := c.updates.vms(ctx)
		coordinator := c.isCoordinator(ctx, vms)
		c.controller.isCoordinator.Store(coordinator)
		if !coordinator {
			clear(c.unreachableSince)
			continue
		}
		for _, vm := range c.longUnreachable(time.Now(), vms, c.reachableVMs(ctx, vms)) {
			c.removeEntry(ctx, vm)
		}
	}
}

// isCoordinator reports whether no VM that is ranked before this one can be
// reached.
func (c *vmCleaner) isCoordinator(ctx context.Context, vms map[string]discovery.VM) bool {
	for _, vm := range feed.HigherRanked(c.self.Name, vms) {
		if c.isReachable(ctx, vm) {
			return false
		}
	}
	return true
}

// isReachable reports whether a VM can be reached. A refused connection counts
// as reachable: the machine runs, only the process does not.
func (c *vmCleaner) isReachable(ctx context.Context, vm discovery.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, vmDialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", vm.PeerAddr)
	if err != nil {
		return isConnectionRefused(err)
	}
	_ = conn.Close() // nothing was sent on the connection
	return true
}

// isConnectionRefused reports whether a dial failed because nothing listens at
// the address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// reachableVMs dials all other VMs and returns, by name, which can be reached.
func (c *vmCleaner) reachableVMs(ctx context.Context, vms map[string]discovery.VM) map[string]bool {
	var mu sync.Mutex
	reachable := map[string]bool{c.self.Name: true}
	var group errgroup.Group
	group.SetLimit(maxVMDials)
	for name, vm := range vms {
		if name == c.self.Name {
			continue
		}
		group.Go(func() error {
			ok := c.isReachable(ctx, vm)
			mu.Lock()
			defer mu.Unlock()
			reachable[name] = ok
			return nil
		})
	}
	_ = group.Wait() // always nil: the results are in the map
	return reachable
}

// longUnreachable returns the VMs that have been unreachable for at least
// vmRemovalDelay. If no other VM can be reached, this VM may be the one that is
// partitioned, so it forgets all earlier observations.
func (c *vmCleaner) longUnreachable(now time.Time, vms map[string]discovery.VM, reachable map[string]bool) []discovery.VM {
	reachableOthers := 0
	for name := range vms {
		if reachable[name] && name != c.self.Name {
			reachableOthers++
		}
	}
	if reachableOthers == 0 {
		clear(c.unreachableSince)
		return nil
	}
	for vm := range c.unreachableSince {
		if vms[vm.Name] != vm || reachable[vm.Name] {
			delete(c.unreachableSince, vm)
		}
	}
	var lost []discovery.VM
	for name, vm := range vms {
		since, known := c.unreachableSince[vm]
		switch {
		case reachable[name]:
		case !known:
			c.unreachableSince[vm] = now
		case now.Sub(since) >= vmRemovalDelay:
			lost = append(lost, vm)
		}
	}
	return lost
}

// removeEntry deletes the entry of a lost VM from the store. After a failure the
// next round tries again.
func (c *vmCleaner) removeEntry(ctx context.Context, vm discovery.VM) {
	fields := logrus.Fields{"vm": vm.Name, "addr": vm.PeerAddr, "unreachable_s": int(time.Since(c.unreachableSince[vm]).Seconds())}
	if err := c.store.DeleteVM(ctx, vm.Name); err != nil {
		c.log.WithFields(fields).WithField("error", err).Warn("removing the store entry of an unreachable VM failed")
		return
	}
	c.log.WithFields(fields).Info("store entry of an unreachable VM removed")
}
