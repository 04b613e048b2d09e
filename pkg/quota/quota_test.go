package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drawnCaps returns caps as of a site: few large tenants, most of them small.
func drawnCaps(r *rand.Rand, n int) map[string]Cap {
	caps := map[string]Cap{}
	for i := range n {
		rate := 0.2 + r.Float64()
		if i%6 == 0 {
			rate = 10 + 60*r.Float64()
		}
		caps[fmt.Sprintf("t%d", i)] = Cap{PerSecond: rate, Burst: rate * float64(i%3)}
	}
	return caps
}

// drawFault breaks something for some seconds.
func (s *sim) drawFault() {
	a, domain := s.anyVM(), s.vms[s.rand.IntN(len(s.vms))].Domain
	domains := map[string]string{}
	for _, vm := range s.vms {
		domains[vm.Name] = vm.Domain
	}
	none := func(string, string) bool { return false }
	lasts := 200*time.Millisecond + time.Duration(s.rand.Int64N(int64(6*time.Second)))
	switch s.rand.IntN(7) {
	case 0: // a VM dies
		delete(s.nodes, a)
		s.after(lasts, func() { s.boot(a) })
	case 1: // a process restarts at once
		s.boot(a)
	case 2: // a failure domain is cut off
		s.cut = func(x, y string) bool { return (domains[x] == domain) != (domains[y] == domain) }
		s.after(lasts, func() { s.cut = none })
	case 3: // a VM is cut off from the others
		s.cut = func(x, y string) bool { return x == a || y == a }
		s.after(lasts, func() { s.cut = none })
	case 4: // links break one by one, in one direction
		salt := s.rand.Uint64()
		s.cut = func(x, y string) bool {
			return rand.New(rand.NewPCG(salt, uint64(len(x)*1000)+uint64(x[len(x)-1])*31+uint64(y[len(y)-1]))).Float64() < 0.4
		}
		s.after(lasts, func() { s.cut = none })
	case 5: // answers are lost
		s.loss = 0.3
		s.after(lasts, func() { s.loss = 0 })
	case 6: // a new VM joins
		vm := VM{Name: fmt.Sprintf("new%d", s.seq), Domain: domain}
		s.vms = append(s.vms, vm)
		s.boot(vm.Name)
	}
}

// Guards against more requests of a tenant in a window than its cap allows, whatever the
// load, and whichever VMs die, restart, join, are cut off or lose answers.
func TestModelRequestsStayWithinTheBound(t *testing.T) {
	for _, size := range []struct{ vms, domains, runs int }{{5, 3, 12}, {33, 3, 6}, {81, 4, 2}} {
		worst := 0.0
		for seed := range uint64(size.runs) {
			s := newSim(seed, size.vms, size.domains, nil)
			s.caps = drawnCaps(s.rand, 12)
			s.checkRights()
			for tenant, c := range s.caps {
				factor, fixed := 1.0, s.anyVM()
				s.load(tenant, func() float64 { return factor * c.PerSecond / 1.6 }, func() string {
					if len(tenant)%2 == 0 && s.rand.Float64() < 0.9 {
						return fixed
					}
					return s.anyVM()
				})
				for at := time.Duration(0); at < 60*time.Second; at += 5 * time.Second {
					s.after(at, func() { factor, fixed = []float64{0.3, 1, 7}[s.rand.IntN(3)], s.anyVM() })
				}
			}
			for at := 3 * time.Second; at < 60*time.Second; at += 7 * time.Second {
				s.after(at, s.drawFault)
			}
			s.runUntil(60 * time.Second)
			for tenant, c := range s.caps {
				n, part := s.worst(tenant, c, 0)
				assert.Check(t, part <= 1, "%d VMs, seed %d: %d requests of %s (%+v) in a window, %.2f of the bound", size.vms, seed, n, tenant, c, part)
				worst = max(worst, part)
			}
			assert.Check(t, s.doubleRights == 0, "%d VMs, seed %d: two VMs with the right to grant, %d times", size.vms, seed, s.doubleRights)
		}
		t.Logf("%d VMs: at most %.2f of the bound", size.vms, worst)
	}
}

