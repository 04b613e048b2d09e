// Package edge runs one VM of the tier in front of replicas that register
// themselves in the platform's store: it watches the store, maintains the
// configuration and the set of usable replicas, and serves callers.
package edge

import (
	"strings"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/quota"
	"github.com/nutmeghitch/nutmeghitch/pkg/tenant"
)

// Settings are the settings of one VM, from the platform's settings file.
type Settings struct {
	// VM and Domain name this VM and its failure domain.
	VM, Domain string
	// CallersAddr serves callers, ReadyAddr answers the load balancer's health
	// checks, and PeersAddr accepts other VMs that subscribe to the change feed.
	CallersAddr, ReadyAddr, PeersAddr string
	// StoreAddr is the address of the platform's object store.
	StoreAddr string
	// Seeds are the peer addresses of some VMs. They may be out of date.
	Seeds []string

	// CapsInForce is set where the caps of tenants are in force.
	CapsInForce bool

	// Cores, MemoryBytes and Descriptors are the resources of the VM. A memory size or a
	// number of descriptors of 0 means no limit.
	Cores       int
	MemoryBytes int64
	Descriptors int
	Bounds      Bounds
	// TenantsRequired is set where tenants are in force: the configuration of a VM whose
	// build does not pass tenants on is not used.
	TenantsRequired bool
	// Rollouts is set if versions of services are replaced by orders only.
	Rollouts bool
}

// Bounds are limits set by the operators that apply to all VMs together.
type Bounds struct {
	// StopGrace is the time between the request to stop and the kill.
	StopGrace time.Duration
	// BodyStall is the longest time without a byte of the body of a caller's request; 0
	// stands for forward.DefaultBodyStall.
	BodyStall time.Duration
	// RetryRatio and RetrySlack limit the sends beyond the first of each
	// request: in any window, at most RetryRatio of the requests plus RetrySlack
	// sends. A token bucket that holds RetrySlack tokens and gains RetryRatio per
	// request keeps this limit in a window of any length.
	RetryRatio float64
	// RetryWindow is the length of that window. If it is 0, the bound is kept by a token
	// bucket.
	RetryWindow time.Duration
	RetrySlack  float64
	// A cold replica gets in any second at most its warm-up rate times
	// ColdRateFactor plus ColdSlackPerSecond requests.
	ColdRateFactor, ColdSlackPerSecond float64
	// ConfigApply is the time after which a configuration must be in force, and Contact
	// that after which a VM without contact counts as out of touch. 0 stands for
	// defaultApply.
	ConfigApply, Contact time.Duration
	// StrictRevoke makes a VM that is out of touch for Revoke refuse all requests that
	// need a key. A Revoke of 0 stands for defaultApply.
	StrictRevoke bool
	Revoke       time.Duration
	// Between order and deadline, all VMs together send a bad version at most CanaryShare
	// of the requests to its service plus CanarySlack, and none later than Rollback after
	// its 50th bad answer.
	CanaryShare, CanarySlack float64
	Rollback                 time.Duration
	// In any QuotaWindow, all VMs together send replicas at most QuotaOverage more
	// requests of a tenant than its cap, plus QuotaSlack. A window of 0 stands for 5 s.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
}

// quota returns the bounds on caps.
func (b Bounds) quota() quota.Bounds {
	return quota.Bounds{Window: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

// defaultApply is the bound of the platform where the settings name none.
const defaultApply = 5 * time.Second

// tenantBounds returns the bounds by which keys are accepted.
func (b Bounds) tenantBounds() tenant.Bounds {
	orDefault := func(d time.Duration) time.Duration {
		if d > 0 {
			return d
		}
		return defaultApply
	}
	return tenant.Bounds{
		Apply:        min(orDefault(b.ConfigApply), orDefault(b.Contact)),
		StrictRevoke: b.StrictRevoke, Revoke: orDefault(b.Revoke),
	}
}

// Validate reports all missing or invalid values in one error.
func (s Settings) Validate() error {
	var problems []string
	check := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, problem)
		}
	}
	check(s.VM != "", "the name of the VM is missing")
	check(s.Domain != "", "the failure domain is missing")
	check(s.CallersAddr != "", "the address for callers is missing")
	check(s.ReadyAddr != "", "the address for the balancer is missing")
	check(s.StoreAddr != "", "the address of the store is missing")
	check(s.MemoryBytes >= 0, "the memory limit is negative")
	check(s.Descriptors >= 0, "the limit of descriptors is negative")
	check(s.Bounds.StopGrace >= 0, "the grace time is negative")
	check(s.Bounds.BodyStall >= 0, "the time without a byte of a body is negative")
	check(s.Bounds.ConfigApply >= 0 && s.Bounds.Contact >= 0 && s.Bounds.Revoke >= 0, "a time bound of the configuration is negative")
	check(s.Bounds.CanaryShare >= 0 && s.Bounds.CanaryShare <= 1 && s.Bounds.CanarySlack >= 0 && s.Bounds.Rollback >= 0, "a bound of roll-outs is negative, or their share above 1")
	check(s.Bounds.RetryRatio >= 0 && s.Bounds.RetrySlack >= 0, "the retry budget is negative")
	check(s.Bounds.QuotaWindow >= 0 && s.Bounds.QuotaOverage >= 0 && s.Bounds.QuotaSlack >= 0, "a bound of the caps is negative")
	if len(problems) == 0 {
		return nil
	}
	return errs.Refuse(errs.SettingsInvalid, "%s", strings.Join(problems, "; "))
}
