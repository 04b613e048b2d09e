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
	m              *Machine
	up, paused     bool
	left           bool
	side           int
	life           uint64
	seen           map[model.VMID]uint64
	received, sent int
	bytes          int
}

type packet struct {
	from, to model.VMID
	message  wire.Message
	at       time.Time
}

// sim runs machines in virtual time over a lossy network.
type sim struct {
	now     time.Time
	rng     *rand.Rand
	ids     []model.VMID
	nodes   map[model.VMID]*node
	network []packet
	loss    float64
	// measured turns on the encoding of each message to count its bytes.
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

// seeds is the platform's list: it names all VMs, dead ones too.
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
	n.life++
	// A restarted VM has a clock that need not have advanced.
	self.Incarnation = uint64(s.rng.IntN(3))
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	n.m = New(Config{Self: self, Seeds: s.seeds(), Rng: rng}, s.now)
	n.up, n.paused, n.left = true, false, false
	n.seen = map[model.VMID]uint64{}
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
			if (k == wire.KindPing || k == wire.KindAck) && len(frame) > PiggybackLimit {
				s.fail("%T has %d bytes", e.Message, len(frame))
			}
		}
		if s.rng.Float64() < s.loss {
			continue
		}
		delay := time.Duration(s.rng.IntN(20)) * time.Millisecond
		s.network = append(s.network, packet{from, e.To.ID, e.Message, s.now.Add(delay)})
	}
}

func (s *sim) reachable(a, b model.VMID) bool {
	return s.nodes[a].up && s.nodes[b].up && s.nodes[a].side == s.nodes[b].side
}

// step advances virtual time by one tick. Packets to a paused VM wait.
func (s *sim) step() {
	s.now = s.now.Add(TickInterval / 2)
	due := s.network
	s.network = nil
	slices.SortStableFunc(due, func(a, b packet) int { return a.at.Compare(b.at) })
	for _, p := range due {
		switch {
		case p.at.After(s.now) || (s.nodes[p.to].paused && s.reachable(p.from, p.to)):
			s.network = append(s.network, p)
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

// checkIncarnations fails when a higher incarnation was overwritten by a
// lower one within the life of a machine.
func (s *sim) checkIncarnations(id model.VMID, n *node) {
	for other, v := range n.m.VMs() {
		if v.Incarnation < n.seen[other] {
			s.fail("%s holds incarnation %d of %s after %d", id, v.Incarnation, other, n.seen[other])
		}
		n.seen[other] = v.Incarnation
	}
}

// disagreements compares each live machine with the truth.
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
			case s.nodes[b].left:
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