// Guards against refusals of a tenant below its cap because one VM lacks a share: all of
// its requests come to one VM, move between VMs, or are spread. A single bucket that
// sees all requests is the measure. Also guards against refusals because VMs pause: some
// messages take up to 80 ms longer.
func TestRequestsBelowTheCapAreNotRefused(t *testing.T) {
	for _, size := range []struct {
		vms     int
		slow    float64
		refused int
	}{{5, 0, 60}, {33, 0, 60}, {33, 0.02, 150}} {
		vms := size.vms
		s := newSim(1, vms, 3, nil)
		s.slow = size.slow
		s.caps = drawnCaps(s.rand, 30)
		const from, end = 20 * time.Second, 80 * time.Second
		ideal, requests := 0, 0
		for tenant, c := range s.caps {
			fixed := s.anyVM()
			one := bucket{level: max(1, c.Burst), at: simStart}
			places := map[byte]func() string{'0': s.anyVM, '1': func() string { return fixed }, '2': func() string {
				return s.vms[int(s.now.Sub(simStart).Seconds())%len(s.vms)].Name
			}}
			place, ok := places[tenant[len(tenant)-1]]
			if !ok {
				place = s.anyVM
			}
			s.load(tenant, func() float64 { return c.PerSecond / 1.6 }, func() string {
				one.fill(s.now, c.PerSecond, max(1, c.Burst))
				if one.level >= 1 {
					one.level--
				} else if s.now.Sub(simStart) >= from {
					ideal++
				}
				requests++
				return place()
			})
		}
		s.runUntil(end)
		refused := 0
		for tenant := range s.caps {
			refused += s.refusedBetween(tenant, from, end)
		}
		t.Logf("%d VMs: %d requests, %d refused, %d by one bucket, %d messages", vms, requests, refused, ideal, s.messages)
		assert.Check(t, refused <= size.refused && refused <= ideal, "%d VMs: %d refused, %d by one bucket", vms, refused, ideal)
	}
}

// largeTenant is the cap of the tenant of the tests below, which is used at factor times
// the rate that it usually has.
var largeTenant = Cap{PerSecond: 38, Burst: 38}

// newLargeSim returns a fleet of 33 VMs and the VMs that may grant for the tenant "t".
func newLargeSim(t *testing.T, factor float64) (*sim, []string) {
	t.Helper()
	s := newSim(1, 33, 3, map[string]Cap{"t": largeTenant})
	s.checkRights()
	s.load("t", func() float64 { return factor * largeTenant.PerSecond / 1.6 }, s.anyVM)
	s.runUntil(20 * time.Second)
	return s, s.nodes["vm0"].members.ranked("t")
}

// checkBound checks the bound of the large tenant and that no two VMs had the right to
// grant for it.
func (s *sim) checkBound(t *testing.T) {
	t.Helper()
	n, part := s.worst("t", largeTenant, 0)
	assert.Check(t, part <= 1, "%d requests in a window, %.2f of the bound", n, part)
	assert.Check(t, s.doubleRights == 0, "two VMs had the right to grant %d times", s.doubleRights)
	t.Logf("%d requests in a window, %.2f of the bound; %d of %d refused from 20 s on", n, part, s.refusedBetween("t", 20*time.Second, time.Hour), len(s.reached["t"])+len(s.refused["t"]))
}

// Guards against a tenant that stays without a granting VM after its one has died.
func TestNextVMGrantsAfterTheDeathOfTheGrantingVM(t *testing.T) {
	s, ranked := newLargeSim(t, 1)
	delete(s.nodes, ranked[0])
	s.runUntil(40 * time.Second)
	s.checkBound(t)
	assert.Check(t, s.refusedBetween("t", 20*time.Second, 23*time.Second) <= 24)
	assert.Equal(t, s.refusedBetween("t", 23*time.Second, time.Hour), 0)
	s.boot(ranked[0])
	s.runUntil(60 * time.Second)
	s.checkBound(t)
	assert.Check(t, s.refusedBetween("t", 40*time.Second, time.Hour) <= 48)
	assert.Equal(t, s.refusedBetween("t", 45*time.Second, time.Hour), 0)
}

