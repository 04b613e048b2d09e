package edge

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

var start = time.Unix(1000, 0)

// testStore has no objects; the tests update the topics directly.
type testStore struct{ Store }

func (testStore) Configs() storewatch.Source[*routes.Table]                { return nil }
func (testStore) Replicas() storewatch.Source[discovery.Replica]           { return nil }
func (testStore) OutOfServiceDomains() storewatch.Source[string]           { return nil }
func (testStore) Crashes() storewatch.Source[discovery.Crash]              { return nil }
func (testStore) RequestLimits() storewatch.Source[discovery.RequestLimit] { return nil }
func (testStore) VMs() storewatch.Source[discovery.VM]                     { return nil }

func newTestController(t *testing.T) *controller {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := newState(Settings{
		VM: "vm1", Domain: "d1",
		Bounds: Bounds{RetryRatio: 0.2, RetrySlack: 50, ColdRateFactor: 1.5, ColdSlackPerSecond: 5},
	}, log, (&net.Dialer{}).DialContext)
	p := newProber(testHeaders, log)
	p.start(t.Context(), func(*forward.Upstream, time.Duration) {})
	ledger := newCrashLedger()
	f := forward.New(forward.Config{Headers: testHeaders, Observer: p, Ledger: ledger, Memory: exchange.NewMemory(0), Bodies: exchange.NewMemory(0), Log: log, Scope: tally.NoopScope, Buckets: tally.DefaultBuckets})
	return newController(s, f, p, newReadiness(), ledger, testStore{}, log)
}

func configTopic(c *controller) *topic[*routes.Table] { return c.topics[0].(*topic[*routes.Table]) }
func replicaTopic(c *controller) *topic[discovery.Replica] {
	return c.topics[1].(*topic[discovery.Replica])
}
func outOfServiceTopic(c *controller) *topic[string] { return c.topics[2].(*topic[string]) }
func vmTopic(c *controller) *topic[discovery.VM]     { return c.topics[3].(*topic[discovery.VM]) }

func testTable(t *testing.T, version uint64) *routes.Table {
	t.Helper()
	table, err := routes.NewTable(version, routes.Limits{BodyBytes: 10},
		[]*routes.Route{{Name: "r", Host: "h", Prefix: "/", Services: []routes.Weighted{{Service: "s", Weight: 1}}}},
		[]*routes.Service{{Name: "s", MaxConns: 30, WarmupPerSecond: 10}})
	assert.NilError(t, err)
	return table
}

func configBatch(table *routes.Table, revision int64) storewatch.Batch[*routes.Table] {
	return storewatch.Batch[*routes.Table]{Position: storewatch.Position{Revision: revision}, Items: []storewatch.Item[*routes.Table]{{Name: "main", Revision: revision, Value: table}}}
}

func replicaItem(id string, revision int64) storewatch.Item[discovery.Replica] {
	return storewatch.Item[discovery.Replica]{Name: id, Revision: revision, Value: discovery.Replica{
		ID: id, Service: "s", Addr: id + ":1", Domain: "d1", Slots: 2, Born: 1,
	}}
}

func replicaBatch(revision int64, items ...storewatch.Item[discovery.Replica]) storewatch.Batch[discovery.Replica] {
	return storewatch.Batch[discovery.Replica]{Position: storewatch.Position{Revision: revision}, Items: items}
}

func testVM(name string) discovery.VM { return discovery.VM{Name: name, Domain: "d2"} }

func usableReplicas(c *controller) int {
	return len(c.state.view(start).ReplicaSets["s"].Upstreams)
}

// Guards against a configuration that is replaced by an older one from a stale
// list, a feed that lags behind, or a repeated event.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	c := newTestController(t)
	configs := configTopic(c)
	assert.Assert(t, configs.update(start, configBatch(testTable(t, 5), 50), true))
	assert.Assert(t, !configs.update(start, configBatch(testTable(t, 4), 60), false))
	assert.Assert(t, !configs.update(start, configBatch(testTable(t, 9), 40), true))
	assert.Equal(t, c.state.table().Version, uint64(5))
	assert.Assert(t, configs.update(start, configBatch(testTable(t, 6), 61), false))
	assert.Equal(t, c.state.table().Version, uint64(6))
}

