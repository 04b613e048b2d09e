package edge

import (
	"net/http"
	"sync/atomic"
)

// readiness answers the load balancer's health checks.
type readiness struct {
	// ready is set once the VM knows a configuration and replicas. It stays set.
	ready atomic.Bool
	// stopping is set when the VM begins to stop.
	stopping atomic.Bool
	// isolated is set while this VM can reach no other failure domain and cannot
	// cover all queries.
	isolated atomic.Bool
	// refusesKeys is set while this VM refuses all keys, because it may have missed the
	// removal of one. Other VMs may serve its callers.
	refusesKeys atomic.Bool
	// becameReady is closed when ready is set.
	becameReady chan struct{}
}

func newReadiness() *readiness { return &readiness{becameReady: make(chan struct{})} }

// setReady records that the VM can serve requests. Calls after the first have no
// effect.
func (r *readiness) setReady() {
	if r.ready.CompareAndSwap(false, true) {
		close(r.becameReady)
	}
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.ready.Load() && !r.stopping.Load() && !r.isolated.Load() && !r.refusesKeys.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
