package measure

import (
	"fmt"

	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
)

// Bounds of docs/design.md, sections 1.5 and 1.7. They are never derived from
// a measurement.
const (
	stragglerFactor  = 1.5
	domainFactor     = 2.0
	extraLoadBound   = 0.05
	goodputShare     = 0.9
	overheadBoundMS  = 1.0
	inForceBoundMS   = 19_000
	poisonLossBound  = 2 // tier.poison_limit of the examples
	fullCoveragePart = 1.0
)

func fullCoverage(samples []loadgen.Sample) Target {
	c := coverage(samples)
	return Target{
		Name:  "coverage",
		Bound: "100%",
		Seen:  fmt.Sprintf("%.3f%%", 100*c),
		Met:   c >= fullCoveragePart,
	}
}

func (r *run) extraLoadTarget() Target {
	x := extraLoad(r.sent(whole))
	return Target{
		Name:  "extra load",
		Bound: "at most 5% of primary sends",
		Seen:  fmt.Sprintf("%.2f%%", 100*x),
		Met:   x <= extraLoadBound,
	}
}

// ratioTarget compares the p99 of searches in a window with that of another.
func (r *run) ratioTarget(name string, w, base window, factor float64) Target {
	after := latencyOf(r.samples(w, isSearch)).P99
	before := latencyOf(r.samples(base, isSearch)).P99
	return Target{
		Name:  name,
		Bound: fmt.Sprintf("at most %.1f times the steady p99", factor),
		Seen:  fmt.Sprintf("%.1f ms after %.1f ms, %.2f times", after, before, ratio(after, before)),
		Met:   after <= factor*before,
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// noneLost counts requests without an answer.
func noneLost(name string, samples []loadgen.Sample) Target {
	n := countRefused(samples)
	return Target{
		Name:  name,
		Bound: "0",
		Seen:  fmt.Sprintf("%d of %d", n, len(samples)),
		Met:   n == 0,
	}
}

func atMost(name string, bound, seen int) Target {
	return Target{Name: name, Bound: fmt.Sprintf("at most %d", bound), Seen: fmt.Sprint(seen), Met: seen <= bound}
}

// common are the targets that hold in every scenario in which each group
// keeps a live replica with spare capacity.
func (r *run) common() []Target {
	return []Target{fullCoverage(r.samples(whole, nil)), r.extraLoadTarget()}
}
