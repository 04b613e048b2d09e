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
	// isolationCheck is the interval at which the coverage of queries is looked
	// at.
	isolationCheck = 300 * time.Millisecond
	// isolationDial bounds the dial of a VM in another failure domain.
	isolationDial = 250 * time.Millisecond
	// isolationWitnesses is the number of VMs that are dialled; they are taken
	// from as many failure domains as there are.
	isolationWitnesses = 4
)

// isolation finds out whether this VM is cut off from all other failure
// domains and lacks the shards for some queries. The balancer then sends its
// callers to VMs that can cover them. A VM that lacks shards for other reasons
// stays ready: the others lack them too.
type isolation struct {
	self      discovery.VM
	supply    *supply
	forwarder *forward.Forwarder
	ready     *readiness
	dial      feed.DialFunc
	log       logrus.FieldLogger
}

func (i *isolation) run(ctx context.Context) {
	for wait.Sleep(ctx, isolationCheck) {
		view := i.forwarder.View()
		isolated := view != nil && !view.Coverable() && i.cutOff(ctx)
		if i.ready.isolated.Swap(isolated) != isolated {
			i.log.WithField("isolated", isolated).Warn("reach of other failure domains changed")
			i.forwarder.SetLeaving(isolated || i.ready.stopping.Load())
		}
	}
}

// cutOff reports whether no VM of another failure domain can be reached.
func (i *isolation) cutOff(ctx context.Context) bool {
	witnesses := witnessesFor(i.self, i.supply.vms(ctx))
	if len(witnesses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, isolationDial)
	defer cancel()
	var group errgroup.Group
	for _, vm := range witnesses {
		group.Go(func() error {
			c, err := i.dial(ctx, "tcp", vm.PeerAddr)
			if err != nil {
				// A refusal counts as well: what cuts a link may answer for the
				// other side.
				return nil
			}
			_ = c.Close() // the connection was only to show the way
			return errReached
		})
	}
	return group.Wait() == nil
}

// errReached ends the search for a VM that can be reached.
var errReached = errs.Refuse(errs.PeerUnreachable, "a VM can be reached")

// witnessesFor returns VMs of other failure domains, one of each domain first.
func witnessesFor(self discovery.VM, vms map[string]discovery.VM) []discovery.VM {
	byDomain := map[string][]discovery.VM{}
	for _, vm := range vms {
		if vm.Domain != self.Domain && vm.PeerAddr != "" {
			byDomain[vm.Domain] = append(byDomain[vm.Domain], vm)
		}
	}
	var out []discovery.VM
	for round := 0; len(out) < isolationWitnesses; round++ {
		before := len(out)
		for _, list := range byDomain {
			if round < len(list) && len(out) < isolationWitnesses {
				out = append(out, list[round])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
