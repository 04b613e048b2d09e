package edge

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
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
	// maxWaitingReports and crashWriteInterval limit the waiting reports and the rate
	// of writes to the store: many replicas may be lost at once for reasons that
	// have nothing to do with the requests in flight.
	maxWaitingReports  = 512
	crashWriteInterval = 100 * time.Millisecond
	// maxKnownReports limits the reports of which this VM remembers that it has made
	// them.
	maxKnownReports = 4096
	// pruneInterval is the interval at which expired reports are removed from the
	// store.
	pruneInterval = time.Minute
)

// successMemory is how long it is remembered when a request succeeded. It is longer than an
// attempt and the time in which it becomes known that a replica has ended under it.
const successMemory = 30 * time.Second

// popularPathTime is how long before an attempt a success of the same path shows that
// requests for the path do not crash replicas as such. It is short, because a path may begin
// to crash them at any time, for instance after a change of the index.
const popularPathTime = 500 * time.Millisecond

// silentOutageTime is how long silent replicas may keep a query over many shards from any
// success before the query is blamed for it.
const silentOutageTime = 4 * time.Second

// newCrashLedger returns the ledger of the requests that were in flight when replicas
// crashed.
func newCrashLedger() *poison.Ledger {
	return poison.NewLedger(poison.Config{
		LossLimit: maxCrashAttempts, BlockDuration: crashReportTTL, SuspectDuration: crashReportTTL, ProvenDuration: successMemory,
	})
}

// crashReporter tells the other VMs which requests were in flight when a replica
// crashed. A request that crashes every replica that runs it is then refused by
// all VMs.
type crashReporter struct {
	controller *controller
	store      Store
	log        logrus.FieldLogger
	// wake receives a value when a report is added.
	wake chan struct{}

	mu sync.Mutex
	// waiting holds the reports that are to be written to the store, known the names of
	// those that this VM has made: an attempt counts once, however many replicas crash
	// under it.
	waiting []waitingReport
	known   map[string]bool
	// succeeded holds the requests whose reports are to be withdrawn.
	succeeded []success
	// assumed holds the reports, by name, of attempts without an answer that count
	// before it is known whether a replica has crashed under them. refuted holds the names
	// of those that are to be removed from the store.
	assumed map[string]discovery.Crash
	refuted []string
}

// waitingReport is a report that is to be written to the store.
type waitingReport struct {
	crash discovery.Crash
	// recurring is set if the request was in flight at a crash before. Its report is
	// written first: most requests are in flight at a crash by chance.
	recurring bool
	// written is set if the report replaces one in the store.
	written bool
}

func newCrashReporter(c *controller, store Store, log logrus.FieldLogger) *crashReporter {
	return &crashReporter{controller: c, store: store, log: log, wake: make(chan struct{}, 1), known: map[string]bool{}, assumed: map[string]discovery.Crash{}}
}

// observe makes the prober tell what it learns of requests.
func (r *crashReporter) observe(p *prober) {
	p.onCrash, p.onSuspectSucceeded = r.report, r.withdraw
	p.onSuspectUnanswered, p.onNotCrashed = r.assume, r.refute
}

// report records the requests that were in flight when a replica crashed and
// queues a report of each for the store. It never blocks.
func (r *crashReporter) report(u *forward.Upstream, suspects []poison.LostAttempt) {
	now := time.Now()
	for _, s := range suspects {
		crash := r.weighed(now, crashUnder(s.Attempt, u.Member.Service, now), s.BrokenOff)
		if r.confirm(s.Attempt, now) {
			r.log.WithFields(logrus.Fields{"id": s.RequestID, "attempt": s.ID, "replica": u.Member.ID}).Info("request was in flight when a replica crashed: counted already")
			continue
		}
		if !r.isNew(crash) {
			continue
		}
		if r.byChance(now, s, u.Member.Service) {
			r.log.WithFields(logrus.Fields{"id": s.RequestID, "replica": u.Member.ID, "age_ms": now.Sub(s.StartedAt).Milliseconds()}).Info("request was in flight when a replica crashed: not counted, it has succeeded since")
			continue
		}
		recurring := r.controller.ledger.CheckAttempt(now, s.Attempt) == poison.Suspect
		r.controller.recordCrash(now, crash)
		verdict := r.controller.ledger.CheckAttempt(now, s.Attempt)
		r.log.WithFields(logrus.Fields{
			"id": s.RequestID, "attempt": s.ID, "replica": u.Member.ID, "fingerprint": fmt.Sprintf("%016x", s.Fingerprint), "recurring": recurring,
			"path_too": crash.Fingerprint != crash.Exact, "attempts": r.controller.ledger.AttemptLosses(now, s.Attempt), "refused_from_now": verdict == poison.Blocked,
		}).Info("request was in flight when a replica crashed")
		r.add(waitingReport{crash: crash, recurring: recurring})
	}
}

// byChance reports whether a success shows that a request was in flight at a crash by
// chance: one since the attempt began or, for a query over many shards whose replica has
// fallen silent, one shortly before. Such a query meets many replicas, and while many of
// them are silent no attempt of it may succeed.
func (r *crashReporter) byChance(now time.Time, s poison.LostAttempt, service string) bool {
	since := s.StartedAt
	if s.FanOut && !s.BrokenOff {
		since = since.Add(-silentOutageTime)
	}
	return r.controller.ledger.SucceededSince(now, s.Exact, service, since)
}

