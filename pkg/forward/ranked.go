package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/overload"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// rankedAdmission admits requests by what their delay or refusal costs callers, where
// the configuration names more than one priority. It answers more requests than the
// replicas of a service can do. It is safe for concurrent use.
type rankedAdmission struct {
	mu        sync.Mutex
	resources map[string]*resource
	nextID    uint64
}

// resource is what the requests of a shard set or a service compete for. It is guarded
// by the mutex of its rankedAdmission.
type resource struct {
	admission *rankedAdmission
	queue     *overload.Queue
	limit     overload.Limit
	// results holds the channel that gets the decision on each waiting request.
	results map[uint64]chan overload.Decision
}

// place is what a request holds or waits for.
type place struct {
	resource *resource
	id       uint64
	// startedAt is when the request left the queue.
	startedAt time.Time
	fanOut    bool
	// result gets the decision on a request that waits, which is refused unless it has
	// started by latestStart.
	result      chan overload.Decision
	latestStart time.Time
}

// rankedState is what a request notes for its admission by priority.
type rankedState struct {
	// wait is the time from the arrival to the admission, and refusal why the request
	// was not admitted.
	wait    time.Duration
	refusal overload.Reason
	// sentAt is when the request was sent to all its shards. latencies holds how long
	// replicas took to answer, and sheds counts the sends that they refused because they
	// were full.
	sentAt    time.Time
	latencies []time.Duration
	sheds     int
}

func newRankedAdmission() *rankedAdmission {
	return &rankedAdmission{resources: map[string]*resource{}}
}

// isRanked reports whether the configuration names tenants, or more than one priority.
func isRanked(t *routes.Table) bool {
	return t.HasTenants || slices.ContainsFunc(t.Routes, func(r *routes.Route) bool { return r.Priority != t.Routes[0].Priority })
}

// resourceKey names what the requests of a route compete for.
func resourceKey(r *routes.Route, service string) string {
	if r.FanOut() {
		return "shards " + r.ShardSetKey()
	}
	return "service " + service
}

