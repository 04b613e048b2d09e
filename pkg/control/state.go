package control

import (
	"maps"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// confirmWait is how long a VM that was paused waits for a peer to answer
	// before it publishes a view. Without an answer it is cut off and serves
	// with what it can reach.
	confirmWait = 1500 * time.Millisecond
	// overtakenAfter is the length of a pause after which peers can have
	// declared this VM dead: a failed probe and the shortest suspicion.
	overtakenAfter = 2500 * time.Millisecond
	// watchersRefresh is the interval of choosing the watchers again, because
	// reports of failing watches expire.
	watchersRefresh = time.Second
	// failingTTL is how long a VM that failed to watch the platform is passed
	// over. Then it tries again.
	failingTTL = 30 * time.Second
	// earlyRelease is how long a Release that arrives before this VM knows
	// that it gained the replica is kept.
	earlyRelease = 10 * time.Second
)

// state is owned by the control goroutine.
type state struct {
	c       *Controller
	io      *ioRunner
	log     logger
	self    model.VMID
	started time.Time
	members *membership.Machine
	config  *confsync.Syncer

	doc       *model.Document
	known     map[model.ReplicaID]model.Replica
	vms       map[model.VMID]model.VM
	owners    map[model.ReplicaID]model.VMID
	takeovers map[model.ReplicaID]takeover
	early     map[model.ReplicaID]early
	replicas  map[model.ReplicaID]model.ReplicaStatus
	poison    map[uint64]model.PoisonEntry
	spreads   map[uint64]*spread
	gained    map[model.ReplicaID]model.Takeover
	excluded  map[model.ReplicaID]string

	revision   uint64
	seq        uint64
	lastTurn   time.Time
	lastPoison time.Time
	nextVMs    time.Time
	// lastWatchers is when the watchers were chosen last.
	lastWatchers time.Time
	vmsRunning   bool
	// vmsKnown is true after the platform's VM list was read once.
	vmsKnown    bool
	watchFrom   uint64
	confirmFrom time.Time
	// confirmSeq is the sequence of the last ping before the pause ended.
	confirmSeq uint64
	// ownersDue, replicasDue, poisonDue and dirty mark what settle must redo.
	ownersDue, replicasDue, poisonDue, dirty bool
}

type logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

func newState(c *Controller, now time.Time, io *ioRunner) *state {
	s := &state{c: c, io: io, log: c.log, self: c.cfg.Self.ID, started: now, lastTurn: now, nextVMs: now}
	s.members = membership.New(membership.Config{Self: c.cfg.Self, Seeds: c.cfg.Seeds, Rng: c.cfg.Rng}, now)
	s.config = confsync.New(confsync.Config{Self: c.cfg.Self, Rng: c.cfg.Rng, Verify: c.cfg.Verify}, now)
	s.takeovers = map[model.ReplicaID]takeover{}
	s.early = map[model.ReplicaID]early{}
	s.replicas = map[model.ReplicaID]model.ReplicaStatus{}
	s.poison = map[uint64]model.PoisonEntry{}
	s.spreads = map[uint64]*spread{}
	return s
}

// wake starts a turn of the control goroutine. It detects a pause before any
// event is applied, because events that waited during the pause are old.
func (s *state) wake(now time.Time) {
	if gap := now.Sub(s.lastTurn); gap > model.ViewMaxAge {
		s.resume(now, gap)
	}
	s.lastTurn = now
}

// tick advances all timers.
func (s *state) tick(now time.Time) {
	s.members.SetConfigVersion(s.config.Version())
	s.sendAll(s.members.Tick(now), nil)
	s.request(now)
	s.refreshVMs(now)
	s.expire(now)
}

// resume handles a pause of this VM. Its knowledge may be old, so no view is
// published until a peer has answered. After a long pause others may have
// taken its replicas, so it takes them over anew.
func (s *state) resume(now time.Time, gap time.Duration) {
	s.log.Warnf("control: paused for %v, waiting for a peer", gap)
	s.confirmFrom = now
	s.confirmSeq = s.members.LastPingSequence()
	if gap < overtakenAfter {
		return
	}
	if s.doc == nil {
		return
	}
	others := s.ownersWithoutSelf()
	for r := range s.takeovers {
		s.takeovers[r] = takeover{since: now, from: others[r]}
	}
	s.ownersDue = true
}

