package poison

import (
	"slices"
	"time"
)

const (
	// unansweredRetention is how long a request counts that a replica did not answer. A
	// replica that has crashed is back, or its entry has lapsed, some seconds later.
	unansweredRetention = 15 * time.Second
	// unreachableTime is how long a replica cannot be reached, while others of its failure
	// domain answer, before its process counts as ended. Lost packets delay a dial by a
	// second.
	unreachableTime = time.Second
	// maxUnanswered limits the requests that are remembered of one replica.
	maxUnanswered = 64
)

// Attempt identifies one attempt of a caller's request, so that a request that crashes
// the replicas that run it is recognized when it is sent again.
type Attempt struct {
	// Fingerprint is the same for all attempts of a request, whatever their query strings
	// and callers are.
	Fingerprint uint64
	// Exact is the same only for attempts that are alike in everything that a replica may
	// act on. Its success says nothing of attempts that differ.
	Exact uint64
	// Former is the fingerprint that VMs of older versions give the attempt, 0 if it is not
	// known. It is read in their reports and not written.
	Former uint64
	// ID is new for each attempt.
	ID string
	// StartedAt is when this VM began with the attempt.
	StartedAt time.Time
	// FanOut is set for a query over many shards.
	FanOut bool
	// RequestID is the caller's name for the attempt. Callers may give the same one to
	// several attempts.
	RequestID string
}

// Unanswered holds the requests that one process of a replica did not answer, until it
// is known whether the process has ended under them. Most signs leave that open: a
// connection may break, or a dial time out, because of the network, and a probe may
// fail on a connection that died with the process or meet the next one. Only what
// shows that the process runs or has ended decides.
//
// It is not safe for concurrent use.
type Unanswered struct {
	requests []unanswered
	// endedAt is when the process was found to have ended; zero while it may run.
	endedAt time.Time
}

// LostAttempt is an attempt under which a replica has ended.
type LostAttempt struct {
	Attempt
	// BrokenOff is set if the replica broke the attempt off. It has then ended with the
	// attempt in flight; else it may have ended before.
	BrokenOff bool
}

// unanswered is a request without an answer.
type unanswered struct {
	attempt   Attempt
	failedAt  time.Time
	brokenOff bool
	// unreachableSince is when no connection could be opened first after the request had
	// failed, zero if none has failed. Later answers may be those of the next process.
	unreachableSince time.Time
}

func (r unanswered) unreachable() bool { return !r.unreachableSince.IsZero() }

// Add records that a request sent at sentAt was not answered; brokenOff tells that the
// replica broke it off. It reports whether the
// process is known to have ended since then; the request is not kept in this case.
func (u *Unanswered) Add(now, sentAt time.Time, a Attempt, brokenOff bool) (ended bool) {
	if sentAt.Before(u.endedAt) {
		return true
	}
	u.prune(now)
	if slices.ContainsFunc(u.requests, func(r unanswered) bool { return r.attempt == a }) {
		return false
	}
	if len(u.requests) >= maxUnanswered {
		u.requests = u.requests[1:]
	}
	u.requests = append(u.requests, unanswered{attempt: a, failedAt: now, brokenOff: brokenOff})
	return false
}

// Answered records that a request sent at sentAt was answered: the process did not end
// under those that had failed before, unless it could not be reached in between.
func (u *Unanswered) Answered(sentAt time.Time) {
	if sentAt.After(u.endedAt) {
		u.endedAt = time.Time{}
	}
	u.requests = slices.DeleteFunc(u.requests, func(r unanswered) bool { return !r.unreachable() && r.failedAt.Before(sentAt) })
}

// Unreachable records that no connection to the replica could be opened. networkWorked is
// the latest time at which the network to the replica's failure domain is known to have
// worked. The result holds the requests under which the process has ended.
func (u *Unanswered) Unreachable(now, networkWorked time.Time) []LostAttempt {
	u.markUnreachable(now)
	return u.take(now, func(r unanswered) bool {
		return now.Sub(r.unreachableSince) >= unreachableTime && r.unreachableSince.Before(networkWorked)
	})
}

// Refused is Unreachable for an address at which nothing listened. A network that fails
// may refuse connections too.
func (u *Unanswered) Refused(now, networkWorked time.Time) []LostAttempt {
	u.markUnreachable(now)
	return u.take(now, func(r unanswered) bool { return r.failedAt.Before(networkWorked) })
}

func (u *Unanswered) markUnreachable(now time.Time) {
	for i := range u.requests {
		if r := &u.requests[i]; !r.unreachable() {
			r.unreachableSince = now
		}
	}
}

// Lapsed records that the replica's entry has lapsed. A process that neither this VM nor
// the store has heard of any more has ended.
func (u *Unanswered) Lapsed(now time.Time) []LostAttempt {
	return u.take(now, unanswered.unreachable)
}

// Ended records that the process has certainly ended, for instance because another one
// has its address.
func (u *Unanswered) Ended(now time.Time) []LostAttempt {
	u.endedAt = now
	return u.take(now, func(unanswered) bool { return true })
}

// take removes the requests for which ended holds and returns them. If there is one,
// the process has ended.
func (u *Unanswered) take(now time.Time, ended func(unanswered) bool) []LostAttempt {
	u.prune(now)
	var taken []LostAttempt
	u.requests = slices.DeleteFunc(u.requests, func(r unanswered) bool {
		if !ended(r) {
			return false
		}
		taken = append(taken, LostAttempt{r.attempt, r.brokenOff})
		return true
	})
	if len(taken) > 0 {
		u.endedAt = now
	}
	return taken
}

// prune drops the requests that no longer count.
func (u *Unanswered) prune(now time.Time) {
	u.requests = slices.DeleteFunc(u.requests, func(r unanswered) bool { return now.Sub(r.failedAt) > unansweredRetention })
}

// Attempts returns the requests that are undecided.
func (u *Unanswered) Attempts() []Attempt {
	attempts := make([]Attempt, 0, len(u.requests))
	for _, r := range u.requests {
		attempts = append(attempts, r.attempt)
	}
	return attempts
}

// Expire drops the requests that no longer count, and returns their number.
func (u *Unanswered) Expire(now time.Time) int {
	before := len(u.requests)
	u.prune(now)
	return before - len(u.requests)
}

// Expired reports whether nothing is left to remember.
func (u *Unanswered) Expired(now time.Time) bool {
	u.prune(now)
	return len(u.requests) == 0 && now.Sub(u.endedAt) > unansweredRetention
}