// Guards against a planned stop that costs as much as a death.
func TestLeavingVMHandsItsTenantsOver(t *testing.T) {
	s, ranked := newLargeSim(t, 1)
	s.sendVotes(ranked[0], s.nodes[ranked[0]].Leave(s.now))
	s.runUntil(40 * time.Second)
	s.checkBound(t)
	assert.Check(t, s.refusedBetween("t", 20*time.Second, time.Hour) <= 12)
}

// Guards against a granting VM that is cut off with its failure domain and goes on
// granting to it.
func TestVMThatIsCutOffStopsGranting(t *testing.T) {
	s, ranked := newLargeSim(t, 7)
	domain := map[string]string{}
	for _, vm := range s.vms {
		domain[vm.Name] = vm.Domain
	}
	s.cut = func(a, b string) bool {
		return (domain[a] == domain[ranked[0]]) != (domain[b] == domain[ranked[0]])
	}
	s.runUntil(22 * time.Second)
	assert.Check(t, !s.nodes[ranked[0]].Granting(s.now))
	before := len(s.reached["t"])
	s.runUntil(32 * time.Second)
	served := len(s.reached["t"]) - before
	assert.Check(t, served >= 342, "%d of 380 requests served by the others", served)
	s.checkBound(t)
}

// Guards against two VMs that grant for a tenant because some VMs reach the first one and
// others do not.
func TestTwoVMsDoNotGrantAtTheSameTime(t *testing.T) {
	s, ranked := newLargeSim(t, 7)
	electors := s.nodes["vm0"].members.electors(ranked[0])
	reaches := map[string]bool{ranked[0]: true}
	for _, e := range electors[:len(electors)/2+1] {
		reaches[e] = true
	}
	s.cut = func(a, b string) bool { return a == ranked[0] && !reaches[b] || b == ranked[0] && !reaches[a] }
	s.runUntil(40 * time.Second)
	s.checkBound(t)
	assert.Check(t, s.nodes[ranked[0]].Granting(s.now))
}

// Guards against full buckets and forgotten votes of VMs that have just started.
func TestRestartsOfAllVMsStayWithinTheBound(t *testing.T) {
	s, ranked := newLargeSim(t, 7)
	for i, vm := range append(ranked, s.nodes["vm0"].members.electors(ranked[0])...) {
		s.after(time.Duration(i)*300*time.Millisecond, func() { s.boot(vm) })
	}
	s.runUntil(40 * time.Second)
	s.checkBound(t)
}

// Guards against tokens of lost answers that are given out again.
func TestTokensOfLostAnswersCountAsUsed(t *testing.T) {
	s, _ := newLargeSim(t, 7)
	s.loss = 0.3
	s.runUntil(40 * time.Second)
	s.checkBound(t)
}

// Guards against a lowered cap that binds only once the tokens of the former one are
// used up.
func TestLoweredCapBindsWithinAWindow(t *testing.T) {
	s, _ := newLargeSim(t, 7)
	lowered := Cap{PerSecond: 2, Burst: 1}
	s.caps["t"] = lowered
	s.runUntil(40 * time.Second)
	n, part := s.worst("t", lowered, 20*time.Second)
	assert.Check(t, part <= 1, "%d requests in a window, %.2f of the bound", n, part)
}

// Guards against tenants that lose their granting VM because the store has come back
// from a copy that lacks entries of VMs.
func TestEntriesThatTheStoreHasLostChangeNothing(t *testing.T) {
	s, _ := newLargeSim(t, 1)
	all := s.vms
	s.vms = all[:len(all)/2]
	s.runUntil(23 * time.Second)
	s.vms = all
	s.runUntil(40 * time.Second)
	s.checkBound(t)
	assert.Equal(t, s.refusedBetween("t", 20*time.Second, time.Hour), 0)
}

