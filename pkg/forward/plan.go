package forward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// coverageMarginShards is the number of shards by which the expected coverage of a
// query may be below the required one: the actual coverage of a single query
// differs from the expected one by about as much.
const coverageMarginShards = 1.0

// requiredShards returns the number of shards that must answer for a query to
// succeed.
func requiredShards(r *routes.Route) int {
	if !r.FanOut() {
		return 1
	}
	// MinCoverage may stand for a fraction that has no exact binary form.
	const roundingTolerance = 1e-9
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-roundingTolerance)))
}

// MeetsMinCoverage reports whether every fan-out route has enough shards with a
// reachable replica to meet its minimum coverage. With localOnly it counts only the
// replicas in this VM's failure domain.
func (v *View) MeetsMinCoverage(localOnly bool) bool {
	for _, r := range v.Table.Routes {
		reachable := 0
		for _, s := range r.Shards {
			if rs := v.ReplicaSets[s]; rs != nil && rs.reachable(localOnly) {
				reachable++
			}
		}
		if r.FanOut() && reachable < requiredShards(r) {
			return false
		}
	}
	return true
}

// ReplicasReachable reports whether every route has replicas that are not known to be
// unreachable: for enough of its shards, or of one of its services. A service without
// replicas is left out.
func (v *View) ReplicasReachable() bool {
	if !v.MeetsMinCoverage(false) {
		return false
	}
	for _, r := range v.Table.Routes {
		for _, s := range r.Services {
			if rs := v.ReplicaSets[s.Service]; rs != nil && len(rs.Upstreams) > 0 && !rs.reachable(false) {
				return false
			}
		}
	}
	return true
}

// reachable reports whether at least one replica is reachable.
func (rs *ReplicaSet) reachable(localOnly bool) bool {
	for _, u := range rs.Upstreams {
		if !u.Tracker.Down() && (u.Tracker.Local || !localOnly) {
			return true
		}
	}
	return false
}

// RelaysFail reports whether a VM to which requests are relayed has failed lately.
func (v *View) RelaysFail() bool {
	return slices.ContainsFunc(v.RelayPeers, func(p *relay.Peer) bool { return !p.Usable() })
}

// relayFailed records that a VM to which requests are relayed has failed. The others
// of its failure domain must answer a probe first: the whole domain may be gone, and
// each try costs a query the time until its hedges.
func (v *View) relayFailed(failed *relay.Peer) {
	failed.Failed()
	for _, p := range v.RelayPeers {
		if p != failed && p.Domain == failed.Domain {
			p.Suspect()
		}
	}
}

// planShards decides, before the first send, which shards to query. It refuses the
// query if too few shards have a replica, or if so many replicas refuse requests
// that the required coverage is out of reach. Such a query has not run anywhere,
// and the budget that it would have used is left for queries that can succeed. As
// far as the coverage allows, shards that would answer too late are skipped: their
// responses would not be used, and querying them would delay later queries. A VM that
// is isolated counts and queries only shards with a replica in its failure domain.
func (q *query) planShards(now time.Time) *errs.Refusal {
	if !q.route.FanOut() {
		return nil
	}
	expectedLatencies := make([]time.Duration, len(q.shards))
	usableShards, expectedAnswers := 0, 0.0
	q.isolated = q.forwarder.isolated.Load()
	for i, s := range q.shards {
		q.useCurrentReplicas(s)
		if s.replicas == nil {
			continue
		}
		if q.isolated && !s.replicas.reachable(true) {
			s.skipped = true
			q.skippedShards++
			continue
		}
		u := s.replicas.cheapest(now, q.usualLatency(), nil)
		q.forwarder.outages.observe(now, s.service, u != nil)
		if u != nil {
			usableShards++
			expectedLatencies[i], _ = u.Tracker.ExpectedLatency(now, q.usualLatency())
			expectedAnswers += answerProbability(now, u, s.replicas)
		}
	}
	if usableShards < requiredShards(q.route) {
		q.missingShards = len(q.shards) - usableShards
		return errs.Refuse(errs.NoReplica, "%d of %d shards have a replica, %s", usableShards, len(q.shards), q.missingReason()).WithRetryAfter(q.waitForShards(now, requiredShards(q.route)-usableShards))
	}
	if expectedAnswers < float64(requiredShards(q.route))-coverageMarginShards {
		return errs.Refuse(errs.Overloaded, "%.1f of %d shards are likely to answer", expectedAnswers, len(q.shards)).WithRetryAfter(minOverloadRetryAfter)
	}
	q.skipLateShards(expectedLatencies, usableShards-requiredShards(q.route))
	return nil
}

