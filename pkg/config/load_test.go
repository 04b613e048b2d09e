package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a fault that is not reported, that is reported for the wrong
// line, or that hides others.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	_, err := LoadFiles("testdata/base.jsonc", "testdata/one.jsonc", "testdata/two.jsonc")
	_, typed := err.(*Faults)
	assert.Assert(t, typed, "%v", err)
	golden.Assert(t, err.Error()+"\n", "faults.golden")
}

const smallDocument = `{
  "site": "x", "domains": {"a": {"region": "r"}, "b": {"region": "r"}},
  "service_defaults": {"search": {"slots": 3, "connections": 30, "order": [{"field": "id"}]}},
  "services": {"s": {
    "kind": "search", "operations": {"search": {"idempotent": true}},
    "shard_maps": [{"epoch": 1, "replica_range":
      {"groups": 2, "replicas": 2, "shards_per_group": 2, "host": "127.0.0.1", "first_port": 100, "domains": ["a", "b"]}}]}}
}`

// Guards against a value that is taken from the base although an overlay sets
// it, or from the defaults although a file sets it, and against an origin that
// names the wrong file or line.
func TestOverlayWinsAndOriginsAreKept(t *testing.T) {
	m, err := Load(Source{"base", []byte(smallDocument)}, Source{"over", []byte("{\n\"services\": {\"s\":\n{\"slots\": 4}}}")})
	assert.NilError(t, err)
	s := m.Document.Services["s"]
	assert.Equal(t, s.Slots, 4)
	assert.Equal(t, s.Connections, 30)
	assert.Equal(t, s.ExtraLoad, 0.05)
	assert.Equal(t, m.Origins["services.s.slots"], Origin{"over", 3})
	assert.Equal(t, m.Origins["services.s.connections"], Origin{"base", 3})
	assert.Equal(t, m.Origins["services.s.extra_load"], Origin{File: DefaultFile})
	assert.Equal(t, m.Origins["services.s.shard_maps[0].groups[1].replicas[0].addr"], Origin{"base", 7})
	assert.Equal(t, s.ShardMaps[0].Groups[1].Replicas[1].Addr, "127.0.0.1:103")
	assert.Assert(t, !m.SetsOverrides())
}

// Guards against a document that cannot be read back from its printed form.
func TestPrintedDocumentLoadsAgain(t *testing.T) {
	m, err := Load(Source{"base", []byte(smallDocument)})
	assert.NilError(t, err)
	printed, err := json.Marshal(m.Document)
	assert.NilError(t, err)
	again, err := Load(Source{"printed", printed})
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Document, m.Document)
}
