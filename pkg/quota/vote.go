package quota

import (
	"slices"
	"time"
)

const (
	// leaseTime is how long an elector's vote holds. VMs with a fifth of a core pause
	// for up to 100 ms; a lost VM's tenants have their reserves only for this time.
	leaseTime = time.Second
	// usableLease is the part of it for which the holder counts on it, from the time at
	// which it asked. The rest allows for clocks that run at different speeds.
	usableLease = 0.9
	// renewInterval is the interval of the requests for votes: two may be lost.
	renewInterval = 280 * time.Millisecond
	// retryInterval is that interval while a VM lacks votes that it needs.
	retryInterval = 100 * time.Millisecond
	// wantedTime is how long a VM asks for votes that another one is down, after they were
	// needed last, and keptTime how long it renews them once it has them: the bucket of a
	// tenant with few requests would start anew with each of them.
	wantedTime = 2 * time.Second
	keptTime   = 30 * time.Second
	// ballotTime is how long an elector keeps a ballot that is not used.
	ballotTime = time.Minute
)

// VoteKind is what a VM asks an elector for.
type VoteKind uint8

// Kinds of votes.
const (
	// VoteAlive asks for the right to grant as the first VM of its tenants.
	VoteAlive VoteKind = iota + 1
	// VoteDown asks for the promise that another VM will not get that right for a while.
	VoteDown
	// VoteRelease gives the right back.
	VoteRelease
)

// Vote is a request to an elector. Subject is the VM whose right is meant.
type Vote struct {
	Kind    VoteKind
	Subject string
}

// ballot is what an elector has promised about one VM.
type ballot struct {
	// aliveUntil is the end of its right, downUntil that of the promise to others that
	// it gets none.
	aliveUntil, downUntil time.Time
	// wantedAt is when it was last denied its right because of such a promise.
	wantedAt time.Time
	usedAt   time.Time
}

// elector decides on the rights of VMs to grant. A majority of a VM's electors gives it
// its right; while it has that, no majority can promise to others that it has none. So
// two VMs that believe to be the granting VM of a tenant do not grant both, whichever
// links between VMs are lost.
type elector struct {
	started time.Time
	ballots map[string]*ballot
}

// decide answers a vote. counted is set if the elector counts the subject as a VM.
func (e *elector) decide(now time.Time, v Vote, counted bool) bool {
	b, ok := e.ballots[v.Subject]
	if !ok {
		b = &ballot{}
		e.ballots[v.Subject] = b
	}
	b.usedAt = now
	if v.Kind == VoteRelease {
		b.aliveUntil = time.Time{}
		return true
	}
	if now.Sub(e.started) < leaseTime {
		return false // promises from before a restart are not known
	}
	switch v.Kind {
	case VoteAlive:
		if b.downUntil.After(now) {
			b.wantedAt = now
			return false
		}
		if !counted {
			return false
		}
		b.aliveUntil = now.Add(leaseTime)
		return true
	case VoteDown:
		if b.aliveUntil.After(now) || now.Sub(b.wantedAt) < leaseTime {
			return false
		}
		b.downUntil = now.Add(leaseTime)
		return true
	}
	return false
}

// prune forgets ballots that are not used.
func (e *elector) prune(now time.Time) {
	for name, b := range e.ballots {
		if now.Sub(b.usedAt) >= ballotTime {
			delete(e.ballots, name)
		}
	}
}

// claim holds the votes for one right or promise.
type claim struct {
	vote Vote
	// until holds the end of the vote of each elector.
	until map[string]time.Time
	// since is when the claim became valid without a gap since.
	since time.Time
	// wantedAt is when it was needed last, askedAt when it was asked for last.
	wantedAt, askedAt time.Time
}

func newClaim(v Vote) *claim { return &claim{vote: v, until: map[string]time.Time{}} }

// valid reports whether a majority of the electors has voted for the claim.
func (c *claim) valid(now time.Time, electors []string) bool {
	votes := 0
	for _, e := range electors {
		if c.until[e].After(now) {
			votes++
		}
	}
	return len(electors) > 0 && votes > len(electors)/2
}

// add takes the vote of an elector that was asked at askedAt.
func (c *claim) add(now, askedAt time.Time, electors []string, elector string, granted bool) {
	if !slices.Contains(electors, elector) {
		return
	}
	before := c.valid(now, electors)
	if granted {
		c.until[elector] = askedAt.Add(time.Duration(usableLease * float64(leaseTime)))
	} else {
		delete(c.until, elector)
	}
	if !before && c.valid(now, electors) {
		c.since = now
	}
}

// needed reports whether a claim that another VM is down is still needed.
func (c *claim) needed(now time.Time, electors []string) bool {
	unused := now.Sub(c.wantedAt)
	return unused < wantedTime || unused < keptTime && c.valid(now, electors)
}

// due reports whether the votes must be asked for.
func (c *claim) due(now time.Time, electors []string) bool {
	interval := renewInterval
	if !c.valid(now, electors) {
		interval = retryInterval
	}
	return now.Sub(c.askedAt) >= interval
}
