package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/quota"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// quotaAskTimeout is how long a request waits for a VM before it asks the next one too:
	// the longest round trip between failure domains takes 7.8 ms. quotaWait is how long it
	// waits for all: a VM with a fifth of a core may pause for up to 80 ms, and a caller
	// that is refused comes back after quotaUnknownRetry. With 10 in 100 messages delayed
	// by such pauses, 3.5 in 100 simulated requests below their caps are refused, 5.5 if
	// it is 40 ms.
	quotaAskTimeout = 12 * time.Millisecond
	quotaWait       = 60 * time.Millisecond
	// quotaUnknownRetry is the Retry-After of a request for which no VM answered: VMs that
	// take over need about a second, but another VM may reach one now.
	quotaUnknownRetry = 100 * time.Millisecond
	// maxQuotaSpread bounds what is added at random to a Retry-After, so that callers that
	// were refused together do not come back together.
	maxQuotaSpread = 100 * time.Millisecond
	// quotaServeIdle closes a connection of another VM without a request. That VM keeps it
	// for a shorter time.
	quotaServeIdle = 2 * quotaLinkIdle
)

// quotaService keeps the caps of tenants together with the other VMs.
type quotaService struct {
	self string
	vms  func(ctx context.Context) map[string]discovery.VM
	dial relay.DialFunc
	log  logrus.FieldLogger
	// ctx ends the links.
	ctx     context.Context
	metrics quotaMetrics
	// table returns the configuration in force, nil before the first one.
	table func() *routes.Table
	// capped is set while that names a tenant with a cap. Else no VM sends anything.
	capped atomic.Bool

	mu     sync.Mutex
	node   *quota.Node
	counts map[string]*quotaCounts
	links  quotaLinks
}

type quotaMetrics struct {
	admitted, reserve, refused, unknown, asks, answered, votes tally.Counter
	granting                                                   tally.Gauge
}

func newQuotaService(self string, b quota.Bounds, log logrus.FieldLogger, scope tally.Scope) *quotaService {
	scope = scope.SubScope("quota")
	outcome := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": name}).Counter("requests")
	}
	return &quotaService{
		self: self, log: log, node: quota.NewNode(time.Now(), self, b), counts: map[string]*quotaCounts{}, links: quotaLinks{byName: map[string]*quotaLink{}, silent: map[string]int{}},
		metrics: quotaMetrics{
			admitted: outcome("admitted"), reserve: outcome("reserve"), refused: outcome("over_cap"), unknown: outcome("unknown"),
			asks: scope.Counter("asks"), answered: scope.Counter("asks_answered"), votes: scope.Counter("votes"), granting: scope.Gauge("granting"),
		},
	}
}

// start sets what connects the service to the other VMs. It must be called before requests
// are served.
func (s *quotaService) start(ctx context.Context, vms func(ctx context.Context) map[string]discovery.VM, dial relay.DialFunc, f *forward.Forwarder) {
	s.ctx, s.vms, s.dial = ctx, vms, dial
	s.table = func() *routes.Table {
		if view := f.View(); view != nil {
			return view.Table
		}
		return nil
	}
}

// setBounds replaces the bounds.
func (s *quotaService) setBounds(b quota.Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.SetBounds(b)
}

// Admit implements forward.Quota.
func (s *quotaService) Admit(ctx context.Context, t *routes.Tenant) *errs.Refusal {
	if t == nil || t.RatePerSecond <= 0 {
		return nil
	}
	c := quota.Cap{PerSecond: t.RatePerSecond, Burst: t.Burst}
	now := time.Now()
	s.mu.Lock()
	d := s.node.Take(now, t.Name, c)
	s.mu.Unlock()
	if d.Verdict == quota.AskOthers {
		d = s.askRanked(ctx, d)
	}
	switch {
	case d.Verdict == quota.Admit:
		s.count(t, true, s.metrics.admitted)
		return nil
	case d.Verdict == quota.Refuse:
		s.count(t, false, s.metrics.refused)
		return errs.Refuse(errs.QuotaExceeded, "tenant %q is over its cap of %g requests a second", t.Name, t.RatePerSecond).WithRetryAfter(d.RetryAfter + quotaSpread(c))
	case errors.Is(ctx.Err(), context.Canceled):
		return errs.Refuse(errs.Canceled, "the caller has left")
	case s.takeReserve(t.Name, c):
		s.count(t, true, s.metrics.reserve)
		return nil
	}
	s.count(t, false, s.metrics.unknown)
	return errs.Refuse(errs.QuotaUnknown, "no VM that keeps the cap of tenant %q has answered", t.Name).WithRetryAfter(quotaUnknownRetry + quotaSpread(c))
}

func (s *quotaService) takeReserve(tenant string, c quota.Cap) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.TakeReserve(time.Now(), tenant, c)
}

// quotaSpread returns a random time, up to that between two tokens.
func quotaSpread(c quota.Cap) time.Duration {
	between := maxQuotaSpread
	if c.PerSecond > 1/maxQuotaSpread.Seconds() {
		between = time.Duration(float64(time.Second) / c.PerSecond)
	}
	return rand.N(between + 1)
}

// rankedAsk is a request of a caller that waits for an answer of a ranked VM.
type rankedAsk struct {
	ask quota.Ask
	// answers gets the answer of each VM that was asked. decided is set by the first one
	// that decides; later ones are late.
	answers chan quota.Grant
	decided atomic.Bool
}

// decides reports whether an answer ends the request.
func decides(g quota.Grant) bool { return g.Outcome == quota.Granted || g.Outcome == quota.OverCap }

