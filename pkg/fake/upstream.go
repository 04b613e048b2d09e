package fake

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Defaults of UpstreamConfig.
const (
	// DefaultSlots is the number of concurrent runs.
	DefaultSlots = 3
	// DefaultMaxConns is the number of connections accepted.
	DefaultMaxConns = 30
)

// ColdConfig describes an upstream's cold start. The zero value has none. The
// upstream is warm again once For has passed and Runs runs have completed.
type ColdConfig struct {
	For  time.Duration
	Runs int
	// Limit is the concurrency that the cold upstream handles; 0 means 1.
	// Sends beyond it are shed with code "cold".
	Limit int
	// Factor multiplies service times; 0 means 1.
	Factor float64
	// CrashAt is the number of concurrent sends that crashes the cold
	// upstream; sends shed since the last completion count as concurrent.
	// 0 means the larger of Slots and Limit+2.
	CrashAt int
}

// UpstreamConfig configures an Upstream. Data must be set.
type UpstreamConfig struct {
	Replica model.ReplicaID
	// Addr is the IPv4 loopback address to listen on; empty selects a free port.
	Addr string
	Kind model.ServiceKind
	// Data is searched by search services and read by lookup operations.
	Data     *Dataset
	Versions []IndexVersion
	Order    []model.OrderKey
	// Operations lists the operations of a lookup service.
	Operations map[string]model.Operation
	// Executions counts non-idempotent operations; nil creates a count of its own.
	Executions *Executions
	Slots      int
	// Overcommit is the number of runs accepted beyond Slots. With a value
	// above 0 MaxConcurrency shows how far a sender exceeds the slots.
	Overcommit int
	MaxConns   int
	// ConnCost delays the first reply on a new connection, counted from the
	// time it was accepted.
	ConnCost time.Duration
	// ServiceTime is the median time of a run. Variation is the standard
	// deviation of its logarithm. A share TailChance of the runs takes
	// TailFactor times as long.
	ServiceTime                       time.Duration
	Variation, TailChance, TailFactor float64
	// Seed fixes the sequence of service times, together with Replica.
	Seed uint64
	Cold ColdConfig
	// StartWarm skips the cold start of the first instance.
	StartWarm bool
	// StatusLag is the age that values in /status can have.
	StatusLag time.Duration
	// RestartAfter restarts the upstream that long after a crash; 0 leaves it
	// down until Restart.
	RestartAfter time.Duration
}

// Upstream is a stand-in for one upstream server.
type Upstream struct {
	config     UpstreamConfig
	addr       string
	reserved   *reservation
	server     *http.Server
	executions *Executions

	mu         sync.Mutex
	rng        *rand.Rand
	listener   net.Listener // nil while crashed
	conns      map[*conn]struct{}
	silenced   []*conn
	instance   string
	dead       chan struct{} // closed when the instance crashes
	closed     bool
	versions   map[uint64]IndexVersion
	running    map[*run]struct{}
	cold       bool
	coldSince  time.Time
	coldDone   int
	coldExcess int // sends shed since the last completion
	faults     faults
	counters   UpstreamCounters
	sends      times
	runs       times
	progress   chan struct{} // closed and replaced when a counter changes
	status     upstreamStatus
	statusAt   time.Time
}

// NewUpstream starts an upstream on loopback.
func NewUpstream(c UpstreamConfig) (*Upstream, error) {
	c = withDefaults(c)
	reserved, addr, err := reserve(c.Addr)
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		config:     c,
		addr:       addr,
		reserved:   reserved,
		executions: c.Executions,
		rng:        rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(string(c.Replica)))),
		conns:      map[*conn]struct{}{},
		versions:   map[uint64]IndexVersion{},
		running:    map[*run]struct{}{},
		progress:   make(chan struct{}),
	}
	u.counters.Refused = map[string]int{}
	u.faults.slow = 1
	for _, v := range c.Versions {
		u.PublishVersion(v)
	}
	u.server = &http.Server{
		Handler:  u.routes(),
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.start(!c.StartWarm); err != nil {
		reserved.close()
		return nil, err
	}
	return u, nil
}

