package quota

import "time"

const (
	// bucketTime is how long the bucket of a tenant is kept that is not used.
	bucketTime = 10 * time.Minute
	// maxTenants bounds the tenants whose buckets are kept, about 150 bytes each. The
	// largest configuration has 10,000.
	maxTenants = 20000
	// extraLevel is the part of the burst that stays in the bucket when a VM gets more
	// tokens than it needs at once: some may lapse unused.
	extraLevel = 0.5
)

// Outcome is the answer to a request for tokens.
type Outcome uint8

// Outcomes.
const (
	// Granted: the VM gets tokens.
	Granted Outcome = iota + 1
	// OverCap: the bucket is empty.
	OverCap
	// NotGranting: the VM that was asked may not grant, and has no reserve left.
	NotGranting
)

// Ask is a request of a VM for tokens.
type Ask struct {
	Tenant string
	// Cap is the cap that the asking VM knows.
	Cap Cap
	// Count is the number of tokens; one is needed at once.
	Count int
}

// Grant answers an Ask.
type Grant struct {
	Outcome Outcome
	Count   int
	// RetryAfter is the time until the bucket holds a token, where it is empty.
	RetryAfter time.Duration
	// Spare gives one more token, which may be used within spareTime while no VM answers.
	Spare bool
}

// right is the right of this VM to grant for a tenant. It differs from an earlier one if
// another VM may have granted in between.
type right struct {
	since time.Time
	// ahead identifies the VMs ranked before this one.
	ahead uint64
}

type tenantBuckets struct {
	bucket  bucket
	right   right
	reserve bucket
	usedAt  time.Time
	usage   usage
}

// Granter keeps the buckets of tenants. It handles takeovers, after which a bucket starts
// almost empty, and caps that change: a lowered burst binds at once.
type Granter struct {
	bounds  Bounds
	tenants map[string]*tenantBuckets
}

// NewGranter returns a granter without buckets.
func NewGranter(b Bounds) *Granter {
	return &Granter{bounds: b, tenants: map[string]*tenantBuckets{}}
}

// tenant returns the buckets of a tenant, nil if there are too many.
func (g *Granter) tenant(now time.Time, a Ask) *tenantBuckets {
	t, ok := g.tenants[a.Tenant]
	if !ok {
		if len(g.tenants) >= maxTenants {
			return nil
		}
		t = &tenantBuckets{reserve: bucket{level: g.bounds.reserve(a.Cap).Burst, at: now}}
		g.tenants[a.Tenant] = t
	}
	t.usedAt = now
	return t
}

// Grant gives out tokens by the right to grant.
func (g *Granter) Grant(now time.Time, a Ask, r right) Grant {
	t := g.tenant(now, a)
	if t == nil {
		return Grant{Outcome: NotGranting}
	}
	if t.right != r {
		t.right = r
		t.bucket = bucket{level: g.bounds.startLevel(a.Cap), at: r.since}
	}
	capacity := g.bounds.capacity(a.Cap)
	t.bucket.fill(now, a.Cap.PerSecond, capacity)
	if !g.admits(now, t, a.Cap) {
		return Grant{Outcome: OverCap, RetryAfter: g.retryAfter(now, t, a.Cap)}
	}
	n := 1
	if spare := t.bucket.level - extraLevel*capacity; a.Count > 1 && spare >= 2 {
		n = min(a.Count, int(spare))
	}
	t.usage.add(n)
	spare := g.calm(now, t, a.Cap)
	// A bucket deep in debt would refuse requests long after a peak.
	t.bucket.level = max(t.bucket.level-float64(n), -a.Cap.PerSecond*peakSlots*slotTime(g.bounds.window()).Seconds())
	return Grant{Outcome: Granted, Count: n, Spare: spare}
}

// GrantReserve gives out a token of the reserve, while it is not known whether another VM
// grants.
func (g *Granter) GrantReserve(now time.Time, a Ask) Grant {
	t := g.tenant(now, a)
	if t == nil {
		return Grant{Outcome: NotGranting}
	}
	reserve := g.bounds.reserve(a.Cap)
	t.reserve.fill(now, reserve.PerSecond, reserve.Burst)
	if t.reserve.level < 1 {
		return Grant{Outcome: NotGranting}
	}
	t.reserve.level--
	return Grant{Outcome: Granted, Count: 1}
}

// prune forgets tenants that are not used.
func (g *Granter) prune(now time.Time) {
	for name, t := range g.tenants {
		if now.Sub(t.usedAt) >= bucketTime {
			delete(g.tenants, name)
		}
	}
}

// maxRetryAfter bounds a time to wait for a token; a rate may be very low.
const maxRetryAfter = time.Hour

func seconds(s float64) time.Duration {
	if s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
