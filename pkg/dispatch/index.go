package dispatch

import "github.com/nutmeghitch/nutmeghitch/pkg/model"

// shardMapKey identifies a shard map of a configuration document.
type shardMapKey struct {
	service model.ServiceID
	epoch   uint64
}

// groupIndex holds the groups of one configuration document by shard map and ID, so
// that a batch of 4 items does not search all 770 groups of its shard map. It is
// built once for each document and not modified afterwards.
type groupIndex struct {
	doc    *model.Document
	groups map[shardMapKey]map[model.GroupID]model.Group
}

func newGroupIndex(doc *model.Document) *groupIndex {
	i := &groupIndex{doc: doc, groups: map[shardMapKey]map[model.GroupID]model.Group{}}
	for name, svc := range doc.Services {
		for _, m := range svc.ShardMaps {
			key := shardMapKey{name, m.Epoch}
			if i.groups[key] == nil {
				i.groups[key] = make(map[model.GroupID]model.Group, len(m.Groups))
			}
			for _, g := range m.Groups {
				i.groups[key][g.ID] = g
			}
		}
	}
	return i
}

// groupIndexOf returns the index of the document and builds it on the first use.
// Batches that need it at the same time may each build it, with the same result.
func (d *Dispatcher) groupIndexOf(doc *model.Document) *groupIndex {
	if i := d.index.Load(); i != nil && i.doc == doc {
		return i
	}
	i := newGroupIndex(doc)
	d.index.Store(i)
	return i
}
