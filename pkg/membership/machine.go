// Package membership implements the SWIM-style membership protocol of the tier as a
// pure state machine. It takes events with their time and returns the messages to
// send; it performs no I/O and starts no goroutines.
package membership

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// TickInterval is the interval at which the caller must call Tick.
	TickInterval = 100 * time.Millisecond
	// ProbeInterval is the time between the starts of two probes.
	ProbeInterval = 500 * time.Millisecond
	// ackTimeout is how long an ack is awaited before the ping is repeated on a new
	// connection, and then again before other VMs are asked to ping.
	ackTimeout = 300 * time.Millisecond
	// probeTimeout is the time after which an unanswered probe has failed.
	probeTimeout = time.Second
	// requestFanout is the number of VMs that are asked to ping an unresponsive VM,
	// and the number of VMs that one attempt to reconnect tries.
	requestFanout = 3
	// suspicionBase times log10 of the number of live VMs is how long a VM stays
	// suspect, because a refutation needs more gossip rounds in a larger fleet.
	suspicionBase = 2 * time.Second
	// minPause is the time between two ticks above which this VM counts as paused.
	// Timers that expired during a pause say nothing about the peers.
	minPause = time.Second
	// deadRetention is how long a dead VM is kept and contacted again. It exceeds the
	// hour for which regions can be partitioned.
	deadRetention = 2 * time.Hour
	// sweepInterval is the interval at which expired entries are removed.
	sweepInterval = time.Second
)

// Envelope is a message to send. Reply requests the connection on which the message
// that it answers arrived; NewConnection requests a new connection.
type Envelope struct {
	To            model.VM
	Message       wire.Message
	Reply         bool
	NewConnection bool
}

// Config holds what a Machine needs. Self.Incarnation should grow from one
// start of the process to the next.
type Config struct {
	Self  model.VM
	Seeds []model.VM
	Rng   *rand.Rand
	// InitialMembers holds VMs that are members from the start and are not gossiped,
	// as in a fleet that has run for a long time. Only simulations use it.
	InitialMembers []model.VM
}

// record holds the state of one other VM.
type record struct {
	vm model.VM
	// suspicionDeadline is when a VM that is suspect, or leaving and unresponsive, is
	// declared dead.
	suspicionDeadline time.Time
	// deadSince is when the VM was declared dead.
	deadSince time.Time
}

// Machine is the membership state of one VM. It is not safe for concurrent use.
type Machine struct {
	self    model.VM
	rng     *rand.Rand
	records map[model.VMID]*record
	// liveCount is the number of records that are not dead. It excludes this VM.
	liveCount int
	seeds     map[model.VMID]model.VM
	items     map[itemKey]*storedItem
	// memberQueue and itemQueue hold the updates to gossip.
	memberQueue, itemQueue updateQueue
	// unresponsive holds the VMs with a suspicionDeadline.
	unresponsive map[model.VMID]bool
	// deathClaims holds records of peers that declare a VM dead which is live here.
	// The VM is pinged with the record, so that it can refute it.
	deathClaims map[model.VMID]wire.Member

	pingSequence uint64
	// probes and relays are keyed by the sequence of the ping.
	probes map[uint64]*probe
	relays map[uint64]relay
	// probeOrder holds the rest of the current probe round; the last one is next.
	probeOrder    []model.VMID
	configVersion uint64
	revision      uint64
	changedItems  map[itemKey]bool
	joined        bool
	lastTickAt    time.Time
	nextProbeAt   time.Time
	nextSyncAt    time.Time
	nextSweepAt   time.Time
}

// New returns a Machine that knows itself, its seeds and its initial members.
func New(c Config, now time.Time) *Machine {
	m := &Machine{
		self: c.Self, rng: c.Rng,
		records: map[model.VMID]*record{}, seeds: map[model.VMID]model.VM{},
		items: map[itemKey]*storedItem{}, unresponsive: map[model.VMID]bool{},
		deathClaims: map[model.VMID]wire.Member{},
		probes:      map[uint64]*probe{}, relays: map[uint64]relay{}, changedItems: map[itemKey]bool{},
		lastTickAt: now, nextProbeAt: now, nextSyncAt: now, nextSweepAt: now,
	}
	m.memberQueue.init()
	m.itemQueue.init()
	m.SetSeeds(now, c.Seeds)
	m.addInitialMembers(c.InitialMembers)
	m.queueSelfUpdate()
	return m
}

// addInitialMembers stores members without queueing updates to gossip.
func (m *Machine) addInitialMembers(vms []model.VM) {
	for _, v := range vms {
		if v.ID == m.self.ID {
			continue
		}
		m.records[v.ID] = &record{vm: v}
		m.liveCount += countLive(v)
		m.probeOrder = append(m.probeOrder, v.ID)
		m.joined = true
	}
	m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
}

// Self returns this VM with its current state and incarnation.
func (m *Machine) Self() model.VM { return m.self }

