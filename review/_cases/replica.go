package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a stand-in for a server that keeps the users' pages.
type replica struct {
	id, service, zone string
	addr              string
	site              *site
	server            *http.Server
	born              int64
	slots             chan struct{}

	mu sync.Mutex
	// work is the time of one request.
	work    time.Duration
	queued  int
	leaving bool
	// fault decides what happens to a request that has run: nil for nothing.
	fault func() fault
}

// fault is a disturbance of a server's answer.
type fault int

const (
	faultNone fault = iota
	// fault503: the request has run, and its failure is answered 503.
	fault503
	// faultLost: the request has run, and the connection is reset in place of the answer.
	faultLost
)

const (
	// slotsPerReplica and queuePerReplica are those of yard-board in podstavek-iskanje.
	slotsPerReplica = 4
	queuePerReplica = 16
	answerBytes     = 300
)

// startReplica starts a server and registers it.
func (s *site) startReplica(service, zone string, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: fmt.Sprintf("i-%s-%08x", service, rand.Uint32()), service: service, zone: zone, addr: l.Addr().String(), site: s,
		work: work, born: time.Now().UnixMilli(), slots: make(chan struct{}, slotsPerReplica),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	r.register("ready")
	s.replicas = append(s.replicas, r)
	return r, nil
}

func (r *replica) register(state string) {
	r.site.store.Put("servers", r.id, map[string]any{
		"backend": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "concurrency": slotsPerReplica,
		"state": state, "warmup_left_ms": 0, "seq": 1, "born": r.born,
	})
}

// drain reports that the replica leaves and returns when the store has accepted that.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.register("draining")
	return time.Now()
}

// exit ends the replica: connections break.
func (r *replica) exit() {
	_ = r.server.Close()
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	id := req.Header.Get("X-Request-Id")
	r.mu.Lock()
	work := r.work
	r.mu.Unlock()
	r.sayLeaving(h)
	h.Set("X-Instance-Id", r.id)
	if req.URL.Path == "/healthz" {
		if h.Get("Server-Leaving") != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	r.site.seen.arrived(r, id, arrived)
	if !r.takeSlot(req) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	body, _ := io.ReadAll(req.Body)
	r.site.seen.ran(r, id)
	r.site.record.add("server %s (%s) runs %s: %s %s, body of %d bytes", r.id, r.service, id, req.Method, req.RequestURI, len(body))
	select {
	case <-time.After(work):
	case <-req.Context().Done():
		r.site.record.add("server %s: the connection of %s has ended while it worked", r.id, id)
		return
	}
	f := faultNone
	if r.fault != nil {
		f = r.fault()
	}
	h.Set("X-Server-Stamp", r.service+"."+id)
	r.sayLeaving(h) // it may have begun to leave meanwhile
	switch f {
	case faultLost:
		r.site.record.add("server %s loses the answer of %s", r.id, id)
		panic(http.ErrAbortHandler)
	case fault503:
		r.site.record.add("server %s answers %s with its own failure, 503 without X-Not-Executed", r.id, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("failed\n"))
		return
	}
	r.answer(w, id)
}

// sayLeaving names in an answer that the server leaves, if it does.
func (r *replica) sayLeaving(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
}

// answer writes the whole answer.
func (r *replica) answer(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(bytes.Repeat([]byte("a"), answerBytes)); err != nil {
		r.site.record.add("server %s: the connection of %s has broken", r.id, id)
		return
	}
	r.site.record.add("server %s has answered %s", r.id, id)
}

// takeSlot waits for a slot. It reports false if too many wait.
func (r *replica) takeSlot(req *http.Request) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	if r.queued >= queuePerReplica {
		r.mu.Unlock()
		return false
	}
	r.queued++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.queued--
		r.mu.Unlock()
	}()
	select {
	case r.slots <- struct{}{}:
		return true
	case <-req.Context().Done():
		return false
	}
}

// seen holds what servers have seen of requests.
type seen struct {
	mu       sync.Mutex
	arrivals []arrival
	runs     map[string][]string // services by request
}

// arrival is a request that has reached a server and was not misdirected.
type arrival struct {
	id     string
	server *replica
	at     time.Time
}

func (s *seen) arrived(r *replica, id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id, r, at})
}

func (s *seen) ran(r *replica, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], r.service)
}

func (s *seen) runsOf(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
