// Package tenant decides whether a request may run with the key that its caller has
// sent.
//
// It handles callers without a valid key, keys that a newer configuration adds or
// removes, and a VM that has lost touch with the store and with the VMs that watch it:
// such a VM does not know whether its configuration is current. The decisions take the
// time and the state as input and do no I/O.
package tenant

import (
	"strings"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

const (
	// usableShare of a time bound may pass since the last confirmation. The rest covers
	// the time in which a confirmation reaches this VM: the store may take 250 ms to
	// answer, and a feed sends every 300 ms.
	usableShare = 0.8
	// unconfirmedRetryAfter is the Retry-After of a VM that is out of touch. A caller
	// that connects again usually gets another VM.
	unconfirmedRetryAfter = 50 * time.Millisecond
)

// scheme precedes the key in the Authorization field. It is compared without regard to
// case (RFC 9110, 11.1).
const scheme = "bearer"

// Verdict is the decision on one request.
type Verdict uint8

// Verdicts. All but Permitted refuse the request.
const (
	// Permitted lets the request run.
	Permitted Verdict = iota
	// NoKey: there is no Authorization field, or one without a key.
	NoKey
	// SeveralFields: there is more than one Authorization field, which readers of HTTP
	// read in different ways.
	SeveralFields
	// OtherScheme: the field does not hold a bearer key, or one that is too long.
	OtherScheme
	// UnknownKey: no tenant holds the key.
	UnknownKey
	// Changed: since the request began, its key was removed or has passed to another
	// tenant, or requests have come to need a key. A new request is read by the
	// configuration in force.
	Changed
	// Unconfirmed: one of the above by a configuration that may not be current.
	Unconfirmed
	// RevocationUnknown: the key may have been removed, and the operators demand that it
	// is then refused.
	RevocationUnknown
	verdicts
)

var verdictNames = [verdicts]string{
	"permitted", "no_key", "several_fields", "other_scheme", "unknown_key", "changed", "unconfirmed", "revocation_unknown",
}

// String returns the name of the verdict in metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Verdicts returns all verdicts, for metrics.
func Verdicts() []Verdict {
	all := make([]Verdict, verdicts)
	for i := range all {
		all[i] = Verdict(i)
	}
	return all
}

// Refusal returns the refusal of a request with the verdict, nil for Permitted. It never
// contains the key.
func (v Verdict) Refusal() *errs.Refusal {
	switch v {
	case Permitted:
		return nil
	case NoKey:
		return errs.Refuse(errs.Unauthorized, "the request has no key")
	case SeveralFields:
		return errs.Refuse(errs.InvalidRequest, "more than one Authorization field")
	case OtherScheme:
		return errs.Refuse(errs.Unauthorized, "the Authorization field holds no bearer key")
	case UnknownKey:
		return errs.Refuse(errs.Unauthorized, "no tenant holds the key")
	case Changed:
		return errs.Refuse(errs.ConfigUnconfirmed, "the tenants have changed since the request began").WithRetryAfter(unconfirmedRetryAfter)
	default:
		return errs.Refuse(errs.ConfigUnconfirmed, "this VM does not know whether its configuration is current").WithRetryAfter(unconfirmedRetryAfter)
	}
}

// State is what a VM knows of how current its configuration is.
type State struct {
	// ConfirmedAt is when the store has last confirmed the configuration, to this VM or
	// to the one whose feed it gets; zero if never.
	ConfirmedAt time.Time
	// Restored is set while the store, back from an older copy, holds an older
	// configuration than the one in force: operators may write theirs again, or leave
	// the older one, whose keys are then good.
	Restored bool
}

// Bounds are the operators' bounds.
type Bounds struct {
	// Apply is the time after which each VM must use a configuration.
	Apply time.Duration
	// StrictRevoke makes a VM refuse all keys once it has been out of touch for Revoke.
	// Without it, such a VM serves the keys that it knows.
	StrictRevoke bool
	Revoke       time.Duration
}

// Check is the input of a decision beside the request.
type Check struct {
	Now    time.Time
	State  State
	Bounds Bounds
}

// Confirmed reports whether the configuration is known to be current: a refusal by it is
// right.
func (c Check) Confirmed() bool {
	return !c.State.Restored && c.within(c.Bounds.Apply)
}

// within reports whether the last confirmation is not older than the usable share of a
// bound.
func (c Check) within(bound time.Duration) bool {
	return !c.State.ConfirmedAt.IsZero() && c.Now.Sub(c.State.ConfirmedAt) < time.Duration(usableShare*float64(bound))
}

// Key is the digest of the key of a request.
type Key [32]byte

// Authenticate decides on a request with the given values of the Authorization field, on
// a route that needs a key. The tenant is nil unless the request is permitted.
func (c Check) Authenticate(table *routes.Table, authorization []string) (*routes.Tenant, Key, Verdict) {
	text, verdict := readKey(authorization)
	if verdict != Permitted {
		return nil, Key{}, c.orUnconfirmed(verdict)
	}
	key := Key(routes.KeyDigest(text))
	tenant, verdict := c.holder(table, key)
	return tenant, key, verdict
}

// Recheck decides whether a request that was permitted for a tenant may still run by the
// configuration in force.
func (c Check) Recheck(table *routes.Table, key Key, tenant *routes.Tenant) Verdict {
	holder, verdict := c.holder(table, key)
	if verdict == RevocationUnknown || (verdict == Permitted && holder.Name == tenant.Name) {
		return verdict
	}
	return Changed
}

// RefusesKeys reports whether all keys are refused, because one that was removed might run.
func (c Check) RefusesKeys() bool { return c.Bounds.StrictRevoke && !c.within(c.Bounds.Revoke) }

func (c Check) holder(table *routes.Table, key Key) (*routes.Tenant, Verdict) {
	if c.RefusesKeys() {
		return nil, RevocationUnknown
	}
	if tenant := table.HolderOf(key); tenant != nil {
		return tenant, Permitted
	}
	return nil, c.orUnconfirmed(UnknownKey)
}

// orUnconfirmed returns a verdict that refuses a request for good, or Unconfirmed if a
// newer configuration may permit it.
func (c Check) orUnconfirmed(v Verdict) Verdict {
	if c.Confirmed() {
		return v
	}
	return Unconfirmed
}

// readKey returns the key in the values of the Authorization field.
func readKey(authorization []string) (string, Verdict) {
	switch len(authorization) {
	case 0:
		return "", NoKey
	case 1:
	default:
		return "", SeveralFields
	}
	name, key, _ := strings.Cut(authorization[0], " ")
	key = strings.Trim(key, " \t")
	switch {
	case !strings.EqualFold(name, scheme):
		return "", OtherScheme
	case key == "":
		return "", NoKey
	case len(key) > routes.MaxKeyBytes:
		return "", OtherScheme
	}
	return key, Permitted
}
