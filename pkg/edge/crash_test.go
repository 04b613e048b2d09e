package edge

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// crashStore is the part of a store that takes crash reports.
type crashStore struct {
	Store
	mu sync.Mutex
	// err is what writes fail with.
	err error
	// written holds the names of the reports in the order of their writes, deleted those
	// of the deleted ones.
	written, deleted []string
}

func (s *crashStore) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *crashStore) ReportCrash(_ context.Context, name string, crash discovery.Crash) error {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.written = append(s.written, fmt.Sprint(crash.Fingerprint, " ", crash.Attempt))
	}
	return s.err
}

func (s *crashStore) DeleteCrash(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleted = append(s.deleted, name)
	return nil
}

// takeWritten returns the reports that were written since the last call.
func (s *crashStore) takeWritten() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := s.written
	s.written = nil
	return written
}

// inCrashReporter runs f in virtual time with a reporter that writes to a crashStore.
func inCrashReporter(t *testing.T, f func(r *crashReporter, store *crashStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := &crashStore{}
		r := newCrashReporter(newTestController(t), store, log)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.run(ctx)
		}()
		f(r, store)
		cancel()
		<-ended // a call of the store may be in progress
	})
}

// Guards against reports of a query over many shards that keep those of other requests
// waiting for seconds, or push them out.
func TestCrashesUnderOneAttemptAreReportedOnce(t *testing.T) {
	inCrashReporter(t, func(r *crashReporter, store *crashStore) {
		for shard := range 90 {
			u := testUpstream(fmt.Sprint("r", shard), "d1")
			r.report(u, brokenOff([]forward.RequestAttempt{{Fingerprint: 1, ID: "a"}, {Fingerprint: 2, ID: "b"}}))
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, store.takeWritten(), []string{"1 a", "2 b"})
		r.report(testUpstream("r1", "d1"), brokenOff([]forward.RequestAttempt{{Fingerprint: 1, ID: "c"}}))
		time.Sleep(time.Second)
		assert.DeepEqual(t, store.takeWritten(), []string{"1 c"})
	})
}

// Guards against a report that is lost because the store was away.
func TestCrashReportsAreWrittenAfterAnOutage(t *testing.T) {
	inCrashReporter(t, func(r *crashReporter, store *crashStore) {
		store.setErr(errs.Ambiguous(errs.PlatformDown, "down"))
		for i := range 12 {
			r.report(testUpstream("r", "d1"), brokenOff([]forward.RequestAttempt{{Fingerprint: uint64(i), ID: "a"}}))
		}
		time.Sleep(8 * time.Second)
		assert.Equal(t, len(store.takeWritten()), 0)
		store.setErr(nil)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(store.takeWritten()), 12)
	})
}

// Guards against the report of a request that comes again waiting behind those of
// requests that were in flight by chance.
func TestReportsOfRecurringRequestsGoFirst(t *testing.T) {
	inCrashReporter(t, func(r *crashReporter, store *crashStore) {
		r.controller.recordCrash(time.Now(), discovery.Crash{Fingerprint: 7, Attempt: "earlier", At: time.Now()})
		for i := range 30 {
			r.report(testUpstream("r", "d1"), brokenOff([]forward.RequestAttempt{{Fingerprint: uint64(100 + i), ID: "a"}}))
		}
		time.Sleep(crashWriteInterval / 2) // no write is under way
		store.takeWritten()
		r.report(testUpstream("r", "d1"), brokenOff([]forward.RequestAttempt{{Fingerprint: 7, ID: "b"}}))
		time.Sleep(2*crashWriteInterval + 2*storeLatency)
		assert.Equal(t, store.takeWritten()[0], "7 b")
	})
}

// Guards against a report that the store rejects and that keeps all others waiting.
func TestRejectedCrashReportIsDropped(t *testing.T) {
	inCrashReporter(t, func(r *crashReporter, store *crashStore) {
		store.setErr(errs.Refuse(errs.InvalidRequest, "rejected"))
		r.report(testUpstream("r", "d1"), brokenOff([]forward.RequestAttempt{{Fingerprint: 1, ID: "a"}}))
		time.Sleep(time.Second)
		store.setErr(nil)
		r.report(testUpstream("r", "d1"), brokenOff([]forward.RequestAttempt{{Fingerprint: 2, ID: "b"}}))
		time.Sleep(time.Second)
		assert.DeepEqual(t, store.takeWritten(), []string{"2 b"})
	})
}