// Guards against a feed that lags behind and reverts changes that this VM knows
// from the store.
func TestOlderFeedChangesNothing(t *testing.T) {
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	known := replicaTopic(c)
	known.update(start, replicaBatch(10, replicaItem("a", 3), replicaItem("b", 9)), true)
	known.update(start, replicaBatch(20, storewatch.Item[discovery.Replica]{Name: "a", Revision: 20, Deleted: true}), false)
	assert.Equal(t, usableReplicas(c), 1)

	other := newTestController(t)
	replicaTopic(other).update(start, replicaBatch(5, replicaItem("a", 3)), true)
	lagging, err := replicaTopic(other).snapshot(start)
	assert.NilError(t, err)
	assert.Assert(t, !known.applyFeed(start, lagging, start))
	assert.Equal(t, usableReplicas(c), 1)
	newer := replicaBatch(21, replicaItem("c", 21))
	assert.Assert(t, known.update(start, newer, false))
	assert.Equal(t, usableReplicas(c), 2)
}

// Guards against a subscriber whose state differs from that of its sender in any
// topic.
func TestSnapshotContainsAllTopics(t *testing.T) {
	from, to := newTestController(t), newTestController(t)
	configTopic(from).update(start, configBatch(testTable(t, 7), 7), true)
	replicaTopic(from).update(start, replicaBatch(8, replicaItem("a", 3), replicaItem("b", 8)), true)
	outOfServiceTopic(from).update(start, storewatch.Batch[string]{Position: storewatch.Position{Revision: 9}, Items: []storewatch.Item[string]{{Name: "d9", Revision: 9, Value: "d9"}}}, true)
	vm := discovery.VM{Name: "vm2", PeerAddr: "x", Domain: "d2"}
	vmTopic(from).update(start, storewatch.Batch[discovery.VM]{Position: storewatch.Position{Revision: 10}, Items: []storewatch.Item[discovery.VM]{{Name: "vm2", Revision: 10, Value: vm}}}, true)
	crash := discovery.Crash{Fingerprint: 7, Attempt: "a", At: start}
	from.topics[4].(*topic[discovery.Crash]).update(start, storewatch.Batch[discovery.Crash]{Position: storewatch.Position{Revision: 11}, Items: []storewatch.Item[discovery.Crash]{{Name: "c", Revision: 11, Value: crash}}}, true)
	limit := discovery.RequestLimit{Replica: "a", Born: 1, PerSecond: 2.5}
	limitTopic(from).update(start, storewatch.Batch[discovery.RequestLimit]{Position: storewatch.Position{Revision: 12}, Items: []storewatch.Item[discovery.RequestLimit]{{Name: "a", Revision: 12, Value: limit}}}, true)
	for i, sender := range from.topics {
		snapshot, err := sender.snapshot(start)
		assert.NilError(t, err)
		// A crash report and a request limit change no view.
		changesView := sender.topicName() != topicCrashes && sender.topicName() != topicLimits
		assert.Equal(t, to.topics[i].applyFeed(start, snapshot, start), changesView, sender.topicName())
	}
	assert.Equal(t, to.state.limits["a"], limit)
	assert.Equal(t, to.ledger.Check(start, 7), poison.Suspect)
	assert.Equal(t, to.state.table().Version, uint64(7))
	route, refusal := to.state.table().Match(routes.Target{Host: "h", Path: "/x"})
	assert.Assert(t, route != nil && refusal == nil, "the received configuration has no usable routes")
	assert.Equal(t, to.state.table().Services["s"].MaxConns, 30)
	assert.Equal(t, usableReplicas(to), 2)
	assert.DeepEqual(t, to.state.registry.OutOfService(), []string{"d9"})
	assert.Equal(t, to.state.vms["vm2"], vm)
	assert.Assert(t, to.state.ready())
}

// Guards against encoding all objects again for each subscriber, and against a
// snapshot from before the last change.
func TestSubscribersShareASnapshot(t *testing.T) {
	c := newTestController(t)
	replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3)), true)
	first, ok := c.snapshot(start)
	assert.Assert(t, ok)
	again, _ := c.snapshot(start)
	assert.Assert(t, &first[0] == &again[0])
	replicaTopic(c).update(start, replicaBatch(6, replicaItem("b", 6)), false)
	changed, _ := c.snapshot(start)
	assert.Equal(t, len(changed[1].Items), 2)
}

