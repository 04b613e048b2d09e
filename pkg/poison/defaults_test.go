package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a ledger without durations, whose verdicts end at once, and against
// a configured loss limit or duration that has no effect.
func TestDefaultsAndConfigure(t *testing.T) {
	l := NewLedger(Config{})
	l.RecordLoss(start, "r1", "i1", []uint64{1})
	assert.Equal(t, l.Check(start, 1), Suspect)
	l.RecordLoss(start, "r2", "i2", []uint64{1})
	assert.Equal(t, l.Check(start.Add(DefaultBlockDuration-1), 1), Blocked)
	assert.Equal(t, l.Check(start.Add(DefaultBlockDuration), 1), Unknown)
	l.RecordSuccess(start, 2)
	assert.Equal(t, l.Check(start.Add(DefaultProvenDuration), 2), Proven)

	l.Configure(1, time.Hour)
	l.RecordLoss(start, "r1", "i1", []uint64{3})
	assert.Equal(t, l.Check(start.Add(time.Hour-1), 3), Blocked)
	assert.Equal(t, l.Check(start.Add(time.Hour), 3), Unknown)
}
