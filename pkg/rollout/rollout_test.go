package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// Error rates that the verdict is made for: of good versions that are rolled back, of bad
// ones that replace the old one, and of bad ones that get more than the bound of requests
// before they are known.
const (
	maxFalseAlarms = 0.01
	maxMissed      = 0.005
	maxOverShare   = 0.005
)

// Guards against a verdict that rolls good versions back, or lets bad ones replace the
// old one, whenever and wherever they turn bad, and against sends to a bad version beyond
// the bounds of the settings.
func TestDrawnHistories(t *testing.T) {
	kinds := []string{"good", "good", "at once", "late", "under load", "one route", "good", "good", "late", "one route"}
	fleets := []int{5, 26, 33, 119}
	count, wrong, overShare, late := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	writes, most, conflicts := 0, 0, 0
	histories := make([]*history, 1000)
	var playing errgroup.Group
	playing.SetLimit(3)
	for i := range histories {
		playing.Go(func() error {
			histories[i] = newHistory(uint64(i), kinds[i%len(kinds)], fleets[i/len(kinds)%len(fleets)])
			histories[i].play()
			return nil
		})
	}
	assert.NilError(t, playing.Wait())
	for _, h := range histories {
		count[h.kind]++
		want := Undone
		if h.kind == "good" {
			want = Done
		}
		if h.final.Phase != want {
			wrong[h.kind]++
			t.Logf("seed %d, %s, %d VMs, %.0f a second, share %.2f, slow %.1f, bad from %s of %s: %s, %s", h.seed, h.kind, len(h.vms), h.perSecond, h.badShare, h.slowFactor, h.badFrom, h.duration, h.final.Phase, h.final.Reason)
		}
		if h.kind != "good" && float64(h.newSent) > 0.1*float64(h.newSent+h.oldSent)+50 {
			overShare[h.kind]++
			t.Logf("seed %d, %s, %d VMs, %.0f a second, share %.2f: %d of %d requests at the bad version", h.seed, h.kind, len(h.vms), h.perSecond, h.badShare, h.newSent, h.newSent+h.oldSent)
		}
		if h.lateSends > 0 {
			late[h.kind]++
		}
		assert.Assert(t, h.kind != "good" || h.final.Phase != Done || !h.final.EndedAt.After(h.start.Add(h.duration)), "seed %d succeeded late", h.seed)
		writes, most, conflicts = writes+h.attempts, max(most, h.attempts), conflicts+h.conflicts
	}
	bad, missed, lateAll := 0, 0, 0
	for kind, n := range count {
		if kind != "good" {
			bad, missed, lateAll = bad+n, missed+wrong[kind], lateAll+late[kind]
		}
		t.Logf("%s: %d histories, %d wrong, %d beyond the share, %d with sends later than 5 s after the 50th bad answer", kind, n, wrong[kind], overShare[kind], late[kind])
	}
	t.Logf("good versions rolled back: %d of %d; bad versions that succeeded: %d of %d; writes %.0f a roll-out, at most %d, %d conflicts in all", wrong["good"], count["good"], missed, bad, float64(writes)/1000, most, conflicts)
	assert.Assert(t, float64(wrong["good"]) <= maxFalseAlarms*float64(count["good"]))
	assert.Assert(t, float64(missed) <= maxMissed*float64(bad))
	assert.Equal(t, lateAll, 0)
	assert.Equal(t, overShare["at once"], 0)
	over := overShare["late"] + overShare["under load"] + overShare["one route"]
	assert.Assert(t, float64(over) <= maxOverShare*float64(bad))
}

// Guards against more requests to a version under test than all VMs together may send,
// with callers spread unevenly and VMs that restart, and against too few for a verdict.
func TestShareIsKeptByAllVMsTogether(t *testing.T) {
	const share, slack = 0.1, 50
	for _, vms := range []int{5, 26, 119} {
		for skew := range 4 {
			random := rand.New(rand.NewPCG(uint64(vms), uint64(skew)))
			plan := PlanFor(&Agreement{Target: "v2", Phase: Canary, Base: []string{"v1"}}, true, share)
			credits := make([]*Credit, vms)
			for i := range credits {
				credits[i] = NewCredit(slack, vms)
			}
			sent, fresh := 0, 0
			for range 4000 {
				i := int(float64(vms) * math.Pow(random.Float64(), float64(1+3*skew)))
				if sent == 2000 {
					credits[i] = NewCredit(slack, vms) // it has restarted
				}
				sent++
				if credits[i].Take(plan.ShareAt(time.Time{})) {
					fresh++
				}
				assert.Assert(t, float64(fresh) <= share*float64(sent)+slack)
			}
			t.Logf("%d VMs, skew %d: %d of %d requests to the new version", vms, skew, fresh, sent)
			assert.Assert(t, fresh >= sent/25)
		}
	}
}

