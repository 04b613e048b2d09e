package confsync

import (
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// watchersPerDomain is the number of VMs of a failure domain that watch.
	// The second one covers the time until a dead first one is replaced.
	watchersPerDomain = 2
	// watchCandidates bounds the VMs of a failure domain that try to watch
	// while the platform is down.
	watchCandidates = 6
	// watchRetry is the wait after a failed watch.
	watchRetry = 2 * time.Second
	// pollWatcher is the poll interval of a watcher whose watch fails.
	pollWatcher = 5 * time.Second
	// pollRecheck is the poll interval after a watch reported a change, and
	// rechecks how often it applies: the platform's reads can lag its watches.
	pollRecheck = time.Second
	rechecks    = 5
	// pollStart is the poll interval of a VM without a configuration.
	pollStart = 2 * time.Second
	// pollOther is the poll interval of all other VMs. It covers the case in
	// which no watcher that this VM hears of reaches the platform: 1,500 VMs
	// cost 25 of the platform's 2,000 reads a second.
	pollOther = 60 * time.Second
	// peerTimeout is the wait for a peer's answer before another source is asked.
	peerTimeout = time.Second
	// platformTimeout is the wait for the platform's answer.
	platformTimeout = 5 * time.Second
	// peerAttempts is the number of peers asked before the platform.
	peerAttempts = 3
	// maxFlights bounds the sections fetched at a time.
	maxFlights = 4
	// manifestKey is the key of a manifest among the flights; no hash is empty.
	manifestKey = ""
)

// flight is a request without an answer.
type flight struct {
	until    time.Time
	attempts int
}

type watchState struct {
	running bool
	failed  bool
	// established is true after a watch that succeeded.
	established bool
	retryAt     time.Time
}

// isWatcher reports whether self is among the first VMs of its failure domain
// by rendezvous rank. Of the first candidates those that cannot reach the
// platform are passed over, unless none can.
func isWatcher(self model.VM, vms map[model.VMID]model.VM, failing func(model.VMID) bool) bool {
	var domain []model.VM
	for _, v := range vms {
		if v.Domain == self.Domain && placement.Live(v) {
			domain = append(domain, v)
		}
	}
	ranked := placement.Rank("config-watch/"+string(self.Domain), domain)
	ranked = ranked[:min(len(ranked), watchCandidates)]
	able := slices.DeleteFunc(slices.Clone(ranked), failing)
	if len(able) == 0 {
		able = ranked
	}
	return slices.Contains(able[:min(len(able), watchersPerDomain)], self.ID)
}

// Watcher reports whether this VM watches the platform.
func (s *Syncer) Watcher() bool { return s.watcher }

// highest returns the newest version known from any source.
func (s *Syncer) highest() uint64 {
	v := max(s.current.Version, s.pending.Version)
	for _, a := range s.announced {
		v = max(v, a)
	}
	return v
}

// Tick returns the requests that are due.
func (s *Syncer) Tick(now time.Time) []Request {
	var out []Request
	s.giveUp(now)
	out = append(out, s.watchRequests(now)...)
	out = append(out, s.pollRequests(now)...)
	if s.highest() > max(s.current.Version, s.pending.Version) {
		out = append(out, s.fetchManifest(now)...)
	}
	return append(out, s.fetchSections(now)...)
}

func (s *Syncer) watchRequests(now time.Time) []Request {
	if !s.watcher || s.watch.running || now.Before(s.watch.retryAt) {
		return nil
	}
	s.watch.running = true
	if !s.watch.established {
		// A change between the last poll and the start of the watch would be
		// missed, so the manifest is read once more after the start.
		s.nextPoll = now.Add(pollRecheck)
	}
	return []Request{{Kind: Watch}}
}

// pollRequests reads the manifest at an interval that depends on who else
// would notice a change.
func (s *Syncer) pollRequests(now time.Time) []Request {
	if now.Before(s.nextPoll) {
		return nil
	}
	interval := pollOther
	switch {
	case s.current.Version == 0:
		interval = pollStart
	case s.rechecks > 0:
		s.rechecks--
		interval = pollRecheck
	case s.watcher && s.watch.failed:
		interval = pollWatcher
	}
	// Jitter keeps VMs that started together from polling together.
	s.nextPoll = now.Add(interval/2 + time.Duration(s.rng.Int64N(int64(interval))))
	return []Request{{Kind: ReadManifest}}
}

// begin starts a request unless one is under way, and returns its attempt.
func (s *Syncer) begin(now time.Time, key string) (int, bool) {
	f := s.flights[key]
	if now.Before(f.until) {
		return 0, false
	}
	f.attempts++
	f.until = now.Add(peerTimeout)
	s.flights[key] = f
	return f.attempts, true
}

// failed lets the next Tick ask another source at once.
func (s *Syncer) failed(key string, err error) {
	if f, ok := s.flights[key]; ok && err != nil {
		f.until = time.Time{}
		s.flights[key] = f
	}
}

// source returns a peer that has announced at least the version, or false
// when the platform is the better source for this attempt.
func (s *Syncer) source(version uint64, attempt int) (model.VMID, bool) {
	var peers []model.VMID
	for id, v := range s.announced {
		if v >= version {
			peers = append(peers, id)
		}
	}
	if len(peers) == 0 || attempt%(peerAttempts+1) == 0 {
		return "", false
	}
	slices.Sort(peers)
	return peers[s.rng.IntN(len(peers))], true
}

func (s *Syncer) fetchManifest(now time.Time) []Request {
	attempt, ok := s.begin(now, manifestKey)
	if !ok {
		return nil
	}
	version := s.highest()
	if peer, ok := s.source(version, attempt); ok {
		return []Request{{Kind: AskPeer, To: peer, Message: &wire.ConfigRequest{Version: version}}}
	}
	s.usePlatform(now, manifestKey)
	return []Request{{Kind: ReadManifest}}
}

func (s *Syncer) usePlatform(now time.Time, key string) {
	f := s.flights[key]
	f.until = now.Add(platformTimeout)
	s.flights[key] = f
}

func (s *Syncer) fetchSections(now time.Time) []Request {
	var out []Request
	names := make([]string, 0, len(s.pending.Sections))
	for name := range s.pending.Sections {
		names = append(names, name)
	}
	slices.Sort(names)
	wanted := 0
	for _, name := range names {
		hash := s.pending.Sections[name]
		if _, have := s.bodies[hash]; have {
			continue
		}
		if wanted++; wanted > maxFlights {
			break
		}
		if attempt, ok := s.begin(now, hash); ok {
			out = append(out, s.fetchSection(now, name, hash, attempt))
		}
	}
	return out
}

func (s *Syncer) fetchSection(now time.Time, name, hash string, attempt int) Request {
	if peer, ok := s.source(s.pending.Version, attempt); ok {
		q := &wire.ConfigRequest{Version: s.pending.Version, Section: hash, Offset: len(s.partial[hash])}
		return Request{Kind: AskPeer, To: peer, Message: q}
	}
	s.usePlatform(now, hash)
	return Request{Kind: ReadSection, Name: name, Hash: hash}
}
