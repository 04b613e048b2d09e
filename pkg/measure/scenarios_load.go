package measure

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
	"github.com/nutmeghitch/nutmeghitch/pkg/workload"
)

// lowSearchRate leaves every upstream idle when a search arrives.
var lowSearchRate = workload.Rates{Search: 25}

const (
	// overloadService makes the capacity small enough for three times of it
	// to be sent by one process beside the tier and the upstreams.
	overloadService   = 40 * time.Millisecond
	overloadVariation = 0.3
)

// overloadStages are the multiples of the capacity that are offered in turn.
var overloadStages = []float64{0.5, 1, 2, 3}

// capacity returns the searches per second that a service's upstreams can
// run, from the slots of its smallest group and the mean service time.
func capacity(svc *model.Service) float64 {
	slots := math.MaxInt
	for _, g := range svc.ShardMaps[0].Groups {
		slots = min(slots, len(g.Replicas)*svc.Slots)
	}
	mean := overloadService.Seconds() * math.Exp(overloadVariation*overloadVariation/2)
	return float64(slots) / mean
}

func overload() Scenario {
	s := Scenario{
		Name:     "overload",
		Summary:  "0.5, 1, 2 and 3 times the capacity of a search service in turn",
		Duration: 20 * time.Second,
		Rates:    workload.Rates{Search: 1}, // times the capacity, see Capacity
		Capacity: true,
		Trim: func(d *model.Document) {
			keep := searchServices(d)[0]
			for _, name := range searchServices(d) {
				if len(d.Services[name].ShardMaps[0].Groups) < len(d.Services[keep].ShardMaps[0].Groups) {
					keep = name
				}
			}
			for name := range d.Services {
				if name != keep {
					delete(d.Services, name)
				}
			}
		},
		Profile: func(p *testcluster.Profile) {
			p.ServiceTime = overloadService
			p.Variation = overloadVariation
		},
		Rate: func(share float64) float64 {
			return overloadStages[min(int(share*float64(len(overloadStages))), len(overloadStages)-1)]
		},
		Targets: func(r *run) []Target {
			curve := r.goodput()
			best, last := slices.Max(curve), curve[len(curve)-1]
			return []Target{{
				Name:  "goodput at three times the capacity",
				Bound: "at least 90% of the best goodput",
				Seen:  fmt.Sprintf("%.0f/s, best %.0f/s, %.0f%%", last, best, 100*ratio(last, best)),
				Met:   last >= goodputShare*best,
			}}
		},
		Baselines: []Baseline{{Name: "no admission", Policy: model.Policy{NoAdmission: true}}},
	}
	for i, m := range overloadStages {
		s.Script = append(s.Script, Step{
			At:   float64(i) / float64(len(overloadStages)),
			Name: fmt.Sprintf("%.1f times", m),
			Do:   func(*run) error { return nil },
		})
	}
	return s
}

// goodput returns the complete answers within their deadline per second, for
// each stage of the overload scenario.
func (r *run) goodput() []float64 {
	n := float64(len(overloadStages))
	out := make([]float64, len(overloadStages))
	for i := range out {
		w := window{float64(i) / n, float64(i+1) / n}
		good := r.samples(w, isGood)
		out[i] = float64(len(good)) / r.share(1/n).Seconds()
	}
	return out
}

func isGood(s loadgen.Sample) bool {
	return s.Code == "" && s.Covered == s.Total && s.Took <= s.Deadline
}

func overheadTarget(tier, direct float64) Target {
	return Target{
		Name:  "overhead of the tier at the median, 15 groups",
		Bound: "under 1 ms",
		Seen:  fmt.Sprintf("%.2f ms, %.2f ms with the tier and %.2f ms without", tier-direct, tier, direct),
		Met:   tier-direct < overheadBoundMS,
	}
}

func formatMS(ms float64) string { return fmt.Sprintf("%.0f ms", ms) }
