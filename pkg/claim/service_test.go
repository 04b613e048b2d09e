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

// inTier runs a test in virtual time on VMs vm0 (the owner) and vm1.
func inTier(t *testing.T, f func(t *testing.T, n *tier)) {
	synctest.Test(t, func(t *testing.T) {
		n := newTier(2, newMemoryStore(5*time.Millisecond), 4)
		f(t, n)
		n.close()
	})
}

func did(t *testing.T, err error, code errs.Code, state errs.RunState) {
	t.Helper()
	assert.Assert(t, errs.Is(err, code), "%v", err)
	assert.Equal(t, errs.As(err).RunState, state)
}

// TestDuplicateAtTwoVMs guards against both VMs granting one key, and against
// the second caller not getting the first one's answer.
func TestDuplicateAtTwoVMs(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		inTier(t, func(t *testing.T, n *tier) {
			n.unreachable["vm0"] = !reachable
			answers := make(chan string, 2)
			begin := time.Now()
			for _, vm := range []*Service{n.services["vm0"], n.services["vm1"]} {
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
			// A repeat that waits at the owner is answered by the update that
			// records the outcome, not by the next poll at 350 ms.
			assert.Assert(t, !reachable || time.Since(begin) < 350*time.Millisecond, "%s", time.Since(begin))
			assert.DeepEqual(t, got, map[string]int{"ran": 1, "prior 200 booked": 1})
			_, _, err := n.services["vm1"].Claim(t.Context(), Request{Service: "trips", Key: "k", Fingerprint: 2, Deadline: time.Now().Add(time.Second)})
			did(t, err, errs.KeyReused, errs.DidNotRun)
		})
	}
}

// TestSilentOwner guards against a claim that waits for an owner that never
// replies until the deadline.
func TestSilentOwner(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		n.silent["vm0"] = true
		begin := time.Now()
		g, _, err := n.services["vm1"].Claim(t.Context(), request("k", 3*time.Second))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(begin) < OwnerTimeout+50*time.Millisecond, "%s", time.Since(begin))
		assert.NilError(t, n.services["vm1"].Release(t.Context(), g))
		_, prior, err := n.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Assert(t, prior == nil)
	})
}

// TestLostReplies guards against a lost reply that makes a claim fail or be
// taken twice.
func TestLostReplies(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		vm := n.services["vm0"]
		n.store.set(func() { n.store.lose = 2 })
		g, _, err := vm.Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		n.store.set(func() { n.store.lose = 1 })
		assert.NilError(t, vm.Record(t.Context(), g, 200, []byte("booked")))
		_, prior, err := n.services["vm1"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Equal(t, string(prior.Answer), "booked")
	})
}

// TestPlatformDown guards against a claim that is refused only at a long
// deadline, and against a refused claim that was stored after all and blocks
// its key for the retention.
func TestPlatformDown(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		vm := n.services["vm1"]
		_, _, err := vm.Claim(t.Context(), request("warm", time.Second))
		assert.NilError(t, err)
		n.store.set(func() { n.store.lose = 1 })
		begin := time.Now()
		go func() {
			time.Sleep(8 * time.Millisecond)
			n.store.set(func() { n.store.down = true })
		}()
		_, _, err = vm.Claim(t.Context(), request("k", time.Minute))
		did(t, err, errs.ClaimUnavailable, errs.DidNotRun)
		assert.Assert(t, time.Since(begin) < 3*time.Second, "%s", time.Since(begin))
		time.Sleep(20 * time.Second)
		n.store.set(func() { n.store.down = false })
		assert.NilError(t, vm.Flush(t.Context()))
		_, prior, err := n.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Assert(t, prior == nil)
		// A claim that was certainly not stored leaves nothing to release.
		n.store.set(func() { n.store.down = true })
		_, _, err = n.services["vm0"].Claim(t.Context(), request("k2", time.Minute))
		did(t, err, errs.ClaimUnavailable, errs.DidNotRun)
		begin = time.Now()
		assert.NilError(t, n.services["vm0"].Flush(t.Context()))
		assert.Equal(t, time.Since(begin), time.Duration(0))
	})
}