// askRanked asks the VMs that may give out tokens: the next one when one does not grant, or
// has not answered in time. The first answer that decides counts. The decision has the
// verdict AskOthers if there is none.
func (s *quotaService) askRanked(ctx context.Context, d quota.Decision) quota.Decision {
	ctx, cancel := context.WithTimeout(ctx, quotaWait)
	defer cancel()
	r := &rankedAsk{ask: d.Ask, answers: make(chan quota.Grant, len(d.Ranked))}
	timer := time.NewTimer(quotaAskTimeout)
	defer timer.Stop()
	ranked, waiting := d.Ranked, 0
	var asked *quotaLink
	for askNext := true; ; {
		for ; askNext && len(ranked) > 0; ranked = ranked[1:] {
			if sent, link := s.ask(ranked[0], r); sent {
				asked, askNext = link, false
				waiting++
				timer.Reset(quotaAskTimeout)
			}
		}
		if waiting == 0 {
			return d
		}
		select {
		case g := <-r.answers:
			if decides(g) {
				return decisionOf(g)
			}
			waiting, askNext = waiting-1, true
		case <-timer.C:
			if askNext = true; asked != nil {
				asked.pause(time.Now())
			}
		case <-ctx.Done():
			if r.decided.CompareAndSwap(false, true) {
				return d
			}
			for g := range r.answers {
				if decides(g) {
					return decisionOf(g)
				}
			}
		}
	}
}

func decisionOf(g quota.Grant) quota.Decision {
	if g.Outcome == quota.Granted {
		return quota.Decision{Verdict: quota.Admit}
	}
	return quota.Decision{Verdict: quota.Refuse, RetryAfter: g.RetryAfter}
}

// ask sends a request for tokens to a VM, and returns its link unless that is this VM. It
// reports false if the VM is not usable now.
func (s *quotaService) ask(vm string, r *rankedAsk) (bool, *quotaLink) {
	askedAt := time.Now()
	if vm == s.self {
		s.mu.Lock()
		grant := s.node.Grant(askedAt, r.ask)
		s.mu.Unlock()
		s.answered(askedAt, r, grant)
		return true, nil
	}
	link := s.link(vm)
	if link == nil || !link.usable(askedAt) {
		return false, nil
	}
	s.metrics.asks.Inc(1)
	request := &wire.QuotaRequest{VM: s.self, Ask: &wire.QuotaAsk{Tenant: r.ask.Tenant, Rate: r.ask.Cap.PerSecond, Burst: r.ask.Cap.Burst, Count: r.ask.Count}}
	link.send(s.ctx, request, func(reply *wire.QuotaReply) {
		var grant quota.Grant
		if reply != nil {
			s.metrics.answered.Inc(1)
			grant = quota.Grant{Outcome: quota.Outcome(reply.Outcome), Count: reply.Count, RetryAfter: reply.RetryAfter, Spare: reply.Spare}
		}
		s.answered(askedAt, r, grant)
	})
	return true, link
}

// answered takes the answer to a request of askedAt, empty if there is none.
func (s *quotaService) answered(askedAt time.Time, r *rankedAsk, g quota.Grant) {
	inTime := decides(g) && r.decided.CompareAndSwap(false, true)
	s.mu.Lock()
	s.node.Answered(time.Now(), askedAt, r.ask.Tenant, g, !inTime)
	s.mu.Unlock()
	if inTime || !decides(g) {
		r.answers <- g
	}
}

// serve answers the requests of another VM until its connection ends.
func (s *quotaService) serve(ctx context.Context, c net.Conn, stream uint64, first *wire.QuotaRequest) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends the reader
	defer stop()
	defer c.Close()
	reader := wire.NewReader(c, maxQuotaFrameBytes)
	for request := first; ; {
		_ = c.SetWriteDeadline(time.Now().Add(quotaWriteTimeout)) // a closed socket fails in the write
		if err := wire.Write(c, stream, s.answer(request), maxQuotaFrameBytes); err != nil {
			return // the other VM sees the end of the connection
		}
		_ = c.SetReadDeadline(time.Now().Add(quotaServeIdle)) // a closed socket fails in the read
		next, m, err := reader.Next()
		if err != nil {
			if errs.Is(err, errs.FrameMalformed) || errs.Is(err, errs.FrameTooLarge) || errs.Is(err, errs.ProtocolMismatch) {
				s.log.WithFields(logrus.Fields{"vm": first.VM, "error": err}).Warn("connection for caps closed: invalid message")
			}
			return // else the other VM has closed the connection, or it is idle
		}
		var ok bool
		if request, ok = m.(*wire.QuotaRequest); !ok {
			s.log.WithFields(logrus.Fields{"vm": first.VM, "kind": m.Kind()}).Warn("connection for caps closed: invalid message")
			return
		}
		stream = next
	}
}

// answer answers a request of another VM.
func (s *quotaService) answer(r *wire.QuotaRequest) *wire.QuotaReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.MarkCurrent(now, r.VM)
	reply := &wire.QuotaReply{Outcome: uint8(quota.NotGranting)}
	if r.Ask != nil {
		g := s.node.Grant(now, quota.Ask{Tenant: r.Ask.Tenant, Cap: quota.Cap{PerSecond: r.Ask.Rate, Burst: r.Ask.Burst}, Count: r.Ask.Count})
		reply.Outcome, reply.Count, reply.RetryAfter, reply.Spare = uint8(g.Outcome), g.Count, g.RetryAfter, g.Spare
	}
	if r.Vote != nil {
		reply.Voted = s.node.Decide(now, quota.Vote{Kind: quota.VoteKind(r.Vote.Kind), Subject: r.Vote.Subject})
	}
	return reply
}
