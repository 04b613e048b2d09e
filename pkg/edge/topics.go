package edge

import (
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
)

const (
	// urgentWatchWait bounds the wait of one watch call for configuration and
	// replicas, whose changes must be in force within 3 s; looseWatch that for
	// failure domains, which have 5 s, and reports of crashes; vmWatch that for VMs, whose number only
	// divides budgets.
	urgentWatchWait  = 2 * time.Second
	defaultWatchWait = 3500 * time.Millisecond
	vmWatchWait      = 20 * time.Second
)

// topics returns the topics of the store.
func (c *controller) newTopics(store Store) []anyTopic {
	return []anyTopic{
		&topic[*routes.Table]{
			name: topicConfig, controller: c, source: store.Configs(), maxWatchWait: urgentWatchWait, urgent: true,
			apply: c.applyConfig, removeAbsent: ignoreAbsent, currentItems: c.currentConfig,
		},
		&topic[discovery.Replica]{
			name: topicReplicas, controller: c, source: store.Replicas(), maxWatchWait: urgentWatchWait, urgent: true,
			apply: c.applyReplica, removeAbsent: c.removeAbsentReplicas, currentItems: c.currentReplicas,
		},
		&topic[string]{
			name: topicOutOfService, controller: c, source: store.OutOfServiceDomains(), maxWatchWait: defaultWatchWait,
			apply: c.applyOutOfService, removeAbsent: c.removeAbsentOutOfService, currentItems: c.currentOutOfService,
		},
		&topic[discovery.VM]{
			name: topicVMs, controller: c, source: store.VMs(), maxWatchWait: vmWatchWait,
			apply: c.applyVM, removeAbsent: c.removeAbsentVMs, currentItems: c.currentVMs,
		},
		&topic[discovery.Crash]{
			name: topicCrashes, controller: c, source: store.Crashes(), maxWatchWait: defaultWatchWait, background: true,
			apply: c.applyCrash, removeAbsent: ignoreAbsent, currentItems: c.currentCrashes,
		},
	}
}

// ignoreAbsent ignores what a list lacks: the configuration is never removed, and
// reports of crashes end by their terms.
func ignoreAbsent(time.Time, map[string]bool) bool { return false }

func (c *controller) applyConfig(_ time.Time, item storewatch.Item[*routes.Table]) bool {
	if item.Deleted || item.Err != nil || !c.state.setTable(item.Value) {
		return false
	}
	c.state.tableRevision = item.Revision
	c.log.WithFields(logrus.Fields{
		"version": item.Value.Version, "revision": item.Revision, "routes": len(item.Value.Routes), "services": len(item.Value.Services),
	}).Info("configuration in force")
	return true
}

func (c *controller) currentConfig(time.Time) []storewatch.Item[*routes.Table] {
	if c.state.table == nil {
		return nil
	}
	return []storewatch.Item[*routes.Table]{{Name: topicConfig, Revision: c.state.tableRevision, Value: c.state.table}}
}

func (c *controller) applyReplica(now time.Time, item storewatch.Item[discovery.Replica]) bool {
	if item.Deleted || item.Err != nil {
		removed := c.state.registry.Remove(now, item.Name, item.Revision)
		c.log.WithFields(logrus.Fields{"replica": item.Name, "revision": item.Revision, "removed": removed}).Info("replica entry gone")
		return removed
	}
	if item.Value.Draining {
		c.log.WithFields(logrus.Fields{"replica": item.Name, "service": item.Value.Service, "revision": item.Revision}).Info("replica drains")
	}
	return c.state.registry.Put(now, item.Value, item.Revision)
}

func (c *controller) removeAbsentReplicas(now time.Time, listed map[string]bool) bool {
	first := !c.state.replicasListed
	c.state.replicasListed = true
	return c.state.registry.Retain(now, listed) || first
}

func (c *controller) currentReplicas(now time.Time) []storewatch.Item[discovery.Replica] {
	var items []storewatch.Item[discovery.Replica]
	for _, m := range c.state.registry.Listed() {
		entry := m.Replica
		entry.WarmupLeft = max(0, m.ColdUntil.Sub(now))
		items = append(items, storewatch.Item[discovery.Replica]{Name: m.ID, Revision: m.Revision, Value: entry})
	}
	return items
}

func (c *controller) applyOutOfService(_ time.Time, item storewatch.Item[string]) bool {
	return c.setOutOfService(item.Name, !item.Deleted, item.Revision)
}

func (c *controller) removeAbsentOutOfService(_ time.Time, listed map[string]bool) bool {
	changed := false
	for _, domain := range c.state.registry.OutOfService() {
		if !listed[domain] {
			changed = c.setOutOfService(domain, false, 0) || changed
		}
	}
	return changed
}

func (c *controller) currentOutOfService(time.Time) []storewatch.Item[string] {
	var items []storewatch.Item[string]
	for _, domain := range c.state.registry.OutOfService() {
		items = append(items, storewatch.Item[string]{Name: domain, Value: domain})
	}
	return items
}

// setOutOfService takes a failure domain out or back. Its replicas may have become
// cold meanwhile, so each is probed before it is used again.
func (c *controller) setOutOfService(domain string, out bool, revision int64) bool {
	if !c.state.registry.SetOutOfService(domain, out) {
		return false
	}
	c.log.WithFields(logrus.Fields{"domain": domain, "out": out, "revision": revision}).Info("failure domain changed")
	if !out {
		c.state.restoredDomains[domain] = true
	}
	return true
}

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
	c.log.WithFields(logrus.Fields{"vm": item.Name, "domain": item.Value.Domain, "vms": len(c.state.vms), "revision": item.Revision}).Info("VMs changed")
	return true
}

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

// removeVM drops a VM whose entry is gone. This VM is still there if the entry
// was its own, so it registers again.
func (c *controller) removeVM(name string) {
	delete(c.state.vms, name)
	if name != c.state.settings.VM {
		return
	}
	select {
	case c.ownEntryRemoved <- struct{}{}:
	default: // it is on its way already
	}
}

func (c *controller) currentVMs(time.Time) []storewatch.Item[discovery.VM] {
	var items []storewatch.Item[discovery.VM]
	for name, vm := range c.state.vms {
		items = append(items, storewatch.Item[discovery.VM]{Name: name, Value: vm})
	}
	return items
}
