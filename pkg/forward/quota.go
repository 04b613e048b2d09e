package forward

import (
	"context"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// maxQuotaWaitShare of the target is the longest wait for other VMs: the other half is for
// the replicas. The usual wait is a millisecond or two.
const maxQuotaWaitShare = 0.5

// Quota keeps the caps of tenants over all VMs.
type Quota interface {
	// Admit decides on a caller's request, which counts once whatever its sends. It
	// returns nil, or the refusal of a request that is over the tenant's cap or whose
	// caller has left while other VMs were asked. It waits for these until ctx ends at
	// the latest.
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
	quota := q.forwarder.quota.Load()
	if quota == nil || *quota == nil {
		return nil
	}
	if q.route.Target > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(maxQuotaWaitShare*float64(q.route.Target)))
		defer cancel()
	}
	return (*quota).Admit(ctx, q.tenant)
}