// TestOutcomeNotRecorded guards against an outcome that is dropped when the
// platform fails, and against a repeat that runs meanwhile.
func TestOutcomeNotRecorded(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		g, _, err := n.services["vm1"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		n.store.set(func() { n.store.down = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		did(t, n.services["vm1"].Record(ctx, g, 200, []byte("booked")), errs.OutcomeUnknown, errs.MayHaveRun)
		cancel()
		n.store.set(func() { n.store.down = false })
		_, prior, err := n.services["vm0"].Claim(t.Context(), request("k", 5*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, string(prior.Answer), "booked")
	})
}

// TestDisconnectedCaller guards against an outcome that is dropped because its
// caller left while the owner was silent.
func TestDisconnectedCaller(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		g, _, err := n.services["vm1"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		n.silent["vm0"] = true
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		did(t, n.services["vm1"].Record(ctx, g, 200, []byte("booked")), errs.OutcomeUnknown, errs.MayHaveRun)
		assert.NilError(t, n.services["vm1"].Flush(t.Context()))
		_, prior, err := n.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Equal(t, string(prior.Answer), "booked")
	})
}

// TestRepeatOfUnfinished guards against a repeat that runs, or ends before its
// deadline, while the outcome of the first run is not known; and against a
// read of the platform for each poll.
func TestRepeatOfUnfinished(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		_, _, err := n.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		begin := time.Now()
		results := make(chan error)
		for i := range 20 {
			vm := n.services[n.view.VMs["vm0"].ID]
			if i%2 == 0 {
				vm = n.services["vm1"]
			}
			go func() {
				_, _, err := vm.Claim(t.Context(), request("k", 10*time.Second))
				results <- err
			}()
		}
		for range 20 {
			did(t, <-results, errs.OutcomeUnknown, errs.MayHaveRun)
		}
		assert.Assert(t, time.Since(begin) > 9900*time.Millisecond && time.Since(begin) <= 10*time.Second, "%s", time.Since(begin))
		assert.Assert(t, n.store.gets < 20, "%d reads", n.store.gets)
	})
}

// TestGroupCommit guards against one update for each claim.
func TestGroupCommit(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		const claims = 400
		results := make(chan error)
		for i := range claims {
			go func() {
				_, _, err := n.services[n.view.VMs["vm1"].ID].Claim(t.Context(), request(fmt.Sprint(i), time.Second))
				results <- err
			}()
		}
		for range claims {
			assert.NilError(t, <-results)
		}
		assert.Assert(t, n.store.puts <= claims/10, "%d updates", n.store.puts)
		assert.Equal(t, n.asked, claims)
	})
}

// TestLayoutIsFixed guards against a changed number of partitions, under which
// a key would be looked for elsewhere and run again.
func TestLayoutIsFixed(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		g, _, err := n.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.NilError(t, n.services["vm0"].Record(t.Context(), g, 200, []byte("booked")))
		later := newTier(2, n.store, 64)
		for _, vm := range later.services {
			_, prior, err := vm.Claim(t.Context(), request("k", time.Second))
			assert.NilError(t, err)
			assert.Equal(t, string(prior.Answer), "booked")
		}
		later.close()
	})
}

// TestSlowPlatform guards against VMs that take a slow platform for a silent
// owner, update the partition beside it and add conflicts to the load.
func TestSlowPlatform(t *testing.T) {
	inTier(t, func(t *testing.T, n *tier) {
		n.store.set(func() { n.store.latency = 400 * time.Millisecond })
		results := make(chan error)
		for i := range 50 {
			go func() {
				_, _, err := n.services["vm1"].Claim(t.Context(), request(fmt.Sprint(i), 5*time.Second))
				results <- err
			}()
		}
		for range 50 {
			assert.NilError(t, <-results)
		}
		assert.NilError(t, n.services["vm1"].Flush(t.Context()))
		assert.Equal(t, n.store.rejects, 0)
	})
}

// TestStaleOwner guards against an owner that refuses an outcome because it
// has not read the claim that another VM stored.
func TestStaleOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTier(2, newMemoryStore(5*time.Millisecond), 1)
		_, _, err := n.services["vm0"].Claim(t.Context(), request("warm", time.Second))
		assert.NilError(t, err)
		n.unreachable["vm0"] = true
		g, _, err := n.services["vm1"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		n.unreachable["vm0"] = false
		assert.NilError(t, n.services["vm1"].Record(t.Context(), g, 200, []byte("booked")))
		n.close()
	})
}
