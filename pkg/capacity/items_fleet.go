package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Control budgets of a node, see section 1.5 of the design page.
const (
	budgetCPU    = 21.0     // ms of processor time a second, 2.1% of a core
	budgetMemory = 32 << 10 // KB
	budgetBytes  = 15.0     // KB/s, sent and received together
	budgetSpread = 19.0     // s
)

var (
	fleetSizes = []int{50, 150, 500, 1500}
	quickFleet = []int{8, 12, 16, 24}
)

const epidemic = "the number of VMs that know grows by a factor each round"

// fleetItems run the membership of a fleet in virtual time.
func fleetItems() []Item {
	return []Item{
		{
			Name: "membership", Size: "nodes", Sizes: fleetSizes, Quick: quickFleet, Target: targetVMs,
			Metrics: []Metric{
				{Name: "messages sent per node", Unit: "1/s", Model: Linear, Why: "a fixed number of probes; the slope is expected to be 0"},
				{Name: "bytes sent and received per node", Unit: "KB/s", Model: Linear, Why: "as the messages", Budget: budgetBytes},
				{Name: "processor time per node, codec included", Unit: "ms/s", Model: Linear, Why: "an exchange hashes all members", Budget: budgetCPU},
				{Name: "memory per node", Unit: "KB", Model: Linear, Why: "one record for each VM", Budget: budgetMemory},
			},
			Measure: measureMembership,
		},
		{
			Name: "death", Size: "nodes", Sizes: fleetSizes, Quick: quickFleet, Target: targetVMs,
			Metrics: []Metric{
				{Name: "until dead on every node", Unit: "s", Model: Log, Why: epidemic + ", and the suspicion grows with log n"},
				{Name: "records of it sent per node", Unit: "records", Model: Log, Why: "each update is sent 3 log2 n times"},
			},
			Measure: func(_ context.Context, _ Effort, n int) ([]float64, error) { return measureDeath(n, 0) },
		},
		{
			Name: "death-in-roll", Size: "nodes", Sizes: fleetSizes, Quick: quickFleet, Target: targetVMs,
			Metrics: []Metric{
				{Name: "until dead on every node, during an index roll of 10 min", Unit: "s", Model: Log, Why: epidemic},
				{Name: "records of it sent per node", Unit: "records", Model: Log, Why: "each update is sent 3 log2 n times"},
			},
			Measure: func(_ context.Context, e Effort, n int) ([]float64, error) { return measureDeath(n, e.Virtual) },
		},
		{
			Name: "domain-loss", Size: "nodes", Sizes: fleetSizes, Quick: quickFleet, Target: targetVMs,
			Metrics: []Metric{
				{Name: "until all VMs of a failure domain are dead on every other node", Unit: "s", Model: Linear, Why: "the records of n/8 VMs share the messages"},
				{Name: "bytes sent and received per node", Unit: "KB/s", Model: Linear, Why: "bounded by the size limit of a message", Budget: budgetBytes},
				{Name: "processor time per node, codec included", Unit: "ms/s", Model: Linear, Why: "bounded by the size limit of a message", Budget: budgetCPU},
			},
			Measure: measureDomainLoss,
		},
		{
			Name: "status-in-roll", Size: "nodes", Sizes: fleetSizes, Quick: quickFleet, Target: targetVMs,
			Metrics: []Metric{
				{Name: "until a replica's status is on every node, during an index roll of 10 min", Unit: "s", Model: Linear, Why: "the bytes of a message are shared by changes, which grow with the replicas"},
				{Name: "bytes sent and received per node", Unit: "KB/s", Model: Linear, Why: "bounded by the size limit of a message", Budget: budgetBytes},
				{Name: "processor time per node, codec included", Unit: "ms/s", Model: Linear, Why: "bounded by the size limit of a message", Budget: budgetCPU},
				{Name: "views published by a node because of statuses", Unit: "1/s", Model: Linear, Why: "at most one for each message received"},
			},
			Measure: measureStatusInRoll,
		},
		{
			Name: "replica-knowledge", Size: "replicas", Sizes: []int{800, 1600, 3200, 6400}, Quick: quickSizes, Target: targetReplicas,
			Metrics: []Metric{
				{Name: "memory of the items, queued to gossip", Unit: "KB", Model: Linear, Why: "one item for each replica", Budget: budgetMemory},
				{Name: "one state exchange without a difference", Unit: "ms", Model: Linear, Why: "all items are hashed at both ends"},
			},
			Measure: measureKnowledge,
		},
	}
}

