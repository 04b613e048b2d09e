package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// challengesPerTick bounds the pings that check claims of a state exchange:
// 20 a second, about 5 KB/s, while a partition heals.
const challengesPerTick = 2

// probe is an unanswered ping. Its stages are: sent, sent again on a fresh
// connection, sent through others.
type probe struct {
	target model.VMID
	at     time.Time
	stage  int
}

// relay is a ping sent for another VM.
type relay struct {
	requester model.VM
	sequence  uint64
	target    model.VMID
	at        time.Time
}

// insertProbeTarget puts a new VM at a random place of the rest of the round.
func (m *Machine) insertProbeTarget(id model.VMID) {
	i := m.rng.IntN(len(m.order) + 1)
	m.order = slices.Insert(m.order, i, id)
}

// nextTarget takes the next live VM of the round. Each round is a new random
// permutation, so each VM is probed once in it.
func (m *Machine) nextTarget() (model.VM, bool) {
	for range 2 {
		for len(m.order) > 0 {
			id := m.order[len(m.order)-1]
			m.order = m.order[:len(m.order)-1]
			if r := m.records[id]; r != nil && r.vm.State != model.Dead {
				return r.vm, true
			}
		}
		m.order = append(m.order, m.ids(notDead)...)
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return model.VM{}, false
}

func notDead(v model.VM) bool { return v.State != model.Dead }

// ids returns the matching VMs in a fixed order, so that a run depends only
// on the seed of the random source.
func (m *Machine) ids(match func(model.VM) bool) []model.VMID {
	var list []model.VMID
	for id, r := range m.records {
		if match(r.vm) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (m *Machine) startProbe(now time.Time) []Envelope {
	to, ok := m.nextTarget()
	if !ok {
		return nil
	}
	return []Envelope{m.probe(now, to)}
}

func (m *Machine) probe(now time.Time, to model.VM, claims ...wire.Member) Envelope {
	seq := m.newSequence()
	m.probes[seq] = &probe{target: to.ID, at: now}
	return Envelope{To: to, Message: m.ping(seq, to.ID, claims...)}
}

// challenge pings VMs that a state exchange claimed dead.
func (m *Machine) challenge(now time.Time) []Envelope {
	var out []Envelope
	for _, id := range sortedKeys(m.challenges) {
		if len(out) == challengesPerTick {
			break
		}
		claim := m.challenges[id]
		delete(m.challenges, id)
		r := m.records[id]
		if r == nil || r.vm.State == model.Dead {
			continue
		}
		out = append(out, m.probe(now, r.vm, claim))
	}
	return out
}

// ping builds a Ping. A target that is not plainly alive here gets its own
// record first, so that it can refute it, as it can refute the given claims.
func (m *Machine) ping(seq uint64, to model.VMID, claims ...wire.Member) *wire.Ping {
	p := &wire.Ping{Sequence: seq, From: m.member(), ConfigVersion: m.config, Members: claims}
	if r := m.records[to]; r != nil && r.vm.State != model.Alive {
		p.Members = append(p.Members, wire.MemberOf(r.vm))
	}
	p.Members, p.Items = m.piggyback(p.From, p.Members)
	return p
}

func (m *Machine) advanceProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, seq := range sortedKeys(m.probes) {
		p := m.probes[seq]
		r := m.records[p.target]
		if r == nil || r.vm.State == model.Dead {
			delete(m.probes, seq)
			continue
		}
		age := now.Sub(p.at)
		switch {
		case age >= probeTimeout:
			delete(m.probes, seq)
			m.suspect(now, p.target)
		case age >= 2*ackTimeout && p.stage == 1:
			p.stage = 2
			out = append(out, m.askOthers(seq, r.vm)...)
		case age >= ackTimeout && p.stage == 0:
			p.stage = 1
			out = append(out, Envelope{To: r.vm, Message: m.ping(seq, p.target), NewConnection: true})
		}
	}
	return out
}

func sortedKeys[K cmp.Ordered, V any](list map[K]V) []K { return slices.Sorted(maps.Keys(list)) }

func (m *Machine) askOthers(seq uint64, target model.VM) []Envelope {
	others := m.ids(func(v model.VM) bool { return v.State == model.Alive && v.ID != target.ID })
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []Envelope
	for _, id := range others[:min(len(others), indirectPeers)] {
		request := &wire.PingRequest{Sequence: seq, From: m.member(), Target: wire.MemberOf(target)}
		out = append(out, Envelope{To: m.records[id].vm, Message: request})
	}
	return out
}

// Receive handles a message of an authenticated peer.
func (m *Machine) Receive(now time.Time, from model.VMID, msg wire.Message) []Envelope {
	switch msg := msg.(type) {
	case *wire.Ping:
		return m.receivePing(now, from, msg)
	case *wire.Ack:
		return m.receiveAck(now, from, msg)
	case *wire.PingRequest:
		return m.receivePingRequest(now, from, msg)
	case *wire.PingResult:
		m.settle(msg.Sequence, msg.Target, msg.Reached)
	case *wire.SyncRequest:
		return m.receiveSyncRequest(now, from, msg)
	case *wire.SyncReply:
		return m.receiveSyncReply(now, from, msg)
	}
	return nil
}

// merge applies the sender's own record and everything it sent along. It
// reports false for a message in another VM's name.
func (m *Machine) merge(now time.Time, from model.VMID, self wire.Member, members []wire.Member, items []wire.Item, s source) bool {
	if self.ID != from || from == m.self.ID {
		return false
	}
	m.apply(now, self, gossiped)
	for _, w := range members {
		m.apply(now, w, s)
	}
	for _, it := range items {
		m.applyItem(now, it)
	}
	return true
}

func (m *Machine) receivePing(now time.Time, from model.VMID, p *wire.Ping) []Envelope {
	if !m.merge(now, from, p.From, p.Members, p.Items, gossiped) {
		return nil
	}
	ack := &wire.Ack{Sequence: p.Sequence, From: m.member(), ConfigVersion: m.config}
	ack.Members, ack.Items = m.piggyback(ack.From, m.correction(p.From))
	return []Envelope{{To: p.From.VM(), Message: ack, Reply: true}}
}

func (m *Machine) receiveAck(now time.Time, from model.VMID, a *wire.Ack) []Envelope {
	if !m.merge(now, from, a.From, a.Members, a.Items, gossiped) {
		return nil
	}
	m.settle(a.Sequence, from, true)
	r, ok := m.relays[a.Sequence]
	if !ok || r.target != from {
		return nil
	}
	delete(m.relays, a.Sequence)
	result := &wire.PingResult{Sequence: r.sequence, Target: from, Reached: true}
	return []Envelope{{To: r.requester, Message: result}}
}

// settle ends the probe that an answer belongs to.
func (m *Machine) settle(seq uint64, target model.VMID, reached bool) {
	if p := m.probes[seq]; p != nil && p.target == target && reached {
		delete(m.probes, seq)
		m.answered(target)
	}
}

func (m *Machine) receivePingRequest(now time.Time, from model.VMID, p *wire.PingRequest) []Envelope {
	if !m.merge(now, from, p.From, nil, nil, gossiped) || len(m.relays) >= maxRelays {
		return nil
	}
	seq := m.newSequence()
	m.relays[seq] = relay{requester: p.From.VM(), sequence: p.Sequence, target: p.Target.ID, at: now}
	// The target's record goes along: the requester may hold it as suspect.
	ping := &wire.Ping{Sequence: seq, From: m.member(), ConfigVersion: m.config, Members: []wire.Member{p.Target}}
	return []Envelope{{To: p.Target.VM(), Message: ping}}
}

// maxRelays bounds the pings in flight for others.
const maxRelays = 256
