// Package confsync keeps the configuration of one VM at the newest published
// version. It does no I/O: it takes version announcements and replies, all of
// which may be stale, lost, repeated or out of order, and returns the requests
// that the caller has to make.
package confsync

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// ChunkBytes is the size of the part of a section that one reply carries.
	// Together with the manifest it fits into a control frame.
	ChunkBytes = 32 << 10
	// MaxSectionBytes bounds a section; the platform stores no larger values.
	MaxSectionBytes = 1 << 20
	// stalledAfter is the time without progress after which a pending manifest
	// may be rejected. It is longer than one round of attempts at peers and at the
	// platform takes to fail.
	stalledAfter = 10 * time.Second
	// rejectionTime is how long a rejected version is not fetched again.
	rejectionTime = 10 * time.Second
)

// Manifest lists the sections of one version of the configuration: the hash of
// each section by its name.
type Manifest struct {
	Version  uint64            `json:"version"`
	Sections map[string]string `json:"sections"`
}

// RequestKind is the kind of a Request.
type RequestKind uint8

// Kinds of requests.
const (
	// AskPeer tells the caller to send Message to the VM To.
	AskPeer RequestKind = iota
	// ReadManifest tells the caller to read the manifest from the platform.
	ReadManifest
	// ReadSection tells the caller to read section Name with hash Hash from the platform.
	ReadSection
	// Watch tells the caller to wait for a change of the manifest on the platform.
	Watch
)

// Request is a request that the caller has to send to a peer or the platform. The
// caller passes the result to the method of the Syncer that handles its kind.
type Request struct {
	Kind    RequestKind
	To      model.VMID
	Message *wire.ConfigRequest
	Name    string
	Hash    string
}

// Config holds the settings and dependencies of a Syncer. Verify is optional and
// reports whether a body has the given hash.
type Config struct {
	Self   model.VM
	Rng    *rand.Rand
	Verify func(hash string, body []byte) bool
}

// Syncer holds the configuration of one VM and fetches newer versions. It is not
// safe for concurrent use.
type Syncer struct {
	self   model.VM
	rng    *rand.Rand
	verify func(hash string, body []byte) bool
	// current is the manifest in force.
	current Manifest
	// pending is a newer manifest whose sections are being fetched.
	pending Manifest
	// lastProgress is when pending or a part of its sections last arrived.
	lastProgress time.Time
	// bodies holds complete sections of current and pending by hash.
	bodies map[string][]byte
	// partialBodies holds the beginnings of sections of which not all parts have
	// arrived, by hash.
	partialBodies map[string][]byte
	// announced holds the version that each live peer announced last.
	announced map[model.VMID]uint64
	// rejectedUntil holds, by version, the time until which a rejected version
	// is not fetched again.
	rejectedUntil map[uint64]time.Time
	// fetches holds the requests without a reply by the hash of the section, or
	// by manifestKey.
	fetches map[string]fetch
	// watcher is true if this VM watches the platform.
	watcher  bool
	watch    watchState
	nextPoll time.Time
	// recheckPollsLeft is the number of polls at recheckPollInterval that remain
	// after a watch reported a change that reads did not return yet.
	recheckPollsLeft int
}

// New returns a Syncer without a configuration.
func New(c Config, now time.Time) *Syncer {
	s := &Syncer{self: c.Self, rng: c.Rng, verify: c.Verify, nextPoll: now}
	if s.verify == nil {
		s.verify = func(string, []byte) bool { return true }
	}
	s.bodies = map[string][]byte{}
	s.partialBodies = map[string][]byte{}
	s.announced = map[model.VMID]uint64{}
	s.rejectedUntil = map[uint64]time.Time{}
	s.fetches = map[string]fetch{}
	return s
}

// Version returns the version in force, or 0 if there is none.
func (s *Syncer) Version() uint64 { return s.current.Version }

// Current returns the manifest in force.
func (s *Syncer) Current() Manifest { return s.current }

// Section returns the body of a section of the manifest in force or pending.
func (s *Syncer) Section(hash string) ([]byte, bool) {
	b, ok := s.bodies[hash]
	return b, ok
}

// Behind reports whether a newer version than the one in force is known.
func (s *Syncer) Behind() bool { return s.highestKnownVersion() > s.current.Version }

// HandleAnnouncement records the version that a live peer has in force.
func (s *Syncer) HandleAnnouncement(from model.VMID, version uint64) {
	if from != s.self.ID {
		s.announced[from] = version
	}
}

