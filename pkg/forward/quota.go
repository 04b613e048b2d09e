package forward

import (
	"context"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// Quota keeps the caps of tenants over all VMs.
type Quota interface {
	// Admit decides on a caller's request, which counts once whatever its sends. It
	// returns nil, or the refusal of a request that is over the tenant's cap or whose
	// caller has left while other VMs were asked.
	Admit(ctx context.Context, t *routes.Tenant) *errs.Refusal
}

// SetQuota sets what keeps the caps of tenants, nil where no caps are in force.
func (f *Forwarder) SetQuota(q Quota) { f.quota.Store(&q) }

// admitTenant returns the refusal of a request beyond its tenant's cap. It is called once
// the body is in: a token may be used for a short time only. The VM that has read
// the key counts a request that it forwards.
func (q *query) admitTenant(ctx context.Context) *errs.Refusal {
	if q.tenant == nil || q.tenant.RatePerSecond <= 0 || q.vouched {
		return nil
	}
	if quota := q.forwarder.quota.Load(); quota != nil && *quota != nil {
		return (*quota).Admit(ctx, q.tenant)
	}
	return nil
}
