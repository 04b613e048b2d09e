// Package fairqueue implements a bounded queue that serves callers in rounds and
// the requests within a round by deadline. It performs no I/O.
package fairqueue

import (
	"math"
	"slices"
	"time"
)

// maxShareOfFreePlaces is the largest ratio of one caller's queued requests to the
// free places. With 2, a single caller fills at most two thirds of the queue, so that
// others find a place and no queued request has to be evicted for them.
const maxShareOfFreePlaces = 2

// Item is a queued request. At most one Exclusive request may be in service at a time;
// the owner of the queue ensures this with the argument of Pop.
type Item struct {
	ID        uint64
	Deadline  time.Time
	Caller    string
	Exclusive bool
}

// Fit is the result of a check whether the queue has a place for a request.
type Fit uint8

// Results of CheckFit.
const (
	Fits Fit = iota
	Full
	ShareExceeded
)

// Queue is a bounded queue. Each round serves every caller once. A caller that
// arrives joins the current round, or the next one if it was already served in this
// one. So while a caller's first request waits, at most one request of each other
// caller is served, or two in the second case. A Queue is not safe for concurrent use.
type Queue struct {
	limit          int
	entries        []entry // ordered by deadline
	callers        map[string]*caller
	waitingCallers int     // callers with at least one entry
	virtualTime    float64 // current round; the fraction is the part of it that was served
}

type entry struct {
	Item
	caller *caller
}

type caller struct {
	name       string
	entryCount int
	nextRound  float64 // round that serves the caller's next request
	counted    int     // used within CountAhead only
}

// New returns an empty queue with limit places.
func New(limit int) *Queue {
	return &Queue{limit: limit, callers: map[string]*caller{}}
}

// SetLimit changes the number of places. Queued requests beyond it are kept.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// CallerCount returns the number of callers with waiting requests.
func (q *Queue) CallerCount() int { return q.waitingCallers }

// EarliestDeadline returns the earliest deadline of a queued request. The queue must
// not be empty.
func (q *Queue) EarliestDeadline() time.Time { return q.entries[0].Deadline }

// CheckFit reports whether the queue has a place for a request of the caller.
func (q *Queue) CheckFit(name string) Fit {
	free := q.limit - len(q.entries)
	if free <= 0 {
		return Full
	}
	if c, ok := q.callers[name]; ok && c.entryCount >= maxShareOfFreePlaces*free {
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
	if c.entryCount == 0 {
		c.nextRound = math.Max(c.nextRound, math.Floor(q.virtualTime))
		q.waitingCallers++
	}
	c.entryCount++
	at, _ := slices.BinarySearchFunc(q.entries, it.Deadline, func(e entry, d time.Time) int {
		if e.Deadline.After(d) {
			return 1
		}
		return -1
	})
	q.entries = slices.Insert(q.entries, at, entry{Item: it, caller: c})
}

// CountAhead estimates how many requests are served before one of the given caller
// and deadline, and how many of them are exclusive. Of another caller it counts at
// most one request for each round until then.
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
		e.caller.counted = 0
	}
	for _, e := range q.entries {
		if e.Deadline.After(deadline) {
			break
		}
		if e.Exclusive {
			exclusive++
		}
		if e.caller.counted <= own {
			e.caller.counted++
			all++
		}
	}
	return all, exclusive
}

// Pop removes and returns the request to serve next. It skips requests with a deadline
// before earliest, and exclusive ones if exclusive is false.
func (q *Queue) Pop(earliest time.Time, exclusive bool) (Item, bool) {
	at := q.nextIndex(earliest, exclusive)
	if at < 0 {
		return Item{}, false
	}
	e := q.entries[at]
	q.virtualTime = math.Max(q.virtualTime, e.caller.nextRound)
	e.caller.nextRound = math.Floor(q.virtualTime) + 1
	q.virtualTime += 1 / float64(q.waitingCallers)
	q.removeAt(at)
	return e.Item, true
}

// CanPop reports whether Pop would return a request.
func (q *Queue) CanPop(earliest time.Time, exclusive bool) bool {
	return q.nextIndex(earliest, exclusive) >= 0
}

// nextIndex returns the index of the request that Pop returns, or -1.
func (q *Queue) nextIndex(earliest time.Time, exclusive bool) int {
	best := -1
	for i := range q.entries {
		e := &q.entries[i]
		if e.Deadline.Before(earliest) || (e.Exclusive && !exclusive) {
			continue
		}
		if best < 0 || e.caller.nextRound < q.entries[best].caller.nextRound {
			best = i
		}
	}
	return best
}

// Remove removes the request with the given ID. It returns false if there is none.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.entries {
		if q.entries[i].ID == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Expire removes the requests with a deadline before earliest and returns their IDs.
func (q *Queue) Expire(earliest time.Time) []uint64 {
	var ids []uint64
	for len(q.entries) > 0 && q.entries[0].Deadline.Before(earliest) {
		ids = append(ids, q.entries[0].ID)
		q.removeAt(0)
	}
	return ids
}

// Drain removes all requests and returns their IDs.
func (q *Queue) Drain() []uint64 {
	ids := make([]uint64, 0, len(q.entries))
	for _, e := range q.entries {
		ids = append(ids, e.ID)
	}
	q.entries = nil
	q.reset()
	return ids
}

func (q *Queue) removeAt(i int) {
	c := q.entries[i].caller
	q.entries = slices.Delete(q.entries, i, i+1)
	c.entryCount--
	if c.entryCount == 0 {
		q.waitingCallers--
	}
	if len(q.entries) == 0 {
		q.reset()
		return
	}
	// A caller whose next round is later than the current one is kept without queued
	// requests, so that it cannot be served again in this round by leaving the queue
	// and coming back. The others are deleted when the map outgrows the queue.
	if len(q.callers) > 2*q.waitingCallers+8 {
		q.forgetIdleCallers()
	}
}

// forgetIdleCallers deletes the callers that have no queued request and may be served
// in the current round.
func (q *Queue) forgetIdleCallers() {
	for name, c := range q.callers {
		if c.entryCount == 0 && c.nextRound <= math.Floor(q.virtualTime) {
			delete(q.callers, name)
		}
	}
}

// reset deletes all callers and starts the rounds again. The queue must be empty.
func (q *Queue) reset() {
	clear(q.callers)
	q.waitingCallers = 0
	q.virtualTime = 0
}
