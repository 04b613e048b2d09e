package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pruneInterval is the interval at which state that is not used is forgotten.
const pruneInterval = 10 * time.Second

// VoteRequest is a Vote to be sent to an elector.
type VoteRequest struct {
	To   string
	Vote Vote
}

// Node is the part of one VM in the caps of all VMs. It is not safe for concurrent use.
type Node struct {
	self    string
	members *members
	elector elector
	granter *Granter
	holder  *Holder
	// own is the claim to grant, down holds those that other VMs do not.
	own  *claim
	down map[string]*claim
	// leaving is set once this VM has given back its right.
	leaving  bool
	prunedAt time.Time
}

// NewNode returns the node of a VM that has just started.
func NewNode(now time.Time, self string, b Bounds) *Node {
	return &Node{
		self: self, members: newMembers(now), elector: elector{started: now, ballots: map[string]*ballot{}},
		granter: NewGranter(b), holder: NewHolder(b), own: newClaim(Vote{Kind: VoteAlive, Subject: self}), down: map[string]*claim{}, prunedAt: now,
	}
}

// SetBounds replaces the bounds.
func (n *Node) SetBounds(b Bounds) { n.granter.bounds, n.holder.bounds = b, b }

// SetVMs takes the list of all VMs. It is called at least every few seconds.
func (n *Node) SetVMs(now time.Time, vms []VM) { n.members.update(now, vms) }

// MarkOlder leaves out a VM that does not know the messages, for a while.
func (n *Node) MarkOlder(now time.Time, vm string) { n.members.markOlder(now, vm) }

// MarkCurrent records that a VM knows the messages.
func (n *Node) MarkCurrent(now time.Time, vm string) { n.members.markCurrent(now, vm) }

// GrantingVM returns the VM that is the first to be asked for tokens of a tenant, "" if no
// VM is known.
func (n *Node) GrantingVM(tenant string) string {
	if ranked := n.members.ranked(tenant); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// Granting reports whether this VM has the right to grant.
func (n *Node) Granting(now time.Time) bool {
	return !n.leaving && n.own.valid(now, n.members.electors(n.self))
}

// Leave gives the right to grant back and returns the messages for that. Deputies then
// take over at once.
func (n *Node) Leave(now time.Time) []VoteRequest {
	n.leaving = true
	var out []VoteRequest
	for _, e := range n.members.electors(n.self) {
		out = append(out, VoteRequest{To: e, Vote: Vote{Kind: VoteRelease, Subject: n.self}})
	}
	return n.decideOwn(now, out)
}

// Tick returns the votes to ask for now. It is called every retryInterval.
func (n *Node) Tick(now time.Time) []VoteRequest {
	if now.Sub(n.prunedAt) >= pruneInterval {
		n.prunedAt = now
		n.elector.prune(now)
		n.granter.prune(now)
		n.holder.prune(now)
	}
	var out []VoteRequest
	if !n.leaving {
		out = n.ask(now, n.own, out)
	}
	for subject, c := range n.down {
		if !c.needed(now, n.members.electors(subject)) {
			delete(n.down, subject)
			continue
		}
		out = n.ask(now, c, out)
	}
	return n.decideOwn(now, out)
}

func (n *Node) ask(now time.Time, c *claim, out []VoteRequest) []VoteRequest {
	electors := n.members.electors(c.vote.Subject)
	if !c.due(now, electors) {
		return out
	}
	c.askedAt = now
	for _, e := range electors {
		out = append(out, VoteRequest{To: e, Vote: c.vote})
	}
	return out
}

// decideOwn decides the requests to this VM itself and returns the others.
func (n *Node) decideOwn(now time.Time, out []VoteRequest) []VoteRequest {
	return slices.DeleteFunc(out, func(r VoteRequest) bool {
		if r.To != n.self {
			return false
		}
		n.VoteResult(now, now, r, n.Decide(now, r.Vote))
		return true
	})
}

// Decide answers a Vote of another VM.
func (n *Node) Decide(now time.Time, v Vote) bool {
	return n.elector.decide(now, v, n.members.counts(now, v.Subject))
}

// VoteResult takes the answer to a request of askedAt; one that is lost counts as denied.
func (n *Node) VoteResult(now, askedAt time.Time, r VoteRequest, granted bool) {
	c := n.down[r.Vote.Subject]
	switch r.Vote.Kind {
	case VoteAlive:
		c = n.own
	case VoteRelease:
		return
	}
	if c != nil {
		c.add(now, askedAt, n.members.electors(r.Vote.Subject), r.To, granted)
	}
}

// Grant answers a request for tokens. This VM grants if it has its right and all VMs
// ranked before it are known not to grant.
func (n *Node) Grant(now time.Time, a Ask) Grant {
	if !a.Cap.limited() || !a.Cap.valid() || a.Count < 1 {
		return Grant{Outcome: NotGranting}
	}
	ranked := n.members.ranked(a.Tenant)
	position := slices.Index(ranked, n.self)
	if position < 0 || n.leaving {
		return Grant{Outcome: NotGranting}
	}
	r, ok := right{since: n.own.since}, n.Granting(now)
	for _, vm := range ranked[:position] {
		c, exists := n.down[vm]
		if !exists {
			c = newClaim(Vote{Kind: VoteDown, Subject: vm})
			n.down[vm] = c
		}
		c.wantedAt = now
		ok = ok && c.valid(now, n.members.electors(vm))
		if c.since.After(r.since) {
			r.since = c.since
		}
		r.ahead = r.ahead*31 + xxhash.Sum64String(vm)
	}
	if ok {
		return n.granter.Grant(now, a, r)
	}
	return n.granter.GrantReserve(now, a)
}

// Take decides on a request of a caller. This VM gives itself tokens where it is the
// first to be asked.
func (n *Node) Take(now time.Time, tenant string, c Cap) Decision {
	d := n.holder.Take(now, tenant, c)
	if d.Verdict == AskOthers {
		d.Ranked = n.members.ranked(tenant)
	}
	return d
}

// Answered takes the answer of a VM to an Ask of askedAt. It is late if the request no
// longer waits for it.
func (n *Node) Answered(now, askedAt time.Time, tenant string, g Grant, late bool) {
	n.holder.Add(now, askedAt, tenant, g, late)
}

// TakeReserve decides on a request for which no VM gave an answer.
func (n *Node) TakeReserve(now time.Time, tenant string, c Cap) bool {
	if n.holder.TakeSpare(now, tenant) {
		return true
	}
	position := slices.IndexFunc(n.members.counted, func(vm VM) bool { return vm.Name == n.self })
	return position >= 0 && n.holder.TakeReserve(now, tenant, c, position, len(n.members.counted))
}
