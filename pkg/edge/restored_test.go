package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

const (
	// configApplyTime is the time in which a confirmed change must be in force, and
	// storeUnstableTime that after an outage of the store in which it need not.
	configApplyTime   = 3 * time.Second
	storeUnstableTime = 4 * time.Second
)

// Guards against VMs that ignore a configuration, or fall back to an older one, after
// the store has come back from an older copy and gives the revisions after it again.
func TestConfigurationIsInForceAfterARestore(t *testing.T) {
	for _, vms := range []int{1, 5, 30} {
		for _, rewrittenAfter := range []time.Duration{0, time.Second, 10 * time.Second} {
			inVMFleet(t, vms, func(fleet *vmFleet) {
				name := fmt.Sprintf("%d VMs, written again after %s", vms, rewrittenAfter)
				fleet.store.put(memConfigs, "main", testTable(t, 6))
				older := fleet.store.copied()
				fleet.store.put(memConfigs, "main", testTable(t, 8))
				fleet.store.put(memConfigs, "main", testTable(t, 11))
				time.Sleep(configApplyTime)
				inForce := func(version uint64) {
					for _, s := range fleet.states() {
						assert.Equal(t, s.version, version, "%s: %s", name, s.vm)
					}
				}
				notBelow := func(version uint64, d time.Duration) {
					fleet.watch(d, func(s vmState) {
						assert.Assert(t, s.version >= version, "%s: %s has version %d", name, s.vm, s.version)
					})
				}
				inForce(11)
				fleet.store.setDown(true)
				notBelow(11, 2*time.Second)
				fleet.store.restore(older)
				fleet.store.setDown(false)
				notBelow(11, rewrittenAfter)
				fleet.store.put(memConfigs, "main", testTable(t, 11))
				notBelow(11, storeUnstableTime)
				fleet.store.put(memConfigs, "main", testTable(t, 13))
				notBelow(11, configApplyTime)
				inForce(13)
				fleet.store.put(memConfigs, "main", testTable(t, 14))
				notBelow(13, configApplyTime)
				inForce(14)
			})
		}
	}
}

// Guards against a watch that goes on in the new history, because that has passed the
// known revision before the VM called again, and misses what was written there before.
func TestConfigurationIsInForceAfterARestoreThatHasPassedTheKnownRevision(t *testing.T) {
	for _, outage := range []time.Duration{0, 2 * time.Second} {
		inVMFleet(t, 5, func(fleet *vmFleet) {
			older := fleet.store.copied()
			fleet.store.put(memConfigs, "main", testTable(t, 3))
			time.Sleep(configApplyTime)
			if outage > 0 {
				fleet.store.setDown(true)
				time.Sleep(outage)
			}
			fleet.store.mu.Lock() // no call falls between
			fleet.store.content = storeContent{era: fleet.store.content.era + 1, revision: older.revision, objects: older.objects, history: older.history}
			fleet.store.mu.Unlock()
			fleet.store.put(memConfigs, "main", testTable(t, 4))
			for i := range 10 {
				fleet.store.put(memReplicas, fmt.Sprint("r", i), replicaItem(fmt.Sprint("r", i), 0).Value)
			}
			fleet.store.setDown(false)
			time.Sleep(storeUnstableTime + configApplyTime)
			for _, s := range fleet.states() {
				assert.Equal(t, s.version, uint64(4), s.vm)
				assert.Equal(t, len(s.replicas), 10, s.vm)
			}
		})
	}
}

// Guards against VMs that count fewer VMs than there are while the entries are written
// again, and share limits among too few, and against entries that stay lost.
func TestVMsStayCountedAndRegisterAgainAfterARestore(t *testing.T) {
	const vms = 5
	inVMFleet(t, vms, func(fleet *vmFleet) {
		older := fleet.store.copied()
		older.objects[memVMs] = map[string]storedObject{}
		fleet.store.setDown(true)
		time.Sleep(2 * time.Second)
		fleet.store.restore(older)
		fleet.store.setDown(false)
		fleet.watch(storeUnstableTime, func(s vmState) { assert.Equal(t, len(s.vms), vms, s.vm) })
		assert.Equal(t, len(fleet.store.copied().objects[memVMs]), vms)
	})
}

// Guards against requests to a replica that has left, or drains, because the older copy
// of the store holds its ready entry, and against replicas that are dropped because the
// copy lacks them.
func TestReplicasThatHaveLeftStayUnusedAfterARestore(t *testing.T) {
	inVMFleet(t, 5, func(fleet *vmFleet) {
		put := func(id string, draining bool) {
			r := replicaItem(id, 0).Value
			r.Draining = draining
			fleet.store.put(memReplicas, id, r)
		}
		put("stays", false)
		put("left", false)
		put("drains", false)
		put("dead", false)
		older := fleet.store.copied()
		put("joined", false)
		fleet.store.put(memReplicas, "left", nil)
		put("drains", true)
		time.Sleep(configApplyTime)
		check := func(d time.Duration) {
			fleet.watch(d, func(s vmState) {
				assert.DeepEqual(t, s.replicas, map[string]bool{"stays": true, "joined": true, "dead": true})
			})
		}
		check(time.Second)
		fleet.store.setDown(true)
		check(2 * time.Second)
		fleet.store.restore(older)
		fleet.store.setDown(false)
		check(time.Second)
		put("joined", false) // the replicas write their entries again
		put("drains", true)
		check(storeUnstableTime)
		fleet.store.put(memReplicas, "left", nil) // its entry lapses
		fleet.store.put(memReplicas, "drains", nil)
		check(5 * time.Second)
	})
}

