package capacity

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/control"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// viewItems run one whole control goroutine whose peers answer in memory.
func viewItems() []Item {
	return []Item{
		{
			Name: "view", Size: "replicas", Sizes: replicaSizes, Quick: quickSizes, Target: targetReplicas,
			Metrics: []Metric{
				{Name: "control without changes", Unit: "ms/s", Model: Linear, Why: "refreshes share all maps; the digest of a state exchange hashes them", Budget: budgetCPU},
				{Name: "publication of one replica's status", Unit: "ms", Model: Linear, Why: "the map of statuses is copied, because published views share it"},
				{Name: "publication of one VM's change", Unit: "ms", Model: Linear, Why: "owners are ranked among the VMs of a failure domain"},
				{Name: "memory of control state and view", Unit: "KB", Model: Linear, Why: "configuration, statuses, owners and members", Budget: budgetMemory},
			},
			Measure: measureView,
		},
		{
			Name: "view-vms", Size: "VMs", Sizes: fleetSizes, Quick: quickFleet, Target: targetVMs,
			Metrics: []Metric{{Name: "publication of one VM's change, 6,160 replicas", Unit: "ms", Model: Linear, Why: "each replica is scored against each VM of its failure domain"}},
			Measure: func(ctx context.Context, e Effort, n int) ([]float64, error) {
				replicas := targetGroups * replicasPerGroup
				if e.Repeats == QuickCheck.Repeats {
					replicas = 64
				}
				c, err := startControl(ctx, replicas, n)
				if err != nil {
					return nil, err
				}
				defer c.stop()
				ms, err := c.members(ctx, changes(e))
				return []float64{ms}, err
			},
		},
	}
}

// changes is the number of publications of a measurement.
func changes(e Effort) int { return 10 * e.Repeats }

// controlRun is one control goroutine and its peers in memory.
type controlRun struct {
	*control.Controller
	vms      int
	replicas []model.ReplicaID
	cancel   context.CancelFunc
	done     chan struct{}
}

// Open implements wire.Transport.
func (c *controlRun) Open(context.Context, model.VM, wire.Message) (wire.Stream, error) {
	return nil, errs.Refuse(errs.PeerUnreachable, "not used")
}

// Notify implements wire.Transport: the peer acknowledges a ping.
func (c *controlRun) Notify(ctx context.Context, to model.VM, m wire.Message) error {
	if p, ok := m.(*wire.Ping); ok {
		c.Handle(ctx, to.ID, &wire.Ack{Sequence: p.Sequence, From: wire.MemberOf(to), ConfigVersion: p.ConfigVersion}, nil, nil)
	}
	return nil
}

// startTimeout bounds the start of a control goroutine.
const startTimeout = 30 * time.Second

func startControl(ctx context.Context, replicas, vms int) (*controlRun, error) {
	s := newStore()
	doc := document(max(1, replicas/replicasPerGroup), replicasPerGroup)
	if _, err := config.Publish(ctx, s, doc, 0); err != nil {
		return nil, err
	}
	s.vms = []model.VM{vmAt(0)}
	c := &controlRun{vms: vms, done: make(chan struct{})}
	for id := range viewOf(doc, fleetVMs(1)).Replicas {
		c.replicas = append(c.replicas, id)
	}
	c.Controller = control.New(control.Config{
		Self: vmAt(0), Transport: c, Store: s, Log: quiet(), Rng: rand.New(rand.NewPCG(1, 2)),
		JoinSections: func(m confsync.Manifest, section func(string) ([]byte, bool)) (*model.Document, error) {
			return config.Join(config.Manifest{Version: m.Version, Sections: m.Sections}, section)
		},
	})
	ctx, c.cancel = context.WithCancel(ctx)
	go func() {
		_ = c.Run(ctx)
		close(c.done)
	}()
	for i := 1; i < vms; i++ {
		c.Handle(ctx, vmID(i), &wire.Ping{From: wire.MemberOf(vmAt(i))}, nil, func(wire.Message) error { return nil })
	}
	err := c.firstStatuses(ctx)
	if err == nil {
		err = c.await(ctx, func(v *model.View) bool { return len(v.VMs) == vms && len(v.Owners) == len(c.replicas) })
	}
	if err != nil {
		c.stop()
	}
	return c, err
}

func (c *controlRun) stop() {
	c.cancel()
	<-c.done
}

func (c *controlRun) await(ctx context.Context, ready func(v *model.View) bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(200 * time.Microsecond) {
		if ready(c.Current()) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errs.Refuse(errs.Internal, "no such view after %v", startTimeout)
}

// statusBatch is below the number of statuses that control queues.
const statusBatch = 512

// firstStatuses reports each replica once.
func (c *controlRun) firstStatuses(ctx context.Context) error {
	for i, id := range c.replicas {
		if (i+1)%statusBatch != 0 && i+1 != len(c.replicas) {
			c.ObserveReplica(statusOf(id, 1))
			continue
		}
		if err := c.status(ctx, id, 1); err != nil {
			return err
		}
	}
	return nil
}

// status reports the status of a replica and waits until it is published.
func (c *controlRun) status(ctx context.Context, id model.ReplicaID, version uint64) error {
	c.ObserveReplica(statusOf(id, version))
	return c.await(ctx, func(v *model.View) bool {
		s, ok := v.Replicas[id]
		return ok && s.Snapshots[0].Version == version
	})
}

// statuses returns the processor time of one publication of a status in ms.
func (c *controlRun) statuses(ctx context.Context, n int) (float64, error) {
	began := cpuTime()
	for i := range n {
		if err := c.status(ctx, c.replicas[i%len(c.replicas)], uint64(i+2)); err != nil {
			return 0, err
		}
	}
	return (cpuTime() - began).Seconds() * 1000 / float64(n), nil
}

// members returns the processor time of one publication of a VM's change in ms.
func (c *controlRun) members(ctx context.Context, n int) (float64, error) {
	began := cpuTime()
	for i := range n {
		vm := vmAt(1 + i%(c.vms-1))
		vm.Incarnation += uint64(i + 1)
		c.Handle(ctx, vm.ID, &wire.Ping{From: wire.MemberOf(vm)}, nil, func(wire.Message) error { return nil })
		err := c.await(ctx, func(v *model.View) bool { return v.VMs[vm.ID].Incarnation >= vm.Incarnation })
		if err != nil {
			return 0, errors.Wrapf(err, "member %s", vm.ID)
		}
	}
	return (cpuTime() - began).Seconds() * 1000 / float64(n), nil
}

// idleTime is the time over which control without changes is measured.
func idleTime(e Effort) time.Duration { return time.Duration(e.Repeats) * time.Second }

func measureView(ctx context.Context, e Effort, n int) ([]float64, error) {
	before := inUse()
	c, err := startControl(ctx, n, max(4, n*targetVMs/targetReplicas))
	if err != nil {
		return nil, err
	}
	defer c.stop()
	memory := (inUse() - before) / 1024
	began, at := cpuTime(), time.Now()
	time.Sleep(idleTime(e))
	idle := (cpuTime() - began).Seconds() * 1000 / time.Since(at).Seconds()
	status, err := c.statuses(ctx, changes(e))
	if err != nil {
		return nil, err
	}
	member, err := c.members(ctx, changes(e))
	return []float64{idle, status, member, memory}, err
}
