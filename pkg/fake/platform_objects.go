package fake

import (
	"sort"
	"strconv"
	"strings"
)

// object is one stored value. Its version is the revision of its last write.
type object struct {
	value    []byte
	revision uint64
}

// version returns the version string of the object.
func (o object) version() string { return strconv.FormatUint(o.revision, 10) }

// change is one entry of the history.
type change struct {
	revision uint64
	key      string
	deleted  bool
}

// undo holds what a change replaced.
type undo struct {
	revision uint64
	key      string
	before   object
	existed  bool
}

// objects is the state of the object store. It is guarded by its Platform.
type objects struct {
	limit    int
	revision uint64
	current  map[string]object
	history  []change
	undos    []undo
}

// newObjects returns an empty store. Revisions start at 1, so that 0 can mean
// "from the current state" in a watch.
func newObjects(limit int) objects {
	return objects{limit: limit, revision: 1, current: map[string]object{}}
}

// allowed reports whether the conditions of a write hold. match is "" when
// the write does not name a version.
func (o *objects) allowed(key, match string, absent bool) bool {
	stored, exists := o.current[key]
	if absent && exists {
		return false
	}
	if match != "" {
		return exists && stored.version() == match
	}
	return true
}

// put stores a value and returns its version.
func (o *objects) put(key string, value []byte) string {
	o.record(key, false)
	stored := object{value: value, revision: o.revision}
	o.current[key] = stored
	return stored.version()
}

// remove deletes an object; it reports whether there was one.
func (o *objects) remove(key string) bool {
	if _, exists := o.current[key]; !exists {
		return false
	}
	o.record(key, true)
	delete(o.current, key)
	return true
}

// record enters a change into the history before it is applied.
func (o *objects) record(key string, deleted bool) {
	before, existed := o.current[key]
	o.revision++
	o.history = append(o.history, change{o.revision, key, deleted})
	if extra := len(o.history) - o.limit; extra > 0 {
		o.history = o.history[extra:]
	}
	o.undos = append(o.undos, undo{o.revision, key, before, existed})
	if extra := len(o.undos) - staleDepth; extra > 0 {
		o.undos = o.undos[extra:]
	}
}

// get returns the object as it was the given number of changes ago.
func (o *objects) get(key string, ago int) (object, bool) {
	for _, u := range o.recent(ago) {
		if u.key == key {
			return u.before, u.existed
		}
	}
	stored, exists := o.current[key]
	return stored, exists
}

// recent returns the last n changes that can be undone, oldest first.
func (o *objects) recent(n int) []undo {
	return o.undos[max(0, len(o.undos)-n):]
}

// list returns the sorted keys under prefix as they were some changes ago.
func (o *objects) list(prefix string, ago int) []string {
	seen := map[string]bool{}
	for key := range o.current {
		seen[key] = true
	}
	for _, u := range o.recent(ago) {
		seen[u.key] = true
	}
	var keys []string
	for key := range seen {
		_, exists := o.get(key, ago)
		if exists && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// since returns the last change of each key under prefix after a revision, in
// the order of the changes. It reports false when the history no longer
// reaches back that far or the revision is not known.
func (o *objects) since(prefix string, after uint64) ([]change, bool) {
	if after > o.revision {
		return nil, false
	}
	if oldest := o.revision - uint64(len(o.history)); after < oldest {
		return nil, false
	}
	start := len(o.history) - int(o.revision-after)
	last := map[string]int{}
	for i := start; i < len(o.history); i++ {
		last[o.history[i].key] = i
	}
	var changes []change
	for i := start; i < len(o.history); i++ {
		c := o.history[i]
		if last[c.key] == i && strings.HasPrefix(c.key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes, true
}
