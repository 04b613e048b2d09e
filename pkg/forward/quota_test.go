package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// countingQuota admits a number of requests and counts all.
type countingQuota struct{ left, asked atomic.Int64 }

func (q *countingQuota) Admit(_ context.Context, t *routes.Tenant) *errs.Refusal {
	q.asked.Add(1)
	if q.left.Add(-1) < 0 {
		return errs.Refuse(errs.QuotaExceeded, "tenant %s", t.Name).WithRetryAfter(1500 * time.Millisecond)
	}
	return nil
}

// useCaps gives tenant a a cap, and returns what counts its requests.
func (tt *testTier) useCaps(admitted int64, route *routes.Route) *countingQuota {
	table := keyedTable(tt.t, 8, route)
	table.Tenants[0].RatePerSecond = 5
	tt.useTable(table)
	q := &countingQuota{}
	q.left.Store(admitted)
	tt.forwarder.SetQuota(q)
	return q
}

// Guards against a request that counts more than once for its shards, retries and hedges,
// and against caps that cost tenants without one.
func TestRequestCountsOnceAgainstTheCap(t *testing.T) {
	for _, route := range []*routes.Route{singleRoute(true), fanOutRoute(1, "s", "t", "u")} {
		tier := newTestTier(t, route)
		q := tier.useCaps(10, route)
		for _, service := range []string{"s", "t", "u"} {
			rs := tier.addService(service, 100)
			tier.addReplica(rs, service+"1", refuseNotRun)
			tier.addReplica(rs, service+"2", refuseNotRun)
		}
		_, _, _ = tier.sendWith(route.Prefix, "1", bearer(keyOfA))
		assert.Assert(t, len(tier.received()) >= 2)
		assert.Equal(t, q.asked.Load(), int64(1))
		_, _, _ = tier.sendWith(route.Prefix, "2", bearer(keyOfB))
		assert.Equal(t, q.asked.Load(), int64(1))
	}
}

// Guards against a request over the cap that reaches a replica, adds to the budget of
// retries, or is answered without the time at which a place is free.
func TestRequestOverTheCapIsNotSent(t *testing.T) {
	route := singleRoute(true)
	tier := newTestTier(t, route)
	tier.useCaps(0, route)
	rs := tier.addService("s", 0)
	tier.addReplica(rs, "r1", respondWith("x", "fine"))
	for range 1100 { // a thousand sends would allow a retry
		status, header, _ := tier.sendWith("/p/x", "1", bearer(keyOfA))
		assert.Equal(t, status, 429)
		assert.Equal(t, header.Get("Retry-After"), "1.500")
	}
	assert.Equal(t, len(tier.received()), 0)
	assert.Assert(t, rs.Budget.TryTakeExtra(1) != nil)
}

// Guards against a request that two VMs count, or none, because one forwards it to the
// other.
func TestForwardedRequestIsCountedByTheVMThatReadItsKey(t *testing.T) {
	for _, senderTenants := range []bool{true, false} {
		route := singleRoute(true)
		cutOff, other := newCutOffTier(t, route, respondWith("x", "fine"))
		receiving, sending := other.useCaps(10, route), &countingQuota{}
		if senderTenants {
			sending = cutOff.useCaps(10, route)
		}
		cutOff.addHelper(other)
		status, _, body := cutOff.sendWith("/p/x", "1", bearer(keyOfA))
		assert.Equal(t, status, 200, body)
		assert.Equal(t, sending.asked.Load()+receiving.asked.Load(), int64(1))
		assert.Equal(t, sending.asked.Load() == 1, senderTenants)
	}
}