// Guards against a VM of an older build that no tenant of it gets tokens from.
func TestVMsOfOlderBuildsAreLeftOut(t *testing.T) {
	s, ranked := newLargeSim(t, 1)
	delete(s.nodes, ranked[0])
	for _, n := range s.nodes {
		n.MarkOlder(s.now, ranked[0])
	}
	s.runUntil(40 * time.Second)
	s.checkBound(t)
	assert.Check(t, s.refusedBetween("t", 20*time.Second, time.Hour) <= 24)
}

// Guards against an elector that breaks the promises it gave before its restart.
func TestRestartedElectorVotesOnceItsPromisesAreOver(t *testing.T) {
	e := elector{started: simStart, ballots: map[string]*ballot{}}
	for _, kind := range []VoteKind{VoteAlive, VoteDown} {
		v := Vote{Kind: kind, Subject: fmt.Sprint(kind)}
		assert.Check(t, !e.decide(simStart.Add(leaseTime-1), v, true))
		assert.Check(t, e.decide(simStart.Add(leaseTime), v, true))
	}
}

// Guards against a burst from each VM that takes over.
func TestVMThatTakesOverStartsWithAnAlmostEmptyBucket(t *testing.T) {
	g := NewGranter(Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	a := Ask{Tenant: "t", Cap: Cap{PerSecond: 1, Burst: 500}, Count: 1000}
	for i, limit := range []int{600, 8, 8} {
		now, granted := simStart.Add(time.Duration(i+1)*time.Hour), 0
		for range 1000 {
			granted += g.Grant(now, a, right{since: simStart.Add(time.Duration(i*(i+1)) * time.Hour), ahead: uint64(i)}).Count
		}
		assert.Check(t, granted > 0 && granted <= limit, "%d granted by right number %d", granted, i)
	}
}

// Guards against tokens that are kept and used together with those of a later window, and
// against a refusal that outlives a raised cap.
func TestTokensAndRefusalsLapse(t *testing.T) {
	h := NewHolder(Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	c := Cap{PerSecond: 0.01, Burst: 10}
	h.Add(simStart, simStart, "t", Grant{Outcome: Granted, Count: 9}, false)
	assert.Equal(t, h.Take(simStart.Add(99*time.Millisecond), "t", c).Verdict, Admit)
	assert.Equal(t, h.Take(simStart.Add(100*time.Millisecond), "t", c).Verdict, AskOthers)
	h.Add(simStart, simStart, "t", Grant{Outcome: OverCap, RetryAfter: time.Minute}, false)
	assert.DeepEqual(t, h.Take(simStart, "t", c), Decision{Verdict: Refuse, RetryAfter: time.Minute})
	assert.Equal(t, h.Take(simStart.Add(maxRefusedTime), "t", c).Verdict, AskOthers)
}

// Guards against VMs that drop out of the order while the store lacks their entries, and
// against a new VM that counts before all others know it.
func TestVMsCountOnceAllKnowThem(t *testing.T) {
	m, old, young := newMembers(simStart), VM{Name: "old"}, VM{Name: "new"}
	names := func(at time.Duration, vms ...VM) (names string) {
		m.update(simStart.Add(at), vms)
		for _, vm := range m.counted {
			names += vm.Name + " "
		}
		return names
	}
	assert.Equal(t, names(0, old), "old ")
	assert.Equal(t, names(20*time.Second, old, young), "old ")
	assert.Equal(t, names(20*time.Second+joinDelay, young), "new old ")
	assert.Equal(t, names(25*time.Second+joinDelay, old, young), "new old ")
	assert.Equal(t, names(time.Minute, young), "new old ")
	assert.Equal(t, names(time.Minute+leaveDelay, young), "new ")
	assert.Equal(t, names(2*time.Minute, old, young), "new old ")
}

// BenchmarkFleet measures the messages that each VM sends, requests and answers, with the
// usual load of a site.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct {
		vms, tenants int
		perSecond    float64
	}{{33, 84, 120}, {1500, 10000, 5454}} {
		b.Run(fmt.Sprint(size.vms), func(b *testing.B) {
			for b.Loop() {
				s := newSim(1, size.vms, 3, nil)
				s.caps = drawnCaps(s.rand, size.tenants)
				total := 0.0
				for _, c := range s.caps {
					total += c.PerSecond
				}
				for tenant, c := range s.caps {
					rate := c.PerSecond / total * size.perSecond
					s.caps[tenant] = Cap{PerSecond: 1.6 * rate, Burst: 1.6 * rate}
					s.load(tenant, func() float64 { return rate }, s.anyVM)
				}
				s.runUntil(4 * time.Second)
				s.messages, s.votes = 0, 0
				s.runUntil(9 * time.Second)
				perVM := func(n int) float64 { return float64(n) / float64(size.vms) / 5 }
				b.ReportMetric(perVM(s.votes), "vote-messages/s/VM")
				b.ReportMetric(perVM(s.messages-s.votes), "ask-messages/s/VM")
			}
		})
	}
}

