package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a hedge that uses up the last request that a cold replica accepts
// without being sent to it.
func TestHedgeIsSentToAColdReplicaThatAcceptsOneRequest(t *testing.T) {
	route := singleRoute(true)
	route.Target = 100 * time.Millisecond
	inVirtualTime(t, route, func(v *virtualTier) {
		slow := v.addReplica("s", "slow", 2, always(time.Second))
		cold := v.addReplica("s", "cold", 2, always(5*time.Millisecond))
		cold.Tracker.Local = false // so that the slow replica is preferred
		cold.Tracker.LimitCold(time.Now().Add(time.Hour), 1)
		answer := v.send(nil, "/p/", "q")
		assert.Equal(t, answer.Code, 200)
		assert.Equal(t, slow.requests.Load(), int64(1))
		assert.Equal(t, cold.requests.Load(), int64(1))
		assert.Assert(t, answer.duration < 100*time.Millisecond, "%s", answer.duration)
	})
}