// confirm ends the wait after a pause when a ping sent after it is answered.
func (s *state) confirm(sequence uint64) {
	if sequence > s.confirmSeq {
		s.confirmFrom = time.Time{}
	}
}

func (s *state) waitsForPeer(now time.Time) bool {
	return !s.confirmFrom.IsZero() && now.Sub(s.confirmFrom) < confirmWait && s.members.Joined() && len(s.vms) > 1
}

func (s *state) expire(now time.Time) {
	maps.DeleteFunc(s.early, func(_ model.ReplicaID, e early) bool { return now.Sub(e.at) > earlyRelease })
	maps.DeleteFunc(s.spreads, func(_ uint64, p *spread) bool { return now.Sub(p.at) > spreadKeep })
	if now.Sub(s.lastPoison) >= poisonRefresh {
		s.poisonDue = true
	}
	if now.Sub(s.lastWatchers) >= watchersRefresh {
		s.chooseWatchers(now)
	}
}

func (s *state) sendAll(list []membership.Envelope, reply func(wire.Message) error) {
	for _, e := range list {
		s.io.send(e, reply)
	}
}

// receive handles a message of a peer.
func (s *state) receive(now time.Time, e received) {
	switch m := e.message.(type) {
	case *wire.Ping:
		s.config.HandleAnnouncement(e.from, m.ConfigVersion)
	case *wire.Ack:
		s.config.HandleAnnouncement(e.from, m.ConfigVersion)
		s.confirm(m.Sequence)
	case *wire.SyncRequest:
		s.config.HandleAnnouncement(e.from, m.ConfigVersion)
	case *wire.SyncReply:
		s.config.HandleAnnouncement(e.from, m.ConfigVersion)
	case *wire.ConfigRequest:
		s.reply(e, s.config.Serve(m))
		return
	case *wire.ConfigReply:
		s.config.HandlePeerReply(now, e.from, m)
		s.request(now)
		return
	case *wire.Release:
		s.receiveRelease(now, e.from, m)
		return
	case *wire.PoisonReport:
		s.receivePoison(now, e, m)
		return
	case *wire.PoisonAck:
		s.receivePoisonAck(e.from, m)
		return
	}
	s.sendAll(s.members.Receive(now, e.from, e.message), e.reply)
	s.takeItems(now)
	s.request(now)
}

func (s *state) reply(e received, m wire.Message) {
	s.io.send(membership.Envelope{To: s.vms[e.from], Message: m, Reply: true}, e.reply)
}

// takeItems merges what gossip changed.
func (s *state) takeItems(now time.Time) {
	for _, it := range s.members.TakeChangedItems() {
		switch it.Kind {
		case wire.ReplicaItem:
			var r model.ReplicaStatus
			if msgpack.Unmarshal(it.Payload, &r) == nil && string(r.Replica) == it.Key {
				s.setReplica(r)
			}
		case wire.PoisonItem:
			var e model.PoisonEntry
			if msgpack.Unmarshal(it.Payload, &e) == nil {
				e.TTL = it.TTL
				s.mergePoison(now, e)
			}
		}
	}
}

// observe publishes what this VM saw of a replica when it is new.
func (s *state) observe(now time.Time, r model.ReplicaStatus) {
	if old, ok := s.replicas[r.Replica]; ok && equalStatus(old, r) {
		return
	}
	payload, err := msgpack.Marshal(&r)
	if err != nil {
		s.log.Warnf("control: status of %s cannot be encoded: %v", r.Replica, err)
		return
	}
	s.members.PublishItem(now, wire.ReplicaItem, string(r.Replica), payload, 0)
	s.setReplica(r)
}

// setReplica changes the map by copy, because published views share it.
func (s *state) setReplica(r model.ReplicaStatus) {
	if !s.replicasDue {
		s.replicas = maps.Clone(s.replicas)
		s.replicasDue = true
	}
	s.replicas[r.Replica] = r
}

func equalStatus(a, b model.ReplicaStatus) bool {
	if a.Instance != b.Instance || a.Draining != b.Draining || a.Down != b.Down || len(a.Snapshots) != len(b.Snapshots) {
		return false
	}
	for i := range a.Snapshots {
		if a.Snapshots[i] != b.Snapshots[i] {
			return false
		}
	}
	return true
}
