package measure

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

const (
	// slowFactor is the slowness of a straggler; tailShare is the share of
	// runs that are as slow on any upstream.
	slowFactor = 10
	tailShare  = 0.01
	// secondVersion is the index version that follows the first.
	firstVersion  = 1
	secondVersion = 2
)

func steady() Scenario {
	return Scenario{
		Name:     "steady",
		Summary:  "no fault",
		Duration: 12 * time.Second,
		Rates:    baseRates,
		Targets: func(r *run) []Target {
			return append(r.common(), noneLost("requests without an answer", r.samples(whole, nil)))
		},
	}
}

func overhead() Scenario {
	return Scenario{
		Name:     "overhead",
		Summary:  "unloaded searches over 15 groups, next to a client that asks one replica of each group itself",
		Duration: 10 * time.Second,
		Rates:    lowSearchRate,
		Together: true,
		Trim: func(d *model.Document) {
			for name, svc := range d.Services {
				if svc.Kind != model.Search || len(svc.ShardMaps[0].Groups) != 15 {
					delete(d.Services, name)
				}
			}
		},
		Profile: func(p *testcluster.Profile) { p.Variation = 0 },
		Targets: func(r *run) []Target {
			tier := latencyOf(r.samples(whole, isSearch)).P50
			direct := latencyOf(r.baselines[0].samples(whole, isSearch)).P50
			return []Target{fullCoverage(r.samples(whole, nil)), overheadTarget(tier, direct)}
		},
		Baselines: []Baseline{{Name: "direct fan-out by the client", Direct: true}, {Name: "no canary", Trim: noCanary}},
	}
}

func straggler() Scenario {
	const from = 0.4
	return Scenario{
		Name:     "straggler",
		Summary:  "one replica in every third group becomes 10 times slower, and 1% of all runs",
		Duration: 18 * time.Second,
		Rates:    baseRates,
		Script: []Step{{At: from, Name: "stragglers start", Do: func(r *run) error {
			for i, p := range r.cluster.Placed(model.Search, firstEpoch) {
				u := r.cluster.Upstream(p.Replica.ID)
				u.SetTail(tailShare, slowFactor)
				if i%9 == 0 { // groups have 3 replicas
					u.SetSlow(slowFactor)
				}
			}
			return nil
		}}},
		Targets: func(r *run) []Target {
			return append(r.common(), r.ratioTarget("p99 of searches with stragglers", window{from, 1}, window{0, from}, stragglerFactor))
		},
		Baselines: []Baseline{{Name: "random replica, no hedges", Policy: model.Policy{NoHedges: true, RandomReplica: true}}},
	}
}

func vmLoss() Scenario {
	return Scenario{
		Name:     "vm-loss",
		Summary:  "a VM ends without warning; another one starts later",
		Duration: 16 * time.Second,
		Rates:    baseRates,
		Script: []Step{
			{At: 0.3, Name: "VM lost", Do: func(r *run) error { return r.kill(r.lastDomain()) }},
			{At: 0.7, Name: "VM replaced", Do: func(r *run) error { return r.startVM(r.lastDomain()) }},
		},
		Targets: func(r *run) []Target { return r.common() },
	}
}

func domainOut() Scenario {
	const out, back = 0.3, 0.65
	return Scenario{
		Name:     "domain-out",
		Summary:  "operators take a failure domain out of service and bring it back",
		Duration: 20 * time.Second,
		Rates:    baseRates,
		Script: []Step{
			{At: out, Name: "domain out", Do: func(r *run) error { return r.takeOut(r.lastDomain()) }},
			{At: back, Name: "domain back", Do: func(r *run) error { return r.bringBack(r.lastDomain()) }},
		},
		Targets: func(r *run) []Target {
			return append(r.common(),
				r.ratioTarget("p99 of searches while the domain leaves and is out", window{out, back}, window{0, out}, domainFactor),
				r.ratioTarget("p99 of searches while the domain returns", window{back, 1}, window{0, out}, domainFactor),
				noneLost("requests lost", r.samples(window{out, 1}, nil)))
		},
	}
}

