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

// fileDocument is the form of the files. It is the JSON form of
// model.Document with defaults for services, declared shards and ranges of
// replicas.
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

// replicaRange stands for the groups of a shard map whose replicas listen on
// consecutive ports of one host.
type replicaRange struct {
	Groups         int              `json:"groups"`
	Replicas       int              `json:"replicas"`
	ShardsPerGroup int              `json:"shards_per_group"`
	Host           string           `json:"host"`
	FirstPort      int              `json:"first_port"`
	Domains        []model.DomainID `json:"domains"`
}

type limits struct{ low, high float64 }

func (l limits) String() string {
	return strconv.FormatFloat(l.low, 'f', -1, 64) + " to " + strconv.FormatFloat(l.high, 'f', -1, 64)
}

const (
	minuteMS = 60 * 1000
	dayMS    = 24 * 60 * minuteMS
	secondUS = 1000 * 1000
)

// ranges holds the allowed range of each number by the last two keys of its path.
var ranges = map[string]limits{
	"service.limit":           {1, 100_000},
	"service.slots":           {1, 1024},
	"service.connections":     {4, 100_000},
	"service.deadline_ms":     {1, 10 * minuteMS},
	"service.max_deadline_ms": {1, 60 * minuteMS},
	"service.extra_load":      {0, 0.5},
	"service.target_quantile": {0.5, 0.9999},
	"service.canary_groups":   {0, 16},
	// The lower end is the smallest window of ramp.Window.
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

// parseLimits reads a struct tag such as range:"1,100".
func parseLimits(tag string) *limits {
	var l limits
	if _, err := fmt.Sscanf(tag, "%g,%g", &l.low, &l.high); err != nil {
		panic(fmt.Sprintf("config: range tag %q: %v", tag, err))
	}
	return &l
}

// rangeScope names the struct types in the keys of ranges.
var rangeScope = map[reflect.Type]string{
	reflect.TypeFor[fileService]():  "service",
	reflect.TypeFor[fileShardMap](): "shard_map",
	reflect.TypeFor[replicaRange](): "range",
	reflect.TypeFor[model.Tier]():   "tier",
}

// names matches names used in section names, log lines and metric tags.
var names = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_-]{0,62}$`)

const namesAllowed = "1 to 63 letters, digits, - and _, starting with a letter or digit"

// checker compares a tree with the form of the files.
type checker struct {
	faults *Faults
	// secrets is set for files that hold secrets. Values are then shown only
	// where a secret cannot stand by mistake.
	secrets bool
}

func (c *checker) fault(n *node, path, problem, allowed string) {
	f := Fault{Origin: n.origin, Path: path, Problem: problem, Value: n.show(), Allowed: allowed}
	if c.secrets && n.kind != '0' {
		f.Value = ""
	}
	c.faults.add(f)
}

// check reports every value under n that does not fit t. allowed is the
// range of a number, if it has one.
func (c *checker) check(n *node, t reflect.Type, path string, allowed *limits) {
	want := map[reflect.Kind]string{
		reflect.Struct: "object", reflect.Map: "object", reflect.Slice: "array",
		reflect.String: "string", reflect.Bool: "boolean",
	}[t.Kind()]
	if want == "" {
		want = "number"
	}
	if got := kindName(n.kind); got != want {
		c.fault(n, path, fmt.Sprintf("must be of kind %s, is of kind %s", want, got), rangeText(allowed))
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

func rangeText(l *limits) string {
	if l == nil {
		return ""
	}
	return l.String()
}

func kindName(k hujson.Kind) string {
	return map[hujson.Kind]string{'{': "object", '[': "array", '"': "string", '0': "number", 't': "boolean", 'f': "boolean", 'n': "null"}[k]
}

func (c *checker) checkStruct(n *node, t reflect.Type, path string) {
	known := fieldsOf(t)
	scope := rangeScope[t]
	for _, key := range n.keys {
		child, at := n.members[key], join(path, key)
		ft, ok := known[key]
		if !ok {
			c.unknown(child, key, at, sortedKeys(known))
			continue
		}
		var allowed *limits
		if l, ok := ranges[scope+"."+key]; ok && scope != "" {
			allowed = &l
		}
		if tag, ok := ft.Tag.Lookup("range"); ok {
			allowed = parseLimits(tag)
		}
		c.check(child, ft.Type, at, allowed)
	}
}

func (c *checker) unknown(n *node, key, path string, known []string) {
	problem := "unknown key"
	if s := Suggest(key, known); s != "" {
		problem += fmt.Sprintf(", did you mean %q?", s)
	}
	f := Fault{Origin: n.keyOrigin, Path: path, Problem: problem, Value: n.show(), Allowed: strings.Join(known, ", ")}
	if c.secrets {
		f.Value = ""
	}
	c.faults.add(f)
}

func (c *checker) checkMap(n *node, t reflect.Type, path string) {
	kinds := t.Key() == reflect.TypeFor[model.ServiceKind]()
	for _, key := range n.keys {
		child, at := n.members[key], join(path, key)
		switch {
		case kinds && key != string(model.Search) && key != string(model.Lookup):
			c.unknown(child, key, at, []string{string(model.Lookup), string(model.Search)})
			continue
		case !names.MatchString(key):
			c.faults.add(Fault{Origin: child.keyOrigin, Path: at, Problem: "bad name", Value: fmt.Sprintf("%q", key), Allowed: namesAllowed})
		}
		c.check(child, t.Elem(), at, nil)
	}
}

func (c *checker) checkString(n *node, t reflect.Type, path string) {
	s := n.text()
	if t == reflect.TypeFor[model.ServiceKind]() {
		if s != string(model.Search) && s != string(model.Lookup) {
			c.fault(n, path, "unknown kind of service", "search, lookup")
		}
		return
	}
	// Identifiers have their own types; plain strings are checked where they are used.
	if t != reflect.TypeFor[string]() && !names.MatchString(s) {
		c.fault(n, path, "bad name", namesAllowed)
	}
}

func (c *checker) checkNumber(n *node, t reflect.Type, path string, allowed *limits) {
	v := n.number()
	whole := t.Kind() != reflect.Float64
	switch {
	case whole && strings.ContainsAny(n.literal, ".eE"):
		c.fault(n, path, "must be a whole number", rangeText(allowed))
	case allowed != nil && (v < allowed.low || v > allowed.high):
		c.fault(n, path, "out of range", rangeText(allowed))
	}
}

// fieldsOf returns the JSON fields of a struct, with those of embedded structs.
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
