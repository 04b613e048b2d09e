// Package demo runs a whole site in one process over loopback, sends load,
// takes a failure domain out and back, and reports what callers saw.
package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/examples"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
	"github.com/nutmeghitch/nutmeghitch/pkg/workload"
)

const (
	// vmCount is the number of VMs, spread over the failure domains.
	vmCount = 5
	// records is the number of records in each service's data set.
	records = 2000
	// readyTimeout bounds the start of the site.
	readyTimeout = 15 * time.Second
	// outGrace is how long after the operators' command a failure domain may
	// still get new work.
	outGrace = 3 * time.Second
	// Durations of the load phases.
	steadyPhase = 5 * time.Second
	outPhase    = 6 * time.Second
	backPhase   = 5 * time.Second
	// balancerNotice is shortened because the demo's balancer checks every 500 ms.
	balancerNotice = time.Second
)

// rates keep the demo light enough for two cores.
var rates = workload.Rates{Search: 15, Read: 20, Once: 3}

// Config selects what the demo runs.
type Config struct {
	Site string
	Seed uint64
	// Log receives the log lines of all VMs; nil drops them.
	Log io.Writer
	// Progress receives one line per step.
	Progress io.Writer
}

// Report is the result of a demo.
type Report struct {
	Site    string `json:"site"`
	Seed    uint64 `json:"seed"`
	Queries int    `json:"queries"`
	// Latencies are in milliseconds, from the scheduled time of a request.
	P50      float64 `json:"p50_ms"`
	P95      float64 `json:"p95_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p99_9_ms"`
	Coverage float64 `json:"coverage"`
	// ExtraLoad is the share of hedges and retries in primary sends.
	ExtraLoad float64 `json:"extra_load"`
	Errors    int     `json:"errors"`
	// Refusals counts errors by code and run state.
	Refusals map[string]int `json:"refusals"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int `json:"doubled"`
	// Untrue describes answers that did not match the data.
	Untrue                []string `json:"untrue"`
	NewWorkAfterDomainOut int      `json:"new_work_after_domain_out"`
	DomainOut             string   `json:"domain_out"`
	PlatformCalls         uint64   `json:"platform_calls"`
	Steps                 []Step   `json:"steps"`
}

// Step is one phase of the demo.
type Step struct {
	Name     string  `json:"name"`
	Queries  int     `json:"queries"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Coverage float64 `json:"coverage"`
	Errors   int     `json:"errors"`
}

// Held reports whether every promise that the demo checks was kept.
func (r *Report) Held() bool {
	return r.Doubled == 0 && len(r.Untrue) == 0 && r.NewWorkAfterDomainOut == 0 && r.Queries > r.Errors
}

// Site starts the stand-ins and VMs of a site and waits until it serves.
func Site(ctx context.Context, c Config) (*testcluster.Cluster, error) {
	doc, err := examples.Document(c.Site)
	if err != nil {
		return nil, err
	}
	cluster, err := testcluster.Start(ctx, testcluster.Config{
		Document:       doc,
		VMs:            spread(doc, vmCount),
		Seed:           c.Seed,
		Records:        records,
		Profile:        workload.Profile,
		DomainDelay:    domainDelay(c.Site),
		BalancerNotice: balancerNotice,
		Log:            c.Log,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.AwaitReady(ctx); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

// domainDelay is the distance between failure domains in the brief.
func domainDelay(site string) time.Duration {
	if site == "podstavek" {
		return time.Millisecond
	}
	return 500 * time.Microsecond
}

// spread assigns VMs to failure domains in turn.
func spread(doc *model.Document, n int) []model.DomainID {
	domains := slices.Sorted(maps.Keys(doc.Domains))
	out := make([]model.DomainID, n)
	for i := range out {
		out[i] = domains[i%len(domains)]
	}
	return out
}

// Backends returns the running VMs as a balancer sees them.
func Backends(c *testcluster.Cluster) []loadgen.Backend {
	var out []loadgen.Backend
	for _, vm := range c.Running() {
		out = append(out, loadgen.Backend{Callers: vm.Callers, Operators: vm.Operators})
	}
	return out
}

// Run runs the demo.
func Run(ctx context.Context, c Config) (*Report, error) {
	began := time.Now()
	step := func(format string, args ...any) {
		fmt.Fprintf(c.Progress, "%6.1fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	step("starting %s: stand-ins and %d VMs", c.Site, vmCount)
	cluster, err := Site(ctx, c)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	balancer := loadgen.NewBalancer(func() []loadgen.Backend { return Backends(cluster) })
	balancer.Check()
	balanceCtx, stop := context.WithCancel(ctx)
	defer stop()
	go balancer.Run(balanceCtx)

	report := &Report{Site: c.Site, Seed: c.Seed, Refusals: make(map[string]int), Untrue: []string{}}
	total := newTotals()
	phase := func(name string, d time.Duration) {
		step("%s for %s", name, d)
		g := &loadgen.Generator{
			Target:   balancer,
			Requests: workload.Mix(cluster, rates),
			Seed:     c.Seed + uint64(len(report.Steps))<<32,
		}
		total.add(report, name, g.Run(ctx, d))
	}

	phase("steady load", steadyPhase)
	out := domainToTakeOut(cluster)
	report.DomainOut = string(out)
	if err := setDomain(ctx, cluster, out, true); err != nil {
		return nil, err
	}
	outAt := time.Now()
	phase("load while "+string(out)+" is out", outPhase)
	report.NewWorkAfterDomainOut = sendsAfter(cluster, out, outAt.Add(outGrace))
	if err := setDomain(ctx, cluster, out, false); err != nil {
		return nil, err
	}
	phase("load while "+string(out)+" returns", backPhase)
	total.finish(report, cluster)
	step("done")
	return report, nil
}

// domainToTakeOut returns the last failure domain in order of name.
func domainToTakeOut(c *testcluster.Cluster) model.DomainID {
	domains := slices.Sorted(maps.Keys(c.Document.Domains))
	return domains[len(domains)-1]
}

func setDomain(ctx context.Context, c *testcluster.Cluster, d model.DomainID, out bool) error {
	err := c.EditOverrides(ctx, func(o *model.Overrides) error {
		o.DomainsOut = slices.DeleteFunc(o.DomainsOut, func(x model.DomainID) bool { return x == d })
		if out {
			o.DomainsOut = append(o.DomainsOut, d)
		}
		return nil
	})
	if err != nil {
		return errs.As(err)
	}
	return nil
}

func sendsAfter(c *testcluster.Cluster, d model.DomainID, at time.Time) int {
	n := 0
	for id, u := range c.Upstreams {
		if c.Domains[id] == d {
			n += u.SendsAfter(at)
		}
	}
	return n
}
