package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// inTier runs f in virtual time on the VMs vm0, which owns all partitions, and vm1.
func inTier(t *testing.T, f func(t *testing.T, tier *testTier)) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(2, newMemoryStore(5*time.Millisecond), 4)
		f(t, tier)
		tier.close()
	})
}

// assertRefusal checks the code and the run state of a refusal.
func assertRefusal(t *testing.T, err error, code errs.Code, state errs.RunState) {
	t.Helper()
	assert.Assert(t, errs.Is(err, code), "%v", err)
	assert.Equal(t, errs.As(err).RunState, state)
}

// TestDuplicateAtTwoVMs guards against two VMs that both grant the same key, and
// against a second caller that does not get the answer to the first.
func TestDuplicateAtTwoVMs(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		inTier(t, func(t *testing.T, tier *testTier) {
			tier.unreachable["vm0"] = !reachable
			answers := make(chan string, 2)
			begin := time.Now()
			for _, vm := range []*Service{tier.services["vm0"], tier.services["vm1"]} {
				go func() {
					g, prior, err := vm.Claim(t.Context(), request("k", 3*time.Second))
					assert.Check(t, err)
					if prior != nil {
						answers <- fmt.Sprintf("prior %d %s", prior.Status, prior.Answer)
						return
					}
					time.Sleep(300 * time.Millisecond)
					assert.Check(t, vm.Record(t.Context(), g, 200, []byte("booked")))
					answers <- "ran"
				}()
			}
			got := map[string]int{<-answers: 1, <-answers: 1}
			// A repeat that waits at the owner must be answered as soon as the
			// outcome is recorded, not only after the next poll at 350 ms.
			assert.Assert(t, !reachable || time.Since(begin) < 350*time.Millisecond, "%s", time.Since(begin))
			assert.DeepEqual(t, got, map[string]int{"ran": 1, "prior 200 booked": 1})
			_, _, err := tier.services["vm1"].Claim(t.Context(), Request{Service: "trips", Key: "k", Fingerprint: 2, Deadline: time.Now().Add(time.Second)})
			assertRefusal(t, err, errs.KeyReused, errs.DidNotRun)
		})
	}
}

// TestSilentOwner guards against a claim that waits until its deadline because
// the owner never replies.
func TestSilentOwner(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		tier.silent["vm0"] = true
		begin := time.Now()
		g, _, err := tier.services["vm1"].Claim(t.Context(), request("k", 3*time.Second))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(begin) < OwnerTimeout+50*time.Millisecond, "%s", time.Since(begin))
		assert.NilError(t, tier.services["vm1"].Release(t.Context(), g))
		_, prior, err := tier.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Assert(t, prior == nil)
	})
}

// TestLostReplies guards against a claim that fails or is taken twice because the
// platform's reply was lost.
func TestLostReplies(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		vm := tier.services["vm0"]
		tier.store.withLock(func() { tier.store.repliesToLose = 2 })
		g, _, err := vm.Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		tier.store.withLock(func() { tier.store.repliesToLose = 1 })
		assert.NilError(t, vm.Record(t.Context(), g, 200, []byte("booked")))
		_, prior, err := tier.services["vm1"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Equal(t, string(prior.Answer), "booked")
	})
}

// TestPlatformDown guards against a claim that is refused only at its long deadline
// while the platform is down, and against a refused claim that was stored and
// blocks its key for the whole retention.
func TestPlatformDown(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		vm := tier.services["vm1"]
		_, _, err := vm.Claim(t.Context(), request("warm", time.Second))
		assert.NilError(t, err)
		tier.store.withLock(func() { tier.store.repliesToLose = 1 })
		begin := time.Now()
		go func() {
			time.Sleep(8 * time.Millisecond)
			tier.store.withLock(func() { tier.store.down = true })
		}()
		_, _, err = vm.Claim(t.Context(), request("k", time.Minute))
		assertRefusal(t, err, errs.ClaimUnavailable, errs.DidNotRun)
		assert.Assert(t, time.Since(begin) < 3*time.Second, "%s", time.Since(begin))
		time.Sleep(20 * time.Second)
		tier.store.withLock(func() { tier.store.down = false })
		assert.NilError(t, vm.Flush(t.Context()))
		_, prior, err := tier.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Assert(t, prior == nil)
		// A claim that is known not to be stored needs no release.
		tier.store.withLock(func() { tier.store.down = true })
		_, _, err = tier.services["vm0"].Claim(t.Context(), request("k2", time.Minute))
		assertRefusal(t, err, errs.ClaimUnavailable, errs.DidNotRun)
		begin = time.Now()
		assert.NilError(t, tier.services["vm0"].Flush(t.Context()))
		assert.Equal(t, time.Since(begin), time.Duration(0))
	})
}

