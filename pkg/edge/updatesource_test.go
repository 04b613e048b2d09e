package edge

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

// startSeed serves the state of a controller as a seed VM does and returns its
// address.
func startSeed(t *testing.T, c *controller) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- c.run(ctx) }()
	go func() { ended <- (&peerServer{hub: c.hub, log: log}).run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-ended == nil)
		assert.Check(t, <-ended == nil)
	})
	return l.Addr().String()
}

// Guards against a VM that starts while the store is away, takes its state from a seed
// whose own is old, and sends requests to a replica that has left, or by an older
// configuration than another seed has.
func TestNewestStateOfAllSeedsIsTaken(t *testing.T) {
	old, current := newTestController(t), newTestController(t)
	for _, c := range []*controller{old, current} {
		configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
		replicaTopic(c).update(start, replicaBatch(10, replicaItem("a", 3), replicaItem("b", 9)), true)
	}
	configTopic(current).update(start, configBatch(testTable(t, 2), 18), false)
	replicaTopic(current).update(start, replicaBatch(20, storewatch.Item[discovery.Replica]{Name: "a", Revision: 20, Deleted: true}), false)
	oldAddr, currentAddr := startSeed(t, old), startSeed(t, current)
	for _, seeds := range [][]string{{oldAddr, currentAddr}, {currentAddr, oldAddr}, {"127.0.0.1:1", oldAddr, currentAddr}} {
		starting := newTestController(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		source := &updateSource{
			self: discovery.VM{Name: "vm9"}, seeds: func() []string { return seeds }, controller: starting,
			dial: (&net.Dialer{Timeout: time.Second}).DialContext, log: log,
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- starting.run(ctx) }()
		source.bootstrapFromSeeds(ctx)
		source.vms(ctx) // returns after what was posted before it
		cancel()
		assert.NilError(t, <-ended)
		assert.Equal(t, starting.state.table().Version, uint64(2))
		assert.Equal(t, usableReplicas(starting), 1)
	}
}