// keep forgets the resources that the routes no longer use. What still runs there is
// released as before.
func (a *rankedAdmission) keep(t *routes.Table) {
	used := map[string]bool{}
	for _, r := range t.Routes {
		used[resourceKey(r, "")] = true
		for _, s := range r.Services {
			used[resourceKey(r, s.Service)] = true
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for key := range a.resources {
		if !used[key] {
			delete(a.resources, key)
		}
	}
}

// resourceOf returns the resource with the key, and creates it if it is new. a.mu is
// held.
func (a *rankedAdmission) resourceOf(key string) *resource {
	r := a.resources[key]
	if r == nil {
		r = &resource{admission: a, queue: overload.NewQueue(randomFraction), results: map[uint64]chan overload.Decision{}}
		a.resources[key] = r
	}
	return r
}

// capacity is what the replicas of a resource can do.
type capacity struct {
	// slots is the number of requests that run at a time, vms the number of VMs that
	// share them.
	slots, vms int
	// fanOut is set if each request uses a slot of every shard.
	fanOut bool
}

// places returns the places of all VMs together for requests of a class.
func (c capacity) places(queue *overload.Queue, class string, target time.Duration) float64 {
	perSlot := overload.PlacesPerSlot
	if !c.fanOut {
		perSlot = overload.PlacesFor(queue.Alone(class), target)
	}
	return perSlot * float64(c.slots)
}

// offer offers a request. The channel of the returned place is nil unless the request
// waits.
func (a *rankedAdmission) offer(now time.Time, key string, in overload.Request, c capacity) (*place, overload.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.resourceOf(key)
	r.limit.SetRoom(c.places(r.queue, in.Class, in.Target), c.vms)
	r.setPlaces(now)
	a.nextID++
	in.ID = a.nextID
	decisions := r.queue.Offer(now, in)
	p := &place{resource: r, id: in.ID, startedAt: now, fanOut: c.fanOut}
	if decisions[0].Verdict == overload.Waits {
		p.result, p.latestStart = make(chan overload.Decision, 1), r.queue.LatestStart(in.ID)
		r.results[in.ID] = p.result
	}
	r.announce(decisions[1:])
	return p, decisions[0]
}

// setPlaces passes the limit on to the queue.
func (r *resource) setPlaces(now time.Time) {
	places := r.limit.Places(now)
	r.announce(r.queue.SetLimits(now, overload.Limits{Places: places, MaxWaiting: overload.WaitingPerPlace * int(places)}))
}

// announce passes the decisions on to the requests that wait for them.
func (r *resource) announce(decisions []overload.Decision) {
	for _, d := range decisions {
		if result, ok := r.results[d.ID]; ok {
			delete(r.results, d.ID)
			result <- d
		}
	}
}

// wait returns the decision on a waiting request. It reports false if ctx has ended
// first; the request then holds nothing.
func (p *place) wait(ctx context.Context) (overload.Decision, bool) {
	r := p.resource
	timer := time.NewTimer(time.Until(p.latestStart))
	defer timer.Stop()
	for {
		select {
		case d := <-p.result:
			p.startedAt = time.Now()
			return d, true
		case <-timer.C:
			r.admission.mu.Lock()
			r.announce(r.queue.Expire(time.Now()))
			r.admission.mu.Unlock()
			timer.Reset(time.Millisecond) // the clock may be short of the latest start
		case <-ctx.Done():
			r.admission.mu.Lock()
			delete(r.results, p.id)
			r.announce(r.queue.Cancel(time.Now(), p.id))
			r.admission.mu.Unlock()
			return overload.Decision{}, false
		}
	}
}

// release ends the request's use of its place. took is how long half of the shards, or
// the replica, took to answer, 0 if that says nothing of the load.
func (p *place) release(class string, target, took time.Duration, answered bool) {
	now := time.Now()
	r := p.resource
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	if took > 0 {
		sample := overload.Sample{Took: took, Target: target, Limited: r.queue.Limited()}
		sample.InUse, _ = r.queue.Load()
		if !p.fanOut {
			sample.Alone = r.queue.Alone(class)
		}
		r.limit.Observe(now, sample)
	}
	o := overload.Observation{}
	if answered {
		o = overload.Observation{Duration: now.Sub(p.startedAt), Work: took}
	}
	if pause := r.limit.Pause(now.Sub(p.startedAt)); pause > 0 {
		time.AfterFunc(min(pause, target), func() {
			r.admission.mu.Lock()
			defer r.admission.mu.Unlock()
			p.leave(o)
		})
		return
	}
	p.leave(o)
}

// leave gives the place to another request. The mutex is held.
func (p *place) leave(o overload.Observation) {
	now := time.Now()
	p.resource.announce(p.resource.queue.Done(now, p.id, o))
	p.resource.setPlaces(now)
}

// admitRanked is admit where the configuration names more than one priority. It admits
// requests to one replica too.
func (q *query) admitRanked(ctx context.Context) *errs.Refusal {
	f, now := q.forwarder, time.Now()
	if refusal := q.refuseHopeless(now); refusal != nil {
		return q.refuseAdmission(overload.Decision{Reason: overload.TooLate, RetryAfter: refusal.RetryAfter}, refusal.Detail)
	}
	deadline := q.deadline
	if q.route.FanOut() {
		deadline = q.start.Add(min(q.cutoff, deadline.Sub(q.start)))
	}
	c := q.capacity()
	if c.slots == 0 {
		return nil // planShards refuses a request that lacks replicas
	}
	p, decision := f.rankedAdmission.offer(now, resourceKey(q.route, q.shards[0].service), overload.Request{
		Rank: q.priority, Tenant: cmp.Or(q.tenantName(), q.caller), Class: q.route.Name, Arrived: q.start, Target: q.rankedTarget(), Deadline: deadline,
	}, c)
	if p.result != nil {
		var decided bool
		if decision, decided = p.wait(ctx); !decided {
			return errs.Refuse(errs.Canceled, "caller gave up in the admission queue")
		}
	}
	if decision.Verdict == overload.Refused {
		return q.refuseAdmission(decision, "")
	}
	q.ranked.wait = p.startedAt.Sub(q.start)
	q.releaseAdmission = sync.OnceFunc(func() {
		took, answered := q.loadSample(time.Now())
		p.release(q.route.Name, q.rankedTarget(), took, answered)
	})
	return nil
}

// rankedTarget returns the target of the route, the timeout if it has none.
func (q *query) rankedTarget() time.Duration {
	if q.route.Target > 0 {
		return q.route.Target
	}
	return requestTimeout("", q.route)
}

// refuseHopeless refuses a request to one replica that no replica is expected to answer
// within its target or by its deadline.
func (q *query) refuseHopeless(now time.Time) *errs.Refusal {
	if q.route.FanOut() {
		return nil // planShards decides on the shards
	}
	q.useCurrentReplicas(q.shards[0])
	rs := q.shards[0].replicas
	if rs == nil {
		return nil
	}
	least := time.Duration(-1)
	for _, u := range rs.Upstreams {
		if d, usable := u.Tracker.ExpectedLatency(now, q.usualLatency()); usable && (least < 0 || d < least) {
			least = d
		}
	}
	left := max(q.deadline.Sub(now), q.start.Add(q.rankedTarget()).Sub(now))
	if least < 0 || least <= left {
		return nil
	}
	return errs.Refuse(errs.Overloaded, "the replicas are expected to need %s of %s", least.Round(time.Millisecond), left.Round(time.Millisecond)).
		WithRetryAfter(min(least-left, max(minOverloadRetryAfter, q.rankedTarget()/4)))
}

// capacity returns what the replicas can do that the request may be sent to.
func (q *query) capacity() capacity {
	allReplicas := q.forwarder.cutOff.Load()
	if q.route.FanOut() {
		return capacity{slots: q.view.limitingSlots(q.route, allReplicas), vms: q.view.VMs, fanOut: true}
	}
	q.useCurrentReplicas(q.shards[0])
	return capacity{slots: q.shards[0].replicas.slots(allReplicas), vms: q.view.VMs}
}

// loadSample returns how long half of the shards that were queried took to answer, 0 if
// that says nothing of the load of the replicas, and whether so many have answered.
func (q *query) loadSample(now time.Time) (took time.Duration, answered bool) {
	sent := len(q.shards) - q.skippedShards - q.missingShards
	half := (sent + 1) / 2
	switch {
	case q.ranked.sentAt.IsZero() || sent <= 0:
		return 0, false
	case len(q.ranked.latencies) >= half:
		slices.Sort(q.ranked.latencies)
		return q.ranked.latencies[half-1], true
	case q.ranked.sheds >= half || now.Sub(q.ranked.sentAt) >= q.rankedTarget()/2:
		return q.rankedTarget(), false
	}
	return 0, false
}

// recordAnswerLatency records how long a replica took to answer.
func (q *query) recordAnswerLatency(d time.Duration) {
	if q.forwarder.ranked.Load() {
		if q.ranked.latencies == nil {
			q.ranked.latencies = make([]time.Duration, 0, len(q.shards))
		}
		q.ranked.latencies = append(q.ranked.latencies, d)
	}
}

// refuseAdmission counts and returns the refusal of a request that was not admitted. The
// status is 503 also if the tenant holds its share of the queue: 429 is left to usage
// caps, which do not depend on the load.
func (q *query) refuseAdmission(d overload.Decision, detail string) *errs.Refusal {
	if detail == "" {
		detail = "not admitted"
	}
	q.ranked.refusal = d.Reason
	q.forwarder.metrics.admissionRefusals.count(q.priority, d.Reason)
	return errs.Refuse(errs.Overloaded, "%s: %s, priority %d", detail, d.Reason, q.priority).WithRetryAfter(max(minOverloadRetryAfter, d.RetryAfter))
}

// releaseUnresponsive releases the place of a request to one replica that has not
// answered for unresponsiveTime: a paused replica does not hold the places of the VM.
func (q *query) releaseUnresponsive() {
	if !q.route.FanOut() {
		q.releaseAdmission()
	}
}
