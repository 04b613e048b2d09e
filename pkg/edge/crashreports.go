package edge

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

// recordCrash counts an attempt that was in flight at a replica crash.
func (c *controller) recordCrash(now time.Time, crash discovery.Crash) {
	c.ledger.RecordAttempt(now, crash.Attempt, crash.StartedAt, crash.At, countedFingerprints(crash)...)
}

// clearCrash clears an attempt that recordCrash has counted.
func (c *controller) clearCrash(now time.Time, crash discovery.Crash) {
	c.ledger.ClearAttempt(now, crash.Attempt, countedFingerprints(crash)...)
}

// countedFingerprints returns the fingerprints against which a report counts: that of the
// path, and that of the request with its query string.
func countedFingerprints(crash discovery.Crash) []uint64 {
	if crash.Exact == 0 || crash.Exact == crash.Fingerprint {
		return []uint64{crash.Fingerprint}
	}
	return []uint64{crash.Fingerprint, crash.Exact}
}

// attemptOf returns the attempt that a report is about.
func attemptOf(crash discovery.Crash) poison.Attempt {
	return poison.Attempt{Fingerprint: crash.Fingerprint, Exact: crash.Exact, ID: crash.Attempt, RequestID: crash.RequestID, StartedAt: crash.StartedAt}
}

// applyCrash applies a changed or removed report. It changes no view.
func (c *controller) applyCrash(now time.Time, item storewatch.Item[discovery.Crash]) bool {
	switch {
	case item.Deleted:
		if crash, known := c.state.crashes[item.Name]; known {
			c.clearCrash(now, crash)
			c.logReport(now, item, crash, "crash report removed")
		}
		delete(c.state.crashes, item.Name)
	case item.Err == nil:
		if before, known := c.state.crashes[item.Name]; known && before.Fingerprint != item.Value.Fingerprint {
			c.ledger.ClearAttempt(now, before.Attempt, before.Fingerprint) // it counts against less than before
		}
		c.state.crashes[item.Name] = item.Value
		if now.Sub(item.Value.At) < crashReportTTL {
			c.recordCrash(now, item.Value)
		}
		c.logReport(now, item, item.Value, "crash report read")
	}
	return false
}

// logReport logs a change of a report and what this VM believes of the request after it.
func (c *controller) logReport(now time.Time, item storewatch.Item[discovery.Crash], crash discovery.Crash, message string) {
	c.log.WithFields(logrus.Fields{
		"id": crash.RequestID, "attempt": crash.Attempt, "fingerprint": fmt.Sprintf("%016x", crash.Fingerprint), "revision": item.Revision, "age_ms": now.Sub(crash.At).Milliseconds(),
		"attempts": c.ledger.AttemptLosses(now, attemptOf(crash)), "refused": c.ledger.CheckAttempt(now, attemptOf(crash)) == poison.Blocked,
	}).Info(message)
}

// reportLostCrashes reports the crashes again that the store has lost. Only the
// coordinator does this.
func (c *controller) reportLostCrashes(now time.Time, lost []storewatch.Item[discovery.Crash]) {
	if c.onLostCrash == nil || !c.isCoordinator.Load() {
		return
	}
	for _, item := range lost {
		if now.Sub(item.Value.At) < crashReportTTL {
			c.onLostCrash(item.Value)
		}
	}
}

// currentCrashes returns the reports in the store.
func (c *controller) currentCrashes(time.Time) []storewatch.Item[discovery.Crash] {
	var items []storewatch.Item[discovery.Crash]
	for name, crash := range c.state.crashes {
		items = append(items, storewatch.Item[discovery.Crash]{Name: name, Value: crash})
	}
	return items
}

// expiredCrashes returns the names of the expired reports.
func (c *controller) expiredCrashes(now time.Time) []string {
	var names []string
	for name, crash := range c.state.crashes {
		if now.Sub(crash.At) > crashReportTTL {
			names = append(names, name)
		}
	}
	return names
}