func measureMembership(_ context.Context, e Effort, n int) ([]float64, error) {
	before := inUse()
	s := newSim(n)
	memory := (inUse() - before) / float64(n) / 1024
	s.run(time.Second)
	sent, bytes, cpu := s.messages, s.bytes, cpuTime()
	s.run(e.Virtual)
	per := e.Virtual.Seconds() * float64(n)
	return []float64{
		float64(s.messages-sent) / per,
		2 * float64(s.bytes-bytes) / per / 1024,
		(cpuTime() - cpu).Seconds() * 1000 / per,
		memory,
	}, s.failure
}

// spreadLimit bounds the virtual time of a spread.
const spreadLimit = 5 * time.Minute

// rollTime is the length of an index roll over all replicas.
const rollTime = 10 * time.Minute

// roll publishes statuses as an index roll over all replicas does: each owner
// reports its 4.33 replicas, spread over rollTime.
func (s *sim) roll(rng *rand.Rand) error {
	chance := float64(targetReplicas) / targetVMs * simStep.Seconds() / rollTime.Seconds()
	for i := range s.nodes {
		if !s.nodes[i].up || rng.Float64() >= chance {
			continue
		}
		if err := s.status(i, fmt.Sprintf("replica-%04d-%d", i, rng.IntN(9))); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) status(i int, replica string) error {
	payload, err := msgpack.Marshal(statusOf(model.ReplicaID(replica), uint64(s.steps)))
	if err != nil {
		return errs.Refuse(errs.Internal, "status: %v", err)
	}
	s.nodes[i].members.PublishItem(s.now, wire.ReplicaItem, replica, payload, 0)
	return nil
}

func (s *sim) rollFor(d time.Duration, rng *rand.Rand) error {
	for end := s.now.Add(d); s.now.Before(end); s.step() {
		if err := s.roll(rng); err != nil {
			return err
		}
	}
	return nil
}

// measureDeath stops a node, after an index roll has run for the given time,
// and waits until all others hold it as dead.
func measureDeath(n int, rolling time.Duration) ([]float64, error) {
	s := newSim(n)
	rng := rand.New(rand.NewPCG(uint64(n), 5))
	s.run(time.Second)
	if err := s.rollFor(rolling, rng); err != nil {
		return nil, err
	}
	dead := n / 2
	s.nodes[dead].up = false
	s.watchedVM = s.vms[dead].ID
	took, ok := s.until(spreadLimit, func(i int) bool {
		if i == 0 && rolling > 0 {
			s.failure = errOr(s.failure, s.roll(rng))
		}
		return s.sees(i, s.watchedVM, model.Dead)
	})
	if !ok {
		return nil, errs.Refuse(errs.Internal, "not dead everywhere after %v of virtual time", spreadLimit)
	}
	return []float64{took.Seconds(), float64(s.watched) / float64(n)}, s.failure
}

// lossCheck is the number of steps between two looks at a node: each look
// copies its members.
const lossCheck = 10

// measureDomainLoss stops all nodes of a failure domain at once.
func measureDomainLoss(_ context.Context, _ Effort, n int) ([]float64, error) {
	s := newSim(n)
	s.run(time.Second)
	var dead []model.VMID
	for i := range s.nodes {
		if s.vms[i].Domain == domainID(0) {
			s.nodes[i].up = false
			dead = append(dead, s.vms[i].ID)
		}
	}
	bytes, cpu, from := s.bytes, cpuTime(), s.now
	_, ok := s.until(spreadLimit, func(i int) bool {
		return s.steps%lossCheck == i%lossCheck && s.allDead(i, dead)
	})
	if !ok {
		return nil, errs.Refuse(errs.Internal, "not dead everywhere after %v of virtual time", spreadLimit)
	}
	per := s.now.Sub(from).Seconds() * float64(n-len(dead))
	return []float64{s.now.Sub(from).Seconds(), 2 * float64(s.bytes-bytes) / per / 1024, (cpuTime() - cpu).Seconds() * 1000 / per}, s.failure
}

func (s *sim) allDead(i int, dead []model.VMID) bool {
	vms := s.nodes[i].members.VMs()
	for _, id := range dead {
		if vms[id].State != model.Dead {
			return false
		}
	}
	return true
}

func measureStatusInRoll(_ context.Context, e Effort, n int) ([]float64, error) {
	s := newSim(n)
	rng := rand.New(rand.NewPCG(uint64(n), 6))
	if err := s.rollFor(e.Virtual, rng); err != nil {
		return nil, err
	}
	bytes, published, cpu, from := s.bytes, s.publications, cpuTime(), s.now
	const probe = "replica-probe"
	if err := s.status(n/2, probe); err != nil {
		return nil, err
	}
	took, ok := s.until(spreadLimit, func(i int) bool {
		if i == 0 {
			s.failure = errOr(s.failure, s.roll(rng))
		}
		return s.nodes[i].members.HasItem(s.now, wire.ReplicaItem, probe)
	})
	if !ok {
		return nil, errs.Refuse(errs.Internal, "not known everywhere after %v of virtual time", spreadLimit)
	}
	per := s.now.Sub(from).Seconds() * float64(n)
	return []float64{
		took.Seconds(),
		2 * float64(s.bytes-bytes) / per / 1024,
		(cpuTime() - cpu).Seconds() * 1000 / per,
		float64(s.publications-published) / per,
	}, s.failure
}

// measureKnowledge fills two machines with the same items and measures one of
// them, and an exchange between both.
func measureKnowledge(_ context.Context, e Effort, n int) ([]float64, error) {
	now := time.Unix(1_796_000_000, 0)
	vms := []model.VM{vmAt(0), vmAt(1)}
	build := func(i int) *membership.Machine {
		return membership.New(membership.Config{Self: vms[i], Rng: rand.New(rand.NewPCG(1, uint64(i))), InitialMembers: vms}, now)
	}
	a, b := build(0), build(1)
	before := inUse()
	for i := range n {
		id := fmt.Sprintf("replica-%04d-%d", i/replicasPerGroup, i%replicasPerGroup)
		payload, err := msgpack.Marshal(statusOf(model.ReplicaID(id), uint64(i)))
		if err != nil {
			return nil, errs.Refuse(errs.Internal, "status: %v", err)
		}
		a.PublishItem(now, wire.ReplicaItem, id, payload, 0)
	}
	memory := (inUse() - before) / 1024
	for i := range n {
		id := fmt.Sprintf("replica-%04d-%d", i/replicasPerGroup, i%replicasPerGroup)
		payload, _ := msgpack.Marshal(statusOf(model.ReplicaID(id), uint64(i)))
		b.MergeItem(now, wire.Item{Kind: wire.ReplicaItem, Key: id, Origin: vms[0].ID, Sequence: uint64(now.UnixMilli()), Payload: payload})
	}
	c, err := measure(e, func() error {
		now = now.Add(10 * time.Second)
		for _, out := range a.Tick(now) {
			if q, ok := out.Message.(*wire.SyncRequest); ok {
				b.Receive(now, vms[0].ID, q)
			}
		}
		return nil
	})
	return []float64{memory, c.ns / 1e6}, err
}
