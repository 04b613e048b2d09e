package edge

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
)

// success is that of a request, at all services if services is nil.
type success struct {
	attempt  forward.RequestAttempt
	services []string
}

// refutes reports whether a report of a crash is withdrawn: replicas of the service at
// which the request was in flight have answered it.
func (s success) refutes(c discovery.Crash) bool {
	return c.Exact == s.attempt.Exact && (s.services == nil || slices.Contains(s.services, c.Service))
}

// narrows reports whether a report of a crash counts against its query string alone from
// now on: replicas of the service have answered another one for the same path.
func (s success) narrows(c discovery.Crash) bool {
	return c.Fingerprint == s.attempt.Fingerprint && c.Exact != 0 && c.Exact != s.attempt.Exact && (s.services == nil || slices.Contains(s.services, c.Service))
}

// withdraw queues the withdrawal of the reports of a request that has succeeded: it was
// in flight at crashes by chance, at the services named or, if services is nil, at all. It
// never blocks.
func (r *crashReporter) withdraw(attempt forward.RequestAttempt, services []string) {
	r.mu.Lock()
	if len(r.succeeded) < maxWaitingReports {
		r.succeeded = append(r.succeeded, success{attempt, services})
	}
	r.mu.Unlock()
	r.wakeUp()
}

// withdrawSucceeded withdraws the reports of the requests that have succeeded, here and
// in the store, and narrows those of other requests for their paths.
func (r *crashReporter) withdrawSucceeded(ctx context.Context) {
	r.mu.Lock()
	succeeded := r.succeeded
	r.succeeded = nil
	r.mu.Unlock()
	for _, s := range succeeded {
		withdrawn := r.takeWaiting(s.refutes)
		for _, crash := range withdrawn {
			r.controller.clearCrash(time.Now(), crash)
		}
		n := len(withdrawn)
		for name, crash := range r.written(ctx, s.refutes) {
			r.controller.clearCrash(time.Now(), crash)
			r.deleteReport(ctx, name, "withdrawing a crash report from the store failed")
			n++
		}
		for name, crash := range r.takeAssumed(s.refutes) {
			r.controller.clearCrash(time.Now(), crash)
			r.deleteReport(ctx, name, "withdrawing a crash report from the store failed")
		}
		if n > 0 {
			r.log.WithFields(logrus.Fields{"id": s.attempt.RequestID, "fingerprint": fmt.Sprintf("%016x", s.attempt.Fingerprint), "reports": n}).Info("crash reports of a request withdrawn: it has succeeded")
		}
		r.narrowOthers(ctx, s)
	}
}

// narrowOthers makes the reports of other requests for the path of one that has succeeded
// count against their query strings alone.
func (r *crashReporter) narrowOthers(ctx context.Context, s success) {
	others := map[string]waitingReport{}
	for _, crash := range r.takeWaiting(s.narrows) {
		others[crashObjectName(crash)] = waitingReport{crash: crash}
	}
	for name, crash := range r.written(ctx, s.narrows) {
		others[name] = waitingReport{crash: crash, written: true}
	}
	for _, report := range others {
		r.controller.ledger.ClearAttempt(time.Now(), report.crash.Attempt, report.crash.Fingerprint)
		report.crash.Fingerprint = report.crash.Exact
		r.add(report)
	}
	if len(others) > 0 {
		r.log.WithFields(logrus.Fields{"id": s.attempt.RequestID, "fingerprint": fmt.Sprintf("%016x", s.attempt.Fingerprint), "reports": len(others)}).Info("crash reports of a path narrowed to their query strings: another one has succeeded")
	}
}

// takeWaiting removes the reports that match from those that wait for the store, and
// returns them.
func (r *crashReporter) takeWaiting(matches func(discovery.Crash) bool) []discovery.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var taken []discovery.Crash
	r.waiting = slices.DeleteFunc(r.waiting, func(w waitingReport) bool {
		if !matches(w.crash) {
			return false
		}
		taken = append(taken, w.crash)
		return true
	})
	return taken
}

// written returns the reports in the store that match, by name.
func (r *crashReporter) written(ctx context.Context, matches func(discovery.Crash) bool) map[string]discovery.Crash {
	written, _ := askState(ctx, r.controller, func(s *state) map[string]discovery.Crash {
		found := maps.Clone(s.crashes)
		maps.DeleteFunc(found, func(_ string, c discovery.Crash) bool { return !matches(c) })
		return found
	})
	return written
}
