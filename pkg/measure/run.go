package measure

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/examples"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/workload"
)

const (
	// vmCount is the number of entry VMs of a site, see docs/design.md, section 1.4.
	vmCount = 5
	records = 2000
	// warmUp is the load before the figures start. Windows of replicas reach
	// their slots about 3 s after the start.
	warmUp = 4 * time.Second
	// readyTimeout bounds the start of a site.
	readyTimeout = 20 * time.Second
	// settle is the time after the load in which late work and accepted
	// configurations may still arrive.
	settle = 2 * time.Second
	// balancerNotice exceeds the period of the balancer's checks, 500 ms.
	balancerNotice = time.Second
	// outGrace is how long a failure domain that was taken out may still get
	// new work.
	outGrace = 3 * time.Second
)

// Options select what a run uses.
type Options struct {
	Site string
	Seed uint64
	// Duration replaces the default of a scenario when it is not 0.
	Duration time.Duration
	// Log receives the log lines of all VMs; nil drops them.
	Log io.Writer
}

// run is one execution of a scenario with one policy.
type run struct {
	ctx      context.Context
	scenario Scenario
	options  Options
	baseline Baseline
	duration time.Duration
	cluster  *testcluster.Cluster
	balancer *loadgen.Balancer
	watcher  *watcher
	report   *loadgen.Report
	start    time.Time // end of the warm-up

	mu       sync.Mutex
	marks    []Mark
	failures []string
	out      map[model.DomainID]time.Time
	late     int      // sends to failure domains that were out
	lost     []string // accepted configurations that are not in force
	notes    map[string]float64
	wanted   map[model.ReplicaID]bool // drained by accepted edits
	// baselines are the runs that the targets compare this one with.
	baselines []*run
}

// execute runs a scenario once.
func execute(ctx context.Context, s Scenario, o Options, b Baseline) (*run, error) {
	r := &run{
		ctx: ctx, scenario: s, options: o, baseline: b, duration: s.Duration,
		out: make(map[model.DomainID]time.Time), notes: make(map[string]float64),
		wanted: make(map[model.ReplicaID]bool),
	}
	if o.Duration > 0 {
		r.duration = o.Duration
	}
	if err := r.startSite(); err != nil {
		return nil, err
	}
	defer r.cluster.Close()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	go r.balancer.Run(loadCtx)
	r.watcher = newWatcher(r.cluster)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.watcher.run(loadCtx)
	}()
	r.load(ctx)
	wait.Sleep(ctx, settle)
	r.closeOut()
	stop()
	<-watched
	r.lost = r.lostConfigurations()
	return r, ctx.Err()
}

func (r *run) startSite() error {
	doc, err := examples.Document(r.options.Site)
	if err != nil {
		return err
	}
	for _, trim := range []func(*model.Document){r.scenario.Trim, r.baseline.Trim} {
		if trim != nil {
			trim(doc)
		}
	}
	r.cluster, err = testcluster.Start(r.ctx, testcluster.Config{
		Document:       doc,
		VMs:            spread(doc, vmCount),
		Seed:           r.options.Seed,
		Records:        records,
		Profile:        r.profile,
		DomainDelay:    r.domainDelay(),
		BalancerNotice: balancerNotice,
		Log:            r.options.Log,
		Policy:         r.baseline.Policy,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	if err := r.cluster.AwaitReady(ctx); err != nil {
		r.cluster.Close()
		return err
	}
	r.balancer = loadgen.NewBalancer(r.backends)
	r.balancer.Check()
	return nil
}

func (r *run) profile(id model.ServiceID, svc *model.Service) testcluster.Profile {
	p := workload.Profile(id, svc)
	if !r.scenario.UpstreamsBound {
		p.Overcommit = 2
	}
	if r.scenario.Profile != nil {
		r.scenario.Profile(&p)
	}
	return p
}

func (r *run) backends() []loadgen.Backend {
	var out []loadgen.Backend
	for _, vm := range r.cluster.Running() {
		out = append(out, loadgen.Backend{Callers: vm.Callers, Operators: vm.Operators})
	}
	return out
}

// load sends the load and carries out the script beside it.
func (r *run) load(ctx context.Context) {
	requests := workload.Mix(r.cluster, r.rates())
	if r.scenario.Requests != nil {
		r.scenario.Requests(requests)
	}
	g := &loadgen.Generator{Target: r.target(), Requests: requests, Seed: r.options.Seed}
	if r.scenario.Rate != nil {
		g.Rate = func(at time.Duration) float64 {
			return r.scenario.Rate(max(0, float64(at-warmUp)/float64(r.duration)))
		}
	}
	r.start = time.Now().Add(warmUp)
	r.watcher.began(r.start)
	var script errgroup.Group
	script.Go(func() error { r.runScript(ctx); return nil })
	r.report = g.Run(ctx, warmUp+r.duration)
	_ = script.Wait()
}

func (r *run) rates() workload.Rates {
	rates := r.scenario.Rates
	if r.scenario.Capacity {
		rates.Search *= capacity(r.cluster.Document.Services[searchServices(r.cluster.Document)[0]])
	}
	return rates
}

func (r *run) target() loadgen.Target {
	if r.baseline.Direct {
		return newDirect(r.cluster)
	}
	return r.balancer
}

// runScript starts each step at its time. A step may last longer than the
// time to the next one.
func (r *run) runScript(ctx context.Context) {
	var steps errgroup.Group
	for _, s := range r.scenario.Script {
		if !wait.Sleep(ctx, time.Until(r.start.Add(r.share(s.At)))) {
			break
		}
		r.mark(s.Name)
		steps.Go(func() error {
			if err := s.Do(r); err != nil {
				r.failed(s.Name, err)
			}
			return nil
		})
	}
	_ = steps.Wait()
}

// share returns a share of the duration.
func (r *run) share(s float64) time.Duration { return time.Duration(s * float64(r.duration)) }

func (r *run) mark(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{Seconds: time.Since(r.start).Seconds(), Name: name})
}

func (r *run) failed(step string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf("%s: %v", step, err))
}

// note adds to a figure of this scenario.
func (r *run) note(name string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes[name] += v
}

// closeOut counts late work in failure domains that are still out.
func (r *run) closeOut() {
	for d := range maps.Clone(r.out) {
		r.countLate(d)
	}
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

// domainDelay is the distance between failure domains, see docs/design.md,
// section 1.4.
func (r *run) domainDelay() time.Duration {
	if r.scenario.Together {
		return 0
	}
	if r.options.Site == "podstavek" {
		return time.Millisecond
	}
	return 500 * time.Microsecond
}