// Guards against a VM that reports ready before it has listed the replicas.
func TestReadyNeedsConfigurationAndReplicas(t *testing.T) {
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	assert.Assert(t, !c.state.ready())
	replicaTopic(c).update(start, replicaBatch(1), true)
	assert.Assert(t, c.state.ready())
}

// Guards against replicas that are dropped because the store was unreachable, and
// against a store that counts as reachable while calls for one topic still fail.
func TestReplicasSurviveAnUnreachableStore(t *testing.T) {
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	known := replicaTopic(c)
	known.update(start, replicaBatch(5, replicaItem("a", 3)), true)
	down := errs.Refuse(errs.PlatformDown, "down")
	c.storeCallFailed(topicReplicas, down)
	c.storeCallFailed(topicConfig, down)
	c.storeCallSucceeded(start, topicConfig)
	known.update(start, replicaBatch(9), true)
	assert.Equal(t, usableReplicas(c), 1)
	c.storeCallSucceeded(start.Add(time.Second), topicReplicas)
	assert.Assert(t, !c.state.registry.ExpireMissing(start.Add(2*time.Second)))
	assert.Assert(t, c.state.registry.ExpireMissing(start.Add(time.Second+discovery.ReregistrationGracePeriod)))
	assert.Equal(t, usableReplicas(c), 0)
}

// Guards against a deleted replica that returns through the snapshot of a VM
// which keeps it because it could not reach the store.
func TestSnapshotOmitsDeletedReplicas(t *testing.T) {
	from, to := newTestController(t), newTestController(t)
	configTopic(from).update(start, configBatch(testTable(t, 1), 1), true)
	configTopic(to).update(start, configBatch(testTable(t, 1), 1), true)
	deleted := storewatch.Item[discovery.Replica]{Name: "a", Revision: 9, Deleted: true}
	for _, c := range []*controller{from, to} {
		replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3), replicaItem("b", 4)), true)
		if c == from {
			c.storeCallFailed(topicReplicas, errs.Refuse(errs.PlatformDown, "down"))
		}
		replicaTopic(c).update(start, replicaBatch(9, deleted), false)
	}
	assert.Equal(t, usableReplicas(from), 2)
	assert.Equal(t, usableReplicas(to), 1)
	snapshot, err := replicaTopic(from).snapshot(start)
	assert.NilError(t, err)
	replicaTopic(to).applyFeed(start, snapshot, start)
	assert.Equal(t, usableReplicas(to), 1)
}

// Guards against requests to replicas of a failure domain that was put back into
// service before a probe has shown whether they are cold.
func TestRestoredDomainIsProbedFirst(t *testing.T) {
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3)), true)
	assert.Assert(t, c.setOutOfService("d1", true, 6))
	c.publish(start)
	assert.Equal(t, usableReplicas(c), 0)
	assert.Assert(t, c.setOutOfService("d1", false, 7))
	c.publish(start)
	view := c.state.view(start)
	assert.Equal(t, len(view.ReplicaSets["s"].Upstreams), 1)
	assert.Assert(t, view.ReplicaSets["s"].Upstreams[0].Tracker.Down())
}

// Guards against connection limits that all VMs together exceed.
func TestSharedLimitsAreDivided(t *testing.T) {
	for _, vms := range []int{1, 4, 5, 30} {
		assert.Assert(t, vms*connLimit(69, vms) <= 69, "%d VMs", vms)
	}
	assert.Equal(t, connLimit(31, 60), 1)
}

// Guards against a restarted replica that inherits the connections and
// measurements of its previous process.
func TestRestartedReplicaGetsNewState(t *testing.T) {
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3)), true)
	before := c.state.view(start).ReplicaSets["s"].Upstreams[0]
	again := replicaItem("a", 6)
	again.Value.Born, again.Value.WarmupLeft = 2, time.Second
	replicaTopic(c).update(start, replicaBatch(6, again), false)
	after := c.state.view(start).ReplicaSets["s"].Upstreams[0]
	assert.Assert(t, before != after)
	assert.Assert(t, after.Tracker.IsCold(start))
}