func coldStart() Scenario {
	return Scenario{
		Name:     "cold-start",
		Summary:  "all upstreams of a failure domain restart cold, and later one turns cold without a sign",
		Duration: 16 * time.Second,
		Rates:    baseRates,
		Script: []Step{
			{At: 0.25, Name: "cold restart", Do: func(r *run) error { return restartCold(r.upstreamsIn(r.lastDomain())) }},
			{At: 0.7, Name: "silently cold", Do: func(r *run) error {
				r.cluster.Upstream(r.cluster.Placed(model.Search, firstEpoch)[0].Replica.ID).GoCold()
				return nil
			}},
		},
		Targets: func(r *run) []Target {
			return append(r.common(), atMost("sends beyond what cold upstreams handle (P3)", 0, r.figures().ColdExcess))
		},
		Baselines: []Baseline{{Name: "no cold-start window", Policy: model.Policy{NoColdWindow: true}}},
	}
}

func versionRoll() Scenario {
	return Scenario{
		Name:     "version-roll",
		Summary:  "a new index version reaches one replica after the other, then the old one is dropped",
		Duration: 16 * time.Second,
		Rates:    baseRates,
		Script: []Step{
			{At: 0.1, Name: "new version starts", Do: func(r *run) error {
				spaced(r, 0.5, r.cluster.Placed(model.Search, firstEpoch), func(p testcluster.Placed) { r.publishIndex(p, secondVersion) })
				return nil
			}},
			{At: 0.75, Name: "old version dropped", Do: func(r *run) error {
				spaced(r, 0.1, r.cluster.Placed(model.Search, firstEpoch), func(p testcluster.Placed) {
					r.cluster.Upstream(p.Replica.ID).DropVersion(firstVersion)
				})
				return nil
			}},
		},
		Targets: func(r *run) []Target {
			return append(r.common(), noneLost("requests without an answer", r.samples(whole, nil)))
		},
	}
}

func repartition() Scenario {
	return Scenario{
		Name:     "repartition",
		Summary:  "a shard map with two more groups replaces the old one while queries run",
		Duration: 18 * time.Second,
		Rates:    baseRates,
		Script: []Step{
			{At: 0.15, Name: "new shard map", Do: func(r *run) error { return r.addGroups() }},
			{At: 0.25, Name: "new index spreads", Do: func(r *run) error {
				spaced(r, 0.3, r.cluster.Placed(model.Search, firstEpoch+1), func(p testcluster.Placed) { r.publishIndex(p, secondVersion) })
				return nil
			}},
			{At: 0.7, Name: "old index dropped", Do: func(r *run) error {
				spaced(r, 0.1, r.cluster.Placed(model.Search, firstEpoch), func(p testcluster.Placed) {
					r.cluster.Upstream(p.Replica.ID).DropVersion(firstVersion)
				})
				return nil
			}},
			{At: 0.88, Name: "old shard map removed", Do: func(r *run) error { return r.removeOldMap() }},
		},
		Targets: func(r *run) []Target {
			return append(r.common(), noneLost("requests without an answer", r.samples(whole, nil)))
		},
	}
}

func rollingRestart() Scenario {
	return Scenario{
		Name:     "rolling-restart",
		Summary:  "each VM in turn is stopped as planned and replaced",
		Duration: 20 * time.Second,
		Rates:    baseRates,
		Script: []Step{{At: 0.1, Name: "rolling restart", Do: func(r *run) error {
			for _, vm := range r.cluster.Running() {
				began := time.Now()
				vm.Stop()
				r.note("planned stops took ms in all", milliseconds(time.Since(began)))
				r.mark("stopped " + string(vm.ID))
				if err := r.startVM(vm.Domain); err != nil {
					return err
				}
			}
			return nil
		}}},
		Targets: func(r *run) []Target {
			return append(r.common(), noneLost("requests cut or lost (P9)", r.samples(whole, nil)))
		},
	}
}

// heavyBookings turns the mix into mostly non-idempotent requests, sent twice
// and repeated like those of insistent callers.
func heavyBookings(mix []loadgen.Request) {
	for i := range mix {
		if mix[i].Once {
			mix[i].RepeatShare = 0.3
			mix[i].Resends = 4
			mix[i].ResendAfter = 300 * time.Millisecond
		}
	}
}
