package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/merge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/routing"
	"github.com/nutmeghitch/nutmeghitch/pkg/snapshot"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	perCandidate = "each candidate is weighed once"
	perGroup     = "the same work for each group"
)

// planItems measure the pure decisions of a query at its entry VM.
func planItems() []Item {
	return []Item{
		{
			Name: "routing-replicas", Size: "replicas per group", Sizes: []int{2, 4, 8, 16}, Quick: []int{2, 4, 8, 16}, Target: replicasPerGroup,
			Metrics: []Metric{{Name: "pick, send, completion", Unit: "us", Model: Linear, Why: perCandidate}},
			Measure: func(_ context.Context, e Effort, n int) ([]float64, error) { return measureRouting(e, 1, n) },
		},
		{
			Name: "routing-groups", Size: "groups per query", Sizes: groupSizes, Quick: quickGroups, Target: targetGroups,
			Metrics: []Metric{{Name: "pick, send, completion of a query", Unit: "us", Model: Linear, Why: perGroup}},
			Measure: func(_ context.Context, e Effort, n int) ([]float64, error) {
				return measureRouting(e, n, replicasPerGroup)
			},
		},
		{
			Name: "snapshot", Size: "groups", Sizes: groupSizes, Quick: quickGroups, Target: targetGroups,
			Metrics: []Metric{{Name: "choice without the cache", Unit: "us", Model: Linear, Why: "each replica's status is looked up"}},
			Measure: func(_ context.Context, e Effort, n int) ([]float64, error) {
				v := viewOf(document(n, replicasPerGroup), fleetVMs(targetDomains))
				return micros(e, func() error { return chosen(snapshot.Choose(v.Config.Services[service], v)) })
			},
		},
		{
			Name: "snapshot-cached", Size: "groups", Sizes: groupSizes, Quick: quickGroups, Target: targetGroups,
			Metrics: []Metric{{Name: "choice with the cache", Unit: "us", Model: Linear, Why: "one lookup; the slope is expected to be 0"}},
			Measure: func(_ context.Context, e Effort, n int) ([]float64, error) {
				v := viewOf(document(n, replicasPerGroup), fleetVMs(targetDomains))
				var cache snapshot.Cache
				return micros(e, func() error { return chosen(cache.Choose(service, v)) })
			},
		},
		{
			Name: "merge", Size: "groups", Sizes: groupSizes, Quick: quickGroups, Target: targetGroups,
			Metrics: []Metric{{Name: "collection of a query, 5 rows per group", Unit: "us", Model: Linear, Why: "rows are cut to the limit while they arrive, so sorts have a bounded size"}},
			Measure: measureMerge,
		},
	}
}

func chosen(_ snapshot.Choice, ok bool) error {
	if !ok {
		return errs.Refuse(errs.NoSnapshot, "no snapshot")
	}
	return nil
}

func measureRouting(e Effort, groups, replicas int) ([]float64, error) {
	table := routing.NewTable(rand.New(rand.NewPCG(1, 2)))
	lists := make([][]routing.Candidate, groups)
	for g := range lists {
		for r := range replicas {
			lists[g] = append(lists[g], routing.Candidate{Replica: model.ReplicaID(fmt.Sprint(g, "-", r)), Distance: time.Duration(r%3) * time.Millisecond})
		}
	}
	hint := wire.LoadHint{Window: slots, ServiceTime: time.Millisecond}
	now := time.Unix(1_796_000_000, 0)
	return micros(e, func() error {
		now = now.Add(time.Millisecond)
		for _, list := range lists {
			c, _ := table.Pick(now, list)
			table.Sent(now, c.Replica)
			table.Completed(now, c.Replica, time.Millisecond, hint)
		}
		return nil
	})
}

const (
	rowsPerGroup = 5
	rowBytes     = 100
)

// outcomes answers items with rowsPerGroup rows each, merged to the limit as
// an owner does.
func outcomes(query string, items []wire.SearchItem, shards func(model.GroupID) []model.ShardID) *wire.SearchPartial {
	p := &wire.SearchPartial{QueryID: query, Last: true}
	for i, it := range items {
		p.Groups = append(p.Groups, wire.GroupOutcome{
			Group: it.Group, Replica: it.Replica, Attempt: it.Attempt, Shards: shards(it.Group),
			Hint: wire.LoadHint{Outstanding: 1, Window: slots, ServiceTime: time.Millisecond}, ServiceTime: time.Millisecond,
		})
		for r := range rowsPerGroup {
			p.Rows = append(p.Rows, wire.Row{Group: it.Group, Key: []any{float64((i*7919 + r*104729) % 1000)}, Data: make([]byte, rowBytes)})
		}
	}
	p.Rows = merge.MergeRows(p.Rows, []model.OrderKey{{Desc: true}}, rowLimit)
	return p
}

func shardsOf(m *model.ShardMap) func(model.GroupID) []model.ShardID {
	byGroup := map[model.GroupID][]model.ShardID{}
	for _, g := range m.Groups {
		byGroup[g.ID] = g.Shards
	}
	return func(id model.GroupID) []model.ShardID { return byGroup[id] }
}

func measureMerge(_ context.Context, e Effort, n int) ([]float64, error) {
	m := &document(n, replicasPerGroup).Services[service].ShardMaps[0]
	shards := shardsOf(m)
	var partials []*wire.SearchPartial
	for at := 0; at < n; at += targetItems {
		var items []wire.SearchItem
		for _, g := range m.Groups[at:min(n, at+targetItems)] {
			items = append(items, wire.SearchItem{Group: g.ID, Replica: g.Replicas[0].ID})
		}
		partials = append(partials, outcomes("q", items, shards))
	}
	return micros(e, func() error {
		c := merge.NewCollector(merge.Config{QueryID: "q", Map: m, Order: []model.OrderKey{{Desc: true}}, Limit: rowLimit})
		for _, p := range partials {
			c.Add(p)
		}
		if _, coverage := c.Finish(); coverage.Covered != coverage.Total {
			return errs.Refuse(errs.Internal, "covered %d of %d", coverage.Covered, coverage.Total)
		}
		return nil
	})
}
