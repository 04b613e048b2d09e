package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// maxLatencyUS bounds the histogram of all phases at 60 s.
const maxLatencyUS = 60_000_000

// totals adds up the reports of all phases.
type totals struct {
	latency        *hdrhistogram.Histogram
	covered, shard int
}

func newTotals() *totals {
	return &totals{latency: hdrhistogram.New(1, maxLatencyUS, 3)}
}

func (t *totals) add(r *Report, name string, l *loadgen.Report) {
	t.latency.Merge(l.Latency)
	t.covered += l.Covered
	t.shard += l.Total
	r.Queries += l.Sent
	r.Errors += l.Sent - l.Answered
	r.Untrue = append(r.Untrue, l.Wrong...)
	for code, n := range l.Codes {
		r.Refusals[code] += n
	}
	r.Steps = append(r.Steps, Step{
		Name:     name,
		Queries:  l.Sent,
		P50:      loadgen.QuantileMS(l.Latency, 50),
		P99:      loadgen.QuantileMS(l.Latency, 99),
		Coverage: l.Coverage(),
		Errors:   l.Sent - l.Answered,
	})
}

func (t *totals) finish(r *Report, c *testcluster.Cluster) {
	r.P50 = loadgen.QuantileMS(t.latency, 50)
	r.P95 = loadgen.QuantileMS(t.latency, 95)
	r.P99 = loadgen.QuantileMS(t.latency, 99)
	r.P999 = loadgen.QuantileMS(t.latency, 99.9)
	if t.shard > 0 {
		r.Coverage = float64(t.covered) / float64(t.shard)
	}
	r.ExtraLoad = ExtraLoad(c)
	for _, e := range c.Executions {
		r.Doubled += len(e.Repeated())
	}
	r.PlatformCalls = c.Platform.Calls().Total()
}

// ExtraLoad returns the share of hedges and retries in the primary sends of
// all running VMs.
func ExtraLoad(c *testcluster.Cluster) float64 {
	var primary, extra int64
	for _, vm := range c.Running() {
		s := vm.Node.Sends()
		primary += s.Primary
		extra += s.Hedge + s.Retry
	}
	if primary == 0 {
		return 0
	}
	return float64(extra) / float64(primary)
}

// WriteText prints the report for a person.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "\n%-34s %8s %9s %9s %9s %7s\n", "step", "queries", "p50 ms", "p99 ms", "coverage", "errors")
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%-34s %8d %9.2f %9.2f %8.2f%% %7d\n", s.Name, s.Queries, s.P50, s.P99, 100*s.Coverage, s.Errors)
	}
	fmt.Fprintf(w, "%-34s %8d %9.2f %9.2f %8.2f%% %7d\n", "all", r.Queries, r.P50, r.P99, 100*r.Coverage, r.Errors)
	fmt.Fprintf(w, "\nextra load                       %6.2f%% of primary sends\n", 100*r.ExtraLoad)
	fmt.Fprintf(w, "requests that ran twice          %6d\n", r.Doubled)
	fmt.Fprintf(w, "answers that were not true       %6d\n", len(r.Untrue))
	fmt.Fprintf(w, "new work in %s from 3 s after it was taken out: %d\n", r.DomainOut, r.NewWorkAfterDomainOut)
	fmt.Fprintf(w, "platform calls                   %6d\n", r.PlatformCalls)
	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(w, "refused: %-40s %d\n", code, r.Refusals[code])
	}
	for _, u := range r.Untrue {
		fmt.Fprintf(w, "not true: %s\n", u)
	}
}
