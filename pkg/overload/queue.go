// Package overload decides which requests start, wait or are refused while callers
// ask for more than the replicas of a service can do. It performs no I/O and starts
// no goroutine; every method that needs the time gets it as an argument.
package overload

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
)

const (
	// FloorShare is the part of the work offered by a rank that is started however
	// much work of better ranks waits. It is a part of what the rank itself offers,
	// so that a small rank is never served more often than a better one.
	FloorShare = 0.05
	// maxFloorCredit bounds, in places, what a rank collects of its floor, so that
	// a rank that was quiet does not hold up the others with a burst. It is enough
	// for one request of the greatest work.
	maxFloorCredit = maxWork
	// MaxWaitShare of the target is the longest wait. A caller that is refused
	// within a quarter of the target can still be served in time by another VM.
	MaxWaitShare = 0.2
	// MinRetryAfter is the least Retry-After: the time in which a running query
	// of a short route ends and leaves its place.
	MinRetryAfter = 30 * time.Millisecond
	// maxRetryAfterShare of the target bounds Retry-After: a caller that comes back
	// later cannot be served within the target any more.
	maxRetryAfterShare = 0.25
	// retryAfterSpread is the part by which Retry-After is lengthened at random,
	// so that callers refused together do not come back together.
	retryAfterSpread = 0.5
	// placeTolerance is the part of a place by which a start may exceed the limit.
	// It rounds sums of unlike works to whole places.
	placeTolerance = 0.5
)

// Limits bounds the requests of a queue.
type Limits struct {
	// Places is the work that may run at a time, in units of the usual work of a
	// request.
	Places float64
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
}

// Queue admits the requests of one VM to one set of replicas. It answers a lasting or
// short excess of requests over what the replicas can do.
//
// Requests start by rank and then by the size of their work, the smaller first. Where
// these are alike they start in rounds over the tenants, and within a round by the time
// until which they have their full value. Each rank and size keeps a floor. A
// request that would start too late is refused at once, and a waiting one gives way to
// one of a better rank when the queue is full. What has started is never taken back. A
// Queue is not safe for concurrent use.
type Queue struct {
	limits Limits
	random func() float64
	// ranks holds the ranks in order, the best first.
	ranks    []*rank
	requests map[uint64]*request
	waiting  int
	inUse    float64
	estimate estimates
}

// rank holds the waiting requests of one priority and size of work.
type rank struct {
	number int
	// size is that of the work of its requests: of equal priority those with less work
	// go first, because a refusal of the others makes more room.
	size  int
	queue *fairqueue.Queue
	// order holds the IDs of the waiting requests in order of arrival.
	order []uint64
	// credit is the work that the rank may start by its floor, in places.
	credit float64
	// offered estimates the work that arrives, in places a second.
	offered rate
}

// request is a request that waits or runs.
type request struct {
	Request
	rank        *rank
	waiting     bool
	work        float64
	latestStart time.Time
}

// NewQueue returns a queue without places. random returns numbers from the uniform
// distribution on [0, 1), which spread Retry-After.
func NewQueue(random func() float64) *Queue {
	return &Queue{random: random, requests: map[uint64]*request{}, estimate: estimates{classes: map[string]*class{}}}
}

// SetLimits changes the limits and returns the decisions on waiting requests.
func (q *Queue) SetLimits(now time.Time, l Limits) []Decision {
	if q.limits == l {
		return nil
	}
	q.limits = l
	for _, r := range q.ranks {
		r.queue.SetLimit(l.MaxWaiting)
	}
	return q.advance(now, nil)
}

// Offer decides on a new request. The decisions on other requests follow the one on
// the new one.
func (q *Queue) Offer(now time.Time, in Request) []Decision {
	r := &request{Request: in, work: q.estimate.work(in.Class)}
	r.rank = q.rankOf(in.Rank, sizeOf(r.work))
	r.latestStart = q.latestStart(now, r)
	r.rank.offered.add(now, r.work)
	r.rank.credit = min(maxFloorCredit, r.rank.credit+FloorShare*r.work)
	changes := q.advance(now, nil)
	if q.waiting == 0 && q.hasPlace(r.work) {
		q.start(r)
		return append([]Decision{{ID: r.ID, Verdict: Started}}, changes...)
	}
	if reason := q.refusalReason(now, r); reason != "" {
		return append([]Decision{q.refuse(now, r, reason)}, changes...)
	}
	if q.waiting >= q.limits.MaxWaiting {
		worst := q.displaceable(r)
		if worst == nil {
			return append([]Decision{q.refuse(now, r, QueueFull)}, changes...)
		}
		q.removeWaiting(worst)
		changes = append(changes, q.refuse(now, worst, Displaced))
	}
	q.push(r)
	return append([]Decision{{ID: r.ID, Verdict: Waits}}, changes...)
}

