package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/rollout"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Kinds of objects of roll-outs in a memoryStore.
const (
	memRollouts   = "rollouts"
	memAgreements = "agreements"
)

func (s *memoryStore) Rollouts() storewatch.Source[rollout.Order] {
	return memorySource[rollout.Order]{s, memRollouts}
}
func (s *memoryStore) Agreements() storewatch.Source[rollout.Agreement] {
	return memorySource[rollout.Agreement]{s, memAgreements}
}
func (s *memoryStore) WriteAgreement(_ context.Context, a rollout.Agreement, revision int64) error {
	return s.writeIf(memAgreements, a.Service, revision, func(any) any { return a })
}
func (s *memoryStore) WriteRolloutStatus(_ context.Context, service string, status rollout.Status, revision int64) error {
	return s.writeIf(memRollouts, service, revision, func(known any) any {
		order := known.(rollout.Order)
		order.Status = status
		return order
	})
}

// writeIf replaces the object of a revision, 0 if there is none.
func (s *memoryStore) writeIf(kind, name string, revision int64, next func(known any) any) error {
	time.Sleep(storeLatency)
	s.mu.Lock()
	known, down, lose, slow := s.content.objects[kind][name], s.down, s.loseReplies, s.slow
	s.mu.Unlock()
	time.Sleep(slow)
	switch {
	case down:
		return errs.Ambiguous(errs.PlatformDown, "down")
	case known.revision != revision:
		return errs.Refuse(errs.PlatformConflict, "revision %d is not %d", known.revision, revision)
	}
	s.put(kind, name, next(known.value))
	s.rolloutWrites.Add(1)
	if lose {
		return errs.Ambiguous(errs.PlatformDown, "answer lost")
	}
	return nil
}

// setLoseReplies makes conditional writes take place without an answer.
func (s *memoryStore) setLoseReplies(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReplies = lose
}

// setRollouts puts roll-outs in force if the fleet has them.
func (f *vmFleet) setRollouts(c *controller) {
	if f.rollouts {
		c.state.settings.Rollouts = true
		c.hub.OnReport = func(ctx context.Context, topics []wire.FeedTopic) {
			c.post(ctx, func(time.Time) bool { return c.absorbEvidence(topics) })
		}
	}
}

// checkBad checks the bounds on a bad version.
func (s *rolloutSite) checkBad() {
	for _, service := range s.services {
		old, _ := s.sent(service+"/v1", s.ordered)
		fresh, _ := s.sent(service+"/v2", s.ordered)
		assert.Assert(s.t, float64(fresh) <= 0.1*float64(old+fresh)+50, "%s: %d of %d", service, fresh, old+fresh)
		if badAt := s.badAt[service]; len(badAt) >= 50 {
			_, late := s.sent(service+"/v2", badAt[49].Add(5*time.Second))
			assert.Equal(s.t, late, 0)
		}
	}
}

