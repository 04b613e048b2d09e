package snapshot

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// The fixed seed makes test runs repeatable; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// shardMap returns a map whose group i has the replicas "<i>-0", "<i>-1" and so on.
func shardMap(epoch uint64, groups, replicas int) model.ShardMap {
	m := model.ShardMap{Epoch: epoch}
	for i := range groups {
		g := model.Group{ID: model.GroupID(fmt.Sprint(i))}
		for j := range replicas {
			g.Replicas = append(g.Replicas, model.Replica{ID: model.ReplicaID(fmt.Sprint(i, "-", j))})
		}
		m.Groups = append(m.Groups, g)
	}
	return m
}

// view returns a view with the service "s" and no observed replicas.
func view(svc *model.Service) *model.View {
	return &model.View{
		Config:   &model.Document{Services: map[model.ServiceID]*model.Service{"s": svc}},
		Replicas: map[model.ReplicaID]model.ReplicaStatus{},
		Excluded: map[model.ReplicaID]string{},
	}
}

// setSnapshots sets the snapshots that a replica holds.
func setSnapshots(v *model.View, r string, s ...model.Snapshot) {
	v.Replicas[model.ReplicaID(r)] = model.ReplicaStatus{Snapshots: s}
}

// Guards against a rollout in which the first replica of each group that holds the
// new version gets all queries.
func TestVersionNeedsHalfOfEachGroup(t *testing.T) {
	svc := &model.Service{ShardMaps: []model.ShardMap{shardMap(1, 2, 3)}}
	v := view(svc)
	old, next := model.Snapshot{Version: 1, Epoch: 1}, model.Snapshot{Version: 2, Epoch: 1}
	for _, r := range []string{"0-0", "0-1", "0-2", "1-0", "1-1", "1-2"} {
		setSnapshots(v, r, old)
	}
	setSnapshots(v, "0-0", next)
	setSnapshots(v, "1-0", next)
	c, _ := Choose(svc, v)
	assert.Equal(t, c.Snapshot, old)
	setSnapshots(v, "0-1", next)
	setSnapshots(v, "1-1", next)
	c, _ = Choose(svc, v)
	assert.Equal(t, c.Snapshot, next)
	// The new version stays chosen if a third replica holds both versions.
	setSnapshots(v, "0-2", old, next)
	c, _ = Choose(svc, v)
	assert.Equal(t, c.Snapshot, next)
}

// Guards against a new version that is chosen before all groups hold it, and
// against a restarted query that gets the snapshot which replicas have dropped.
func TestVersionRollout(t *testing.T) {
	svc := &model.Service{ShardMaps: []model.ShardMap{shardMap(1, 2, 2)}}
	v := view(svc)
	old, next := model.Snapshot{Version: 1, Epoch: 1}, model.Snapshot{Version: 2, Epoch: 1}
	setSnapshots(v, "0-0", old, next)
	setSnapshots(v, "0-1", old, next)
	setSnapshots(v, "1-0", old)
	c, _ := Choose(svc, v)
	assert.Equal(t, c.Snapshot, old)
	setSnapshots(v, "1-1", next)
	c, _ = Choose(svc, v)
	assert.Equal(t, c.Snapshot, next)
	assert.Equal(t, len(c.Groups[1].Holders), 1)
	c, _ = ChooseExcept(svc, v, map[model.Snapshot]bool{next: true})
	assert.Equal(t, c.Snapshot, old)
	_, ok := ChooseExcept(svc, v, map[model.Snapshot]bool{next: true, old: true})
	assert.Assert(t, !ok)
}

// Guards against a choice that counts or names replicas which may not get new work.
func TestUnusableReplicasHoldNothing(t *testing.T) {
	svc := &model.Service{ShardMaps: []model.ShardMap{shardMap(1, 1, 4)}}
	v := view(svc)
	s := model.Snapshot{Version: 1, Epoch: 1}
	for i := range 4 {
		setSnapshots(v, fmt.Sprint("0-", i), s)
	}
	v.Excluded["0-0"] = "domain out"
	v.Replicas["0-1"] = model.ReplicaStatus{Down: true, Snapshots: []model.Snapshot{s}}
	v.Replicas["0-2"] = model.ReplicaStatus{Draining: true, Snapshots: []model.Snapshot{s}}
	c, _ := Choose(svc, v)
	assert.DeepEqual(t, c.Groups[0].Holders, []model.Replica{{ID: "0-3"}})
	v.Excluded["0-3"] = "drained"
	_, ok := Choose(svc, v)
	assert.Assert(t, !ok)
}

// Guards against a loss of coverage while groups are split: the new map has more
// groups than the old one, but one of them has no holder yet.
func TestSplitKeepsFullCoverage(t *testing.T) {
	svc := &model.Service{ShardMaps: []model.ShardMap{shardMap(1, 2, 1), shardMap(2, 4, 1)}}
	v := view(svc)
	before, after := model.Snapshot{Version: 7, Epoch: 1}, model.Snapshot{Version: 7, Epoch: 2}
	setSnapshots(v, "0-0", before, after)
	setSnapshots(v, "1-0", before, after)
	setSnapshots(v, "2-0", after)
	c, _ := Choose(svc, v)
	assert.Equal(t, c.Snapshot, before)
	setSnapshots(v, "3-0", after)
	c, _ = Choose(svc, v)
	assert.Equal(t, c.Snapshot, after)
	assert.Equal(t, c.CoveredGroups, 4)
}

