// Package membership is the SWIM-style membership protocol of the tier as a
// pure state machine. It takes events with their time and returns messages to
// send; it does no I/O and starts no goroutine.
package membership

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// TickInterval is the interval at which the caller calls Tick.
	TickInterval = 100 * time.Millisecond
	// ProbeInterval is the time between two probes.
	ProbeInterval = 500 * time.Millisecond
	// ackTimeout is the wait before a ping is repeated on a fresh connection,
	// and again before others are asked.
	ackTimeout = 300 * time.Millisecond
	// probeTimeout is the age at which a probe has failed.
	probeTimeout = time.Second
	// indirectPeers is the number of VMs asked to ping for us.
	indirectPeers = 3
	// suspicionBase is multiplied by log10 of the number of live VMs, because
	// a refutation needs more gossip rounds in a larger fleet.
	suspicionBase = 2 * time.Second
	// pauseLimit is the gap between two ticks that counts as a pause. Timers
	// that expired during a pause say nothing about peers.
	pauseLimit = time.Second
	// deadRetention is how long a dead VM is remembered and tried again. It
	// is above the hour for which regions are partitioned.
	deadRetention = 2 * time.Hour
	// sweepEvery is the interval of removing expired entries.
	sweepEvery = time.Second
)

// Envelope is a message to send. Reply asks for the connection that the
// received message came on; Fresh asks for a new connection.
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
	// InitialMembers holds VMs that are members already. They are not gossiped, as in
	// a fleet that has been running for long; simulations use it.
	InitialMembers []model.VM
}

// record is what is known of one other VM.
type record struct {
	vm model.VM
	// deadline is when a suspect or unresponsive leaving VM is declared dead.
	deadline time.Time
	// since is when the VM was declared dead.
	since time.Time
}

// Machine is the membership state of one VM. It is not safe for concurrent use.
type Machine struct {
	self    model.VM
	rng     *rand.Rand
	records map[model.VMID]*record
	// live counts the records that are not dead, Self excluded.
	live  int
	seeds map[model.VMID]model.VM
	items map[itemKey]*storedItem
	// memberQueue and itemQueue hold the updates to gossip.
	memberQueue, itemQueue queue
	// doubtful holds the records with a deadline.
	doubtful map[model.VMID]bool
	// challenges holds claims that a VM is dead which this VM holds as live.
	// The VM is pinged with the claim, so that it can refute it.
	challenges map[model.VMID]wire.Member

	sequence  uint64
	probes    map[uint64]*probe
	relays    map[uint64]relay
	order     []model.VMID
	config    uint64
	revision  uint64
	changed   map[itemKey]bool
	joined    bool
	lastTick  time.Time
	nextProbe time.Time
	nextSync  time.Time
	nextSweep time.Time
}

// New returns a Machine that knows only itself and its seeds.
func New(c Config, now time.Time) *Machine {
	m := &Machine{
		self: c.Self, rng: c.Rng,
		records: map[model.VMID]*record{}, seeds: map[model.VMID]model.VM{},
		items: map[itemKey]*storedItem{}, doubtful: map[model.VMID]bool{},
		challenges: map[model.VMID]wire.Member{},
		probes:     map[uint64]*probe{}, relays: map[uint64]relay{}, changed: map[itemKey]bool{},
		lastTick: now, nextProbe: now, nextSync: now, nextSweep: now,
	}
	m.memberQueue.init()
	m.itemQueue.init()
	m.SetSeeds(now, c.Seeds)
	m.know(c.InitialMembers)
	m.announceSelf()
	return m
}

// know stores members without an update to gossip.
func (m *Machine) know(vms []model.VM) {
	for _, v := range vms {
		if v.ID == m.self.ID {
			continue
		}
		m.records[v.ID] = &record{vm: v}
		m.live += alive(v)
		m.order = append(m.order, v.ID)
		m.joined = true
	}
	m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
}

