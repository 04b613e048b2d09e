package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// simVM is one VM of a simulated fleet.
type simVM struct {
	name     string
	weight   float64
	rank     int
	delay    time.Duration // until it sees a write
	feeder   *simVM        // nil for a VM that watches the store
	credit   *Credit
	reporter *Reporter
	// wants is the decision that the VM would write, since wantedAt.
	wants    Phase
	wantedAt time.Time
	// cutFrom is when the VM loses the store and its peers; zero for never.
	cutFrom time.Time
}

// simWrite is a state of the store's object.
type simWrite struct {
	at        time.Time
	agreement Agreement
}

// history is one simulated roll-out.
type history struct {
	seed      uint64
	random    *rand.Rand
	kind      string
	duration  time.Duration
	perSecond float64
	routes    int
	// badShare of the answers of a bad version fail, or take slowFactor times as long.
	badShare, slowFactor float64
	badFrom              time.Duration
	badRoute             int
	badUnderLoad         bool
	baseFailures         float64
	median               time.Duration
	// stallAt is when one of four replicas of each version answers nothing for stallFor.
	stallAt  [2]time.Duration
	stallFor time.Duration

	start  time.Time
	vms    []*simVM
	writes []simWrite
	// outcome
	oldSent, newSent, badAnswers, lateSends int
	fiftiethBad                             time.Time
	lastNew                                 time.Time
	attempts, conflicts                     int
	final                                   Agreement
}

const simStep = 20 * time.Millisecond

// newHistory draws a roll-out of a kind.
func newHistory(seed uint64, kind string, vms int) *history {
	r := rand.New(rand.NewPCG(seed, 7))
	h := &history{
		seed: seed, random: r, kind: kind, start: time.Unix(1000, 0),
		duration: time.Duration(10+r.IntN(11)) * time.Second, perSecond: 60 + 240*r.Float64(), routes: 1 + r.IntN(3),
		baseFailures: 0.01 * r.Float64(), median: time.Duration(5+r.IntN(60)) * time.Millisecond, badRoute: -1, slowFactor: 1,
	}
	if r.IntN(2) == 0 {
		h.stallFor = time.Duration(100+r.IntN(400)) * time.Millisecond
		h.stallAt = [2]time.Duration{time.Duration(r.Float64() * float64(h.duration)), time.Duration(r.Float64() * float64(h.duration))}
	}
	if kind != "good" {
		h.badShare = 0.25 + 0.75*r.Float64()
		if r.IntN(2) == 0 {
			h.slowFactor = 3 + 3*r.Float64()
		}
	}
	switch kind {
	case "late":
		h.badFrom = time.Duration((0.2 + 0.5*r.Float64()) * float64(h.duration))
	case "under load":
		h.badUnderLoad = true
	case "one route":
		h.routes, h.badRoute = 2+r.IntN(2), 0
	}
	total, skew := 0.0, 1.5*r.Float64()
	watchers := max(2, (vms+23)/24)
	for i := range vms {
		vm := &simVM{
			name: fmt.Sprint("vm", i), weight: 1 / math.Pow(float64(1+r.IntN(vms)), skew), delay: time.Duration(20+r.IntN(130)) * time.Millisecond,
			rank: i, credit: NewCredit(50, vms), reporter: NewReporter(fmt.Sprint("vm", i), h.start),
		}
		if i < watchers {
			vm.delay = time.Duration(5+r.IntN(25)) * time.Millisecond
		} else {
			vm.feeder = h.vms[r.IntN(watchers)]
		}
		total += vm.weight
		h.vms = append(h.vms, vm)
	}
	for _, vm := range h.vms {
		vm.weight /= total
	}
	return h
}

// seen returns the state that a VM knows, and whether it is current.
func (h *history) seen(vm *simVM, now time.Time) (*Agreement, bool) {
	known := now
	if !vm.cutFrom.IsZero() && now.After(vm.cutFrom) {
		known = vm.cutFrom
	}
	for i := len(h.writes) - 1; i >= 0; i-- {
		if !h.writes[i].at.Add(vm.delay).After(known) {
			return &h.writes[i].agreement, now.Sub(known) < Lease
		}
	}
	return nil, now.Sub(known) < Lease
}

