package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/platform"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

const (
	// tenantSeeds: the seeds that it divides play with tenants. Those that it does not may
	// be played with VMs of older builds, which do not know tenants.
	tenantSeeds = 2
	// tenants is their number. The callers are spread over them.
	tenants = 2
	// wrongKeyShare: one in so many requests has a key that no tenant holds.
	wrongKeyShare = 15
	// capPerSecond and capBurst are the cap of all tenants but the first, far below what
	// the callers send, and capWindowSeconds is the window of the settings.
	capPerSecond, capBurst = 15, 8
	capWindowSeconds       = 5
)

// hasTenants reports whether the configurations of the run have tenants.
func (s *site) hasTenants() bool { return s.config.Seed%tenantSeeds == 0 }

func tenantName(i int) string { return fmt.Sprint("tenant ", i%tenants) }

// lastingKey returns the key that a tenant holds in all versions, versionKey the one that
// its holder has in one version only.
func lastingKey(tenant string) string { return "soak-key of " + tenant }
func versionKey(version int) string   { return fmt.Sprint("soak-key of version ", version) }

// configuredTenants returns the tenants of the newest configuration.
func (s *site) configuredTenants() []standin.Tenant {
	if !s.hasTenants() {
		return nil
	}
	var all []standin.Tenant
	for i := range tenants {
		t := standin.Tenant{Name: tenantName(i), Keys: []string{lastingKey(tenantName(i))}}
		if i == 0 {
			t.Keys = append(t.Keys, versionKey(s.version))
		} else {
			t.PerSecond, t.Burst = capPerSecond, capBurst
		}
		all = append(all, t)
	}
	return all
}

// checkCap checks that no more requests of a tenant with a cap have reached replicas in a
// window than its cap and the settings allow, whatever happened to the VMs, and that the
// others were not refused because of one.
func (c *checker) checkCap() {
	var runs []time.Time
	over := 0
	for _, a := range c.all {
		capped := a.tenant != "" && a.tenant != tenantName(0)
		if a.status == http.StatusTooManyRequests {
			if over++; !capped {
				c.breach("%s: status 429 for %q", a.id, a.tenant)
			}
		}
		if at, ran := c.runs.FirstRunOf(a.id); ran && capped {
			runs = append(runs, at)
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	const limit = (capPerSecond*capWindowSeconds+capBurst)*1.1 + 20
	for first, i := 0, 0; i < len(runs); i++ {
		for runs[i].Sub(runs[first]) >= capWindowSeconds*time.Second {
			first++
		}
		c.mostOfCap = max(c.mostOfCap, float64(i-first+1)/limit)
	}
	if c.mostOfCap > 1 {
		c.breach("requests of a tenant with a cap: %.2f times of what a window allows", c.mostOfCap)
	}
	if c.tenants && over == 0 {
		c.breach("no request was refused because of the cap")
	}
}

// addKey adds the key of a request. A tenant that the caller names must have no effect.
func (a *asked) addKey(h http.Header) {
	if a.tenant == "" {
		return
	}
	key := lastingKey(a.tenant)
	if a.wrongKey {
		key += " but wrong"
	}
	h.Set("Authorization", "Bearer "+key)
	h.Set(platform.Headers.Tenant, "forged")
}

// checkTenant checks for whom a request ran, and how its key was refused.
func (c *checker) checkTenant(a asked) {
	for _, sender := range c.runs.SendersOf(a.id) {
		if sender != a.tenant || a.wrongKey {
			c.breach("%s of %q, with a wrong key: %t: ran for %q", a.id, a.tenant, a.wrongKey, sender)
		}
	}
	refused := []int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}
	switch {
	case a.err != nil:
	case a.wrongKey && a.status != http.StatusUnauthorized && a.status != http.StatusServiceUnavailable:
		c.breach("%s: status %d for a wrong key", a.id, a.status)
	case !a.wrongKey && slices.Contains(refused, a.status):
		c.breach("%s: status %d for a good key", a.id, a.status)
	}
}

// checkRemovedKey checks that a VM, which uses the newest configuration, refuses the key
// that it has removed.
func (s *site) checkRemovedKey(ctx context.Context, v *vm) {
	if !s.hasTenants() {
		return
	}
	status := 0
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		var err error
		if status, err = getStatus(ctx, v, versionPrefix(s.version)+"removed", versionKey(s.version-1)); err == nil && status == http.StatusUnauthorized {
			return
		}
		if status == http.StatusOK {
			break
		}
	}
	s.checker.breach("%s answers %d to a key that version %d has removed", v.Name, status, s.version)
}
