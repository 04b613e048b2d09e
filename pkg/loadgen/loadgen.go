// Package loadgen sends an open-loop load to a site, checks every answer and
// records latency from the scheduled time of each request, so that a slow
// tier does not hide its own delays.
package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// maxLatencyUS bounds the histogram at 60 s.
	maxLatencyUS = 60_000_000
	// bucketWidth is the width of the time series in a Report.
	bucketWidth = 250 * time.Millisecond
)

// Request is one kind of request in the mix.
type Request struct {
	Service   model.ServiceID
	Operation string
	// PerSecond is the arrival rate.
	PerSecond float64
	// Deadline is sent with each request.
	Deadline time.Duration
	Search   bool
	// Once marks a non-idempotent operation: each request gets its own key.
	Once bool
	// RepeatShare is the share of non-idempotent requests that are sent a
	// second time at the same instant through another VM.
	RepeatShare float64
	// Resends is how often a non-idempotent request that got no answer is
	// sent again with the same key, ResendAfter later through another VM.
	Resends     int
	ResendAfter time.Duration
	// Body makes the body of the n-th request. Bodies of searches hold the
	// value of the field "query".
	Body func(rng *rand.Rand, n int) []byte
	// Check inspects the answer to a search; it returns a description of what
	// is wrong, or "".
	Check func(query []byte, a SearchAnswer) string
}

// Target sends one request to one VM of the tier.
type Target interface {
	Search(ctx context.Context, r Sent) Result
	Call(ctx context.Context, r Sent) Result
}

// Sent is one request on its way.
type Sent struct {
	Request *Request
	Caller  string
	Key     string
	Body    []byte
	// Copy numbers the sends of one key from 0. Two copies go to different
	// VMs if the same two or more VMs are ready.
	Copy int
}

// Result is what became of a request.
type Result struct {
	// Code is "" for an answer, the refusal's code, or "broken_connection".
	Code string
	// Ran is the run state of a refusal.
	Ran    string
	Search *SearchAnswer
	Body   []byte
	// VM is the address that served the request.
	VM string
}

// SearchAnswer is the answer to a search.
type SearchAnswer struct {
	Snapshot model.Snapshot
	Covered  int
	Total    int
	// Missing counts missing shards by reason.
	Missing map[string]int
	// MissingShards names them.
	MissingShards []model.ShardID
	Rows          [][]byte
}

// Generator runs a mix of requests.
type Generator struct {
	Target   Target
	Requests []Request
	Seed     uint64
	// Rate multiplies the arrival rates at a time after the start; nil is 1.
	Rate func(at time.Duration) float64

	mu     sync.Mutex
	report *Report
	start  time.Time
	once   map[string]*Once // by key
}

// Run sends load for d and waits for all answers.
func (g *Generator) Run(ctx context.Context, d time.Duration) *Report {
	g.report = newReport(d)
	g.start = time.Now()
	g.once = make(map[string]*Once)
	var group errgroup.Group
	for i := range g.Requests {
		group.Go(func() error {
			g.stream(ctx, i, d)
			return nil
		})
	}
	_ = group.Wait()
	g.finish()
	return g.report
}

// stream sends one kind of request with exponential gaps.
func (g *Generator) stream(ctx context.Context, index int, d time.Duration) {
	r := &g.Requests[index]
	if r.PerSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(g.Seed, uint64(index)+1))
	var wg sync.WaitGroup
	defer wg.Wait()
	next := g.start
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / (r.PerSecond * g.rate(next.Sub(g.start))) * float64(time.Second)))
		at := next // the loop moves on while the request runs
		if at.Sub(g.start) > d || !wait.Sleep(ctx, time.Until(at)) {
			return
		}
		s := Sent{Request: r, Caller: callerName(rng), Body: r.Body(rng, n)}
		if r.Once {
			s.Key = keyOf(r, g.Seed, n)
		}
		repeat := r.Once && rng.Float64() < r.RepeatShare
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.send(ctx, s, at, repeat)
		}()
	}
}

func (g *Generator) rate(at time.Duration) float64 {
	if g.Rate == nil {
		return 1
	}
	return g.Rate(at)
}

func (g *Generator) send(ctx context.Context, s Sent, at time.Time, repeat bool) {
	var wg sync.WaitGroup
	if repeat {
		wg.Add(1)
		go func() {
			defer wg.Done()
			again := s
			again.Copy = 1
			g.recordOnce(s, g.Target.Call(ctx, again))
		}()
	}
	var res Result
	if s.Request.Search {
		res = g.Target.Search(ctx, s)
	} else {
		res = g.Target.Call(ctx, s)
	}
	g.record(s, at, res)
	if s.Request.Once {
		g.recordOnce(s, res)
		g.resend(ctx, s, res)
	}
	wg.Wait()
}

// resend repeats a request that got no answer, as an insistent caller does.
func (g *Generator) resend(ctx context.Context, s Sent, res Result) {
	for i := range s.Request.Resends {
		if res.Code == "" || !wait.Sleep(ctx, s.Request.ResendAfter) {
			return
		}
		again := s
		again.Copy = 2 + i
		res = g.Target.Call(ctx, again)
		g.recordOnce(s, res)
	}
}