// play plays the roll-out until a second after its deadline.
func (h *history) play() {
	order := &Order{Service: "s", Target: "v2", Duration: h.duration}
	for now := h.start; now.Before(h.start.Add(h.duration + time.Second)); now = now.Add(simStep) {
		for _, vm := range h.vms {
			a, current := h.seen(vm, now)
			if a != nil {
				h.send(vm, a, current, now)
			}
			if current && now.Sub(h.start)%(5*simStep) == 0 {
				h.decide(vm, a, order, now)
			}
		}
	}
	h.final = h.writes[len(h.writes)-1].agreement
}

// send sends the requests of one step.
func (h *history) send(vm *simVM, a *Agreement, current bool, now time.Time) {
	plan := PlanFor(a, current, 0.1)
	n := h.poisson(vm.weight * h.perSecond * simStep.Seconds())
	for range n {
		answer := Answer{Route: fmt.Sprint("r", h.random.IntN(h.routes)), Failed: h.random.Float64() < h.baseFailures}
		answer.Latency = time.Duration(float64(h.median) * math.Exp(0.25*h.random.NormFloat64()))
		answer.New = plan.Allows("v2") || (plan.Target != "" && vm.credit.Take(plan.ShareAt(now)))
		version := 0
		if answer.New {
			version = 1
		}
		if left := h.start.Add(h.stallAt[version] + h.stallFor).Sub(now); left > 0 && left < h.stallFor && h.random.IntN(4) == 0 {
			answer.Latency += left
		}
		if !answer.New {
			h.oldSent++
		} else {
			h.newSent++
			h.lastNew = now
			if !h.fiftiethBad.IsZero() && now.Sub(h.fiftiethBad) > 5*time.Second {
				h.lateSends++
			}
			if h.isBad(answer.Route, a, now) {
				if h.slowFactor > 1 {
					answer.Latency = time.Duration(h.slowFactor * float64(answer.Latency))
				} else {
					answer.Failed = true
				}
				if h.badAnswers++; h.badAnswers == 50 {
					h.fiftiethBad = now
				}
			}
		}
		if !a.Final() {
			vm.reporter.Record(now, a.ShiftedAt, answer)
		}
	}
}

func (h *history) isBad(route string, a *Agreement, now time.Time) bool {
	switch {
	case h.badShare == 0, now.Before(h.start.Add(h.badFrom)), h.badUnderLoad && (a.Phase == Canary || now.Sub(a.ShiftedAt) < rampTime/2):
		return false
	case h.badRoute >= 0 && route != fmt.Sprint("r", h.badRoute):
		return false
	}
	return h.random.Float64() < h.badShare
}

func (h *history) poisson(mean float64) int {
	n, p := 0, h.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= h.random.Float64()
	}
	return n
}

// decide lets a VM write what it would, if it is its turn.
func (h *history) decide(vm *simVM, a *Agreement, order *Order, now time.Time) {
	in := Input{Now: now, Order: order, OrderRevision: 1, Agreement: a, InUse: []string{"v1"}, OldReplicas: 4, NewReplicas: 4}
	watchers := max(2, (len(h.vms)+23)/24)
	if a != nil {
		in.Evidence = a.Evidence
		if vm.feeder != nil {
			vm.feeder.reporter.Absorb(vm.reporter.Flush())
		} else {
			in.Evidence = a.Evidence.Plus(vm.reporter.Evidence())
		}
	}
	next, changed := Next(in)
	if !changed {
		vm.wants = ""
		if a != nil && !a.Final() && !a.Quiet(now) && vm.feeder == nil {
			if id, delta, ok := vm.reporter.Take(now, vm.rank, watchers, 1, a.Phase == Shift); ok {
				if h.write(a, a.WithReport(id, delta), now) {
					vm.reporter.Settle(id)
				} else {
					vm.reporter.Retry(now, id)
				}
			}
		}
		return
	}
	if vm.wants != next.Phase {
		vm.wants, vm.wantedAt = next.Phase, now
	}
	if now.Sub(vm.wantedAt) >= TurnDelay(vm.rank) {
		h.write(a, next, now)
	}
}

// write replaces the object if nobody has since.
func (h *history) write(known *Agreement, next Agreement, now time.Time) bool {
	h.attempts++
	if n := len(h.writes); n > 0 && (known == nil || h.writes[n-1].agreement.Step != known.Step) {
		h.conflicts++
		return false
	}
	h.writes = append(h.writes, simWrite{at: now.Add(8 * time.Millisecond), agreement: next})
	return true
}