// Done reports that a started request has left its place and what was observed of it,
// and returns the decisions on waiting requests. An unknown id has no effect.
func (q *Queue) Done(now time.Time, id uint64, o Observation) []Decision {
	r, ok := q.requests[id]
	if !ok || r.waiting {
		return nil
	}
	delete(q.requests, id)
	q.inUse = max(0, q.inUse-r.work)
	if len(q.requests) == q.waiting {
		q.inUse = 0 // without the rounding errors of the sums
	}
	q.estimate.observe(now, r.Class, o)
	return q.advance(now, nil)
}

// Cancel removes a request whose caller has left, and returns the decisions on waiting
// requests. An unknown id has no effect.
func (q *Queue) Cancel(now time.Time, id uint64) []Decision {
	r, ok := q.requests[id]
	if !ok {
		return nil
	}
	if !r.waiting {
		return q.Done(now, id, Observation{})
	}
	q.removeWaiting(r)
	return q.advance(now, nil)
}

// Expire refuses the waiting requests that may not start any more, and returns the
// decisions on waiting requests.
func (q *Queue) Expire(now time.Time) []Decision { return q.advance(now, nil) }

// LatestStart returns until when a waiting request may start.
func (q *Queue) LatestStart(id uint64) time.Time {
	if r, ok := q.requests[id]; ok {
		return r.latestStart
	}
	return time.Time{}
}

// Load returns the work in use, in places, and the number of waiting requests.
func (q *Queue) Load() (inUse float64, waiting int) { return q.inUse, q.waiting }

// Limited reports whether a request of the usual work would have to wait.
func (q *Queue) Limited() bool { return q.waiting > 0 || !q.hasPlace(1) }

// Alone returns how long the work of a class takes without a queue, 0 if that is not
// known.
func (q *Queue) Alone(class string) time.Duration { return q.estimate.alone(class) }

// advance refuses what can no longer start in time and starts what has a place.
func (q *Queue) advance(now time.Time, changes []Decision) []Decision {
	if q.waiting == 0 {
		return changes
	}
	for _, rank := range q.ranks {
		for _, id := range slices.Clone(rank.order) {
			if r := q.requests[id]; !now.Before(r.latestStart) {
				q.removeWaiting(r)
				changes = append(changes, q.refuse(now, r, WaitedTooLong))
			}
		}
	}
	for {
		rank := q.nextRank()
		if rank == nil || !q.hasPlace(q.nextWork(rank)) {
			return changes
		}
		item, _ := rank.queue.Pop(time.Time{}, true)
		r := q.requests[item.ID]
		q.forgetWaiting(r)
		q.start(r)
		changes = append(changes, Decision{ID: r.ID, Verdict: Started})
	}
}

// nextRank returns the rank that starts a request next: one that has its floor due, or
// else the best one. It returns nil if nothing waits.
func (q *Queue) nextRank() *rank {
	var best *rank
	for _, r := range q.ranks {
		if len(r.order) == 0 {
			continue
		}
		if best == nil {
			best = r
		} else if r.floorDue(q.nextWork(r)) {
			return r
		}
	}
	return best
}

// floorDue reports whether the rank may start the work by its floor.
func (r *rank) floorDue(work float64) bool { return r.credit >= work }

// nextWork returns the work of the request of a rank that starts next. The rank must
// have one. All of them have nearly the same chance, so the oldest stands for it.
func (q *Queue) nextWork(r *rank) float64 { return q.requests[r.order[0]].work }

// hasPlace reports whether more work may start. Work of any size may start alone.
func (q *Queue) hasPlace(work float64) bool {
	return q.inUse == 0 || q.inUse+work <= q.limits.Places+placeTolerance
}

// start counts a request as running.
func (q *Queue) start(r *request) {
	r.waiting = false
	q.requests[r.ID] = r
	q.inUse += r.work
	r.rank.credit = max(0, r.rank.credit-r.work)
}

func (q *Queue) push(r *request) {
	r.waiting = true
	q.requests[r.ID] = r
	q.waiting++
	r.rank.order = append(r.rank.order, r.ID)
	r.rank.queue.Push(fairqueue.Item{ID: r.ID, Deadline: r.Arrived.Add(r.Target), Caller: r.Tenant})
}

// removeWaiting removes a waiting request.
func (q *Queue) removeWaiting(r *request) {
	r.rank.queue.Remove(r.ID)
	q.forgetWaiting(r)
}

