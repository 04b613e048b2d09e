package edge

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/metrics"
)

// Guards against a retry budget that is refilled by each change of the number of
// VMs, and against budgets that many VMs together exceed.
func TestChangedNumberOfVMsDoesNotRefillTheBudget(t *testing.T) {
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	spend := func() (n int) {
		budget := c.state.view(start).ReplicaSets["s"].Budget
		for budget.TryTakeExtra(1) == nil {
			n++
		}
		return n
	}
	assert.Equal(t, spend(), 30) // 60% of the retry slack of 50, for one VM
	for _, name := range []string{"vm2", "vm3", "vm4"} {
		c.state.vms[name] = testVM(name)
		assert.Equal(t, spend(), 0, name)
	}
	delete(c.state.vms, "vm4")
	assert.Equal(t, spend(), 0)

	large := newTestController(t)
	configTopic(large).update(start, configBatch(testTable(t, 1), 1), true)
	for i := range 60 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		large.state.vms[name] = testVM(name)
	}
	assert.Assert(t, large.state.view(start).ReplicaSets["s"].Budget.Burst() <= 1)
}

// Guards against changed settings that a running VM does not apply, and against
// names and addresses that change while the process runs.
func TestChangedSettingsAreApplied(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	first := Settings{VM: "vm1", Domain: "d1", CallersAddr: "a", Seeds: []string{"x"}, Bounds: Bounds{RetryRatio: 0.2, RetrySlack: 50, StopGrace: 6 * time.Second}}
	s := newControllerService(Config{
		Settings: first, Store: testStore{}, Log: log, Headers: forward.HeaderNames{},
		Metrics: metrics.New(nil, func(error) {}),
	}, newReadiness())
	next := first
	next.CallersAddr, next.Seeds = "b", []string{"y", "z"}
	next.Bounds.RetrySlack, next.Bounds.StopGrace = 100, 9*time.Second
	assert.DeepEqual(t, next.restartOnlyChanges(first), []string{"address for callers"})
	s.apply(t.Context(), next)
	changed := (<-s.controller.events)(start)
	assert.Assert(t, changed)
	assert.DeepEqual(t, s.controller.state.settings.Bounds, next.Bounds)
	assert.DeepEqual(t, s.seeds(), []string{"y", "z"})
	assert.Equal(t, s.controller.state.settings.CallersAddr, "a")
	assert.Equal(t, stopGrace(*s.settings.Load()), 9*time.Second-stopReserve)
}
