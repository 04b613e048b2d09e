// Package routing picks a replica of a group by the expected completion time of
// the request. It performs no I/O; the caller passes the current time.
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
	// DistanceFloor is added to the distance of each candidate before its weight
	// is computed. Without it a very near replica would win every random draw.
	DistanceFloor = 250 * time.Microsecond
	// ExploreProbability is the probability that an explorable replica among the
	// two that were drawn gets the request, whatever its expected completion. It
	// is small because every entry VM explores a new replica on its own.
	ExploreProbability = 1.0 / 8
	// UnusedRetention is the time after the last use of a replica until its
	// statistics may be removed.
	UnusedRetention = 10 * time.Minute

	stripeCount = 64
	// sweepThreshold is the number of replicas in a stripe from which an insertion
	// first removes the unused ones.
	sweepThreshold = 64
)

// Values of Choice.Reason.
const (
	ReasonOnlyCandidate = "only candidate"
	ReasonBaseline      = "random choice of the baseline"
	ReasonLowerExpected = "lower expected completion of two"
	ReasonExplore       = "explored, no recent statistics"
	ReasonFullScan      = "lowest expected completion, both drawn replicas fail or are cold"
)

// Candidate is a replica that can serve the request and may get new work.
type Candidate struct {
	Replica model.ReplicaID
	// Distance is the configured network latency from this VM to the replica.
	Distance time.Duration
}

// Choice is the picked replica and the reason for picking it.
type Choice struct {
	Replica model.ReplicaID
	// Expected is the expected completion time of the request at the replica.
	Expected       time.Duration
	Reason         string
	CandidateCount int
}

// Table holds the statistics of the replicas that one entry VM sends requests
// to. It is safe for concurrent use.
type Table struct {
	hashSeed maphash.Seed
	rngState atomic.Uint64
	stripes  [stripeCount]stripe
	// randomBaseline makes Pick choose uniformly at random and ignore the
	// statistics.
	randomBaseline bool
}

// stripe is the part of a Table under one lock. The hash of a replica's id
// selects its stripe.
type stripe struct {
	mu       sync.RWMutex
	replicas map[model.ReplicaID]*stats
	_        [64]byte // keeps the locks of two stripes out of one cache line
}

// NewTable returns an empty table. rng only seeds the table's own generator,
// which needs no lock.
func NewTable(rng *rand.Rand) *Table {
	t := &Table{hashSeed: maphash.MakeSeed()}
	t.rngState.Store(rng.Uint64())
	for i := range t.stripes {
		t.stripes[i].replicas = map[model.ReplicaID]*stats{}
	}
	return t
}

// NewRandomTable returns a table whose Pick chooses uniformly at random and
// ignores the reported outcomes. It is the baseline with which measurements
// compare a table of NewTable.
func NewRandomTable(rng *rand.Rand) *Table {
	t := NewTable(rng)
	t.randomBaseline = true
	return t
}

// Pick chooses a replica. It draws two candidates at random, near ones with a
// higher probability, and takes the one with the lower expected completion
// time. The result is false only if there are no candidates.
func (t *Table) Pick(now time.Time, candidates []Candidate) (Choice, bool) {
	n := len(candidates)
	if n == 0 {
		return Choice{}, false
	}
	if t.randomBaseline {
		return Choice{Replica: candidates[t.nextRandom()%uint64(n)].Replica, Reason: ReasonBaseline, CandidateCount: n}, true
	}
	if n == 1 {
		e := t.estimate(now, candidates[0])
		return Choice{candidates[0].Replica, e.expectedCompletion(defaultEstimate), ReasonOnlyCandidate, n}, true
	}
	random := t.nextRandom()
	i, j := drawTwo(candidates, random)
	a := t.estimate(now, candidates[i])
	b := t.estimate(now, candidates[j])
	chance := float64(random&0xffff) / 0x10000
	if chance < ExploreProbability && a.explorable() != b.explorable() {
		chosen, other := a, b
		if b.explorable() {
			chosen, other = b, a
		}
		return Choice{chosen.Replica, chosen.expectedCompletion(other), ReasonExplore, n}, true
	}
	best, other, reason := a, b, ReasonLowerExpected
	if b.preferredTo(a) {
		best, other = b, a
	}
	if best.failing() || best.cold() {
		reason = ReasonFullScan
		best, other = t.findBest(now, candidates, best, other)
	}
	return Choice{best.Replica, best.expectedCompletion(other), reason, n}, true
}

// findBest returns the best of all candidates and the one it was compared with.
// It is used if both drawn replicas fail or are cold, because another candidate
// may be healthy.
func (t *Table) findBest(now time.Time, candidates []Candidate, best, other estimate) (estimate, estimate) {
	for _, c := range candidates {
		e := t.estimate(now, c)
		if e.preferredTo(best) {
			best, other = e, best
		}
	}
	return best, other
}

