// Package confsync keeps the configuration of one VM at the newest published
// version. It is pure logic: it takes announcements and answers, all of which
// may be stale, lost, repeated or out of order, and returns requests to make.
package confsync

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// ChunkBytes is the size of a part of a section in bytes. With the
	// manifest it fits a control frame.
	ChunkBytes = 32 << 10
	// MaxSectionBytes bounds a section in bytes; the platform stores no larger values.
	MaxSectionBytes = 1 << 20
	// giveUpAfter is above the time in which each kind of source has failed once.
	giveUpAfter = 10 * time.Second
	// rejectFor is how long a version that could not be joined is not fetched again.
	rejectFor = 10 * time.Second
)

// Manifest names the sections of one version of the configuration.
type Manifest struct {
	Version  uint64            `json:"version"`
	Sections map[string]string `json:"sections"`
}

// RequestKind tells what a Request asks for.
type RequestKind uint8

// Kinds of requests.
const (
	// AskPeer sends Message to the VM To.
	AskPeer RequestKind = iota
	// ReadManifest reads the manifest from the platform.
	ReadManifest
	// ReadSection reads section Name with hash Hash from the platform.
	ReadSection
	// Watch waits for a change of the manifest in the platform.
	Watch
)

// Request is one thing to ask a peer or the platform for.
type Request struct {
	Kind    RequestKind
	To      model.VMID
	Message *wire.ConfigRequest
	Name    string
	Hash    string
}

// Config holds what a Syncer needs. Verify is optional and reports whether a
// body has the given hash.
type Config struct {
	Self   model.VM
	Rng    *rand.Rand
	Verify func(hash string, body []byte) bool
}

// Syncer is the configuration state of one VM. It is not safe for concurrent use.
type Syncer struct {
	self    model.VM
	rng     *rand.Rand
	verify  func(hash string, body []byte) bool
	current Manifest
	// pending is a newer manifest whose sections are being fetched.
	pending Manifest
	// progress is when a part of pending last arrived.
	progress time.Time
	// bodies holds complete sections of current and pending by hash.
	bodies map[string][]byte
	// partial holds the parts of sections that have arrived from the start.
	partial map[string][]byte
	// announced holds the version each live peer named last.
	announced map[model.VMID]uint64
	rejected  map[uint64]time.Time
	flights   map[string]flight
	watcher   bool
	watch     watchState
	nextPoll  time.Time
	// rechecks is the number of short polls that remain after a change that
	// the platform reported but did not return yet.
	rechecks int
}

// New returns a Syncer without a configuration.
func New(c Config, now time.Time) *Syncer {
	s := &Syncer{self: c.Self, rng: c.Rng, verify: c.Verify, nextPoll: now}
	if s.verify == nil {
		s.verify = func(string, []byte) bool { return true }
	}
	s.bodies = map[string][]byte{}
	s.partial = map[string][]byte{}
	s.announced = map[model.VMID]uint64{}
	s.rejected = map[uint64]time.Time{}
	s.flights = map[string]flight{}
	return s
}

// Version returns the version in force, 0 without one.
func (s *Syncer) Version() uint64 { return s.current.Version }

// Current returns the manifest in force.
func (s *Syncer) Current() Manifest { return s.current }

// Section returns the body of a section of the manifest in force or pending.
func (s *Syncer) Section(hash string) ([]byte, bool) {
	b, ok := s.bodies[hash]
	return b, ok
}

// Behind reports whether a newer version than the one in force is known.
func (s *Syncer) Behind() bool { return s.highest() > s.current.Version }

// HandleAnnouncement takes the version that a live peer says it has in force.
func (s *Syncer) HandleAnnouncement(from model.VMID, version uint64) {
	if from != s.self.ID {
		s.announced[from] = version
	}
}

// SetVMs takes the current membership. It forgets announcements of VMs that
// are gone and decides whether this VM watches the platform. failing tells
// which VMs are known to be unable to.
func (s *Syncer) SetVMs(vms map[model.VMID]model.VM, failing func(model.VMID) bool) {
	maps.DeleteFunc(s.announced, func(id model.VMID, _ uint64) bool {
		v, ok := vms[id]
		return !ok || v.State == model.Dead
	})
	s.watcher = isWatcher(s.self, vms, failing)
}

// offer takes a manifest from any source and reports whether it is newer
// than all known ones. A lower version never replaces a higher one.
func (s *Syncer) offer(now time.Time, m Manifest) bool {
	if m.Version <= s.current.Version || m.Version <= s.pending.Version {
		return false
	}
	if until, ok := s.rejected[m.Version]; ok && now.Before(until) {
		return false
	}
	s.pending = Manifest{Version: m.Version, Sections: maps.Clone(m.Sections)}
	s.rechecks = 0
	s.progress = now
	s.prune()
	return true
}