// Guards against a good version that does not succeed in time, a bad one that does, sends
// to replicas that stop, and sends beyond the bounds: end to end, and with each failure of
// a VM, a link or the store in the middle.
func TestRolloutsEndToEnd(t *testing.T) {
	good, bad := rolloutPlay{vms: 5, playFor: 18 * time.Second}, rolloutPlay{vms: 5, failing: 35, playFor: 18 * time.Second}
	late := bad
	late.badFrom = 9 * time.Second
	slow := rolloutPlay{vms: 26, slow: 4, playFor: 16 * time.Second}
	fanOut, badFanOut := good, bad
	fanOut.shards, badFanOut.shards = 8, 8
	with := func(p rolloutPlay, events map[time.Duration]func(*rolloutSite)) rolloutPlay {
		p.events = events
		return p
	}
	second := func(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
	var backup storeContent
	succeeds := func(s *rolloutSite) {
		assert.Equal(t, s.state, rollout.Succeeded)
		assert.Assert(t, s.decided.Sub(s.ordered) <= 12*time.Second)
		assert.Equal(t, s.broken, 0)
		for _, service := range s.services {
			_, late := s.sent(service+"/v1", s.decided)
			assert.Equal(t, late, 0)
		}
		assert.Equal(t, s.failed, 0)
	}
	rolledBack := func(s *rolloutSite) {
		assert.Equal(t, s.state, rollout.RolledBack)
		assert.Assert(t, s.decided.Sub(s.ordered) <= 12*time.Second)
		s.checkBad()
	}
	for name, test := range map[string]struct {
		play  rolloutPlay
		check func(s *rolloutSite)
	}{
		"good":           {good, succeeds},
		"bad":            {bad, rolledBack},
		"bad late":       {late, rolledBack},
		"slow on 26 VMs": {slow, rolledBack},
		"good, 8 shards": {fanOut, func(s *rolloutSite) {
			succeeds(s)
			assert.Assert(t, len(s.arrivals["vm1 t0/v2"]) > len(s.arrivals["vm2 t0/v2"])+len(s.arrivals["vm3 t0/v2"]), "not relayed")
		}},
		"bad, 8 shards":    {badFanOut, rolledBack},
		"answers are lost": {with(good, map[time.Duration]func(*rolloutSite){0: func(s *rolloutSite) { s.fleet.store.setLoseReplies(true) }}), succeeds},
		"store is slow":    {with(good, map[time.Duration]func(*rolloutSite){0: func(s *rolloutSite) { s.fleet.store.slow = 250 * time.Millisecond }}), succeeds},
		"a VM starts":      {with(good, map[time.Duration]func(*rolloutSite){second(5): func(s *rolloutSite) { s.fleet.start("vm6") }}), succeeds},
		"another order fails": {with(good, map[time.Duration]func(*rolloutSite){second(1): func(s *rolloutSite) {
			s.fleet.store.put(memRollouts, "none", rollout.Order{Service: "none", Target: "v9", Duration: time.Second})
		}}), succeeds},
		"withdrawn": {with(good, map[time.Duration]func(*rolloutSite){second(9): func(s *rolloutSite) { s.fleet.store.put(memRollouts, "s", nil) }}), func(s *rolloutSite) {
			_, late := s.sent("s/v2", s.ordered.Add(second(9.5)))
			assert.Equal(t, late, 0)
			assert.Equal(t, s.failed, 0)
		}},
		"replaced": {with(good, map[time.Duration]func(*rolloutSite){second(4): func(s *rolloutSite) { s.startReplicas("v3"); s.order("v3", 12*time.Second) }}), func(s *rolloutSite) {
			_, late := s.sent("s/v2", s.ordered.Add(second(4.5)))
			assert.Equal(t, late, 0)
			order := s.fleet.store.copied().objects[memRollouts]["s"].value.(rollout.Order)
			assert.Equal(t, order.Status, rollout.Status{State: rollout.Succeeded, Target: "v3"})
		}},
		"store away for the rest": {with(late, map[time.Duration]func(*rolloutSite){
			second(8.5): func(s *rolloutSite) { s.fleet.store.setDown(true) }, second(14): func(s *rolloutSite) { s.fleet.store.setDown(false) },
		}), func(s *rolloutSite) {
			_, late := s.sent("s/v2", s.ordered.Add(second(8.5)+rollout.Lease+100*time.Millisecond))
			assert.Equal(t, late, 0)
			assert.Equal(t, s.state, rollout.RolledBack)
		}},
		"store comes back from an older copy": {with(good, map[time.Duration]func(*rolloutSite){
			second(3): func(s *rolloutSite) { backup = s.fleet.store.copied() }, second(9): func(s *rolloutSite) { s.fleet.store.restore(backup) },
		}), func(s *rolloutSite) {
			assert.Equal(t, s.state, rollout.Succeeded)
			assert.Equal(t, s.broken, 0)
		}},
		"the writer is lost between its writes": {with(good, map[time.Duration]func(*rolloutSite){second(10): func(s *rolloutSite) {
			s.everyStep = func() {
				if a := s.fleet.store.copied().objects[memAgreements]["s"].value.(rollout.Agreement); a.Phase == rollout.Done && s.state != rollout.Succeeded {
					s.cut[s.watcher()].Store(true)
				}
			}
		}}), func(s *rolloutSite) {
			succeeds(s)
			assert.Assert(t, s.cut[s.watcher()].Load())
		}},
		"a VM is cut off": {with(good, map[time.Duration]func(*rolloutSite){second(2): func(s *rolloutSite) { s.cut[s.watcher()].Store(true) }}), func(s *rolloutSite) {
			assert.Equal(t, s.state, rollout.Succeeded)
			vm := s.watcher()
			for _, at := range s.arrivals[vm+" s/v2"] {
				assert.Assert(t, at.Before(s.ordered.Add(second(5.1))) || at.After(s.decided), "%s", at.Sub(s.ordered))
			}
			assert.Assert(t, s.served[vm] > 20, "%d", s.served[vm]) // by the new replicas
		}},
	} {
		t.Run(name, func(t *testing.T) {
			test.play.play(t, func(s *rolloutSite) {
				for _, service := range s.services {
					old, _ := s.sent(service+"/v1", s.ordered)
					fresh, _ := s.sent(service+"/v2", s.ordered)
					t.Logf("%s: %d requests to v1, %d to v2, %d bad answers", service, old, fresh, len(s.badAt[service]))
				}
				t.Logf("%s after %s, %d failed, %d conditional writes", s.state, s.decided.Sub(s.ordered), s.failed, s.fleet.store.rolloutWrites.Load())
				test.check(s)
			})
		})
	}
}

// Guards against a new version that gets every request because the replicas before the
// first order name no version.
func TestFirstOrderOfAServiceWithoutVersions(t *testing.T) {
	c := newTestController(t)
	c.state.settings.Rollouts = true
	c.topics = c.newTopics(newMemoryStore())
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	replicaTopic(c).update(start, storewatch.Batch[discovery.Replica]{Position: storewatch.Position{Revision: 2}, Items: []storewatch.Item[discovery.Replica]{
		{Name: "r1", Revision: 2, Value: discovery.Replica{ID: "r1", Service: "s", Addr: "r1", Domain: "d1", Born: 1}},
	}}, true)
	assert.Equal(t, len(c.state.view(start).ReplicaSets["s"].Upstreams), 1)
	c.applyOrder(start, storewatch.Item[rollout.Order]{Name: "s", Value: rollout.Order{Service: "s", Target: "v2", Duration: time.Minute}})
	next, changed := rollout.Next(c.rolloutInput(start, "s", c.state.rollouts.service("s")))
	assert.Assert(t, changed)
	assert.DeepEqual(t, next.Base, []string{""})
}

// Guards against roll-outs that change anything where the settings do not have them in
// force, and against replicas of a version that no order allows where they have.
func TestVersionsWithoutAnOrder(t *testing.T) {
	for _, inForce := range []bool{false, true} {
		c := newTestController(t)
		c.state.settings.Rollouts = inForce
		c.topics = c.newTopics(newMemoryStore())
		configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
		replicas := storewatch.Batch[discovery.Replica]{Position: storewatch.Position{Revision: 2}}
		for i, version := range []string{"v1", "v2"} {
			replicas.Items = append(replicas.Items, storewatch.Item[discovery.Replica]{Name: version, Revision: 2, Value: discovery.Replica{ID: version, Service: "s", Addr: version, Domain: "d1", Version: version, Born: int64(i)}})
		}
		replicaTopic(c).update(start, replicas, true)
		upstreams := c.state.view(start).ReplicaSets["s"].Upstreams
		assert.Equal(t, len(upstreams), map[bool]int{false: 2, true: 1}[inForce])
		assert.Equal(t, upstreams[0].Member.Version, "v1")
		if inForce { // and after a success, and after operators have deleted the agreement
			c.applyAgreement(start, storewatch.Item[rollout.Agreement]{Name: "s", Revision: 3, Value: rollout.Agreement{Service: "s", Generation: 1, Target: "v2", Base: []string{"v1"}, Phase: rollout.Done}})
			assert.Equal(t, c.state.view(start).ReplicaSets["s"].Upstreams[0].Member.Version, "v2")
			c.applyAgreement(start, storewatch.Item[rollout.Agreement]{Name: "s", Deleted: true})
			assert.Equal(t, c.state.view(start).ReplicaSets["s"].Upstreams[0].Member.Version, "v1")
		}
	}
}
