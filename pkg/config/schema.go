package config

import (
	"fmt"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// fileDocument is the schema of the files: the JSON form of model.Document, and
// in addition defaults for services, declared shards and ranges of replicas.
type fileDocument struct {
	Site            string                            `json:"site"`
	Domains         map[model.DomainID]model.Domain   `json:"domains"`
	ServiceDefaults map[model.ServiceKind]fileService `json:"service_defaults"`
	Services        map[model.ServiceID]fileService   `json:"services"`
	Overrides       model.Overrides                   `json:"overrides"`
	Tier            model.Tier                        `json:"tier"`
}

type fileService struct {
	model.Service
	ShardMaps []fileShardMap `json:"shard_maps"`
}

type fileShardMap struct {
	model.ShardMap
	// Shards declares the shards that the groups must cover exactly once.
	Shards       []model.ShardID `json:"shards"`
	ReplicaRange replicaRange    `json:"replica_range"`
}

// replicaRange describes the groups of a shard map whose replicas listen on
// consecutive ports of one host.
type replicaRange struct {
	Groups         int              `json:"groups"`
	Replicas       int              `json:"replicas"`
	ShardsPerGroup int              `json:"shards_per_group"`
	Host           string           `json:"host"`
	FirstPort      int              `json:"first_port"`
	Domains        []model.DomainID `json:"domains"`
}

type numberRange struct{ min, max float64 }

func (r numberRange) String() string {
	return strconv.FormatFloat(r.min, 'f', -1, 64) + " to " + strconv.FormatFloat(r.max, 'f', -1, 64)
}

const (
	minuteMS = 60 * 1000
	dayMS    = 24 * 60 * minuteMS
	secondUS = 1000 * 1000
)

// allowedRanges holds the allowed range of a number by the name of the struct
// in structNames and the key.
var allowedRanges = map[string]numberRange{
	"service.limit":           {1, 100_000},
	"service.slots":           {1, 1024},
	"service.connections":     {4, 100_000},
	"service.deadline_ms":     {1, 10 * minuteMS},
	"service.max_deadline_ms": {1, 60 * minuteMS},
	"service.extra_load":      {0, 0.5},
	"service.target_quantile": {0.5, 0.9999},
	"service.canary_groups":   {0, 16},
	// The minimum is the smallest window of ramp.Window.
	"service.cold_window":    {0.1, 1024},
	"service.queue_limit":    {0, 100_000},
	"service.concurrency":    {0, 1_000_000},
	"shard_map.epoch":        {1, math.MaxInt64},
	"range.groups":           {1, 10_000},
	"range.replicas":         {1, 1000},
	"range.shards_per_group": {0, 1000},
	"range.first_port":       {1, 65_535},
	"tier.claim_partitions":  {1, 4096},
	// A repeated request must find its recorded outcome for at least a minute.
	"tier.claim_retention_ms": {minuteMS, 30 * dayMS},
	"tier.poison_limit":       {1, 100},
	"tier.poison_block_ms":    {1000, dayMS},
	"tier.same_domain_us":     {1, 10 * secondUS},
	"tier.same_region_us":     {1, 10 * secondUS},
	"tier.other_region_us":    {1, 10 * secondUS},
}

// parseRangeTag reads a struct tag such as range:"1,100".
func parseRangeTag(tag string) *numberRange {
	var l numberRange
	if _, err := fmt.Sscanf(tag, "%g,%g", &l.min, &l.max); err != nil {
		panic(fmt.Sprintf("config: range tag %q: %v", tag, err))
	}
	return &l
}

// structNames holds the names of struct types in the keys of allowedRanges.
var structNames = map[reflect.Type]string{
	reflect.TypeFor[fileService]():  "service",
	reflect.TypeFor[fileShardMap](): "shard_map",
	reflect.TypeFor[replicaRange](): "range",
	reflect.TypeFor[model.Tier]():   "tier",
}

// namePattern matches identifiers, which are used in section names, log lines and
// metric tags.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_-]{0,62}$`)

const nameRule = "1 to 63 letters, digits, - and _, starting with a letter or digit"

// schemaChecker compares a file with the schema that a struct type gives.
type schemaChecker struct {
	faults *Faults
	// hideValues is set for files that hold secrets. A fault then shows a value
	// only where it cannot be a secret that was written in the wrong place.
	hideValues bool
}

func (c *schemaChecker) fault(n *node, path, problem, allowed string) {
	f := Fault{Origin: n.origin, Path: path, Problem: problem, Value: n.excerpt(), Allowed: allowed}
	if c.hideValues && n.kind != '0' {
		f.Value = ""
	}
	c.faults.add(f)
}

// check reports every value in n that does not fit t. allowed is the range of a
// number, if it has one.
func (c *schemaChecker) check(n *node, t reflect.Type, path string, allowed *numberRange) {
	want := map[reflect.Kind]string{
		reflect.Struct: "object", reflect.Map: "object", reflect.Slice: "array",
		reflect.String: "string", reflect.Bool: "boolean",
	}[t.Kind()]
	if want == "" {
		want = "number"
	}
	if got := jsonTypeName(n.kind); got != want {
		c.fault(n, path, fmt.Sprintf("must be of type %s, is of type %s", want, got), rangeText(allowed))
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(n, t, path)
	case reflect.Map:
		c.checkMap(n, t, path)
	case reflect.Slice:
		for i, e := range n.elems {
			c.check(e, t.Elem(), fmt.Sprintf("%s[%d]", path, i), nil)
		}
	case reflect.String:
		c.checkString(n, t, path)
	case reflect.Bool:
	default:
		c.checkNumber(n, t, path, allowed)
	}
}

func rangeText(l *numberRange) string {
	if l == nil {
		return ""
	}
	return l.String()
}

func jsonTypeName(k hujson.Kind) string {
	return map[hujson.Kind]string{'{': "object", '[': "array", '"': "string", '0': "number", 't': "boolean", 'f': "boolean", 'n': "null"}[k]
}

func (c *schemaChecker) checkStruct(n *node, t reflect.Type, path string) {
	known := fieldsOf(t)
	structName := structNames[t]
	for _, key := range n.keys {
		child, keyPath := n.members[key], joinPath(path, key)
		ft, ok := known[key]
		if !ok {
			c.reportUnknownKey(child, key, keyPath, sortedKeys(known))
			continue
		}
		var allowed *numberRange
		if l, ok := allowedRanges[structName+"."+key]; ok && structName != "" {
			allowed = &l
		}
		if tag, ok := ft.Tag.Lookup("range"); ok {
			allowed = parseRangeTag(tag)
		}
		c.check(child, ft.Type, keyPath, allowed)
	}
}

func (c *schemaChecker) reportUnknownKey(n *node, key, path string, known []string) {
	problem := "unknown key"
	if s := Suggest(key, known); s != "" {
		problem += fmt.Sprintf(", did you mean %q?", s)
	}
	f := Fault{Origin: n.keyOrigin, Path: path, Problem: problem, Value: n.excerpt(), Allowed: strings.Join(known, ", ")}
	if c.hideValues {
		f.Value = ""
	}
	c.faults.add(f)
}

func (c *schemaChecker) checkMap(n *node, t reflect.Type, path string) {
	keysAreServiceKinds := t.Key() == reflect.TypeFor[model.ServiceKind]()
	for _, key := range n.keys {
		child, keyPath := n.members[key], joinPath(path, key)
		switch {
		case keysAreServiceKinds && key != string(model.Search) && key != string(model.Lookup):
			c.reportUnknownKey(child, key, keyPath, []string{string(model.Lookup), string(model.Search)})
			continue
		case !namePattern.MatchString(key):
			c.faults.add(Fault{Origin: child.keyOrigin, Path: keyPath, Problem: "invalid name", Value: fmt.Sprintf("%q", key), Allowed: nameRule})
		}
		c.check(child, t.Elem(), keyPath, nil)
	}
}

func (c *schemaChecker) checkString(n *node, t reflect.Type, path string) {
	s := n.text()
	if t == reflect.TypeFor[model.ServiceKind]() {
		if s != string(model.Search) && s != string(model.Lookup) {
			c.fault(n, path, "unknown kind of service", "search, lookup")
		}
		return
	}
	// Identifiers have types of their own. Other strings are checked where they
	// are used.
	if t != reflect.TypeFor[string]() && !namePattern.MatchString(s) {
		c.fault(n, path, "invalid name", nameRule)
	}
}

func (c *schemaChecker) checkNumber(n *node, t reflect.Type, path string, allowed *numberRange) {
	v := n.number()
	integer := t.Kind() != reflect.Float64
	switch {
	case integer && strings.ContainsAny(n.literal, ".eE"):
		c.fault(n, path, "must be a whole number", rangeText(allowed))
	case allowed != nil && (v < allowed.min || v > allowed.max):
		c.fault(n, path, "out of range", rangeText(allowed))
	}
}

// fieldsOf returns the fields of a struct and of its embedded structs by their
// JSON name.
func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for _, f := range reflect.VisibleFields(t) {
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous || tag == "" || tag == "-" {
			continue
		}
		fields[tag] = f
	}
	return fields
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
