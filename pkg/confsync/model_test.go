package confsync

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var errDown = errors.New("platform down")

// vm is one simulated VM. highestSeen is the highest version it had in force.
type vm struct {
	syncer      *Syncer
	running     bool
	highestSeen uint64
}

// sim simulates a platform with a history of versions, and VMs that send requests
// to it and to each other over an unreliable network.
type sim struct {
	now time.Time
	rng *rand.Rand
	ids []model.VMID
	vms map[model.VMID]*vm
	// history holds the published manifests by version; version 0 is empty.
	history []Manifest
	// bodies holds all published sections by hash.
	bodies       map[string][]byte
	platformDown bool
	// staleReads makes manifest reads return a random published version.
	staleReads bool
	// laggingReads is the number of manifest reads that still return the previous
	// version.
	laggingReads int
	// lossRate is the probability that the network loses a message.
	lossRate float64
	// watchedSince holds the length of history at the start of each VM's watch.
	watchedSince map[model.VMID]int
	// pendingCalls holds the deliveries that are due in the next step.
	pendingCalls  []func()
	manifestReads int
	failf         func(string, ...any)
}

func newSim(n int, seed uint64, failf func(string, ...any)) *sim {
	s := &sim{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 0)), vms: map[model.VMID]*vm{}, failf: failf}
	s.bodies = map[string][]byte{}
	s.watchedSince = map[model.VMID]int{}
	s.history = []Manifest{{}}
	for i := range n {
		id := model.VMID(fmt.Sprint("vm-", i))
		s.ids = append(s.ids, id)
		s.vms[id] = &vm{}
		s.start(id)
	}
	return s
}

// start starts or restarts a VM without a configuration.
func (s *sim) start(id model.VMID) {
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
	self := model.VM{ID: id, Domain: "fd"}
	verify := func(hash string, body []byte) bool { return hash == hashOf(body) }
	s.vms[id] = &vm{syncer: New(Config{Self: self, Rng: rng, Verify: verify}, s.now), running: true}
	delete(s.watchedSince, id)
}

