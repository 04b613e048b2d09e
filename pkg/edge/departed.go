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
	// departedCheck is the interval at which one VM tries to reach the others.
	departedCheck = time.Minute
	// departedAfter is the time for which a VM must have been out of reach
	// before its entry is removed. A restart takes seconds, a cut of links
	// minutes; a VM that comes back later registers again.
	departedAfter = 10 * time.Minute
	// departedDial bounds the dial of a VM, which takes milliseconds.
	departedDial = time.Second
	// departedDials bounds the dials under way.
	departedDials = 16
)

// departed removes the entries of VMs that are gone for good from the store.
// Nothing there expires by itself, and every entry lowers the shares of the
// others in connections, retries and queries.
type departed struct {
	self    discovery.VM
	control *control
	supply  *supply
	store   Store
	dial    feed.DialFunc
	log     logrus.FieldLogger
	// since tells since when a VM has been out of reach. A VM with another
	// address is another one.
	since map[discovery.VM]time.Time
}

func (d *departed) run(ctx context.Context) {
	for wait.Sleep(ctx, departedCheck) {
		vms := d.supply.vms(ctx)
		acting := d.first(ctx, vms)
		d.control.actsForAll.Store(acting)
		if !acting {
			clear(d.since)
			continue
		}
		for _, vm := range d.lapsed(time.Now(), vms, d.reached(ctx, vms)) {
			d.remove(ctx, vm)
		}
	}
}

// first reports whether no VM that is ranked before this one can be reached.
func (d *departed) first(ctx context.Context, vms map[string]discovery.VM) bool {
	for _, vm := range feed.Before(d.self.Name, vms) {
		if d.reach(ctx, vm) {
			return false
		}
	}
	return true
}

// reach reports whether a VM can be reached. One that refuses the connection is
// there, only its process is not.
func (d *departed) reach(ctx context.Context, vm discovery.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, departedDial)
	defer cancel()
	c, err := d.dial(ctx, "tcp", vm.PeerAddr)
	if err != nil {
		return refused(err)
	}
	_ = c.Close() // the connection was only to show the way
	return true
}

// refused reports whether a dial met a VM on which nothing listens.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// reached returns which of the other VMs can be reached.
func (d *departed) reached(ctx context.Context, vms map[string]discovery.VM) map[string]bool {
	var mu sync.Mutex
	reached := map[string]bool{d.self.Name: true}
	var group errgroup.Group
	group.SetLimit(departedDials)
	for name, vm := range vms {
		if name == d.self.Name {
			continue
		}
		group.Go(func() error {
			ok := d.reach(ctx, vm)
			mu.Lock()
			defer mu.Unlock()
			reached[name] = ok
			return nil
		})
	}
	_ = group.Wait() // the dials do not fail, they report
	return reached
}

// lapsed returns the VMs that have been out of reach for long enough. Where no
// other VM can be reached, this one may be the one that is cut off, so that
// round does not count.
func (d *departed) lapsed(now time.Time, vms map[string]discovery.VM, reached map[string]bool) []discovery.VM {
	others := 0
	for name := range vms {
		if reached[name] && name != d.self.Name {
			others++
		}
	}
	if others == 0 {
		clear(d.since)
		return nil
	}
	for vm := range d.since {
		if vms[vm.Name] != vm || reached[vm.Name] {
			delete(d.since, vm)
		}
	}
	var gone []discovery.VM
	for name, vm := range vms {
		first, known := d.since[vm]
		switch {
		case reached[name]:
		case !known:
			d.since[vm] = now
		case now.Sub(first) >= departedAfter:
			gone = append(gone, vm)
		}
	}
	return gone
}

func (d *departed) remove(ctx context.Context, vm discovery.VM) {
	fields := logrus.Fields{"vm": vm.Name, "addr": vm.PeerAddr, "unreached_s": int(time.Since(d.since[vm]).Seconds())}
	if err := d.store.DeleteVM(ctx, vm.Name); err != nil {
		d.log.WithFields(fields).WithField("error", err).Warn("entry of a departed VM not removed")
		return
	}
	d.log.WithFields(fields).Info("entry of a departed VM removed")
}
