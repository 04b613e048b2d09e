package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simStart is the time at which simulations begin.
var simStart = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// askTimeout and askWait are how long a simulated VM waits for an answer before it asks
// the next one, and for all answers, as the shell does.
const (
	askTimeout = 12 * time.Millisecond
	askWait    = 60 * time.Millisecond
)

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// sim runs the nodes of a fleet in virtual time.
type sim struct {
	rand   *rand.Rand
	now    time.Time
	events simQueue
	seq    int
	vms    []VM
	bounds Bounds
	// nodes holds the running VMs; a restarted one is another Node.
	nodes map[string]*Node
	// slow is the part of messages that wait up to 80 ms for a processor.
	slow float64
	// cut reports whether messages from a to b are lost, loss is the part of all that are.
	cut  func(a, b string) bool
	loss float64
	caps map[string]Cap
	// reached holds when the requests of each tenant reached replicas, refused when
	// they were refused.
	reached, refused map[string][]time.Time
	// doubleRights counts the times at which two VMs had the right for one tenant.
	doubleRights int
	// messages counts all that were sent, votes those about rights to grant.
	messages, votes int
}

func newSim(seed uint64, vms, domains int, caps map[string]Cap) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), now: simStart, bounds: Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, nodes: map[string]*Node{},
		cut: func(string, string) bool { return false }, caps: caps, reached: map[string][]time.Time{}, refused: map[string][]time.Time{},
	}
	for i := range vms {
		s.vms = append(s.vms, VM{Name: fmt.Sprintf("vm%d", i), Domain: fmt.Sprintf("d%d", i%domains)})
	}
	for _, vm := range s.vms {
		s.boot(vm.Name)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at.Before(simStart.Add(end)) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = simStart.Add(end)
}

// boot starts or restarts a VM.
func (s *sim) boot(name string) {
	n := NewNode(s.now, name, s.bounds)
	s.nodes[name] = n
	n.SetVMs(s.now, s.vms)
	var tick func()
	tick = func() {
		if s.nodes[name] != n {
			return
		}
		n.SetVMs(s.now, s.vms)
		s.sendVotes(name, n.Tick(s.now))
		s.after(retryInterval, tick)
	}
	s.after(time.Duration(s.rand.Int64N(int64(retryInterval))), tick)
}

// deliver runs receive after the latency of a link, unless the message is lost.
func (s *sim) deliver(from, to string, receive func()) {
	s.messages++
	if s.cut(from, to) || s.rand.Float64() < s.loss {
		return
	}
	latency := 500*time.Microsecond + time.Duration(s.rand.Int64N(int64(3500*time.Microsecond)))
	if s.rand.Float64() < s.slow {
		latency += time.Duration(s.rand.Int64N(int64(80 * time.Millisecond)))
	}
	s.after(latency, receive)
}

func (s *sim) sendVotes(from string, requests []VoteRequest) {
	n, askedAt := s.nodes[from], s.now
	for _, r := range requests {
		s.votes += 2
		s.deliver(from, r.To, func() {
			other := s.nodes[r.To]
			if other == nil {
				return
			}
			granted := other.Decide(s.now, r.Vote)
			s.deliver(r.To, from, func() {
				if s.nodes[from] == n {
					n.VoteResult(s.now, askedAt, r, granted)
				}
			})
		})
	}
}

// request is a request of a tenant at a VM.
func (s *sim) request(vm, tenant string) {
	n := s.nodes[vm]
	if n == nil {
		return
	}
	d := n.Take(s.now, tenant, s.caps[tenant])
	switch d.Verdict {
	case Admit:
		s.admit(tenant)
	case Refuse:
		s.refused[tenant] = append(s.refused[tenant], s.now)
	case AskOthers:
		s.askNext(vm, n, d.Ask, d.Ranked)
	}
}

func (s *sim) admit(tenant string) {
	s.after(time.Duration(s.rand.Int64N(int64(10*time.Millisecond))), func() { s.reached[tenant] = append(s.reached[tenant], s.now) })
}

