package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// shortDeadline lets requests that faults hold up end within a test.
const shortDeadline = time.Second

// untrue explains what is wrong with an answer to a search, or returns "". An
// answer must hold exactly the rows that the shards it claims to cover have in
// the snapshot it names.
func (s *site) untrue(r reply) string {
	svc := s.cluster.Document.Services["bookings"]
	i := slices.IndexFunc(svc.ShardMaps, func(m model.ShardMap) bool { return m.Epoch == r.Snapshot.Epoch })
	if i < 0 {
		return fmt.Sprintf("unknown epoch in %+v", r.Snapshot)
	}
	m := &svc.ShardMaps[i]
	version := testcluster.IndexVersion(r.Snapshot.Version, m, &m.Groups[0])
	covered := slices.Clone(version.Map)
	for _, missing := range r.Coverage.Missing {
		at := slices.Index(covered, missing.Shard)
		if at < 0 {
			return fmt.Sprintf("missing shard %s is unknown or named twice", missing.Shard)
		}
		covered = slices.Delete(covered, at, at+1)
	}
	if r.Coverage.Total != len(version.Map) || r.Coverage.Covered != len(covered) {
		return fmt.Sprintf("coverage %+v does not add up", r.Coverage)
	}
	want := s.cluster.Data["bookings"].Search(version, covered, fake.Query{}, svc.Order, svc.Limit)
	if len(want) != len(r.Results) {
		return fmt.Sprintf("%d rows instead of %d on %+v without %+v", len(r.Results), len(want), r.Snapshot, r.Coverage.Missing)
	}
	for i := range want {
		if !bytes.Equal(want[i].Data, r.Results[i]) {
			return fmt.Sprintf("row %d is %s instead of %s", i, r.Results[i], want[i].Data)
		}
	}
	return ""
}

// traffic sends searches and bookings through all VMs until it is stopped and
// remembers what was answered.
type traffic struct {
	site *site
	name string
	stop chan struct{}
	wg   sync.WaitGroup
	// requests counts the searches that ended and the bookings that were answered.
	requests atomic.Int64

	mu       sync.Mutex
	untruths []string
	booked   map[string]bool // key to: some reply left open whether it ran
	answered map[string]bool // keys with a result
	searches int
}

func (s *site) traffic(name string) *traffic {
	w := &traffic{site: s, name: name, stop: make(chan struct{}), booked: map[string]bool{}, answered: map[string]bool{}}
	for i := range 3 {
		w.wg.Go(func() { w.loop(func(n int) { w.book(i, n) }) })
		w.wg.Go(func() { w.loop(func(n int) { w.search(i*701 + n) }) })
	}
	return w
}

func (w *traffic) loop(send func(n int)) {
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		default:
			send(n)
		}
	}
}

// vm picks a VM by turns. It may be dead or frozen.
func (w *traffic) vm(n int) *process {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	return w.site.vms[n%len(w.site.vms)]
}

func (w *traffic) search(n int) {
	// All dates are later, so each query matches everything, and none shares
	// its fingerprint with the others: an upstream that a fault crashes must
	// not block them all.
	query := fmt.Sprintf(`{"query":{"from":"%04d-01-01"}}`, n%2000)
	r := w.vm(n).post("/v1/search/bookings", "", query, shortDeadline)
	w.requests.Add(1)
	if r.status != http.StatusOK {
		time.Sleep(time.Millisecond) // a dead VM refuses at once
		return
	}
	wrong := w.site.untrue(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.searches++
	if wrong != "" {
		w.untruths = append(w.untruths, wrong)
	}
}

// book sends one booking and repeats it through other VMs while its outcome is
// not known.
func (w *traffic) book(worker, n int) {
	key := fmt.Sprintf("%s-%d-%d", w.name, worker, n)
	open := false
	answered := false
	for try := range 3 {
		r := w.vm(worker+n+try).post("/v1/call/trips/book", key, fmt.Sprintf(`{"id":"MS-000001","token":%q}`, key), shortDeadline)
		if r.status == http.StatusOK {
			answered = true
			w.requests.Add(1)
			break
		}
		if r.RunState == errs.DidNotRun.String() {
			continue
		}
		open = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.booked[key] = open
	w.answered[key] = answered
}

// finish ends the traffic and checks what must hold whatever happened.
func (w *traffic) finish(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.wg.Wait()
	runs := w.site.cluster.Executions["trips"]
	assert.Equal(t, len(w.untruths), 0, "%v", w.untruths)
	assert.Equal(t, len(runs.Repeated()), 0, "ran twice: %v", runs.Repeated())
	answered := 0
	for key, open := range w.booked {
		switch {
		case w.answered[key]:
			answered++
			assert.Equal(t, runs.Count(key), 1, "%s was answered", key)
		case !open:
			assert.Equal(t, runs.Count(key), 0, "%s was refused with did_not_run", key)
		}
	}
	for id, u := range w.site.cluster.Upstreams {
		most := u.Counters().MaxConcurrency
		assert.Assert(t, most <= 2+1, "%s ran %d at once in 2 slots", id, most)
	}
	t.Logf("%d searches answered, %d of %d bookings answered", w.searches, answered, len(w.booked))
	assert.Assert(t, w.searches > 0 && answered > 0, "nothing was answered")
}
