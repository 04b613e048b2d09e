package merge

import (
	"fmt"
	"testing"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// BenchmarkCollect measures the merge of one whole search at the VM that received it.
// Each partial contains four groups, as at the target scale.
func BenchmarkCollect(b *testing.B) {
	const groupsPerPartial = 4
	order := []model.OrderKey{{Desc: true}}
	for _, groups := range []int{15, 100, 300, 770} {
		for _, rowsPerGroup := range []int{1, 20} {
			m := shardMap(groups)
			var partials []*wire.SearchPartial
			for i, g := range m.Groups {
				if i%groupsPerPartial == 0 {
					partials = append(partials, &wire.SearchPartial{QueryID: "q"})
				}
				p := partials[len(partials)-1]
				p.Groups = append(p.Groups, wire.GroupOutcome{Group: g.ID, Shards: g.Shards})
				for r := range rowsPerGroup {
					p.Rows = append(p.Rows, wire.Row{Group: g.ID, Key: []any{float64((i*7919 + r*104729) % 1000)}})
				}
				p.Rows = MergeRows(p.Rows, order, 50)
			}
			b.Run(fmt.Sprintf("groups=%d/rows=%d", groups, rowsPerGroup), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c := NewCollector(Config{QueryID: "q", Map: m, Order: order, Limit: 50})
					for _, p := range partials {
						c.Add(p)
					}
					c.Finish()
				}
			})
		}
	}
}
