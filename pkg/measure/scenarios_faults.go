package measure

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/workload"
)

// poisonText marks the request that crashes upstreams.
const poisonText = "request that crashes upstreams"

func poisonRequest() Scenario {
	return Scenario{
		Name:     "poison",
		Summary:  "one request crashes each upstream that runs it and is sent 8 times through several VMs",
		Duration: 14 * time.Second,
		Rates:    baseRates,
		Profile:  func(p *testcluster.Profile) { p.RestartAfter = time.Second },
		Script: []Step{{At: 0.25, Name: "poison request", Do: func(r *run) error {
			for _, u := range r.cluster.Replicas() {
				u.CrashOn(func(q fake.UpstreamRequest) bool {
					parsed, err := fake.ParseQuery(q.Payload)
					return err == nil && parsed.Text == poisonText
				})
			}
			return r.sendRepeatedly(searchServices(r.cluster.Document)[0], fake.Query{Text: poisonText}, 8, 400*time.Millisecond)
		}}},
		Targets: func(r *run) []Target {
			f := r.figures()
			return append(r.common(),
				noneLost("requests of others without an answer", r.samples(whole, nil)),
				atMost("upstreams lost to the request", poisonLossBound, f.Crashes))
		},
		Baselines: []Baseline{{Name: "no canary", Trim: noCanary}},
	}
}

// noCanary asks all groups at once, also for an unknown request.
func noCanary(d *model.Document) {
	for _, name := range searchServices(d) {
		d.Services[name].CanaryGroups = 0
	}
}

func silentConnections() Scenario {
	return Scenario{
		Name:     "silent-connections",
		Summary:  "established connections to a third of the upstreams, then between failure domains, go silent for good",
		Duration: 16 * time.Second,
		Rates:    baseRates,
		Script: []Step{
			{At: 0.25, Name: "upstreams silent", Do: func(r *run) error {
				all := r.cluster.Replicas()
				for i, id := range slices.Sorted(maps.Keys(all)) {
					if i%3 == 0 {
						all[id].Silence()
					}
				}
				return nil
			}},
			{At: 0.6, Name: "paths silent", Do: func(r *run) error {
				d := testcluster.DomainEndpoint(r.lastDomain())
				for other := range r.cluster.Document.Domains {
					if other != r.lastDomain() {
						r.cluster.Network.Silence(d, testcluster.DomainEndpoint(other))
					}
				}
				r.cluster.Network.Silence(d, testcluster.PlatformEndpoint)
				return nil
			}},
		},
		Targets: func(r *run) []Target { return r.common() },
	}
}

func platformOutage() Scenario {
	const down, up = 0.2, 0.7
	return Scenario{
		Name:     "platform-outage",
		Summary:  "the platform is down while load goes on and a VM starts, then slow",
		Duration: 18 * time.Second,
		Rates:    baseRates,
		Script: []Step{
			{At: down, Name: "platform down", Do: func(r *run) error { r.cluster.Platform.SetDown(true); return nil }},
			{At: 0.4, Name: "VM starts", Do: func(r *run) error { return r.startVM(r.lastDomain()) }},
			{At: up, Name: "platform up, slow", Do: func(r *run) error {
				r.cluster.Platform.SetDelay(200 * time.Millisecond)
				r.cluster.Platform.SetDown(false)
				return nil
			}},
		},
		Targets: func(r *run) []Target {
			// Bookings need the platform; they are refused without a run.
			bookings := len(servicesOf(r.cluster.Document, model.Lookup)) > 0
			list := append(r.common(), noneLost("searches without an answer", r.samples(whole, isSearch)))
			if bookings {
				list = append(list, noneLost("lookups that read without an answer", r.samples(whole, isRead)))
			}
			return list
		},
	}
}

func isRead(s loadgen.Sample) bool { return !s.Search && !s.Once }

