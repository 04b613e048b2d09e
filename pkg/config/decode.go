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

// Decode reads one file of another form with the checks of this package:
// unknown keys, kinds and the ranges in struct tags such as range:"1,100".
// The file may hold secrets, so faults show only numbers. A wrong value leaves
// its field at the value it had before, so that the caller can check the rest.
func Decode(src Source, into any) DecodedFile {
	d := DecodedFile{Faults: &Faults{}, Origins: map[string]Origin{}}
	p := parser{name: src.Name, data: src.Data, faults: d.Faults}
	root := p.parse()
	if root == nil {
		return d
	}
	c := checker{faults: d.Faults, secrets: true}
	c.check(root, reflect.TypeOf(into).Elem(), "", nil)
	root.collect("", d.Origins)
	// A value of a wrong kind has been reported by the checker.
	_ = json.Unmarshal([]byte(root.standard()), into)
	return d
}

// Has reports whether the file sets path.
func (d DecodedFile) Has(path string) bool {
	_, ok := d.Origins[path]
	return ok
}

// Report adds a fault at path, unless one was already found there.
func (d DecodedFile) Report(path, problem, allowed string) {
	if !d.Faults.within(path) {
		d.Faults.add(Fault{Origin: nearest(d.Origins, path), Path: path, Problem: problem, Allowed: allowed})
	}
}

// Err returns the sorted faults as a *Faults, or nil when there are none.
func (d DecodedFile) Err() error { return d.Faults.err() }