// Guards against a cached choice that is returned for a later View.
func TestCacheFollowsTheView(t *testing.T) {
	svc := &model.Service{ShardMaps: []model.ShardMap{shardMap(1, 1, 1)}}
	var cache Cache
	for version := range uint64(3) {
		v := view(svc)
		setSnapshots(v, "0-0", model.Snapshot{Version: version, Epoch: 1})
		for range 2 {
			c, ok := cache.Choose("s", v)
			assert.Assert(t, ok)
			assert.Equal(t, c.Snapshot.Version, version)
		}
		_, ok := cache.Choose("unknown", v)
		assert.Assert(t, !ok)
	}
}

// Compares the choice with all possible snapshots. Guards against a snapshot with
// less coverage than another or an older one, a wrong count of covered groups, and
// holders that do not hold the snapshot.
func TestModelChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		svc := &model.Service{}
		for epoch := range rapid.IntRange(0, 2).Draw(t, "maps") {
			svc.ShardMaps = append(svc.ShardMaps, shardMap(uint64(epoch), rapid.IntRange(1, 4).Draw(t, "groups"), 3))
		}
		snapshots := rapid.SliceOfDistinct(rapid.Custom(func(t *rapid.T) model.Snapshot {
			return model.Snapshot{Version: rapid.Uint64Range(1, 3).Draw(t, "version"), Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch")}
		}), rapid.ID)
		v := view(svc)
		for i := range 12 {
			id := model.ReplicaID(fmt.Sprint(i/3, "-", i%3))
			v.Replicas[id] = model.ReplicaStatus{
				Snapshots: snapshots.Draw(t, "holds"),
				Down:      rapid.IntRange(0, 4).Draw(t, "down") == 0,
			}
			if rapid.IntRange(0, 4).Draw(t, "excluded") == 0 {
				v.Excluded[id] = "drained"
			}
		}
		dropped := map[model.Snapshot]bool{}
		for _, s := range snapshots.Draw(t, "dropped") {
			dropped[s] = true
		}
		covered := func(m model.ShardMap, s model.Snapshot) (n int) {
			for _, g := range m.Groups {
				for _, r := range g.Replicas {
					if Usable(v, r.ID) && holds(v, r.ID, s) {
						n++
						break
					}
				}
			}
			return n
		}
		halfOfEachGroup := func(m model.ShardMap, s model.Snapshot) bool {
			for _, g := range m.Groups {
				usable, n := 0, 0
				for _, r := range g.Replicas {
					if !Usable(v, r.ID) {
						continue
					}
					usable++
					if holds(v, r.ID, s) {
						n++
					}
				}
				if n > 0 && 2*n < usable {
					return false
				}
			}
			return true
		}
		c, ok := ChooseExcept(svc, v, dropped)
		for _, m := range svc.ShardMaps {
			for version := uint64(1); version <= 3; version++ {
				s := model.Snapshot{Version: version, Epoch: m.Epoch}
				n := covered(m, s)
				if dropped[s] || n == 0 {
					continue
				}
				assert.Assert(t, ok)
				better := func(a model.Snapshot, halfA bool, b model.Snapshot, halfB bool) bool {
					return halfA && !halfB || halfA == halfB && a.Version >= b.Version
				}
				share, chosen := float64(n)/float64(len(m.Groups)), float64(c.CoveredGroups)/float64(len(c.Map.Groups))
				assert.Assert(t, share < chosen || share == chosen && better(c.Snapshot, halfOfEachGroup(*c.Map, c.Snapshot), s, halfOfEachGroup(m, s)), "%v instead of %v", c.Snapshot, s)
			}
		}
		if !ok {
			return
		}
		assert.Assert(t, !dropped[c.Snapshot] && c.Snapshot.Epoch == c.Map.Epoch)
		assert.Equal(t, c.CoveredGroups, covered(*c.Map, c.Snapshot))
		assert.Equal(t, len(c.Groups), len(c.Map.Groups))
		for _, g := range c.Groups {
			for _, r := range g.Holders {
				assert.Assert(t, Usable(v, r.ID) && holds(v, r.ID, c.Snapshot))
			}
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, groups := range []int{15, 100, 770} {
		svc := &model.Service{ShardMaps: []model.ShardMap{shardMap(1, groups, 8)}}
		v := view(svc)
		for i := range groups {
			for j := range 8 {
				setSnapshots(v, fmt.Sprint(i, "-", j), model.Snapshot{Version: 1, Epoch: 1}, model.Snapshot{Version: 2, Epoch: 1})
			}
		}
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Choose(svc, v)
			}
		})
		b.Run(fmt.Sprint(groups, "-cached"), func(b *testing.B) {
			var cache Cache
			b.ReportAllocs()
			for b.Loop() {
				cache.Choose("s", v)
			}
		})
	}
}