var testStart = time.Unix(1000, 0)

func testOrder() *Order { return &Order{Service: "s", Target: "v2", Duration: 12 * time.Second} }

// testAgreement returns the agreement about testOrder in a phase. The shift began 8 s
// after the order.
func testAgreement(phase Phase) *Agreement {
	a := &Agreement{Service: "s", Generation: 3, Step: 4, Target: "v2", Duration: 12 * time.Second, OrderRevision: 7, Base: []string{"v1"}, Phase: phase, StartedAt: testStart}
	if phase == Shift {
		a.ShiftedAt = testStart.Add(8 * time.Second)
	}
	return a
}

// Guards against a step that is taken too early, too late or in the wrong order after a
// failure: a bad input, an order that is withdrawn, replaced or given again, a store that
// was away or has come back from an older copy, and a VM that starts in the middle.
func TestSteps(t *testing.T) {
	second := func(f float64) time.Time { return testStart.Add(time.Duration(f * float64(time.Second))) }
	for name, test := range map[string]struct {
		change func(in *Input)
		at     float64
		phase  Phase // empty: no change
		target string
		base   string
	}{
		"first order":                     {change: func(in *Input) { in.Agreement = nil }, phase: Canary, target: "v2", base: "v1"},
		"version that is in use already":  {change: func(in *Input) { in.Agreement, in.InUse = nil, []string{"v2"} }, phase: Done, target: "v2", base: "v2"},
		"bad input":                       {change: func(in *Input) { in.Agreement, in.Order.Fault = nil, "duration_s is 0" }},
		"order becomes unreadable":        {change: func(in *Input) { in.Order.Fault = "no target" }, at: 3, phase: Undone, target: "v2", base: "v1"},
		"withdrawn":                       {change: func(in *Input) { in.Order = nil }, at: 3, phase: Undone, target: "v2", base: "v1"},
		"withdrawn in the shift":          {change: func(in *Input) { in.Order, in.Agreement = nil, testAgreement(Shift) }, at: 9, phase: Undone, target: "v2", base: "v1"},
		"withdrawn after the end":         {change: func(in *Input) { in.Order, in.Agreement = nil, testAgreement(Done) }, at: 30},
		"replaced":                        {change: func(in *Input) { in.Order.Target = "v3" }, at: 3, phase: Canary, target: "v3", base: "v1"},
		"replaced in the shift":           {change: func(in *Input) { in.Order.Target, in.Agreement = "v3", testAgreement(Shift) }, at: 9, phase: Canary, target: "v3", base: "v1"},
		"second order after a success":    {change: func(in *Input) { in.Order.Target, in.Agreement = "v3", testAgreement(Done) }, at: 30, phase: Canary, target: "v3", base: "v2"},
		"second order after a roll-back":  {change: func(in *Input) { in.Order.Target, in.Agreement = "v3", testAgreement(Undone) }, at: 30, phase: Canary, target: "v3", base: "v1"},
		"same order given again":          {change: func(in *Input) { in.Agreement, in.OrderRevision = testAgreement(Undone), 20 }, at: 30, phase: Canary, target: "v2", base: "v1"},
		"status not written yet":          {change: func(in *Input) { in.Agreement = testAgreement(Undone) }, at: 30},
		"restored store without status":   {change: func(in *Input) { in.Agreement, in.OrderRevision, in.OrderEra = testAgreement(Done), 20, 2 }, at: 30},
		"restored store with older order": {change: func(in *Input) { in.Order.Target, in.Order.Status = "v0", Status{Succeeded, "v0"} }, at: 3, phase: Undone, target: "v2", base: "v1"},
		"canary goes on":                  {at: 6.9},
		"canary ends":                     {at: 8, phase: Shift, target: "v2", base: "v1"},
		"no replica of the version":       {change: func(in *Input) { in.NewReplicas = 0 }, at: 11},
		"no replica by the deadline":      {change: func(in *Input) { in.NewReplicas = 0 }, at: 12, phase: Undone, target: "v2", base: "v1"},
		"shift goes on":                   {change: func(in *Input) { in.Agreement = testAgreement(Shift) }, at: 11.5},
		"shift ends":                      {change: func(in *Input) { in.Agreement = testAgreement(Shift) }, at: 11.7, phase: Done, target: "v2", base: "v1"},
		"new replicas have ended":         {change: func(in *Input) { in.Agreement, in.NewReplicas = testAgreement(Shift), 1 }, at: 11.8},
		"store away until the deadline":   {change: func(in *Input) { in.Agreement = testAgreement(Shift) }, at: 40, phase: Undone, target: "v2", base: "v1"},
		"bad in the shift":                {change: func(in *Input) { in.Agreement, in.Evidence = testAgreement(Shift), badEvidence() }, at: 11.9, phase: Undone, target: "v2", base: "v1"},
	} {
		in := Input{Now: second(test.at), Order: testOrder(), OrderRevision: 7, Agreement: testAgreement(Canary), InUse: []string{"v1"}, OldReplicas: 4, NewReplicas: 4}
		if test.change != nil {
			test.change(&in)
		}
		next, changed := Next(in)
		assert.Equal(t, changed, test.phase != "", name)
		if changed {
			assert.Equal(t, next.Phase, test.phase, name)
			assert.Equal(t, next.Target, test.target, name)
			assert.DeepEqual(t, next.Base, []string{test.base})
			assert.Assert(t, next.Later(in.Agreement), name)
		}
	}
}