// Guards against a replica that has said that it leaves, or wants a pause, and is used
// again because it was out of the view for a while; and against a new process that
// inherits this.
func TestWhatAReplicaHasSaidSurvivesNewState(t *testing.T) {
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	known := replicaTopic(c)
	known.update(start, replicaBatch(5, replicaItem("a", 3), replicaItem("b", 4)), true)
	c.publish(start)
	of := func(id string) *forward.Upstream {
		for _, u := range c.forwarder.View().ReplicaSets["s"].Upstreams {
			if u.Member.ID == id {
				return u
			}
		}
		return nil
	}
	now := time.Now()
	header := func(name, value string) exchange.Header { return exchange.Header{{Name: name, Value: value}} }
	c.forwarder.Hear(of("a"), now, exchange.Reply{Status: 200, Header: header(testHeaders.Leaving, "1")}, "1")
	c.forwarder.Hear(of("b"), now, exchange.Reply{Status: 503, Header: header("Retry-After", "30")}, "2")
	before := of("a")
	c.setOutOfService("d1", true, 6)
	c.publish(start)
	assert.Assert(t, of("a") == nil)
	c.setOutOfService("d1", false, 7)
	clear(c.state.restoredDomains) // they are probed first otherwise
	c.publish(start)
	assert.Assert(t, of("a") != before)
	assert.Assert(t, of("a").Tracker.Leaving())
	assert.Assert(t, !of("b").Tracker.Usable(now.Add(29*time.Second)) && of("b").Tracker.Usable(now.Add(31*time.Second)))
	next := replicaItem("a", 8)
	next.Value.Born = 2
	known.update(start, replicaBatch(8, next), false)
	c.publish(start)
	assert.Assert(t, !of("a").Tracker.Leaving())
}

// Guards against a request that crashes replicas through one VM after another:
// the reports of other VMs must count, each attempt once, and expired reports
// must not.
func TestCrashReportsOfOtherVMsCount(t *testing.T) {
	c := newTestController(t)
	crashes := c.topics[4].(*topic[discovery.Crash])
	report := func(revision int64, attempt string, at time.Time) {
		crash := discovery.Crash{Fingerprint: 7, Attempt: attempt, At: at}
		item := storewatch.Item[discovery.Crash]{Name: crashObjectName(crash), Revision: revision, Value: crash}
		crashes.update(start, storewatch.Batch[discovery.Crash]{Position: storewatch.Position{Revision: revision}, Items: []storewatch.Item[discovery.Crash]{item}}, false)
	}
	report(1, "a", start)
	report(2, "a", start)
	report(3, "b", start)
	report(4, "old", start.Add(-2*crashReportTTL))
	assert.Equal(t, c.ledger.Check(start, 7), poison.Suspect)
	c.recordCrash(start, discovery.Crash{Fingerprint: 7, Attempt: "c", At: start})
	assert.Equal(t, c.ledger.Check(start, 7), poison.Blocked)
	assert.Equal(t, len(c.expiredCrashes(start)), 1)
}

