package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// node is one simulated VM.
type node struct {
	m                  *Machine
	up, paused         bool
	leaving            bool
	partition          int // nodes reach only nodes with the same value
	starts             uint64
	highestIncarnation map[model.VMID]uint64
	received, sent     int
	bytes              int
}

// packet is a message in flight that reaches its receiver at arrivesAt.
type packet struct {
	from, to  model.VMID
	message   wire.Message
	arrivesAt time.Time
}

// sim runs machines in virtual time over a lossy network.
type sim struct {
	now      time.Time
	rng      *rand.Rand
	ids      []model.VMID
	nodes    map[model.VMID]*node
	inFlight []packet
	loss     float64
	// measured makes send encode each message, to count its bytes and check its size.
	measured bool
	fail     func(format string, args ...any)
}

func newSim(n int, seed uint64, fail func(string, ...any)) *sim {
	s := &sim{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[model.VMID]*node{}, fail: fail}
	for i := range n {
		id := model.VMID(fmt.Sprintf("vm-%04d", i))
		s.ids = append(s.ids, id)
		s.nodes[id] = &node{}
	}
	for _, id := range s.ids {
		s.start(id)
	}
	return s
}

func (s *sim) vm(id model.VMID) model.VM {
	return model.VM{ID: id, Addr: "10.11.12.13:7000/" + string(id), Domain: "fd-1", Region: "r-1"}
}

// seeds returns the VM list of the platform: the first 8 VMs, including dead ones.
func (s *sim) seeds() []model.VM {
	var list []model.VM
	for _, id := range s.ids[:min(len(s.ids), 8)] {
		list = append(list, s.vm(id))
	}
	return list
}

func (s *sim) start(id model.VMID) {
	n := s.nodes[id]
	self := s.vm(id)
	n.starts++
	// The incarnation may repeat, as after a restart of a VM whose clock has not advanced.
	self.Incarnation = uint64(s.rng.IntN(3))
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	n.m = New(Config{Self: self, Seeds: s.seeds(), Rng: rng}, s.now)
	n.up, n.paused, n.leaving = true, false, false
	n.highestIncarnation = map[model.VMID]uint64{}
}

func (s *sim) send(from model.VMID, list []Envelope) {
	for _, e := range list {
		n := s.nodes[from]
		n.sent++
		if s.measured {
			frame, err := wire.Append(nil, 0, e.Message, wire.MaxControlFrameBytes)
			if err != nil {
				s.fail("frame of %T: %v", e.Message, err)
			}
			n.bytes += len(frame)
			k := e.Message.Kind()
			if (k == wire.KindPing || k == wire.KindAck) && len(frame) > MaxPingFrameBytes {
				s.fail("%T has %d bytes", e.Message, len(frame))
			}
		}
		if s.rng.Float64() < s.loss {
			continue
		}
		delay := time.Duration(s.rng.IntN(20)) * time.Millisecond
		s.inFlight = append(s.inFlight, packet{from, e.To.ID, e.Message, s.now.Add(delay)})
	}
}

func (s *sim) reachable(a, b model.VMID) bool {
	return s.nodes[a].up && s.nodes[b].up && s.nodes[a].partition == s.nodes[b].partition
}

// step advances virtual time by half a TickInterval, delivers the packets that are due
// and calls Tick on each machine. Packets to a paused VM stay in flight.
func (s *sim) step() {
	s.now = s.now.Add(TickInterval / 2)
	due := s.inFlight
	s.inFlight = nil
	slices.SortStableFunc(due, func(a, b packet) int { return a.arrivesAt.Compare(b.arrivesAt) })
	for _, p := range due {
		switch {
		case p.arrivesAt.After(s.now) || (s.nodes[p.to].paused && s.reachable(p.from, p.to)):
			s.inFlight = append(s.inFlight, p)
		case s.reachable(p.from, p.to):
			n := s.nodes[p.to]
			n.received++
			s.send(p.to, n.m.Receive(s.now, p.from, p.message))
		}
	}
	for _, id := range s.ids {
		if n := s.nodes[id]; n.up && !n.paused {
			s.send(id, n.m.Tick(s.now))
			s.checkIncarnations(id, n)
		}
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// checkIncarnations fails if a machine has replaced a higher incarnation by a lower one
// since its last start.
func (s *sim) checkIncarnations(id model.VMID, n *node) {
	for other, v := range n.m.VMs() {
		if v.Incarnation < n.highestIncarnation[other] {
			s.fail("%s holds incarnation %d of %s after %d", id, v.Incarnation, other, n.highestIncarnation[other])
		}
		n.highestIncarnation[other] = v.Incarnation
	}
}

// disagreements compares the states that each live machine holds with the actual ones.
func (s *sim) disagreements() []string {
	var list []string
	for _, a := range s.ids {
		if !s.nodes[a].up {
			continue
		}
		vms := s.nodes[a].m.VMs()
		for _, b := range s.ids {
			want := model.Alive
			switch {
			case !s.nodes[b].up:
				want = model.Dead
			case s.nodes[b].leaving:
				want = model.Leaving
			}
			v, known := vms[b]
			if (known || want != model.Dead) && (!known || v.State != want) {
				list = append(list, fmt.Sprintf("%s holds %s as %v (known %v), want %v", a, b, v.State, known, want))
			}
		}
	}
	return list
}
