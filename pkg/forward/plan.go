package forward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// chanceMargin is the number of shards by which the expected coverage may fall
// short: that of a single query differs from it by about as much.
const chanceMargin = 1.0

// least returns the number of shards without which there is no success.
func least(r *routes.Route) int {
	if !r.FanOut() {
		return 1
	}
	// The share may be meant as a fraction that has no exact binary form.
	const rounding = 1e-9
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-rounding)))
}

// MeetsMinCoverage reports whether every fan-out route has enough shards with a
// replica that counts as reachable.
func (v *View) MeetsMinCoverage() bool {
	for _, r := range v.Table.Routes {
		reachable := 0
		for _, s := range r.Shards {
			if g := v.ReplicaSets[s]; g != nil && g.reachable() {
				reachable++
			}
		}
		if r.FanOut() && reachable < least(r) {
			return false
		}
	}
	return true
}

func (g *ReplicaSet) reachable() bool {
	for _, u := range g.Upstreams {
		if !u.Tracker.Down() {
			return true
		}
	}
	return false
}

// plan decides before the first send which shards are asked. Where too few have
// a replica, or so many replicas refuse requests that the coverage is out of
// reach, the query is refused and has not run anywhere; what it would have
// taken from the budget goes to queries that can succeed. Shards that would
// answer too late are left out, as far as the coverage allows: asking them
// would only delay the queries behind this one.
func (q *query) plan(now time.Time) *errs.Refusal {
	if !q.route.FanOut() {
		return nil
	}
	expected := make([]time.Duration, len(q.shards))
	usable, likely := 0, 0.0
	for i, s := range q.shards {
		if s.group == nil {
			continue
		}
		if u := s.group.best(now, q.usual(), nil); u != nil {
			usable++
			expected[i], _ = u.Tracker.ExpectedLatency(now, q.usual())
			likely += answerChance(now, u, s.group)
		}
	}
	if usable < least(q.route) {
		q.missing = len(q.shards) - usable
		return errs.Refuse(errs.NoReplica, "%d of %d shards have a replica, %s", usable, len(q.shards), q.lastFailure()).WithRetryAfter(noReplicaRetry)
	}
	if likely < float64(least(q.route))-chanceMargin {
		return errs.Refuse(errs.Overloaded, "%.1f of %d shards are likely to answer", likely, len(q.shards)).WithRetryAfter(overloadRetry)
	}
	q.skip(expected, usable-least(q.route))
	return nil
}

// answerChance returns how likely a shard is to answer. While the budget lasts a
// second replica replaces the first.
func answerChance(now time.Time, first *Upstream, group *ReplicaSet) float64 {
	failure := first.Tracker.FailureRate(now)
	if !group.Budget.BelowRetryReserve() {
		failure *= failure
	}
	return 1 - failure
}

// skip leaves out up to most shards that are expected to answer too late, the
// slowest first.
func (q *query) skip(expected []time.Duration, most int) {
	if q.route.Target <= 0 {
		return
	}
	useful := usefulTime(q.route)
	order := make([]int, 0, len(expected))
	for i, d := range expected {
		if d > useful {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(expected[b], expected[a]) })
	for _, i := range order[:min(most, len(order))] {
		q.shards[i].skipped = true
		q.skipped++
	}
}

// countPrimary adds to the budget of each service that the request is for. The
// budget is a share of the callers' requests, whether they are sent on or not.
func (q *query) countPrimary() {
	for _, s := range q.shards {
		if s.group != nil {
			s.group.Budget.RecordPrimarySends(1)
		}
	}
}

// unskip asks the shards that were left out after all, when others have failed
// and the coverage cannot be reached without them.
func (q *query) unskip(now time.Time) {
	if q.skipped == 0 {
		return
	}
	possible := q.possible()
	for _, s := range q.shards {
		if possible >= least(q.route) {
			return
		}
		if s.skipped {
			s.skipped = false
			q.skipped--
			if q.ask(now, s) {
				possible++
			}
		}
	}
}

// ask sends the request of a shard that was left out: for the first time, or
// again.
func (q *query) ask(now time.Time, s *shard) bool {
	if len(s.tried) > 0 {
		return q.resend(now, s)
	}
	return q.launch(now, s)
}
