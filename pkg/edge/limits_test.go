package edge

import (
	"context"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

func limitTopic(c *controller) *topic[discovery.RequestLimit] {
	return c.topics[5].(*topic[discovery.RequestLimit])
}

// limitStore is the part of a store that holds request limits, seen by several VMs.
type limitStore struct {
	Store
	mu     sync.Mutex
	limits map[string]discovery.RequestLimit
	writes int
	vms    []*controller
}

func (s *limitStore) ReportRequestLimit(_ context.Context, l discovery.RequestLimit) error {
	s.change(storewatch.Item[discovery.RequestLimit]{Name: l.Replica, Value: l})
	return nil
}

func (s *limitStore) DeleteRequestLimit(_ context.Context, id string) error {
	s.change(storewatch.Item[discovery.RequestLimit]{Name: id, Deleted: true})
	return nil
}

// change makes a change and passes it on to all VMs 30 ms later.
func (s *limitStore) change(item storewatch.Item[discovery.RequestLimit]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	item.Revision = int64(s.writes)
	if item.Deleted {
		delete(s.limits, item.Name)
	} else {
		s.limits[item.Name] = item.Value
	}
	time.AfterFunc(30*time.Millisecond, func() {
		for _, c := range s.vms {
			c.events <- func(now time.Time) bool {
				return limitTopic(c).update(now, storewatch.Batch[discovery.RequestLimit]{Position: storewatch.Position{Revision: item.Revision}, Items: []storewatch.Item[discovery.RequestLimit]{item}}, false)
			}
		}
	})
}

// Guards against a VM that starts, or has had no answer of a replica in need, and
// sends it requests as if it had no limit.
func TestVMWithoutAnAnswerKeepsTheReportedRequestLimit(t *testing.T) {
	limit := replica.RequestLimit{PerSecond: 12, Named: true}
	informed := newTestController(t)
	report := storewatch.Batch[discovery.RequestLimit]{Position: storewatch.Position{Revision: 9}, Items: []storewatch.Item[discovery.RequestLimit]{
		{Name: "a", Revision: 9, Value: discovery.RequestLimit{Replica: "a", Born: 1, PerSecond: 12}},
		{Name: "b", Revision: 9, Value: discovery.RequestLimit{Replica: "b", Born: 0, PerSecond: 12}},
	}}
	var snapshot wire.FeedTopic
	for _, c := range []*controller{informed, newTestController(t)} {
		configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
		replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3), replicaItem("b", 4)), true)
		if c == informed {
			c.publish(start)
			limitTopic(c).update(start, report, false)
			var err error
			snapshot, err = limitTopic(c).snapshot(start)
			assert.NilError(t, err)
		} else {
			c.applyFeed(start, []wire.FeedTopic{snapshot}, start)
		}
		upstreams := c.state.view(start).ReplicaSets["s"].Upstreams
		assert.Equal(t, upstreams[0].Tracker.RequestLimit(), limit)
		assert.Equal(t, upstreams[1].Tracker.RequestLimit(), replica.RequestLimit{}, "an earlier process of the replica was meant")
		limitTopic(c).update(start.Add(2*time.Second), storewatch.Batch[discovery.RequestLimit]{Position: storewatch.Position{Revision: 10}}, true)
		assert.Equal(t, upstreams[0].Tracker.RequestLimit(), replica.RequestLimit{}, "the report was withdrawn")
	}
}

// Guards against a report that outweighs what the replica itself has just answered.
func TestOwnAnswerOutweighsAnOlderReport(t *testing.T) {
	tr := replica.NewTracker(true, 1)
	own := replica.RequestLimit{PerSecond: 5, Named: true}
	tr.RecordRequestLimit(start, start, own)
	assert.Assert(t, !tr.ShareRequestLimit(start.Add(100*time.Millisecond), replica.RequestLimit{}))
	assert.Equal(t, tr.RequestLimit(), own)
	assert.Assert(t, tr.ShareRequestLimit(start.Add(2*time.Second), replica.RequestLimit{}))
	assert.Equal(t, tr.RequestLimit(), replica.RequestLimit{})
}

// Guards against as many writes to the store as VMs, and against a report that stays
// when the limit has ended.
func TestOneVMReportsARequestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 30
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := &limitStore{limits: map[string]discovery.RequestLimit{}}
		ctx, cancel := context.WithCancel(t.Context())
		names := map[string]discovery.VM{}
		written := func() int {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.writes
		}
		for i := range vms {
			name := string(rune('A' + i))
			names[name] = testVM(name)
		}
		var upstreams []*forward.Upstream
		var reporters []*limitReporter
		for name := range names {
			c := newTestController(t)
			c.state.settings.VM = name
			c.state.vms = maps.Clone(names)
			configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
			replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3)), true)
			c.publish(start)
			store.vms = append(store.vms, c)
			upstreams = append(upstreams, c.state.view(start).ReplicaSets["s"].Upstreams[0])
			reporters = append(reporters, newLimitReporter(c, store, log))
			go func() { _ = c.run(ctx) }() // ends with ctx
			go reporters[len(reporters)-1].run(ctx)
		}
		changed := func(limit replica.RequestLimit) {
			for i, u := range upstreams[:vms/2] {
				u.Tracker.RecordRequestLimit(time.Now(), time.Now(), limit)
				reporters[i].report(u)
			}
			time.Sleep(3 * time.Second)
			synctest.Wait()
		}
		changed(replica.RequestLimit{PerSecond: 8, Named: true})
		assert.Equal(t, store.limits["a"], discovery.RequestLimit{Replica: "a", Born: 1, PerSecond: 8})
		before := written()
		assert.Assert(t, before <= 3, "%d writes", before)
		for _, u := range upstreams {
			assert.Assert(t, u.Tracker.RequestLimit().Named)
		}
		changed(replica.RequestLimit{})
		assert.Equal(t, len(store.limits), 0)
		assert.Assert(t, written()-before <= 3, "%d writes", written()-before)
		for _, u := range upstreams {
			assert.Assert(t, !u.Tracker.RequestLimit().Named)
		}
		cancel()
		synctest.Wait()
	})
}
