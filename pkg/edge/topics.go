package edge

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

// Names of the topics. They are part of the protocol between VMs.
const (
	topicConfig       = "configuration"
	topicReplicas     = "replicas"
	topicOutOfService = "domains taken out"
	topicVMs          = "VMs"
	topicCrashes      = "crashes"
	topicLimits       = "request limits"
)

const (
	// urgentWatchWait limits how long one watch call waits for changes of the
	// configuration and of replicas, which must take effect within 3 s.
	// defaultWatchWait is the limit for failure domains, which have 5 s, and crash
	// reports. longWatchWait is the limit for VMs, whose number only divides budgets,
	// and for request limits, which the answers of replicas show as well.
	urgentWatchWait  = 2 * time.Second
	defaultWatchWait = 3500 * time.Millisecond
	longWatchWait    = 20 * time.Second
)

// newTopics returns the topics of the objects in the store.
func (c *controller) newTopics(store Store) []anyTopic {
	return []anyTopic{
		&topic[*routes.Table]{
			name: topicConfig, controller: c, source: store.Configs(), maxWatchWait: urgentWatchWait, urgent: true,
			apply: c.applyConfig, currentItems: c.currentConfig,
			startEra: c.startConfigEra, snapshotAt: c.configPosition, acceptFeed: c.acceptConfigFeed, single: true,
		},
		&topic[discovery.Replica]{
			name: topicReplicas, controller: c, source: store.Replicas(), maxWatchWait: urgentWatchWait, urgent: true,
			apply: c.applyReplica, removeAbsent: c.removeAbsentReplicas, currentItems: c.currentReplicas,
			startEra: func(now time.Time, _ int64) { c.state.registry.StartEra(now) },
		},
		&topic[string]{
			name: topicOutOfService, controller: c, source: store.OutOfServiceDomains(), maxWatchWait: defaultWatchWait,
			apply: c.applyOutOfService, removeAbsent: c.removeAbsentOutOfService, currentItems: c.currentOutOfService,
		},
		&topic[discovery.VM]{
			name: topicVMs, controller: c, source: store.VMs(), maxWatchWait: longWatchWait,
			apply: c.applyVM, removeAbsent: c.removeAbsentVMs, currentItems: c.currentVMs, lost: c.registerLostVM,
		},
		&topic[discovery.Crash]{
			name: topicCrashes, controller: c, source: store.Crashes(), maxWatchWait: defaultWatchWait, background: true,
			apply: c.applyCrash, currentItems: c.currentCrashes, lost: c.reportLostCrashes,
		},
		&topic[discovery.RequestLimit]{
			name: topicLimits, controller: c, source: store.RequestLimits(), maxWatchWait: longWatchWait, background: true,
			apply: c.applyLimit, removeAbsent: c.removeAbsentLimits, currentItems: c.currentLimits, lost: c.reportLostLimits,
		},
	}
}

// topic returns the topic with the name.
func (c *controller) topic(name string) anyTopic {
	i := slices.IndexFunc(c.topics, func(t anyTopic) bool { return t.topicName() == name })
	return c.topics[i]
}

// applyConfig replaces the configuration if the object holds a higher version. In a
// new era of the store, a lower one is the older copy's, and is not in force unless the
// operators leave it there.
func (c *controller) applyConfig(now time.Time, item storewatch.Item[*routes.Table]) bool {
	if item.Deleted || item.Err != nil {
		return false
	}
	taken := c.state.configs.offer(now, configEntry{table: item.Value, at: storewatch.Position{Era: c.state.configEra, Revision: item.Revision}})
	if taken {
		c.logConfig("configuration applied")
	} else if c.state.configs.restored != nil && c.state.configs.restored.table == item.Value {
		c.log.WithFields(logrus.Fields{"version": item.Value.Version, "known_version": c.state.configs.current.table.Version, "era": c.state.configEra}).Warn("restored configuration is older than the known one: waiting for the operators")
	}
	return taken
}

func (c *controller) logConfig(message string) {
	e := c.state.configs.current
	fields := logrus.Fields{
		"version": e.table.Version, "era": e.at.Era, "revision": e.at.Revision, "routes": len(e.table.Routes), "services": len(e.table.Services),
	}
	if e.table.HasTenants {
		fields["tenants"] = len(e.table.Tenants)
	}
	c.log.WithFields(fields).Info(message)
}

// startConfigEra records the era of the configurations that follow.
func (c *controller) startConfigEra(_ time.Time, era int64) { c.state.configEra = era }

// configPosition returns the position of the configuration in force.
func (c *controller) configPosition() storewatch.Position {
	if c.state.configs.restored != nil {
		return c.state.configs.current.at
	}
	return c.topic(topicConfig).position()
}

// takeRestoredConfig applies the older configuration of a restored store if operators
// have left it there. It reports whether the view changes.
func (c *controller) takeRestoredConfig(now time.Time) bool {
	if !c.state.configs.takeRestored(now) {
		return false
	}
	c.logConfig("older configuration of the restored store applied: it was not written again")
	c.snapshots = nil
	c.topic(topicConfig).publishAll(now)
	return true
}

// currentConfig returns the current configuration as one object.
func (c *controller) currentConfig(time.Time) []storewatch.Item[*routes.Table] {
	e := c.state.configs.current
	if e == nil {
		return nil
	}
	return []storewatch.Item[*routes.Table]{{Name: topicConfig, Revision: e.at.Revision, Value: e.table}}
}

