package fake

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// changedShare is the inverse of the share of records whose status differs
// between two index versions.
const changedShare = 4

// Record is one record of a data set. Values of Fields are strings or float64.
type Record struct {
	ID, Date, Text string
	Fields         map[string]any
}

// Dataset is a generated, searchable set of records. The same generator and
// seed give the same data, so all replicas of a group can share one Dataset.
type Dataset struct {
	records  []Record
	byID     map[string]int
	statuses []string

	mu      sync.Mutex
	indexes map[string]map[model.ShardID][]indexed
}

// indexed is a record as one index version holds it.
type indexed struct {
	fields map[string]any
	text   string
	data   json.RawMessage
}

// Query selects records. Empty parts select everything.
type Query struct {
	// Equals names fields and the values they must have.
	Equals map[string]any `json:"equals,omitempty"`
	// Text must occur in the record's text, ignoring case.
	Text string `json:"text,omitempty"`
	// From and To bound the date (YYYY-MM-DD), both included.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Result is one row of a search.
type Result struct {
	Key  []any           `json:"key"`
	Data json.RawMessage `json:"data"`
}

// IndexVersion is one index version that an upstream holds.
type IndexVersion struct {
	Version, Epoch uint64
	// Map lists all shards of the epoch's shard map. A record belongs to the
	// shard at the position hash(id) modulo the length.
	Map []model.ShardID
	// Held lists the shards that the upstream holds.
	Held []model.ShardID
}

// newDataset indexes generated records by id.
func newDataset(records []Record, statuses []string) *Dataset {
	d := &Dataset{
		records:  records,
		byID:     map[string]int{},
		statuses: statuses,
		indexes:  map[string]map[model.ShardID][]indexed{},
	}
	for i, r := range records {
		d.byID[r.ID] = i
	}
	return d
}

// Len returns the number of records.
func (d *Dataset) Len() int { return len(d.records) }

// ID returns the id of the i-th record.
func (d *Dataset) ID(i int) string { return d.records[i].ID }

// ParseQuery reads the JSON form of a query.
func ParseQuery(payload []byte) (Query, error) {
	var q Query
	decoder := json.NewDecoder(bytes.NewReader(payload))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		return Query{}, errs.Refuse(errs.InvalidRequest, "query: %v", err)
	}
	return q, nil
}

// Record returns the JSON form of one record, without an index version.
func (d *Dataset) Record(id string) (json.RawMessage, bool) {
	i, ok := d.byID[id]
	if !ok {
		return nil, false
	}
	return d.index(i, 0).data, true
}

// index returns a record as an index version holds it. Some records change
// their status with the version and all name it, so that rows of different
// versions can be told apart.
func (d *Dataset) index(i int, version uint64) indexed {
	r := d.records[i]
	fields := map[string]any{"id": r.ID, "date": r.Date, "text": r.Text, "version": float64(version)}
	for name, value := range r.Fields {
		fields[name] = value
	}
	if h := xxhash.Sum64String(r.ID + "@" + strconv.FormatUint(version, 10)); h%changedShare == 0 {
		fields["status"] = d.statuses[h/changedShare%uint64(len(d.statuses))]
	}
	data, err := json.Marshal(fields)
	if err != nil {
		panic(err) // fields hold only strings and numbers
	}
	return indexed{fields: fields, text: strings.ToLower(r.Text), data: data}
}

// shards returns the records of an index version by shard. The result is
// built once for each version and shard map.
func (d *Dataset) shards(v IndexVersion) map[model.ShardID][]indexed {
	key := strconv.FormatUint(v.Version, 10)
	for _, s := range v.Map {
		key += "," + string(s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if built, ok := d.indexes[key]; ok {
		return built
	}
	built := map[model.ShardID][]indexed{}
	for i, r := range d.records {
		shard := v.Map[xxhash.Sum64String(r.ID)%uint64(len(v.Map))]
		built[shard] = append(built[shard], d.index(i, v.Version))
	}
	d.indexes[key] = built
	return built
}

// Search returns the first rows in order of the records in the given shards
// that match q. A limit of 0 returns all. Ties are broken by record id.
func (d *Dataset) Search(v IndexVersion, shards []model.ShardID, q Query, order []model.OrderKey, limit int) []Result {
	var found []indexed
	held := d.shards(v)
	for _, s := range shards {
		for _, r := range held[s] {
			if q.matches(r) {
				found = append(found, r)
			}
		}
	}
	slices.SortFunc(found, func(a, b indexed) int { return compareRecords(a, b, order) })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	results := make([]Result, 0, len(found))
	for _, r := range found {
		key := make([]any, 0, len(order))
		for _, o := range order {
			key = append(key, r.fields[o.Field])
		}
		results = append(results, Result{Key: key, Data: r.data})
	}
	return results
}

// matches reports whether a record is selected.
func (q Query) matches(r indexed) bool {
	for name, value := range q.Equals {
		if r.fields[name] != value {
			return false
		}
	}
	date, _ := r.fields["date"].(string)
	if q.From != "" && date < q.From {
		return false
	}
	if q.To != "" && date > q.To {
		return false
	}
	return strings.Contains(r.text, strings.ToLower(q.Text))
}

// compareRecords orders two records by the order keys, then by id.
func compareRecords(a, b indexed, order []model.OrderKey) int {
	for _, o := range order {
		c := compareValues(a.fields[o.Field], b.fields[o.Field])
		if o.Desc {
			c = -c
		}
		if c != 0 {
			return c
		}
	}
	return compareValues(a.fields["id"], b.fields["id"])
}

// compareValues orders missing values before numbers before strings.
func compareValues(a, b any) int {
	switch x := a.(type) {
	case float64:
		if y, ok := b.(float64); ok {
			return cmp.Compare(x, y)
		}
	case string:
		if y, ok := b.(string); ok {
			return cmp.Compare(x, y)
		}
	}
	return cmp.Compare(typeRank(a), typeRank(b))
}

// typeRank orders the types of values.
func typeRank(v any) int {
	switch v.(type) {
	case float64:
		return 1
	case string:
		return 2
	default:
		return 0
	}
}