func partition() Scenario {
	const cut, heal = 0.25, 0.65
	return Scenario{
		Name:           "partition",
		Summary:        "one failure domain is cut off from the others and from the platform",
		Duration:       20 * time.Second,
		Rates:          baseRates,
		UpstreamsBound: true,
		Script: []Step{
			{At: cut, Name: "cut off", Do: func(r *run) error {
				r.cutOff(r.lastDomain(), true)
				return nil
			}},
			{At: 0.4, Name: "edit", Do: func(r *run) error {
				return r.drain(r.cluster.Placed(model.Lookup, firstEpoch)[0].Replica.ID, true)
			}},
			{At: heal, Name: "healed", Do: func(r *run) error {
				r.cutOff(r.lastDomain(), false)
				return nil
			}},
		},
		Targets: func(r *run) []Target {
			larger := r.samples(window{cut, 1}, r.onLargerSide)
			return []Target{
				fullCoverage(larger),
				r.extraLoadTarget(),
				noneLost("requests on the larger side without an answer", larger),
				fullCoverage(r.samples(window{heal + 0.25, 1}, nil)),
			}
		},
	}
}

// onLargerSide reports whether a request was served by a VM that was not cut off.
func (r *run) onLargerSide(s loadgen.Sample) bool {
	for _, vm := range r.cluster.All() {
		if vm.Callers == s.VM {
			return vm.Domain != r.lastDomain()
		}
	}
	return true
}

func configRace() Scenario {
	const rounds = 10
	return Scenario{
		Name:     "config-race",
		Summary:  "two operators publish at once, 10 times, with lost replies and a short outage of the platform",
		Duration: 14 * time.Second,
		Rates:    baseRates,
		Script: []Step{
			{At: 0.05, Name: "operators start", Do: func(r *run) error {
				rounds := make([]int, rounds)
				for i := range rounds {
					rounds[i] = i
				}
				spaced(r, 0.8, rounds, func(i int) { r.editAtOnce(i) })
				return nil
			}},
			{At: 0.3, Name: "2 replies lost", Do: func(r *run) error { r.cluster.Platform.LoseReplies(2); return nil }},
			{At: 0.5, Name: "platform down", Do: func(r *run) error {
				r.cluster.Platform.SetDown(true)
				wait.Sleep(r.ctx, time.Second)
				r.cluster.Platform.SetDown(false)
				return nil
			}},
		},
		Targets: func(r *run) []Target {
			f := r.figures()
			return append(r.common(), Target{
				Name:  "time until a configuration is in force on every VM",
				Bound: "at most 19 s",
				Seen:  formatMS(f.InForceMax),
				Met:   f.InForceMax <= inForceBoundMS,
			})
		},
	}
}

// editAtOnce lets two operators change different overrides at once, and two
// others publish the same document, of which at most one may be accepted.
func (r *run) editAtOnce(round int) {
	lookups := r.cluster.Placed(model.Lookup, firstEpoch)
	var operators errgroup.Group
	for i := range 2 {
		operators.Go(func() error {
			err := r.drain(lookups[i].Replica.ID, round%2 == 0)
			r.note("edits "+acceptance(err), 1)
			return nil
		})
		operators.Go(func() error {
			version, err := r.cluster.Publish(r.ctx, func(d *model.Document) error {
				d.Tier.ClaimRetentionMS += int64(i + 1)
				return nil
			})
			if err == nil {
				r.watcher.publish(version)
			}
			r.note("publications "+acceptance(err), 1)
			return nil
		})
	}
	_ = operators.Wait()
}

func acceptance(err error) string {
	if err == nil {
		return "accepted"
	}
	return "refused: " + string(errs.As(err).Code)
}

func onceOnly() Scenario {
	return Scenario{
		Name:     "once-only",
		Summary:  "bookings are sent twice and repeated through two VMs while the platform loses replies and is down, and a VM ends",
		Duration: 18 * time.Second,
		Rates:    workload.Rates{Search: 10, Read: 10, Once: 40},
		Requests: heavyBookings,
		Script: []Step{
			{At: 0.15, Name: "20 replies lost", Do: func(r *run) error { r.cluster.Platform.LoseReplies(20); return nil }},
			{At: 0.35, Name: "platform down", Do: func(r *run) error { r.cluster.Platform.SetDown(true); return nil }},
			{At: 0.5, Name: "platform up", Do: func(r *run) error { r.cluster.Platform.SetDown(false); return nil }},
			{At: 0.65, Name: "VM lost", Do: func(r *run) error { return r.kill(r.lastDomain()) }},
			{At: 0.8, Name: "20 replies lost", Do: func(r *run) error { r.cluster.Platform.LoseReplies(20); return nil }},
		},
		Targets: func(r *run) []Target { return r.common() },
	}
}
