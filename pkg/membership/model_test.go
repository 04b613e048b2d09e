package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// convergenceTime is long enough for several state exchanges with VMs that count as
// dead, and for a suspicion that follows them.
const convergenceTime = 4 * time.Minute

// Guards against machines whose states stay different after any mix of packet loss,
// pauses, crashes, restarts, leaves and partitions, against a live VM that stays dead
// in the state of another, and against lower incarnations that override higher ones.
func TestModelMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 8).Draw(t, "machines")
		s := newSim(n, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		pick := func(t *rapid.T) *node { return s.nodes[rapid.SampledFrom(s.ids).Draw(t, "vm")] }
		items := map[string]string{}
		t.Repeat(map[string]func(*rapid.T){
			"run":       func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * TickInterval) },
			"loss":      func(t *rapid.T) { s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss") },
			"crash":     func(t *rapid.T) { pick(t).up = false },
			"pause":     func(t *rapid.T) { pick(t).paused = true },
			"resume":    func(t *rapid.T) { pick(t).paused = false },
			"partition": func(t *rapid.T) { pick(t).partition = rapid.IntRange(0, 1).Draw(t, "partition") },
			"restart":   func(t *rapid.T) { s.start(rapid.SampledFrom(s.ids).Draw(t, "vm")) },
			"leave": func(t *rapid.T) {
				id := rapid.SampledFrom(s.ids).Draw(t, "vm")
				if n := s.nodes[id]; n.up && !n.paused {
					n.leaving = true
					s.send(id, n.m.Leave(s.now))
				}
			},
			"publish": func(t *rapid.T) {
				if n := pick(t); n.up && !n.paused {
					key := rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "key")
					value := fmt.Sprint(len(items), n.m.Self().ID)
					items[key] = value
					n.m.PublishItem(s.now, wire.ReplicaItem, key, []byte(value), 0)
				}
			},
		})
		s.loss = 0
		for _, n := range s.nodes {
			n.partition = 0
			n.paused = false
		}
		s.run(convergenceTime)
		for _, d := range s.disagreements() {
			t.Errorf("%s", d)
		}
		checkItems(t, s)
	})
}

// checkItems fails when two live machines hold different items.
func checkItems(t *rapid.T, s *sim) {
	for _, key := range []string{"r1", "r2"} {
		values := map[string]model.VMID{}
		for _, id := range s.ids {
			if !s.nodes[id].up {
				continue
			}
			value := "none"
			if it := s.nodes[id].m.items[itemKey{wire.ReplicaItem, key}]; it != nil {
				value = string(it.item.Payload)
			}
			values[value] = id
		}
		if len(values) > 1 {
			t.Errorf("item %s differs: %v", key, values)
		}
	}
}

// newJoinedSim returns a simulation in which all machines know each other.
func newJoinedSim(t *testing.T, n int) *sim {
	s := newSim(n, 7, t.Fatalf)
	s.run(30 * time.Second)
	assert.Equal(t, len(s.disagreements()), 0, "%v", s.disagreements())
	return s
}

// Guards against a VM that declares its peers dead because it was itself paused.
func TestPausedMachineSuspectsNoPeer(t *testing.T) {
	s := newJoinedSim(t, 5)
	s.nodes["vm-0000"].paused = true
	s.run(time.Minute)
	assert.Equal(t, s.nodes["vm-0001"].m.VMs()["vm-0000"].State, model.Dead)
	s.nodes["vm-0000"].paused = false
	s.step()
	for id, v := range s.nodes["vm-0000"].m.VMs() {
		assert.Assert(t, v.State == model.Alive, "%s is %v", id, v.State)
	}
	s.run(10 * time.Second)
	assert.Equal(t, len(s.disagreements()), 0, "%v", s.disagreements())
}

// Guards against a live VM that learns only from a state exchange that a peer has
// declared it dead: the answer to its first ping must say so.
func TestDeadVMRefutesOnFirstContact(t *testing.T) {
	s := newJoinedSim(t, 3)
	a, b := s.nodes["vm-0000"].m, s.nodes["vm-0001"].m
	dead := b.Self()
	dead.State = model.Dead
	a.storeMember(s.now, dead)
	// Empty queues: the update has been gossiped to other VMs already.
	a.memberQueue, a.itemQueue = updateQueue{}, updateQueue{}
	a.memberQueue.init()
	a.itemQueue.init()
	acks := a.Receive(s.now, "vm-0001", b.ping(99, "vm-0000"))
	b.Receive(s.now, "vm-0000", acks[0].Message)
	a.Receive(s.now, "vm-0001", b.ping(100, "vm-0000"))
	assert.Equal(t, a.VMs()["vm-0001"].State, model.Alive)
}

