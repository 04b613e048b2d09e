package routes

import (
	"fmt"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

func tenantTable(t *testing.T, tenants ...*Tenant) *Table {
	t.Helper()
	table := newTable(t, singleServiceRoute("r", "h", "/"))
	assert.NilError(t, table.SetTenants(tenants))
	return table
}

func keyed(name string, keys ...string) *Tenant {
	tenant := &Tenant{Name: name}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, KeyDigest(key))
	}
	return tenant
}

// Guards against keys, or a part of them, in a message between VMs, and against tenants
// and public routes that are lost there.
func TestTenantsPassBetweenVMsWithoutTheirKeys(t *testing.T) {
	first := keyed("a", "the-first-key", "the-second-key")
	first.Priority, first.HasPriority, first.RatePerSecond, first.Burst = 0, true, 1.5, 2.5
	sent := tenantTable(t, first, keyed("b"))
	sent.Routes[0].Public = true
	content, err := msgpack.Marshal(sent)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(content), "-key"))
	var got Table
	assert.NilError(t, msgpack.Unmarshal(content, &got))
	assert.Assert(t, got.HasTenants && !got.TenantsUnknown && got.Routes[0].Public)
	assert.DeepEqual(t, got.TenantOf("the-second-key"), first)
	assert.Assert(t, got.TenantOf("the-third-key") == nil && got.TenantNamed("b") != nil)

	empty, err := msgpack.Marshal(tenantTable(t))
	assert.NilError(t, err)
	assert.NilError(t, msgpack.Unmarshal(empty, &got))
	assert.Assert(t, got.HasTenants, "present, though empty")
}

// olderTable is the form of a table in messages of older builds.
type olderTable struct {
	Version  uint64
	Limits   Limits
	Routes   []olderRoute
	Services map[string]*Service
}

type olderRoute struct {
	Name, Host, Prefix string
	Services           []Weighted
}

// Guards against messages that a VM of another build cannot read, and against a table of
// an older build that passes for one without tenants, also after one VM more.
func TestTablesAreReadAcrossBuilds(t *testing.T) {
	content, err := msgpack.Marshal(tenantTable(t, keyed("a", "key")))
	assert.NilError(t, err)
	var older olderTable
	assert.NilError(t, msgpack.Unmarshal(content, &older))
	assert.Equal(t, older.Routes[0].Prefix, "/")

	content, err = msgpack.Marshal(older)
	assert.NilError(t, err)
	for range 2 {
		var got Table
		assert.NilError(t, msgpack.Unmarshal(content, &got))
		assert.Assert(t, got.TenantsUnknown && !got.HasTenants)
		content, err = msgpack.Marshal(&got)
		assert.NilError(t, err)
	}
	content, err = msgpack.Marshal(newTable(t, singleServiceRoute("r", "h", "/")))
	assert.NilError(t, err)
	var got Table
	assert.NilError(t, msgpack.Unmarshal(content, &got))
	assert.Assert(t, !got.TenantsUnknown && !got.HasTenants)
}

// Guards against tenants that cannot be told apart, and against a name that adds a header
// field to each send.
func TestFaultyTenantsAreRefused(t *testing.T) {
	for name, tenants := range map[string][]*Tenant{
		"no name":         {keyed("")},
		"line end":        {keyed("a\r\nX-Other: 1")},
		"space at an end": {keyed("a ")},
		"long name":       {keyed(strings.Repeat("a", maxTenantNameBytes+1))},
		"same name":       {keyed("a", "one"), keyed("a", "two")},
		"same key":        {keyed("a", "one"), keyed("b", "two", "one")},
		"negative rate":   {{Name: "a", RatePerSecond: -1}},
		"negative burst":  {{Name: "a", Burst: -1}},
		"none":            {nil},
	} {
		assert.Assert(t, newTable(t).SetTenants(tenants) != nil, name)
	}
	assert.NilError(t, newTable(t).SetTenants([]*Tenant{keyed("a", "one", "one"), keyed("b")}))
}

// Guards against ten thousand keys that do not fit into a message, or are mixed up.
func TestManyKeys(t *testing.T) {
	const keys = 10000
	var tenants []*Tenant
	for i := range 100 {
		tenants = append(tenants, keyed(fmt.Sprint("t", i)))
	}
	for i := range keys {
		tenants[i%100].Keys = append(tenants[i%100].Keys, KeyDigest(fmt.Sprint("key", i)))
	}
	content, err := msgpack.Marshal(tenantTable(t, tenants...))
	assert.NilError(t, err)
	assert.Assert(t, len(content) < 40*keys, "%d bytes", len(content))
	var got Table
	assert.NilError(t, msgpack.Unmarshal(content, &got))
	for i := range keys {
		assert.Equal(t, got.TenantOf(fmt.Sprint("key", i)).Name, fmt.Sprint("t", i%100))
	}
}
