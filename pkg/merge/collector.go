package merge

import (
	"slices"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// MissingShard is a shard whose rows are not in the result of a search.
type MissingShard struct {
	Shard  model.ShardID `json:"shard"`
	Group  model.GroupID `json:"group"`
	Reason errs.Code     `json:"reason"`
}

// Coverage states how many shards of the pinned shard map a result covers, and which
// are missing.
type Coverage struct {
	Covered int            `json:"covered"`
	Total   int            `json:"total"`
	Missing []MissingShard `json:"missing"`
}

// Config holds the parameters of one search, which do not change while it runs.
type Config struct {
	// QueryID is the id that a partial must carry; a partial of another query is
	// ignored.
	QueryID string
	// Map is the version of the shard map that is pinned for the search.
	Map   *model.ShardMap
	Order []model.OrderKey
	// Limit is the maximum number of rows in the result; 0 or less keeps all rows.
	// Owners must truncate their partials to the same limit or a higher one.
	Limit int
}

// AddResult lists what Add did with the groups of one partial.
type AddResult struct {
	// Counted holds the groups that were answered for the first time.
	Counted []model.GroupID
	// Rejected holds the groups that are not counted yet and whose rows in this
	// partial cannot be used. They may be queried again.
	Rejected []model.GroupID
}

// minCompactRows is the number of buffered rows below which they are not sorted and
// truncated, so that a search with a small limit does not sort too often.
const minCompactRows = 256

type groupState struct {
	id      model.GroupID
	shards  []model.ShardID
	counted bool
	reason  errs.Code
	// declaredInPartial is the number of the last partial that claimed to answer the
	// group, countedInPartial that of the partial for which the group was counted. With
	// them the group of a row is checked without searching the groups of the partial.
	declaredInPartial uint64
	countedInPartial  uint64
	// invalid is set if the partial declaredInPartial lists the group twice or with
	// other shards than those of the shard map.
	invalid bool
}

// Collector merges the partials of one search and counts its coverage. It is not safe
// for concurrent use.
type Collector struct {
	config    Config
	groups    map[model.GroupID]*groupState
	remaining int
	// partialCount is the number of partials added, and the number of the current one.
	partialCount uint64
	rows         []wire.Row
	// limitReached is set when rows[:Limit] is complete and sorted. From then on, rows
	// that rank after rows[Limit-1] are not buffered.
	limitReached bool
	finished     bool
}

// NewCollector returns a Collector that has not counted any group yet.
func NewCollector(c Config) *Collector {
	groups := make(map[model.GroupID]*groupState, len(c.Map.Groups))
	states := make([]groupState, len(c.Map.Groups))
	for i := range c.Map.Groups {
		g := &c.Map.Groups[i]
		states[i] = groupState{id: g.ID, shards: g.Shards}
		groups[g.ID] = &states[i]
	}
	return &Collector{config: c, groups: groups, remaining: len(groups)}
}

// Remaining returns the number of groups that have not been counted yet.
func (c *Collector) Remaining() int { return c.remaining }

// Counted reports whether the group has been counted.
func (c *Collector) Counted(id model.GroupID) bool {
	g := c.groups[id]
	return g != nil && g.counted
}

// RecordMissing records why a group has no answer. An answer of the group that
// arrives later, but before Finish, still counts. If several reasons are recorded,
// the last one is reported.
func (c *Collector) RecordMissing(id model.GroupID, reason errs.Code) {
	g := c.groups[id]
	if g == nil || g.counted || c.finished {
		return
	}
	g.reason = reason
}

// Add adds the group outcomes and the rows of one partial. For an outcome with a
// failure it records the reason as RecordMissing does. It ignores a partial that
// arrives after Finish or that belongs to another query.
//
// The rows of a group that is counted already are dropped, even from a partial that
// its owner has truncated: each row that ranks before a truncated row is either
// taken from this partial or buffered from an earlier one. This does not hold if the
// partial contains a rejected group, or the rows of a group twice. Such a partial is
// rejected as a whole if it may have been truncated.
func (c *Collector) Add(p *wire.SearchPartial) AddResult {
	if c.finished || p.QueryID != c.config.QueryID {
		return AddResult{}
	}
	c.partialCount++
	groups, consistent := c.answeredGroups(p)
	if (!consistent || !c.rowsMatchGroups(p)) && c.mayBeTruncated(p) {
		return rejectAll(groups)
	}
	result := c.countGroups(groups)
	if len(result.Counted) > 0 {
		c.addRows(p.Rows)
	}
	return result
}

// answeredGroups returns the groups of the shard map that the partial claims to
// answer. It also reports whether the partial is consistent: each group that it claims
// to answer is in the shard map, is listed once, and has the shards of the shard map.
func (c *Collector) answeredGroups(p *wire.SearchPartial) ([]*groupState, bool) {
	groups := make([]*groupState, 0, len(p.Groups))
	consistent := true
	for i := range p.Groups {
		o := &p.Groups[i]
		if o.Failure != nil {
			c.RecordMissing(o.Group, o.Failure.Code)
			continue
		}
		g := c.groups[o.Group]
		if g == nil {
			consistent = false
			continue
		}
		repeated := g.declaredInPartial == c.partialCount
		if !repeated {
			g.declaredInPartial, g.invalid = c.partialCount, false
			groups = append(groups, g)
		}
		if repeated || !sameShards(g.shards, o.Shards) {
			g.invalid, consistent = true, false
		}
	}
	return groups, consistent
}

// rowsMatchGroups reports whether every row belongs to a group that the partial claims
// to answer.
func (c *Collector) rowsMatchGroups(p *wire.SearchPartial) bool {
	for i := range p.Rows {
		g := c.groups[p.Rows[i].Group]
		if g == nil || g.declaredInPartial != c.partialCount {
			return false
		}
	}
	return true
}

// mayBeTruncated reports whether the partial has so many rows that its owner may have
// removed some to meet the limit.
func (c *Collector) mayBeTruncated(p *wire.SearchPartial) bool {
	return c.config.Limit > 0 && len(p.Rows) >= c.config.Limit
}

// rejectAll rejects all groups that are not counted yet.
func rejectAll(groups []*groupState) AddResult {
	result := AddResult{}
	for _, g := range groups {
		if g.counted {
			continue
		}
		g.reason = errs.ResponseMismatch
		result.Rejected = append(result.Rejected, g.id)
	}
	return result
}

// countGroups counts the valid groups that are not counted yet and rejects the invalid
// ones.
func (c *Collector) countGroups(groups []*groupState) AddResult {
	result := AddResult{}
	for _, g := range groups {
		switch {
		case g.counted:
		case g.invalid:
			g.reason = errs.ResponseMismatch
			result.Rejected = append(result.Rejected, g.id)
		default:
			g.counted, g.countedInPartial = true, c.partialCount
			c.remaining--
			result.Counted = append(result.Counted, g.id)
		}
	}
	return result
}

// addRows buffers the rows of the groups that the current partial was the first to
// answer.
func (c *Collector) addRows(rows []wire.Row) {
	limit := c.config.Limit
	for i := range rows {
		r := &rows[i]
		g := c.groups[r.Group]
		if g == nil || g.countedInPartial != c.partialCount {
			continue
		}
		if c.limitReached && CompareRows(r, &c.rows[limit-1], c.config.Order) >= 0 {
			continue
		}
		c.rows = append(c.rows, *r)
	}
	if limit > 0 && len(c.rows) >= max(2*limit, minCompactRows) {
		c.compact()
	}
}

// compact sorts the buffered rows and removes those beyond the limit.
func (c *Collector) compact() {
	c.rows = MergeRows(c.rows, c.config.Order, c.config.Limit)
	c.limitReached = c.config.Limit > 0 && len(c.rows) == c.config.Limit
}

// Finish returns the ordered rows and the coverage. A missing group for which no
// reason was recorded is reported as errs.DeadlineExceeded. Partials and reasons that
// arrive after Finish are ignored.
func (c *Collector) Finish() ([]wire.Row, Coverage) {
	c.finished = true
	c.compact()
	coverage := Coverage{Missing: []MissingShard{}}
	for i := range c.config.Map.Groups {
		m := &c.config.Map.Groups[i]
		coverage.Total += len(m.Shards)
		g := c.groups[m.ID]
		if g.counted {
			coverage.Covered += len(m.Shards)
			continue
		}
		coverage.Missing = appendMissing(coverage.Missing, m, g.reason)
	}
	return c.rows, coverage
}

func appendMissing(list []MissingShard, g *model.Group, reason errs.Code) []MissingShard {
	if reason == "" {
		reason = errs.DeadlineExceeded
	}
	for _, s := range g.Shards {
		list = append(list, MissingShard{Shard: s, Group: g.ID, Reason: reason})
	}
	return list
}

// sameShards compares two lists of shards in any order, because an upstream may list
// its shards in any order.
func sameShards(want, got []model.ShardID) bool {
	if len(want) != len(got) {
		return false
	}
	if slices.Equal(want, got) {
		return true
	}
	a, b := slices.Clone(want), slices.Clone(got)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
