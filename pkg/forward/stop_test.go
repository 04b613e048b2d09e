package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are taken at the end of a planned stop though they can
// hardly be answered, and against those that are refused while there is time.
func TestLateRequestsAreRefusedDuringAPlannedStop(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newPlannedStop()
	assert.Assert(t, !s.tooLate(now, time.Minute), "no stop")
	end := now.Add(time.Second)
	s.at.Store(&end)
	assert.Assert(t, !s.tooLate(now, 0))
	assert.Assert(t, !s.tooLate(now, 500*time.Millisecond))
	assert.Assert(t, s.tooLate(now, 501*time.Millisecond))
	assert.Assert(t, s.tooLate(now.Add(time.Second-minStopTime+1), 0))
	assert.Assert(t, s.tooLate(now.Add(time.Hour), 0))
}
