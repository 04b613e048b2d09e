package capacity

import (
	"math/rand/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// simStore is the platform of a simulated fleet. It answers after one step.
type simStore struct {
	manifest confsync.Manifest
	bodies   map[string][]byte
	watching []int
	answers  []func(s *sim)
	reads    int
	watches  int
	// watchEnds holds the step at which each watch without a change returns.
	watchEnds map[int]int
}

// watchSteps is the length of a watch, 30 s as in package control.
const watchSteps = 600

// configure gives each node the configuration and a platform to read from.
func (s *sim) configure(m confsync.Manifest, bodies map[string][]byte) {
	s.store = &simStore{manifest: m, bodies: bodies, watchEnds: map[int]int{}}
	vms := map[model.VMID]model.VM{}
	for _, v := range s.vms {
		vms[v.ID] = v
	}
	for i := range s.nodes {
		rng := rand.New(rand.NewPCG(uint64(i), 3))
		c := confsync.New(confsync.Config{Self: s.vms[i], Rng: rng}, s.now)
		c.HandleManifest(s.now, m, nil)
		for hash, body := range bodies {
			c.HandleSection(s.now, hash, body, nil)
		}
		c.Adopt()
		c.SetVMs(vms, func(model.VMID) bool { return false })
		s.nodes[i].config = c
	}
}

// publish puts a new version into the platform and ends all watches.
func (st *simStore) publish(m confsync.Manifest, bodies map[string][]byte) {
	st.manifest, st.bodies = m, bodies
	for _, i := range st.watching {
		st.answers = append(st.answers, func(s *sim) { s.nodes[i].config.HandleWatchResult(s.now, true, nil) })
	}
	st.watching = nil
}

// step delivers the answers that are due.
func (st *simStore) step(s *sim) {
	if st == nil {
		return
	}
	due := st.answers
	st.answers = nil
	for _, f := range due {
		f(s)
	}
	open := st.watching[:0]
	for _, i := range st.watching {
		if s.steps < st.watchEnds[i] {
			open = append(open, i)
			continue
		}
		s.nodes[i].config.HandleWatchResult(s.now, false, nil)
	}
	st.watching = open
}

// request starts what the configuration of node i asks for and puts a
// complete version in force.
func (s *sim) request(i int) {
	c := s.nodes[i].config
	if c == nil {
		return
	}
	st := s.store
	for _, r := range c.Tick(s.now) {
		switch r.Kind {
		case confsync.AskPeer:
			s.post(i, r.To, r.Message)
		case confsync.ReadManifest:
			st.reads++
			m := st.manifest
			st.answers = append(st.answers, func(s *sim) { c.HandleManifest(s.now, m, nil) })
		case confsync.ReadSection:
			st.reads++
			body := st.bodies[r.Hash]
			st.answers = append(st.answers, func(s *sim) { c.HandleSection(s.now, r.Hash, body, nil) })
		case confsync.Watch:
			st.watches++
			st.watching = append(st.watching, i)
			st.watchEnds[i] = s.steps + watchSteps
		}
	}
	if _, ok := c.Ready(); ok {
		c.Adopt()
	}
}
