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
	// confirmationTimeout is how long a VM that was paused waits for a peer to reply
	// before it publishes a view. Without a reply it counts as partitioned and
	// serves with the upstreams that it can reach.
	confirmationTimeout = 1500 * time.Millisecond
	// longPause is the length of a pause after which peers may have declared this VM
	// dead. It is below the 3 s that a failed probe and the shortest suspicion timeout
	// of package membership take together.
	longPause = 2500 * time.Millisecond
	// watcherRoleInterval is the interval of updateWatcherRole. Its result changes
	// without a change of membership when a report of a failed watch expires.
	watcherRoleInterval = time.Second
	// watchFailureTTL is how long a VM whose watch of the platform failed is not
	// chosen as a watcher.
	watchFailureTTL = 30 * time.Second
	// earlyReleaseTTL is how long a Release is kept that arrives before this VM
	// knows that it has gained the replica.
	earlyReleaseTTL = 10 * time.Second
)

// state holds the state of the control goroutine. No other goroutine accesses it.
type state struct {
	controller *Controller
	io         *ioRunner
	log        logger
	self       model.VMID
	startedAt  time.Time
	members    *membership.Machine
	config     *confsync.Syncer

	// doc is the configuration in force, nil if there is none.
	doc                *model.Document
	configuredReplicas map[model.ReplicaID]model.Replica
	vms                map[model.VMID]model.VM
	owners             map[model.ReplicaID]model.VMID
	// takeovers holds the takeover of each replica that this VM owns.
	takeovers       map[model.ReplicaID]takeover
	earlyReleases   map[model.ReplicaID]earlyRelease
	replicaStatuses map[model.ReplicaID]model.ReplicaStatus
	// poison and pendingReports are keyed by fingerprint.
	poison         map[uint64]model.PoisonEntry
	pendingReports map[uint64]*pendingReport
	// viewTakeovers is the copy of takeovers that views share.
	viewTakeovers map[model.ReplicaID]model.Takeover
	// excluded holds the reason for each replica that gets no new work.
	excluded map[model.ReplicaID]string

	// membersRevision is the revision of the membership from which vms was read.
	membersRevision uint64
	// viewSeq is the sequence number of the last published view.
	viewSeq uint64
	// lastIterationAt is when the last iteration of the control loop began.
	lastIterationAt time.Time
	// poisonListedAt is when poison was last rebuilt from the ledger.
	poisonListedAt time.Time
	nextVMListRead time.Time
	// watcherRoleUpdatedAt is when updateWatcherRole last ran.
	watcherRoleUpdatedAt time.Time
	vmListReadRunning    bool
	// vmListKnown is true after the first read of the platform's VM list.
	vmListKnown bool
	// watchRevision is the revision after which the next watch starts.
	watchRevision uint64
	// pauseEndedAt is the end of the last pause, zero once a peer has replied.
	pauseEndedAt time.Time
	// lastPingBeforeResume is the sequence of the last ping before the pause ended.
	lastPingBeforeResume uint64
	// ownersDue, replicasDue, poisonDue and viewDue mark what updateView must
	// recompute or publish.
	ownersDue, replicasDue, poisonDue, viewDue bool
}

// logger is the part of logrus.FieldLogger that state uses.
type logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// newState returns the state of a VM that has no configuration and knows only its seeds.
func newState(c *Controller, now time.Time, io *ioRunner) *state {
	s := &state{controller: c, io: io, log: c.log, self: c.cfg.Self.ID, startedAt: now, lastIterationAt: now, nextVMListRead: now}
	s.members = membership.New(membership.Config{Self: c.cfg.Self, Seeds: c.cfg.Seeds, Rng: c.cfg.Rng}, now)
	s.config = confsync.New(confsync.Config{Self: c.cfg.Self, Rng: c.cfg.Rng, Verify: c.cfg.Verify}, now)
	s.takeovers = map[model.ReplicaID]takeover{}
	s.earlyReleases = map[model.ReplicaID]earlyRelease{}
	s.replicaStatuses = map[model.ReplicaID]model.ReplicaStatus{}
	s.poison = map[uint64]model.PoisonEntry{}
	s.pendingReports = map[uint64]*pendingReport{}
	return s
}

// beginIteration begins an iteration of the control loop. It detects a pause before any
// event is handled, because events that waited during the pause are old.
func (s *state) beginIteration(now time.Time) {
	if gap := now.Sub(s.lastIterationAt); gap > model.ViewMaxAge {
		s.handlePause(now, gap)
	}
	s.lastIterationAt = now
}

// tick does the periodic work: gossip and probes, requests for the configuration, reads
// of the VM list and the expiry of records.
func (s *state) tick(now time.Time) {
	s.members.SetConfigVersion(s.config.Version())
	s.sendEnvelopes(s.members.Tick(now), nil)
	s.startConfigRequests(now)
	s.refreshVMList(now)
	s.expireRecords(now)
}

