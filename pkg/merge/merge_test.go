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

// oracleRank maps a value to (class, exact number, text) by other means than
// CompareValues does.
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

// TestModelDuplicatesNeverChangeTheAnswer guards against a hedge's rows, cut
// in a partial merge with other groups, removing or repeating a row, and
// against a mismatched or doubled group taking rows of sound groups with it.
func TestModelDuplicatesNeverChangeTheAnswer(t *testing.T) {
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
			wrong := map[model.GroupID]bool{}
			for _, g := range rapid.SliceOfN(rapid.SampledFrom(m.Groups), 1, 4).Draw(t, "batch") {
				o := wire.GroupOutcome{Group: g.ID, Shards: []model.ShardID{g.Shards[1], g.Shards[0]}}
				wrong[g.ID] = wrong[g.ID] || slices.ContainsFunc(p.Groups, func(x wire.GroupOutcome) bool { return x.Group == g.ID })
				if rapid.IntRange(0, 9).Draw(t, "mismatch") == 0 {
					o.Shards, wrong[g.ID] = g.Shards[:1], true
				}
				p.Groups = append(p.Groups, o)
				rows = append(rows, rowsOf[g.ID]...)
			}
			p.Rows = MergeRows(rows, order, limit)
			if rapid.IntRange(0, 9).Draw(t, "crossed") == 0 {
				p.QueryID = "other"
			}
			for _, id := range c.Add(p).Counted {
				if counted[id] || wrong[id] || p.QueryID != "q" {
					t.Fatalf("group %s counted wrongly", id)
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
		got, cov := c.Finish()
		if len(got) != len(want) || cov.Covered != 2*len(counted) || len(cov.Missing) != cov.Total-cov.Covered {
			t.Fatalf("got %d rows of %d, coverage %+v, counted %v", len(got), len(want), cov, counted)
		}
		for i := range got {
			if got[i].Group != want[i].Group || string(got[i].Data) != string(want[i].Data) {
				t.Fatalf("row %d: got %v, want %v", i, got[i], want[i])
			}
		}
	})
}

// TestCoverageReasons guards against a missing group without a reason and
// against a late answer changing what was reported.
func TestCoverageReasons(t *testing.T) {
	c := NewCollector(Config{QueryID: "q", Map: shardMap(4)})
	c.RecordMissing("g000", errs.NoReplica)
	failed := wire.GroupOutcome{Group: "g001", Failure: &wire.Failure{Code: errs.UpstreamShed}}
	wrong := wire.GroupOutcome{Group: "g002", Shards: []model.ShardID{"g002a"}}
	right := wire.GroupOutcome{Group: "g000", Shards: []model.ShardID{"g000a", "g000b"}}
	added := c.Add(&wire.SearchPartial{QueryID: "q", Groups: []wire.GroupOutcome{failed, wrong}})
	assert.DeepEqual(t, added.Rejected, []model.GroupID{"g002"})
	_, cov := c.Finish()
	assert.Equal(t, len(c.Add(&wire.SearchPartial{QueryID: "q", Groups: []wire.GroupOutcome{right}}).Counted), 0)
	assert.Equal(t, cov.Covered, 0)
	want := []errs.Code{errs.NoReplica, errs.UpstreamShed, errs.ResponseMismatch, errs.DeadlineExceeded}
	for i, m := range cov.Missing {
		assert.Equal(t, m.Reason, want[i/2])
	}
}
