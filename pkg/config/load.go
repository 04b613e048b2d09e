package config

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Source is the name and the content of one file.
type Source struct {
	Name string
	Data []byte
}

// MergedDocument is the document that the files describe.
type MergedDocument struct {
	Document *model.Document
	// Origins holds the origin of every value by its key path. The path of the
	// whole document is "".
	Origins map[string]Origin
}

// SetsOverrides reports whether the files set overrides. When they do not, the
// published overrides stay in force.
func (m *MergedDocument) SetsOverrides() bool {
	_, ok := m.Origins["overrides"]
	return ok
}

// LoadFiles reads a base file and its overlays, merges them and checks the
// result. The error is a *Faults with all faults.
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

// Load merges a base and its overlays and checks the result. The error is a
// *Faults with all faults.
func Load(base Source, overlays ...Source) (*MergedDocument, error) {
	faults := &Faults{}
	root := newObject(Origin{base.Name, 1})
	for i, src := range append([]Source{base}, overlays...) {
		p := parser{name: src.Name, data: src.Data, overlay: i, faults: faults}
		n := p.parse()
		if n == nil {
			continue
		}
		// Each file is checked before it is merged, so that values that a
		// later file replaces are checked too.
		(&schemaChecker{faults: faults}).check(n, reflect.TypeFor[fileDocument](), "", nil)
		root.merge(n, "", faults)
	}
	applyDefaults(root)
	e := expander{root: root, faults: faults, expandedMaps: map[string]bool{}}
	e.run()
	m := &MergedDocument{Document: decode(root), Origins: map[string]Origin{}}
	root.collectOrigins("", m.Origins)
	v := validator{doc: m.Document, root: root, origins: m.Origins, faults: faults, expandedMaps: e.expandedMaps}
	v.validate()
	if err := faults.err(); err != nil {
		return nil, err
	}
	return m, nil
}

// decode converts the tree to a document. The schemaChecker has reported values
// of a wrong type; they are left out, so that the others can be validated.
func decode(root *node) *model.Document {
	d := &model.Document{}
	_ = json.Unmarshal([]byte(root.standardJSON()), d)
	return d
}

// hasAtOrBelow reports whether f has a fault at path or below it.
func (f *Faults) hasAtOrBelow(path string) bool {
	for _, o := range f.List {
		if rest, ok := strings.CutPrefix(o.Path, path); ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// parseGenerated converts JSON that this package has generated.
func (p *parser) parseGenerated() *node {
	v, err := hujson.Parse(p.data)
	if err != nil {
		panic("config: generated JSON: " + err.Error())
	}
	return p.convert(&v, "")
}

// setOrigin sets the origin of n and of every value below it.
func (n *node) setOrigin(o Origin) {
	n.origin, n.keyOrigin = o, o
	for _, m := range n.members {
		m.setOrigin(o)
	}
	for _, e := range n.elems {
		e.setOrigin(o)
	}
}