// Guards against callers that are refused though their tenant asks for less than the
// operators' bound allows, and against a tenant that breaks the bound because it is used
// almost whole: it asks for less, then for many times that, and the granting VM changes.
func TestBoundIsUsedAndKept(t *testing.T) {
	bounds := Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, c := range []Cap{{PerSecond: 0.5, Burst: 1}, {PerSecond: 6, Burst: 6}, {PerSecond: 38, Burst: 38}} {
		allowed := c.PerSecond*5 + c.Burst + bounds.extra(c)
		g, now := NewGranter(bounds), time.Unix(1000, 0)
		held := right{since: now}
		now = now.Add(10 * time.Second)
		var granted []time.Time
		play := func(perSecond float64, d time.Duration) (refused, admitted int) {
			for end := now.Add(d); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / perSecond)) {
				if g.Grant(now, Ask{Tenant: "t", Cap: c, Count: 1}, held).Outcome != Granted {
					refused++
					continue
				}
				admitted++
				granted = append(granted, now)
				inWindow := 0
				for _, at := range granted {
					if now.Sub(at) < 5*time.Second {
						inWindow++
					}
				}
				assert.Assert(t, float64(inWindow) <= 0.97*allowed, "%+v: %d in a window, %.0f allowed", c, inWindow, allowed)
			}
			return refused, admitted
		}
		refused, _ := play(0.7*allowed/5, 30*time.Second)
		assert.Equal(t, refused, 0)
		_, admitted := play(6*allowed/5, 30*time.Second)
		assert.Assert(t, float64(admitted) >= 6*0.7*allowed, "%+v: %d admitted in six windows, %.0f allowed in each", c, admitted, allowed)
		g, held = NewGranter(bounds), right{since: now}
		play(6*allowed/5, 12*time.Second)
		held = right{since: now}
		play(6*allowed/5, 12*time.Second)
		now = now.Add(5 * time.Second)
		refused, _ = play(0.7*allowed/5, 20*time.Second)
		assert.Equal(t, refused, 0, "%+v: it asks for little again", c)
	}
}

// Guards against ordinary tenants that are refused in the second in which the granting VM
// changes, and against more spare tokens than the cap has left.
func TestSpareTokensServeCalmTenants(t *testing.T) {
	bounds, c := Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, Cap{PerSecond: 6, Burst: 6}
	g, h, now := NewGranter(bounds), NewHolder(bounds), time.Unix(1000, 0)
	held, granted := right{since: now}, 0
	now = now.Add(10 * time.Second)
	ask := func(n int) {
		for range n {
			grant := g.Grant(now, Ask{Tenant: "t", Cap: c, Count: 1}, held)
			if grant.Outcome == Granted {
				granted++
			}
			h.Add(now, now, "t", grant, false)
			now = now.Add(20 * time.Millisecond)
		}
	}
	spare := func() (n int) {
		for h.TakeSpare(now, "t") {
			n++
		}
		return n
	}
	ask(5)
	assert.Equal(t, spare(), 5)
	ask(5)
	now = now.Add(spareTime)
	assert.Equal(t, spare(), 0, "too old")
	now = now.Add(10 * time.Second)
	granted = 0
	ask(40)
	assert.Assert(t, float64(granted+spare()) <= g.usable(c), "%d tokens and the spare ones, %.0f usable", granted, g.usable(c))
	ask(60)
	assert.Equal(t, spare(), 0, "the tenant is over its cap")
}
