package testcluster

import (
	"context"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// keepMap remembers a shard map, so that answers computed on an epoch that has
// been replaced meanwhile can still be checked.
func (c *Cluster) keepMap(name model.ServiceID, m *model.ShardMap) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maps[name] == nil {
		c.maps[name] = make(map[uint64]*model.ShardMap)
	}
	kept := *m
	c.maps[name][m.Epoch] = &kept
}

// ShardMap returns a shard map that was published at any time, or nil.
func (c *Cluster) ShardMap(name model.ServiceID, epoch uint64) *model.ShardMap {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maps[name][epoch]
}

// Edit changes the operators' overrides and returns the version in which the
// change was accepted.
func (c *Cluster) Edit(ctx context.Context, edit func(*model.Overrides) error) (uint64, error) {
	return config.EditOverrides(ctx, c.Store(), edit)
}

// Publish edits the newest document and publishes it once. It fails when
// another operator published meanwhile. Shard maps that the edit adds are
// remembered for the check of answers.
func (c *Cluster) Publish(ctx context.Context, edit func(*model.Document) error) (uint64, error) {
	store := c.Store()
	d, manifest, err := config.Fetch(ctx, store)
	if err != nil {
		return 0, err
	}
	if err := edit(d); err != nil {
		return 0, err
	}
	for name, svc := range d.Services {
		for i := range svc.ShardMaps {
			c.keepMap(name, &svc.ShardMaps[i])
		}
	}
	return config.Publish(ctx, store, d, manifest.Version)
}

// StartReplicas starts the upstreams of a shard map that do not run yet and
// sets the addresses of all its replicas. They hold only the given version.
func (c *Cluster) StartReplicas(name model.ServiceID, svc *model.Service, m *model.ShardMap, version uint64) error {
	for gi := range m.Groups {
		if err := c.startGroup(name, svc, m, &m.Groups[gi], version); err != nil {
			return err
		}
	}
	return nil
}

// Placed is a replica with the group and the shard map that it belongs to.
type Placed struct {
	Service model.ServiceID
	Map     *model.ShardMap
	Group   *model.Group
	Replica model.Replica
}

// Placed returns the replicas of the shard maps with the given epoch, in the
// order of the document. Kind selects the services.
func (c *Cluster) Placed(kind model.ServiceKind, epoch uint64) []Placed {
	var out []Placed
	for _, name := range sortedServices(c.Document) {
		m := c.ShardMap(name, epoch)
		if m == nil || c.Document.Services[name].Kind != kind {
			continue
		}
		for gi := range m.Groups {
			g := &m.Groups[gi]
			for _, r := range g.Replicas {
				out = append(out, Placed{Service: name, Map: m, Group: g, Replica: r})
			}
		}
	}
	return out
}
