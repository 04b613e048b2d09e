package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// applyUpdates puts settings in force that change while the VM runs, until ctx ends.
func (s *controllerService) applyUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-s.config.SettingsUpdates:
			limitRuntime(next)
			s.apply(ctx, next)
		}
	}
}

// apply puts the bounds and the seeds in force. Names and addresses hold for the
// life of the process.
func (s *controllerService) apply(ctx context.Context, next Settings) {
	before := s.settings.Load()
	fields := logrus.Fields{"vm": next.VM, "bounds_changed": next.Bounds != before.Bounds, "seeds": len(next.Seeds)}
	if fixed := next.restartOnlyChanges(*before); len(fixed) > 0 {
		fields["needs_restart"] = fixed
	}
	s.config.Log.WithField("part", "control").WithFields(fields).Info("settings in force")
	next.keepRestartOnly(*before)
	s.settings.Store(&next)
	s.controller.post(ctx, func(time.Time) bool {
		s.controller.state.apply(next)
		return true
	})
}

// restartOnlyChanges names the values that differ and that only a restart changes.
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
	note(s.StoreAddr != before.StoreAddr, "address of the store")
	return changed
}

// keepRestartOnly keeps the values that only a restart changes.
func (s *Settings) keepRestartOnly(before Settings) {
	s.VM, s.Domain, s.StoreAddr = before.VM, before.Domain, before.StoreAddr
	s.CallersAddr, s.ReadyAddr, s.PeersAddr = before.CallersAddr, before.ReadyAddr, before.PeersAddr
}
