package ramp

import "math"

const (
	// blockSize is the number of answers whose mean moves a baseline. Single
	// answers vary by more than JumpFactor within one operation, and a baseline
	// that followed them collapsed to the fastest ones in a simulation with
	// exponential service times.
	blockSize = 16
	// blockWeight makes the baseline follow about the last 4 normal blocks.
	blockWeight = 1.0 / 4
	// chanceLimit is the probability of a run of slow answers by chance that is
	// low enough to call the run a jump.
	chanceLimit = 1e-6
	maxRun      = 16
	// normalRun is the number of normal answers in a row that end a slow phase.
	// Half a block is enough: when answers take 2.5 times as long and vary by an
	// exponential distribution, it happens by chance in less than 1% of the cases.
	normalRun = 8
	// maxOperations bounds the baselines of one window. Further operations share one.
	maxOperations = 16
)

// baseline is the service time of normal answers to one operation. Operations
// are kept apart because a quick check and a full search differ by more than
// JumpFactor, and a change of the mix is no sign of a cold replica.
type baseline struct {
	value   float64
	answers int     // answers until it is proven; its value is their mean
	tail    float64 // share of normal answers above JumpFactor
	slow    bool    // in a slow phase
	fast    int     // normal answers in a row
	count   int     // answers in the current block
	sum     float64
	above   int
}

// proven tells whether enough answers support the value.
func (b *baseline) proven() bool { return b.answers >= ProvenAfter }

// normal tells whether an answer is evidence of a warm replica.
func (b *baseline) normal(s float64) bool {
	return !b.slow && s <= SlowFactor*b.value
}

// jumped tells whether an answer is slow enough to count for a jump.
func (b *baseline) jumped(s float64) bool {
	return b.answers > 0 && s > JumpFactor*b.value
}

// run returns the number of slow answers in a row that make a jump. It is
// JumpRun unless slow answers are common in the normal phase.
func (b *baseline) run() int {
	if b.tail <= 0 {
		return JumpRun
	}
	n := math.Ceil(math.Log(chanceLimit) / math.Log(b.tail))
	return int(math.Min(math.Max(n, JumpRun), maxRun))
}

// learn takes in one answer. It moves a proven value at the end of a block.
func (b *baseline) learn(s, busy float64) {
	if !b.proven() {
		b.answers++
		b.value += (s - b.value) / float64(b.answers)
		return
	}
	if b.jumped(s) {
		b.above++
	}
	b.noteFast(s)
	if b.slow {
		b.value *= math.Exp2(busy / float64(BaselineDoubleAfter))
	}
	b.count++
	b.sum += s
	if b.count == blockSize {
		b.endBlock()
	}
}

// noteFast ends a slow phase after enough normal answers in a row.
func (b *baseline) noteFast(s float64) {
	b.fast++
	if s > SlowFactor*b.value {
		b.fast = 0
	}
	if b.slow && b.fast >= normalRun {
		b.slow = false
		b.startBlock()
	}
}

// endBlock moves the value towards the mean of a normal block. A slow block
// leaves it, so that cold answers do not become normal.
func (b *baseline) endBlock() {
	mean := b.sum / blockSize
	share := float64(b.above) / blockSize
	b.startBlock()
	b.slow = mean > SlowFactor*b.value
	if b.slow {
		return
	}
	b.tail += (share - b.tail) * blockWeight
	b.value += (mean - b.value) * blockWeight
}

func (b *baseline) startBlock() {
	b.count = 0
	b.sum = 0
	b.above = 0
}

// restart forgets what is known of the current phase and keeps the value.
func (b *baseline) restart() {
	b.startBlock()
	b.fast = 0
	b.slow = false
}
