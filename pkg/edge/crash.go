package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// maxCrashAttempts is the number of attempts that were in flight at a replica
	// crash after which a request is refused.
	maxCrashAttempts = 3
	// crashReportTTL is how long a report counts. It is minutes, because a caller
	// may send the same request again that late.
	crashReportTTL = 10 * time.Minute
	// crashQueueSize and crashWriteInterval limit the waiting reports and the rate
	// of writes to the store: many replicas may be lost at once for reasons that
	// have nothing to do with the requests in flight.
	crashQueueSize     = 64
	crashWriteInterval = 100 * time.Millisecond
	// pruneInterval is the interval at which expired reports are removed from the
	// store.
	pruneInterval = time.Minute
)

// crashReporter tells the other VMs which requests were in flight when a replica
// crashed. A request that crashes every replica that runs it is then refused by
// all VMs.
type crashReporter struct {
	controller *controller
	store      Store
	log        logrus.FieldLogger
	// queue holds the reports that wait to be written to the store.
	queue chan discovery.Crash
}

func newCrashReporter(c *controller, store Store, log logrus.FieldLogger) *crashReporter {
	return &crashReporter{controller: c, store: store, log: log, queue: make(chan discovery.Crash, crashQueueSize)}
}

// report records the requests that were in flight when a replica crashed and
// queues a report of each for the store. It never blocks: when the queue is
// full, reports are dropped.
func (r *crashReporter) report(u *forward.Upstream, suspects []forward.RequestAttempt) {
	now := time.Now()
	for _, s := range suspects {
		crash := discovery.Crash{Fingerprint: s.Fingerprint, Attempt: s.RequestID, At: now}
		r.controller.recordCrash(now, crash)
		r.log.WithFields(logrus.Fields{"id": s.RequestID, "replica": u.Member.ID, "fingerprint": fmt.Sprintf("%016x", s.Fingerprint)}).Info("request was in flight when a replica crashed")
		r.enqueue(crash)
	}
}

// enqueue queues a report for the store.
func (r *crashReporter) enqueue(crash discovery.Crash) {
	select {
	case r.queue <- crash:
	default:
		r.log.WithField("id", crash.Attempt).Warn("crash report dropped: queue is full")
	}
}

// run writes reports to the store and removes expired ones until ctx ends.
func (r *crashReporter) run(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case crash := <-r.queue:
			r.write(ctx, crash)
			wait.Sleep(ctx, crashWriteInterval)
		case <-prune.C:
			r.prune(ctx)
		}
	}
}

// maxReportAttempts limits the attempts to write one report, because a late
// report is of little use.
const maxReportAttempts = 3

// writeReport calls write until it succeeds, ctx ends, or it has failed
// maxReportAttempts times.
func writeReport(ctx context.Context, write func() error) {
	attempts := 0
	storewatch.Retry(ctx, func() error {
		attempts++
		err := write()
		if attempts >= maxReportAttempts {
			return nil
		}
		return err
	})
}

// write writes a report to the store.
func (r *crashReporter) write(ctx context.Context, crash discovery.Crash) {
	writeReport(ctx, func() error {
		err := r.store.ReportCrash(ctx, crashObjectName(crash), crash)
		if err != nil {
			r.log.WithFields(logrus.Fields{"id": crash.Attempt, "error": err}).Warn("writing a crash report to the store failed")
		}
		return err
	})
}

// crashObjectName returns the name of a report in the store.
func crashObjectName(c discovery.Crash) string {
	return fmt.Sprintf("%016x-%s", c.Fingerprint, c.Attempt)
}

// prune removes expired reports from the store. Only the coordinator does this.
func (r *crashReporter) prune(ctx context.Context) {
	if !r.controller.isCoordinator.Load() {
		return
	}
	expired, _ := askState(ctx, r.controller, func(*state) []string { return r.controller.expiredCrashes(time.Now()) })
	for _, name := range expired {
		if err := r.store.DeleteCrash(ctx, name); err != nil {
			r.log.WithFields(logrus.Fields{"name": name, "error": err}).Warn("removing an expired crash report from the store failed")
		}
	}
}

// recordCrash counts an attempt that was in flight at a replica crash.
func (c *controller) recordCrash(now time.Time, crash discovery.Crash) {
	c.ledger.RecordLoss(now, "", crash.Attempt, []uint64{crash.Fingerprint})
}

// applyCrash applies a changed or removed report. It changes no view.
func (c *controller) applyCrash(now time.Time, item storewatch.Item[discovery.Crash]) bool {
	switch {
	case item.Deleted:
		delete(c.state.crashes, item.Name)
	case item.Err == nil:
		c.state.crashes[item.Name] = item.Value
		if now.Sub(item.Value.At) < crashReportTTL {
			c.recordCrash(now, item.Value)
		}
	}
	return false
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
