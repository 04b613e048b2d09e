package jsonsplit

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against values that end too early or too late, at strings, white space and any
// depth, and against text that is no object or array and is taken for one.
func TestMembersAndElements(t *testing.T) {
	deep := strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000)
	found, err := Members([]byte(` { "a" : "]}\"," , "b":{"x":[1,{"y":"{"}]},"c":-1.5e7 ,"d":` + deep + `,"e":null,"\u0066":true } `))
	assert.NilError(t, err)
	for key, want := range map[string]string{"a": `"]}\","`, "b": `{"x":[1,{"y":"{"}]}`, "c": "-1.5e7", "d": deep, "e": "null", "f": "true"} {
		assert.Equal(t, string(found[key]), want, key)
	}
	assert.Equal(t, len(found), 6)
	all, err := Elements([]byte(`[1, "a,b" ,[2,3],{}]`))
	assert.NilError(t, err)
	assert.Equal(t, len(all), 4)
	assert.Equal(t, string(all[1]), `"a,b"`)
	none, err := Elements([]byte("null"))
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
	for _, text := range []string{"", "1", `"a"`, "{", `{"a"}`, `{"a":1`, `{"a" 1}`, `{1:2}`, `{"a":1,}`, `[]`, "null"} {
		_, err := Members([]byte(text))
		assert.Assert(t, err != nil, "%q", text)
	}
	for _, text := range []string{"", "{}", "[", "[1", "[1 2]", "[,]"} {
		_, err := Elements([]byte(text))
		assert.Assert(t, err != nil, "%q", text)
	}
}