// applyReplica adds, changes or removes a replica. An entry that cannot be
// decoded removes it.
func (c *controller) applyReplica(now time.Time, item storewatch.Item[discovery.Replica]) bool {
	if item.Deleted || item.Err != nil {
		removed := c.state.registry.Remove(now, item.Name, item.Revision)
		c.log.WithFields(logrus.Fields{"replica": item.Name, "revision": item.Revision, "removed": removed}).Info("replica entry deleted or unreadable")
		if removed {
			c.prober.entryLapsed(item.Name)
		}
		return removed
	}
	if item.Value.Draining {
		c.log.WithFields(logrus.Fields{"replica": item.Name, "service": item.Value.Service, "revision": item.Revision}).Info("replica is draining")
	}
	changed := c.state.registry.Put(now, item.Value, item.Revision)
	if changed {
		c.prober.replicaStarted(item.Value)
	}
	return changed
}

// removeAbsentReplicas removes the replicas that a complete list does not name.
// The first list changes the view even if it is empty, because it makes the VM
// ready.
func (c *controller) removeAbsentReplicas(now time.Time, listed map[string]bool) bool {
	first := !c.state.replicasListed
	c.state.replicasListed = true
	return c.state.registry.Retain(now, listed) || first
}

// currentReplicas returns the replicas that the store lists, with the remaining
// part of their warm-up time.
func (c *controller) currentReplicas(now time.Time) []storewatch.Item[discovery.Replica] {
	var items []storewatch.Item[discovery.Replica]
	for _, m := range c.state.registry.Listed() {
		entry := m.Replica
		entry.WarmupLeft = max(0, m.ColdUntil.Sub(now))
		items = append(items, storewatch.Item[discovery.Replica]{Name: m.ID, Revision: m.Revision, Value: entry})
	}
	return items
}

// applyOutOfService takes a failure domain out of service if its object exists,
// and puts it back if the object was deleted.
func (c *controller) applyOutOfService(_ time.Time, item storewatch.Item[string]) bool {
	return c.setOutOfService(item.Name, !item.Deleted, item.Revision)
}

// removeAbsentOutOfService puts the failure domains back into service that a
// complete list does not name.
func (c *controller) removeAbsentOutOfService(_ time.Time, listed map[string]bool) bool {
	changed := false
	for _, domain := range c.state.registry.OutOfService() {
		if !listed[domain] {
			changed = c.setOutOfService(domain, false, 0) || changed
		}
	}
	return changed
}

// currentOutOfService returns the failure domains that are out of service.
func (c *controller) currentOutOfService(time.Time) []storewatch.Item[string] {
	var items []storewatch.Item[string]
	for _, domain := range c.state.registry.OutOfService() {
		items = append(items, storewatch.Item[string]{Name: domain, Value: domain})
	}
	return items
}

// setOutOfService takes a failure domain out of service or puts it back.
// Replicas may have become cold while out of service, so each is probed before
// it gets requests again.
func (c *controller) setOutOfService(domain string, out bool, revision int64) bool {
	if !c.state.registry.SetOutOfService(domain, out) {
		return false
	}
	c.log.WithFields(logrus.Fields{"domain": domain, "out": out, "revision": revision}).Info("failure domain taken out of service or put back")
	if !out {
		c.state.restoredDomains[domain] = true
	}
	return true
}

// applyVM adds, changes or removes the entry of a VM.
func (c *controller) applyVM(_ time.Time, item storewatch.Item[discovery.VM]) bool {
	if item.Err != nil {
		return false
	}
	old, known := c.state.vms[item.Name]
	if item.Deleted {
		c.removeVM(item.Name)
	} else {
		c.state.vms[item.Name] = item.Value
	}
	if known != item.Deleted && old == item.Value {
		return false
	}
	c.log.WithFields(logrus.Fields{"vm": item.Name, "domain": item.Value.Domain, "vms": len(c.state.vms), "revision": item.Revision}).Info("VM entry changed")
	return true
}

// removeAbsentVMs removes the VMs that a complete list does not name.
func (c *controller) removeAbsentVMs(_ time.Time, listed map[string]bool) bool {
	changed := false
	for name := range c.state.vms {
		if !listed[name] {
			c.removeVM(name)
			changed = true
		}
	}
	return changed
}

// registerLostVM makes this VM register again if the store has lost its entry. The
// entries of the others are kept until they had time to do so.
func (c *controller) registerLostVM(_ time.Time, lost []storewatch.Item[discovery.VM]) {
	for _, item := range lost {
		if item.Name == c.state.settings.VM {
			c.removeVM(item.Name)
		}
	}
}

// removeVM removes a VM whose entry was deleted. If the entry is that of this
// VM, which still runs, it makes the VM register again.
func (c *controller) removeVM(name string) {
	delete(c.state.vms, name)
	if name != c.state.settings.VM {
		return
	}
	select {
	case c.ownEntryRemoved <- struct{}{}:
	default: // a signal is already pending
	}
}

// currentVMs returns the entries of the known VMs.
func (c *controller) currentVMs(time.Time) []storewatch.Item[discovery.VM] {
	var items []storewatch.Item[discovery.VM]
	for name, vm := range c.state.vms {
		items = append(items, storewatch.Item[discovery.VM]{Name: name, Value: vm})
	}
	return items
}
