package config

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Source is the text of one file.
type Source struct {
	Name string
	Data []byte
}

// MergedDocument is the document that the files describe.
type MergedDocument struct {
	Document *model.Document
	// Origins holds the place of every value by its key path. The root has the path "".
	Origins map[string]Origin
}

// SetsOverrides reports whether the files themselves set overrides. When they
// don't, those in force stay.
func (m *MergedDocument) SetsOverrides() bool {
	_, ok := m.Origins["overrides"]
	return ok
}

// LoadFiles reads and merges a base file and its overlays. The error is a
// *Faults with everything that is wrong.
func LoadFiles(base string, overlays ...string) (*MergedDocument, error) {
	faults := &Faults{}
	var sources []Source
	for _, name := range append([]string{base}, overlays...) {
		data, err := os.ReadFile(name)
		if err != nil {
			faults.add(Fault{Origin: Origin{name, 0}, Path: "(file)", Problem: err.Error()})
		}
		sources = append(sources, Source{Name: name, Data: data})
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return Load(sources[0], sources[1:]...)
}

// Load merges a base and its overlays. The error is a *Faults with everything
// that is wrong.
func Load(base Source, overlays ...Source) (*MergedDocument, error) {
	faults := &Faults{}
	root := newObject(Origin{base.Name, 1})
	for i, src := range append([]Source{base}, overlays...) {
		p := parser{name: src.Name, data: src.Data, overlay: i, faults: faults}
		n := p.parse()
		if n == nil {
			continue
		}
		// Each file is checked by itself, so that a value that another file
		// replaces is checked too.
		(&checker{faults: faults}).check(n, reflect.TypeFor[fileDocument](), "", nil)
		root.merge(n, "", faults)
	}
	applyDefaults(root)
	e := expander{root: root, faults: faults, expanded: map[string]bool{}}
	e.run()
	m := &MergedDocument{Document: decode(root), Origins: map[string]Origin{}}
	root.collect("", m.Origins)
	v := validator{doc: m.Document, root: root, origins: m.Origins, faults: faults, expanded: e.expanded}
	v.run()
	if err := faults.err(); err != nil {
		return nil, err
	}
	return m, nil
}

// decode converts the tree. A value of a wrong kind has been reported before
// and is left out, so that the rest can still be validated.
func decode(root *node) *model.Document {
	d := &model.Document{}
	_ = json.Unmarshal([]byte(root.standard()), d)
	return d
}

// within reports whether a fault was already found at path or below it.
func (f *Faults) within(path string) bool {
	for _, o := range f.List {
		if rest, ok := strings.CutPrefix(o.Path, path); ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// parseGenerated converts JSON that this package has produced itself.
func (p *parser) parseGenerated() *node {
	v, err := hujson.Parse(p.data)
	if err != nil {
		panic("config: generated JSON: " + err.Error())
	}
	return p.convert(&v, "")
}

// place sets the origin of n and everything below it.
func (n *node) place(o Origin) {
	n.origin, n.keyOrigin = o, o
	for _, m := range n.members {
		m.place(o)
	}
	for _, e := range n.elems {
		e.place(o)
	}
}
