package forward

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/rollout"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// answerLog is a RolloutRecorder.
type answerLog struct {
	mu      sync.Mutex
	answers []rollout.Answer
}

func (l *answerLog) RecordAnswer(_ time.Time, a rollout.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// rolloutTier has an old and a new replica of service s; new ones fail if bad is set.
func rolloutTier(t *testing.T, bad bool, f func(v *virtualTier, old, fresh *virtualReplica, log *answerLog)) {
	inVirtualTime(t, singleRoute(true), func(v *virtualTier) {
		old := v.addReplica("s", "old", 1000, always(time.Millisecond))
		fresh := v.addReplica("s", "new", 1000, always(time.Millisecond))
		old.Member.Version, fresh.Member.Version = "v1", "v2"
		if bad {
			fresh.refuse = func(string) bool { return true }
		}
		log := &answerLog{}
		old.SetRollout(log, false)
		fresh.SetRollout(log, true)
		f(v, old, fresh, log)
	})
}

// withPlan puts a plan in force.
func (v *virtualTier) withPlan(plan rollout.Plan, credit *rollout.Credit, all ...*virtualReplica) *ReplicaSet {
	v.setReplicas(all...)
	rs := v.view.ReplicaSets["s"]
	rs.ApplyPlan(plan, credit)
	v.forwarder.SetView(v.view)
	return rs
}

// Guards against requests to a version under test beyond its share, whatever kind of send
// they are, against evidence without the version, and against a second failure of a
// request that the new version has failed.
func TestRolloutKeepsTheShare(t *testing.T) {
	for _, bad := range []bool{false, true} {
		rolloutTier(t, bad, func(v *virtualTier, old, fresh *virtualReplica, log *answerLog) {
			rs := v.withPlan(rollout.Plan{InUse: []string{"v1"}, Target: "v2", Share: 0.05}, rollout.NewCredit(0, 1), old, fresh)
			for i := range 200 {
				assert.Equal(t, v.send(nil, "/p/x", fmt.Sprint(i)).Code, 200)
			}
			sends := old.requests.Load() + fresh.requests.Load()
			assert.Assert(t, fresh.requests.Load() >= 9 && float64(fresh.requests.Load()) <= 0.05*float64(sends), "%d of %d", fresh.requests.Load(), sends)
			assert.Assert(t, len(log.answers) >= 200-10)
			failed := slices.ContainsFunc(log.answers, func(a rollout.Answer) bool { return a.New && a.Failed && a.Route == "plain" })
			assert.Equal(t, failed, bad)
			relayed := 0
			for range 200 {
				u, refusal := v.forwarder.pickRelayed(v.view, time.Now(), "s", &wire.RelayRequest{Usual: time.Millisecond, End: time.Hour})
				if refusal == nil && u == fresh.Upstream {
					relayed++
				}
			}
			assert.Assert(t, relayed <= 10 && (bad || relayed >= 9), "%d", relayed)
			assert.Equal(t, len(rs.main(time.Now()).Upstreams), 1)
		})
	}
}

// Guards against requests to a version that no order allows, to a new version whose share
// is not known, and to old replicas that may stop; and against a VM that is cut off and
// finds all its replicas gone.
func TestRolloutMovesRequests(t *testing.T) {
	rolloutTier(t, false, func(v *virtualTier, old, fresh *virtualReplica, _ *answerLog) {
		counts := func(n int) (int64, int64) {
			o, f := old.requests.Load(), fresh.requests.Load()
			for i := range n {
				v.send(nil, "/p/x", fmt.Sprint(i))
			}
			return old.requests.Load() - o, fresh.requests.Load() - f
		}
		credit := rollout.NewCredit(50, 1)
		for name, plan := range map[string]rollout.Plan{
			"no order":       {InUse: []string{"v1"}},
			"share unknown":  {InUse: []string{"v1"}, Target: "v2", LastResort: true},
			"another target": {InUse: []string{"v1"}, Target: "v3", Share: 0.5},
		} {
			v.withPlan(plan, credit, old, fresh)
			o, f := counts(20)
			assert.Assert(t, o == 20 && f == 0, name)
		}
		now := time.Now()
		v.withPlan(rollout.Plan{InUse: []string{"v1"}, Target: "v2", Share: 0.05, ShiftedAt: now, OldUntil: now.Add(3 * time.Second)}, credit, old, fresh)
		time.Sleep(2500 * time.Millisecond)
		o, f := counts(20)
		assert.Assert(t, o == 0 && f == 20)
		fresh.Tracker.SetDown(true)
		o, f = counts(5)
		assert.Assert(t, o == 5 && f == 0) // the old replicas still run
		time.Sleep(time.Second)
		o, f = counts(5)
		assert.Assert(t, o == 0 && f == 0)
		fresh.Tracker.SetDown(false)
		v.withPlan(rollout.Plan{InUse: []string{"v1"}, Target: "v2", LastResort: true}, credit, old, fresh)
		old.Tracker.SetDown(true)
		o, f = counts(5)
		assert.Assert(t, o == 0 && f == 5)
	})
}
