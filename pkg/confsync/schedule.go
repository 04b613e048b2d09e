package confsync

import (
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// watchersPerDomain is the number of VMs of a failure domain that watch the
	// platform. The second one covers the time until a dead first one is replaced.
	watchersPerDomain = 2
	// watchCandidates bounds the VMs of a failure domain that try to watch the
	// platform while it is down.
	watchCandidates = 6
	// watchRetryDelay is the time between a failed watch and the next one.
	watchRetryDelay = 2 * time.Second
	// failedWatchPollInterval is the poll interval of a watcher whose watch fails.
	failedWatchPollInterval = 5 * time.Second
	// recheckPollInterval is the poll interval after a watch reported a change.
	// It applies to recheckPolls polls, because the platform's reads can lag behind
	// its watches.
	recheckPollInterval = time.Second
	recheckPolls        = 5
	// startPollInterval is the poll interval of a VM without a configuration.
	startPollInterval = 2 * time.Second
	// defaultPollInterval is the poll interval of all other VMs. It covers the case in
	// which no watcher that this VM can hear from reaches the platform. 1,500 VMs
	// use 25 of the platform's 2,000 reads a second.
	defaultPollInterval = 60 * time.Second
	// peerTimeout is the time to wait for a peer's reply before another source is
	// asked.
	peerTimeout = time.Second
	// platformTimeout is the time to wait for the platform's reply.
	platformTimeout = 5 * time.Second
	// peerAttemptsPerRound is the number of requests to peers before one to the
	// platform.
	peerAttemptsPerRound = 3
	// maxConcurrentFetches bounds the number of sections fetched at the same time.
	maxConcurrentFetches = 4
	// manifestKey is the key of the manifest in Syncer.fetches; no hash is empty.
	manifestKey = ""
)

// fetch is a request without a reply. attempts counts the requests for the same
// section or manifest; after timeoutAt the next one may be sent.
type fetch struct {
	timeoutAt time.Time
	attempts  int
}

// watchState is the state of this VM's watch on the manifest.
type watchState struct {
	running bool
	failed  bool
	// established is true if the last watch succeeded.
	established bool
	// retryAt is the earliest start of the next watch after a failed one.
	retryAt time.Time
}

// isWatcher reports whether self is one of the first watchersPerDomain of the
// candidates of its failure domain. The candidates are the first VMs by rendezvous
// rank; those whose watches fail are skipped, unless this leaves none.
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

// highestKnownVersion returns the highest version that this VM has or has heard of.
func (s *Syncer) highestKnownVersion() uint64 {
	v := max(s.current.Version, s.pending.Version)
	for _, a := range s.announced {
		v = max(v, a)
	}
	return v
}

// Tick returns the requests that are due.
func (s *Syncer) Tick(now time.Time) []Request {
	var out []Request
	s.rejectStalledManifest(now)
	out = append(out, s.watchRequests(now)...)
	out = append(out, s.pollRequests(now)...)
	if s.highestKnownVersion() > max(s.current.Version, s.pending.Version) {
		out = append(out, s.fetchManifest(now)...)
	}
	return append(out, s.fetchSections(now)...)
}

// watchRequests starts a watch if this VM is a watcher and none is running.
func (s *Syncer) watchRequests(now time.Time) []Request {
	if !s.watcher || s.watch.running || now.Before(s.watch.retryAt) {
		return nil
	}
	s.watch.running = true
	if !s.watch.established {
		// A change between the last poll and the start of the watch would be
		// missed, so the manifest is read once more after the start.
		s.nextPoll = now.Add(recheckPollInterval)
	}
	return []Request{{Kind: Watch}}
}

// pollRequests reads the manifest at an interval that depends on who else
// would notice a change.
func (s *Syncer) pollRequests(now time.Time) []Request {
	if now.Before(s.nextPoll) {
		return nil
	}
	interval := defaultPollInterval
	switch {
	case s.current.Version == 0:
		interval = startPollInterval
	case s.recheckPollsLeft > 0:
		s.recheckPollsLeft--
		interval = recheckPollInterval
	case s.watcher && s.watch.failed:
		interval = failedWatchPollInterval
	}
	// Jitter keeps VMs that started together from polling together.
	s.nextPoll = now.Add(interval/2 + time.Duration(s.rng.Int64N(int64(interval))))
	return []Request{{Kind: ReadManifest}}
}

// beginFetch records the start of a request and returns the number of its
// attempt. It returns false if a request for the key may still be answered.
func (s *Syncer) beginFetch(now time.Time, key string) (int, bool) {
	f := s.fetches[key]
	if now.Before(f.timeoutAt) {
		return 0, false
	}
	f.attempts++
	f.timeoutAt = now.Add(peerTimeout)
	s.fetches[key] = f
	return f.attempts, true
}

// retryAtOnce lets the next Tick send a request for the key again if err is set.
func (s *Syncer) retryAtOnce(key string, err error) {
	if f, ok := s.fetches[key]; ok && err != nil {
		f.timeoutAt = time.Time{}
		s.fetches[key] = f
	}
}

// choosePeer returns a random peer that has announced at least the version. It
// returns false if there is none or if this attempt is one for the platform.
func (s *Syncer) choosePeer(version uint64, attempt int) (model.VMID, bool) {
	var peers []model.VMID
	for id, v := range s.announced {
		if v >= version {
			peers = append(peers, id)
		}
	}
	if len(peers) == 0 || attempt%(peerAttemptsPerRound+1) == 0 {
		return "", false
	}
	slices.Sort(peers)
	return peers[s.rng.IntN(len(peers))], true
}

// fetchManifest requests the manifest of the highest known version.
func (s *Syncer) fetchManifest(now time.Time) []Request {
	attempt, ok := s.beginFetch(now, manifestKey)
	if !ok {
		return nil
	}
	version := s.highestKnownVersion()
	if peer, ok := s.choosePeer(version, attempt); ok {
		return []Request{{Kind: AskPeer, To: peer, Message: &wire.ConfigRequest{Version: version}}}
	}
	s.usePlatformTimeout(now, manifestKey)
	return []Request{{Kind: ReadManifest}}
}

// usePlatformTimeout extends the timeout of a request that goes to the platform.
func (s *Syncer) usePlatformTimeout(now time.Time, key string) {
	f := s.fetches[key]
	f.timeoutAt = now.Add(platformTimeout)
	s.fetches[key] = f
}

// fetchSections requests missing sections of the pending manifest in the order of
// their names.
func (s *Syncer) fetchSections(now time.Time) []Request {
	var out []Request
	names := make([]string, 0, len(s.pending.Sections))
	for name := range s.pending.Sections {
		names = append(names, name)
	}
	slices.Sort(names)
	missing := 0
	for _, name := range names {
		hash := s.pending.Sections[name]
		if _, have := s.bodies[hash]; have {
			continue
		}
		if missing++; missing > maxConcurrentFetches {
			break
		}
		if attempt, ok := s.beginFetch(now, hash); ok {
			out = append(out, s.fetchSection(now, name, hash, attempt))
		}
	}
	return out
}

// fetchSection requests the next part of a section from a peer, or the whole
// section from the platform.
func (s *Syncer) fetchSection(now time.Time, name, hash string, attempt int) Request {
	if peer, ok := s.choosePeer(s.pending.Version, attempt); ok {
		q := &wire.ConfigRequest{Version: s.pending.Version, Section: hash, Offset: len(s.partialBodies[hash])}
		return Request{Kind: AskPeer, To: peer, Message: q}
	}
	s.usePlatformTimeout(now, hash)
	return Request{Kind: ReadSection, Name: name, Hash: hash}
}
