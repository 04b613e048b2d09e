package merge

import (
	"slices"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// MissingShard is a shard whose rows are not in the answer.
type MissingShard struct {
	Shard  model.ShardID `json:"shard"`
	Group  model.GroupID `json:"group"`
	Reason errs.Code     `json:"reason"`
}

// Coverage tells which part of the pinned shard map an answer covers.
type Coverage struct {
	Covered int            `json:"covered"`
	Total   int            `json:"total"`
	Missing []MissingShard `json:"missing"`
}

// Config fixes what one search is counted against.
type Config struct {
	// QueryID is the id that a partial must carry; a partial of another
	// query never enters the merge.
	QueryID string
	Map     *model.ShardMap
	Order   []model.OrderKey
	// Limit is the number of rows kept; 0 or less keeps all. Owners must cut
	// their partials to the same limit or a higher one.
	Limit int
}

// AddResult lists what Add did with the groups of one partial.
type AddResult struct {
	// Counted holds the groups that this partial answered for the first time.
	Counted []model.GroupID
	// Rejected holds groups that are not counted yet and whose rows in this
	// partial cannot be used. They may be asked again.
	Rejected []model.GroupID
}

// minCompact bounds how often a search with a small limit sorts its rows.
const minCompact = 256

type groupState struct {
	id      model.GroupID
	shards  []model.ShardID
	counted bool
	reason  errs.Code
	// declared and accepted hold the number of the partial that last answered
	// the group and of the one that counted. They replace a search through
	// the partial's groups for each row.
	declared uint64
	accepted uint64
	bad      bool
}

// Collector gathers the partials of one search. It is guarded by its caller.
type Collector struct {
	config    Config
	groups    map[model.GroupID]*groupState
	remaining int
	// partials counts the partials taken.
	partials uint64
	rows     []wire.Row
	// full is set when rows[:Limit] is sorted; later rows that rank behind
	// rows[Limit-1] are not kept.
	full     bool
	finished bool
}

// NewCollector returns a Collector in which every group is outstanding.
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

// Remaining returns the number of groups that have not been counted.
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

// Add takes the outcomes and rows of one partial. Outcomes with a failure
// record the reason as RecordMissing does. A partial that arrives after Finish or
// that belongs to another query contributes nothing.
//
// Dropping the rows of a group that is counted already is safe after the
// owner cut the partial: the rows that outrank a removed row are held here.
// That does not hold for the rows of a group that is rejected, or that were
// merged twice, so a partial with such a group that may have been cut is
// rejected as a whole.
func (c *Collector) Add(p *wire.SearchPartial) AddResult {
	if c.finished || p.QueryID != c.config.QueryID {
		return AddResult{}
	}
	c.partials++
	answered, sound := c.answered(p)
	if (!sound || !c.rowsDeclared(p)) && c.mayBeCut(p) {
		return rejectAll(answered)
	}
	added := c.accept(answered)
	if len(added.Counted) > 0 {
		c.keepRows(p.Rows)
	}
	return added
}

// answered returns the known groups that the partial claims to have answered,
// and whether each of them did so once and with the pinned shards.
func (c *Collector) answered(p *wire.SearchPartial) ([]*groupState, bool) {
	list := make([]*groupState, 0, len(p.Groups))
	sound := true
	for i := range p.Groups {
		o := &p.Groups[i]
		if o.Failure != nil {
			c.RecordMissing(o.Group, o.Failure.Code)
			continue
		}
		g := c.groups[o.Group]
		if g == nil {
			sound = false
			continue
		}
		repeated := g.declared == c.partials
		if !repeated {
			g.declared, g.bad = c.partials, false
			list = append(list, g)
		}
		if repeated || !sameShards(g.shards, o.Shards) {
			g.bad, sound = true, false
		}
	}
	return list, sound
}

// rowsDeclared reports whether every row belongs to a group that the partial
// says it answered.
func (c *Collector) rowsDeclared(p *wire.SearchPartial) bool {
	for i := range p.Rows {
		g := c.groups[p.Rows[i].Group]
		if g == nil || g.declared != c.partials {
			return false
		}
	}
	return true
}

func (c *Collector) mayBeCut(p *wire.SearchPartial) bool {
	return c.config.Limit > 0 && len(p.Rows) >= c.config.Limit
}

func rejectAll(answered []*groupState) AddResult {
	added := AddResult{}
	for _, g := range answered {
		if g.counted {
			continue
		}
		g.reason = errs.ResponseMismatch
		added.Rejected = append(added.Rejected, g.id)
	}
	return added
}

func (c *Collector) accept(answered []*groupState) AddResult {
	added := AddResult{}
	for _, g := range answered {
		switch {
		case g.counted:
		case g.bad:
			g.reason = errs.ResponseMismatch
			added.Rejected = append(added.Rejected, g.id)
		default:
			g.counted, g.accepted = true, c.partials
			c.remaining--
			added.Counted = append(added.Counted, g.id)
		}
	}
	return added
}

func (c *Collector) keepRows(rows []wire.Row) {
	limit := c.config.Limit
	for i := range rows {
		r := &rows[i]
		g := c.groups[r.Group]
		if g == nil || g.accepted != c.partials {
			continue
		}
		if c.full && CompareRows(r, &c.rows[limit-1], c.config.Order) >= 0 {
			continue
		}
		c.rows = append(c.rows, *r)
	}
	if limit > 0 && len(c.rows) >= max(2*limit, minCompact) {
		c.compact()
	}
}

func (c *Collector) compact() {
	c.rows = MergeRows(c.rows, c.config.Order, c.config.Limit)
	c.full = c.config.Limit > 0 && len(c.rows) == c.config.Limit
}

// Finish returns the ordered rows and the coverage. A group without a reason
// is reported as past the deadline. Nothing counts after Finish.
func (c *Collector) Finish() ([]wire.Row, Coverage) {
	c.finished = true
	c.compact()
	cov := Coverage{Missing: []MissingShard{}}
	for i := range c.config.Map.Groups {
		m := &c.config.Map.Groups[i]
		cov.Total += len(m.Shards)
		g := c.groups[m.ID]
		if g.counted {
			cov.Covered += len(m.Shards)
			continue
		}
		cov.Missing = appendMissing(cov.Missing, m, g.reason)
	}
	return c.rows, cov
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

// sameShards compares as sets: an upstream may list its shards in any order.
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
