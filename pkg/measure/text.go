package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteText prints a result for a person.
func (r *Result) WriteText(w io.Writer) {
	fmt.Fprintf(w, "\n== %s: %s\n", r.Scenario, r.Summary)
	fmt.Fprintf(w, "%s\n", r.Command())
	for _, m := range r.Marks {
		fmt.Fprintf(w, "  %6.1f s  %s\n", m.Seconds, m.Name)
	}
	fmt.Fprintf(w, "\n%-34s", "")
	for _, v := range r.Variants {
		fmt.Fprintf(w, " %28s", v.Name)
	}
	fmt.Fprintln(w)
	for _, row := range rows {
		fmt.Fprintf(w, "%-34s", row.name)
		for i := range r.Variants {
			fmt.Fprintf(w, " %28s", row.value(&r.Variants[i]))
		}
		fmt.Fprintln(w)
	}
	r.writeCounts(w)
	for _, t := range r.Targets {
		fmt.Fprintf(w, "%-7s %s: %s (%s)\n", verdict(t.Met, "met", "MISSED"), t.Name, t.Seen, t.Bound)
	}
	for _, p := range r.Promises {
		fmt.Fprintf(w, "%-7s %s", verdict(p.Broken == 0, "held", "BROKEN"), p.Name)
		if p.Broken > 0 {
			fmt.Fprintf(w, ": %d times", p.Broken)
		}
		fmt.Fprintln(w)
		for _, e := range p.Examples {
			fmt.Fprintf(w, "          %s\n", e)
		}
	}
	if r.Plot != "" {
		fmt.Fprintf(w, "plot    %s\n", r.Plot)
	}
}

func verdict(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}

// rows are the lines of the table of figures.
var rows = []struct {
	name  string
	value func(*Variant) string
}{
	{"requests", func(v *Variant) string { return fmt.Sprint(v.Figures.Requests) }},
	{"without an answer", func(v *Variant) string { return fmt.Sprint(v.Figures.Requests - v.Figures.Answered) }},
	{"search p50 / p95 ms", func(v *Variant) string { return pairOf(v.Figures.Search.P50, v.Figures.Search.P95) }},
	{"search p99 / p99.9 ms", func(v *Variant) string { return pairOf(v.Figures.Search.P99, v.Figures.Search.P999) }},
	{"lookup p50 / p95 ms", func(v *Variant) string { return pairOf(v.Figures.Lookup.P50, v.Figures.Lookup.P95) }},
	{"lookup p99 / p99.9 ms", func(v *Variant) string { return pairOf(v.Figures.Lookup.P99, v.Figures.Lookup.P999) }},
	{"coverage", func(v *Variant) string { return percent(v.Figures.Coverage) }},
	{"partial searches", func(v *Variant) string { return fmt.Sprint(v.Figures.Partial) }},
	{"extra load", func(v *Variant) string { return percent(v.Figures.ExtraLoad) }},
	{"sends primary / hedge", func(v *Variant) string { return fmt.Sprintf("%d / %d", v.Figures.Primary, v.Figures.Hedges) }},
	{"sends retry / moved", func(v *Variant) string { return fmt.Sprintf("%d / %d", v.Figures.Retries, v.Figures.Moved) }},
	{"extra sends denied by the budget", func(v *Variant) string { return fmt.Sprint(v.Figures.Denied) }},
	{"sends beyond cold", func(v *Variant) string { return fmt.Sprint(v.Figures.ColdExcess) }},
	{"upstream crashes", func(v *Variant) string { return fmt.Sprint(v.Figures.Crashes) }},
	{"new work after take-out", func(v *Variant) string { return fmt.Sprint(v.Figures.LateWork) }},
	{"doubled runs / false refusals", func(v *Variant) string { return fmt.Sprintf("%d / %d", v.Figures.Doubled, v.Figures.FalseRefusals) }},
	{"platform calls per VM and second", func(v *Variant) string { return fmt.Sprintf("%.2f", v.Figures.PlatformCalls) }},
	{"configurations accepted", func(v *Variant) string { return fmt.Sprint(v.Figures.Accepted) }},
	{"in force after median / max ms", func(v *Variant) string { return pairOf(v.Figures.InForceP50, v.Figures.InForceMax) }},
	{"goodput by stage, per s", func(v *Variant) string { return joinFloats(v.Goodput) }},
}

func pairOf(a, b float64) string { return fmt.Sprintf("%.2f / %.2f", a, b) }

func percent(share float64) string { return fmt.Sprintf("%.3f%%", 100*share) }

// writeCounts prints refusals, missing shards, notes and failures of the
// script for each variant.
func (r *Result) writeCounts(w io.Writer) {
	for _, v := range r.Variants {
		f := &v.Figures
		for _, code := range slices.Sorted(maps.Keys(f.Refusals)) {
			fmt.Fprintf(w, "%s: refused %s: %d\n", v.Name, code, f.Refusals[code])
		}
		for _, reason := range slices.Sorted(maps.Keys(f.Missing)) {
			fmt.Fprintf(w, "%s: shards missing, %s: %d\n", v.Name, reason, f.Missing[reason])
		}
		for _, name := range slices.Sorted(maps.Keys(f.Notes)) {
			fmt.Fprintf(w, "%s: %s: %.0f\n", v.Name, name, f.Notes[name])
		}
		for _, failure := range f.Failures {
			fmt.Fprintf(w, "%s: step failed: %s\n", v.Name, failure)
		}
	}
	fmt.Fprintln(w)
}

// WriteSummary prints one line for each result.
func WriteSummary(w io.Writer, results []*Result) {
	fmt.Fprintf(w, "\n%-20s %10s %10s %10s %9s %8s %8s\n", "scenario", "p50 ms", "p99 ms", "coverage", "extra", "missed", "broken")
	for _, r := range results {
		f := r.Variants[0].Figures
		missed, broken := 0, 0
		for _, t := range r.Targets {
			if !t.Met {
				missed++
			}
		}
		for _, p := range r.Promises {
			broken += p.Broken
		}
		fmt.Fprintf(w, "%-20s %10.2f %10.2f %10s %9s %8d %8d\n", r.Scenario, f.Search.P50, f.Search.P99,
			percent(f.Coverage), percent(f.ExtraLoad), missed, broken)
	}
}
