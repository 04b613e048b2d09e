package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// Guards against requests that began before, and reach a replica that drains, has
// started again, or whose failure domain was taken out of service since: also one of a
// service that the configuration no longer has.
func TestReplicasThatMayNotBeUsedAreWithdrawn(t *testing.T) {
	draining := replicaItem("a", 6)
	draining.Value.Draining = true
	restarted := replicaItem("a", 6)
	restarted.Value.Born = 2
	empty, err := routes.NewTable(2, routes.Limits{}, nil, nil)
	assert.NilError(t, err)
	for name, change := range map[string]func(c *controller){
		"drains":         func(c *controller) { replicaTopic(c).update(start, replicaBatch(6, draining), false) },
		"starts again":   func(c *controller) { replicaTopic(c).update(start, replicaBatch(6, restarted), false) },
		"out of service": func(c *controller) { c.setOutOfService("d1", true, 6) },
		"drains after its service was dropped": func(c *controller) {
			configTopic(c).update(start, configBatch(empty, 6), false)
			c.publish(start)
			replicaTopic(c).update(start, replicaBatch(7, draining), false)
		},
	} {
		c := newTestController(t)
		configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
		replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3), replicaItem("b", 4)), true)
		c.publish(start)
		before := map[string]*forward.Upstream{}
		for _, u := range c.forwarder.View().ReplicaSets["s"].Upstreams {
			before[u.Member.ID] = u
		}
		assert.Assert(t, !before["a"].Tracker.Withdrawn(), name)
		change(c)
		c.publish(start)
		assert.Assert(t, before["a"].Tracker.Withdrawn(), name)
		assert.Equal(t, before["b"].Tracker.Withdrawn(), name == "out of service", name)
		assert.Equal(t, len(c.state.formerUpstreams), map[bool]int{true: 1}[name == "drains after its service was dropped"], name)
	}
}

// Guards against a replica that stays unusable, or without kept connections, because its
// service was dropped from the configuration for a while.
func TestReplicaOfAServiceThatIsBackIsUsed(t *testing.T) {
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	replicaTopic(c).update(start, replicaBatch(5, replicaItem("a", 3)), true)
	c.publish(start)
	before := c.forwarder.View().ReplicaSets["s"].Upstreams[0]
	empty, err := routes.NewTable(2, routes.Limits{}, nil, nil)
	assert.NilError(t, err)
	configTopic(c).update(start, configBatch(empty, 6), false)
	c.publish(start)
	assert.Assert(t, !before.Tracker.Withdrawn())
	configTopic(c).update(start, configBatch(testTable(t, 3), 7), false)
	c.publish(start)
	after := c.forwarder.View().ReplicaSets["s"].Upstreams[0]
	assert.Assert(t, after != before && after.Tracker.Usable(start))

	draining := replicaItem("a", 8)
	draining.Value.Draining = true
	replicaTopic(c).update(start, replicaBatch(8, draining), false)
	c.publish(start)
	assert.Assert(t, before.Tracker.Withdrawn() && after.Tracker.Withdrawn())
}
