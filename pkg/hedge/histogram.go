package hedge

import (
	"math"
	"time"
)

const (
	// stepsPerOctave gives buckets 9% apart, finer than a delay needs.
	stepsPerOctave = 8
	// bucketCount covers 2^-20 to 2^5 s, that is 1 us to 32 s.
	bucketCount = 25 * stepsPerOctave
	smallest    = float64(time.Second) / (1 << 20)
	// generation is the number of answers after which the older half of the
	// histogram is dropped, so it covers the last 1,024 to 2,048 answers.
	generation = 1024
)

// histogram holds the recent latencies in two generations.
type histogram struct {
	total   uint64
	current [bucketCount]uint32
	older   [bucketCount]uint32
	count   uint32 // in current
	olderN  uint32
}

// add counts a latency and returns the number of latencies ever counted.
func (h *histogram) add(d time.Duration) uint64 {
	if h.count == generation {
		h.older, h.olderN = h.current, h.count
		h.current, h.count = [bucketCount]uint32{}, 0
	}
	h.current[bucketOf(d)]++
	h.count++
	h.total++
	return h.total
}

func bucketOf(d time.Duration) int {
	if float64(d) <= smallest {
		return 0
	}
	at := int(math.Log2(float64(d)/smallest) * stepsPerOctave)
	return min(at, bucketCount-1)
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (h *histogram) quantile(q float64) time.Duration {
	rank := q * float64(h.count+h.olderN)
	seen := 0.0
	for i := range h.current {
		seen += float64(h.current[i] + h.older[i])
		if seen >= rank && seen > 0 {
			return time.Duration(smallest * math.Exp2(float64(i+1)/stepsPerOctave))
		}
	}
	return NeverHedge
}
