package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against verdicts that end at once because no term was configured: a
// request that crashes upstreams is then never blocked.
func TestVerdictsHoldByDefault(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(Config{})
	l.Lost(now, "r1", "i1", []uint64{7})
	assert.Equal(t, l.Check(now.Add(time.Second), 7), Suspect)
	l.Lost(now, "r2", "i2", []uint64{7})
	assert.Equal(t, l.Check(now.Add(time.Second), 7), Blocked)
	l.Succeeded(now, 8)
	assert.Equal(t, l.Check(now.Add(time.Second), 8), Proven)
}

// Guards against settings of the tier that have no effect.
func TestConfigureAppliesTheTiersSettings(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(Config{})
	l.Configure(1, time.Minute)
	l.Lost(now, "r1", "i1", []uint64{7})
	assert.Equal(t, l.Check(now.Add(59*time.Second), 7), Blocked)
	assert.Assert(t, l.Check(now.Add(61*time.Second), 7) != Blocked)
}