// LastPingSequence returns the sequence number of the last ping.
func (m *Machine) LastPingSequence() uint64 { return m.pingSequence }

// Revision returns a number that grows whenever the result of VMs changes.
func (m *Machine) Revision() uint64 { return m.revision }

// Joined reports whether this VM has received the complete state of a peer, or has no
// seed to ask for it.
func (m *Machine) Joined() bool { return m.joined || len(m.seeds) == 0 }

// VMs returns a copy of all known VMs, including this one.
func (m *Machine) VMs() map[model.VMID]model.VM {
	vms := make(map[model.VMID]model.VM, len(m.records)+1)
	for id, r := range m.records {
		vms[id] = r.vm
	}
	vms[m.self.ID] = m.self
	return vms
}

// SetConfigVersion sets the configuration version that is announced in pings and acks.
func (m *Machine) SetConfigVersion(v uint64) { m.configVersion = v }

// SetSeeds replaces the seeds by the platform's VM list, which may be out of date. The
// list gives addresses to contact and confirms that a suspect VM is leaving; it never
// causes a VM to be declared dead.
func (m *Machine) SetSeeds(now time.Time, vms []model.VM) {
	m.seeds = map[model.VMID]model.VM{}
	for _, v := range vms {
		if v.ID == m.self.ID {
			continue
		}
		if v.State != model.Leaving {
			m.seeds[v.ID] = v
			continue
		}
		if r := m.records[v.ID]; r != nil && r.vm.State == model.Suspect {
			w := r.vm
			w.State = model.Leaving
			m.storeMember(now, w)
		}
	}
}

// Leave marks this VM as leaving and returns messages that tell up to
// maxLeaveMessages live peers directly, because gossip would take longer.
func (m *Machine) Leave(time.Time) []Envelope {
	if m.self.State != model.Leaving {
		m.self.State = model.Leaving
		m.revision++
		m.queueSelfUpdate()
	}
	var out []Envelope
	live := m.sortedIDs(notDead)
	for _, id := range live[:min(len(live), maxLeaveMessages)] {
		out = append(out, Envelope{To: m.records[id].vm, Message: m.ping(m.nextPingSequence(), id)})
	}
	return out
}

// maxLeaveMessages limits the peers that Leave tells directly; gossip reaches the others.
const maxLeaveMessages = 256

// Tick processes the timers that have expired and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Envelope {
	if pause := now.Sub(m.lastTickAt); pause > minPause {
		m.resumeAfterPause(now, pause)
	}
	m.lastTickAt = now
	m.processTimeouts(now)
	out := m.advanceProbes(now)
	out = append(out, m.checkDeathClaims(now)...)
	if !now.Before(m.nextProbeAt) {
		m.nextProbeAt = now.Add(ProbeInterval)
		out = append(out, m.startProbe(now)...)
	}
	if !now.Before(m.nextSyncAt) {
		out = append(out, m.startSync(now)...)
	}
	return out
}

// resumeAfterPause drops the probes that were in flight during a pause of this VM and
// extends suspicions by the length of the pause.
func (m *Machine) resumeAfterPause(now time.Time, pause time.Duration) {
	clear(m.probes)
	clear(m.relays)
	for id := range m.unresponsive {
		r := m.records[id]
		r.suspicionDeadline = r.suspicionDeadline.Add(pause)
	}
	m.nextProbeAt = now
	m.nextSyncAt = now
}

// processTimeouts declares VMs dead whose suspicionDeadline has passed, and removes
// expired entries every sweepInterval.
func (m *Machine) processTimeouts(now time.Time) {
	for _, id := range sortedKeys(m.unresponsive) {
		r := m.records[id]
		if now.Before(r.suspicionDeadline) {
			continue
		}
		w := r.vm
		w.State = model.Dead
		m.storeMember(now, w)
	}
	if now.Before(m.nextSweepAt) {
		return
	}
	m.nextSweepAt = now.Add(sweepInterval)
	for id, r := range m.records {
		if r.vm.State == model.Dead && now.Sub(r.deadSince) > deadRetention {
			delete(m.records, id)
			m.revision++
		}
	}
	m.expireItems(now)
	for seq, r := range m.relays {
		if now.Sub(r.startedAt) > probeTimeout {
			delete(m.relays, seq)
		}
	}
}

// suspicionTimeout returns how long a VM is suspect before it is declared dead.
func (m *Machine) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(m.liveCount+1)))
	return time.Duration(float64(suspicionBase) * scale)
}

func (m *Machine) nextPingSequence() uint64 {
	m.pingSequence++
	return m.pingSequence
}

// selfMember returns the record that this VM sends of itself.
func (m *Machine) selfMember() wire.Member { return wire.MemberOf(m.self) }

// queueSelfUpdate queues the state of this VM for gossip.
func (m *Machine) queueSelfUpdate() { m.memberQueue.add(updateKey{vm: m.self.ID}) }
