package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

var (
	faultSeed  = flag.Uint64("faults.seed", 7, "seed of the random sequence of faults")
	faultSteps = flag.Int("faults.steps", 5, "number of random faults")
)

// chaos applies random faults to a site and undoes them.
type chaos struct {
	*site
	rng   *rand.Rand
	undo  []func()
	next  int
	lives map[*process]bool // false while frozen
}

// fault is one kind of fault. It returns how it is undone, or nil.
type fault struct {
	name  string
	apply func(c *chaos) func()
}

// upstream returns a random upstream.
func (c *chaos) upstream() *fake.Upstream {
	var ids []model.ReplicaID
	for id := range c.cluster.Upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return c.cluster.Upstreams[ids[c.rng.IntN(len(ids))]]
}

// override changes the overrides. Operators need the platform for that, so an
// outage ends first; it may still be slow and lose the reply.
func (c *chaos) override(edit func(*model.Overrides)) {
	c.cluster.Platform.SetDown(false)
	c.await("overrides accepted", func() bool {
		return c.cluster.EditOverrides(c.t.Context(), func(o *model.Overrides) error { edit(o); return nil }) == nil
	})
}

// faults are all kinds. Each is tolerated alone and together with the others.
var faults = []fault{
	{"domain out", func(c *chaos) func() {
		d := []model.DomainID{"a", "b"}[c.rng.IntN(2)]
		c.override(func(o *model.Overrides) { o.DomainsOut = []model.DomainID{d} })
		return func() { c.override(func(o *model.Overrides) { o.DomainsOut = nil }) }
	}},
	{"platform down", func(c *chaos) func() {
		c.cluster.Platform.SetDown(true)
		return func() { c.cluster.Platform.SetDown(false) }
	}},
	{"platform replies lost", func(c *chaos) func() {
		c.cluster.Platform.LoseReplies(1 + c.rng.IntN(3))
		return nil
	}},
	{"platform slow", func(c *chaos) func() {
		c.cluster.Platform.SetDelay(300 * time.Millisecond)
		return func() { c.cluster.Platform.SetDelay(0) }
	}},
	{"VM frozen", func(c *chaos) func() {
		p := c.victim()
		if p == nil {
			return nil
		}
		c.lives[p] = false
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT); c.lives[p] = true }
	}},
	{"VM killed and replaced", func(c *chaos) func() {
		p := c.victim()
		if p == nil {
			return nil
		}
		p.signal(syscall.SIGKILL)
		<-p.exited
		c.mu.Lock()
		c.vms = slices.DeleteFunc(c.vms, func(other *process) bool { return other == p })
		c.mu.Unlock()
		delete(c.lives, p)
		c.next++
		c.lives[c.start(fmt.Sprintf("x%d", c.next), p.domain)] = true
		return nil
	}},
	{"upstream crashed", func(c *chaos) func() {
		u := c.upstream()
		u.Crash()
		return func() { _ = u.Restart() }
	}},
	{"upstream restarted", func(c *chaos) func() {
		u := c.upstream()
		u.Crash()
		_ = u.Restart()
		return nil
	}},
	{"upstream slow", func(c *chaos) func() {
		u := c.upstream()
		u.SetSlow(50)
		return func() { u.SetSlow(1) }
	}},
	{"upstream hangs", func(c *chaos) func() {
		u := c.upstream()
		u.Hang(true)
		return func() { u.Hang(false) }
	}},
	{"upstream cold", func(c *chaos) func() { c.upstream().GoCold(); return nil }},
	{"upstream drains", func(c *chaos) func() {
		u := c.upstream()
		u.Drain(true)
		return func() { u.Drain(false) }
	}},
	{"connections silent", func(c *chaos) func() { c.upstream().Silence(); return nil }},
	{"upstream sheds", func(c *chaos) func() { c.upstream().Shed(5); return nil }},
	{"replies damaged", func(c *chaos) func() {
		kinds := []fake.ReplyFault{fake.ReplyTruncated, fake.ReplyMisaddressed, fake.ReplyMiscounted,
			fake.ReplyMalformed, fake.ReplyLost, fake.ReplyOtherVersion}
		c.upstream().FailReplies(kinds[c.rng.IntN(len(kinds))], 3)
		return nil
	}},
}

// victim returns a VM that runs, unless it is the last one.
func (c *chaos) victim() *process {
	var running []*process
	for _, p := range c.vms {
		if c.lives[p] {
			running = append(running, p)
		}
	}
	if len(running) < 2 {
		return nil
	}
	return running[c.rng.IntN(len(running))]
}

// Guards against combinations of faults that make the tier run a booking
// twice, answer untruly, deny a run, overload a replica or stay degraded.
func TestRandomFaults(t *testing.T) {
	t.Logf("seed %d, %d steps", *faultSeed, *faultSteps)
	s := newSiteOf(t, fake.ColdConfig{For: 100 * time.Millisecond, Runs: 5, Factor: 2, CrashAt: 100})
	c := &chaos{site: s, rng: rand.New(rand.NewPCG(*faultSeed, 1)), lives: map[*process]bool{}}
	for _, vm := range [][2]string{{"a1", "a"}, {"b1", "b"}, {"b2", "b"}} {
		c.lives[s.start(vm[0], vm[1])] = true
	}
	for _, p := range s.vms {
		s.await("full coverage through "+p.id, p.covered)
	}
	w := s.traffic("random")
	for range *faultSteps {
		f := faults[c.rng.IntN(len(faults))]
		t.Logf("%s", f.name)
		if undo := f.apply(c); undo != nil {
			c.undo = append(c.undo, undo)
		}
		enough := w.requests.Load() + 20
		s.await("traffic", func() bool { return w.requests.Load() >= enough })
		if len(c.undo) > 2 {
			c.undo[0]()
			c.undo = c.undo[1:]
		}
	}
	for _, undo := range c.undo {
		undo()
	}
	for _, u := range s.cluster.Upstreams {
		u.Shed(0)
		u.FailReplies(fake.ReplyIntact, 0)
	}
	for _, p := range s.vms {
		s.await("full coverage through "+p.id, func() bool { return p.coveredBy(`{"query":{"from":"2001-01-01"}}`) })
		s.await("booking through "+p.id, func() bool { return p.book("healed-"+p.id).status == http.StatusOK })
	}
	w.finish(t)
	assert.Equal(t, len(s.cluster.Executions["trips"].Repeated()), 0)
}