// Sent records that a request was sent to a replica.
func (t *Table) Sent(now time.Time, r model.ReplicaID) {
	s := t.getOrCreateStats(now, r)
	s.mu.Lock()
	s.lastUsedAt = now
	s.ownOutstanding++
	s.mu.Unlock()
}

// Completed records a complete answer, its latency, and the load that the owner
// of the replica reported with it.
func (t *Table) Completed(now time.Time, r model.ReplicaID, latency time.Duration, hint wire.LoadHint) {
	s := t.getOrCreateStats(now, r)
	s.mu.Lock()
	s.removeOutstanding(now)
	s.addAnswer(now, latency, hint)
	s.mu.Unlock()
}

// Failed records a failed request. A failure that says nothing about the replica
// adds no penalty.
func (t *Table) Failed(now time.Time, r model.ReplicaID, code errs.Code) {
	s := t.getOrCreateStats(now, r)
	s.mu.Lock()
	s.removeOutstanding(now)
	s.addPenalty(now, penaltyFor(code))
	s.mu.Unlock()
}

// Canceled records a request that was canceled before its answer. It says
// nothing about the latency of the replica.
func (t *Table) Canceled(now time.Time, r model.ReplicaID) {
	s := t.getOrCreateStats(now, r)
	s.mu.Lock()
	s.removeOutstanding(now)
	s.mu.Unlock()
}

// CanceledAfter records a request that was canceled when the replica had not
// answered it for elapsed, usually because another replica answered first. The
// replica's latency is at least elapsed: without this sample, a replica that no
// longer answers would keep the estimate of its last answers.
func (t *Table) CanceledAfter(now time.Time, r model.ReplicaID, elapsed time.Duration) {
	s := t.getOrCreateStats(now, r)
	s.mu.Lock()
	s.removeOutstanding(now)
	s.addLowerBound(now, elapsed)
	s.mu.Unlock()
}

// nextRandom returns the next value of a splitmix64 sequence.
func (t *Table) nextRandom() uint64 {
	z := t.rngState.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// drawTwo returns the indices of two different candidates, drawn with the
// probabilities of drawWeight. It uses the upper 48 bits of random; Pick uses
// the lower 16 bits.
func drawTwo(candidates []Candidate, random uint64) (int, int) {
	total := 0.0
	for i := range candidates {
		total += drawWeight(candidates[i])
	}
	first := indexAt(candidates, -1, total*float64(random>>40)/(1<<24))
	total -= drawWeight(candidates[first])
	second := indexAt(candidates, first, total*float64(random>>16&0xffffff)/(1<<24))
	return first, second
}

// drawWeight returns the relative probability with which a candidate is drawn.
func drawWeight(c Candidate) float64 {
	return 1 / float64(max(c.Distance, 0)+DistanceFloor)
}

// indexAt returns the index of the candidate at position when the weights of
// all candidates except skip are laid end to end.
func indexAt(candidates []Candidate, skip int, position float64) int {
	last := 0
	for i := range candidates {
		if i == skip {
			continue
		}
		last = i
		position -= drawWeight(candidates[i])
		if position < 0 {
			break
		}
	}
	return last
}

func (t *Table) stripeOf(r model.ReplicaID) *stripe {
	return &t.stripes[maphash.String(t.hashSeed, string(r))%stripeCount]
}

// statsOf returns the statistics of a replica, or nil if there are none.
func (t *Table) statsOf(r model.ReplicaID) *stats {
	st := t.stripeOf(r)
	st.mu.RLock()
	s := st.replicas[r]
	st.mu.RUnlock()
	return s
}

func (t *Table) getOrCreateStats(now time.Time, r model.ReplicaID) *stats {
	if s := t.statsOf(r); s != nil {
		return s
	}
	st := t.stripeOf(r)
	st.mu.Lock()
	defer st.mu.Unlock()
	if s := st.replicas[r]; s != nil {
		return s
	}
	if len(st.replicas) >= sweepThreshold {
		st.removeUnused(now)
	}
	s := &stats{lastUsedAt: now}
	st.replicas[r] = s
	return s
}

// removeUnused removes the statistics of replicas that were not used for
// UnusedRetention, such as those that were removed from the configuration.
func (st *stripe) removeUnused(now time.Time) {
	for id, s := range st.replicas {
		s.mu.Lock()
		unused := now.Sub(s.lastUsedAt) > UnusedRetention
		s.mu.Unlock()
		if unused {
			delete(st.replicas, id)
		}
	}
}