// forgetWaiting removes a request that has left the queue of its rank.
func (q *Queue) forgetWaiting(r *request) {
	delete(q.requests, r.ID)
	q.waiting--
	r.rank.order = slices.DeleteFunc(r.rank.order, func(id uint64) bool { return id == r.ID })
}

// compare is negative if r is better than other, and positive if it is worse.
func (r *rank) compare(other *rank) int {
	return cmp.Or(cmp.Compare(r.number, other.number), cmp.Compare(r.size, other.size))
}

// sizeOf returns the size of work: 1 for the usual work, 0 for less, 2 for more.
func sizeOf(work float64) int {
	return cmp.Compare(work, 1) + 1
}

// rankOf returns the rank with the given number and size of work, and creates it if it is new.
func (q *Queue) rankOf(number, size int) *rank {
	in := &rank{number: number, size: size}
	at, ok := slices.BinarySearchFunc(q.ranks, in, (*rank).compare)
	if !ok {
		q.ranks = slices.Insert(q.ranks, at, &rank{number: number, size: size, queue: fairqueue.New(q.limits.MaxWaiting)})
	}
	return q.ranks[at]
}

// displaceable returns the waiting request that gives way to a new one: the newest of
// the worst rank, if that is worse than the rank of the new one. The last request of a
// rank that has its floor due is kept. A new request that starts by the floor of its
// rank displaces any other.
func (q *Queue) displaceable(in *request) *request {
	byFloor := in.rank.floorDue(in.work) && len(in.rank.order) == 0
	for _, rank := range slices.Backward(q.ranks) {
		if rank.compare(in.rank) < 0 && !byFloor || rank == in.rank {
			continue
		}
		if len(rank.order) == 0 || len(rank.order) == 1 && rank.floorDue(q.nextWork(rank)) {
			continue
		}
		return q.requests[rank.order[len(rank.order)-1]]
	}
	return nil
}

// latestStart returns until when a request may start: a share of its target after it
// arrived, and early enough to end by its deadline.
func (q *Queue) latestStart(now time.Time, r *request) time.Time {
	latest := r.Arrived.Add(time.Duration(MaxWaitShare * float64(r.Target)))
	if inTime := r.Deadline.Add(-q.estimate.timeNeeded(now, r.Class)); inTime.Before(latest) {
		latest = inTime
	}
	return latest
}

// refusalReason returns why a new request that has to wait is refused at once, "" if
// it may wait.
func (q *Queue) refusalReason(now time.Time, r *request) Reason {
	if r.rank.floorDue(r.work) && now.Before(r.latestStart) {
		return ""
	}
	if r.rank.queue.CheckFit(r.Tenant) == fairqueue.ShareExceeded {
		return ShareExceeded
	}
	if !now.Add(q.expectedWait(now, r)).Before(r.latestStart) {
		return TooLate
	}
	return ""
}

// expectedWait returns how long the request is expected to wait: the work that starts
// before it, divided by the work that ends in a second less what better ranks are
// going to offer meanwhile.
func (q *Queue) expectedWait(now time.Time, r *request) time.Duration {
	drain := q.drainRate(now)
	if drain == 0 {
		return 0
	}
	ahead, _ := r.rank.queue.CountAhead(r.Tenant, r.Arrived.Add(r.Target))
	work := (float64(ahead) + 0.5) * r.work
	for _, better := range q.ranks {
		if better.compare(r.rank) >= 0 {
			break
		}
		for _, id := range better.order {
			work += q.requests[id].work
		}
		drain -= better.offered.at(now)
	}
	if drain <= 0 {
		return r.Target
	}
	return min(r.Target, time.Duration(work/drain*float64(time.Second)))
}

// drainRate returns the work that ends in a second while all places are in use, 0 if
// that is not known.
func (q *Queue) drainRate(now time.Time) float64 {
	d := q.estimate.meanDuration(now)
	if d == 0 {
		return 0
	}
	return max(1, q.limits.Places) / d.Seconds()
}

// refuse returns the decision that refuses a request. It asks its caller to come back
// when what waits with the same or a better rank has started.
func (q *Queue) refuse(now time.Time, r *request, reason Reason) Decision {
	wait := q.expectedWait(now, r)
	longest := max(MinRetryAfter, time.Duration(maxRetryAfterShare*float64(r.Target)))
	wait = min(max(MinRetryAfter, wait), longest)
	wait += time.Duration(retryAfterSpread * q.random() * float64(wait))
	return Decision{ID: r.ID, Verdict: Refused, Reason: reason, RetryAfter: wait}
}
