package measure

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmeghitch/nutmeghitch/pkg/gateway"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
)

// maxLatencyUS bounds histograms at 60 s.
const maxLatencyUS = 60_000_000

// Latency holds quantiles in milliseconds, from the scheduled time of a request.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`
}

// Figures are what one run of a scenario showed after the warm-up. Counts of
// broken promises include the warm-up.
type Figures struct {
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Search   Latency `json:"search"`
	Lookup   Latency `json:"lookup"`
	// Coverage is the share of shards in answered searches that were covered.
	Coverage float64        `json:"coverage"`
	Partial  int            `json:"partial_searches"`
	Refusals map[string]int `json:"refusals"`
	Missing  map[string]int `json:"missing_shards"`
	// ExtraLoad is hedges and retries as a share of primary sends.
	ExtraLoad float64 `json:"extra_load"`
	Primary   int64   `json:"sends_primary"`
	Hedges    int64   `json:"sends_hedge"`
	Retries   int64   `json:"sends_retry"`
	Moved     int64   `json:"sends_moved"`
	Denied    int64   `json:"extra_load_denied"`
	// ColdExcess counts sends beyond what a cold upstream handles.
	ColdExcess    int     `json:"sends_beyond_cold"`
	Crashes       int     `json:"upstream_crashes"`
	LateWork      int     `json:"new_work_after_take_out"`
	Doubled       int     `json:"doubled_runs"`
	FalseRefusals int     `json:"false_refusals"`
	PlatformCalls float64 `json:"platform_calls_per_vm_s"`
	// Accepted counts accepted configurations, InForce the time until every
	// VM had them.
	Accepted   int                `json:"configurations_accepted"`
	InForceP50 float64            `json:"in_force_median_ms"`
	InForceMax float64            `json:"in_force_max_ms"`
	Notes      map[string]float64 `json:"notes,omitempty"`
	Failures   []string           `json:"script_failures,omitempty"`
}

// window selects requests by their scheduled time, as shares of the duration.
type window struct{ from, to float64 }

// whole is everything after the warm-up.
var whole = window{0, 2}

func (r *run) samples(w window, keep func(loadgen.Sample) bool) []loadgen.Sample {
	from, to := warmUp+r.share(w.from), warmUp+r.share(w.to)
	var out []loadgen.Sample
	for _, s := range r.report.Samples {
		if s.At >= from && s.At < to && (keep == nil || keep(s)) {
			out = append(out, s)
		}
	}
	return out
}

func isSearch(s loadgen.Sample) bool { return s.Search }

func isLookup(s loadgen.Sample) bool { return !s.Search }

func histogram(samples []loadgen.Sample) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatencyUS, 3)
	for _, s := range samples {
		if s.Code == "" {
			_ = h.RecordValue(min(max(s.Took.Microseconds(), 1), maxLatencyUS))
		}
	}
	return h
}

func latencyOf(samples []loadgen.Sample) Latency {
	h := histogram(samples)
	return Latency{
		P50:  loadgen.QuantileMS(h, 50),
		P95:  loadgen.QuantileMS(h, 95),
		P99:  loadgen.QuantileMS(h, 99),
		P999: loadgen.QuantileMS(h, 99.9),
	}
}

// coverage returns the share of covered shards in answered searches; it is 1
// without any.
func coverage(samples []loadgen.Sample) float64 {
	covered, total := 0, 0
	for _, s := range samples {
		covered += s.Covered
		total += s.Total
	}
	if total == 0 {
		return 1
	}
	return float64(covered) / float64(total)
}

func refusals(samples []loadgen.Sample) map[string]int {
	out := make(map[string]int)
	for _, s := range samples {
		if s.Code != "" {
			out[s.Code+" "+s.Ran]++
		}
	}
	return out
}

func countRefused(samples []loadgen.Sample) int {
	n := 0
	for _, s := range samples {
		if s.Code != "" {
			n++
		}
	}
	return n
}

func extraLoad(s gateway.Sends) float64 {
	if s.Primary == 0 {
		return 0
	}
	return float64(s.Hedge+s.Retry) / float64(s.Primary)
}

// sent returns the sends within a window.
func (r *run) sent(w window) gateway.Sends {
	return r.watcher.sentBetween(r.share(w.from), r.share(w.to))
}

func (r *run) figures() Figures {
	all := r.samples(whole, nil)
	sends := r.sent(whole)
	f := Figures{
		Requests:  len(all),
		Answered:  len(all) - countRefused(all),
		Search:    latencyOf(r.samples(whole, isSearch)),
		Lookup:    latencyOf(r.samples(whole, isLookup)),
		Coverage:  coverage(all),
		Refusals:  refusals(all),
		Missing:   r.report.Missing,
		ExtraLoad: extraLoad(sends),
		Primary:   sends.Primary,
		Hedges:    sends.Hedge,
		Retries:   sends.Retry,
		Moved:     sends.Moved,
		Denied:    sends.Denied,
		LateWork:  r.late,
		Notes:     r.notes,
		Failures:  r.failures,
	}
	for _, s := range all {
		if s.Covered < s.Total {
			f.Partial++
		}
	}
	for _, u := range r.cluster.Replicas() {
		c := u.Counters()
		f.ColdExcess += c.ColdExcess
		f.Crashes += c.Crashes
	}
	f.Doubled = len(r.doubled())
	f.FalseRefusals = len(r.falseRefusals())
	f.PlatformCalls = float64(r.cluster.Platform.Calls().Total()) / vmCount / (warmUp + r.duration + settle).Seconds()
	r.configurationFigures(&f)
	return f
}

func (r *run) configurationFigures(f *Figures) {
	took, missing := r.watcher.inForce()
	f.Accepted = len(took) + len(missing)
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	f.InForceP50 = milliseconds(took[len(took)/2])
	f.InForceMax = milliseconds(took[len(took)-1])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
