package dispatch

import "github.com/nutmeghitch/nutmeghitch/pkg/model"

// mapKey names a shard map of a document.
type mapKey struct {
	service model.ServiceID
	epoch   uint64
}

// groupIndex finds the groups of one document. It is built once for each
// document and never modified: a batch of 4 items must not look at all 770
// groups of its shard map.
type groupIndex struct {
	doc    *model.Document
	groups map[mapKey]map[model.GroupID]model.Group
}

func newGroupIndex(doc *model.Document) *groupIndex {
	i := &groupIndex{doc: doc, groups: map[mapKey]map[model.GroupID]model.Group{}}
	for name, svc := range doc.Services {
		for _, m := range svc.ShardMaps {
			key := mapKey{name, m.Epoch}
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

// groupIndexOf returns the index of the document in force. Batches that meet a
// new document at the same time may each build it, with the same result.
func (d *Dispatcher) groupIndexOf(doc *model.Document) *groupIndex {
	if i := d.index.Load(); i != nil && i.doc == doc {
		return i
	}
	i := newGroupIndex(doc)
	d.index.Store(i)
	return i
}
