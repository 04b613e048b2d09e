package capacity

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// simStep is the resolution of virtual time. A message takes one step.
const simStep = membership.TickInterval / 2

// simNode is one VM of a simulated fleet.
type simNode struct {
	members *membership.Machine
	config  *confsync.Syncer
	up      bool
	// revision is that of members at the last check.
	revision uint64
}

type packet struct {
	from, to int
	message  wire.Message
}

// sim runs the state machines of a fleet in virtual time. Messages pass
// through the codec of the peer protocol.
type sim struct {
	now     time.Time
	steps   int
	nodes   []simNode
	vms     []model.VM
	index   map[model.VMID]int
	network []packet
	store   *simStore

	messages int
	bytes    int
	// configBytes is the part of bytes that carries configuration.
	configBytes int
	// watched counts the gossiped records of the VM watchedVM.
	watchedVM model.VMID
	watched   int
	// publications counts received messages with new replica statuses. Each
	// makes the control goroutine publish a view.
	publications int
	buf          []byte
	failure      error
}

// newSim starts a fleet in which all members know each other.
func newSim(n int) *sim {
	s := &sim{now: time.Unix(1_796_000_000, 0), index: map[model.VMID]int{}, nodes: make([]simNode, n)}
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	for i := range n {
		s.vms = append(s.vms, vmAt(i))
		s.index[vmID(i)] = i
	}
	for i := range s.nodes {
		// Nodes start at different times, so that their periods are spread.
		at := s.now.Add(time.Duration(rng.Int64N(int64(membership.ProbeInterval))))
		own := rand.New(rand.NewPCG(rng.Uint64(), 2))
		s.nodes[i].members = membership.New(membership.Config{Self: s.vms[i], Rng: own, InitialMembers: s.vms}, at)
		s.nodes[i].up = true
	}
	return s
}

func (s *sim) send(from int, list []membership.Envelope) {
	for _, e := range list {
		s.post(from, e.To.ID, e.Message)
	}
}

func (s *sim) post(from int, id model.VMID, m wire.Message) {
	to, ok := s.index[id]
	if !ok {
		return
	}
	frame, err := wire.Append(s.buf[:0], 0, m, wire.MaxControlFrameBytes)
	if err != nil {
		s.failure = errOr(s.failure, err)
		return
	}
	s.buf = frame
	_, decoded, err := wire.NewReader(bytes.NewReader(frame), wire.MaxControlFrameBytes).Next()
	if err != nil {
		s.failure = errOr(s.failure, err)
		return
	}
	s.messages++
	s.bytes += len(frame)
	s.inspect(decoded, len(frame))
	s.network = append(s.network, packet{from: from, to: to, message: decoded})
}

func (s *sim) inspect(m wire.Message, size int) {
	switch m := m.(type) {
	case *wire.ConfigRequest, *wire.ConfigReply:
		s.configBytes += size
	case *wire.Ping:
		s.count(m.Members)
	case *wire.Ack:
		s.count(m.Members)
	}
}

func (s *sim) count(list []wire.Member) {
	for _, w := range list {
		if w.ID == s.watchedVM {
			s.watched++
		}
	}
}

// step advances virtual time. Half of the nodes tick in each step.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	s.steps++
	due := s.network
	s.network = nil
	for _, p := range due {
		if s.nodes[p.to].up {
			s.receive(p)
		}
	}
	s.store.step(s)
	for i := range s.nodes {
		if s.nodes[i].up && (s.steps+i)%2 == 0 {
			s.tick(i)
		}
	}
}

func (s *sim) tick(i int) {
	n := &s.nodes[i]
	if n.config != nil {
		n.members.SetConfigVersion(n.config.Version())
	}
	s.send(i, n.members.Tick(s.now))
	s.request(i)
}

// receive follows what the control goroutine does with a message.
func (s *sim) receive(p packet) {
	n := &s.nodes[p.to]
	from := s.vms[p.from].ID
	if n.config != nil {
		switch m := p.message.(type) {
		case *wire.Ping:
			n.config.HandleAnnouncement(from, m.ConfigVersion)
		case *wire.Ack:
			n.config.HandleAnnouncement(from, m.ConfigVersion)
		case *wire.SyncRequest:
			n.config.HandleAnnouncement(from, m.ConfigVersion)
		case *wire.SyncReply:
			n.config.HandleAnnouncement(from, m.ConfigVersion)
		case *wire.ConfigRequest:
			s.post(p.to, from, n.config.Serve(m))
			return
		case *wire.ConfigReply:
			n.config.HandlePeerReply(s.now, from, m)
			s.request(p.to)
			return
		}
	}
	s.send(p.to, n.members.Receive(s.now, from, p.message))
	if len(n.members.TakeChangedItems()) > 0 {
		s.publications++
	}
	s.request(p.to)
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// until steps until all nodes that are up satisfy done, which is asked again
// only for nodes that have not satisfied it. It returns the virtual time taken.
func (s *sim) until(limit time.Duration, done func(i int) bool) (time.Duration, bool) {
	began := s.now
	var open []int
	for i, n := range s.nodes {
		if n.up {
			open = append(open, i)
		}
	}
	for s.now.Sub(began) < limit {
		s.step()
		kept := open[:0]
		for _, i := range open {
			if !done(i) {
				kept = append(kept, i)
			}
		}
		open = kept
		if len(open) == 0 {
			return s.now.Sub(began), true
		}
	}
	return limit, false
}

// sees reports whether node i holds a VM in a state. It looks only after a
// change, because the look copies all members.
func (s *sim) sees(i int, id model.VMID, state model.VMState) bool {
	n := &s.nodes[i]
	r := n.members.Revision()
	if r == n.revision {
		return false
	}
	n.revision = r
	return n.members.VMs()[id].State == state
}