// waitForShards returns the Retry-After of a query that lacks the given number of
// shards: the time until so many more have a replica whose request limit allows a
// request, or may have one that is back from an outage.
func (q *query) waitForShards(now time.Time, missing int) time.Duration {
	var waits []time.Duration
	for _, s := range q.shards {
		if wait := cmp.Or(s.replicas.waitForPermit(now), q.forwarder.outages.retryAfter(now, s.service)); wait > 0 {
			waits = append(waits, wait)
		}
	}
	slices.Sort(waits)
	if len(waits) == 0 {
		return noReplicaRetryAfter
	}
	return max(noReplicaRetryAfter, waits[min(max(1, missing), len(waits))-1])
}

// waitForPermit returns the least time until a reachable replica's request limit
// allows a request, 0 if one allows it now or none is reachable.
func (rs *ReplicaSet) waitForPermit(now time.Time) time.Duration {
	if rs == nil {
		return 0
	}
	least := time.Duration(math.MaxInt64)
	for _, u := range rs.Upstreams {
		if !u.Tracker.Down() {
			least = min(least, u.Tracker.WaitForPermit(now))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// answerProbability returns the probability that a shard answers. Unless the
// budget is down to its reserve, a second replica is tried if the first one fails.
func answerProbability(now time.Time, first *Upstream, replicas *ReplicaSet) float64 {
	failure := first.Tracker.FailureRate(now)
	if !replicas.Budget.BelowRetryReserve() {
		failure *= failure
	}
	return 1 - failure
}

// skipLateShards skips at most maxSkipped of the shards that are expected to
// answer after the cutoff, the slowest first.
func (q *query) skipLateShards(expectedLatencies []time.Duration, maxSkipped int) {
	if q.route.Target <= 0 {
		return
	}
	late := make([]int, 0, len(expectedLatencies))
	for i, d := range expectedLatencies {
		if d > q.cutoff {
			late = append(late, i)
		}
	}
	slices.SortFunc(late, func(a, b int) int { return cmp.Compare(expectedLatencies[b], expectedLatencies[a]) })
	for _, i := range late[:min(maxSkipped, len(late))] {
		q.shards[i].skipped = true
		q.skippedShards++
	}
}

// recordPrimarySends adds to the budget of each service that the request is for.
// The budget is a share of the callers' requests, whether they are sent to a
// replica or not.
func (q *query) recordPrimarySends() {
	for _, s := range q.shards {
		if s.replicas != nil {
			s.replicas.Budget.RecordPrimarySends(1)
		}
	}
}

// querySkippedShards queries skipped shards when others have failed and the
// required coverage cannot be reached without them.
func (q *query) querySkippedShards(now time.Time) {
	if q.skippedShards == 0 || q.isBlocked(now) {
		return
	}
	possible := q.answeredOrWaitingShards()
	for _, s := range q.shards {
		if possible >= requiredShards(q.route) {
			return
		}
		if s.skipped {
			s.skipped = false
			q.skippedShards--
			if q.sendToSkipped(now, s) {
				possible++
			}
		}
	}
}

// sendToSkipped sends the request to a shard that was skipped. It is a retry if
// the shard was skipped after a failed send. It reports whether the request was
// sent.
func (q *query) sendToSkipped(now time.Time, s *shard) bool {
	if len(s.tried) > 0 {
		return q.resend(now, s)
	}
	return q.sendToCheapest(now, s)
}