func (g *Generator) record(s Sent, at time.Time, res Result) {
	took := time.Since(at)
	wrong := ""
	if res.Search != nil && s.Request.Check != nil {
		wrong = s.Request.Check(s.Body, *res.Search)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.add(at.Sub(g.start), took, s.Request, res, wrong)
}

func (g *Generator) recordOnce(s Sent, res Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.once[s.Key]
	if o == nil {
		o = &Once{Service: s.Request.Service, Key: s.Key, Body: s.Body}
		g.once[s.Key] = o
	}
	o.Results = append(o.Results, res)
}

// finish compares the answers to repeats of one key.
func (g *Generator) finish() {
	g.report.Keys = len(g.once)
	for key, o := range g.once {
		g.report.Once = append(g.report.Once, o)
		var first []byte
		for _, r := range o.Results {
			if r.Code != "" {
				continue
			}
			if first != nil && string(first) != string(r.Body) {
				g.report.Wrong = append(g.report.Wrong, "key "+key+" was answered differently")
			}
			first = r.Body
		}
	}
}

// Report holds the figures of one run.
type Report struct {
	Latency *hdrhistogram.Histogram
	// Search and Lookup split Latency by kind.
	Search *hdrhistogram.Histogram
	Lookup *hdrhistogram.Histogram
	// Sent counts requests, Answered those with an answer.
	Sent, Answered int
	// Covered and Total add up the shards of all answered searches.
	Covered, Total int
	// Partial counts searches answered with missing shards.
	Partial int
	// Missing counts missing shards by reason.
	Missing map[string]int
	// Codes counts refusals by code and run state.
	Codes map[string]int
	// Wrong describes answers that were not true.
	Wrong []string
	// Keys counts distinct idempotency keys.
	Keys   int
	Series []Bucket
	// Samples holds every request in the order of its end.
	Samples []Sample
	// Once holds what became of each non-idempotent request.
	Once []*Once
}

// Sample is one request and what became of it.
type Sample struct {
	// At is the scheduled time after the start of the run, Took the latency
	// from then on.
	At, Took time.Duration
	Service  model.ServiceID
	Search   bool
	Once     bool
	Deadline time.Duration
	// Code and Ran are "" for an answer.
	Code, Ran string
	VM        string
	// Covered and Total count the shards of an answered search.
	Covered, Total int
}

// Once is one non-idempotent request with the results of all its sends.
type Once struct {
	Service model.ServiceID
	Key     string
	Body    []byte
	Results []Result
}

// Bucket is one interval of the time series.
type Bucket struct {
	Latency  *hdrhistogram.Histogram
	Sent     int
	Answered int
	Covered  int
	Total    int
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUS, 3) }

func newReport(d time.Duration) *Report {
	r := &Report{
		Latency: newHistogram(),
		Search:  newHistogram(),
		Lookup:  newHistogram(),
		Missing: make(map[string]int),
		Codes:   make(map[string]int),
		Series:  make([]Bucket, int(d/bucketWidth)+1),
	}
	for i := range r.Series {
		r.Series[i].Latency = hdrhistogram.New(1, maxLatencyUS, 2)
	}
	return r
}

func (r *Report) add(at, took time.Duration, req *Request, res Result, wrong string) {
	us := max(took.Microseconds(), 1)
	b := &r.Series[min(int(at/bucketWidth), len(r.Series)-1)]
	r.Sent++
	b.Sent++
	r.Samples = append(r.Samples, sampleOf(at, took, req, res))
	if wrong != "" {
		r.Wrong = append(r.Wrong, wrong)
	}
	if res.Code != "" {
		r.Codes[res.Code+" "+res.Ran]++
		return
	}
	r.Answered++
	b.Answered++
	_ = r.Latency.RecordValue(us)
	_ = b.Latency.RecordValue(us)
	if !req.Search {
		_ = r.Lookup.RecordValue(us)
		return
	}
	_ = r.Search.RecordValue(us)
	r.Covered += res.Search.Covered
	r.Total += res.Search.Total
	b.Covered += res.Search.Covered
	b.Total += res.Search.Total
	if res.Search.Covered < res.Search.Total {
		r.Partial++
	}
	for reason, n := range res.Search.Missing {
		r.Missing[reason] += n
	}
}

func sampleOf(at, took time.Duration, req *Request, res Result) Sample {
	s := Sample{
		At: at, Took: took, Service: req.Service, Search: req.Search, Once: req.Once, Deadline: req.Deadline,
		Code: res.Code, Ran: res.Ran, VM: res.VM,
	}
	if res.Search != nil {
		s.Covered, s.Total = res.Search.Covered, res.Search.Total
	}
	return s
}

// Coverage returns the share of shards that answered searches covered.
func (r *Report) Coverage() float64 {
	if r.Total == 0 {
		return 0
	}
	return float64(r.Covered) / float64(r.Total)
}

// QuantileMS returns a quantile (0 to 100) of a histogram in milliseconds.
func QuantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// BucketWidth is the width of one Bucket of the series.
func BucketWidth() time.Duration { return bucketWidth }