func hashOf(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// publish adds a version. One section changes with every version, another with
// every third; the latter has more than one part.
func (s *sim) publish() {
	v := uint64(len(s.history))
	m := Manifest{Version: v, Sections: map[string]string{}}
	for name, text := range map[string]string{"services": "same", "overrides": fmt.Sprint("o", v), "topology": fmt.Sprint("t", v/3)} {
		body := []byte(text)
		if name == "topology" {
			body = append(body, strings.Repeat(".", 2*ChunkBytes)...)
		}
		m.Sections[name] = hashOf(body)
		s.bodies[hashOf(body)] = body
	}
	s.history = append(s.history, m)
}

// callUnreliably queues a delivery that the network may lose, repeat or delay.
func (s *sim) callUnreliably(f func()) {
	if s.rng.Float64() < s.lossRate {
		return
	}
	s.pendingCalls = append(s.pendingCalls, f)
	if s.rng.Float64() < s.lossRate/2 {
		s.pendingCalls = append(s.pendingCalls, f)
	}
}

// readManifest returns the manifest that the platform answers with.
func (s *sim) readManifest() Manifest {
	s.manifestReads++
	if s.laggingReads > 0 {
		s.laggingReads--
		return s.history[len(s.history)-2]
	}
	if s.staleReads && len(s.history) > 1 {
		return s.history[s.rng.IntN(len(s.history))]
	}
	return s.history[len(s.history)-1]
}

// execute carries out a request of a VM.
func (s *sim) execute(id model.VMID, r Request) {
	n := s.vms[id].syncer
	switch r.Kind {
	case AskPeer:
		s.callUnreliably(func() {
			if to := s.vms[r.To]; to.running {
				reply := to.syncer.Serve(r.Message)
				s.callUnreliably(func() { n.HandlePeerReply(s.now, r.To, reply) })
			}
		})
	case ReadManifest:
		if s.platformDown {
			n.HandleManifest(s.now, Manifest{}, errDown)
			return
		}
		m := s.readManifest()
		s.pendingCalls = append(s.pendingCalls, func() { n.HandleManifest(s.now, m, nil) })
	case ReadSection:
		if s.platformDown {
			n.HandleSection(s.now, r.Hash, nil, errDown)
			return
		}
		s.pendingCalls = append(s.pendingCalls, func() { n.HandleSection(s.now, r.Hash, s.bodies[r.Hash], nil) })
	case Watch:
		s.watchedSince[id] = len(s.history)
	}
}

// step advances the time by 100 ms, makes the pending calls in random order and
// ticks each running VM.
func (s *sim) step() {
	s.now = s.now.Add(100 * time.Millisecond)
	calls := s.pendingCalls
	s.pendingCalls = nil
	s.rng.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
	for _, f := range calls {
		if s.rng.IntN(4) == 0 && s.lossRate > 0 {
			s.pendingCalls = append(s.pendingCalls, f)
			continue
		}
		f()
	}
	known := map[model.VMID]model.VM{}
	for _, id := range s.ids {
		if s.vms[id].running {
			known[id] = model.VM{ID: id, Domain: "fd"}
		}
	}
	for _, id := range s.ids {
		if s.vms[id].running {
			s.tick(id, known)
		}
	}
}

// tick updates a VM and announces its version to a random VM.
func (s *sim) tick(id model.VMID, known map[model.VMID]model.VM) {
	n := s.vms[id]
	n.syncer.SetVMs(known, func(other model.VMID) bool { return s.vms[other].syncer.WatchFailed() })
	if at, ok := s.watchedSince[id]; ok && (s.platformDown || at != len(s.history)) {
		delete(s.watchedSince, id)
		if s.platformDown {
			n.syncer.HandleWatchResult(s.now, false, errDown)
		} else {
			n.syncer.HandleWatchResult(s.now, true, nil)
		}
	}
	if peer := s.ids[s.rng.IntN(len(s.ids))]; s.vms[peer].running {
		version := n.syncer.Version()
		s.callUnreliably(func() { s.vms[peer].syncer.HandleAnnouncement(id, version) })
	}
	for _, r := range n.syncer.Tick(s.now) {
		s.execute(id, r)
	}
	if _, ok := n.syncer.Ready(); ok {
		n.syncer.Adopt()
	}
	s.checkVersion(id, n)
}

// checkVersion fails if the version of a VM moved back or differs from what was
// published.
func (s *sim) checkVersion(id model.VMID, n *vm) {
	v := n.syncer.Version()
	if v < n.highestSeen {
		s.failf("%s went from version %d back to %d", id, n.highestSeen, v)
	}
	n.highestSeen = v
	if v == 0 {
		return
	}
	for name, hash := range s.history[v].Sections {
		body, ok := n.syncer.Section(hash)
		if !ok || n.syncer.Current().Sections[name] != hash || hashOf(body) != hash {
			s.failf("%s has version %d in force without section %s", id, v, name)
		}
	}
}

func (s *sim) runFor(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// Guards against a version that moves back, a version in force with missing
// sections or with those of another version, and VMs that do not reach the
// newest version after all faults have ended.
func TestModelConfigurationSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "vms")
		s := newSim(n, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				s.runFor(time.Duration(rapid.IntRange(1, 50).Draw(t, "steps")) * 100 * time.Millisecond)
			},
			"publish": func(*rapid.T) { s.publish() },
			"down":    func(t *rapid.T) { s.platformDown = rapid.Bool().Draw(t, "down") },
			"stale":   func(t *rapid.T) { s.staleReads = rapid.Bool().Draw(t, "stale") },
			"loss":    func(t *rapid.T) { s.lossRate = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "loss") },
			"crash":   func(t *rapid.T) { s.vms[rapid.SampledFrom(s.ids).Draw(t, "vm")].running = false },
			"restart": func(t *rapid.T) { s.start(rapid.SampledFrom(s.ids).Draw(t, "vm")) },
		})
		s.lossRate = 0
		s.staleReads = false
		want := uint64(len(s.history) - 1)
		if s.platformDown {
			// Without the platform all VMs reach the highest version of a running VM.
			want = 0
			for _, n := range s.vms {
				if n.running {
					want = max(want, n.syncer.Version())
				}
			}
		}
		s.runFor(2 * time.Minute)
		for id, n := range s.vms {
			if n.running && (n.syncer.Version() < want || !s.platformDown && n.syncer.Version() != want) {
				t.Errorf("%s has version %d, want %d", id, n.syncer.Version(), want)
			}
		}
	})
}

