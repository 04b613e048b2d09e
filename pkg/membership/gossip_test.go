package membership

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"gotest.tools/v3/assert"
)

// newEstablishedMachine returns a machine in a fleet of n VMs that has run for a long
// time, the VMs of the fleet and the time.
func newEstablishedMachine(n int) (*Machine, []model.VM, time.Time) {
	now := time.Unix(1_000_000, 0)
	var vms []model.VM
	for i := range n {
		vms = append(vms, model.VM{ID: model.VMID(fmt.Sprintf("vm-%04d", i)), Addr: "10.1.2.3:7000", Domain: "fd-1", Region: "r-1"})
	}
	return New(Config{Self: vms[0], Rng: rand.New(rand.NewPCG(1, 2)), InitialMembers: vms}, now), vms, now
}

// ack returns the machine's answer to a ping without updates.
func ack(t *testing.T, m *Machine, now time.Time, from model.VM) *wire.Ack {
	out := m.Receive(now, from.ID, &wire.Ping{Sequence: 1, From: wire.MemberOf(from)})
	assert.Equal(t, len(out), 1)
	return out[0].Message.(*wire.Ack)
}

// Guards against the death of a VM being sent only after the replica statuses of an
// index roll. With one queue for both, it took 50 s to reach 1,500 VMs.
func TestMemberUpdatesAreSentBeforeItems(t *testing.T) {
	m, vms, now := newEstablishedMachine(100)
	for i := range 1000 {
		m.PublishItem(now, wire.ReplicaItem, fmt.Sprint("replica-", i), make([]byte, 80), 0)
	}
	dead := wire.MemberOf(vms[5])
	dead.State = model.Dead
	m.Receive(now, vms[1].ID, &wire.Ping{Sequence: 1, From: wire.MemberOf(vms[1]), Members: []wire.Member{dead}})
	sendCount := 1 // the answer to that ping
	maxSends := retransmitFactor * bits.Len(100)
	for range maxSends {
		a := ack(t, m, now, vms[1])
		assert.Assert(t, len(a.Items) > 0, "a message carries no items")
		for _, w := range a.Members {
			if w.ID == vms[5].ID && w.State == model.Dead {
				sendCount++
			}
		}
	}
	assert.Equal(t, sendCount, maxSends)
}

// Guards against items that are never sent while a whole fleet starts, because updates
// of VMs fill all messages.
func TestItemsGetHalfOfTheFrame(t *testing.T) {
	m, vms, now := newEstablishedMachine(1000)
	for _, v := range vms[2:] {
		v.Incarnation++
		m.Receive(now, v.ID, &wire.Ack{From: wire.MemberOf(v)})
	}
	full := ack(t, m, now, vms[1])
	for i := range 100 {
		m.PublishItem(now, wire.ReplicaItem, fmt.Sprint("replica-", i), make([]byte, 80), 0)
	}
	shared := ack(t, m, now, vms[1])
	assert.Assert(t, len(shared.Items) >= 3, "%d items", len(shared.Items))
	assert.Assert(t, len(shared.Members) >= len(full.Members)/2-1, "%d members, %d without items", len(shared.Members), len(full.Members))
	frame, err := wire.Append(nil, 0, shared, wire.MaxControlFrameBytes)
	assert.NilError(t, err)
	assert.Assert(t, len(frame) <= MaxPingFrameBytes, "%d bytes", len(frame))
}
