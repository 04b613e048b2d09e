package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// maxDeathClaimChecksPerTick limits the pings that check deathClaims to 20 per second,
// about 5 KB/s, while a network partition heals.
const maxDeathClaimChecksPerTick = 2

// probe is an unanswered ping. At stage 0 it was sent, at stage 1 it was repeated on a
// new connection, and at stage 2 other VMs were asked to ping the target.
type probe struct {
	target    model.VMID
	startedAt time.Time
	stage     int
}

// relay is a ping that this VM sent at the request of another VM. The sequence is that
// of the request.
type relay struct {
	requester model.VM
	sequence  uint64
	target    model.VMID
	startedAt time.Time
}

// insertProbeTarget inserts a new VM at a random position of the current probe round.
func (m *Machine) insertProbeTarget(id model.VMID) {
	i := m.rng.IntN(len(m.probeOrder) + 1)
	m.probeOrder = slices.Insert(m.probeOrder, i, id)
}

// nextProbeTarget removes the next VM that is not dead from the probe round. Each round
// is a new random permutation of these VMs, so each is probed once per round.
func (m *Machine) nextProbeTarget() (model.VM, bool) {
	for range 2 {
		for len(m.probeOrder) > 0 {
			id := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if r := m.records[id]; r != nil && r.vm.State != model.Dead {
				return r.vm, true
			}
		}
		m.probeOrder = append(m.probeOrder, m.sortedIDs(notDead)...)
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return model.VM{}, false
}

func notDead(v model.VM) bool { return v.State != model.Dead }

// sortedIDs returns the matching VMs in ascending order. The order of the map would
// make runs with the same random seed differ.
func (m *Machine) sortedIDs(match func(model.VM) bool) []model.VMID {
	var list []model.VMID
	for id, r := range m.records {
		if match(r.vm) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// startProbe returns the ping to the next VM of the probe round.
func (m *Machine) startProbe(now time.Time) []Envelope {
	to, ok := m.nextProbeTarget()
	if !ok {
		return nil
	}
	return []Envelope{m.newProbe(now, to)}
}

// newProbe registers a probe and returns its ping, which carries the given claims.
func (m *Machine) newProbe(now time.Time, to model.VM, claims ...wire.Member) Envelope {
	seq := m.nextPingSequence()
	m.probes[seq] = &probe{target: to.ID, startedAt: now}
	return Envelope{To: to, Message: m.ping(seq, to.ID, claims...)}
}

// checkDeathClaims pings live VMs that a peer declared dead in a state exchange.
func (m *Machine) checkDeathClaims(now time.Time) []Envelope {
	var out []Envelope
	for _, id := range sortedKeys(m.deathClaims) {
		if len(out) == maxDeathClaimChecksPerTick {
			break
		}
		claim := m.deathClaims[id]
		delete(m.deathClaims, id)
		r := m.records[id]
		if r == nil || r.vm.State == model.Dead {
			continue
		}
		out = append(out, m.newProbe(now, r.vm, claim))
	}
	return out
}

// ping builds a Ping that carries the given claims about the target. If the target is
// not Alive here, this VM's record of it is added. The target can refute all of these.
func (m *Machine) ping(seq uint64, to model.VMID, claims ...wire.Member) *wire.Ping {
	p := &wire.Ping{Sequence: seq, From: m.selfMember(), ConfigVersion: m.configVersion, Members: claims}
	if r := m.records[to]; r != nil && r.vm.State != model.Alive {
		p.Members = append(p.Members, wire.MemberOf(r.vm))
	}
	p.Members, p.Items = m.piggyback(p.From, p.Members)
	return p
}

// advanceProbes moves unanswered probes to their next stage and ends those that failed.
func (m *Machine) advanceProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, seq := range sortedKeys(m.probes) {
		p := m.probes[seq]
		r := m.records[p.target]
		if r == nil || r.vm.State == model.Dead {
			delete(m.probes, seq)
			continue
		}
		age := now.Sub(p.startedAt)
		switch {
		case age >= probeTimeout:
			delete(m.probes, seq)
			m.handleFailedProbe(now, p.target)
		case age >= 2*ackTimeout && p.stage == 1:
			p.stage = 2
			out = append(out, m.requestIndirectPings(seq, r.vm)...)
		case age >= ackTimeout && p.stage == 0:
			p.stage = 1
			out = append(out, Envelope{To: r.vm, Message: m.ping(seq, p.target), NewConnection: true})
		}
	}
	return out
}

func sortedKeys[K cmp.Ordered, V any](entries map[K]V) []K {
	return slices.Sorted(maps.Keys(entries))
}

// requestIndirectPings returns requests to requestFanout random VMs to ping the target.
func (m *Machine) requestIndirectPings(seq uint64, target model.VM) []Envelope {
	others := m.sortedIDs(func(v model.VM) bool { return v.State == model.Alive && v.ID != target.ID })
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []Envelope
	for _, id := range others[:min(len(others), requestFanout)] {
		request := &wire.PingRequest{Sequence: seq, From: m.selfMember(), Target: wire.MemberOf(target)}
		out = append(out, Envelope{To: m.records[id].vm, Message: request})
	}
	return out
}

// Receive handles a message of an authenticated peer and returns the messages to send.
func (m *Machine) Receive(now time.Time, from model.VMID, msg wire.Message) []Envelope {
	switch msg := msg.(type) {
	case *wire.Ping:
		return m.receivePing(now, from, msg)
	case *wire.Ack:
		return m.receiveAck(now, from, msg)
	case *wire.PingRequest:
		return m.receivePingRequest(now, from, msg)
	case *wire.PingResult:
		m.completeProbe(msg.Sequence, msg.Target, msg.Reached)
	case *wire.SyncRequest:
		return m.receiveSyncRequest(now, from, msg)
	case *wire.SyncReply:
		return m.receiveSyncReply(now, from, msg)
	}
	return nil
}

// applyMessage applies the sender's own record and the members and items in its
// message. It returns false if the message names another VM as its sender.
func (m *Machine) applyMessage(now time.Time, from model.VMID, sender wire.Member, members []wire.Member, items []wire.Item, s source) bool {
	if sender.ID != from || from == m.self.ID {
		return false
	}
	m.applyMember(now, sender, fromGossip)
	for _, w := range members {
		m.applyMember(now, w, s)
	}
	for _, it := range items {
		m.applyItem(now, it)
	}
	return true
}

func (m *Machine) receivePing(now time.Time, from model.VMID, p *wire.Ping) []Envelope {
	if !m.applyMessage(now, from, p.From, p.Members, p.Items, fromGossip) {
		return nil
	}
	ack := &wire.Ack{Sequence: p.Sequence, From: m.selfMember(), ConfigVersion: m.configVersion}
	ack.Members, ack.Items = m.piggyback(ack.From, m.correction(p.From))
	return []Envelope{{To: p.From.VM(), Message: ack, Reply: true}}
}

func (m *Machine) receiveAck(now time.Time, from model.VMID, a *wire.Ack) []Envelope {
	if !m.applyMessage(now, from, a.From, a.Members, a.Items, fromGossip) {
		return nil
	}
	m.completeProbe(a.Sequence, from, true)
	r, ok := m.relays[a.Sequence]
	if !ok || r.target != from {
		return nil
	}
	delete(m.relays, a.Sequence)
	result := &wire.PingResult{Sequence: r.sequence, Target: from, Reached: true}
	return []Envelope{{To: r.requester, Message: result}}
}

// completeProbe ends the probe of the given sequence if its target was reached.
func (m *Machine) completeProbe(seq uint64, target model.VMID, reached bool) {
	if p := m.probes[seq]; p != nil && p.target == target && reached {
		delete(m.probes, seq)
		m.clearLeavingSuspicion(target)
	}
}

func (m *Machine) receivePingRequest(now time.Time, from model.VMID, p *wire.PingRequest) []Envelope {
	if !m.applyMessage(now, from, p.From, nil, nil, fromGossip) || len(m.relays) >= maxRelays {
		return nil
	}
	seq := m.nextPingSequence()
	m.relays[seq] = relay{requester: p.From.VM(), sequence: p.Sequence, target: p.Target.ID, startedAt: now}
	// The ping carries the requester's record of the target, which may say that it is
	// suspect, so that the target can refute it.
	ping := &wire.Ping{Sequence: seq, From: m.selfMember(), ConfigVersion: m.configVersion, Members: []wire.Member{p.Target}}
	return []Envelope{{To: p.Target.VM(), Message: ping}}
}

// maxRelays limits the pings in flight that other VMs requested.
const maxRelays = 256
