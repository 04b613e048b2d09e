package soak

import (
	"context"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

// regressions are the seeds that once broke a promise, each with its cause.
var regressions = map[uint64]string{
	1983753421: "the soak's own fault: a proxy got the port of a VM that had not started yet",
}

var binary = sync.OnceValues(func() (string, error) {
	dir, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		return "", err
	}
	out := filepath.Join(programs, "nutmeghitch-edge")
	build := exec.Command("go", "build", "-o", out, "./cmd/nutmeghitch-edge")
	build.Dir = dir
	return out, build.Run()
})

// programs is the folder of the programs that the tests build.
var programs string

func TestMain(m *testing.M) { runTests(m) }

func config(t *testing.T, seed uint64, faults int) Config {
	t.Helper()
	program, err := binary()
	assert.NilError(t, err)
	return Config{
		Binary: program, Dir: t.TempDir(), Seed: seed, VMs: 3, Callers: 4,
		Faults: faults, Gap: 400 * time.Millisecond, Out: t.Output(),
	}
}

func check(t *testing.T, r Result, err error) {
	t.Helper()
	assert.NilError(t, err)
	for _, line := range r.Broken {
		t.Error(line)
	}
	t.Logf("%d asked, %d served, %.2f of a cap used", r.Asked, r.Served, r.MostOfCap)
}

// Guards against any promise that a short run with a fixed seed, or a seed that
// once failed, shows to be broken.
func TestSeededRuns(t *testing.T) {
	r, err := Run(t.Context(), config(t, 1, 8))
	check(t, r, err)
	for seed, cause := range regressions {
		t.Log(seed, cause)
		r, err := Run(t.Context(), config(t, seed, 16))
		check(t, r, err)
	}
}

// Guards against a planned stop that cuts a request: VM after VM is stopped and
// started while callers keep their connections open.
func TestPlannedStopCutsNothing(t *testing.T) {
	r, err := run(t.Context(), config(t, 2, 0), func(s *site, _ context.Context) {
		for _, v := range s.vms {
			v.signal(syscall.SIGTERM)
			killed := v.wait(stopGrace + readyTimeout)
			if killed {
				s.checker.breach("%s did not stop", v.Name)
			}
			s.restart(v, killed)
		}
	})
	check(t, r, err)
}

// Guards against VMs that together send a replica more than the request limit that it
// names to any of them.
func TestRequestLimitIsKeptByAllVMs(t *testing.T) {
	const (
		perSecond = 3.0
		notice    = 2 * time.Second // one VM may hear of the limit from another
		window    = 4 * time.Second
	)
	c := config(t, 3, 0)
	c.Callers = 8
	r, err := run(t.Context(), c, func(s *site, ctx context.Context) {
		var limited []*standin.Replica
		for _, r := range s.replicas {
			if r.Service == shardSets[0][0] || r.Service == shardSets[0][1] {
				r.SetRequestLimit(perSecond)
				limited = append(limited, r)
			}
		}
		since := time.Now().Add(notice)
		wait.Sleep(ctx, notice+2*window)
		for _, r := range limited {
			arrivals := r.LimitedArrivals()
			for i, at := range arrivals {
				n := 0
				for _, other := range arrivals[i:] {
					if at.After(since) && other.Sub(at) < window {
						n++
					}
				}
				if float64(n) > 1.5*perSecond*window.Seconds()+5 {
					s.checker.breach("%s got %d requests in %s", r.ID, n, window)
					break
				}
			}
			r.SetRequestLimit(0)
		}
	})
	check(t, r, err)
}

// Guards against a request that goes on to end replicas, of one service or of all shards,
// with closed or silent connections, at once or after it has succeeded, although three have
// ended under it.
func TestCrashingRequestIsRefusedByAllVMs(t *testing.T) {
	for _, seed := range []uint64{4, 5, 6, 7, 12, 13, 14, 15} {
		r, err := run(t.Context(), config(t, seed, 0), func(s *site, ctx context.Context) {
			crashing, stop := context.WithTimeout(ctx, 6*time.Second)
			defer stop()
			s.playCrashing(crashing, s.crashingPath())
			if len(s.crashing.crashes) < 3 {
				s.checker.breach("only %d replicas ended", len(s.crashing.crashes))
			}
		})
		check(t, r, err)
	}
}

