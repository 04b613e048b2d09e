package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
