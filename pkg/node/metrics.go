package node

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/claim"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// metricSampleInterval is how often values that other services hold are copied
// into metrics. It equals the interval at which package metrics reports them.
const metricSampleInterval = time.Second

// newClaimCounter returns a function that counts claims by verdict. The counters
// of the verdicts that operators watch exist from the start, so that a rate can
// be computed for them before the first claim.
func newClaimCounter(scope tally.Scope) func(verdict string) {
	counter := func(verdict string) tally.Counter {
		return scope.Tagged(map[string]string{"verdict": verdict}).Counter("claims")
	}
	for _, v := range []string{
		claim.VerdictGranted, claim.VerdictRepeated,
		string(errs.ClaimUnavailable), string(errs.ClaimStoreFull), string(errs.KeyReused), string(errs.OutcomeUnknown),
	} {
		counter(v)
	}
	return func(verdict string) { counter(verdict).Inc(1) }
}

// metricsService copies the state of the VM into metrics at a fixed interval.
type metricsService struct {
	cfg     *Config
	callers *callersService
}

// Start implements kernel.Starter.
func (s *metricsService) Start(_ context.Context, scope *kernel.Scope) error {
	controller, err := kernel.Get(scope, controlHandle)
	if err != nil {
		return err
	}
	dispatcher, err := kernel.Get(scope, dispatchHandle)
	if err != nil {
		return err
	}
	sampler := newSampler(s.cfg)
	scope.Go(func(ctx context.Context) error {
		ticker := time.NewTicker(metricSampleInterval)
		defer ticker.Stop()
		for {
			sampler.sample(time.Now(), controller.Current(), dispatcher.InFlight(), s.callers.inFlight())
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
	return nil
}

// sampler sets gauges to the current state of the VM, and adds to counters what
// the totals of other packages have grown by since the previous sample.
type sampler struct {
	self            model.VMID
	scope           tally.Scope
	platformCalls   func() platform.CallCounts
	droppedLogLines func() uint64

	previousCalls        platform.CallCounts
	previousDroppedLines uint64
}

func newSampler(c *Config) *sampler {
	s := &sampler{self: c.Self.ID, scope: c.MetricsScope, platformCalls: func() platform.CallCounts { return platform.CallCounts{} }, droppedLogLines: func() uint64 { return 0 }}
	if counter, ok := c.Store.(interface{ Calls() platform.CallCounts }); ok {
		s.platformCalls = counter.Calls
	}
	if logWriter, ok := c.Logger.Out.(*logging.AsyncWriter); ok {
		s.droppedLogLines = logWriter.DroppedLines
	}
	return s
}

func (s *sampler) sample(now time.Time, v *model.View, attemptsInFlight, requestsInFlight int) {
	s.setGauge("view_age", now.Sub(v.PublishedAt).Seconds())
	version := uint64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	s.setGauge("config_version", float64(version))
	aliveVMs, ownedReplicas := 0, 0
	for _, vm := range v.VMs {
		if vm.State == model.Alive {
			aliveVMs++
		}
	}
	for _, owner := range v.Owners {
		if owner == s.self {
			ownedReplicas++
		}
	}
	s.setGauge("vms_alive", float64(aliveVMs))
	s.setGauge("replicas_owned", float64(ownedReplicas))
	s.setGauge("replicas_excluded", float64(len(v.Excluded)))
	s.setGauge("callers_in_flight", float64(requestsInFlight))
	s.setGauge("dispatch_in_flight", float64(attemptsInFlight))
	s.samplePlatformCalls()
	droppedLines := s.droppedLogLines()
	s.scope.Counter("log_lines_dropped").Inc(int64(droppedLines - s.previousDroppedLines))
	s.previousDroppedLines = droppedLines
}

func (s *sampler) samplePlatformCalls() {
	calls := s.platformCalls()
	for _, kind := range []platform.CallKind{
		platform.KindGet, platform.KindPut, platform.KindDelete, platform.KindList, platform.KindWatch, platform.KindVMs,
	} {
		scope := s.scope.Tagged(map[string]string{"kind": string(kind)})
		scope.Counter("platform_calls").Inc(int64(calls.Sent[kind] - s.previousCalls.Sent[kind]))
	}
	s.scope.Counter("platform_failed").Inc(int64(calls.Failed - s.previousCalls.Failed))
	s.scope.Counter("platform_throttled").Inc(int64(calls.RefusedByBudget - s.previousCalls.RefusedByBudget))
	s.scope.Counter("platform_rejected").Inc(int64(calls.RefusedByPlatform - s.previousCalls.RefusedByPlatform))
	s.previousCalls = calls
}

func (s *sampler) setGauge(name string, value float64) { s.scope.Gauge(name).Update(value) }
