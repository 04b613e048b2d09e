package edge

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// keyedTable is testTable with one tenant, which holds the keys.
func keyedTable(t *testing.T, version uint64, keys ...string) *routes.Table {
	t.Helper()
	table := testTable(t, version)
	tenant := &routes.Tenant{Name: "a"}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, routes.KeyDigest(key))
	}
	assert.NilError(t, table.SetTenants([]*routes.Tenant{tenant}))
	return table
}

// permitted is the code of the refusal of a request whose key is good: no replica runs.
const permitted = errs.NoReplica

// answersOf returns the code that each VM answers a request with the key with.
func (f *vmFleet) answersOf(key string) []errs.Code {
	var codes []errs.Code
	for _, vm := range f.vms {
		r := httptest.NewRequest("GET", "http://h/x", nil)
		r.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		vm.forwarder.ServeHTTP(w, r)
		code, _, _ := strings.Cut(w.Body.String(), " ")
		codes = append(codes, errs.Code(code))
	}
	return codes
}

// assertAnswers checks the answers of all VMs to a key.
func (f *vmFleet) assertAnswers(key string, want errs.Code, when string) {
	f.t.Helper()
	for i, code := range f.answersOf(key) {
		assert.Equal(f.t, code, want, "%s: %s at %s", when, key, f.vms[i].config.Settings.VM)
	}
}

// useBounds sets the bounds of the platform's examples.
func (f *vmFleet) useBounds(strict bool) {
	for _, vm := range f.vms {
		settings := vm.config.Settings
		settings.Bounds.Contact, settings.Bounds.StrictRevoke = 4*time.Second, strict
		vm.apply(f.ctx, settings)
	}
}

// assertReady checks the answers of all VMs to the balancer.
func (f *vmFleet) assertReady(want bool, when string) {
	f.t.Helper()
	for _, vm := range f.vms {
		w := httptest.NewRecorder()
		vm.controller.readiness.ServeHTTP(w, nil)
		assert.Equal(f.t, w.Code == 200, want, when)
	}
}

// Guards against a good key that is refused with 401, and a removed key that runs, after
// an outage of the store in which keys have changed; and against a VM that answers 503 for
// a wrong key, or refuses a good one, though it is in touch.
func TestKeysThatChangeDuringAnOutage(t *testing.T) {
	for _, vms := range []int{1, 5, 30} {
		for _, strict := range []bool{false, true} {
			inVMFleet(t, vms, func(fleet *vmFleet) {
				fleet.useBounds(strict)
				fleet.store.put(memConfigs, "main", keyedTable(t, 2, "old", "kept"))
				time.Sleep(configApplyTime)
				for range 200 {
					fleet.assertAnswers("kept", permitted, "in touch")
					fleet.assertAnswers("new", errs.Unauthorized, "in touch")
					time.Sleep(50 * time.Millisecond)
				}
				fleet.store.setDown(true)
				fleet.store.put(memConfigs, "main", keyedTable(t, 3, "new", "kept"))
				time.Sleep(defaultApply)
				fleet.assertAnswers("new", errs.ConfigUnconfirmed, "out of touch")
				outOfTouch := permitted
				if strict {
					outOfTouch = errs.ConfigUnconfirmed
				}
				fleet.assertAnswers("old", outOfTouch, "out of touch")
				fleet.assertAnswers("kept", outOfTouch, "out of touch")
				time.Sleep(time.Minute)
				fleet.assertAnswers("kept", outOfTouch, "long out of touch")
				fleet.assertReady(!strict, "long out of touch")
				fleet.store.setDown(false)
				time.Sleep(storeUnstableTime + configApplyTime)
				fleet.assertAnswers("new", permitted, "in touch again")
				fleet.assertAnswers("kept", permitted, "in touch again")
				fleet.assertAnswers("old", errs.Unauthorized, "in touch again")
				fleet.assertReady(true, "in touch again")
			})
		}
	}
}

