package quota

import "time"

const (
	// maxExtraTokens bounds the tokens that a VM asks for beyond the one that it needs.
	maxExtraTokens = 8
	// permitLifetime is how long a permit of the local reserve may be used.
	permitLifetime = time.Second
	// maxRefusedTime bounds the time for which a VM refuses without asking again: the cap
	// may be raised.
	maxRefusedTime = time.Second
	// heldTime is how long the state of a tenant is kept that sends nothing.
	heldTime = time.Minute
)

// Decision is what becomes of a request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time until a place is free, for Refuse.
	RetryAfter time.Duration
	// Ask and Ranked are the request for tokens and the VMs to which it goes, one after
	// the other, for AskOthers.
	Ask    Ask
	Ranked []string
}

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts.
const (
	// Admit: the request may run.
	Admit Verdict = iota + 1
	// Refuse: the tenant is over its cap.
	Refuse
	// AskOthers: other VMs must be asked.
	AskOthers
)

// maxSpares bounds the spare tokens of a tenant that a VM keeps.
const maxSpares = 64

type tokens struct {
	n     int
	until time.Time
}

type heldTenant struct {
	tokens []tokens
	// placeAt is when the bucket holds a token again. Until refusedUntil, requests are
	// refused without asking.
	placeAt, refusedUntil time.Time
	// interval is the current interval of the token lifetime, uses the requests in it,
	// and usesBefore those in the one before.
	interval         int64
	uses, usesBefore int
	// spares holds until when each spare token may be used.
	spares []time.Time
	// permit is the interval of the local reserve whose permit was used last.
	permit int64
	usedAt time.Time
}

// Holder keeps the tokens of one VM. It handles answers that come late or not at all,
// and a VM that reaches no VM that grants.
type Holder struct {
	bounds  Bounds
	tenants map[string]*heldTenant
}

// NewHolder returns a holder without tokens.
func NewHolder(b Bounds) *Holder { return &Holder{bounds: b, tenants: map[string]*heldTenant{}} }

func (h *Holder) tenant(now time.Time, name string) *heldTenant {
	t, ok := h.tenants[name]
	if !ok {
		t = &heldTenant{}
		h.tenants[name] = t
	}
	t.usedAt = now
	return t
}

// Take decides on a request. AskOthers comes without the VMs.
func (h *Holder) Take(now time.Time, tenant string, c Cap) Decision {
	if !c.limited() {
		return Decision{Verdict: Admit}
	}
	t := h.tenant(now, tenant)
	t.count(now, h.bounds.tokenLifetime())
	for len(t.tokens) > 0 && !t.tokens[0].until.After(now) {
		t.tokens = t.tokens[1:]
	}
	if len(t.tokens) > 0 {
		if t.tokens[0].n--; t.tokens[0].n == 0 {
			t.tokens = t.tokens[1:]
		}
		return Decision{Verdict: Admit}
	}
	if t.refusedUntil.After(now) {
		return Decision{Verdict: Refuse, RetryAfter: t.placeAt.Sub(now)}
	}
	return Decision{Verdict: AskOthers, Ask: Ask{Tenant: tenant, Cap: c, Count: 1 + min(t.usesBefore, maxExtraTokens)}}
}

// count counts the requests in each interval of the token lifetime.
func (t *heldTenant) count(now time.Time, lifetime time.Duration) {
	if lifetime <= 0 {
		return
	}
	interval := now.UnixNano() / int64(lifetime)
	switch {
	case interval == t.interval+1:
		t.usesBefore, t.uses = t.uses, 0
	case interval != t.interval:
		t.usesBefore, t.uses = 0, 0
	}
	t.interval = interval
	t.uses++
}

// Add takes the answer to an Ask of askedAt, of which one token was used at once unless
// the answer is late.
func (h *Holder) Add(now, askedAt time.Time, tenant string, g Grant, late bool) {
	t := h.tenant(now, tenant)
	if g.Spare && len(t.spares) < maxSpares {
		t.spares = append(t.spares, askedAt.Add(spareTime))
	}
	switch g.Outcome {
	case Granted:
		n := g.Count
		if !late {
			n--
		}
		if until := askedAt.Add(h.bounds.tokenLifetime()); n > 0 && until.After(now) {
			t.tokens = append(t.tokens, tokens{n: n, until: until})
		}
	case OverCap:
		t.spares = nil
		if !late {
			t.placeAt = now.Add(g.RetryAfter)
			t.refusedUntil = now.Add(min(g.RetryAfter, maxRefusedTime))
		}
	}
}

// TakeSpare decides on a request for which no VM gave an answer, by the spare tokens of
// earlier answers.
func (h *Holder) TakeSpare(now time.Time, tenant string) bool {
	t := h.tenant(now, tenant)
	for len(t.spares) > 0 {
		until := t.spares[0]
		t.spares = t.spares[1:]
		if until.After(now) {
			return true
		}
	}
	return false
}

// TakeReserve decides on a request for which no VM gave an answer. VM number position of
// vms has a permit in turn by the time of day, as for the request limits of replicas, so
// that the permits of all VMs stay within their bound without a message.
func (h *Holder) TakeReserve(now time.Time, tenant string, c Cap, position, vms int) bool {
	perSecond := min(c.PerSecond, localShare*h.bounds.extra(c)/(h.bounds.window()+permitLifetime).Seconds())
	if perSecond <= 0 || vms <= 0 {
		return false
	}
	interval := float64(vms) / perSecond // seconds between the permits of one VM
	phase := float64(now.UnixMicro())/1e6/interval - float64(position)/float64(vms)
	n := int64(phase)
	t := h.tenant(now, tenant)
	if (phase-float64(n))*interval >= permitLifetime.Seconds() || t.permit == n {
		return false
	}
	t.permit = n
	return true
}

// prune forgets tenants that send nothing.
func (h *Holder) prune(now time.Time) {
	for name, t := range h.tenants {
		if now.Sub(t.usedAt) >= heldTime && now.After(t.refusedUntil) {
			delete(h.tenants, name)
		}
	}
}
