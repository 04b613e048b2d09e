package merge

import (
	"cmp"
	"fmt"
	"math"
	"math/big"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

var values = []any{nil, true, false, "", "a", "b", int8(-1), int64(0), uint64(1), 1.0, 0.5, -0.5,
	int64(1 << 53), int64(1<<53 + 1), float64(1 << 53), uint64(math.MaxUint64), int64(math.MinInt64),
	math.Inf(1), math.Inf(-1), math.NaN(), 1e30, -1e30, []any{"x"}}

// oracleRank returns the class, the exact number and the text of a value. It is
// implemented independently of CompareValues.
func oracleRank(v any) (int, *big.Float, string) {
	number := func(f *big.Float) (int, *big.Float, string) { return 0, f, "" }
	switch x := v.(type) {
	case int8:
		return number(big.NewFloat(float64(x)))
	case int64:
		return number(new(big.Float).SetInt64(x))
	case uint64:
		return number(new(big.Float).SetUint64(x))
	case float64:
		if math.IsNaN(x) {
			return 1, nil, ""
		}
		return number(big.NewFloat(x))
	case string:
		return 2, nil, x
	case bool:
		return 3, nil, fmt.Sprint(x)
	case nil:
		return 5, nil, ""
	}
	return 4, nil, fmt.Sprint(v)
}

// oracleCompare is the reference for CompareRows.
func oracleCompare(a, b wire.Row, order []model.OrderKey) int {
	for i, k := range order {
		ra, fa, ta := oracleRank(a.Key[i])
		rb, fb, tb := oracleRank(b.Key[i])
		c := cmp.Compare(ra, rb)
		if c == 0 && fa != nil {
			c = fa.Cmp(fb)
		}
		if c == 0 {
			c = cmp.Compare(ta, tb)
		}
		if k.Desc && ra != 5 && rb != 5 {
			c = -c
		}
		if c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(string(a.Data), string(b.Data)))
}

func shardMap(groups int) *model.ShardMap {
	m := &model.ShardMap{Epoch: 1}
	for i := range groups {
		id := fmt.Sprintf("g%03d", i)
		m.Groups = append(m.Groups, model.Group{ID: model.GroupID(id), Shards: []model.ShardID{model.ShardID(id + "a"), model.ShardID(id + "b")}})
	}
	return m
}

// TestModelDuplicatesNeverChangeResult guards against a row that is lost or returned
// twice because a hedged request delivers a group a second time in a partial that was
// truncated together with other groups, and against losing rows of valid groups because
// the partial also contains a group twice or with other shards.
func TestModelDuplicatesNeverChangeResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := shardMap(rapid.IntRange(1, 6).Draw(t, "groups"))
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		order := []model.OrderKey{{Desc: rapid.Bool().Draw(t, "desc")}, {}}
		rowsOf := map[model.GroupID][]wire.Row{}
		for _, g := range m.Groups {
			for i := range rapid.IntRange(0, 5).Draw(t, "rows") {
				key := []any{rapid.SampledFrom(values).Draw(t, "k0"), rapid.SampledFrom(values).Draw(t, "k1")}
				rowsOf[g.ID] = append(rowsOf[g.ID], wire.Row{Group: g.ID, Key: key, Data: []byte{byte(i)}})
			}
		}
		c := NewCollector(Config{QueryID: "q", Map: m, Order: order, Limit: limit})
		counted := map[model.GroupID]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "partials") {
			p := &wire.SearchPartial{QueryID: "q"}
			var rows []wire.Row
			invalid := map[model.GroupID]bool{}
			for _, g := range rapid.SliceOfN(rapid.SampledFrom(m.Groups), 1, 4).Draw(t, "batch") {
				o := wire.GroupOutcome{Group: g.ID, Shards: []model.ShardID{g.Shards[1], g.Shards[0]}}
				invalid[g.ID] = invalid[g.ID] || slices.ContainsFunc(p.Groups, func(x wire.GroupOutcome) bool { return x.Group == g.ID })
				if rapid.IntRange(0, 9).Draw(t, "mismatch") == 0 {
					o.Shards, invalid[g.ID] = g.Shards[:1], true
				}
				p.Groups = append(p.Groups, o)
				rows = append(rows, rowsOf[g.ID]...)
			}
			p.Rows = MergeRows(rows, order, limit)
			if rapid.IntRange(0, 9).Draw(t, "crossed") == 0 {
				p.QueryID = "other"
			}
			for _, id := range c.Add(p).Counted {
				if counted[id] || invalid[id] || p.QueryID != "q" {
					t.Fatalf("group %s was counted twice, from an invalid outcome or from another query", id)
				}
				counted[id] = true
			}
		}
		var want []wire.Row
		for id := range counted {
			want = append(want, rowsOf[id]...)
		}
		slices.SortFunc(want, func(a, b wire.Row) int { return oracleCompare(a, b, order) })
		if limit > 0 && len(want) > limit {
			want = want[:limit]
		}
		got, coverage := c.Finish()
		if len(got) != len(want) || coverage.Covered != 2*len(counted) || len(coverage.Missing) != coverage.Total-coverage.Covered {
			t.Fatalf("got %d rows of %d, coverage %+v, counted %v", len(got), len(want), coverage, counted)
		}
		for i := range got {
			if got[i].Group != want[i].Group || string(got[i].Data) != string(want[i].Data) {
				t.Fatalf("row %d: got %v, want %v", i, got[i], want[i])
			}
		}
	})
}

// TestCoverageReasons guards against reporting a missing group without its reason and
// against changing the coverage when a partial arrives after Finish.
func TestCoverageReasons(t *testing.T) {
	c := NewCollector(Config{QueryID: "q", Map: shardMap(4)})
	c.RecordMissing("g000", errs.NoReplica)
	failed := wire.GroupOutcome{Group: "g001", Failure: &wire.Failure{Code: errs.UpstreamShed}}
	invalid := wire.GroupOutcome{Group: "g002", Shards: []model.ShardID{"g002a"}}
	right := wire.GroupOutcome{Group: "g000", Shards: []model.ShardID{"g000a", "g000b"}}
	added := c.Add(&wire.SearchPartial{QueryID: "q", Groups: []wire.GroupOutcome{failed, invalid}})
	assert.DeepEqual(t, added.Rejected, []model.GroupID{"g002"})
	_, coverage := c.Finish()
	assert.Equal(t, len(c.Add(&wire.SearchPartial{QueryID: "q", Groups: []wire.GroupOutcome{right}}).Counted), 0)
	assert.Equal(t, coverage.Covered, 0)
	want := []errs.Code{errs.NoReplica, errs.UpstreamShed, errs.ResponseMismatch, errs.DeadlineExceeded}
	for i, m := range coverage.Missing {
		assert.Equal(t, m.Reason, want[i/2])
	}
}
