package fake

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Defaults of PlatformConfig.
const (
	// DefaultHistory is the number of changes that watches can look back on.
	DefaultHistory = 1024
	// DefaultValueLimit is the largest value in bytes that is stored.
	DefaultValueLimit = 1 << 20
	// staleDepth is the number of changes that stale reads can go back. The
	// replaced values are kept, so a larger number costs memory.
	staleDepth = 64
)

// PlatformConfig configures a Platform. The zero value is usable.
type PlatformConfig struct {
	// Addr is the loopback address to listen on; empty selects a free port.
	Addr string
	// Token is the bearer token that calls must carry; empty accepts all calls.
	Token string
	// History is the number of changes that watches can look back on.
	History int
	// ValueLimit is the largest accepted value in bytes.
	ValueLimit int
	// WritesPerSecond and ReadsPerSecond limit calls; 0 means no limit. A
	// watch counts as one read.
	WritesPerSecond, ReadsPerSecond float64
}

// PlatformCalls counts the calls that reached a Platform, by kind. Calls that
// were throttled or made during an outage are included in their kind.
type PlatformCalls struct {
	Get, Put, Delete, List, Watch, VMs uint64
	// Throttled is the number of calls that were answered with 429.
	Throttled uint64
}

// Total returns the number of calls of all kinds.
func (c PlatformCalls) Total() uint64 {
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.VMs
}

// Platform is a stand-in for the platform's object API.
type Platform struct {
	config   PlatformConfig
	listener net.Listener
	server   *http.Server
	closed   chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	store    objects
	changed  chan struct{} // closed and replaced at each change and outage
	calls    PlatformCalls
	writes   bucket
	reads    bucket
	down     bool
	delay    time.Duration
	lose     int
	throttle int
	staleGet int
	staleLst int
	vms      []vmList
	vmLag    time.Duration
}

// vmList is the VM list as it was set at one time.
type vmList struct {
	at  time.Time
	vms []model.VM
}

// NewPlatform starts a platform on loopback. It panics when it cannot listen,
// as httptest.NewServer does.
func NewPlatform(c PlatformConfig) *Platform {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	if c.History == 0 {
		c.History = DefaultHistory
	}
	if c.ValueLimit == 0 {
		c.ValueLimit = DefaultValueLimit
	}
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		panic(fmt.Sprintf("fake platform: listen on %s: %v", c.Addr, err))
	}
	p := &Platform{
		config:   c,
		listener: l,
		closed:   make(chan struct{}),
		conns:    map[net.Conn]struct{}{},
		store:    newObjects(c.History),
		changed:  make(chan struct{}),
		writes:   bucket{rate: c.WritesPerSecond},
		reads:    bucket{rate: c.ReadsPerSecond},
	}
	p.server = &http.Server{
		Handler:   http.HandlerFunc(p.serve),
		ErrorLog:  log.New(io.Discard, "", 0),
		ConnState: p.track,
	}
	go func() { _ = p.server.Serve(l) }()
	return p
}

// URL returns the base URL of the API.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Close stops the platform and ends all calls.
func (p *Platform) Close() {
	p.mu.Lock()
	select {
	case <-p.closed:
	default:
		close(p.closed)
	}
	p.mu.Unlock()
	_ = p.server.Close()
}

// track keeps the open connections so that an outage can cut them.
func (p *Platform) track(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case http.StateNew:
		p.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	}
}

// SetDown starts or ends an outage. During an outage each call, waiting
// watches included, ends with a closed connection, no answer and no effect.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	if !down {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
	p.wake()
}

// SetDelay delays each reply by d after the call has taken effect. Watches are
// not delayed.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseReplies makes the next n accepted writes take effect without an answer:
// the connection is closed instead.
func (p *Platform) LoseReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
}

// Throttle answers the next n calls with 429, whatever the rate is.
func (p *Platform) Throttle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.throttle = n
}

// SetStale makes reads of single objects and lists answer from the state of
// that many changes ago, at most 64. Writes always see the current state.
func (p *Platform) SetStale(reads, lists int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleGet = min(reads, staleDepth)
	p.staleLst = min(lists, staleDepth)
}

// Calls returns the calls counted so far.
func (p *Platform) Calls() PlatformCalls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetVMs sets the VM list. Entries that are neither alive nor leaving are left
// out of the list.
func (p *Platform) SetVMs(vms []model.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vmList{at: time.Now(), vms: append([]model.VM(nil), vms...)})
}

// ListLag makes the VM list show the list as it was set at least lag ago.
func (p *Platform) ListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLag = lag
}

// laggedVMs returns the newest list that is at least as old as the lag. The
// first list is visible at once, since an empty fleet is never shown.
func (p *Platform) laggedVMs(now time.Time) []model.VM {
	for len(p.vms) > 1 && now.Sub(p.vms[1].at) >= p.vmLag {
		p.vms = p.vms[1:]
	}
	if len(p.vms) == 0 {
		return nil
	}
	return p.vms[0].vms
}

// wake ends the wait of all watches, which then look at the state again.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// bucket is a token bucket that holds one second of calls. A rate of 0 is
// unlimited.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

// take reports whether a call is within the rate.
func (b *bucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	if b.last.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
