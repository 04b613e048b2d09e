package tenant

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

var now = time.Unix(1000, 0)

func table(t *testing.T, keysOf map[string]string) *routes.Table {
	t.Helper()
	built, err := routes.NewTable(1, routes.Limits{}, nil, nil)
	assert.NilError(t, err)
	var tenants []*routes.Tenant
	for name, key := range keysOf {
		tenants = append(tenants, &routes.Tenant{Name: name, Keys: [][32]byte{routes.KeyDigest(key)}})
	}
	assert.NilError(t, built.SetTenants(tenants))
	return built
}

// confirmed is a VM whose configuration the store confirmed some time ago.
func confirmed(ago time.Duration) Check {
	return Check{Now: now, State: State{ConfirmedAt: now.Add(-ago)}, Bounds: Bounds{Apply: 5 * time.Second, Revoke: 5 * time.Second}}
}

// Guards against a request that runs without the one key of a tenant, and against a field
// that two readers take for different keys.
func TestAuthorizationFieldHasOneReading(t *testing.T) {
	tenants := table(t, map[string]string{"a": "key-of-a", "b": "key-of-b"})
	for _, test := range []struct {
		fields []string
		tenant string
		want   Verdict
	}{
		{[]string{"Bearer key-of-a"}, "a", Permitted},
		{[]string{"bearer key-of-b"}, "b", Permitted},
		{[]string{"BEARER   key-of-b "}, "b", Permitted},
		{nil, "", NoKey},
		{[]string{"Bearer"}, "", NoKey},
		{[]string{"Bearer  "}, "", NoKey},
		{[]string{""}, "", OtherScheme},
		{[]string{"key-of-a"}, "", OtherScheme},
		{[]string{"Basic key-of-a"}, "", OtherScheme},
		{[]string{"Bearer\tkey-of-a"}, "", OtherScheme},
		{[]string{"Bearer " + strings.Repeat("k", routes.MaxKeyBytes+1)}, "", OtherScheme},
		{[]string{"Bearer key-of-A"}, "", UnknownKey},
		{[]string{"Bearer key-of-a, Bearer key-of-b"}, "", UnknownKey},
		{[]string{"Bearer key-of-a", "Bearer key-of-b"}, "", SeveralFields},
		{[]string{"Bearer key-of-a", "Bearer key-of-a"}, "", SeveralFields},
	} {
		tenant, _, verdict := confirmed(time.Second).Authenticate(tenants, test.fields)
		assert.Equal(t, verdict, test.want, "%q", test.fields)
		name := ""
		if tenant != nil {
			name = tenant.Name
		}
		assert.Equal(t, name, test.tenant, "%q", test.fields)
		if verdict != Permitted {
			outOfTouch := confirmed(time.Minute)
			_, _, verdict = outOfTouch.Authenticate(tenants, test.fields)
			assert.Equal(t, verdict, Unconfirmed, "%q", test.fields)
		}
	}
}

// Guards against a good key that a VM refuses with 401 because it has not seen the
// configuration that adds it, and against a removed key that a VM out of touch runs for
// longer than the operators allow.
func TestVMThatIsOutOfTouch(t *testing.T) {
	tenants := table(t, map[string]string{"a": "known"})
	strict := func(c Check) Check { c.Bounds.StrictRevoke = true; return c }
	restored := func(c Check) Check { c.State.Restored = true; return c }
	never := func(c Check) Check { c.State.ConfirmedAt = time.Time{}; return c }
	for name, test := range map[string]struct {
		check          Check
		known, unknown Verdict
	}{
		"in touch":                {confirmed(0), Permitted, UnknownKey},
		"confirmed 2.7 s ago":     {confirmed(2700 * time.Millisecond), Permitted, UnknownKey},
		"confirmed 4 s ago":       {confirmed(4 * time.Second), Permitted, Unconfirmed},
		"a day ago":               {confirmed(24 * time.Hour), Permitted, Unconfirmed},
		"never":                   {never(confirmed(0)), Permitted, Unconfirmed},
		"strict, in touch":        {strict(confirmed(2700 * time.Millisecond)), Permitted, UnknownKey},
		"strict, 4 s ago":         {strict(confirmed(4 * time.Second)), RevocationUnknown, RevocationUnknown},
		"strict, never":           {strict(never(confirmed(0))), RevocationUnknown, RevocationUnknown},
		"restored store":          {restored(confirmed(0)), Permitted, Unconfirmed},
		"strict, restored, fresh": {strict(restored(confirmed(0))), Permitted, Unconfirmed},
	} {
		_, _, verdict := test.check.Authenticate(tenants, []string{"Bearer known"})
		assert.Equal(t, verdict, test.known, name)
		_, _, verdict = test.check.Authenticate(tenants, []string{"Bearer unknown"})
		assert.Equal(t, verdict, test.unknown, name)
	}
	for _, v := range []Verdict{Unconfirmed, RevocationUnknown, Changed} {
		refusal := v.Refusal()
		assert.Equal(t, refusal.HTTPStatus(), 503, v)
		assert.Equal(t, refusal.RunState, errs.DidNotRun, v)
		assert.Assert(t, refusal.RetryAfter > 0, v)
	}
	for v, status := range map[Verdict]int{NoKey: 401, OtherScheme: 401, UnknownKey: 401, SeveralFields: 400} {
		assert.Equal(t, v.Refusal().HTTPStatus(), status, v)
	}
}

// Guards against a retry with a key that was removed, or given to another tenant, while
// the request ran.
func TestKeyThatChangesWhileARequestRuns(t *testing.T) {
	before := table(t, map[string]string{"a": "key"})
	tenant, key, verdict := confirmed(0).Authenticate(before, []string{"Bearer key"})
	assert.Equal(t, verdict, Permitted)
	assert.Equal(t, confirmed(0).Recheck(before, key, tenant), Permitted)
	assert.Equal(t, confirmed(0).Recheck(table(t, map[string]string{"a": "key", "b": "other"}), key, tenant), Permitted)
	assert.Equal(t, confirmed(0).Recheck(table(t, map[string]string{"a": "other"}), key, tenant), Changed)
	assert.Equal(t, confirmed(0).Recheck(table(t, map[string]string{"b": "key"}), key, tenant), Changed)
	strict := confirmed(time.Minute)
	strict.Bounds.StrictRevoke = true
	assert.Equal(t, strict.Recheck(before, key, tenant), RevocationUnknown)
}

// BenchmarkAuthenticate measures the reading of one key of 40 bytes among 10,000.
func BenchmarkAuthenticate(b *testing.B) {
	built, err := routes.NewTable(1, routes.Limits{}, nil, nil)
	assert.NilError(b, err)
	holder := &routes.Tenant{Name: "a"}
	for i := range 10000 {
		holder.Keys = append(holder.Keys, routes.KeyDigest(fmt.Sprintf("%040d", i)))
	}
	assert.NilError(b, built.SetTenants([]*routes.Tenant{holder}))
	fields := []string{"Bearer " + fmt.Sprintf("%040d", 7777)}
	check := confirmed(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, verdict := check.Authenticate(built, fields); verdict != Permitted {
			b.Fatal(verdict)
		}
	}
}