// Guards against removed keys that a restored store brings back, and against keys of its
// older configuration that are refused with 401 before the operators have decided.
func TestKeysAfterARestore(t *testing.T) {
	for _, writtenAgain := range []bool{true, false} {
		inVMFleet(t, 5, func(fleet *vmFleet) {
			fleet.useBounds(false)
			fleet.store.put(memConfigs, "main", keyedTable(t, 2, "removed", "kept"))
			older := fleet.store.copied()
			fleet.store.put(memConfigs, "main", keyedTable(t, 3, "added", "kept"))
			time.Sleep(configApplyTime)
			fleet.assertAnswers("removed", errs.Unauthorized, "before")
			fleet.store.restore(older)
			time.Sleep(storeUnstableTime)
			for range 20 {
				fleet.assertAnswers("removed", errs.ConfigUnconfirmed, "restored")
				fleet.assertAnswers("added", permitted, "restored")
				fleet.assertAnswers("kept", permitted, "restored")
				time.Sleep(100 * time.Millisecond)
			}
			if writtenAgain {
				fleet.store.put(memConfigs, "main", keyedTable(t, 3, "added", "kept"))
				time.Sleep(configApplyTime)
				fleet.assertAnswers("removed", errs.Unauthorized, "written again")
				fleet.assertAnswers("added", permitted, "written again")
				return
			}
			time.Sleep(restoredConfigGrace)
			fleet.assertAnswers("removed", permitted, "left there")
			fleet.assertAnswers("added", errs.Unauthorized, "left there")
		})
	}
}

// olderFeed returns the message of a VM whose build does not know tenants.
func olderFeed(t *testing.T, version uint64, revision int64) wire.FeedTopic {
	t.Helper()
	table := testTable(t, version)
	value, err := msgpack.Marshal(map[string]any{"Version": table.Version, "Limits": table.Limits, "Routes": table.Routes, "Services": table.Services})
	assert.NilError(t, err)
	return wire.FeedTopic{Name: topicConfig, Full: true, Revision: revision, Items: []wire.FeedItem{{Name: "main", Revision: revision, Value: value}}}
}

// Guards against a configuration of an older build that is taken for one without tenants,
// so that keys reach replicas, and against a position after which the VM no longer reads
// that configuration from the store.
func TestConfigurationOfAnOlderBuild(t *testing.T) {
	for name, test := range map[string]struct {
		required bool
		known    *routes.Table
		used     bool
	}{
		"settings demand tenants":         {true, nil, false},
		"a version with tenants is known": {false, keyedTable(t, 1, "k"), false},
		"nothing calls for tenants":       {false, nil, true},
		"a version without them is known": {false, testTable(t, 1), true},
	} {
		c := newTestController(t)
		c.state.settings.TenantsRequired = test.required
		if test.known != nil {
			configTopic(c).update(start, configBatch(test.known, 1), true)
		}
		before := configTopic(c).position()
		feed := olderFeed(t, 5, 50)
		assert.Equal(t, c.state.feedLacksTenants([]wire.FeedTopic{feed}), !test.used, name)
		assert.Equal(t, c.applyFeed(start, []wire.FeedTopic{feed}, start), test.used, name)
		if !test.used {
			assert.Equal(t, configTopic(c).position(), before, name)
			assert.Equal(t, c.state.table(), test.known, name)
		}
		fromStore := testTable(t, 5)
		assert.Equal(t, configTopic(c).update(start, configBatch(fromStore, 50), true), !test.used, name)
		assert.Assert(t, !c.state.table().HasTenants, name)
	}
}

// Guards against state of a VM that has lost the store too, which counts as confirmed, and
// against a feed whose confirmations do not count.
func TestStateIsConfirmedByTheStoreOnly(t *testing.T) {
	from, to := newTestController(t), newTestController(t)
	configTopic(from).update(start, configBatch(keyedTable(t, 2, "k"), 7), true)
	state, ok := from.snapshot(start)
	assert.Assert(t, ok)
	assert.Assert(t, to.applyFeed(start, state, time.Time{}))
	to.updateStatus()
	assert.Assert(t, to.state.table().HasTenants && to.Status().VerifiedAt.IsZero())
	at, _ := configTopic(to).verified()
	assert.Assert(t, at.IsZero())
	to.confirmFeed(start.Add(-time.Second))
	to.confirmFeed(start.Add(-time.Minute))
	at, _ = configTopic(to).verified()
	assert.Equal(t, at, start.Add(-time.Second))
	to.updateStatus()
	assert.Equal(t, to.Status().VerifiedAt, at)
}