// SetVMs takes the current membership. It drops the announcements of VMs that
// are dead or unknown and decides whether this VM watches the platform. failing
// reports whether the watches of a VM are known to fail.
func (s *Syncer) SetVMs(vms map[model.VMID]model.VM, failing func(model.VMID) bool) {
	maps.DeleteFunc(s.announced, func(id model.VMID, _ uint64) bool {
		v, ok := vms[id]
		return !ok || v.State == model.Dead
	})
	s.watcher = isWatcher(s.self, vms, failing)
}

// considerManifest makes a manifest from any source the pending one if it is
// newer than the current and the pending one and was not rejected lately. It
// reports whether it did. A lower version never replaces a higher one.
func (s *Syncer) considerManifest(now time.Time, m Manifest) bool {
	if m.Version <= s.current.Version || m.Version <= s.pending.Version {
		return false
	}
	if until, ok := s.rejectedUntil[m.Version]; ok && now.Before(until) {
		return false
	}
	s.pending = Manifest{Version: m.Version, Sections: maps.Clone(m.Sections)}
	s.recheckPollsLeft = 0
	s.lastProgress = now
	s.dropUnusedSections()
	return true
}

// dropUnusedSections drops the sections that neither the current nor the pending
// manifest lists, and the requests for them.
func (s *Syncer) dropUnusedSections() {
	unused := func(hash string, _ []byte) bool {
		return !containsHash(s.current, hash) && !containsHash(s.pending, hash)
	}
	maps.DeleteFunc(s.bodies, unused)
	maps.DeleteFunc(s.partialBodies, unused)
	maps.DeleteFunc(s.fetches, func(key string, _ fetch) bool { return key != manifestKey && unused(key, nil) })
}

// containsHash reports whether a section of the manifest has the hash.
func containsHash(m Manifest, hash string) bool {
	for _, h := range m.Sections {
		if h == hash {
			return true
		}
	}
	return false
}

// storeSection stores the complete body of a section if the pending manifest
// lists it and the body has the hash. Otherwise the section is fetched again.
func (s *Syncer) storeSection(hash string, body []byte) {
	delete(s.fetches, hash)
	delete(s.partialBodies, hash)
	if containsHash(s.pending, hash) && s.verify(hash, body) {
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
	s.dropUnusedSections()
}

// Reject drops the pending manifest and its sections. Its version is not fetched
// again before rejectionTime has passed.
func (s *Syncer) Reject(now time.Time) {
	s.rejectedUntil[s.pending.Version] = now.Add(rejectionTime)
	s.pending = Manifest{}
	s.dropUnusedSections()
}

// HandlePeerReply takes the reply of a peer to a ConfigRequest.
func (s *Syncer) HandlePeerReply(now time.Time, from model.VMID, r *wire.ConfigReply) {
	s.HandleAnnouncement(from, r.Version)
	delete(s.fetches, manifestKey)
	s.considerManifest(now, Manifest{Version: r.Version, Sections: r.Sections})
	if r.Section == "" || !containsHash(s.pending, r.Section) || s.bodies[r.Section] != nil {
		return
	}
	if r.Total < 0 || r.Total > MaxSectionBytes {
		return
	}
	// A part is used only if it continues what has arrived. Sections are
	// content-addressed, so parts from several peers fit together.
	have := s.partialBodies[r.Section]
	if r.Offset != len(have) || len(have)+len(r.Body) > r.Total {
		return
	}
	delete(s.fetches, r.Section)
	s.lastProgress = now
	have = append(have, r.Body...)
	if len(have) < r.Total {
		s.partialBodies[r.Section] = have
		return
	}
	s.storeSection(r.Section, have)
}

// Serve answers the request of a peer with the manifest in force and, if this VM
// has the section that the request names, with a part of its body.
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
	s.retryAtOnce(manifestKey, err)
	if err != nil {
		return
	}
	delete(s.fetches, manifestKey)
	s.considerManifest(now, m)
}

// HandleSection takes the result of ReadSection.
func (s *Syncer) HandleSection(now time.Time, hash string, body []byte, err error) {
	s.retryAtOnce(hash, err)
	if err == nil {
		s.lastProgress = now
		s.storeSection(hash, body)
	}
}

// rejectStalledManifest rejects a pending manifest whose sections no source
// delivers while a peer has an older version that is still newer than the one
// in force. This happens when the platform fails during the transfer.
func (s *Syncer) rejectStalledManifest(now time.Time) {
	if s.pending.Version == 0 || now.Sub(s.lastProgress) < stalledAfter {
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
		s.watch.retryAt = now.Add(watchRetryDelay)
	}
	if changed {
		s.nextPoll = now
		s.recheckPollsLeft = recheckPolls
	}
}