// Guards against requests to a failure domain that operators have taken out of service,
// while the store has lost that, and against a domain that stays out when they do not
// want it any more.
func TestDomainStaysOutOfServiceAfterARestore(t *testing.T) {
	for _, writtenAgain := range []bool{true, false} {
		inVMFleet(t, 5, func(fleet *vmFleet) {
			fleet.store.put(memReplicas, "a", replicaItem("a", 0).Value)
			older := fleet.store.copied()
			fleet.store.put(memOutOfService, "d1", "d1")
			time.Sleep(configApplyTime)
			out := func(d time.Duration) {
				fleet.watch(d, func(s vmState) { assert.Equal(t, len(s.replicas), 0, s.vm) })
			}
			out(time.Second)
			fleet.store.setDown(true)
			out(2 * time.Second)
			fleet.store.restore(older)
			fleet.store.setDown(false)
			if writtenAgain {
				out(1500 * time.Millisecond)
				fleet.store.put(memOutOfService, "d1", "d1")
				out(10 * time.Second)
			}
			fleet.store.put(memOutOfService, "d1", nil)
			time.Sleep(2 * storeUnstableTime)
			for _, s := range fleet.states() {
				assert.Equal(t, len(s.replicas), 1, s.vm)
			}
		})
	}
}

// Guards against reports that stay lost, so that a VM that starts later does not know
// them.
func TestLostReportsAreWrittenAgainAfterARestore(t *testing.T) {
	inVMFleet(t, 5, func(fleet *vmFleet) {
		fleet.store.put(memReplicas, "a", replicaItem("a", 0).Value)
		older := fleet.store.copied()
		time.Sleep(time.Second)
		now := time.Now()
		crash := discovery.Crash{Fingerprint: 7, Attempt: "x", At: now}
		fleet.store.put(memCrashes, crashObjectName(crash), crash)
		var named []*forward.Upstream
		for _, vm := range fleet.vms {
			vm.controller.isCoordinator.Store(vm == fleet.vms[0])
			u, _ := askState(fleet.ctx, vm.controller, func(s *state) *forward.Upstream { return s.view(now).ReplicaSets["s"].Upstreams[0] })
			named = append(named, u)
		}
		limit := replica.RequestLimit{PerSecond: 9, Named: true}
		named[2].Tracker.RecordRequestLimit(now, now, limit)
		fleet.vms[2].limits.report(named[2])
		time.Sleep(4 * time.Second)
		limits := func() int { return len(fleet.store.copied().objects[memLimits]) }
		assert.Equal(t, limits(), 1)
		fleet.store.setDown(true)
		time.Sleep(2 * time.Second)
		fleet.store.restore(older)
		fleet.store.setDown(false)
		time.Sleep(2 * storeUnstableTime)
		assert.Equal(t, limits(), 1)
		assert.Equal(t, len(fleet.store.copied().objects[memCrashes]), 1)
		for i, u := range named {
			assert.Equal(t, u.Tracker.RequestLimit(), limit, "VM %d", i)
		}
	})
}

// Guards against an older configuration of a restored store that is never taken though
// operators leave it there, and against one that is taken while they write again.
func TestOlderConfigurationIsTakenIfOperatorsLeaveIt(t *testing.T) {
	entry := func(era int64, version uint64) configEntry {
		return configEntry{table: testTable(t, version), at: storewatch.Position{Era: era, Revision: 5}}
	}
	h := configHistory{}
	assert.Assert(t, h.offer(start, entry(1, 11)))
	assert.Assert(t, !h.offer(start, entry(1, 10)))
	assert.Assert(t, !h.takeRestored(start.Add(time.Hour)), "an older version of the same era")
	assert.Assert(t, !h.offer(start, entry(2, 6)))
	assert.Assert(t, !h.offer(start.Add(20*time.Second), entry(2, 6)), "listed again")
	assert.Assert(t, !h.takeRestored(start.Add(restoredConfigGrace-time.Millisecond)))
	assert.Assert(t, h.takeRestored(start.Add(restoredConfigGrace)))
	assert.Equal(t, h.current.table.Version, uint64(6))
	assert.Assert(t, h.offer(start, entry(2, 7)))
	assert.Assert(t, !h.offer(start, entry(3, 5)))
	assert.Assert(t, h.offer(start, entry(3, 7)), "the same version in a newer era is the operators' word")
	assert.Assert(t, !h.takeRestored(start.Add(time.Hour)))
}
