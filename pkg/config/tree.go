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

// node is a JSON value that knows where it was written.
type node struct {
	kind    hujson.Kind
	literal string           // of a string, number or boolean, as JSON
	keys    []string         // of an object, in the order of the files
	members map[string]*node // of an object
	elems   []*node          // of an array
	origin  Origin
	// keyOrigin is where the key of an object member was written.
	keyOrigin Origin
	// overlay is the number of the overlay that set the value, 0 for the base.
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

// get returns the member under a path of keys, or nil.
func (n *node) get(keys ...string) *node {
	for _, k := range keys {
		if n == nil {
			return nil
		}
		n = n.members[k]
	}
	return n
}

// keyed returns the members of an object, which may be nil.
func (n *node) keyed() map[string]*node {
	if n == nil {
		return nil
	}
	return n.members
}

// at returns the value at a key path such as a.b[2].c, or nil.
func (n *node) at(path string) *node {
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

// write appends the value as standard JSON.
func (n *node) write(b *bytes.Buffer) {
	switch n.kind {
	case '{':
		b.WriteByte('{')
		for i, k := range n.keys {
			if i > 0 {
				b.WriteByte(',')
			}
			b.Write(hujson.String(k))
			b.WriteByte(':')
			n.members[k].write(b)
		}
		b.WriteByte('}')
	case '[':
		b.WriteByte('[')
		for i, e := range n.elems {
			if i > 0 {
				b.WriteByte(',')
			}
			e.write(b)
		}
		b.WriteByte(']')
	default:
		b.WriteString(n.literal)
	}
}

// standard returns the value as standard JSON.
func (n *node) standard() string {
	var b bytes.Buffer
	n.write(&b)
	return b.String()
}

// shownBytes bounds the length of a value quoted in a fault.
const shownBytes = 60

func (n *node) show() string {
	s := n.standard()
	if len(s) > shownBytes {
		return s[:shownBytes] + "..."
	}
	return s
}

// parser converts one file.
type parser struct {
	name    string
	data    []byte
	overlay int
	faults  *Faults
}

// parse returns nil when the file is not JSON with comments.
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
			p.member(n, &t.Members[i], path)
		}
	}
	return n
}

// member adds a member of an object. A null counts as an absent key, so that
// the output of the show command can be read back.
func (p *parser) member(n *node, m *hujson.ObjectMember, path string) {
	key := m.Name.Value.(hujson.Literal).String()
	path = join(path, key)
	child := p.convert(&m.Value, path)
	child.keyOrigin = p.origin(&m.Name)
	if first := n.members[key]; first != nil {
		p.faults.add(Fault{Origin: child.keyOrigin, Path: path, Problem: fmt.Sprintf("key already given at %s", first.keyOrigin)})
		return
	}
	if child.kind != 'n' {
		n.set(key, child)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// merge puts over on top of n by key path. Objects are merged; every other
// value, arrays included, is replaced whole. Two overlays that give one path
// different values contradict each other, whatever their order.
func (n *node) merge(over *node, path string, faults *Faults) {
	for _, key := range over.keys {
		theirs, at := over.members[key], join(path, key)
		ours := n.members[key]
		switch {
		case ours == nil:
			n.set(key, theirs)
		case ours.kind != theirs.kind && (ours.kind == '{' || theirs.kind == '{'):
			// The checker has reported the one that is of the wrong kind.
		case ours.kind == '{':
			ours.merge(theirs, at, faults)
		case ours.overlay > 0 && ours.overlay != theirs.overlay && ours.standard() != theirs.standard():
			faults.add(Fault{Origin: theirs.origin, Path: at, Value: theirs.show(),
				Problem: fmt.Sprintf("contradicts %s, which sets %s", ours.origin, ours.show())})
		default:
			n.set(key, theirs)
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

// collect records the origin of n and every value below it.
func (n *node) collect(path string, into map[string]Origin) {
	into[path] = n.origin
	for key, m := range n.members {
		m.collect(join(path, key), into)
	}
	for i, e := range n.elems {
		e.collect(fmt.Sprintf("%s[%d]", path, i), into)
	}
}

// nearest returns the origin of path, or of the closest value above it.
func nearest(origins map[string]Origin, path string) Origin {
	for path != "" {
		if o, ok := origins[path]; ok {
			return o
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return origins[""]
}
