package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/gateway"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// watchInterval is the resolution of the times until a configuration is in force.
const watchInterval = 5 * time.Millisecond

// watcher samples the VMs during a run.
type watcher struct {
	cluster *testcluster.Cluster

	mu       sync.Mutex
	start    time.Time
	versions map[model.VMID]uint64
	reverts  []string
	accepted []accepted
	sends    []sendSample
}

// accepted is a configuration version that the platform accepted.
type accepted struct {
	version uint64
	at      time.Time
	inForce time.Time // zero until every VM has it
}

// sendSample is the number of sends of all VMs at a time after the start.
type sendSample struct {
	at    time.Duration
	sends gateway.Sends
}

func newWatcher(c *testcluster.Cluster) *watcher {
	return &watcher{cluster: c, versions: make(map[model.VMID]uint64), start: time.Now()}
}

func (w *watcher) began(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start = at
}

func (w *watcher) run(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		w.sampleVersions()
		if n%20 == 0 {
			w.sampleSends()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sampleVersions follows the configuration of each VM that has been ready.
func (w *watcher) sampleVersions() {
	vms := w.cluster.Running()
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	lowest, known := uint64(0), false
	for _, vm := range vms {
		before, seen := w.versions[vm.ID]
		if !seen && !vm.Node.Ready() {
			continue
		}
		doc := vm.Node.View().Config
		if doc == nil {
			continue
		}
		if doc.Version < before {
			w.reverts = append(w.reverts, fmt.Sprintf("%s went from version %d back to %d", vm.ID, before, doc.Version))
		}
		w.versions[vm.ID] = doc.Version
		if !known || doc.Version < lowest {
			lowest, known = doc.Version, true
		}
	}
	for i := range w.accepted {
		a := &w.accepted[i]
		if a.inForce.IsZero() && known && lowest >= a.version {
			a.inForce = now
		}
	}
}

func (w *watcher) sampleSends() {
	total := w.total()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends = append(w.sends, sendSample{at: time.Since(w.start), sends: total})
}

// total adds up the sends of all VMs, those that have ended included.
func (w *watcher) total() gateway.Sends {
	w.mu.Lock()
	known := make(map[model.VMID]bool, len(w.versions))
	for id := range w.versions {
		known[id] = true
	}
	w.mu.Unlock()
	var t gateway.Sends
	for _, vm := range w.cluster.All() {
		if !known[vm.ID] {
			continue // its services may not have started
		}
		s := vm.Node.Sends()
		t.Primary += s.Primary
		t.Hedge += s.Hedge
		t.Retry += s.Retry
		t.Moved += s.Moved
		t.Denied += s.Denied
	}
	return t
}

// publish records a version that the platform accepted just now.
func (w *watcher) publish(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, accepted{version: version, at: time.Now()})
}

// sentBetween returns the sends between two times after the start.
func (w *watcher) sentBetween(from, to time.Duration) gateway.Sends {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, b := w.at(from), w.at(to)
	return gateway.Sends{
		Primary: b.Primary - a.Primary,
		Hedge:   b.Hedge - a.Hedge,
		Retry:   b.Retry - a.Retry,
		Moved:   b.Moved - a.Moved,
		Denied:  b.Denied - a.Denied,
	}
}

// at must be called with w.mu held.
func (w *watcher) at(t time.Duration) gateway.Sends {
	var last gateway.Sends
	for _, s := range w.sends {
		if s.at > t {
			break
		}
		last = s.sends
	}
	return last
}

// inForce returns the time from acceptance to being in force on every VM for
// each version, and the versions that never were.
func (w *watcher) inForce() (took []time.Duration, missing []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.accepted {
		if a.inForce.IsZero() {
			missing = append(missing, a.version)
			continue
		}
		took = append(took, a.inForce.Sub(a.at))
	}
	return took, missing
}