// prune drops sections that neither manifest names.
func (s *Syncer) prune() {
	unused := func(hash string, _ []byte) bool { return !names(s.current, hash) && !names(s.pending, hash) }
	maps.DeleteFunc(s.bodies, unused)
	maps.DeleteFunc(s.partial, unused)
	maps.DeleteFunc(s.flights, func(key string, _ flight) bool { return key != manifestKey && unused(key, nil) })
}

func names(m Manifest, hash string) bool {
	for _, h := range m.Sections {
		if h == hash {
			return true
		}
	}
	return false
}

// store takes the complete body of a wanted section.
func (s *Syncer) store(hash string, body []byte) {
	delete(s.flights, hash)
	delete(s.partial, hash)
	if names(s.pending, hash) && s.verify(hash, body) {
		s.bodies[hash] = body
	}
}

// WatchFailed reports whether the last watch of this VM failed.
func (s *Syncer) WatchFailed() bool { return s.watch.failed }

// Ready returns the pending manifest when all its sections are present. The
// caller joins them and then calls Adopt or Reject.
func (s *Syncer) Ready() (Manifest, bool) {
	if s.pending.Version == 0 {
		return Manifest{}, false
	}
	for _, h := range s.pending.Sections {
		if _, ok := s.bodies[h]; !ok {
			return Manifest{}, false
		}
	}
	return s.pending, true
}

// Adopt puts the pending manifest in force.
func (s *Syncer) Adopt() {
	s.current = s.pending
	s.pending = Manifest{}
	s.prune()
}

// Reject drops the pending manifest and its sections for some time.
func (s *Syncer) Reject(now time.Time) {
	s.rejected[s.pending.Version] = now.Add(rejectFor)
	s.pending = Manifest{}
	s.prune()
}

// HandlePeerReply takes an answer of a peer.
func (s *Syncer) HandlePeerReply(now time.Time, from model.VMID, r *wire.ConfigReply) {
	s.HandleAnnouncement(from, r.Version)
	delete(s.flights, manifestKey)
	s.offer(now, Manifest{Version: r.Version, Sections: r.Sections})
	if r.Section == "" || !names(s.pending, r.Section) || s.bodies[r.Section] != nil {
		return
	}
	if r.Total < 0 || r.Total > MaxSectionBytes {
		return
	}
	// A part is used only if it continues what has arrived. Sections are
	// content-addressed, so parts from several peers fit together.
	have := s.partial[r.Section]
	if r.Offset != len(have) || len(have)+len(r.Body) > r.Total {
		return
	}
	delete(s.flights, r.Section)
	s.progress = now
	have = append(have, r.Body...)
	if len(have) < r.Total {
		s.partial[r.Section] = have
		return
	}
	s.store(r.Section, have)
}

// Serve answers a peer from the manifest in force.
func (s *Syncer) Serve(q *wire.ConfigRequest) *wire.ConfigReply {
	r := &wire.ConfigReply{Version: s.current.Version, Sections: s.current.Sections}
	body, ok := s.bodies[q.Section]
	if !ok || q.Offset < 0 || q.Offset > len(body) {
		return r
	}
	r.Section = q.Section
	r.Offset = q.Offset
	r.Total = len(body)
	r.Body = body[q.Offset:min(len(body), q.Offset+ChunkBytes)]
	return r
}

// HandleManifest takes the result of ReadManifest. A failed or stale read
// changes nothing.
func (s *Syncer) HandleManifest(now time.Time, m Manifest, err error) {
	s.failed(manifestKey, err)
	if err != nil {
		return
	}
	delete(s.flights, manifestKey)
	s.offer(now, m)
}

// HandleSection takes the result of ReadSection.
func (s *Syncer) HandleSection(now time.Time, hash string, body []byte, err error) {
	s.failed(hash, err)
	if err == nil {
		s.progress = now
		s.store(hash, body)
	}
}

// giveUp drops a pending manifest whose sections no source delivers while a
// peer holds an older version that is still newer than the one in force. Its
// sections can be out of reach when the platform fails in mid-transfer.
func (s *Syncer) giveUp(now time.Time) {
	if s.pending.Version == 0 || now.Sub(s.progress) < giveUpAfter {
		return
	}
	for _, v := range s.announced {
		if v > s.current.Version && v < s.pending.Version {
			s.Reject(now)
			return
		}
	}
}

// HandleWatchResult takes the result of Watch.
func (s *Syncer) HandleWatchResult(now time.Time, changed bool, err error) {
	s.watch.running = false
	s.watch.failed = err != nil
	s.watch.established = err == nil
	if err != nil {
		s.watch.retryAt = now.Add(watchRetry)
	}
	if changed {
		s.nextPoll = now
		s.rechecks = rechecks
	}
}
