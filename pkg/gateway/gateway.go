// Package gateway is the entry side of the tier. It admits the requests of
// callers, picks replicas, sends each request to the owners of these replicas,
// and collects the answer.
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

// replyMargin is the time before the deadline that is reserved for merging and
// writing the answer.
const replyMargin = 2 * time.Millisecond

// Config holds the dependencies of a Gateway.
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
	// Policy turns mechanisms off for measurements. The zero value leaves all of
	// them on.
	Policy model.Policy
}

// Gateway serves the requests that callers send to this VM.
type Gateway struct {
	cfg          Config
	routingTable *routing.Table
	admission    *admitter
	snapshots    snapshot.Cache
	counters     counters
	// queryIDPrefix and lastQueryID form the query ids. Query ids are unique
	// across all VMs and restarts, unlike the request ids that callers send.
	queryIDPrefix string
	lastQueryID   atomic.Uint64

	mu            sync.Mutex
	hedgePolicies map[model.ServiceID]hedgePolicy
}

// hedgePolicy is the hedge policy of a service and the parameters that it was
// created with.
type hedgePolicy struct {
	config hedge.Config
	*hedge.Policy
}

// Sends counts the attempts that were sent, by the reason of the send. Hedges
// and retries are extra load; a moved send replaces one that did not run. Denied
// counts the hedges and retries of searches that the extra-load budget did not
// allow.
type Sends struct {
	Primary, Hedge, Retry, Moved, Denied int64
}

// sendCounter counts sends both for the metrics and for Gateway.Sends.
type sendCounter struct {
	metric tally.Counter
	total  atomic.Int64
}

func (c *sendCounter) inc(n int) {
	c.metric.Inc(int64(n))
	c.total.Add(int64(n))
}

// counters holds the traffic metrics of the entry side.
type counters struct {
	primarySends     sendCounter
	hedgeSends       sendCounter
	retrySends       sendCounter
	movedSends       sendCounter
	deniedSends      sendCounter
	droppedResponses tally.Counter
	searchRestarts   tally.Counter
	answerLatency    tally.Histogram
	partialAnswers   tally.Counter
}

// New returns a Gateway.
func New(c Config) *Gateway {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &Gateway{
		cfg:           c,
		routingTable:  newTable(c),
		admission:     newAdmitter(c.View, c.Policy),
		hedgePolicies: make(map[model.ServiceID]hedgePolicy),
		queryIDPrefix: uuid.NewString()[:13] + "-",
		counters: counters{
			primarySends:     sendCounter{metric: c.Scope.Counter("sends_primary")},
			hedgeSends:       sendCounter{metric: c.Scope.Counter("sends_hedge")},
			retrySends:       sendCounter{metric: c.Scope.Counter("sends_retry")},
			movedSends:       sendCounter{metric: c.Scope.Counter("sends_moved")},
			deniedSends:      sendCounter{metric: c.Scope.Counter("extra_load_denied")},
			droppedResponses: c.Scope.Counter("responses_dropped"),
			searchRestarts:   c.Scope.Counter("search_restarts"),
			partialAnswers:   c.Scope.Counter("answers_partial"),
			answerLatency:    c.Scope.Histogram("answer_latency", latencyBuckets),
		},
	}
}

func newTable(c Config) *routing.Table {
	if c.Policy.RandomReplica {
		return routing.NewRandomTable(c.Rand)
	}
	return routing.NewTable(c.Rand)
}

// latencyBuckets cover 0.5 ms to 16 s in steps of a factor of two.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Run removes expired requests from the admission queue until ctx ends.
func (g *Gateway) Run(ctx context.Context) error { return g.admission.limiter.Run(ctx) }

// Sends returns the number of attempts that this VM has sent since its start.
func (g *Gateway) Sends() Sends {
	c := &g.counters
	return Sends{
		Primary: c.primarySends.total.Load(),
		Hedge:   c.hedgeSends.total.Load(),
		Retry:   c.retrySends.total.Load(),
		Moved:   c.movedSends.total.Load(),
		Denied:  c.deniedSends.total.Load(),
	}
}

// service returns the current view and the configuration of a service in it.
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

// hedgePolicyFor returns the hedge policy of a service. If the parameters differ
// from those of the last call, it creates a new policy with a full budget and no
// observed latencies.
func (g *Gateway) hedgePolicyFor(id model.ServiceID, svc *model.Service, groups int) *hedge.Policy {
	want := hedge.Config{Groups: groups, TargetQuantile: svc.TargetQuantile, ExtraLoad: svc.ExtraLoad}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.hedgePolicies[id]
	if p.Policy == nil || p.config != want {
		p = hedgePolicy{config: want, Policy: hedge.NewPolicy(want)}
		g.hedgePolicies[id] = p
	}
	return p.Policy
}

// newQueryID returns a query id that no other query has.
func (g *Gateway) newQueryID() string {
	return g.queryIDPrefix + strconv.FormatUint(g.lastQueryID.Add(1), 36)
}

// checkPoison returns the verdict on a fingerprint. If it is blocked, checkPoison
// returns the refusal for a request of which nothing has been sent yet.
func (g *Gateway) checkPoison(fingerprint uint64) (poison.Verdict, error) {
	verdict := g.cfg.Ledger.Check(time.Now(), fingerprint)
	if verdict == poison.Blocked {
		return verdict, refusePoisoned(fingerprint, errs.DidNotRun)
	}
	return verdict, nil
}

// refusePoisoned returns the refusal of a blocked fingerprint. state is
// MayHaveRun if an attempt has been sent, because the upstream that was lost may
// have run it.
func refusePoisoned(fingerprint uint64, state errs.RunState) *errs.Refusal {
	r := errs.Refuse(errs.Poisoned, "request %016x is blocked because upstreams were lost while running it", fingerprint)
	r.RunState = state
	return r
}

// distance returns the configured network latency from this VM to a failure
// domain.
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

// candidates appends to buf those of the holders that may get new work, have an
// owner and are not in tried.
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
