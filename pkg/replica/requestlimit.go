package replica

import "time"

// SendKind tells why a request is sent to a replica.
type SendKind uint8

// Kinds of sends.
const (
	// FirstSend is the first send of a request to a service.
	FirstSend SendKind = iota
	// ExtraSend is a hedge or a retry.
	ExtraSend
	// RelayedSend is a send for another VM.
	RelayedSend
	sendKinds
)

// SendCounts holds the number of sends by kind.
type SendCounts [sendKinds]int

// RequestLimit is the limit that a replica in need names in its answers: the
// requests a second that it accepts from all VMs together.
type RequestLimit struct {
	// PerSecond is the limit, and Named whether there is one.
	PerSecond float64
	Named     bool
}

// requestLimit is what a Tracker knows of the limit of its replica.
type requestLimit struct {
	current RequestLimit
	// namedAt is when an answer named the limit last.
	namedAt time.Time
	// sends counts the requests of this VM since the limit has last changed.
	sends SendCounts
}

// RecordRequestLimit records the limit that an answer names, or that it names none.
// The request of the answer was sent at sentAt. An answer without a limit counts only
// if its request was sent after the limit was last named: an earlier one may have
// been answered before the replica was in need. The result is the limit before,
// with the sends of this VM while it was in force, and whether it has changed.
func (t *Tracker) RecordRequestLimit(now, sentAt time.Time, limit RequestLimit) (before RequestLimit, sends SendCounts, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.requestLimit
	if limit.Named {
		l.namedAt = now
	} else if !sentAt.After(l.namedAt) {
		return l.current, l.sends, false
	}
	before, sends = l.current, l.sends
	if before == limit {
		return before, sends, false
	}
	l.current, l.sends = limit, SendCounts{}
	return before, sends, true
}

// RequestLimit returns the limit that the replica names.
func (t *Tracker) RequestLimit() RequestLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requestLimit.current
}

// CountSend counts a request that is sent to the replica.
func (t *Tracker) CountSend(kind SendKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestLimit.sends[kind]++
}
