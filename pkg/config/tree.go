package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// node is a JSON value with its origin.
type node struct {
	kind    hujson.Kind
	literal string           // of a string, number or boolean, as JSON
	keys    []string         // of an object, in the order of the files
	members map[string]*node // of an object
	elems   []*node          // of an array
	origin  Origin
	// keyOrigin is the origin of the key, when the node is a member of an object.
	keyOrigin Origin
	// overlay is the number of the overlay that sets the value, 0 for the base.
	overlay int
}

func newObject(o Origin) *node {
	return &node{kind: '{', members: map[string]*node{}, origin: o, keyOrigin: o}
}

func newLiteral(v any, o Origin) *node {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: literal %v: %v", v, err))
	}
	return &node{kind: hujson.Literal(raw).Kind(), literal: string(raw), origin: o, keyOrigin: o}
}

func (n *node) set(key string, child *node) {
	if _, ok := n.members[key]; !ok {
		n.keys = append(n.keys, key)
	}
	n.members[key] = child
}

func (n *node) remove(key string) {
	delete(n.members, key)
	n.keys = slices.DeleteFunc(n.keys, func(k string) bool { return k == key })
}

// get returns the value under nested keys, or nil.
func (n *node) get(keys ...string) *node {
	for _, k := range keys {
		if n == nil {
			return nil
		}
		n = n.members[k]
	}
	return n
}

// membersOrNil returns the members of n, or nil when n is nil.
func (n *node) membersOrNil() map[string]*node {
	if n == nil {
		return nil
	}
	return n.members
}

// atPath returns the value at a key path such as a.b[2].c, or nil.
func (n *node) atPath(path string) *node {
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' }) {
		if n == nil {
			return nil
		}
		if index, ok := strings.CutSuffix(step, "]"); ok {
			i, err := strconv.Atoi(index)
			if err != nil || i >= len(n.elems) {
				return nil
			}
			n = n.elems[i]
			continue
		}
		n = n.members[step]
	}
	return n
}

// text returns the value of a string literal, or the raw literal.
func (n *node) text() string { return hujson.Literal(n.literal).String() }

func (n *node) number() float64 { return hujson.Literal(n.literal).Float() }

// writeJSON appends the value as standard JSON.
func (n *node) writeJSON(b *bytes.Buffer) {
	switch n.kind {
	case '{':
		b.WriteByte('{')
		for i, k := range n.keys {
			if i > 0 {
				b.WriteByte(',')
			}
			b.Write(hujson.String(k))
			b.WriteByte(':')
			n.members[k].writeJSON(b)
		}
		b.WriteByte('}')
	case '[':
		b.WriteByte('[')
		for i, e := range n.elems {
			if i > 0 {
				b.WriteByte(',')
			}
			e.writeJSON(b)
		}
		b.WriteByte(']')
	default:
		b.WriteString(n.literal)
	}
}

// standardJSON returns the value as standard JSON, without comments.
func (n *node) standardJSON() string {
	var b bytes.Buffer
	n.writeJSON(&b)
	return b.String()
}

// maxExcerptBytes is the largest part of a value that a fault shows.
const maxExcerptBytes = 60

// excerpt returns the value as a fault shows it.
func (n *node) excerpt() string {
	s := n.standardJSON()
	if len(s) > maxExcerptBytes {
		return s[:maxExcerptBytes] + "..."
	}
	return s
}

// parser converts one file to a tree of nodes and reports syntax errors and
// duplicate keys.
type parser struct {
	name    string
	data    []byte
	overlay int
	faults  *Faults
}

// parse returns nil when the file is not a JSON object, which may contain
// comments and trailing commas.
func (p *parser) parse() *node {
	v, err := hujson.Parse(p.data)
	if err != nil {
		line := 1
		fmt.Sscanf(err.Error(), "hujson: line %d", &line)
		p.faults.add(Fault{Origin: Origin{p.name, line}, Path: "(file)", Problem: err.Error()})
		return nil
	}
	n := p.convert(&v, "")
	if n.kind != '{' {
		p.faults.add(Fault{Origin: n.origin, Path: "(file)", Problem: "must be an object"})
		return nil
	}
	return n
}

func (p *parser) origin(v *hujson.Value) Origin {
	return Origin{p.name, 1 + bytes.Count(p.data[:v.StartOffset], []byte("\n"))}
}

func (p *parser) convert(v *hujson.Value, path string) *node {
	n := &node{kind: v.Value.Kind(), origin: p.origin(v), overlay: p.overlay}
	n.keyOrigin = n.origin
	switch t := v.Value.(type) {
	case hujson.Literal:
		n.literal = string(t)
	case *hujson.Array:
		for i := range t.Elements {
			n.elems = append(n.elems, p.convert(&t.Elements[i], fmt.Sprintf("%s[%d]", path, i)))
		}
	case *hujson.Object:
		n.members = map[string]*node{}
		for i := range t.Members {
			p.addMember(n, &t.Members[i], path)
		}
	}
	return n
}

// addMember adds a member to an object. A null counts as an absent key, so that
// the output of the show command can be loaded.
func (p *parser) addMember(n *node, m *hujson.ObjectMember, path string) {
	key := m.Name.Value.(hujson.Literal).String()
	path = joinPath(path, key)
	child := p.convert(&m.Value, path)
	child.keyOrigin = p.origin(&m.Name)
	if first := n.members[key]; first != nil {
		p.faults.add(Fault{Origin: child.keyOrigin, Path: path, Problem: fmt.Sprintf("duplicate key, first at %s", first.keyOrigin)})
		return
	}
	if child.kind != 'n' {
		n.set(key, child)
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// merge merges overlay into n by key path. Objects are merged; every other
// value, including an array, is replaced as a whole. It is a fault when two
// overlays set one path to different values, whatever their order.
func (n *node) merge(overlay *node, path string, faults *Faults) {
	for _, key := range overlay.keys {
		replacement, keyPath := overlay.members[key], joinPath(path, key)
		current := n.members[key]
		switch {
		case current == nil:
			n.set(key, replacement)
		case current.kind != replacement.kind && (current.kind == '{' || replacement.kind == '{'):
			// The schemaChecker has reported the value of the wrong type.
		case current.kind == '{':
			current.merge(replacement, keyPath, faults)
		case current.overlay > 0 && current.overlay != replacement.overlay && current.standardJSON() != replacement.standardJSON():
			faults.add(Fault{Origin: replacement.origin, Path: keyPath, Value: replacement.excerpt(),
				Problem: fmt.Sprintf("contradicts %s, which sets %s", current.origin, current.excerpt())})
		default:
			n.set(key, replacement)
		}
	}
}

// clone returns a deep copy.
func (n *node) clone() *node {
	c := *n
	c.members = make(map[string]*node, len(n.members))
	c.keys = slices.Clone(n.keys)
	for k, m := range n.members {
		c.members[k] = m.clone()
	}
	c.elems = nil
	for _, e := range n.elems {
		c.elems = append(c.elems, e.clone())
	}
	return &c
}

// collectOrigins records the origins of n and of every value below it.
func (n *node) collectOrigins(path string, into map[string]Origin) {
	into[path] = n.origin
	for key, m := range n.members {
		m.collectOrigins(joinPath(path, key), into)
	}
	for i, e := range n.elems {
		e.collectOrigins(fmt.Sprintf("%s[%d]", path, i), into)
	}
}

// nearestOrigin returns the origin of the value at path, or of the innermost
// object or array around path that has one.
func nearestOrigin(origins map[string]Origin, path string) Origin {
	for path != "" {
		if o, ok := origins[path]; ok {
			return o
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return origins[""]
}
