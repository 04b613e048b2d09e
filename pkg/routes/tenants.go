package routes

import (
	"crypto/sha256"
	"strings"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// MaxKeyBytes bounds a key: a longer one is neither accepted in a configuration nor
	// hashed when a caller sends it. Keys are tens of bytes; tokens that carry claims
	// reach 1 to 2 KB.
	MaxKeyBytes = 4096
	// maxTenantNameBytes bounds the name, which each send and each log line carries.
	maxTenantNameBytes = 256
)

// Tenant is a holder of API keys, on whose behalf callers send requests.
type Tenant struct {
	Name string
	// Keys holds the SHA-256 digest of each key. The keys themselves are not kept, so
	// that they can reach no log, no message and no other VM.
	Keys [][sha256.Size]byte
	// Priority takes precedence over that of the route if HasPriority is set; 0 is the
	// highest.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are the tenant's cap over all VMs; 0 is no limit.
	RatePerSecond, Burst float64
}

// PriorityOn returns the priority of a tenant's requests on a route. t is nil for
// requests without a tenant.
func (t *Tenant) PriorityOn(r *Route) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return r.Priority
}

// KeyDigest returns the digest by which a key is looked up.
func KeyDigest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// SetTenants completes a new table with the tenants of its configuration, of which there
// may be none. It must be called before the table is used. Its error is an *errs.Refusal
// that names the tenant and the field, never the key.
func (t *Table) SetTenants(tenants []*Tenant) error {
	t.HasTenants, t.Tenants = true, tenants
	t.tenantsByName = make(map[string]*Tenant, len(tenants))
	t.holders = make(map[[sha256.Size]byte]*Tenant, len(tenants))
	for i, tenant := range tenants {
		if tenant == nil || !validTenantName(tenant.Name) {
			return errs.Refuse(errs.SettingsInvalid, "tenant %d: name is missing, too long or cannot be sent in a header field", i)
		}
		if t.tenantsByName[tenant.Name] != nil {
			return errs.Refuse(errs.SettingsInvalid, "tenant %q: name is given twice", tenant.Name)
		}
		t.tenantsByName[tenant.Name] = tenant
		if tenant.RatePerSecond < 0 || tenant.Burst < 0 {
			return errs.Refuse(errs.SettingsInvalid, "tenant %q: rate or burst is negative", tenant.Name)
		}
		for _, digest := range tenant.Keys {
			if holder := t.holders[digest]; holder != nil && holder != tenant {
				return errs.Refuse(errs.SettingsInvalid, "tenant %q: tenant %q holds one of its keys too", tenant.Name, holder.Name)
			}
			t.holders[digest] = tenant
		}
	}
	return nil
}

// validTenantName reports whether a name can be the value of a header field and is the
// same after a replica has read it.
func validTenantName(name string) bool {
	if name == "" || len(name) > maxTenantNameBytes || strings.TrimSpace(name) != name {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// TenantOf returns the tenant that holds a key, nil if there is none. It looks the digest
// up, so that the time it takes does not depend on how much of a key is right.
func (t *Table) TenantOf(key string) *Tenant { return t.HolderOf(KeyDigest(key)) }

// HolderOf is TenantOf for the digest of a key.
func (t *Table) HolderOf(digest [sha256.Size]byte) *Tenant { return t.holders[digest] }

// TenantNamed returns the tenant with a name, nil if there is none.
func (t *Table) TenantNamed(name string) *Tenant { return t.tenantsByName[name] }
