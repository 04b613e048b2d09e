// Package measure runs the daemon's code over loopback under faults, compares
// what callers and upstreams saw with the promises and the targets of
// docs/design.md, and reports the figures.
package measure

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
	"github.com/nutmeghitch/nutmeghitch/pkg/workload"
)

// Scenario is a script of timed actions over a running load.
type Scenario struct {
	Name    string
	Summary string
	// Duration is the default time of the load after the warm-up.
	Duration time.Duration
	Rates    workload.Rates
	// Trim changes the site's document before the start; nil keeps it.
	Trim func(*model.Document)
	// Profile changes the behaviour of the upstreams; nil keeps it.
	Profile func(*testcluster.Profile)
	// Requests changes the mix; nil keeps it.
	Requests func([]loadgen.Request)
	// Rate multiplies the arrival rates at a share of the duration.
	Rate func(share float64) float64
	// Capacity multiplies the rates by the capacity of the search service.
	Capacity bool
	// Together puts all failure domains at no distance.
	Together bool
	// Script is ordered by time.
	Script []Step
	// Targets judges the figures of the tier, not those of a baseline.
	Targets func(*run) []Target
	// Baselines are run with the same seed and load.
	Baselines []Baseline
	// UpstreamsBound says that upstreams refuse work beyond their slots. The
	// bound of slots + 1 is then theirs to keep and is not checked, see
	// docs/design.md, section 3.1, on partitions.
	UpstreamsBound bool
}

// Step is one action of a script.
type Step struct {
	// At is the time of the action as a share of the duration.
	At   float64
	Name string
	Do   func(*run) error
}

// Baseline is a policy or configuration that the tier is compared with.
type Baseline struct {
	Name   string
	Policy model.Policy
	// Trim changes the site's document before the start; nil keeps it.
	Trim func(*model.Document)
	// Direct sends searches from the client to the upstreams, without the tier.
	Direct bool
}

// Target is a bound from docs/design.md, section 1.7, and what was seen.
type Target struct {
	Name  string `json:"name"`
	Bound string `json:"bound"`
	Seen  string `json:"seen"`
	Met   bool   `json:"met"`
}

// Promise is a rule that must always hold and what was seen of it.
type Promise struct {
	Name string `json:"name"`
	// Broken counts violations; 0 means that the promise held.
	Broken int `json:"broken"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
}

// Mark is an action of a script at the time it was carried out.
type Mark struct {
	Seconds float64 `json:"seconds"`
	Name    string  `json:"name"`
}

// baseRates keep a site with 110 upstreams and 5 VMs below three cores.
var baseRates = workload.Rates{Search: 60, Read: 40, Once: 5}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		steady(), overhead(), straggler(), vmLoss(), domainOut(), coldStart(), versionRoll(),
		repartition(), poisonRequest(), silentConnections(), platformOutage(),
		partition(), configRace(), onceOnly(), overload(), rollingRestart(),
	}
}

// Find returns the scenario with a name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}
