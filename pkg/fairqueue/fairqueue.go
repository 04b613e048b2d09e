// Package fairqueue holds a bounded queue that serves callers in rounds and
// orders the requests of one round by deadline. It performs no I/O.
package fairqueue

import (
	"math"
	"slices"
	"time"
)

// shareFactor bounds the requests of one caller to this multiple of the free
// places. A single caller fills at most two thirds of the queue, so others
// always find a place, and no queued request has to be evicted for them.
const shareFactor = 2

// Item is one waiting request. Of the Exclusive items only one at a time may
// be in service.
type Item struct {
	ID        uint64
	Deadline  time.Time
	Caller    string
	Exclusive bool
}

// Fit tells whether a queue has a place for a request.
type Fit uint8

// Results of CheckFit.
const (
	Fits Fit = iota
	Full
	ShareExceeded
)

// Queue is a bounded queue. Each round serves every caller once; a caller that
// arrives joins the current round, or the next one if it was served in this
// one. So between the arrival and the start of a caller's first request at most
// one request of each other caller is served, or two in the second case.
// A Queue is guarded by its owner.
type Queue struct {
	limit   int
	entries []entry // ordered by deadline
	callers map[string]*caller
	waiting int     // callers with at least one entry
	virtual float64 // current round; the fraction is its progress
}

type entry struct {
	Item
	caller *caller
}

type caller struct {
	name    string
	entries int
	round   float64 // round that serves the caller's next request
	ahead   int     // scratch of CountAhead
}

// New returns an empty queue with limit places.
func New(limit int) *Queue {
	return &Queue{limit: limit, callers: map[string]*caller{}}
}

// SetLimit changes the number of places. Requests beyond it stay queued.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// CallerCount returns the number of callers with waiting requests.
func (q *Queue) CallerCount() int { return q.waiting }

// EarliestDeadline returns the earliest deadline; the queue must not be empty.
func (q *Queue) EarliestDeadline() time.Time { return q.entries[0].Deadline }

// CheckFit tells whether a request of the caller fits.
func (q *Queue) CheckFit(name string) Fit {
	free := q.limit - len(q.entries)
	if free <= 0 {
		return Full
	}
	if c, ok := q.callers[name]; ok && c.entries >= shareFactor*free {
		return ShareExceeded
	}
	return Fits
}

// Push adds a request without a check; the owner calls CheckFit first.
func (q *Queue) Push(it Item) {
	c, ok := q.callers[it.Caller]
	if !ok {
		c = &caller{name: it.Caller}
		q.callers[it.Caller] = c
	}
	if c.entries == 0 {
		c.round = math.Max(c.round, math.Floor(q.virtual))
		q.waiting++
	}
	c.entries++
	at, _ := slices.BinarySearchFunc(q.entries, it.Deadline, func(e entry, d time.Time) int {
		if e.Deadline.After(d) {
			return 1
		}
		return -1
	})
	q.entries = slices.Insert(q.entries, at, entry{Item: it, caller: c})
}

// CountAhead estimates how many requests are served before one of the given caller
// and deadline, and how many of them are exclusive. Of each other caller it
// counts only what the rounds let pass.
func (q *Queue) CountAhead(name string, deadline time.Time) (all, exclusive int) {
	own := 0
	if c, ok := q.callers[name]; ok {
		for _, e := range q.entries {
			if e.Deadline.After(deadline) {
				break
			}
			if e.caller == c {
				own++
			}
		}
	}
	for _, e := range q.entries {
		e.caller.ahead = 0
	}
	for _, e := range q.entries {
		if e.Deadline.After(deadline) {
			break
		}
		if e.Exclusive {
			exclusive++
		}
		if e.caller.ahead <= own {
			e.caller.ahead++
			all++
		}
	}
	return all, exclusive
}

// Pop removes the request to serve next. It passes over requests with a
// deadline before earliest, and over exclusive ones if exclusive is false.
func (q *Queue) Pop(earliest time.Time, exclusive bool) (Item, bool) {
	at := q.next(earliest, exclusive)
	if at < 0 {
		return Item{}, false
	}
	e := q.entries[at]
	q.virtual = math.Max(q.virtual, e.caller.round)
	e.caller.round = math.Floor(q.virtual) + 1
	q.virtual += 1 / float64(q.waiting)
	q.removeAt(at)
	return e.Item, true
}

// CanPop tells whether Pop would return a request.
func (q *Queue) CanPop(earliest time.Time, exclusive bool) bool {
	return q.next(earliest, exclusive) >= 0
}

func (q *Queue) next(earliest time.Time, exclusive bool) int {
	best := -1
	for i := range q.entries {
		e := &q.entries[i]
		if e.Deadline.Before(earliest) || (e.Exclusive && !exclusive) {
			continue
		}
		if best < 0 || e.caller.round < q.entries[best].caller.round {
			best = i
		}
	}
	return best
}

// Remove takes out one request.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.entries {
		if q.entries[i].ID == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Expire removes the requests with a deadline before earliest.
func (q *Queue) Expire(earliest time.Time) []uint64 {
	var ids []uint64
	for len(q.entries) > 0 && q.entries[0].Deadline.Before(earliest) {
		ids = append(ids, q.entries[0].ID)
		q.removeAt(0)
	}
	return ids
}

// Drain removes all requests.
func (q *Queue) Drain() []uint64 {
	ids := make([]uint64, 0, len(q.entries))
	for _, e := range q.entries {
		ids = append(ids, e.ID)
	}
	q.entries = nil
	q.forgetAll()
	return ids
}

func (q *Queue) removeAt(i int) {
	c := q.entries[i].caller
	q.entries = slices.Delete(q.entries, i, i+1)
	c.entries--
	if c.entries == 0 {
		q.waiting--
	}
	if len(q.entries) == 0 {
		q.forgetAll()
		return
	}
	// A caller ahead of the current round is remembered, so that it cannot
	// gain by leaving the queue and coming back. The sweep keeps the map in
	// proportion to the queue.
	if len(q.callers) > 2*q.waiting+8 {
		q.sweep()
	}
}

func (q *Queue) sweep() {
	for name, c := range q.callers {
		if c.entries == 0 && c.round <= math.Floor(q.virtual) {
			delete(q.callers, name)
		}
	}
}

func (q *Queue) forgetAll() {
	clear(q.callers)
	q.waiting = 0
	q.virtual = 0
}
