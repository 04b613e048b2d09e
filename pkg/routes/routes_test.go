package routes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

func table(t *testing.T, all ...*Route) *Table {
	t.Helper()
	made, err := NewTable(1, Limits{}, all, nil)
	assert.NilError(t, err)
	return made
}

func single(name, host, prefix string) *Route {
	return &Route{Name: name, Host: host, Prefix: prefix, Services: []Weighted{{Service: "s", Weight: 1}}}
}

// Guards against a request that reaches the service of a shorter prefix, or of
// another host, and against a port in the host header that hides the route.
func TestMatchTakesLongestPrefixOfTheHost(t *testing.T) {
	made := table(t, single("short", "a.example", "/x/"), single("long", "a.example", "/x/y/"), single("other", "b.example", "/x/y/z/"))
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
		if r := made.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s %s", c.host, c.path)
	}
}

// Guards against a split that leaves a service out or ignores its weight.
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

// Guards against a table with a route that no request can be served by.
func TestNewTableRefusesUselessRoutes(t *testing.T) {
	for _, r := range []*Route{single("no host", "", "/x/"), single("open prefix", "a", "/x"), {Name: "no service", Host: "a", Prefix: "/"}} {
		_, err := NewTable(1, Limits{}, []*Route{r}, nil)
		assert.Assert(t, errs.Is(err, errs.SettingsInvalid), r.Name)
	}
}
