package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// buckets is the number of latency buckets; each is half an octave wide, the first
	// ends at 1 ms and the last is open from 8 s.
	buckets = 28
	// slowBuckets above the bucket of the old version's median begin the slow answers,
	// those that took at least 2 to 2.8 times as long.
	slowBuckets = 3
	// minMedianBucket stands for lower medians, 4 ms: a stall of the machine is longer
	// than three times such a latency.
	minMedianBucket = 4
	// maxRoutes bounds the routes of the evidence; answers of others count under "".
	maxRoutes = 24
	// windowTime is the time after which the recent evidence begins anew. It also does
	// when the shift begins.
	windowTime = 3 * time.Second
	// firstShiftWindow is the number of the first window of the shift, beyond those of
	// any canary phase.
	firstShiftWindow = 1 << 32
)

// Tally counts the answers of one version on one route.
type Tally struct {
	Answers int `json:"n,omitempty"`
	Failed  int `json:"failed,omitempty"`
	// Latency counts the answers that did not fail by bucket; trailing zeros are cut.
	Latency []int `json:"latency,omitempty"`
}

// Pair holds the tallies of both versions.
type Pair struct {
	Old Tally `json:"old"`
	New Tally `json:"new"`
}

// Evidence holds the tallies by route: all, and those of the recent window, in which a
// version shows that has turned bad after many good answers.
type Evidence struct {
	Total  map[string]Pair `json:"total,omitempty"`
	Window int64           `json:"window,omitempty"`
	Recent map[string]Pair `json:"recent,omitempty"`
}

// Answer is one outcome of a send.
type Answer struct {
	Route string
	New   bool
	// Failed is set for an answer that is a failure, or none at all.
	Failed bool
	// Untimed is set if the latency says nothing, as with a cold replica.
	Untimed bool
	Latency time.Duration
}

// WindowAt returns the number of the window at a time. shiftedAt is zero before the shift.
func WindowAt(now, startedAt, shiftedAt time.Time) int64 {
	if !shiftedAt.IsZero() {
		return firstShiftWindow + int64(max(0, now.Sub(shiftedAt))/windowTime)
	}
	return int64(max(0, now.Sub(startedAt)) / windowTime)
}

func bucketOf(latency time.Duration) int {
	if latency <= time.Millisecond {
		return 0
	}
	return min(buckets-1, int(math.Ceil(2*math.Log2(float64(latency)/float64(time.Millisecond)))))
}

// Record counts one answer. It changes the evidence in place, so that an answer costs no
// copy; sums and copies of the evidence are not affected.
func (e *Evidence) Record(window int64, a Answer) {
	if a.Untimed && !a.Failed {
		return
	}
	if window > e.Window {
		e.Window, e.Recent = window, nil
	}
	e.Total = recordIn(e.Total, a)
	if window == e.Window {
		e.Recent = recordIn(e.Recent, a)
	}
}

func recordIn(pairs map[string]Pair, a Answer) map[string]Pair {
	if pairs == nil {
		pairs = map[string]Pair{}
	}
	if _, known := pairs[a.Route]; !known && len(pairs) >= maxRoutes {
		a.Route = ""
	}
	pair := pairs[a.Route]
	tally := &pair.Old
	if a.New {
		tally = &pair.New
	}
	tally.Answers++
	if a.Failed {
		tally.Failed++
	} else {
		bucket := bucketOf(a.Latency)
		for len(tally.Latency) <= bucket {
			tally.Latency = append(tally.Latency, 0)
		}
		tally.Latency[bucket]++
	}
	pairs[a.Route] = pair
	return pairs
}

// Add adds other evidence. Of the recent windows, the later one counts.
func (e *Evidence) Add(other Evidence) {
	e.Total = addPairs(e.Total, other.Total)
	switch {
	case other.Window > e.Window:
		e.Window, e.Recent = other.Window, addPairs(nil, other.Recent)
	case other.Window == e.Window:
		e.Recent = addPairs(e.Recent, other.Recent)
	}
}

func addPairs(to, from map[string]Pair) map[string]Pair {
	if to == nil {
		to = map[string]Pair{}
	}
	for route, pair := range from {
		if _, known := to[route]; !known && len(to) >= maxRoutes {
			route = ""
		}
		to[route] = Pair{Old: to[route].Old.plus(pair.Old), New: to[route].New.plus(pair.New)}
	}
	return to
}

func (t Tally) plus(o Tally) Tally {
	sum := append([]int(nil), t.Latency...)
	sum = append(sum, make([]int, max(0, len(o.Latency)-len(sum)))...)
	for i, n := range o.Latency {
		sum[i] += n
	}
	return Tally{Answers: t.Answers + o.Answers, Failed: t.Failed + o.Failed, Latency: sum}
}

// Valid reports whether evidence that another VM has sent can be added.
func (e Evidence) Valid() bool {
	for _, pairs := range []map[string]Pair{e.Total, e.Recent} {
		if len(pairs) > maxRoutes+1 {
			return false
		}
		for _, p := range pairs {
			for _, t := range []Tally{p.Old, p.New} {
				if t.Answers < 0 || t.Failed < 0 || len(t.Latency) > buckets || slices.ContainsFunc(t.Latency, func(n int) bool { return n < 0 }) {
					return false
				}
			}
		}
	}
	return e.Window >= 0
}

// clone returns a copy that shares nothing.
func (e Evidence) clone() Evidence {
	return Evidence{Total: addPairs(nil, e.Total), Window: e.Window, Recent: addPairs(nil, e.Recent)}
}

// Plus returns the sum of both.
func (e Evidence) Plus(other Evidence) Evidence {
	sum := e.clone()
	sum.Add(other)
	return sum
}

// NewAnswers returns the number of answers of the new version, in all and in the recent
// window.
func (e Evidence) NewAnswers() (total, recent int) {
	for _, p := range e.Total {
		total += p.New.Answers
	}
	for _, p := range e.Recent {
		recent += p.New.Answers
	}
	return total, recent
}

// slowFrom returns the first bucket of slow answers by the latencies of the old
// version; with none known, no answer is slow.
func (t Tally) slowFrom() int {
	sum := 0
	for _, n := range t.Latency {
		sum += n
	}
	seen := 0
	for i, n := range t.Latency {
		if seen += n; 2*seen >= sum && sum > 0 {
			return max(i, minMedianBucket) + slowBuckets
		}
	}
	return buckets
}

// bad returns the number of answers that failed or were slow.
func (t Tally) bad(slowFrom int) int {
	n := t.Failed
	for _, slow := range t.Latency[min(slowFrom, len(t.Latency)):] {
		n += slow
	}
	return n
}

// routesOf returns the routes with answers of the new version.
func routesOf(pairs map[string]Pair) []string {
	var routes []string
	for r, p := range pairs {
		if p.New.Answers > 0 {
			routes = append(routes, r)
		}
	}
	slices.Sort(routes)
	return routes
}
