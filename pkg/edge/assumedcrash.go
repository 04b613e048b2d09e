package edge

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

const (
	// maxAssumptionAge is how long an attempt counts that is neither known to have crashed
	// a replica nor refuted. It is longer than unanswered requests are kept.
	maxAssumptionAge = 16 * time.Second
	// assumptionCheckInterval is the interval of the checks of that age.
	assumptionCheckInterval = time.Second
)

// assume counts an attempt of a request that was in flight at a crash before and has no
// answer in its usual time. A silent replica is known to have crashed seconds later, and
// until then attempts would go on to reach others. It never blocks.
func (r *crashReporter) assume(u *forward.Upstream, attempt forward.RequestAttempt) {
	now := time.Now()
	if r.isKnown(crashUnder(attempt, u.Member.Service, now)) || r.byChance(now, poison.LostAttempt{Attempt: attempt}, u.Member.Service) {
		return
	}
	crash := r.weighed(now, assumedUnder(attempt, u.Member.Service, now), false)
	if !r.isNew(crash) {
		return
	}
	r.mu.Lock()
	r.assumed[crashObjectName(crash)] = crash
	r.mu.Unlock()
	r.controller.recordCrash(now, crash)
	r.log.WithFields(logrus.Fields{
		"id": attempt.RequestID, "attempt": attempt.ID, "replica": u.Member.ID, "fingerprint": fmt.Sprintf("%016x", attempt.Fingerprint),
		"age_ms": now.Sub(attempt.StartedAt).Milliseconds(), "attempts": r.controller.ledger.AttemptLosses(now, attempt),
	}).Info("suspect request without an answer: counted until it is known whether the replica has crashed")
	r.add(waitingReport{crash: crash, recurring: true})
}

// assumedUnder returns the report of an assumption. It names the attempt in another way
// than the report of a proof, which counts even if the assumption was taken back.
func assumedUnder(attempt forward.RequestAttempt, service string, now time.Time) discovery.Crash {
	crash := crashUnder(attempt, service, now)
	crash.Attempt += "?"
	return crash
}

// confirm reports whether an attempt under which a replica has crashed counts already
// because that was assumed. It counts from now on whatever other replicas answer.
func (r *crashReporter) confirm(attempt forward.RequestAttempt, now time.Time) bool {
	name := crashObjectName(assumedUnder(attempt, "", now))
	r.mu.Lock()
	_, assumed := r.assumed[name]
	delete(r.assumed, name)
	r.mu.Unlock()
	if assumed {
		r.isNew(crashUnder(attempt, "", now))
	}
	return assumed
}

// refute takes back what was assumed of attempts under which no replica has crashed. It
// never blocks.
func (r *crashReporter) refute(attempts []forward.RequestAttempt) {
	now := time.Now()
	for _, attempt := range attempts {
		name := crashObjectName(assumedUnder(attempt, "", now))
		r.drop(r.takeAssumed(func(c discovery.Crash) bool { return crashObjectName(c) == name }), "a replica has answered")
	}
}

// dropOldAssumptions takes back the assumptions that nothing has confirmed or refuted.
func (r *crashReporter) dropOldAssumptions(now time.Time) {
	r.drop(r.takeAssumed(func(c discovery.Crash) bool { return now.Sub(c.At) > maxAssumptionAge }), "nothing has confirmed it")
}

// drop clears the reports of attempts and queues their removal from the store.
func (r *crashReporter) drop(reports map[string]discovery.Crash, why string) {
	for name, crash := range reports {
		r.controller.clearCrash(time.Now(), crash)
		r.log.WithFields(logrus.Fields{"id": crash.RequestID, "attempt": crash.Attempt, "fingerprint": fmt.Sprintf("%016x", crash.Fingerprint), "why": why}).Info("suspect request does not count any more")
		r.mu.Lock()
		r.refuted = append(r.refuted, name)
		r.mu.Unlock()
		r.wakeUp()
	}
}

// takeAssumed removes the assumed reports that match, also from those that wait for the
// store, and returns them by name.
func (r *crashReporter) takeAssumed(matches func(discovery.Crash) bool) map[string]discovery.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := map[string]discovery.Crash{}
	for name, crash := range r.assumed {
		if matches(crash) {
			taken[name] = crash
			delete(r.assumed, name)
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(w waitingReport) bool {
		_, ok := taken[crashObjectName(w.crash)]
		return ok
	})
	return taken
}

// removeRefuted removes the reports from the store that were taken back.
func (r *crashReporter) removeRefuted(ctx context.Context) {
	r.mu.Lock()
	refuted := r.refuted
	r.refuted = nil
	r.mu.Unlock()
	for _, name := range refuted {
		r.deleteReport(ctx, name, "removing a crash report that was taken back from the store failed")
	}
}