// Guards against a VM that stays ready although it reaches no other failure
// domain and lacks shards, and against one that reports not ready although it
// reaches another failure domain or lacks no shards.
func TestIsolationNeedsUnreachableDomainsAndMissingShards(t *testing.T) {
	c := newTestController(t)
	table, err := routes.NewTable(1, routes.Limits{},
		[]*routes.Route{{Name: "all", Host: "h", Prefix: "/", Shards: []string{"s", "t"}, MinCoverage: 0.6}},
		[]*routes.Service{{Name: "s", MaxConns: 30}, {Name: "t", MaxConns: 30}})
	assert.NilError(t, err)
	configTopic(c).update(start, configBatch(table, 1), true)
	other := replicaItem("b", 4)
	other.Value.Service = "t"
	replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3), other), true)
	view := c.state.view(start)
	assert.Assert(t, view.MeetsMinCoverage(false))
	view.ReplicaSets["t"].Upstreams[0].Tracker.SetDown(true)
	assert.Assert(t, !view.MeetsMinCoverage(false))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	self := discovery.VM{Name: "vm1", Domain: "d1"}
	reachable := discovery.VM{Name: "vm2", Domain: "d2", PeerAddr: l.Addr().String()}
	unreachable := discovery.VM{Name: "vm3", Domain: "d3", PeerAddr: "192.0.2.1:1"}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	refusing := discovery.VM{Name: "vm5", Domain: "d3", PeerAddr: closed.Addr().String()}
	sameDomain := discovery.VM{Name: "vm4", Domain: "d1", PeerAddr: l.Addr().String()}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == unreachable.PeerAddr {
			return nil, context.DeadlineExceeded
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	otherDomainsUnreachable := func(vms ...discovery.VM) bool {
		c.state.vms = map[string]discovery.VM{}
		for _, vm := range vms {
			c.state.vms[vm.Name] = vm
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.run(ctx) }()
		defer func() { cancel(); assert.NilError(t, <-ended) }()
		detector := &isolationDetector{self: self, updates: &updateSource{controller: c}, dial: dial}
		return detector.otherDomainsUnreachable(ctx, maxIsolationDials)
	}
	assert.Assert(t, otherDomainsUnreachable(self, unreachable, sameDomain))
	assert.Assert(t, otherDomainsUnreachable(self, unreachable, refusing), "a device on the link may refuse connections")
	assert.Assert(t, !otherDomainsUnreachable(self, unreachable, reachable))
	assert.Assert(t, !otherDomainsUnreachable(self, refusing, reachable))
	assert.Assert(t, !otherDomainsUnreachable(self, sameDomain))
}

// Guards against a VM behind a cut that notices it only after its queries have shown
// most replicas to be unreachable, and against one that counts as isolated because
// the VMs of other domains have ended while their replicas still answer.
func TestIsolationIsNoticedBeforeShardsAreMissing(t *testing.T) {
	c := newTestController(t)
	table, err := routes.NewTable(1, routes.Limits{},
		[]*routes.Route{{Name: "all", Host: "h", Prefix: "/", Shards: []string{"s", "t"}, MinCoverage: 1}},
		[]*routes.Service{{Name: "s", MaxConns: 30}, {Name: "t", MaxConns: 30}})
	assert.NilError(t, err)
	configTopic(c).update(start, configBatch(table, 1), true)
	remote := replicaItem("b", 4)
	remote.Value.Service, remote.Value.Domain = "t", "d2"
	replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3), remote), true)
	other := discovery.VM{Name: "vm2", Domain: "d2", PeerAddr: "vm2:1"}
	c.state.vms = map[string]discovery.VM{other.Name: other}
	ctx, cancel := context.WithCancel(t.Context())
	view := c.state.view(start)
	ended := make(chan error, 1)
	go func() { ended <- c.run(ctx) }()
	defer func() { cancel(); assert.NilError(t, <-ended) }()
	assert.Assert(t, view.MeetsMinCoverage(false) && !view.MeetsMinCoverage(true))
	dials := 0
	reachable := map[string]bool{}
	detector := &isolationDetector{
		self: discovery.VM{Name: "vm1", Domain: "d1"}, updates: &updateSource{controller: c}, prober: c.prober, forwarder: c.forwarder,
		dial: func(_ context.Context, _, addr string) (net.Conn, error) {
			dials++
			if !reachable[addr] {
				return nil, context.DeadlineExceeded
			}
			client, server := net.Pipe()
			_ = server.Close()
			return client, nil
		},
	}
	for range routineChecks - 1 {
		assert.Assert(t, !detector.isolated(ctx, view), "no sign of trouble")
	}
	assert.Equal(t, dials, 0)
	assert.Assert(t, detector.isolated(ctx, view), "a VM without queries")
	view.RelayPeers[0].Failed()
	defer view.RelayPeers[0].Close()
	assert.Assert(t, detector.isolated(ctx, view))
	reachable["b:1"] = true
	assert.Assert(t, !detector.isolated(ctx, view), "a replica of another domain can be reached")
	reachable = map[string]bool{"vm2:1": true}
	assert.Assert(t, !detector.isolated(ctx, view), "a VM of another domain can be reached")
}
