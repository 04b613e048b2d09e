package fake

import (
	"slices"
	"sync"
	"time"
)

// maxTimes bounds the times that an upstream remembers of its sends and runs.
const maxTimes = 1 << 20

// UpstreamCounters counts what an upstream was sent and did.
type UpstreamCounters struct {
	// Sends counts the run requests that arrived, Runs those that started and
	// Completed those that ran to their end.
	Sends, Runs, Completed int
	// Refused counts explicit did_not_run answers by code.
	Refused map[string]int
	// ColdExcess counts sends beyond what the cold upstream handles.
	ColdExcess int
	// Cancels counts cancellations that reached a run.
	Cancels int
	// Crashes counts crashes of any cause.
	Crashes int
	// MaxConcurrency and MaxConnections are the highest values seen.
	MaxConcurrency, MaxConnections int
	// Connections counts accepted connections, RefusedConnections those
	// beyond the limit.
	Connections, RefusedConnections int
	// StatusCalls counts status requests.
	StatusCalls int
}

// times is an ordered list of times. The oldest half is dropped when it is full.
type times []time.Time

// add appends a time.
func (t *times) add(at time.Time) {
	if len(*t) >= maxTimes {
		*t = append((*t)[:0], (*t)[maxTimes/2:]...)
	}
	*t = append(*t, at)
}

// after returns the number of times later than at.
func (t times) after(at time.Time) int {
	i, _ := slices.BinarySearchFunc(t, at, func(e, target time.Time) int {
		if e.After(target) {
			return 1
		}
		return -1
	})
	return len(t) - i
}

// Executions counts executions of non-idempotent operations by token. It may
// be shared by all upstreams of a service.
type Executions struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewExecutions returns an empty count.
func NewExecutions() *Executions { return &Executions{counts: map[string]int{}} }

// add records one execution and returns the token's count.
func (e *Executions) add(token string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[token]++
	return e.counts[token]
}

// Count returns how often the token was executed.
func (e *Executions) Count(token string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[token]
}

// Total returns the number of executions of all tokens.
func (e *Executions) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.counts {
		total += n
	}
	return total
}

// Repeated returns the tokens that were executed more than once, sorted.
func (e *Executions) Repeated() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var repeated []string
	for token, n := range e.counts {
		if n > 1 {
			repeated = append(repeated, token)
		}
	}
	slices.Sort(repeated)
	return repeated
}
