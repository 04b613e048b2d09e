// Package capacity measures in one process how the cost of each mechanism of
// the tier grows, and extrapolates it to the target scale of the design.
package capacity

import (
	"context"
	"math"
	"time"
)

// Sizes of the target scale, see section 1.5 of the design page.
const (
	targetVMs      = 1500
	targetReplicas = 6500
	targetGroups   = 770
	targetDomains  = 8
	targetRegions  = 3
	// replicasPerGroup is the number of replicas of a group: one in each
	// failure domain.
	replicasPerGroup = 8
	// targetItems is the mean number of groups that one owner runs of a query
	// inside its failure domain, rounded from 4.1.
	targetItems = 4
)

// Metric is one value that an item measures.
type Metric struct {
	Name string
	Unit string
	// Model is the growth that the mechanism implies, Why the reason.
	Model Model
	Why   string
	// Budget bounds the value at the target; 0 means that the value only
	// enters the calculations of docs/CAPACITY.md.
	Budget float64
}

// Item measures one mechanism at several sizes.
type Item struct {
	Name string
	// Size names what varies.
	Size    string
	Sizes   []int
	Quick   []int
	Target  float64
	Metrics []Metric
	// Measure returns one value for each of Metrics.
	Measure func(ctx context.Context, e Effort, size int) ([]float64, error)
}

// Effort tells how much time a measurement may take.
type Effort struct {
	// Repeat is the processor time of one repetition of a micro-measurement.
	Repeat time.Duration
	// Repeats is the number of repetitions; the median counts.
	Repeats int
	// Virtual is the simulated time of a steady state.
	Virtual time.Duration
}

// Efforts of a full and of a quick run.
var (
	Full       = Effort{Repeat: 100 * time.Millisecond, Repeats: 5, Virtual: 30 * time.Second}
	QuickCheck = Effort{Repeat: time.Millisecond, Repeats: 1, Virtual: 2 * time.Second}
)

// Row is the result of one metric of an item.
type Row struct {
	Item   string    `json:"item"`
	Metric string    `json:"metric"`
	Unit   string    `json:"unit"`
	Size   string    `json:"size"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Fit    Fit       `json:"fit"`
	Why    string    `json:"why"`
	Target float64   `json:"target"`
	// AtTarget is the extrapolated value, TargetError its standard error.
	AtTarget    float64 `json:"at_target"`
	TargetError float64 `json:"target_error"`
	// Budget is 0 for a value without one. Margin is the budget divided by
	// the value: below 1 the budget is missed.
	Budget float64 `json:"budget,omitempty"`
	Margin float64 `json:"margin,omitempty"`
}

// Run measures an item at all its sizes.
func Run(ctx context.Context, it Item, quick bool) ([]Row, error) {
	sizes, effort := it.Sizes, Full
	if quick {
		sizes, effort = it.Quick, QuickCheck
	}
	xs := make([]float64, len(sizes))
	values := make([][]float64, len(it.Metrics))
	for i, size := range sizes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		xs[i] = float64(size)
		got, err := it.Measure(ctx, effort, size)
		if err != nil {
			return nil, err
		}
		for m := range it.Metrics {
			values[m] = append(values[m], got[m])
		}
	}
	rows := make([]Row, len(it.Metrics))
	for i, m := range it.Metrics {
		rows[i] = newRow(it, m, xs, values[i])
	}
	return rows, nil
}

func newRow(it Item, m Metric, xs, values []float64) Row {
	r := Row{Item: it.Name, Metric: m.Name, Unit: m.Unit, Size: it.Size, Sizes: xs, Values: values, Why: m.Why, Target: it.Target, Budget: m.Budget}
	r.Fit = NewFit(m.Model, xs, values)
	r.AtTarget, r.TargetError = r.Fit.At(it.Target)
	if m.Budget > 0 && r.AtTarget > 0 {
		r.Margin = m.Budget / r.AtTarget
	}
	if math.IsNaN(r.TargetError) {
		r.TargetError = 0
	}
	return r
}