// weighed returns a report that counts as much as what is known of the path allows. Requests
// for a popular path are in flight whenever replicas end. If the path has succeeded since
// shortly before the attempt, the report counts against the query string alone. If it has
// succeeded lately, or the replica has fallen silent, attempts that overlap count once. Those
// that replicas break off for a path that never succeeds count one by one, because too many
// would follow until three have come one after the other.
func (r *crashReporter) weighed(now time.Time, crash discovery.Crash, brokenOff bool) discovery.Crash {
	ledger, startedAt := r.controller.ledger, crash.StartedAt
	if brokenOff && !ledger.SucceededSince(now, crash.Fingerprint, crash.Service, now.Add(-successMemory)) {
		crash.StartedAt = time.Time{}
	}
	if crash.Exact != 0 && ledger.SucceededSince(now, crash.Fingerprint, crash.Service, startedAt.Add(-popularPathTime)) {
		crash.Fingerprint = crash.Exact
	}
	return crash
}

func crashUnder(attempt forward.RequestAttempt, service string, now time.Time) discovery.Crash {
	return discovery.Crash{Fingerprint: attempt.Fingerprint, Exact: attempt.Exact, Service: service, Attempt: attempt.ID, RequestID: attempt.RequestID, At: now, StartedAt: attempt.StartedAt}
}

// wakeUp makes run look at what is queued.
func (r *crashReporter) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// deleteReport removes a report from the store.
func (r *crashReporter) deleteReport(ctx context.Context, name, failure string) {
	if err := r.store.DeleteCrash(ctx, name); err != nil {
		r.log.WithFields(logrus.Fields{"name": name, "error": err}).Warn(failure)
	}
}

// isKnown reports whether this VM has made the report.
func (r *crashReporter) isKnown(crash discovery.Crash) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[crashObjectName(crash)]
}

// isNew reports whether this VM has not made the report yet, and remembers that it has.
func (r *crashReporter) isNew(crash discovery.Crash) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := crashObjectName(crash)
	if r.known[name] {
		return false
	}
	if len(r.known) >= maxKnownReports {
		clear(r.known) // a report that is made again only costs a call
	}
	r.known[name] = true
	return true
}

// reportAgain queues a report that the store has lost.
func (r *crashReporter) reportAgain(crash discovery.Crash) { r.add(waitingReport{crash: crash}) }

// add queues a report for the store. Beyond maxWaitingReports, the oldest one of a
// request that was in flight at one crash only is dropped.
func (r *crashReporter) add(report waitingReport) {
	r.mu.Lock()
	r.waiting = append(r.waiting, report)
	if len(r.waiting) > maxWaitingReports {
		i := max(0, slices.IndexFunc(r.waiting, func(w waitingReport) bool { return !w.recurring }))
		r.log.WithField("id", r.waiting[i].crash.RequestID).Warn("crash report dropped: too many wait for the store")
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
	r.mu.Unlock()
	r.wakeUp()
}

// next returns the report that is to be written next.
func (r *crashReporter) next() (waitingReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) == 0 {
		return waitingReport{}, false
	}
	i := max(0, slices.IndexFunc(r.waiting, func(w waitingReport) bool { return w.recurring }))
	return r.waiting[i], true
}

// done removes a report that need not be written any more.
func (r *crashReporter) done(report waitingReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.waiting, report); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}

// run writes reports to the store and removes expired ones until ctx ends.
func (r *crashReporter) run(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	assumptions := time.NewTicker(assumptionCheckInterval)
	defer assumptions.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			r.writeWaiting(ctx)
		case <-assumptions.C:
			r.dropOldAssumptions(time.Now())
		case <-prune.C:
			r.prune(ctx)
		}
	}
}

// writeWaiting writes the waiting reports to the store, each until the store has taken
// or rejected it. Reports that were withdrawn or refuted are removed before each.
func (r *crashReporter) writeWaiting(ctx context.Context) {
	for {
		r.withdrawSucceeded(ctx)
		r.removeRefuted(ctx)
		written := false
		storewatch.Retry(ctx, func() error {
			report, ok := r.next() // another one may be more urgent after a failed call
			if !ok {
				return nil
			}
			err := r.write(ctx, report)
			if errs.Is(err, errs.PlatformDown) || errs.Is(err, errs.PlatformThrottled) {
				return err
			}
			written = true
			r.done(report)
			return nil
		})
		if !written || !wait.Sleep(ctx, crashWriteInterval) {
			return
		}
	}
}

// write writes a report to the store.
func (r *crashReporter) write(ctx context.Context, report waitingReport) error {
	write := r.store.ReportCrash
	if report.written {
		write = r.store.ReplaceCrash
	}
	crash := report.crash
	err := write(ctx, crashObjectName(crash), crash)
	if err != nil {
		r.log.WithFields(logrus.Fields{"id": crash.RequestID, "error": err}).Warn("writing a crash report to the store failed")
	}
	return err
}

// crashObjectName returns the name of a report in the store, whatever it counts against. It
// holds a hash of the attempt, which older VMs name by what its caller chose.
func crashObjectName(c discovery.Crash) string {
	return fmt.Sprintf("%016x-%016x", cmp.Or(c.Exact, c.Fingerprint), xxhash.Sum64String(c.Attempt))
}

// prune removes expired reports from the store. Only the coordinator does this.
func (r *crashReporter) prune(ctx context.Context) {
	if !r.controller.isCoordinator.Load() {
		return
	}
	expired, _ := askState(ctx, r.controller, func(*state) []string { return r.controller.expiredCrashes(time.Now()) })
	for _, name := range expired {
		r.deleteReport(ctx, name, "removing an expired crash report from the store failed")
	}
}