// TestOutcomeStoredAfterOutage guards against an outcome that is dropped because
// the platform is down, and against a repeat that runs before it is stored.
func TestOutcomeStoredAfterOutage(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		g, _, err := tier.services["vm1"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		tier.store.withLock(func() { tier.store.down = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		assertRefusal(t, tier.services["vm1"].Record(ctx, g, 200, []byte("booked")), errs.OutcomeUnknown, errs.MayHaveRun)
		cancel()
		tier.store.withLock(func() { tier.store.down = false })
		_, prior, err := tier.services["vm0"].Claim(t.Context(), request("k", 5*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, string(prior.Answer), "booked")
	})
}

// TestDisconnectedCaller guards against an outcome that is dropped because the
// caller disconnected while the owner did not reply.
func TestDisconnectedCaller(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		g, _, err := tier.services["vm1"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		tier.silent["vm0"] = true
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assertRefusal(t, tier.services["vm1"].Record(ctx, g, 200, []byte("booked")), errs.OutcomeUnknown, errs.MayHaveRun)
		assert.NilError(t, tier.services["vm1"].Flush(t.Context()))
		_, prior, err := tier.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Equal(t, string(prior.Answer), "booked")
	})
}

// TestRepeatWaitsForUnfinishedRun guards against a repeat that runs, or is answered
// before its deadline, while the outcome of the first run is not known. It also
// guards against a separate platform read for each waiting request.
func TestRepeatWaitsForUnfinishedRun(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		_, _, err := tier.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		begin := time.Now()
		results := make(chan error)
		for i := range 20 {
			vm := tier.services[tier.view.VMs["vm0"].ID]
			if i%2 == 0 {
				vm = tier.services["vm1"]
			}
			go func() {
				_, _, err := vm.Claim(t.Context(), request("k", 10*time.Second))
				results <- err
			}()
		}
		for range 20 {
			assertRefusal(t, <-results, errs.OutcomeUnknown, errs.MayHaveRun)
		}
		assert.Assert(t, time.Since(begin) > 9900*time.Millisecond && time.Since(begin) <= 10*time.Second, "%s", time.Since(begin))
		assert.Assert(t, tier.store.gets < 20, "%d reads", tier.store.gets)
	})
}

// TestGroupCommit guards against a separate update for each of many concurrent
// claims.
func TestGroupCommit(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		const claims = 400
		results := make(chan error)
		for i := range claims {
			go func() {
				_, _, err := tier.services[tier.view.VMs["vm1"].ID].Claim(t.Context(), request(fmt.Sprint(i), time.Second))
				results <- err
			}()
		}
		for range claims {
			assert.NilError(t, <-results)
		}
		assert.Assert(t, tier.store.puts <= claims/10, "%d updates", tier.store.puts)
		assert.Equal(t, tier.streamsOpened, claims)
	})
}

// TestLayoutIsFixed guards against VMs that use a changed number of partitions: a
// key would be looked up in another partition and its request would run again.
func TestLayoutIsFixed(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		g, _, err := tier.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.NilError(t, tier.services["vm0"].Record(t.Context(), g, 200, []byte("booked")))
		reconfigured := newTier(2, tier.store, 64)
		for _, vm := range reconfigured.services {
			_, prior, err := vm.Claim(t.Context(), request("k", time.Second))
			assert.NilError(t, err)
			assert.Equal(t, string(prior.Answer), "booked")
		}
		reconfigured.close()
	})
}

// TestSlowPlatform guards against VMs that mistake a slow platform for a silent
// owner and update the partition at the same time, which causes conflicts.
func TestSlowPlatform(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		tier.store.withLock(func() { tier.store.latency = 400 * time.Millisecond })
		results := make(chan error)
		for i := range 50 {
			go func() {
				_, _, err := tier.services["vm1"].Claim(t.Context(), request(fmt.Sprint(i), 5*time.Second))
				results <- err
			}()
		}
		for range 50 {
			assert.NilError(t, <-results)
		}
		assert.NilError(t, tier.services["vm1"].Flush(t.Context()))
		assert.Equal(t, tier.store.conflicts, 0)
	})
}

// TestStaleOwner guards against an owner that refuses an outcome because its
// cached content lacks a claim that another VM stored.
func TestStaleOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(2, newMemoryStore(5*time.Millisecond), 1)
		_, _, err := tier.services["vm0"].Claim(t.Context(), request("warm", time.Second))
		assert.NilError(t, err)
		tier.unreachable["vm0"] = true
		g, _, err := tier.services["vm1"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		tier.unreachable["vm0"] = false
		assert.NilError(t, tier.services["vm1"].Record(t.Context(), g, 200, []byte("booked")))
		tier.close()
	})
}
