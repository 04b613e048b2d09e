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
	// maxCrashAttempts is the number of attempts of a request that coincided with
	// crashes after which it is refused.
	maxCrashAttempts = 3
	// crashReportTTL is how long a report counts; a caller may send again minutes
	// later.
	crashReportTTL = 10 * time.Minute
	// crashQueueSize and crashPause bound the reports that wait and the writes to
	// the store: many replicas may be lost at once with innocent requests.
	crashQueueSize     = 64
	crashWriteInterval = 100 * time.Millisecond
	// pruneInterval is the interval at which reports beyond their term are removed
	// from the store.
	pruneInterval = time.Minute
)

// crashReporter tells the other VMs which requests were under way when a
// replica crashed, so that a request that crashes each replica that runs it is
// stopped whichever VM it comes to.
type crashReporter struct {
	control *control
	store   Store
	log     logrus.FieldLogger
	queue   chan discovery.Crash
}

func newCrashReporter(c *control, store Store, log logrus.FieldLogger) *crashReporter {
	return &crashReporter{control: c, store: store, log: log, queue: make(chan discovery.Crash, crashQueueSize)}
}

// report takes in the requests that a crashed replica broke off. It never
// blocks; reports beyond the queue are dropped.
func (r *crashReporter) report(u *forward.Upstream, suspects []forward.Suspect) {
	now := time.Now()
	for _, s := range suspects {
		crash := discovery.Crash{Fingerprint: s.Fingerprint, Attempt: s.Attempt, At: now}
		r.control.noteCrash(now, crash)
		r.log.WithFields(logrus.Fields{"id": s.Attempt, "replica": u.Member.ID, "fingerprint": fmt.Sprintf("%016x", s.Fingerprint)}).Info("request under way at a crash")
		select {
		case r.queue <- crash:
		default:
			r.log.WithField("id", s.Attempt).Warn("report dropped, too many")
		}
	}
}

// run writes reports and removes old ones until ctx ends.
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

// maxReportAttempts bounds the attempts to write one report; a report that comes
// late is worth little.
const maxReportAttempts = 3

func (r *crashReporter) write(ctx context.Context, crash discovery.Crash) {
	tries := 0
	storewatch.Retry(ctx, func() error {
		tries++
		err := r.store.ReportCrash(ctx, crashObjectName(crash), crash)
		if err != nil {
			r.log.WithFields(logrus.Fields{"id": crash.Attempt, "error": err}).Warn("report not written")
		}
		if tries >= maxReportAttempts {
			return nil
		}
		return err
	})
}

func crashObjectName(c discovery.Crash) string {
	return fmt.Sprintf("%016x-%s", c.Fingerprint, c.Attempt)
}

// prune removes expired reports from the store. Only the coordinator does this.
func (r *crashReporter) prune(ctx context.Context) {
	if !r.control.isCoordinator.Load() {
		return
	}
	old := make(chan []string, 1)
	r.control.post(ctx, func(now time.Time) bool {
		old <- r.control.oldCrashes(now)
		return false
	})
	select {
	case names := <-old:
		for _, name := range names {
			if err := r.store.DeleteCrash(ctx, name); err != nil {
				r.log.WithFields(logrus.Fields{"name": name, "error": err}).Warn("report not removed")
			}
		}
	case <-ctx.Done():
	}
}

// noteCrash counts an attempt that coincided with a crash.
func (c *control) noteCrash(now time.Time, crash discovery.Crash) {
	c.ledger.Lost(now, "", crash.Attempt, []uint64{crash.Fingerprint})
}

func (c *control) applyCrash(now time.Time, item storewatch.Item[discovery.Crash]) bool {
	switch {
	case item.Deleted:
		delete(c.state.crashes, item.Name)
	case item.Err == nil:
		c.state.crashes[item.Name] = item.Value
		if now.Sub(item.Value.At) < crashReportTTL {
			c.noteCrash(now, item.Value)
		}
	}
	return false
}

func (c *control) currentCrashes(time.Time) []storewatch.Item[discovery.Crash] {
	var items []storewatch.Item[discovery.Crash]
	for name, crash := range c.state.crashes {
		items = append(items, storewatch.Item[discovery.Crash]{Name: name, Value: crash})
	}
	return items
}

// oldCrashes returns the names of reports beyond their term.
func (c *control) oldCrashes(now time.Time) []string {
	var names []string
	for name, crash := range c.state.crashes {
		if now.Sub(crash.At) > crashReportTTL {
			names = append(names, name)
		}
	}
	return names
}
