package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// recordSuccess records that the request has succeeded, at the shards that have answered
// if others have not: an answer that lacks a shard says nothing of the replicas of that.
func (q *query) recordSuccess(r *response) {
	unanswered := func(s *shard) bool { return !s.answered && len(s.tried) > 0 }
	switch {
	case !showsRun(r.status):
	case q.brokenOff > 0 || slices.ContainsFunc(q.shards, unanswered):
		q.recordAnsweredShards()
	default:
		q.reportSuccess(nil) // by the verdict that the success may end
		q.forwarder.ledger.RecordAttemptSuccess(time.Now(), q.attempt)
	}
}

// recordAnsweredShards records that the request has succeeded at the shards that have
// answered and at which no replica has broken it off.
func (q *query) recordAnsweredShards() {
	if !q.route.FanOut() {
		return
	}
	var services, missing []string
	for _, s := range q.shards {
		if s.answered && !s.brokenOff {
			services = append(services, s.service)
		} else {
			missing = append(missing, s.service)
		}
	}
	if len(services) > 0 {
		q.forwarder.ledger.RecordPartialSuccess(time.Now(), q.attempt.Exact, missing)
		q.forwarder.ledger.RecordPartialSuccess(time.Now(), q.attempt.Fingerprint, missing)
		q.reportSuccess(services)
	}
}

// reportSuccess reports a success of a request that was in flight when replicas crashed.
func (q *query) reportSuccess(services []string) {
	if v := q.forwarder.ledger.CheckAttempt(time.Now(), q.attempt); v == poison.Suspect || v == poison.Blocked {
		q.forwarder.observer.SuspectSucceeded(q.attempt, services)
	}
}

// showsRun reports whether a replica that answers with the status has run the request and
// is well. With 408 and 429 it has turned the request away.
func showsRun(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
