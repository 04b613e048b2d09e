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

// sampleInterval is the period in which values that other parts keep are
// copied into metrics. It equals the period of the metrics' reports.
const sampleInterval = time.Second

// claimVerdicts returns a counter of claims by verdict. The verdicts that
// operators watch exist from the start, so that a rate can be taken of them.
func claimVerdicts(scope tally.Scope) func(verdict string) {
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

// metricsService samples the state of the VM for /metrics.
type metricsService struct {
	cfg     *Config
	callers *callersService
}

// Start implements kernel.Starter.
func (s *metricsService) Start(_ context.Context, scope *kernel.Scope) error {
	ctl, err := kernel.Get(scope, controlHandle)
	if err != nil {
		return err
	}
	dispatch, err := kernel.Get(scope, dispatchHandle)
	if err != nil {
		return err
	}
	sampler := newSampler(s.cfg)
	scope.Go(func(ctx context.Context) error {
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			sampler.sample(time.Now(), ctl.Current(), dispatch.InFlight(), s.callers.inFlight())
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	})
	return nil
}

// sampler turns totals into counters and states into gauges.
type sampler struct {
	self    model.VMID
	scope   tally.Scope
	calls   func() platform.CallCounts
	dropped func() uint64

	before     platform.CallCounts
	lostBefore uint64
}

func newSampler(c *Config) *sampler {
	s := &sampler{self: c.Self.ID, scope: c.Scope, calls: func() platform.CallCounts { return platform.CallCounts{} }, dropped: func() uint64 { return 0 }}
	if counted, ok := c.Store.(interface{ Calls() platform.CallCounts }); ok {
		s.calls = counted.Calls
	}
	if log, ok := c.Logger.Out.(*logging.AsyncWriter); ok {
		s.dropped = log.DroppedLines
	}
	return s
}

func (s *sampler) sample(now time.Time, v *model.View, attempts, requests int) {
	s.gauge("view_age", now.Sub(v.PublishedAt).Seconds())
	version := uint64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	s.gauge("config_version", float64(version))
	alive, owned := 0, 0
	for _, vm := range v.VMs {
		if vm.State == model.Alive {
			alive++
		}
	}
	for _, owner := range v.Owners {
		if owner == s.self {
			owned++
		}
	}
	s.gauge("vms_alive", float64(alive))
	s.gauge("replicas_owned", float64(owned))
	s.gauge("replicas_excluded", float64(len(v.Excluded)))
	s.gauge("callers_in_flight", float64(requests))
	s.gauge("dispatch_in_flight", float64(attempts))
	s.samplePlatform()
	lost := s.dropped()
	s.scope.Counter("log_lines_dropped").Inc(int64(lost - s.lostBefore))
	s.lostBefore = lost
}

func (s *sampler) samplePlatform() {
	now := s.calls()
	for _, kind := range []platform.CallKind{
		platform.KindGet, platform.KindPut, platform.KindDelete, platform.KindList, platform.KindWatch, platform.KindVMs,
	} {
		scope := s.scope.Tagged(map[string]string{"kind": string(kind)})
		scope.Counter("platform_calls").Inc(int64(now.Sent[kind] - s.before.Sent[kind]))
	}
	s.scope.Counter("platform_failed").Inc(int64(now.Failed - s.before.Failed))
	s.scope.Counter("platform_throttled").Inc(int64(now.RefusedByBudget - s.before.RefusedByBudget))
	s.scope.Counter("platform_rejected").Inc(int64(now.RefusedByPlatform - s.before.RefusedByPlatform))
	s.before = now
}

func (s *sampler) gauge(name string, value float64) { s.scope.Gauge(name).Update(value) }