// Guards against a request that stays refused, or becomes refused, because it was in
// flight by chance when replicas crashed, though it succeeds.
func TestSuccessWithdrawsCrashReports(t *testing.T) {
	inVMFleet(t, 3, func(fleet *vmFleet) {
		u := testUpstream("r", "d1")
		other, same := forward.RequestAttempt{Fingerprint: 7, Exact: 71}, forward.RequestAttempt{Fingerprint: 7, Exact: 70}
		verdicts := func(of forward.RequestAttempt) (all []poison.Verdict) {
			for _, vm := range fleet.vms {
				all = append(all, vm.controller.ledger.CheckAttempt(time.Now(), of))
			}
			return all
		}
		blocked, unknown := []poison.Verdict{poison.Blocked, poison.Blocked, poison.Blocked}, []poison.Verdict{poison.Unknown, poison.Unknown, poison.Unknown}
		for i, vm := range fleet.vms {
			vm.crashes.report(u, brokenOff([]forward.RequestAttempt{{Fingerprint: 7, Exact: 70, ID: fmt.Sprint("a", i)}}))
			time.Sleep(time.Second)
		}
		assert.DeepEqual(t, verdicts(same), blocked)
		assert.DeepEqual(t, verdicts(other), blocked) // the query string may change with each attempt
		fleet.vms[1].crashes.withdraw(other, nil)
		time.Sleep(time.Second)
		assert.DeepEqual(t, verdicts(same), blocked)  // another query string has succeeded
		assert.DeepEqual(t, verdicts(other), unknown) // not each request for the path crashes replicas
		fleet.vms[1].crashes.withdraw(same, nil)
		time.Sleep(time.Second)
		assert.DeepEqual(t, verdicts(same), unknown)
		assert.Equal(t, len(fleet.store.copied().objects[memCrashes]), 0)

		vm := fleet.vms[2]
		started := time.Now()
		time.Sleep(time.Second)
		vm.controller.ledger.RecordSuccess(time.Now(), 70)
		time.Sleep(15 * time.Second) // as long as an unanswered request is kept
		vm.crashes.report(u, brokenOff([]forward.RequestAttempt{{Fingerprint: 7, Exact: 70, ID: "b", StartedAt: started}, {Fingerprint: 7, Exact: 71, ID: "c", StartedAt: started}}))
		time.Sleep(time.Second)
		assert.Equal(t, len(fleet.store.copied().objects[memCrashes]), 1, "only the one that has not succeeded since")
		vm.controller.ledger.RecordSuccess(time.Now(), 70)
		time.Sleep(time.Millisecond)
		vm.crashes.report(u, brokenOff([]forward.RequestAttempt{{Fingerprint: 7, Exact: 70, ID: "d", StartedAt: time.Now()}}))
		time.Sleep(time.Second)
		assert.Equal(t, len(fleet.store.copied().objects[memCrashes]), 2, "a success before the attempt proves nothing")
	})
}

// brokenOff returns attempts that a replica broke off when it ended.
func brokenOff(attempts []forward.RequestAttempt) (lost []poison.LostAttempt) {
	for _, a := range attempts {
		lost = append(lost, poison.LostAttempt{Attempt: a, BrokenOff: true})
	}
	return lost
}

// testUpstream returns a replica that does not run.
func testUpstream(id, domain string) *forward.Upstream {
	return &forward.Upstream{Member: &discovery.Member{Replica: discovery.Replica{ID: id, Service: "s", Addr: id + ":1", Domain: domain}}}
}

// Guards against crash reports in feeds that VMs of different versions cannot read of
// each other.
func TestCrashReportsInFeedsAreReadAcrossVersions(t *testing.T) {
	type olderCrash struct {
		Fingerprint, Exact uint64
		Attempt            string
		At                 time.Time
	}
	at := time.UnixMilli(1700000000123)
	encoded, err := msgpack.Marshal(discovery.Crash{Fingerprint: 7, Exact: 70, Attempt: "1f", RequestID: "a", At: at})
	assert.NilError(t, err)
	var older olderCrash
	assert.NilError(t, msgpack.Unmarshal(encoded, &older))
	assert.DeepEqual(t, older, olderCrash{Fingerprint: 7, Exact: 70, Attempt: "1f", At: at})
	encoded, err = msgpack.Marshal(older)
	assert.NilError(t, err)
	var newer discovery.Crash
	assert.NilError(t, msgpack.Unmarshal(encoded, &newer))
	assert.DeepEqual(t, newer, discovery.Crash{Fingerprint: 7, Exact: 70, Attempt: "1f", At: at})
}

// Guards against a query over many shards that is refused after an outage of all replicas
// that fell silent, and against other requests that a success before them keeps from being
// counted.
func TestSuccessBeforeAnAttemptCountsOnlyForSilentReplicasOfManyShards(t *testing.T) {
	inCrashReporter(t, func(r *crashReporter, _ *crashStore) {
		ledger := r.controller.ledger
		ledger.RecordSuccess(time.Now(), 70)
		for i, test := range []struct {
			after             time.Duration
			fanOut, brokenOff bool
			want              int
		}{
			{time.Second, true, false, 0},
			{time.Second, true, true, 1},
			{time.Second, false, false, 2},
			{silentOutageTime, true, false, 3},
		} {
			time.Sleep(test.after)
			lost := poison.LostAttempt{BrokenOff: test.brokenOff}
			lost.Fingerprint, lost.Exact, lost.ID, lost.StartedAt, lost.FanOut = 7, 70, fmt.Sprint(i), time.Now(), test.fanOut
			r.report(testUpstream("r", "d1"), []poison.LostAttempt{lost})
			assert.Equal(t, ledger.Losses(time.Now(), 7), test.want, i)
		}
	})
}

