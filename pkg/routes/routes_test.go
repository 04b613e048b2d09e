package routes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

func newTable(t *testing.T, all ...*Route) *Table {
	t.Helper()
	built, err := NewTable(1, Limits{}, all, nil)
	assert.NilError(t, err)
	return built
}

func singleServiceRoute(name, host, prefix string) *Route {
	return &Route{Name: name, Host: host, Prefix: prefix, Services: []Weighted{{Service: "s", Weight: 1}}}
}

// Guards against routing a request by a shorter prefix than the longest that matches
// or by a route of another host, and against finding no route because the host has a
// port or upper-case letters.
func TestMatchUsesLongestPrefixOfHost(t *testing.T) {
	built := newTable(t, singleServiceRoute("short", "a.example", "/x/"), singleServiceRoute("long", "a.example", "/x/y/"), singleServiceRoute("other", "b.example", "/x/y/z/"))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"a.example:8080", "/x/1", "short"},
		{"A.Example", "/x/y/", "long"},
		{"b.example", "/x/y/z/1", "other"},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "/x", ""},
	} {
		got := ""
		r, refusal := built.Match(Target{Host: c.host, Path: c.path})
		assert.Assert(t, refusal == nil)
		if r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s %s", c.host, c.path)
	}
}

// Guards against a traffic split that omits a service or ignores its weight.
func TestPickFollowsWeights(t *testing.T) {
	r := &Route{Services: []Weighted{{"a", 1}, {"b", 0}, {"c", 3}}}
	counts := map[string]int{}
	for i := range 400 {
		counts[r.Pick(float64(i)/400)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 100, "c": 300})
	even := &Route{Services: []Weighted{{"a", 0}, {"b", 0}}}
	assert.Equal(t, even.Pick(0.1), "a")
	assert.Equal(t, even.Pick(0.9), "b")
}

// Guards against accepting a route that no request can match or that no service can
// serve.
func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	for _, r := range []*Route{singleServiceRoute("no host", "", "/x/"), singleServiceRoute("open prefix", "a", "/x"), {Name: "no service", Host: "a", Prefix: "/"}} {
		_, err := NewTable(1, Limits{}, []*Route{r}, nil)
		assert.Assert(t, errs.Is(err, errs.SettingsInvalid), r.Name)
	}
}
