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

func newDeparted(self discovery.VM, dial feed.DialFunc) *departed {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &departed{self: self, dial: dial, log: log, since: map[discovery.VM]time.Time{}}
}

// Guards against entries of VMs that are gone and lower the shares of the
// others for ever, and against entries that go because of a restart, a short
// cut, or a cut of the VM that looks.
func TestEntriesOfDepartedVMsLapse(t *testing.T) {
	self, near, far := vmOf("vm1"), vmOf("vm2"), vmOf("vm3")
	d := newDeparted(self, nil)
	vms := map[string]discovery.VM{"vm1": self, "vm2": near, "vm3": far}
	all := map[string]bool{"vm1": true, "vm2": true, "vm3": true}
	lost := map[string]bool{"vm1": true, "vm2": true}
	alone := map[string]bool{"vm1": true}
	at := func(minutes int) time.Time { return start.Add(time.Duration(minutes) * time.Minute) }

	assert.Equal(t, len(d.lapsed(at(0), vms, lost)), 0)
	assert.Equal(t, len(d.lapsed(at(9), vms, lost)), 0)
	assert.Equal(t, len(d.lapsed(at(10), vms, all)), 0, "it is back")
	assert.Equal(t, len(d.lapsed(at(11), vms, lost)), 0)
	assert.Equal(t, len(d.lapsed(at(30), vms, alone)), 0, "this VM is cut off")
	assert.Equal(t, len(d.lapsed(at(31), vms, lost)), 0)
	assert.DeepEqual(t, d.lapsed(at(41), vms, lost), []discovery.VM{far})
	far.PeerAddr = "another"
	vms["vm3"] = far
	assert.Equal(t, len(d.lapsed(at(42), vms, lost)), 0, "another VM has the name")
}

// Guards against a duty for all VMs that nobody does because the first VM is
// gone, and against one that several VMs do.
func TestFirstReachableVMActsForAll(t *testing.T) {
	vms := map[string]discovery.VM{}
	for _, name := range []string{"vm1", "vm2", "vm3", "vm4"} {
		vms[name] = discovery.VM{Name: name, PeerAddr: name}
	}
	gone := map[string]bool{}
	dial := func(_ context.Context, _, addr string) (net.Conn, error) {
		if gone[addr] {
			return nil, errors.New("unreachable")
		}
		c, _ := net.Pipe()
		return c, nil
	}
	acting := func() (names []string) {
		for _, name := range []string{"vm1", "vm2", "vm3", "vm4"} {
			if !gone[name] && newDeparted(vms[name], dial).first(t.Context(), vms) {
				names = append(names, name)
			}
		}
		return names
	}
	for range 3 {
		names := acting()
		assert.Equal(t, len(names), 1)
		gone[names[0]] = true
	}
}

// Guards against a VM that stays without an entry after others took it for gone.
func TestRemovedEntryOfThisVMIsNoticed(t *testing.T) {
	c := newTestControl(t)
	item := func(name string, revision int64, deleted bool) storewatch.Batch[discovery.VM] {
		return storewatch.Batch[discovery.VM]{Revision: revision, Items: []storewatch.Item[discovery.VM]{{Name: name, Revision: revision, Value: vmOf(name), Deleted: deleted}}}
	}
	vmTopic(c).take(start, item("vm1", 5, false), false)
	vmTopic(c).take(start, item("vm2", 6, false), false)
	vmTopic(c).take(start, item("vm2", 7, true), false)
	assert.Equal(t, len(c.unlisted), 0)
	vmTopic(c).take(start, item("vm1", 8, true), false)
	assert.Equal(t, len(c.unlisted), 1)
}