// withDefaults fills in what the configuration leaves open.
func withDefaults(c UpstreamConfig) UpstreamConfig {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	if c.Executions == nil {
		c.Executions = NewExecutions()
	}
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.MaxConns == 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.Cold.Limit == 0 {
		c.Cold.Limit = 1
	}
	if c.Cold.Factor == 0 {
		c.Cold.Factor = 1
	}
	if c.Cold.CrashAt == 0 {
		c.Cold.CrashAt = max(c.Slots, c.Cold.Limit+2)
	}
	return c
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// start begins a new instance.
func (u *Upstream) start(cold bool) error {
	listener, err := net.Listen("tcp4", u.addr)
	if err != nil {
		return errs.Refuse(errs.AddressInUse, "listen on %s: %v", u.addr, err)
	}
	u.listener = listener
	u.instance = uuid.NewString()
	u.dead = make(chan struct{})
	u.statusAt = time.Time{}
	u.setCold(cold)
	go func() { _ = u.server.Serve(&limitedListener{listener, u}) }()
	return nil
}

// setCold starts or ends the cold state.
func (u *Upstream) setCold(cold bool) {
	u.cold = cold
	u.coldSince = time.Now()
	u.coldDone = 0
	u.coldExcess = 0
}

// isCold reports whether the cold state lasts.
func (u *Upstream) isCold(now time.Time) bool {
	c := u.config.Cold
	if u.cold && now.Sub(u.coldSince) >= c.For && u.coldDone >= c.Runs {
		u.setCold(false)
	}
	return u.cold
}

// Addr returns the address that the upstream listens on.
func (u *Upstream) Addr() string { return u.addr }

// Instance returns the identity of the running or last instance.
func (u *Upstream) Instance() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance
}

// Close stops the upstream for good.
func (u *Upstream) Close() {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return
	}
	u.closed = true
	conns := u.stop()
	silenced := u.silenced
	u.silenced = nil
	u.mu.Unlock()
	resetAll(conns)
	resetAll(silenced)
	_ = u.server.Close()
	u.reserved.close()
}

// Crash ends the instance: connections are reset, new ones are refused and
// runs are lost. Silent connections stay silent.
func (u *Upstream) Crash() {
	u.mu.Lock()
	conns := u.crash()
	u.mu.Unlock()
	resetAll(conns)
}

// crash does the part of Crash that needs the lock and returns the connections
// to reset.
func (u *Upstream) crash() []*conn {
	if u.listener == nil {
		return nil
	}
	u.counters.Crashes++
	conns := u.stop()
	if u.config.RestartAfter > 0 && !u.closed {
		time.AfterFunc(u.config.RestartAfter, func() { _ = u.Restart() })
	}
	u.advance()
	return conns
}

// stop ends the instance and returns its connections.
func (u *Upstream) stop() []*conn {
	if u.listener == nil {
		return nil
	}
	_ = u.listener.Close()
	u.listener = nil
	close(u.dead)
	u.running = map[*run]struct{}{}
	var conns []*conn
	for c := range u.conns {
		if c.silent.Load() {
			u.silenced = append(u.silenced, c)
		} else {
			conns = append(conns, c)
		}
	}
	u.conns = map[*conn]struct{}{}
	return conns
}

// resetAll resets connections. The caller holds no lock.
func resetAll(conns []*conn) {
	for _, c := range conns {
		c.reset()
	}
}

// Restart starts a new instance after a crash; it is cold if a cold start is
// configured. It does nothing when the upstream runs.
func (u *Upstream) Restart() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener != nil || u.closed {
		return nil
	}
	u.faults.draining = false
	return u.start(true)
}

// Silence makes all established connections stop answering for good, without
// closing them. New connections work.
func (u *Upstream) Silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.silent.Store(true)
	}
}

// Counters returns a copy of the counters.
func (u *Upstream) Counters() UpstreamCounters {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counters
	c.Refused = map[string]int{}
	for code, n := range u.counters.Refused {
		c.Refused[code] = n
	}
	return c
}

// SendsAfter returns the number of run requests that arrived after a time.
func (u *Upstream) SendsAfter(at time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sends.after(at)
}

// RunsAfter returns the number of runs that started after a time.
func (u *Upstream) RunsAfter(at time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs.after(at)
}

// Executions returns the count of non-idempotent operations.
func (u *Upstream) Executions() *Executions { return u.executions }

// Running returns the number of runs in progress.
func (u *Upstream) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.running)
}

// Connections returns the number of open connections.
func (u *Upstream) Connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// Await waits until the condition holds for the counters and the number of
// runs in progress. It returns the context's error when that ends first.
func (u *Upstream) Await(ctx context.Context, condition func(c UpstreamCounters, running int) bool) error {
	for {
		u.mu.Lock()
		met := condition(u.counters, len(u.running))
		changed := u.progress
		u.mu.Unlock()
		if met {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errs.Refuse(errs.DeadlineExceeded, "condition not met: %v", ctx.Err())
		}
	}
}

// advance wakes Await.
func (u *Upstream) advance() {
	close(u.progress)
	u.progress = make(chan struct{})
}

// held returns the versions in order.
func (u *Upstream) held() []IndexVersion {
	var held []IndexVersion
	for _, v := range u.versions {
		held = append(held, v)
	}
	slices.SortFunc(held, func(a, b IndexVersion) int { return int(a.Version) - int(b.Version) })
	return held
}
