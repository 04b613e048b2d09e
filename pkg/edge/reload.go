package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// applyUpdates applies settings that change while the VM runs, until ctx ends.
func (s *controllerService) applyUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-s.config.SettingsUpdates:
			limitRuntime(next)
			s.clients.setLimits(next)
			s.apply(ctx, next)
		}
	}
}

// apply applies changed bounds and seeds. Changed names and addresses are logged
// and have no effect before a restart.
func (s *controllerService) apply(ctx context.Context, next Settings) {
	before := s.settings.Load()
	fields := logrus.Fields{"vm": next.VM, "bounds_changed": next.Bounds != before.Bounds, "seeds": len(next.Seeds)}
	if restartOnly := next.restartOnlyChanges(*before); len(restartOnly) > 0 {
		fields["needs_restart"] = restartOnly
	}
	s.config.Log.WithField("part", "control").WithFields(fields).Info("settings applied")
	next.keepRestartOnly(*before)
	s.settings.Store(&next)
	s.forwarder.SetBodyStall(next.Bounds.BodyStall)
	if s.quota != nil {
		s.quota.setBounds(next.Bounds.quota())
	}
	s.forwarder.SetTenantBounds(next.Bounds.tenantBounds())
	s.controller.post(ctx, func(time.Time) bool {
		s.controller.state.apply(next)
		return true
	})
}

// restartOnlyChanges describes the values that differ and that only a restart
// can change.
func (s Settings) restartOnlyChanges(before Settings) []string {
	var changed []string
	note := func(differs bool, name string) {
		if differs {
			changed = append(changed, name)
		}
	}
	note(s.VM != before.VM, "name of the VM")
	note(s.Domain != before.Domain, "failure domain")
	note(s.CallersAddr != before.CallersAddr, "address for callers")
	note(s.ReadyAddr != before.ReadyAddr, "address for the balancer")
	note(s.PeersAddr != before.PeersAddr, "address for other VMs")
	note(s.Rollouts != before.Rollouts, "roll-outs in the contracts")
	note(s.StoreAddr != before.StoreAddr, "address of the store")
	note(s.CapsInForce != before.CapsInForce, "contract of caps")
	note(s.TenantsRequired != before.TenantsRequired, "contract of tenants")
	return changed
}

// keepRestartOnly restores the values that only a restart can change.
func (s *Settings) keepRestartOnly(before Settings) {
	s.VM, s.Domain, s.StoreAddr = before.VM, before.Domain, before.StoreAddr
	s.TenantsRequired, s.CapsInForce, s.Rollouts = before.TenantsRequired, before.CapsInForce, before.Rollouts
	s.CallersAddr, s.ReadyAddr, s.PeersAddr = before.CallersAddr, before.ReadyAddr, before.PeersAddr
}
