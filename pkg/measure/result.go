package measure

import (
	"context"
	"fmt"
	"strings"
)

// Variant is one run of a scenario: the tier, or a baseline.
type Variant struct {
	Name    string  `json:"name"`
	Figures Figures `json:"figures"`
	// Goodput is complete answers per second in each stage of the overload
	// scenario.
	Goodput []float64 `json:"goodput_per_s,omitempty"`
}

// Result is what a scenario showed.
type Result struct {
	Scenario string    `json:"scenario"`
	Summary  string    `json:"summary"`
	Site     string    `json:"site"`
	Seed     uint64    `json:"seed"`
	Seconds  float64   `json:"seconds"`
	Marks    []Mark    `json:"marks"`
	Variants []Variant `json:"variants"`
	Targets  []Target  `json:"targets"`
	Promises []Promise `json:"promises"`
	Plot     string    `json:"plot,omitempty"`

	points []point
}

// Held reports whether every promise was kept.
func (r *Result) Held() bool { return held(r.Promises) }

// Command returns the command that repeats the scenario.
func (r *Result) Command() string {
	return fmt.Sprintf("nutmeghitch measure --scenario %s --site %s --seed %d --duration %gs", r.Scenario, r.Site, r.Seed, r.Seconds)
}

// Run runs a scenario and its baselines.
func Run(ctx context.Context, s Scenario, o Options, progress func(string)) (*Result, error) {
	var baselines []*run
	for _, b := range s.Baselines {
		progress(s.Name + ": baseline " + b.Name)
		r, err := execute(ctx, s, o, b)
		if err != nil {
			return nil, err
		}
		baselines = append(baselines, r)
	}
	progress(s.Name + ": tier")
	r, err := execute(ctx, s, o, Baseline{Name: "tier"})
	if err != nil {
		return nil, err
	}
	r.baselines = baselines
	return r.result(), nil
}

func (r *run) result() *Result {
	res := &Result{
		Scenario: r.scenario.Name,
		Summary:  r.scenario.Summary,
		Site:     r.options.Site,
		Seed:     r.options.Seed,
		Seconds:  r.duration.Seconds(),
		Marks:    r.marks,
		Targets:  r.scenario.Targets(r),
		Promises: r.promises(),
		points:   r.points(),
	}
	for _, v := range append([]*run{r}, r.baselines...) {
		res.Variants = append(res.Variants, v.variant())
	}
	return res
}

func (r *run) variant() Variant {
	v := Variant{Name: r.baseline.Name, Figures: r.figures()}
	if r.scenario.Capacity {
		v.Goodput = r.goodput()
	}
	return v
}

// joinFloats renders a curve.
func joinFloats(values []float64) string {
	parts := make([]string, len(values))
	for i, v := range values {
		parts[i] = fmt.Sprintf("%.0f", v)
	}
	return strings.Join(parts, " ")
}
