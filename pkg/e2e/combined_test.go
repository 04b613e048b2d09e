package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// Guards against faults that are tolerated alone but not together: a failure
// domain out of service, a frozen owner and the platform down.
func TestDomainOutWithFrozenOwnerAndPlatformDown(t *testing.T) {
	s, a, b, c := threeVMs(t)
	w := s.traffic("combined")
	out := func(d ...model.DomainID) {
		assert.NilError(t, s.cluster.EditOverrides(t.Context(), func(o *model.Overrides) error {
			o.DomainsOut = d
			return nil
		}))
	}
	out("a")
	s.await("domain out at all VMs", func() bool {
		for _, p := range s.vms {
			if st, ok := p.status(); !ok || len(st.Excluded) != 4 {
				return false
			}
		}
		return true
	})
	b.signal(syscall.SIGSTOP)
	s.cluster.Platform.SetDown(true)
	s.await("full coverage without domain a and b1", func() bool { return c.covered() && a.covered() })
	r := c.book("combined-refused")
	assert.Equal(t, r.Code, string(errs.ClaimUnavailable), "%+v", r)
	assert.Equal(t, r.RunState, errs.DidNotRun.String())
	s.cluster.Platform.SetDown(false)
	b.signal(syscall.SIGCONT)
	out()
	s.await("full coverage everywhere", func() bool { return a.covered() && b.covered() && c.covered() })
	s.await("bookings", func() bool { return c.book("combined-refused").status == http.StatusOK })
	w.finish(t)
}

// Guards against answers that mix index versions or shard maps, and against
// lost coverage, while a new version of a new shard map rolls out under a
// straggler.
func TestVersionRollDuringRepartitionWithStraggler(t *testing.T) {
	s, a, b, _ := threeVMs(t)
	s.cluster.Upstreams["search-g1-r0"].SetSlow(100)
	doc, m, err := config.Fetch(t.Context(), s.cluster.Store())
	assert.NilError(t, err)
	svc := doc.Services["bookings"]
	next := model.ShardMap{Epoch: 2}
	for i, g := range svc.ShardMaps[0].Groups {
		// Group i gives its second shard to the group before it.
		other := svc.ShardMaps[0].Groups[(i+1)%3]
		next.Groups = append(next.Groups, model.Group{
			ID: "n" + g.ID, Shards: []model.ShardID{g.Shards[0], other.Shards[1]}, Replicas: g.Replicas,
		})
	}
	svc.ShardMaps = append(svc.ShardMaps, next)
	s.cluster.Document.Services["bookings"].ShardMaps = svc.ShardMaps
	w := s.traffic("roll")
	_, err = config.Publish(t.Context(), s.cluster.Store(), doc, m.Version)
	assert.NilError(t, err)
	each := func(f func(u *fake.Upstream, g *model.Group)) {
		for i := range next.Groups {
			for _, r := range next.Groups[i].Replicas {
				f(s.cluster.Upstreams[r.ID], &next.Groups[i])
			}
		}
	}
	on := func(p *process, version uint64) bool {
		r := p.search()
		return r.status == http.StatusOK && r.Snapshot.Version == version && r.Coverage.Covered == 6
	}
	each(func(u *fake.Upstream, g *model.Group) { u.PublishVersion(testcluster.IndexVersion(2, &next, g)) })
	s.await("answers on version 2", func() bool { return on(a, 2) && on(b, 2) })
	each(func(u *fake.Upstream, _ *model.Group) { u.DropVersion(1) })
	for range 10 {
		assert.Assert(t, on(a, 2) && on(b, 2))
	}
	w.finish(t)
}

// Guards against a new owner that overloads replicas which went cold at the
// moment it took them over.
func TestColdReplicasDuringTakeover(t *testing.T) {
	s := newSiteOf(t, fake.ColdConfig{For: 200 * time.Millisecond, Runs: 10, Factor: 3})
	a, b, c := s.start("a1", "a"), s.start("b1", "b"), s.start("b2", "b")
	for _, p := range s.vms {
		s.await("full coverage through "+p.id, p.covered)
	}
	w := s.traffic("cold")
	b.signal(syscall.SIGKILL)
	for id, u := range s.cluster.Upstreams {
		if s.cluster.Domains[id] == "b" {
			u.GoCold()
		}
	}
	s.await("b2 owns domain b", func() bool {
		st, ok := a.status()
		return ok && st.Owners["search-g0-r1"] == "b2" && st.Owners["search-g1-r1"] == "b2" && st.Owners["search-g2-r1"] == "b2"
	})
	s.await("full coverage", func() bool { return a.covered() && c.covered() })
	w.finish(t)
	for id, u := range s.cluster.Upstreams {
		assert.Equal(t, u.Counters().Crashes, 0, "%s crashed while it was cold", id)
	}
}

// Guards against a booking that runs twice or is lost when the VMs that hold
// its claim and its replica fail together and the platform's replies are lost.
func TestTwoVMsLostWithLostPlatformReply(t *testing.T) {
	s, a, b, c := threeVMs(t)
	w := s.traffic("lost")
	s.await("bookings in flight", func() bool { return s.cluster.Executions["trips"].Total() > 20 })
	s.cluster.Platform.LoseReplies(3)
	b.signal(syscall.SIGKILL)
	c.signal(syscall.SIGKILL)
	s.await("full coverage through the last VM", a.covered)
	s.await("booking through the last VM", func() bool { return a.book("lost-after").status == http.StatusOK })
	w.finish(t)
}