// Guards against a change that takes longer than the target of 19 s when the
// platform's reads lag behind its watches, and against a read of the platform by
// each VM.
func TestChangeSpreadsWithinSeconds(t *testing.T) {
	s := newSim(8, 1, t.Fatalf)
	s.publish()
	s.runFor(10 * time.Second)
	s.manifestReads = 0
	s.publish()
	s.laggingReads = 2 * watchersPerDomain
	s.runFor(8 * time.Second)
	for id, n := range s.vms {
		assert.Equal(t, n.syncer.Version(), uint64(2), "%s", id)
	}
	assert.Assert(t, s.manifestReads <= 2*watchersPerDomain*(recheckPolls+1), "%d reads", s.manifestReads)
}

// Guards against a VM that has a version in force although no source has answered,
// and against one that cannot get the configuration from peers while the platform
// is down.
func TestStartWithoutPlatform(t *testing.T) {
	s := newSim(3, 1, t.Fatalf)
	s.platformDown = true
	s.publish()
	s.runFor(time.Minute)
	assert.Equal(t, s.vms["vm-0"].syncer.Version(), uint64(0))
	s.platformDown = false
	s.runFor(10 * time.Second)
	s.platformDown = true
	s.start("vm-1")
	s.runFor(10 * time.Second)
	assert.Equal(t, s.vms["vm-1"].syncer.Version(), uint64(1))
}

// Guards against a VM without a configuration that keeps waiting for the sections
// of the newest version, which no source delivers, while a peer has an older one.
func TestFallsBackToOlderVersionOfPeer(t *testing.T) {
	s := newSim(2, 1, t.Fatalf)
	s.publish()
	s.runFor(10 * time.Second)
	s.platformDown = true
	s.publish()
	s.start("vm-1")
	s.vms["vm-1"].syncer.HandleManifest(s.now, s.history[2], nil)
	s.runFor(time.Minute)
	assert.Equal(t, s.vms["vm-1"].syncer.Version(), uint64(1))
	s.platformDown = false
	s.runFor(time.Minute)
	assert.Equal(t, s.vms["vm-1"].syncer.Version(), uint64(2))
}

// Guards against a section that is used although its hash or offset does not
// match, and against a rejected version that is fetched again at once or prevents
// the next version.
func TestRejectsCorruptSectionsAndVersions(t *testing.T) {
	s := newSim(1, 1, t.Fatalf)
	n := s.vms["vm-0"].syncer
	x := hashOf([]byte("x"))
	n.HandleManifest(s.now, Manifest{Version: 1, Sections: map[string]string{"a": x}}, nil)
	n.HandleSection(s.now, x, []byte("y"), nil)
	_, ok := n.Ready()
	assert.Assert(t, !ok)
	n.HandlePeerReply(s.now, "vm-9", &wire.ConfigReply{Version: 1, Section: x, Offset: 1, Total: 2, Body: []byte("x")})
	n.HandlePeerReply(s.now, "vm-9", &wire.ConfigReply{Version: 1, Section: x, Total: 1, Body: []byte("x")})
	_, ok = n.Ready()
	assert.Assert(t, ok)
	n.Reject(s.now)
	n.HandleManifest(s.now, Manifest{Version: 1, Sections: map[string]string{"a": x}}, nil)
	_, ok = n.Ready()
	assert.Assert(t, !ok)
	n.HandleManifest(s.now, Manifest{Version: 2, Sections: map[string]string{}}, nil)
	m, ok := n.Ready()
	assert.Assert(t, ok && m.Version == 2)
}
