package dispatch

import (
	"slices"
	"time"
)

const (
	progressSamples = 128
	// progressRefresh is the number of samples between two estimates; the first
	// one is made after firstEstimate samples.
	progressRefresh = 32
	firstEstimate   = 4
	// minProgress keeps fast upstreams from being taken for silent after a
	// short pause of either process.
	minProgress = 100 * time.Millisecond
	// progressFactor is applied to the p99 of the replica.
	progressFactor = 4
)

// progressBound estimates how long an attempt may go without a response byte
// before its connection counts as silent.
type progressBound struct {
	samples [progressSamples]time.Duration
	count   int
	p99     time.Duration
}

func (p *progressBound) observe(d time.Duration) {
	p.samples[p.count%progressSamples] = d
	p.count++
	if p.count == firstEstimate || p.count%progressRefresh == 0 {
		p.refresh()
	}
}

func (p *progressBound) refresh() {
	n := min(p.count, progressSamples)
	sorted := slices.Clone(p.samples[:n])
	slices.Sort(sorted)
	p.p99 = sorted[(n*99)/100]
}

// bound is generous until the first estimate: a replica that has just been
// adopted may be cold, and its connection is not to blame.
func (p *progressBound) bound() time.Duration {
	if p.p99 == 0 {
		return 10 * minProgress
	}
	return max(progressFactor*p.p99, minProgress)
}
