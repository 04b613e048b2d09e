// Package routing picks a replica of a group by its expected completion time.
// It performs no I/O; the caller passes the time.
package routing

import (
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// DistanceFloor is added to each distance in the weight of a draw, so that
	// a very near replica does not win every draw.
	DistanceFloor = 250 * time.Microsecond
	// ExploreShare is the share of draws of an unknown or stale replica, with
	// nothing outstanding there, that try it out. It is small because every
	// entry VM explores a new replica on its own.
	ExploreShare = 1.0 / 8
	// RetainFor is how long statistics of an unused replica are kept.
	RetainFor = 10 * time.Minute

	shardCount = 64
	// sweepAbove is the size of a shard above which an insertion looks for unused entries.
	sweepAbove = 64
)

// Reasons of a choice.
const (
	ReasonOnly     = "only candidate"
	ReasonRandom   = "random choice of the baseline"
	ReasonExpected = "lower expected completion of two"
	ReasonExplore  = "explored, no recent statistics"
	ReasonScan     = "lowest expected completion, both drawn replicas fail or are cold"
)

// Candidate is a replica that holds the pinned snapshot and may get work.
type Candidate struct {
	Replica  model.ReplicaID
	Distance time.Duration
}

// Choice is the picked replica and why it was picked.
type Choice struct {
	Replica    model.ReplicaID
	Expected   time.Duration
	Reason     string
	Considered int
}

// Table holds the statistics of the replicas one entry VM sends to. It may be
// used by many goroutines.
type Table struct {
	seed   maphash.Seed
	random atomic.Uint64
	shards [shardCount]shard
	// uniform picks at random, as a baseline for measurements.
	uniform bool
}

type shard struct {
	mu       sync.RWMutex
	replicas map[model.ReplicaID]*stats
	_        [64]byte // keeps the locks of two shards out of one cache line
}

// NewTable returns an empty table. The random source is used only to seed the
// table's own generator, which needs no lock.
func NewTable(rng *rand.Rand) *Table {
	t := &Table{seed: maphash.MakeSeed()}
	t.random.Store(rng.Uint64())
	for i := range t.shards {
		t.shards[i].replicas = map[model.ReplicaID]*stats{}
	}
	return t
}

// NewRandomTable returns a table that picks at random and ignores what is
// reported to it. Measurements compare it with a table of NewTable.
func NewRandomTable(rng *rand.Rand) *Table {
	t := NewTable(rng)
	t.uniform = true
	return t
}

// Pick chooses a replica. It draws two candidates, near ones with more
// weight, and takes the one with the lower expected completion. It is false
// only without candidates.
func (t *Table) Pick(now time.Time, candidates []Candidate) (Choice, bool) {
	n := len(candidates)
	if n == 0 {
		return Choice{}, false
	}
	if t.uniform {
		return Choice{Replica: candidates[t.next()%uint64(n)].Replica, Reason: ReasonRandom, Considered: n}, true
	}
	if n == 1 {
		e := t.estimate(now, candidates[0])
		return Choice{candidates[0].Replica, e.expected(defaults), ReasonOnly, n}, true
	}
	random := t.next()
	i, j := draw(candidates, random)
	a := t.estimate(now, candidates[i])
	b := t.estimate(now, candidates[j])
	chance := float64(random&0xffff) / 0x10000
	if chance < ExploreShare && a.explorable() != b.explorable() {
		chosen, other := a, b
		if b.explorable() {
			chosen, other = b, a
		}
		return Choice{chosen.Replica, chosen.expected(other), ReasonExplore, n}, true
	}
	best, other, reason := a, b, ReasonExpected
	if b.before(a) {
		best, other = b, a
	}
	if best.failing() || best.cold() {
		reason = ReasonScan
		best, other = t.scan(now, candidates, best, other)
	}
	return Choice{best.Replica, best.expected(other), reason, n}, true
}