// Guards against failure detection that is slower than in the design. Here a crashed VM
// must be suspect after 2 s and dead after another 2.5 s.
func TestDetectionTime(t *testing.T) {
	s := newJoinedSim(t, 5)
	s.nodes["vm-0003"].up = false
	s.run(2 * time.Second)
	assert.Equal(t, s.nodes["vm-0000"].m.VMs()["vm-0003"].State, model.Suspect)
	s.run(2500 * time.Millisecond)
	for _, id := range []model.VMID{"vm-0000", "vm-0001", "vm-0002", "vm-0004"} {
		assert.Equal(t, s.nodes[id].m.VMs()["vm-0003"].State, model.Dead)
	}
}

// Guards against a leave that peers learn only when they are probed.
func TestLeaveReachesAllPeersAtOnce(t *testing.T) {
	s := newJoinedSim(t, 8)
	n := s.nodes["vm-0005"]
	n.leaving = true
	s.send("vm-0005", n.m.Leave(s.now))
	s.run(TickInterval)
	assert.Equal(t, len(s.disagreements()), 0, "%v", s.disagreements())
}

// Guards against an outdated VM list of the platform that causes a live VM to be
// declared dead or marked as leaving.
func TestOutdatedSeedListChangesNoLiveVM(t *testing.T) {
	s := newJoinedSim(t, 3)
	m := s.nodes["vm-0000"].m
	leaving := s.vm("vm-0001")
	leaving.State = model.Leaving
	m.SetSeeds(s.now, []model.VM{leaving})
	s.run(time.Minute)
	assert.Equal(t, m.VMs()["vm-0001"].State, model.Alive)
	assert.Equal(t, m.VMs()["vm-0002"].State, model.Alive)
}

// Guards against the items of a restarted VM losing against those that it published
// before the restart, and against VMs that keep different ones of the two.
func TestRestartedOriginReplacesItsItems(t *testing.T) {
	s := newJoinedSim(t, 3)
	s.nodes["vm-0001"].m.PublishItem(s.now, wire.ReplicaItem, "r1", []byte("old"), 0)
	s.run(5 * time.Second)
	s.start("vm-0001")
	s.nodes["vm-0001"].m.PublishItem(s.now, wire.ReplicaItem, "r1", []byte("new"), 0)
	s.run(10 * time.Second)
	for _, id := range s.ids {
		assert.Equal(t, string(s.nodes[id].m.items[itemKey{wire.ReplicaItem, "r1"}].item.Payload), "new")
	}
	a := wire.Item{Sequence: 1, Origin: "a", Payload: []byte("1")}
	b := wire.Item{Sequence: 1, Origin: "a", Payload: []byte("2")}
	assert.Assert(t, outranks(b, a) && !outranks(a, b))
}

// Guards against an expired item that VMs keep sending to each other.
func TestItemsExpireEverywhere(t *testing.T) {
	s := newJoinedSim(t, 5)
	s.nodes["vm-0000"].m.PublishItem(s.now, wire.PoisonItem, "1", []byte("x"), time.Minute)
	s.run(20 * time.Second)
	assert.Equal(t, len(s.nodes["vm-0004"].m.items), 1)
	s.run(2 * time.Minute)
	for _, id := range s.ids {
		assert.Equal(t, len(s.nodes[id].m.items), 0)
	}
}

// Guards against messages that exceed their size limit while many updates are queued.
func TestMessageSizes(t *testing.T) {
	s := newSim(60, 3, t.Fatalf)
	s.measured = true
	for i := range 200 {
		s.nodes["vm-0000"].m.PublishItem(s.now, wire.ReplicaItem, fmt.Sprint("replica-", i), make([]byte, 80), time.Hour)
	}
	s.run(40 * time.Second)
	assert.Equal(t, len(s.nodes["vm-0059"].m.items), 200)
}

// BenchmarkMessagesPerNode reports how many control messages and bytes one node sends
// per second in a running fleet.
func BenchmarkMessagesPerNode(b *testing.B) {
	for _, n := range []int{5, 50, 200, 500} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			s := newSim(n, 1, b.Fatalf)
			s.run(20 * time.Second)
			s.measured = true
			var ticks int
			before := totals(s)
			for b.Loop() {
				s.step()
				ticks++
			}
			after := totals(s)
			seconds := (time.Duration(ticks) * TickInterval / 2).Seconds() * float64(n)
			b.ReportMetric(float64(after.sent-before.sent)/seconds, "msg/s/node")
			b.ReportMetric(float64(after.bytes-before.bytes)/seconds, "B/s/node")
		})
	}
}

// totals returns the messages and bytes that all nodes have sent.
func totals(s *sim) node {
	var t node
	for _, n := range s.nodes {
		t.sent += n.sent
		t.bytes += n.bytes
	}
	return t
}
