package ramp

import "math"

const (
	// answersPerBlock is the number of answers whose mean updates a baseline.
	// Single answers vary by more than JumpFactor within one operation. In a
	// simulation with exponential service times, a baseline that was updated by
	// each answer fell to the times of the fastest ones.
	answersPerBlock = 16
	// blockWeight is the weight of one block in the moving average. The average
	// covers about the last 4 normal blocks.
	blockWeight = 1.0 / 4
	// maxFalseJumpProbability is the highest accepted probability that a run of
	// slow answers which counts as a jump came about by chance.
	maxFalseJumpProbability = 1e-6
	// maxJumpRunLength is the largest value that jumpRunLength returns.
	maxJumpRunLength = 16
	// normalRunLength is the number of normal answers in a row that end a slow phase.
	// With exponential service times that are 2.5 times as long as normal, half a
	// block of normal answers occurs by chance in less than 1% of the cases.
	normalRunLength = 8
	// maxOperations limits the operations of one window that have a baseline of
	// their own. Further operations share one.
	maxOperations = 16
)

// baseline estimates the service time of normal answers to one operation. Each
// operation has its own, because a quick check and a full search differ by more
// than JumpFactor, and a change in the mix of operations does not mean that the
// replica is cold.
type baseline struct {
	normalNanos      float64 // service time of a normal answer in nanoseconds
	sampleCount      int     // answers before it is proven; normalNanos is their mean until then
	jumpShare        float64 // share of answers in normal blocks that exceed JumpFactor
	slowPhase        bool    // set by a slow block, cleared by a run of normal answers
	normalInRow      int     // normal answers since the last slow one
	blockAnswers     int     // answers in the current block
	blockNanos       float64 // sum of the service times in the current block
	blockJumpAnswers int     // answers in the current block that exceed JumpFactor
}

// proven reports whether the baseline rests on at least MinBaselineAnswers answers.
func (b *baseline) proven() bool { return b.sampleCount >= MinBaselineAnswers }

// isNormal reports whether an answer indicates a warm replica.
func (b *baseline) isNormal(serviceNanos float64) bool {
	return !b.slowPhase && serviceNanos <= SlowFactor*b.normalNanos
}

// exceedsJump reports whether an answer takes longer than JumpFactor times the baseline.
func (b *baseline) exceedsJump(serviceNanos float64) bool {
	return b.sampleCount > 0 && serviceNanos > JumpFactor*b.normalNanos
}

// jumpRunLength returns how many answers in a row must exceed JumpFactor to count
// as a jump. It is JumpRunLength unless such answers are common in normal blocks.
func (b *baseline) jumpRunLength() int {
	if b.jumpShare <= 0 {
		return JumpRunLength
	}
	n := math.Ceil(math.Log(maxFalseJumpProbability) / math.Log(b.jumpShare))
	return int(math.Min(math.Max(n, JumpRunLength), maxJumpRunLength))
}

// record adds the service time of one answer. A proven baseline changes at the end
// of a block, and in a slow phase also rises with the busy time.
func (b *baseline) record(serviceNanos, busyNanos float64) {
	if !b.proven() {
		b.sampleCount++
		b.normalNanos += (serviceNanos - b.normalNanos) / float64(b.sampleCount)
		return
	}
	if b.exceedsJump(serviceNanos) {
		b.blockJumpAnswers++
	}
	b.trackSlowPhase(serviceNanos)
	if b.slowPhase {
		b.normalNanos *= math.Exp2(busyNanos / float64(BaselineDoublingTime))
	}
	b.blockAnswers++
	b.blockNanos += serviceNanos
	if b.blockAnswers == answersPerBlock {
		b.endBlock()
	}
}

// trackSlowPhase counts normal answers in a row and ends a slow phase after
// normalRunLength of them.
func (b *baseline) trackSlowPhase(serviceNanos float64) {
	b.normalInRow++
	if serviceNanos > SlowFactor*b.normalNanos {
		b.normalInRow = 0
	}
	if b.slowPhase && b.normalInRow >= normalRunLength {
		b.slowPhase = false
		b.startBlock()
	}
}

// endBlock moves the baseline towards the mean of a normal block. A slow block
// starts a slow phase and leaves the baseline as it is, so that the answers of a
// cold replica do not become normal.
func (b *baseline) endBlock() {
	meanNanos := b.blockNanos / answersPerBlock
	jumpShare := float64(b.blockJumpAnswers) / answersPerBlock
	b.startBlock()
	b.slowPhase = meanNanos > SlowFactor*b.normalNanos
	if b.slowPhase {
		return
	}
	b.jumpShare += (jumpShare - b.jumpShare) * blockWeight
	b.normalNanos += (meanNanos - b.normalNanos) * blockWeight
}

func (b *baseline) startBlock() {
	b.blockAnswers = 0
	b.blockNanos = 0
	b.blockJumpAnswers = 0
}

// resetPhase drops the current block and the slow phase and keeps the baseline.
func (b *baseline) resetPhase() {
	b.startBlock()
	b.normalInRow = 0
	b.slowPhase = false
}
