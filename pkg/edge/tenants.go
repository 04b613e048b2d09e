package edge

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/tenant"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// updateConfigState tells the forwarder and the balancer how current the configuration of
// the view is.
func (c *controller) updateConfigState(now time.Time) {
	at, _ := c.topic(topicConfig).verified()
	state := tenant.State{ConfirmedAt: at, Restored: c.state.configs.restored != nil}
	c.forwarder.SetConfigState(state)
	if c.state.table() == nil || !c.state.table().HasTenants {
		c.readiness.refusesKeys.Store(false)
		return
	}
	check := tenant.Check{Now: now, State: state, Bounds: c.state.settings.Bounds.tenantBounds()}
	c.readiness.refusesKeys.Store(check.RefusesKeys())
	if confirmed := check.Confirmed(); confirmed != c.configConfirmed {
		c.configConfirmed = confirmed
		c.log.WithFields(logrus.Fields{
			"confirmed": confirmed, "version": c.state.table().Version, "ever": !at.IsZero(), "age_ms": now.Sub(at).Milliseconds(),
			"restored": state.Restored, "refuses_keys": check.RefusesKeys(),
		}).Info("configuration is known to be current, or no longer: unknown keys are refused accordingly")
	}
}

// confirmFeed records that the store had confirmed the state of the VM whose feed this one
// gets, and with it that of this VM.
func (c *controller) confirmFeed(verifiedAt time.Time) {
	for _, t := range c.topics {
		if _, urgent := t.verified(); urgent {
			t.confirm(verifiedAt)
		}
	}
}

// lacksTenants reports whether a configuration of another VM must not be used: an older
// build has left out its tenants, so that keys would be passed on to replicas.
func (s *state) lacksTenants(table *routes.Table) bool {
	return table != nil && table.TenantsUnknown && (s.settings.TenantsRequired || (s.table() != nil && s.table().HasTenants))
}

// acceptConfigFeed reports whether a configuration of another VM is used. One that is not
// leaves also the position, from which this VM reads the store itself.
func (c *controller) acceptConfigFeed(batch storewatch.Batch[*routes.Table]) bool {
	for _, item := range batch.Items {
		if c.state.lacksTenants(item.Value) {
			c.log.WithFields(logrus.Fields{"version": item.Value.Version, "revision": item.Revision}).Warn("configuration of another VM not used: its build does not pass tenants on")
			return false
		}
	}
	return true
}

// feedLacksTenants reports whether the state of another VM has a configuration that must
// not be used.
func (s *state) feedLacksTenants(all []wire.FeedTopic) bool {
	for _, t := range all {
		if t.Name != topicConfig {
			continue
		}
		for _, item := range t.Items {
			var table *routes.Table
			if !item.Gone && msgpack.Unmarshal(item.Value, &table) == nil && s.lacksTenants(table) {
				return true
			}
		}
	}
	return false
}