// Guards against VMs that send requests to a replica within the pause that it has asked
// each of them for.
func TestPauseOfAReplicaIsKeptByEachVM(t *testing.T) {
	const (
		pause  = 2 * time.Second
		pauses = 4
		// perPause is how many requests of one VM may arrive in a pause: the one that
		// hears of it, and those that are allowed after half a second.
		perPause = 1 + 2
	)
	c := config(t, 8, 0)
	c.Callers = 8
	r, err := run(t.Context(), c, func(s *site, ctx context.Context) {
		paused := s.replicas[4:6] // all of a shard, so that no other one is preferred
		for _, r := range paused {
			r.AskForPause(pause)
		}
		wait.Sleep(ctx, pauses*pause)
		for _, r := range paused {
			if n := r.AskForPause(0); n > len(s.vms)*(pauses+1)*perPause {
				s.checker.breach("%s got %d requests in %d pauses", r.ID, n, pauses)
			}
		}
	})
	check(t, r, err)
}

// Guards against VMs that use an older configuration than the newest one after the
// store has come back from an older copy, twice, while VMs restart.
func TestRestoredStoreLosesNoConfiguration(t *testing.T) {
	r, err := run(t.Context(), config(t, 4, 0), func(s *site, ctx context.Context) {
		for _, v := range s.vms[:2] {
			s.olderStore = s.store.Copy()
			for range 2 * len(s.replicas) { // more than what is written again
				s.configure()
			}
			wait.Sleep(ctx, time.Second)
			end := s.storeRestored().do()
			s.kill(v).do()()
			wait.Sleep(ctx, time.Second)
			end()
			s.checkConfiguration(ctx)
		}
	})
	check(t, r, err)
}

// Guards against a check that never fails: a merge that lacks a part, a second
// run, and a refusal of a request that ran are each told.
func TestCheckerTellsBrokenPromises(t *testing.T) {
	c := newCheckerForTest()
	c.runs.Add("one", singleService)
	c.runs.Add("one", singleService)
	c.runs.Add("two", singleService)
	v := &vm{}
	c.all = []asked{
		{id: "one", path: "/book/x", vm: v, status: 200},
		{id: "two", path: "/book/x", vm: v, status: 503},
		{id: "three", path: "/read/x", idempotent: true, vm: v, status: 503},
	}
	c.finish()
	assert.Equal(t, len(c.broken), 2, "%v", c.broken)
	a := &asked{id: "four", path: "/all/x"}
	c.checkAnswer(a, answerHeader("a0.four, a1.four", "2"), []byte("not the merge"))
	c.checkAnswer(a, answerHeader("a0.four, b1.four", "2"), mergeOf("four", "a0", "b1"))
	c.checkAnswer(a, answerHeader("a0.four, a0.four", "2"), mergeOf("four", "a0", "a0"))
	c.checkAnswer(a, answerHeader("a0.other", "3"), nil)
	assert.Equal(t, len(c.broken), 6, "%v", c.broken)
	c.checkAnswer(a, answerHeader("a0.four, a2.four", "2"), mergeOf("four", "a0", "a2"))
	assert.Equal(t, len(c.broken), 6, "%v", c.broken)
}

// Guards against two listeners of VMs that are given the same port: the ports are
// drawn before any VM listens, and the second VM then ends at its start.
func TestPortsOfVMsAreDistinct(t *testing.T) {
	drawn := map[string]bool{}
	for range 1000 {
		addr, err := freeAddr()
		assert.NilError(t, err)
		assert.Assert(t, !drawn[addr], "%s was returned twice", addr)
		drawn[addr] = true
	}
}

// Guards against a VM whose port a proxy or an outgoing connection takes: its
// callers would then reach something else.
func TestPortsOfVMsAreNotHandedOut(t *testing.T) {
	for range 50 {
		addr, err := freeAddr()
		assert.NilError(t, err)
		host, port, err := net.SplitHostPort(addr)
		assert.NilError(t, err)
		assert.Assert(t, host != "127.0.0.1", "an address that other soaks use too")
		n, err := strconv.Atoi(port)
		assert.NilError(t, err)
		assert.Assert(t, n >= firstPort && n < firstPort+ports, addr)
	}
}

// Guards against processes that read orders, write the status or choose replicas otherwise
// than the platform expects: a bad version is rolled back, a good one succeeds, and no
// request is cut when the old replicas stop.
func TestVersionsAreRolledOut(t *testing.T) {
	c := config(t, 4, 0)
	c.Contracts = []string{"rollout"}
	r, err := run(t.Context(), c, func(s *site, ctx context.Context) {
		if state := s.rollOut(ctx, "v2", standin.Failing); state != "rolled_back" {
			s.checker.breach("the bad version: %q", state)
		}
		if state := s.rollOut(ctx, "v3", standin.Healthy); state != "succeeded" {
			s.checker.breach("the good version: %q", state)
		}
	})
	check(t, r, err)
}