// handlePause reacts to a pause of this VM, whose state may now be old. No view is
// published until a peer replies or confirmationTimeout has passed. After longPause
// other VMs may own the replicas of this VM, so it starts a new takeover of each; the
// previous owner is the one that peers compute when this VM is dead.
func (s *state) handlePause(now time.Time, gap time.Duration) {
	s.log.Warnf("control: paused for %v, no view is published until a peer replies or %v have passed",
		gap, confirmationTimeout)
	s.pauseEndedAt = now
	s.lastPingBeforeResume = s.members.LastPingSequence()
	if gap < longPause {
		return
	}
	if s.doc == nil {
		return
	}
	others := s.ownersWithoutSelf()
	for r := range s.takeovers {
		s.takeovers[r] = takeover{since: now, previousOwner: others[r]}
	}
	s.ownersDue = true
}

// endPauseWait lets views be published again after a pause, if the acknowledged ping
// was sent after the pause.
func (s *state) endPauseWait(sequence uint64) {
	if sequence > s.lastPingBeforeResume {
		s.pauseEndedAt = time.Time{}
	}
}

// waitsForPeer reports whether no view may be published because of a pause.
func (s *state) waitsForPeer(now time.Time) bool {
	return !s.pauseEndedAt.IsZero() && now.Sub(s.pauseEndedAt) < confirmationTimeout && s.members.Joined() && len(s.vms) > 1
}

// expireRecords drops old records, and renews the poison entries of the view and the
// watcher role at their intervals.
func (s *state) expireRecords(now time.Time) {
	maps.DeleteFunc(s.earlyReleases, func(_ model.ReplicaID, e earlyRelease) bool { return now.Sub(e.at) > earlyReleaseTTL })
	maps.DeleteFunc(s.pendingReports, func(_ uint64, p *pendingReport) bool { return now.Sub(p.at) > pendingReportTTL })
	if now.Sub(s.poisonListedAt) >= poisonListInterval {
		s.poisonDue = true
	}
	if now.Sub(s.watcherRoleUpdatedAt) >= watcherRoleInterval {
		s.updateWatcherRole(now)
	}
}

// sendEnvelopes sends messages. Those that answer a received message are sent with
// reply.
func (s *state) sendEnvelopes(list []membership.Envelope, reply func(wire.Message) error) {
	for _, e := range list {
		s.io.send(e, reply)
	}
}

// receive handles a message of a peer. Messages whose case does not return are also
// passed to the membership.
func (s *state) receive(now time.Time, e messageReceived) {
	switch m := e.message.(type) {
	case *wire.Ping:
		s.config.HandleAnnouncement(e.from, m.ConfigVersion)
	case *wire.Ack:
		s.config.HandleAnnouncement(e.from, m.ConfigVersion)
		s.endPauseWait(m.Sequence)
	case *wire.SyncRequest:
		s.config.HandleAnnouncement(e.from, m.ConfigVersion)
	case *wire.SyncReply:
		s.config.HandleAnnouncement(e.from, m.ConfigVersion)
	case *wire.ConfigRequest:
		s.reply(e, s.config.Serve(m))
		return
	case *wire.ConfigReply:
		s.config.HandlePeerReply(now, e.from, m)
		s.startConfigRequests(now)
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
	s.sendEnvelopes(s.members.Receive(now, e.from, e.message), e.reply)
	s.mergeGossip(now)
	s.startConfigRequests(now)
}

// reply sends a message on the connection that e came on.
func (s *state) reply(e messageReceived, m wire.Message) {
	s.io.send(membership.Envelope{To: s.vms[e.from], Message: m, Reply: true}, e.reply)
}

// mergeGossip applies the gossip items that have changed. Items that cannot be
// decoded are ignored.
func (s *state) mergeGossip(now time.Time) {
	for _, it := range s.members.TakeChangedItems() {
		switch it.Kind {
		case wire.ReplicaItem:
			var r model.ReplicaStatus
			if msgpack.Unmarshal(it.Payload, &r) == nil && string(r.Replica) == it.Key {
				s.setReplicaStatus(r)
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

// observeReplica gossips the state in which this VM observed a replica if it has
// changed.
func (s *state) observeReplica(now time.Time, r model.ReplicaStatus) {
	if old, ok := s.replicaStatuses[r.Replica]; ok && equalStatus(old, r) {
		return
	}
	payload, err := msgpack.Marshal(&r)
	if err != nil {
		s.log.Warnf("control: status of replica %s is not published, encoding failed: %v", r.Replica, err)
		return
	}
	s.members.PublishItem(now, wire.ReplicaItem, string(r.Replica), payload, 0)
	s.setReplicaStatus(r)
}

// setReplicaStatus sets a status in a copy of the map, because published views share
// the map. One copy serves all changes until the next view.
func (s *state) setReplicaStatus(r model.ReplicaStatus) {
	if !s.replicasDue {
		s.replicaStatuses = maps.Clone(s.replicaStatuses)
		s.replicasDue = true
	}
	s.replicaStatuses[r.Replica] = r
}

// equalStatus reports whether two statuses of one replica are the same.
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
