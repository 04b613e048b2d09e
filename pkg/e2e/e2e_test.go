package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// threeVMs starts one VM in failure domain a and two in b.
func threeVMs(t *testing.T) (*site, *process, *process, *process) {
	s := newSite(t)
	a, b, c := s.start("a1", "a"), s.start("b1", "b"), s.start("b2", "b")
	for _, p := range s.vms {
		s.await("full coverage through "+p.id, p.covered)
	}
	return s, a, b, c
}

// Guards against replicas that stay without an owner after a VM was killed,
// and against a booking that runs twice when it is repeated elsewhere.
func TestKilledVM(t *testing.T) {
	s, a, b, c := threeVMs(t)
	var wg sync.WaitGroup
	for i := range 20 {
		key := fmt.Sprintf("kill-%d", i)
		wg.Go(func() { b.book(key) })
		wg.Go(func() { a.book(key) })
	}
	b.signal(syscall.SIGKILL)
	wg.Wait()
	s.await("full coverage after the kill", func() bool { return a.covered() && c.covered() })
	for i := range 20 {
		key := fmt.Sprintf("kill-%d", i)
		r := c.book(key)
		assert.Assert(t, r.status == http.StatusOK || r.Code == string(errs.OutcomeUnknown), "%s: %+v", key, r)
	}
	assert.Equal(t, len(s.cluster.Executions["trips"].Repeated()), 0)
}

// Guards against a frozen owner that sends on outdated ownership when it wakes
// up, and against a domain whose only VM is frozen staying unserved.
func TestFrozenVM(t *testing.T) {
	s, a, b, _ := threeVMs(t)
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() { a.book(fmt.Sprintf("freeze-%d", i)) })
	}
	a.signal(syscall.SIGSTOP)
	s.await("full coverage without the frozen VM", b.covered)
	for i := range 10 {
		key := fmt.Sprintf("freeze-%d", i)
		wg.Go(func() { b.book(key) })
	}
	a.signal(syscall.SIGCONT)
	wg.Wait()
	s.await("full coverage after the VM woke up", a.covered)
	assert.Equal(t, len(s.cluster.Executions["trips"].Repeated()), 0)
	for id, u := range s.cluster.Upstreams {
		assert.Assert(t, u.Counters().MaxConcurrency <= 2+1, "%s ran %d at once", id, u.Counters().MaxConcurrency)
	}
}

// Guards against searches that depend on the platform, against a booking that
// runs without a durable claim, and against a VM that cannot start from peers.
func TestPlatformOutage(t *testing.T) {
	s, a, _, _ := threeVMs(t)
	s.cluster.Platform.SetDown(true)
	assert.Assert(t, a.covered())
	r := a.book("outage")
	assert.Equal(t, r.Code, string(errs.ClaimUnavailable), "%+v", r)
	assert.Equal(t, r.RunState, errs.DidNotRun.String())
	assert.Equal(t, s.cluster.Executions["trips"].Total(), 0)
	late := s.start("a2", "a")
	s.await("full coverage through the new VM", late.covered)
	s.cluster.Platform.SetDown(false)
	s.await("booking after the outage", func() bool { return a.book("outage").status == http.StatusOK })
	assert.Equal(t, s.cluster.Executions["trips"].Count("outage"), 1)
}

// Guards against two racing operators that both succeed, and against a VM that
// stays on an old version or goes back to one.
func TestOperatorRace(t *testing.T) {
	s, _, _, _ := threeVMs(t)
	store := s.cluster.Store()
	doc, m, err := config.Fetch(t.Context(), store)
	assert.NilError(t, err)
	var wg sync.WaitGroup
	results := make([]error, 2)
	for i := range results {
		changed := *doc
		changed.Tier.PoisonBlockMS = int64(600_000 + i)
		wg.Go(func() { _, results[i] = config.Publish(t.Context(), store, &changed, m.Version) })
	}
	wg.Wait()
	conflicts := 0
	for _, err := range results {
		if err != nil {
			assert.Assert(t, errs.Is(err, errs.PlatformConflict), "%v", err)
			conflicts++
		}
	}
	assert.Equal(t, conflicts, 1)
	for _, p := range s.vms {
		seen := uint64(0)
		s.await("new version at "+p.id, func() bool {
			st, ok := p.status()
			if ok {
				assert.Assert(t, st.ConfigVersion >= seen, "%s went back from %d to %d", p.id, seen, st.ConfigVersion)
				seen = st.ConfigVersion
			}
			return seen == m.Version+1
		})
	}
}

// Guards against a failure domain that still gets work after operators have
// taken it out, and against one that does not come back.
func TestDomainOut(t *testing.T) {
	s, a, b, _ := threeVMs(t)
	assert.NilError(t, s.cluster.EditOverrides(t.Context(), func(o *model.Overrides) error {
		o.DomainsOut = []model.DomainID{"a"}
		return nil
	}))
	for _, p := range s.vms {
		s.await("domain out at "+p.id, func() bool {
			st, ok := p.status()
			return ok && len(st.Excluded) == 4
		})
	}
	at := time.Now()
	for range 20 {
		assert.Assert(t, a.covered())
		assert.Assert(t, b.covered())
	}
	for id, u := range s.cluster.Upstreams {
		if s.cluster.Domains[id] == "a" {
			assert.Equal(t, u.SendsAfter(at), 0, "%s got new work", id)
		}
	}
	assert.NilError(t, s.cluster.EditOverrides(t.Context(), func(o *model.Overrides) error {
		o.DomainsOut = nil
		return nil
	}))
	s.await("work in the returned domain", func() bool {
		_ = a.covered()
		for id, u := range s.cluster.Upstreams {
			if s.cluster.Domains[id] == "a" && u.SendsAfter(at) > 0 {
				return true
			}
		}
		return false
	})
}

// Guards against a planned stop that cuts or refuses requests.
func TestPlannedStop(t *testing.T) {
	s, a, b, _ := threeVMs(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]int{}
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				// The balancer sends to the leaving VM until it is not ready.
				p := a
				if b.ready() {
					p = b
				}
				if r := p.search(); r.status != http.StatusOK {
					mu.Lock()
					failed[fmt.Sprintf("%d %s %s", r.status, r.Code, r.RunState)]++
					mu.Unlock()
				}
			}
		})
	}
	b.signal(syscall.SIGTERM)
	err := <-b.exited
	close(stop)
	wg.Wait()
	assert.NilError(t, err)
	assert.Equal(t, len(failed), 0, "%v", failed)
	s.await("full coverage after the stop", a.covered)
}
