package dispatch

import (
	"slices"
	"time"
)

const (
	// progressSamples is the number of recent service times that are kept.
	progressSamples = 128
	// samplesPerEstimate is the number of samples between two estimates of the p99;
	// the first estimate is made after firstEstimateSamples.
	samplesPerEstimate   = 32
	firstEstimateSamples = 4
	// minProgressTimeout keeps the connection of a fast upstream from counting as
	// silent after a short pause of either process.
	minProgressTimeout = 100 * time.Millisecond
	// progressP99Factor is the ratio of the timeout to the p99 of the service time.
	progressP99Factor = 4
)

// progressEstimator estimates how long an attempt may wait for the first response
// byte before its connection counts as silent.
type progressEstimator struct {
	samples [progressSamples]time.Duration
	count   int
	p99     time.Duration
}

// addSample records the service time of a successful attempt.
func (p *progressEstimator) addSample(d time.Duration) {
	p.samples[p.count%progressSamples] = d
	p.count++
	if p.count == firstEstimateSamples || p.count%samplesPerEstimate == 0 {
		p.updateP99()
	}
}

func (p *progressEstimator) updateP99() {
	n := min(p.count, progressSamples)
	sorted := slices.Clone(p.samples[:n])
	slices.Sort(sorted)
	p.p99 = sorted[(n*99)/100]
}

// timeout returns the estimate. It is ten times the minimum until a p99 is known: a
// replica that has just been adopted may be cold, and slow answers are then no sign of
// a silent connection.
func (p *progressEstimator) timeout() time.Duration {
	if p.p99 == 0 {
		return 10 * minProgressTimeout
	}
	return max(progressP99Factor*p.p99, minProgressTimeout)
}
