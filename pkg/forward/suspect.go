package forward

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// holdBack holds all shards of a query back that are not skipped.
func (q *query) holdBack() {
	for _, s := range q.shards {
		s.heldBack = !s.skipped
	}
}

// sendHeldBack sends the request of a query that may crash replicas to one shard, and to
// the others once that has answered: sent to all at once, it could end a replica of each
// shard. If a replica breaks it off, the other shards are not queried. sendHeldBack
// reports whether shards are no longer held back.
func (q *query) sendHeldBack(now time.Time) bool {
	var held []*shard
	answered, open := false, false
	for _, s := range q.shards {
		answered = answered || s.answered
		open = open || s.openSendCount > 0
		if s.heldBack {
			held = append(held, s)
		}
	}
	switch {
	case len(held) == 0 || (open && !answered):
		return false
	case answered:
		release(held)
		q.sendAll(now)
		q.retryHeldBack(now, held)
	case q.brokenOff > 0:
		release(held)
	default:
		q.sendToFirst(now, held)
	}
	return true
}

// minBrokenOffShards is the number of shards that have broken a query off before it is held
// back from the others. A single replica may end, or close a connection, at any time.
const minBrokenOffShards = 2

// mayCrashReplicas reports whether a query has been broken off by replicas of several shards
// and answered by none. Sent again to the next replica of each shard, it could end all
// replicas of all shards. Beside an outage some shard answers a sound query within its usual
// latency, which is what its retries wait for.
func (q *query) mayCrashReplicas() bool {
	if !q.route.FanOut() || q.brokenOff < minBrokenOffShards {
		return false
	}
	brokenOff := 0
	for _, s := range q.shards {
		if s.answered {
			return false
		}
		if s.brokenOff {
			brokenOff++
		}
	}
	return brokenOff >= minBrokenOffShards
}

// retryHeldBack sends the request again to the shards whose retries were held back.
func (q *query) retryHeldBack(now time.Time, held []*shard) {
	for _, s := range held {
		if len(s.tried) > 0 && s.brokenOff {
			q.retry(now, s, false) // the failure was counted when it was held back
		}
	}
}

// sendToFirst sends the request to the first of the shards that has a replica for it.
func (q *query) sendToFirst(now time.Time, held []*shard) {
	for _, s := range held {
		s.heldBack = false
		if q.sendToCheapest(now, s) {
			return
		}
	}
}

func release(shards []*shard) {
	for _, s := range shards {
		s.heldBack = false
	}
}

// reportSuspect reports that replicas have not answered a query in their usual time that
// may crash them. Other attempts then wait no longer for the proof that this one has.
func (q *query) reportSuspect() {
	if q.forwarder.ledger.CheckAttempt(time.Now(), q.attempt) != poison.Suspect {
		return
	}
	for _, s := range q.shards {
		for _, o := range s.openSends {
			q.reportedSuspect = true
			q.forwarder.observer.SuspectUnanswered(o.upstream, o.start, q.attempt)
		}
	}
}

// suspectAnswered reports that a replica has answered a query that was reported.
func (q *query) suspectAnswered() {
	if q.reportedSuspect {
		q.forwarder.observer.SuspectAnswered(q.attempt)
	}
}
