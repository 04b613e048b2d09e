// Package gateway is the entry side of the tier: it plans a request, scatters
// it to the owners of the chosen replicas, and collects the answer.
package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/claim"
	"github.com/nutmeghitch/nutmeghitch/pkg/dispatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routing"
	"github.com/nutmeghitch/nutmeghitch/pkg/snapshot"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// replyMargin is kept free before the deadline to merge and write the answer.
const replyMargin = 2 * time.Millisecond

// Config holds the collaborators of a Gateway.
type Config struct {
	Self            model.VM
	View            model.ViewSource
	Transport       wire.Transport
	LocalDispatcher *dispatch.Dispatcher
	Ledger          *poison.Ledger
	Claims          *claim.Service
	Log             logrus.FieldLogger
	Scope           tally.Scope
	Rand            *rand.Rand
	// Policy selects a baseline for measurements.
	Policy model.Policy
}

// Gateway serves the requests that callers send to this VM.
type Gateway struct {
	cfg       Config
	table     *routing.Table
	admission *admitter
	snapshots snapshot.Cache
	counters  counters
	// idPrefix and lastID form query ids. They are unique over all VMs and
	// restarts, unlike the ids that callers send.
	idPrefix string
	lastID   atomic.Uint64

	mu       sync.Mutex
	policies map[model.ServiceID]policy
}

// policy is the hedging policy of a service and what it was made for.
type policy struct {
	config hedge.Config
	*hedge.Policy
}

// Sends counts sub-requests by the reason of the send. Hedges and retries are
// extra load; a moved send replaces one that did not run.
type Sends struct {
	Primary, Hedge, Retry, Moved, Denied int64
}

// sendCounter counts sends for the metrics and for Sends.
type sendCounter struct {
	metric tally.Counter
	total  atomic.Int64
}

func (c *sendCounter) inc(n int) {
	c.metric.Inc(int64(n))
	c.total.Add(int64(n))
}

// counters are the traffic metrics of the entry side.
type counters struct {
	primaries   sendCounter
	hedges      sendCounter
	retries     sendCounter
	moves       sendCounter
	denied      sendCounter
	mismatches  tally.Counter
	restarts    tally.Counter
	latency     tally.Histogram
	partialSent tally.Counter
}

// New returns a Gateway.
func New(c Config) *Gateway {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &Gateway{
		cfg:       c,
		table:     newTable(c),
		admission: newAdmitter(c.View, c.Policy),
		policies:  make(map[model.ServiceID]policy),
		idPrefix:  uuid.NewString()[:13] + "-",
		counters: counters{
			primaries:   sendCounter{metric: c.Scope.Counter("sends_primary")},
			hedges:      sendCounter{metric: c.Scope.Counter("sends_hedge")},
			retries:     sendCounter{metric: c.Scope.Counter("sends_retry")},
			moves:       sendCounter{metric: c.Scope.Counter("sends_moved")},
			denied:      sendCounter{metric: c.Scope.Counter("extra_load_denied")},
			mismatches:  c.Scope.Counter("responses_dropped"),
			restarts:    c.Scope.Counter("search_restarts"),
			partialSent: c.Scope.Counter("answers_partial"),
			latency:     c.Scope.Histogram("answer_latency", latencyBuckets),
		},
	}
}

func newTable(c Config) *routing.Table {
	if c.Policy.RandomReplica {
		return routing.NewRandomTable(c.Rand)
	}
	return routing.NewTable(c.Rand)
}

// latencyBuckets cover 0.5 ms to 16 s by factors of two.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Run drives queue expiry until ctx ends.
func (g *Gateway) Run(ctx context.Context) error { return g.admission.gate.Run(ctx) }

// Sends returns the sub-requests that this VM has sent since its start.
func (g *Gateway) Sends() Sends {
	c := &g.counters
	return Sends{
		Primary: c.primaries.total.Load(),
		Hedge:   c.hedges.total.Load(),
		Retry:   c.retries.total.Load(),
		Moved:   c.moves.total.Load(),
		Denied:  c.denied.total.Load(),
	}
}

// service returns the configuration in force and one of its services.
func (g *Gateway) service(id model.ServiceID) (*model.View, *model.Service, error) {
	v := g.cfg.View.Current()
	if v.Config == nil {
		return nil, nil, errs.Refuse(errs.NotReady, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	svc := v.Config.Services[id]
	if svc == nil {
		return nil, nil, errs.Refuse(errs.UnknownService, "service %q is not configured", id)
	}
	return v, svc, nil
}

// policy returns the hedging policy of a service. A configuration that changes
// its parameters starts a new one.
func (g *Gateway) policy(id model.ServiceID, svc *model.Service, groups int) *hedge.Policy {
	want := hedge.Config{Groups: groups, TargetQuantile: svc.TargetQuantile, ExtraLoad: svc.ExtraLoad}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.policies[id]
	if p.Policy == nil || p.config != want {
		p = policy{config: want, Policy: hedge.NewPolicy(want)}
		g.policies[id] = p
	}
	return p.Policy
}

func (g *Gateway) newQueryID() string {
	return g.idPrefix + strconv.FormatUint(g.lastID.Add(1), 36)
}

// checkPoison refuses a blocked fingerprint before anything is sent.
func (g *Gateway) checkPoison(fp uint64) (poison.Verdict, error) {
	verdict := g.cfg.Ledger.Check(time.Now(), fp)
	if verdict == poison.Blocked {
		return verdict, refusePoisoned(fp, errs.DidNotRun)
	}
	return verdict, nil
}

// refusePoisoned refuses a blocked fingerprint. An attempt that has cost an
// upstream may have run.
func refusePoisoned(fp uint64, state errs.RunState) *errs.Refusal {
	r := errs.Refuse(errs.Poisoned, "request %016x is blocked because upstreams were lost while running it", fp)
	r.RunState = state
	return r
}

// distance returns the network distance from this VM to a failure domain.
func (g *Gateway) distance(v *model.View, d model.DomainID) time.Duration {
	tier := v.Config.Tier
	switch {
	case d == g.cfg.Self.Domain:
		return time.Duration(tier.SameDomainUS) * time.Microsecond
	case v.Config.Region(d) == g.cfg.Self.Region:
		return time.Duration(tier.SameRegionUS) * time.Microsecond
	default:
		return time.Duration(tier.OtherRegionUS) * time.Microsecond
	}
}

// candidates returns the replicas that may get new work and are not in tried.
func (g *Gateway) candidates(v *model.View, holders []model.Replica, tried map[model.ReplicaID]bool, buf []routing.Candidate) []routing.Candidate {
	for _, r := range holders {
		if _, out := v.Excluded[r.ID]; out || tried[r.ID] {
			continue
		}
		if v.Owners[r.ID] == "" {
			continue
		}
		buf = append(buf, routing.Candidate{Replica: r.ID, Distance: g.distance(v, r.Domain)})
	}
	return buf
}