// Guards against a query over many shards that stays refused because silent replicas leave
// each answer without a shard, though the shards answer in turn, and against one that is
// cleared by other shards than the one whose replicas it crashes.
func TestSuccessAtOneServiceWithdrawsItsReports(t *testing.T) {
	inVMFleet(t, 2, func(fleet *vmFleet) {
		at := func(service string) *forward.Upstream {
			u := testUpstream("r"+service, "d1")
			u.Member.Service = service
			return u
		}
		a := forward.RequestAttempt{Fingerprint: 7, Exact: 70, ID: "a", StartedAt: time.Now()}
		b := forward.RequestAttempt{Fingerprint: 7, Exact: 70, ID: "b", StartedAt: time.Now()}
		reporter := fleet.vms[0].crashes
		reporter.report(at("t1"), brokenOff([]forward.RequestAttempt{a}))
		reporter.report(at("t2"), brokenOff([]forward.RequestAttempt{b}))
		time.Sleep(time.Second)
		fleet.vms[1].crashes.withdraw(a, []string{"t2", "t3"})
		time.Sleep(time.Second)
		for _, vm := range fleet.vms {
			assert.Equal(t, vm.controller.ledger.Losses(time.Now(), 7), 1)
		}
		c := forward.RequestAttempt{Fingerprint: 7, Exact: 70, ID: "c", StartedAt: time.Now()}
		fleet.vms[0].controller.ledger.RecordPartialSuccess(time.Now(), 70, []string{"t1"})
		reporter.report(at("t3"), brokenOff([]forward.RequestAttempt{c}))
		assert.Equal(t, fleet.vms[0].controller.ledger.Losses(time.Now(), 7), 1)
		reporter.report(at("t1"), brokenOff([]forward.RequestAttempt{{Fingerprint: 7, Exact: 70, ID: "d", StartedAt: time.Now()}}))
		assert.Equal(t, fleet.vms[0].controller.ledger.Losses(time.Now(), 7), 2)
	})
}

// Guards against attempts of a request that go on to reach replicas while it is not yet
// known whether silent ones have crashed under earlier attempts, and against a request
// that stays refused though they have answered.
func TestSuspectWithoutAnswerCountsUntilRefuted(t *testing.T) {
	inVMFleet(t, 3, func(fleet *vmFleet) {
		u := testUpstream("r", "d1")
		attempt := func(id string) forward.RequestAttempt {
			time.Sleep(time.Millisecond) // attempts that overlap count once
			return forward.RequestAttempt{Fingerprint: 7, Exact: 70, ID: id, StartedAt: time.Now()}
		}
		reporter := fleet.vms[0].crashes
		counted := func() (all []int) {
			time.Sleep(500 * time.Millisecond)
			for _, vm := range fleet.vms {
				all = append(all, vm.controller.ledger.Losses(time.Now(), 7))
			}
			return append(all, len(fleet.store.copied().objects[memCrashes]))
		}
		reporter.report(u, brokenOff([]forward.RequestAttempt{attempt("a")}))
		reporter.assume(u, attempt("b"))
		reporter.assume(u, attempt("b"))
		reporter.assume(u, attempt("c"))
		assert.DeepEqual(t, counted(), []int{3, 3, 3, 3})
		reporter.refute([]forward.RequestAttempt{attempt("c"), attempt("never assumed")})
		assert.DeepEqual(t, counted(), []int{2, 2, 2, 2})
		reporter.assume(u, attempt("c"))
		assert.DeepEqual(t, counted(), []int{2, 2, 2, 2}) // a replica has answered it
		reporter.report(u, brokenOff([]forward.RequestAttempt{attempt("c")}))
		assert.DeepEqual(t, counted(), []int{3, 3, 3, 3}) // another one has crashed under it
		reporter.report(u, brokenOff([]forward.RequestAttempt{attempt("b")}))
		reporter.refute([]forward.RequestAttempt{attempt("a"), attempt("b")})
		assert.DeepEqual(t, counted(), []int{3, 3, 3, 3}) // replicas have crashed under both
		reporter.assume(u, attempt("d"))
		assert.DeepEqual(t, counted(), []int{4, 4, 4, 4})
		time.Sleep(maxAssumptionAge + assumptionCheckInterval)
		assert.DeepEqual(t, counted(), []int{3, 3, 3, 3}) // nothing has confirmed it
		reporter.assume(u, attempt("e"))
		reporter.withdraw(attempt("f"), nil)              // as the forwarder does after a success
		assert.DeepEqual(t, counted(), []int{0, 0, 0, 0}) // the request has succeeded
	})
}
