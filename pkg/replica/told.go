package replica

import "time"

// Told is what a replica has said in an answer to this VM of what it wants from it, for
// as long as its process runs.
type Told struct {
	// Leaving is set if the replica leaves. It never takes that back.
	Leaving bool
	// PausedUntil is the time until which it wants no requests of this VM.
	PausedUntil time.Time
}

// Told returns what the replica has said.
func (t *Tracker) Told() Told {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told
}

// Hear records what the replica has said, in addition to what it said before. It reports
// whether that is new.
func (t *Tracker) Hear(told Told) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.told
	t.told.Leaving = before.Leaving || told.Leaving
	if told.PausedUntil.After(before.PausedUntil) {
		t.told.PausedUntil = told.PausedUntil
	}
	return t.told != before
}

// Leaving reports whether the replica has said that it leaves.
func (t *Tracker) Leaving() bool { return t.Told().Leaving }

// Wants reports whether the replica wants requests of this VM now.
func (t *Tracker) Wants(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told.wants(now)
}

// Withdraw records that no more requests may be sent to the replica: it drains, it has
// left, or its failure domain was taken out of service. Requests that began before and
// still know it are kept from it.
func (t *Tracker) Withdraw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawn = true
}

// Withdrawn reports whether Withdraw was called.
func (t *Tracker) Withdrawn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withdrawn
}

func (t Told) wants(now time.Time) bool { return !t.Leaving && !now.Before(t.PausedUntil) }