// askNext asks the ranked VMs as the shell does: the next one after askTimeout or when one
// does not grant; answers to all of them count until askWait is over.
func (s *sim) askNext(vm string, n *Node, a Ask, ranked []string) {
	began, decided, waiting, asked := s.now, false, 0, 0
	var next func()
	end := func(g Grant) {
		decided = true
		switch {
		case g.Outcome == Granted:
			s.admit(a.Tenant)
		case g.Outcome != OverCap && n.TakeReserve(s.now, a.Tenant, a.Cap):
			s.admit(a.Tenant)
		default:
			s.refused[a.Tenant] = append(s.refused[a.Tenant], s.now)
		}
	}
	answered := func(askedAt time.Time, g Grant) {
		if s.nodes[vm] != n {
			return
		}
		waiting--
		n.Answered(s.now, askedAt, a.Tenant, g, decided)
		switch {
		case decided:
		case g.Outcome == Granted || g.Outcome == OverCap:
			end(g)
		case asked < len(ranked):
			next()
		case waiting == 0:
			end(Grant{})
		}
	}
	next = func() {
		askedAt, to := s.now, ranked[asked]
		asked++
		waiting++
		if to == vm {
			answered(askedAt, n.Grant(s.now, a))
			return
		}
		s.deliver(vm, to, func() {
			if other := s.nodes[to]; other != nil {
				g := other.Grant(s.now, a)
				s.deliver(to, vm, func() { answered(askedAt, g) })
			}
		})
		if number := asked; number < len(ranked) {
			s.after(askTimeout, func() {
				if !decided && asked == number && s.nodes[vm] == n {
					next()
				}
			})
		}
	}
	if len(ranked) == 0 {
		end(Grant{})
		return
	}
	next()
	s.after(askWait-s.now.Sub(began), func() {
		if !decided && s.nodes[vm] == n {
			end(Grant{})
		}
	})
}

// load sends requests of a tenant at random times, at a rate of its own at each time.
func (s *sim) load(tenant string, perSecond func() float64, at func() string) {
	var next func()
	next = func() {
		s.after(time.Duration(s.rand.ExpFloat64()/max(0.01, perSecond())*float64(time.Second)), func() {
			s.request(at(), tenant)
			next()
		})
	}
	next()
}

// refusedBetween returns how many requests of a tenant were refused in a period.
func (s *sim) refusedBetween(tenant string, from, to time.Duration) int {
	n := 0
	for _, at := range s.refused[tenant] {
		if d := at.Sub(simStart); d >= from && d < to {
			n++
		}
	}
	return n
}

// anyVM returns a random VM.
func (s *sim) anyVM() string { return s.vms[s.rand.IntN(len(s.vms))].Name }

// sameMembers reports whether all VMs count the same ones. While a new one becomes known,
// its predecessor may grant for as long as it does not know of it.
func (s *sim) sameMembers() bool {
	var first []VM
	for _, n := range s.nodes {
		if first == nil {
			first = n.members.counted
		}
		if !slices.Equal(n.members.counted, first) {
			return false
		}
	}
	return true
}

// checkRights counts tenants that two VMs may grant at the same time, every 20 ms.
func (s *sim) checkRights() {
	var check func()
	check = func() {
		for tenant := range s.caps {
			rights := 0
			for name, n := range s.nodes {
				ranked := n.members.ranked(tenant)
				position := slices.Index(ranked, name)
				if position < 0 || !n.Granting(s.now) {
					continue
				}
				if !slices.ContainsFunc(ranked[:position], func(vm string) bool {
					c := n.down[vm]
					return c == nil || !c.valid(s.now, n.members.electors(vm))
				}) {
					rights++
				}
			}
			if rights > 1 && s.sameMembers() {
				s.doubleRights++
			}
		}
		s.after(20*time.Millisecond, check)
	}
	check()
}

// worst returns the greatest number of requests of a tenant in a window that begins after
// from, and the part of its bound.
func (s *sim) worst(tenant string, c Cap, from time.Duration) (int, float64) {
	times, most, first := slices.Clone(s.reached[tenant]), 0, 0
	slices.SortFunc(times, time.Time.Compare)
	for i, at := range times {
		for times[first].Before(at.Add(-s.bounds.Window)) || times[first].Before(simStart.Add(from)) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(most) / (c.PerSecond*s.bounds.Window.Seconds() + c.Burst + s.bounds.extra(c))
}
