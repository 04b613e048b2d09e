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
	// queriesPerSlot is the number of queries that all VMs together may have in
	// flight for each slot of the shard with the fewest slots. A replica queues
	// about six requests per slot, but a query that waits behind more than one or
	// two others at every shard misses its target.
	queriesPerSlot = 3.0
	// burstDeviations times the square root of a VM's share is added to that
	// share: requests arrive at random, and the balancer does not spread them
	// evenly.
	burstDeviations = 2.0
	// maxAdmissionWaitShare of the target is the longest wait for admission. A
	// caller that is refused within a quarter of the target can still be served in
	// time by another attempt.
	maxAdmissionWaitShare = 0.2
	// minOverloadRetryAfter is the least Retry-After in refusals because of
	// overload.
	minOverloadRetryAfter = 30 * time.Millisecond
)

// admit waits until a fan-out query may run. If more queries ran than the replicas
// have capacity for, each would find some of its shards full, and hardly any would
// reach its coverage; so the excess is refused before it is sent to a replica. The
// admission must be released when the query has ended or missed its target: a
// query that still waits for unresponsive replicas loads none of them and must not
// block others.
func (q *query) admit(ctx context.Context) *errs.Refusal {
	q.releaseAdmission = func() {}
	if q.forwarded {
		return nil // the VM of the caller has admitted it
	}
	if q.forwarder.ranked.Load() {
		return q.admitRanked(ctx)
	}
	if !q.route.FanOut() {
		return nil
	}
	f, shardSet := q.forwarder, model.ServiceID(q.route.ShardSetKey())
	f.fanOutLimiter.SetLimits(shardSet, q.view.fanOutLimits(q.route, f.cutOff.Load()))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(maxAdmissionWaitShare*float64(q.route.Target)))
	defer cancel()
	release, err := f.fanOutLimiter.Admit(ctx, admission.Request{
		Service: shardSet, Class: model.Search, Caller: q.caller, Deadline: q.start.Add(q.cutoff),
	})
	if err == nil {
		q.releaseAdmission = sync.OnceFunc(release)
		return nil
	}
	refusal := errs.As(err)
	if refusal.Code == errs.DeadlineExceeded {
		refusal = errs.Refuse(errs.Overloaded, "waited %s for admission", time.Since(q.start).Round(time.Millisecond))
	}
	return refusal.WithRetryAfter(max(minOverloadRetryAfter, refusal.RetryAfter))
}

// fanOutLimits returns how many queries of a fan-out route this VM may have in
// flight, and how many may wait. With allReplicas also replicas count that this VM cannot
// reach: another VM queries them for it.
func (v *View) fanOutLimits(r *routes.Route, allReplicas bool) admission.Limits {
	share := queriesPerSlot * float64(v.limitingSlots(r, allReplicas)) / float64(max(1, v.VMs))
	n := int(math.Ceil(share + burstDeviations*math.Sqrt(share)))
	return admission.Limits{MaxRunning: max(1, n), MaxWaiting: max(1, n)}
}

// limitingSlots returns the slots of the shard that limits a route's queries: the
// one with the fewest slots, not counting the shards that the coverage can do
// without.
func (v *View) limitingSlots(r *routes.Route, allReplicas bool) int {
	slotsByShard := make([]int, 0, len(r.Shards))
	for _, s := range r.Shards {
		slotsByShard = append(slotsByShard, v.ReplicaSets[s].slots(allReplicas))
	}
	slices.Sort(slotsByShard)
	return slotsByShard[len(slotsByShard)-requiredShards(r)]
}

// slots returns the sum of the slots of all replicas, or of the reachable ones.
func (rs *ReplicaSet) slots(allReplicas bool) int {
	if rs == nil {
		return 0
	}
	n := 0
	for _, u := range rs.main(time.Now()).Upstreams {
		if allReplicas || !u.Tracker.Down() {
			n += u.Tracker.Slots
		}
	}
	return n
}
