package overload

import "time"

// Request describes a request to admit. Its ID is unique among the requests that
// wait or run.
type Request struct {
	ID uint64
	// Rank is the priority; 0 is the highest.
	Rank int
	// Tenant is whom the places of a rank are shared among: the tenant, or the
	// caller where there are no tenants.
	Tenant string
	// Class names the requests of like work, for instance the route.
	Class string
	// Arrived is when the request was received, Target the time from then within
	// which an answer has its full value. The order depends on both, and not on
	// Deadline: a caller gains nothing by claiming a shorter one.
	Arrived time.Time
	Target  time.Duration
	// Deadline is when an answer has lost its value. A request that cannot be
	// answered by then is refused.
	Deadline time.Time
}

// Verdict is the decision on one request.
type Verdict uint8

// Verdicts.
const (
	Started Verdict = iota
	Waits
	Refused
)

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// QueueFull: no place to wait is left, and no waiting request is worth less.
	QueueFull Reason = "queue_full"
	// ShareExceeded: the tenant holds its share of the places to wait.
	ShareExceeded Reason = "share_exceeded"
	// TooLate: the request would start too late for an answer in time.
	TooLate Reason = "too_late"
	// Displaced: a request of a better rank took the place to wait.
	Displaced Reason = "displaced"
	// WaitedTooLong: the request has waited as long as it may.
	WaitedTooLong Reason = "waited"
)

// Reasons are all reasons.
var Reasons = []Reason{QueueFull, ShareExceeded, TooLate, Displaced, WaitedTooLong}

// Decision is the verdict on the request with the given ID. Reason and RetryAfter are
// set if it is Refused.
type Decision struct {
	ID         uint64
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
}
