package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

func newTestVMCleaner(self discovery.VM, dial feed.DialFunc) *vmCleaner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &vmCleaner{self: self, dial: dial, log: log, unreachableSince: map[discovery.VM]time.Time{}}
}

// Guards against entries of lost VMs that reduce the shares of the others for
// ever, and against entries that are removed because of a restart, a short
// partition, or a partition of the VM that checks.
func TestEntriesOfLostVMsAreRemoved(t *testing.T) {
	self, running, lost := testVM("vm1"), testVM("vm2"), testVM("vm3")
	c := newTestVMCleaner(self, nil)
	vms := map[string]discovery.VM{"vm1": self, "vm2": running, "vm3": lost}
	all := map[string]bool{"vm1": true, "vm2": true, "vm3": true}
	withoutLost := map[string]bool{"vm1": true, "vm2": true}
	onlySelf := map[string]bool{"vm1": true}
	at := func(minutes int) time.Time { return start.Add(time.Duration(minutes) * time.Minute) }

	assert.Equal(t, len(c.longUnreachable(at(0), vms, withoutLost)), 0)
	assert.Equal(t, len(c.longUnreachable(at(9), vms, withoutLost)), 0)
	assert.Equal(t, len(c.longUnreachable(at(10), vms, all)), 0, "vm3 was reachable again in between")
	assert.Equal(t, len(c.longUnreachable(at(11), vms, withoutLost)), 0)
	assert.Equal(t, len(c.longUnreachable(at(30), vms, onlySelf)), 0, "no other VM is reachable")
	assert.Equal(t, len(c.longUnreachable(at(31), vms, withoutLost)), 0)
	assert.DeepEqual(t, c.longUnreachable(at(41), vms, withoutLost), []discovery.VM{lost})
	lost.PeerAddr = "another"
	vms["vm3"] = lost
	assert.Equal(t, len(c.longUnreachable(at(42), vms, withoutLost)), 0, "another VM has taken the name")
}

// Guards against having no coordinator after the first VM was lost, and against
// having several at once.
func TestFirstReachableVMIsCoordinator(t *testing.T) {
	vms := map[string]discovery.VM{}
	for _, name := range []string{"vm1", "vm2", "vm3", "vm4"} {
		vms[name] = discovery.VM{Name: name, PeerAddr: name}
	}
	lost := map[string]bool{}
	dial := func(_ context.Context, _, addr string) (net.Conn, error) {
		if lost[addr] {
			return nil, errors.New("unreachable")
		}
		c, _ := net.Pipe()
		return c, nil
	}
	coordinators := func() (names []string) {
		for _, name := range []string{"vm1", "vm2", "vm3", "vm4"} {
			if !lost[name] && newTestVMCleaner(vms[name], dial).isCoordinator(t.Context(), vms) {
				names = append(names, name)
			}
		}
		return names
	}
	for range 3 {
		names := coordinators()
		assert.Equal(t, len(names), 1)
		lost[names[0]] = true
	}
}

// Guards against a running VM that does not notice that its entry was removed
// because others found it unreachable.
func TestRemovalOfOwnEntryIsNoticed(t *testing.T) {
	c := newTestController(t)
	item := func(name string, revision int64, deleted bool) storewatch.Batch[discovery.VM] {
		return storewatch.Batch[discovery.VM]{Position: storewatch.Position{Revision: revision}, Items: []storewatch.Item[discovery.VM]{{Name: name, Revision: revision, Value: testVM(name), Deleted: deleted}}}
	}
	vmTopic(c).update(start, item("vm1", 5, false), false)
	vmTopic(c).update(start, item("vm2", 6, false), false)
	vmTopic(c).update(start, item("vm2", 7, true), false)
	assert.Equal(t, len(c.ownEntryRemoved), 0)
	vmTopic(c).update(start, item("vm1", 8, true), false)
	assert.Equal(t, len(c.ownEntryRemoved), 1)
}