// Self returns this VM with its current state and incarnation.
func (m *Machine) Self() model.VM { return m.self }

// LastPingSequence returns the sequence of the last ping.
func (m *Machine) LastPingSequence() uint64 { return m.sequence }

// Revision changes whenever VMs changes.
func (m *Machine) Revision() uint64 { return m.revision }

// Joined reports whether a peer has answered a state exchange, or whether
// there is no seed to ask.
func (m *Machine) Joined() bool { return m.joined || len(m.seeds) == 0 }

// VMs returns a copy of all known VMs, Self included.
func (m *Machine) VMs() map[model.VMID]model.VM {
	vms := make(map[model.VMID]model.VM, len(m.records)+1)
	for id, r := range m.records {
		vms[id] = r.vm
	}
	vms[m.self.ID] = m.self
	return vms
}

// SetConfigVersion sets the version announced in pings and acks.
func (m *Machine) SetConfigVersion(v uint64) { m.config = v }

// SetSeeds takes the platform's VM list, which may lag. It gives addresses to try
// and confirms that a suspect VM is leaving; it never declares a VM dead.
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
			m.store(now, w)
		}
	}
}

// Leave announces that this VM is leaving and returns messages to all live
// peers, because the announcement must not wait for gossip.
func (m *Machine) Leave(time.Time) []Envelope {
	if m.self.State != model.Leaving {
		m.self.State = model.Leaving
		m.revision++
		m.announceSelf()
	}
	var out []Envelope
	live := m.ids(notDead)
	for _, id := range live[:min(len(live), leaveFanout)] {
		out = append(out, Envelope{To: m.records[id].vm, Message: m.ping(m.newSequence(), id)})
	}
	return out
}

// leaveFanout bounds the direct announcements of Leave; gossip does the rest.
const leaveFanout = 256

// Tick advances timers and returns the messages that are due.
func (m *Machine) Tick(now time.Time) []Envelope {
	if gap := now.Sub(m.lastTick); gap > pauseLimit {
		m.resume(now, gap)
	}
	m.lastTick = now
	m.expire(now)
	out := m.advanceProbes(now)
	out = append(out, m.challenge(now)...)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(ProbeInterval)
		out = append(out, m.startProbe(now)...)
	}
	if !now.Before(m.nextSync) {
		out = append(out, m.startSync(now)...)
	}
	return out
}

// resume forgets probes that a pause of this VM made late and extends
// suspicions by its length.
func (m *Machine) resume(now time.Time, gap time.Duration) {
	clear(m.probes)
	clear(m.relays)
	for id := range m.doubtful {
		r := m.records[id]
		r.deadline = r.deadline.Add(gap)
	}
	m.nextProbe = now
	m.nextSync = now
}

// expire declares VMs dead whose deadline has passed and removes old entries.
func (m *Machine) expire(now time.Time) {
	for _, id := range sortedKeys(m.doubtful) {
		r := m.records[id]
		if now.Before(r.deadline) {
			continue
		}
		w := r.vm
		w.State = model.Dead
		m.store(now, w)
	}
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(sweepEvery)
	for id, r := range m.records {
		if r.vm.State == model.Dead && now.Sub(r.since) > deadRetention {
			delete(m.records, id)
			m.revision++
		}
	}
	m.expireItems(now)
	for seq, r := range m.relays {
		if now.Sub(r.at) > probeTimeout {
			delete(m.relays, seq)
		}
	}
}

func (m *Machine) suspicion() time.Duration {
	scale := max(1, math.Log10(float64(m.live+1)))
	return time.Duration(float64(suspicionBase) * scale)
}

func (m *Machine) newSequence() uint64 {
	m.sequence++
	return m.sequence
}

func (m *Machine) member() wire.Member { return wire.MemberOf(m.self) }

func (m *Machine) announceSelf() { m.memberQueue.add(updateKey{vm: m.self.ID}) }
