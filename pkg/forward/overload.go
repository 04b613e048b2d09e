package forward

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

const (
	// queriesPerSlot is the number of queries that all VMs together have in
	// flight for each slot of the shard with the least. A replica queues about
	// six requests a slot, but a query that waits behind more than one or two
	// others at every shard misses its target.
	queriesPerSlot = 3.0
	// burstDeviations times the square root of a VM's share is added to it:
	// requests come at random, and the balancer's split is not even.
	burstDeviations = 2.0
	// admissionWaitShare of the target is the longest wait for admission. A
	// caller that is refused within a quarter of it can still be served in time
	// by another attempt.
	admissionWaitShare = 0.2
	// overloadRetry is the least time after which a refused caller should come
	// back.
	overloadRetry = 30 * time.Millisecond
)

// admit waits until a fan-out query may run. Beyond what the replicas bear,
// each query would find some of its shards full, and hardly any would reach
// its coverage; so the excess is refused before it is sent anywhere. The query
// must be released when it has ended or missed its target: what then waits for
// silent replicas loads none and must not keep others out.
func (q *query) admit(ctx context.Context) *errs.Refusal {
	q.release = func() {}
	if !q.route.FanOut() {
		return nil
	}
	f, set := q.f, model.ServiceID(q.route.ShardSetKey())
	f.gate.SetLimits(set, q.view.limits(q.route))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(admissionWaitShare*float64(q.route.Target)))
	defer cancel()
	release, err := f.gate.Admit(ctx, admission.Request{
		Service: set, Class: model.Search, Caller: q.caller, Deadline: q.start.Add(usefulTime(q.route)),
	})
	if err == nil {
		q.release = sync.OnceFunc(release)
		return nil
	}
	refusal := errs.As(err)
	if refusal.Code == errs.DeadlineExceeded {
		refusal = errs.Refuse(errs.Overloaded, "waited %s for admission", time.Since(q.start).Round(time.Millisecond))
	}
	return refusal.WithRetryAfter(max(overloadRetry, refusal.RetryAfter))
}

// limits returns how many queries of a route this VM may have in flight and
// waiting.
func (v *View) limits(r *routes.Route) admission.Limits {
	share := queriesPerSlot * float64(v.slots(r)) / float64(max(1, v.VMs))
	n := int(math.Ceil(share + burstDeviations*math.Sqrt(share)))
	return admission.Limits{MaxRunning: max(1, n), MaxWaiting: max(1, n)}
}

// slots returns the slots of the shard that bounds a route's queries: the one
// with the least, but for those that the coverage can do without.
func (v *View) slots(r *routes.Route) int {
	each := make([]int, 0, len(r.Shards))
	for _, s := range r.Shards {
		each = append(each, v.ReplicaSets[s].slots())
	}
	slices.Sort(each)
	return each[len(each)-least(r)]
}

// slots returns the slots of the replicas that can be reached.
func (g *ReplicaSet) slots() int {
	if g == nil {
		return 0
	}
	n := 0
	for _, u := range g.Upstreams {
		if !u.Tracker.Down() {
			n += u.Tracker.Slots
		}
	}
	return n
}
