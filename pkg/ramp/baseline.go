package ramp

import "math"

const (
	recentSize = 8
	// baselineWeight makes the baseline follow about the last 16 normal answers.
	baselineWeight = 1.0 / 16
	// maxOperations bounds the baselines of one window. Further operations share one.
	maxOperations = 16
)

// baseline is the service time of normal answers to one operation. Operations
// are kept apart because a quick check and a full search differ by more than
// JumpFactor, and a change of the mix is no sign of a cold replica.
type baseline struct {
	value    float64
	evidence int
	// recent holds the last service times and bases the value before each of
	// them, so that the start of a slow phase cannot raise the reference.
	recent [recentSize]float64
	bases  [recentSize]float64
	filled int
	next   int
}

// reference returns the lowest value before the recent completions.
func (b *baseline) reference() float64 {
	ref := b.value
	for _, v := range b.bases[:b.filled] {
		ref = math.Min(ref, v)
	}
	return ref
}

// learn takes in one service time. In a normal phase the value follows the
// mean of answers clipped at SlowFactor. In a slow phase it only drifts upwards
// slowly. When most recent answers take less than half of it, it follows at once.
func (b *baseline) learn(s, busy float64) {
	ref := b.reference()
	b.bases[b.next] = b.value
	b.recent[b.next] = s
	b.next = (b.next + 1) % recentSize
	b.filled = min(b.filled+1, recentSize)
	middle := b.median()
	switch {
	case middle > SlowFactor*ref:
		b.set(ref * math.Exp2(busy/float64(BaselineDoubleAfter)))
	case middle < b.value/SlowFactor && b.filled == recentSize:
		b.set(middle)
	default:
		b.evidence++
		b.value += (math.Min(s, SlowFactor*b.value) - b.value) * baselineWeight
	}
}

// median returns the upper median of the recent service times.
func (b *baseline) median() float64 {
	var sorted [recentSize]float64
	n := copy(sorted[:], b.recent[:b.filled])
	for i := 1; i < n; i++ {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[n/2]
}

// set replaces the value and the reference.
func (b *baseline) set(v float64) {
	b.value = v
	for i := range b.bases[:b.filled] {
		b.bases[i] = v
	}
}

func (b *baseline) forget() {
	b.filled = 0
	b.next = 0
}