// scan looks at all candidates, because a draw of two bad replicas must not
// hide a good one.
func (t *Table) scan(now time.Time, candidates []Candidate, best, other estimate) (estimate, estimate) {
	for _, c := range candidates {
		e := t.estimate(now, c)
		if e.before(best) {
			best, other = e, best
		}
	}
	return best, other
}

// Sent reports that a request was sent to the replica.
func (t *Table) Sent(now time.Time, r model.ReplicaID) {
	s := t.entry(now, r)
	s.mu.Lock()
	s.used = now
	s.own++
	s.mu.Unlock()
}

// Completed reports a complete answer.
func (t *Table) Completed(now time.Time, r model.ReplicaID, latency time.Duration, hint wire.LoadHint) {
	s := t.entry(now, r)
	s.mu.Lock()
	s.ended(now)
	s.completed(now, latency, hint)
	s.mu.Unlock()
}

// Failed reports a failed request. Failures that are not the replica's add no penalty.
func (t *Table) Failed(now time.Time, r model.ReplicaID, code errs.Code) {
	s := t.entry(now, r)
	s.mu.Lock()
	s.ended(now)
	s.addPenalty(now, penaltyOf(code))
	s.mu.Unlock()
}

// Canceled reports a request that was canceled before its answer. It tells
// nothing about the latency of the replica.
func (t *Table) Canceled(now time.Time, r model.ReplicaID) {
	s := t.entry(now, r)
	s.mu.Lock()
	s.ended(now)
	s.mu.Unlock()
}

// CanceledAfter reports a request that was canceled when the replica had not
// answered it for elapsed, usually because another replica answered first. The
// replica's latency is at least elapsed: without this sample, a replica that no
// longer answers would keep the estimate of its last answers.
func (t *Table) CanceledAfter(now time.Time, r model.ReplicaID, elapsed time.Duration) {
	s := t.entry(now, r)
	s.mu.Lock()
	s.ended(now)
	s.overtaken(now, elapsed)
	s.mu.Unlock()
}

// next returns the next value of a splitmix64 sequence.
func (t *Table) next() uint64 {
	z := t.random.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// draw returns the indices of two different candidates. It uses the upper 48
// bits of random.
func draw(candidates []Candidate, random uint64) (int, int) {
	total := 0.0
	for i := range candidates {
		total += weight(candidates[i])
	}
	first := pickWeighted(candidates, -1, total*float64(random>>40)/(1<<24))
	total -= weight(candidates[first])
	second := pickWeighted(candidates, first, total*float64(random>>16&0xffffff)/(1<<24))
	return first, second
}

func weight(c Candidate) float64 {
	return 1 / float64(max(c.Distance, 0)+DistanceFloor)
}

func pickWeighted(candidates []Candidate, skip int, at float64) int {
	last := 0
	for i := range candidates {
		if i == skip {
			continue
		}
		last = i
		at -= weight(candidates[i])
		if at < 0 {
			break
		}
	}
	return last
}

func (t *Table) shardOf(r model.ReplicaID) *shard {
	return &t.shards[maphash.String(t.seed, string(r))%shardCount]
}

func (t *Table) find(r model.ReplicaID) *stats {
	sh := t.shardOf(r)
	sh.mu.RLock()
	s := sh.replicas[r]
	sh.mu.RUnlock()
	return s
}

func (t *Table) entry(now time.Time, r model.ReplicaID) *stats {
	if s := t.find(r); s != nil {
		return s
	}
	sh := t.shardOf(r)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.replicas[r]; s != nil {
		return s
	}
	if len(sh.replicas) >= sweepAbove {
		sh.sweep(now)
	}
	s := &stats{used: now}
	sh.replicas[r] = s
	return s
}

// sweep forgets replicas that left the configuration.
func (sh *shard) sweep(now time.Time) {
	for id, s := range sh.replicas {
		s.mu.Lock()
		unused := now.Sub(s.used) > RetainFor
		s.mu.Unlock()
		if unused {
			delete(sh.replicas, id)
		}
	}
}
