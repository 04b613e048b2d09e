package forward

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxOutageRetryAfter bounds the Retry-After of a request whose service has no replica.
// Callers wait a third of their time at most, and few have more than 15 s.
const maxOutageRetryAfter = 5 * time.Second

// outages remembers since when services have had no replica for a request. It answers the
// load of callers that come back too soon while all replicas of a shard are down: nothing
// tells when one is back, so the time that the outage has lasted is the best guess of the
// time that it will go on. It is safe for concurrent use.
type outages struct {
	// open is the number of elements of since, so that nothing is locked without an outage.
	open  atomic.Int64
	mu    sync.Mutex
	since map[string]time.Time
}

// observe records whether a service has a replica for a request now.
func (o *outages) observe(now time.Time, service string, usable bool) {
	if usable && o.open.Load() == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, known := o.since[service]
	switch {
	case usable:
		delete(o.since, service)
	case !known:
		if o.since == nil {
			o.since = map[string]time.Time{}
		}
		o.since[service] = now
	}
	o.open.Store(int64(len(o.since)))
}

// retryAfter returns when a caller should come back whose request found no replica of the
// service, 0 if the service has one.
func (o *outages) retryAfter(now time.Time, service string) time.Duration {
	if o.open.Load() == 0 {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok := o.since[service]
	if !ok {
		return 0
	}
	return min(max(noReplicaRetryAfter, now.Sub(since)), maxOutageRetryAfter)
}
