package forward

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/tenant"
)

// authorizationHeader holds the caller's key. It is not sent to a replica or another VM
// where tenants are in force, also on public routes: callers send their key there too.
const authorizationHeader = "Authorization"

// credentials is who sends a request.
type credentials struct {
	// tenant is nil where no tenants are in force, and on public routes.
	tenant *routes.Tenant
	// key is the key that this VM has read, and vouched is set if another VM has read it
	// instead.
	key     tenant.Key
	vouched bool
}

// tenantName returns the name of the tenant, "" if there is none.
func (c credentials) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// tenantCheck holds what the decisions on keys need beside the view.
type tenantCheck struct {
	state  atomic.Pointer[tenant.State]
	bounds atomic.Pointer[tenant.Bounds]
	// refusals counts the requests refused when their head was read, by verdict.
	refusals map[tenant.Verdict]tally.Counter
}

func newTenantCheck(scope tally.Scope) *tenantCheck {
	c := &tenantCheck{refusals: map[tenant.Verdict]tally.Counter{}}
	for _, v := range tenant.Verdicts() {
		if v != tenant.Permitted {
			c.refusals[v] = scope.Tagged(map[string]string{"reason": v.String()}).Counter("key_refusals")
		}
	}
	c.state.Store(&tenant.State{})
	c.bounds.Store(&tenant.Bounds{})
	return c
}

// SetConfigState sets how current the configuration of the view is. It is called after
// SetView with a configuration that has been confirmed.
func (f *Forwarder) SetConfigState(s tenant.State) {
	if *f.tenants.state.Load() != s {
		f.tenants.state.Store(&s)
	}
}

// SetTenantBounds sets the bounds by which keys are accepted.
func (f *Forwarder) SetTenantBounds(b tenant.Bounds) { f.tenants.bounds.Store(&b) }

func (c *tenantCheck) at(now time.Time) tenant.Check {
	return tenant.Check{Now: now, State: *c.state.Load(), Bounds: *c.bounds.Load()}
}

// refuse counts a verdict and returns its refusal, nil if it permits the request.
func (c *tenantCheck) refuse(v tenant.Verdict) *errs.Refusal {
	if v == tenant.Permitted {
		return nil
	}
	c.refusals[v].Inc(1)
	return v.Refusal()
}

// noRouteRefusal returns the refusal of a request without a route. A VM that may lack the
// newest configuration does not know that there is none; where no tenants are in force it
// answers by the one it has.
func (c *tenantCheck) noRouteRefusal(now time.Time, target routes.Target, table *routes.Table) *errs.Refusal {
	if table.HasTenants && !c.at(now).Confirmed() {
		return c.refuse(tenant.Unconfirmed)
	}
	return errs.Refuse(errs.UnknownService, "no route for host %q path %q in version %d", target.Host, target.Path, table.Version)
}

// authenticate decides for which tenant a request on a route runs, or refuses it.
func (f *Forwarder) authenticate(r *http.Request, match routeMatch) (credentials, *errs.Refusal) {
	table := match.view.Table
	if !table.HasTenants || match.Public {
		return credentials{}, nil
	}
	if forwarded := forwardedFrom(r.Context()); forwarded != nil && forwarded.authenticated {
		c := credentials{tenant: table.TenantNamed(r.Header.Get(f.headers.Tenant)), vouched: true}
		if c.tenant == nil {
			return credentials{}, f.tenants.refuse(tenant.Changed)
		}
		return c, nil
	}
	var c credentials
	var verdict tenant.Verdict
	c.tenant, c.key, verdict = f.tenants.at(time.Now()).Authenticate(table, r.Header.Values(authorizationHeader))
	return c, f.tenants.refuse(verdict)
}

// checkKey returns what keeps a request from being sent: its key may have been removed
// since the request began, or the tenants may have changed.
func (q *query) checkKey(now time.Time) *errs.Refusal {
	table := q.forwarder.view.Load().Table
	if table == q.view.Table && !q.forwarder.tenants.bounds.Load().StrictRevoke {
		return nil
	}
	switch {
	case !table.HasTenants:
		return nil
	case q.tenant != nil && !q.vouched:
		return q.forwarder.tenants.at(now).Recheck(table, q.key, q.tenant).Refusal()
	case !q.view.Table.HasTenants:
		return tenant.Changed.Refusal() // the head may hold a key
	}
	return nil
}

// The values of forwardedVersion that precede the version: whether the sender has
// replaced the key by the name of the tenant, or leaves that to the receiver. The sender
// appends both after what the caller may have sent. VMs of older builds read the last
// value only, and remove all.
const (
	forwardedByTenant = "tenant"
	forwardedByCaller = "caller"
)

// appendForwardedVersion appends the version of the configuration, and before it whether
// the head names the tenant.
func appendForwardedVersion(b []byte, table *routes.Table) []byte {
	by := forwardedByCaller
	if table.HasTenants {
		by = forwardedByTenant
	}
	b = append(b, forwardedVersion+": "+by+"\r\n"...)
	return appendNumber(b, forwardedVersion, int64(table.Version))
}

type namesTenantKey struct{}

// WithTenantNames returns a context for the requests of a VM that tells of each whether it
// has replaced the key by the name of the tenant. VMs of older builds pass on what the
// caller has sent.
func WithTenantNames(ctx context.Context) context.Context {
	return context.WithValue(ctx, namesTenantKey{}, true)
}

// isAuthenticated reports whether the VM that forwards a request has read its key.
func isAuthenticated(r *http.Request) bool {
	names, _ := r.Context().Value(namesTenantKey{}).(bool)
	values := r.Header.Values(forwardedVersion)
	return names && len(values) >= 2 && values[len(values)-2] == forwardedByTenant
}

// omitsHeader reports whether a header field of the caller is not sent on. Where tenants
// are in force, this VM alone names the tenant, and the key stays here. Replicas behind an
// interface that turns field names into variables read an underscore as a hyphen.
func (f *Forwarder) omitsHeader(name string, table *routes.Table) bool {
	if hopByHopHeaders[name] || name == f.headers.RequestID || name == f.headers.Deadline || name == f.headers.TargetReplica {
		return true
	}
	if !table.HasTenants {
		return false
	}
	if strings.Contains(name, "_") {
		name = http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
	}
	return name == authorizationHeader || name == f.headers.Tenant
}
