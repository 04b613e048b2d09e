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
	topicConfig   = "configuration"
	topicReplicas = "replicas"
	topicTakenOut = "domains taken out"
	topicVMs      = "VMs"
	topicCrashes  = "crashes"
)

const (
	// strictWatch bounds the wait of one watch call for configuration and
	// replicas, whose changes must be in force within 3 s; looseWatch that for
	// failure domains, which have 5 s, and reports of crashes; vmWatch that for VMs, whose number only
	// divides budgets.
	strictWatch = 2 * time.Second
	looseWatch  = 3500 * time.Millisecond
	vmWatch     = 20 * time.Second
)

// topics returns the topics of the store.
func (c *control) newTopics(store Store) []anyTopic {
	return []anyTopic{
		&topic[*routes.Table]{
			name: topicConfig, control: c, source: store.Configs(), longest: strictWatch, urgent: true,
			apply: c.applyConfig, absent: keepAbsent, current: c.currentConfig,
		},
		&topic[discovery.Replica]{
			name: topicReplicas, control: c, source: store.Replicas(), longest: strictWatch, urgent: true,
			apply: c.applyReplica, absent: c.absentReplicas, current: c.currentReplicas,
		},
		&topic[string]{
			name: topicTakenOut, control: c, source: store.OutOfServiceDomains(), longest: looseWatch,
			apply: c.applyTakenOut, absent: c.absentTakenOut, current: c.currentTakenOut,
		},
		&topic[discovery.VM]{
			name: topicVMs, control: c, source: store.VMs(), longest: vmWatch,
			apply: c.applyVM, absent: c.absentVMs, current: c.currentVMs,
		},
		&topic[discovery.Crash]{
			name: topicCrashes, control: c, source: store.Crashes(), longest: looseWatch, background: true,
			apply: c.applyCrash, absent: keepAbsent, current: c.currentCrashes,
		},
	}
}

// keepAbsent ignores what a list lacks: the configuration is never removed, and
// reports of crashes end by their terms.
func keepAbsent(time.Time, map[string]bool) bool { return false }

func (c *control) applyConfig(_ time.Time, item storewatch.Item[*routes.Table]) bool {
	if item.Deleted || item.Err != nil || !c.state.setTable(item.Value) {
		return false
	}
	c.state.tableRevision = item.Revision
	c.log.WithFields(logrus.Fields{
		"version": item.Value.Version, "revision": item.Revision, "routes": len(item.Value.Routes), "services": len(item.Value.Services),
	}).Info("configuration in force")
	return true
}

func (c *control) currentConfig(time.Time) []storewatch.Item[*routes.Table] {
	if c.state.table == nil {
		return nil
	}
	return []storewatch.Item[*routes.Table]{{Name: topicConfig, Revision: c.state.tableRevision, Value: c.state.table}}
}

func (c *control) applyReplica(now time.Time, item storewatch.Item[discovery.Replica]) bool {
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

func (c *control) absentReplicas(now time.Time, listed map[string]bool) bool {
	first := !c.state.listed
	c.state.listed = true
	return c.state.registry.Retain(now, listed) || first
}

func (c *control) currentReplicas(now time.Time) []storewatch.Item[discovery.Replica] {
	var items []storewatch.Item[discovery.Replica]
	for _, m := range c.state.registry.Listed() {
		entry := m.Replica
		entry.WarmupLeft = max(0, m.ColdUntil.Sub(now))
		items = append(items, storewatch.Item[discovery.Replica]{Name: m.ID, Revision: m.Revision, Value: entry})
	}
	return items
}

func (c *control) applyTakenOut(_ time.Time, item storewatch.Item[string]) bool {
	return c.takeOut(item.Name, !item.Deleted, item.Revision)
}

func (c *control) absentTakenOut(_ time.Time, listed map[string]bool) bool {
	changed := false
	for _, domain := range c.state.registry.OutOfService() {
		if !listed[domain] {
			changed = c.takeOut(domain, false, 0) || changed
		}
	}
	return changed
}

func (c *control) currentTakenOut(time.Time) []storewatch.Item[string] {
	var items []storewatch.Item[string]
	for _, domain := range c.state.registry.OutOfService() {
		items = append(items, storewatch.Item[string]{Name: domain, Value: domain})
	}
	return items
}

// takeOut takes a failure domain out or back. Its replicas may have become
// cold meanwhile, so each is probed before it is used again.
func (c *control) takeOut(domain string, out bool, revision int64) bool {
	if !c.state.registry.SetOutOfService(domain, out) {
		return false
	}
	c.log.WithFields(logrus.Fields{"domain": domain, "out": out, "revision": revision}).Info("failure domain changed")
	if !out {
		c.state.returned[domain] = true
	}
	return true
}

func (c *control) applyVM(_ time.Time, item storewatch.Item[discovery.VM]) bool {
	if item.Err != nil {
		return false
	}
	old, known := c.state.vms[item.Name]
	if item.Deleted {
		c.forgetVM(item.Name)
	} else {
		c.state.vms[item.Name] = item.Value
	}
	if known != item.Deleted && old == item.Value {
		return false
	}
	c.log.WithFields(logrus.Fields{"vm": item.Name, "domain": item.Value.Domain, "vms": len(c.state.vms), "revision": item.Revision}).Info("VMs changed")
	return true
}

func (c *control) absentVMs(_ time.Time, listed map[string]bool) bool {
	changed := false
	for name := range c.state.vms {
		if !listed[name] {
			c.forgetVM(name)
			changed = true
		}
	}
	return changed
}

// forgetVM drops a VM whose entry is gone. This VM is still there if the entry
// was its own, so it registers again.
func (c *control) forgetVM(name string) {
	delete(c.state.vms, name)
	if name != c.state.settings.VM {
		return
	}
	select {
	case c.unlisted <- struct{}{}:
	default: // it is on its way already
	}
}

func (c *control) currentVMs(time.Time) []storewatch.Item[discovery.VM] {
	var items []storewatch.Item[discovery.VM]
	for name, vm := range c.state.vms {
		items = append(items, storewatch.Item[discovery.VM]{Name: name, Value: vm})
	}
	return items
}