func badEvidence() Evidence {
	var e Evidence
	for i := range 200 {
		e.Record(0, Answer{Route: "r", Latency: 20 * time.Millisecond})
		e.Record(0, Answer{Route: "r", New: true, Failed: i%3 == 0, Latency: 20 * time.Millisecond})
	}
	return e
}

// Guards against a VM that sends to a version under test without knowing the share, or to
// old replicas when they may stop, or that finds all its replicas gone.
func TestPlans(t *testing.T) {
	now := testStart.Add(11 * time.Second)
	for _, phase := range []Phase{Canary, Shift} {
		cutOff := PlanFor(testAgreement(phase), false, 0.1)
		assert.Assert(t, cutOff.ShareAt(now) == 0 && cutOff.Allows("v1") && !cutOff.Allows("v2") && cutOff.LastResort)
	}
	canary := PlanFor(testAgreement(Canary), true, 0.1)
	assert.Assert(t, canary.ShareAt(now) < 0.1 && canary.ShareAt(now) > 0 && !canary.LastResort)
	shift := PlanFor(testAgreement(Shift), true, 0.1)
	assert.Assert(t, shift.ShareAt(now) == 1)
	_, early := Next(Input{Now: shift.OldUntil.Add(DrainTime - time.Millisecond), Order: testOrder(), OrderRevision: 7, Agreement: testAgreement(Shift)})
	assert.Assert(t, !early) // requests at old replicas have their time
	for phase, version := range map[Phase]string{Done: "v2", Undone: "v1"} {
		final := PlanFor(testAgreement(phase), false, 0.1)
		assert.Assert(t, final.Allows(version) && final.Allows("v1") != final.Allows("v2"))
		assert.Equal(t, final.Target, "")
	}
}

// Guards against evidence that is counted twice or lost when the answer to a write is
// lost, or when two VMs write at once.
func TestReportsAreCountedOnce(t *testing.T) {
	r := NewReporter("vm1", testStart)
	now := testStart.Add(time.Second)
	answers := func() int { n, _ := r.Evidence().NewAnswers(); return n }
	r.Record(now, time.Time{}, Answer{Route: "r", New: true, Latency: time.Millisecond})
	take := func() (string, Evidence) {
		for range 100 {
			if id, delta, ok := r.Take(now, 1, 2, 1, false); ok {
				return id, delta
			}
			now = now.Add(50 * time.Millisecond)
		}
		t.Fatal("no report")
		return "", Evidence{}
	}
	lost, _ := take()
	r.Retry(now, lost) // another VM has written before
	assert.Equal(t, answers(), 1)
	take()
	r.Record(now, time.Time{}, Answer{Route: "r", New: true, Failed: true})
	r.Reconcile(now, testAgreement(Canary)) // the write was lost
	assert.Equal(t, answers(), 2)
	id, delta := take()
	with := testAgreement(Canary).WithReport(id, delta)
	r.Reconcile(now, &with) // only the answer to it was lost
	assert.Equal(t, answers(), 0)
	total, _ := with.Evidence.NewAnswers()
	assert.Equal(t, total, 2)
}
