package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// maxHelpers is the number of VMs that share the requests of a VM that is cut off.
	maxHelpers = 4
	// maxHelperProbes is the number of VMs that are asked at a time: others may be cut off
	// too.
	maxHelperProbes = 8
	// helperProbeTimeout bounds the answer of a VM, which takes a few milliseconds.
	helperProbeTimeout = 250 * time.Millisecond
)

// helperSet finds VMs that answer callers in place of this one. Only the goroutine of
// its linkWatcher uses it.
type helperSet struct {
	self    discovery.VM
	vms     func(ctx context.Context) map[string]discovery.VM
	dial    relay.DialFunc
	log     logrus.FieldLogger
	helpers map[discovery.VM]*forward.Helper
}

// list returns the VMs that were found.
func (s *helperSet) list() []*forward.Helper { return slices.Collect(maps.Values(s.helpers)) }

// refresh drops VMs that are gone or have failed, and asks others until there are
// enough. The VMs are chosen at random, so that those that are cut off at the same time
// spread over all that are not.
func (s *helperSet) refresh(ctx context.Context) {
	vms := map[discovery.VM]bool{}
	for _, vm := range s.vms(ctx) {
		if vm.PeerAddr != "" && vm.Name != s.self.Name {
			vms[vm] = true
		}
	}
	for vm, h := range s.helpers {
		if !vms[vm] || !h.Peer.Usable() {
			h.Close()
			delete(s.helpers, vm)
		}
		delete(vms, vm)
	}
	if len(s.helpers) >= maxHelpers {
		return
	}
	candidates := slices.Collect(maps.Keys(vms))
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	s.ask(ctx, candidates[:min(len(candidates), maxHelperProbes)])
}

// ask adds those of the VMs that take requests.
func (s *helperSet) ask(ctx context.Context, vms []discovery.VM) {
	ctx, cancel := context.WithTimeout(ctx, helperProbeTimeout)
	defer cancel()
	found := make([]*forward.Helper, len(vms))
	var asking sync.WaitGroup
	for i, vm := range vms {
		asking.Go(func() {
			h := forward.NewHelper(s.self.Name, vm.Name, vm.Domain, vm.PeerAddr, s.dial)
			if refusal := h.Peer.Do(ctx, &wire.RelayRequest{}, func(*wire.RelayReply) {}); refusal != nil {
				h.Close()
				return
			}
			found[i] = h
		})
	}
	asking.Wait()
	for i, h := range found {
		switch {
		case h == nil:
		case len(s.helpers) >= maxHelpers:
			h.Close()
		default:
			s.helpers[vms[i]] = h
			s.log.WithFields(logrus.Fields{"vm": vms[i].Name, "domain": vms[i].Domain}).Info("another VM answers callers in place of this one")
		}
	}
}

// close ends the use of all VMs.
func (s *helperSet) close() {
	for vm, h := range s.helpers {
		h.Close()
		delete(s.helpers, vm)
	}
}
