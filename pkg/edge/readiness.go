package edge

import (
	"net/http"
	"sync/atomic"
)

// readiness answers the balancer.
type readiness struct {
	ready    atomic.Bool
	stopping atomic.Bool
	// isolated is set while this VM reaches no other failure domain and
	// therefore cannot cover all queries.
	isolated atomic.Bool
	// first is closed when the VM is ready for the first time.
	first chan struct{}
}

func newReadiness() *readiness { return &readiness{first: make(chan struct{})} }

func (r *readiness) setReady() {
	if r.ready.CompareAndSwap(false, true) {
		close(r.first)
	}
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.ready.Load() && !r.stopping.Load() && !r.isolated.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
