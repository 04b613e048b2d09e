package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

type settableView struct{ view *model.View }

func (h *settableView) Current() *model.View { return h.view }

func documentWith(shard model.ShardID) *model.Document {
	groups := []model.Group{{ID: "g", Shards: []model.ShardID{shard}}}
	return &model.Document{Services: map[model.ServiceID]*model.Service{
		"search": {Order: []model.OrderKey{{Field: string(shard)}}, ShardMaps: []model.ShardMap{{Epoch: 1, Groups: groups}, {Epoch: 2}}},
	}}
}

// Guards against an index that is built again for each batch, and against one that is
// used for a later configuration. With the shards of an old configuration, each reply
// would fail the check of its shards.
func TestGroupIndexFollowsTheConfiguration(t *testing.T) {
	h := &settableView{view: &model.View{Config: documentWith("s1")}}
	d := New(Config{View: h})
	find := func(service model.ServiceID, epoch uint64) []model.ShardID {
		groups, _ := d.groupsOf(&wire.SearchBatch{Service: service, Snapshot: model.Snapshot{Epoch: epoch}})
		return groups["g"].Shards
	}
	assert.DeepEqual(t, find("search", 1), []model.ShardID{"s1"})
	built := d.index.Load()
	assert.Equal(t, len(find("search", 2)), 0)
	assert.Equal(t, len(find("search", 3)), 0)
	assert.Equal(t, len(find("other", 1)), 0)
	assert.Equal(t, d.index.Load(), built)
	h.view = &model.View{Config: documentWith("s2")}
	assert.DeepEqual(t, find("search", 1), []model.ShardID{"s2"})
	_, order := d.groupsOf(&wire.SearchBatch{Service: "search", Snapshot: model.Snapshot{Epoch: 1}})
	assert.Equal(t, order[0].Field, "s2")
	h.view = &model.View{}
	assert.Equal(t, len(find("search", 1)), 0)
}
