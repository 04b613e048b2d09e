package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Origin is the file and line in which a value is set.
type Origin struct {
	File string `json:"file"`
	Line int    `json:"line"`
}

// DefaultFile is the file name in the origin of a built-in default.
const DefaultFile = "(default)"

// String returns the origin as file:line.
func (o Origin) String() string {
	if o.File == DefaultFile {
		return o.File
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Fault is one mistake in a configuration or settings file.
type Fault struct {
	Origin
	// Path is the key path of the value, such as services.billing.slots.
	Path string `json:"path"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Value is the start of the value as written. Allowed says which values
	// are allowed.
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	s := fmt.Sprintf("%s: %s: %s", f.Origin, f.Path, f.Problem)
	if f.Value != "" {
		s += ", got " + f.Value
	}
	if f.Allowed != "" {
		s += ", allowed: " + f.Allowed
	}
	return s
}

// Faults is an error with all faults of the files, ordered by file and line.
type Faults struct {
	// Subject is what the faults are in; "" means "configuration".
	Subject string  `json:"-"`
	List    []Fault `json:"faults"`
}

// Error implements error. It returns the number of faults, and each fault on a
// line of its own.
func (f *Faults) Error() string {
	lines := []string{fmt.Sprintf("%s: %d fault(s)", cmp.Or(f.Subject, "configuration"), len(f.List))}
	for _, one := range f.List {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(one Fault) {
	if !slices.Contains(f.List, one) {
		f.List = append(f.List, one)
	}
}

// hasAt reports whether f has a fault at path.
func (f *Faults) hasAt(path string) bool {
	return slices.ContainsFunc(f.List, func(o Fault) bool { return o.Path == path })
}

// err returns the sorted faults, or nil when there are none.
func (f *Faults) err() error {
	if len(f.List) == 0 {
		return nil
	}
	slices.SortStableFunc(f.List, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return f
}

// Suggest returns the candidate closest to word, or "" when none is close.
func Suggest(word string, candidates []string) string {
	best, bestDistance := "", max(2, len(word)/3)+1
	for _, c := range candidates {
		if d := distance(word, c); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of a and b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitute := diagonal
			if a[i-1] != b[j-1] {
				substitute++
			}
			diagonal = row[j]
			row[j] = min(substitute, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
