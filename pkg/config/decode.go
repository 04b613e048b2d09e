package config

import (
	"encoding/json"
	"reflect"
)

// DecodedFile is the outcome of Decode.
type DecodedFile struct {
	Faults  *Faults
	Origins map[string]Origin
}

// Decode reads a file into a struct other than the configuration document, and
// checks it as Load does: for unknown keys, for values of a wrong type, and
// for numbers outside the range in a struct tag such as range:"1,100". The
// file may hold secrets, so faults show only numbers. A field whose value is
// of a wrong type keeps its previous value, so that the caller can check the
// others.
func Decode(src Source, into any) DecodedFile {
	d := DecodedFile{Faults: &Faults{}, Origins: map[string]Origin{}}
	p := parser{name: src.Name, data: src.Data, faults: d.Faults}
	root := p.parse()
	if root == nil {
		return d
	}
	c := schemaChecker{faults: d.Faults, hideValues: true}
	c.check(root, reflect.TypeOf(into).Elem(), "", nil)
	root.collectOrigins("", d.Origins)
	// The schemaChecker has reported the values that json.Unmarshal rejects.
	_ = json.Unmarshal([]byte(root.standardJSON()), into)
	return d
}

// Has reports whether the file sets path.
func (d DecodedFile) Has(path string) bool {
	_, ok := d.Origins[path]
	return ok
}

// Report adds a fault at path, unless there already is one at path or below it.
func (d DecodedFile) Report(path, problem, allowed string) {
	if !d.Faults.hasAtOrBelow(path) {
		d.Faults.add(Fault{Origin: nearestOrigin(d.Origins, path), Path: path, Problem: problem, Allowed: allowed})
	}
}

// Err returns the faults, sorted by file and line, as a *Faults, or nil when
// there are none.
func (d DecodedFile) Err() error { return d.Faults.err() }
