package hedge

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave makes each bucket 9% wider than the one before it, which is
	// precise enough for a hedge delay.
	bucketsPerOctave = 8
	// bucketCount covers 2^-20 to 2^5 s, that is 1 us to 32 s.
	bucketCount   = 25 * bucketsPerOctave
	smallestNanos = float64(time.Second) / (1 << 20)
	// generationSize is the number of latencies in a generation. With the current
	// and the older generation, the histogram covers the last 1,024 to 2,048
	// latencies.
	generationSize = 1024
)

// histogram counts the recent latencies in two generations. When the current one
// is full, it replaces the older one.
type histogram struct {
	totalCount   uint64 // latencies ever added
	current      [bucketCount]uint32
	older        [bucketCount]uint32
	currentCount uint32
	olderCount   uint32
}

// add counts a latency and returns the number of latencies ever added.
func (h *histogram) add(d time.Duration) uint64 {
	if h.currentCount == generationSize {
		h.older, h.olderCount = h.current, h.currentCount
		h.current, h.currentCount = [bucketCount]uint32{}, 0
	}
	h.current[bucketOf(d)]++
	h.currentCount++
	h.totalCount++
	return h.totalCount
}

func bucketOf(d time.Duration) int {
	if float64(d) <= smallestNanos {
		return 0
	}
	at := int(math.Log2(float64(d)/smallestNanos) * bucketsPerOctave)
	return min(at, bucketCount-1)
}

// quantile returns the upper bound of the bucket that holds the quantile q,
// NeverHedge for an empty histogram.
func (h *histogram) quantile(q float64) time.Duration {
	rank := q * float64(h.currentCount+h.olderCount)
	seen := 0.0
	for i := range h.current {
		seen += float64(h.current[i] + h.older[i])
		if seen >= rank && seen > 0 {
			return time.Duration(smallestNanos * math.Exp2(float64(i+1)/bucketsPerOctave))
		}
	}
	return NeverHedge
}
