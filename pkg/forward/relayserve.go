package forward

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/topk"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// maxRelayedServices bounds the services of one relayed request.
	maxRelayedServices = 4096
	// maxRelayedFailureRate is the rate of failures above which a replica gets no
	// relayed requests: the sender can ask one in another domain, at no cost yet.
	maxRelayedFailureRate = 0.3
	// maxRelayTime bounds the times that another VM sends.
	maxRelayTime = time.Minute
)

// relayedPart is the outcome of a relayed request at one service.
type relayedPart struct {
	service int
	reply   exchange.Reply
	refusal *errs.Refusal
	reached bool
	latency time.Duration
	// limits are the request limits of the service's replicas in this VM's domain.
	limits []wire.RelayLimit
	// leaving is the ID of the replica if it has said that it leaves.
	leaving string
}

// ServeRelay queries one replica of each service in this VM's failure domain for
// another VM, and passes the outcomes on: all together if they are complete before
// the first reply is due, and else each at once from then on. A request without
// services is a probe, which a VM that takes no requests leaves without an answer.
func (f *Forwarder) ServeRelay(ctx context.Context, request *wire.RelayRequest, reply func(*wire.RelayReply) error) {
	if len(request.Services) == 0 {
		if !f.closeConnections.Load() && !f.cutOff.Load() && f.view.Load() != nil {
			_ = reply(&wire.RelayReply{Done: true}) // the connection then ends
		}
		return
	}
	start := time.Now()
	if f.ledger.Check(start, request.Fingerprint) == poison.Blocked {
		f.refuseRelayed(request, reply)
		return
	}
	holding := f.memory.NewHolding()
	defer holding.End()
	// The sends may go on for a while after the last reply, so that their
	// connections can be reused.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(request.Left, maxRelayTime))
	stop := context.AfterFunc(ctx, cancel)
	parts := make(chan relayedPart, len(request.Services))
	open := f.startRelayed(sendCtx, start, request, holding, parts)
	c := relayCollector{topK: request.TopK, receiptHeader: f.headers.Receipt, open: open}
	c.run(ctx, request, parts, reply)
	switch {
	case ctx.Err() != nil || c.open == 0:
		cancel()
	default:
		time.AfterFunc(unneededSendGrace, cancel)
	}
	stop()
	f.log.WithFields(logrus.Fields{
		"id": request.RequestID, "services": len(request.Services), "answered": c.answered, "failed": c.failed, "open": c.open,
		"duration_ms": milliseconds(time.Since(start)), "canceled": ctx.Err() != nil,
	}).Info("relayed request ended")
}

// refuseRelayed refuses a relayed request that is known to crash replicas.
func (f *Forwarder) refuseRelayed(request *wire.RelayRequest, reply func(*wire.RelayReply) error) {
	refused := &wire.RelayReply{Done: true}
	for i := range request.Services {
		refused.Failed = append(refused.Failed, wire.RelayFailure{Service: i, Failure: *wire.FailureOf(crashRefusal())})
	}
	f.log.WithFields(logrus.Fields{"id": request.RequestID, "code": errs.Poisoned}).Info("relayed request refused")
	_ = reply(refused) // the connection then ends
}

// startRelayed starts the sends of a relayed request and returns their number. What
// cannot be sent is put into parts at once, and counts too.
func (f *Forwarder) startRelayed(ctx context.Context, start time.Time, request *wire.RelayRequest, holding *exchange.Holding, parts chan<- relayedPart) int {
	view := f.view.Load()
	if len(request.Services) > maxRelayedServices {
		return 0 // the sender gets the last reply without any outcome
	}
	left := min(request.Left, maxRelayTime)
	for i, service := range request.Services {
		u, refusal := f.pickRelayed(view, start, service, request)
		if refusal != nil {
			parts <- relayedPart{service: i, refusal: refusal, limits: view.localLimits(i, service)}
			continue
		}
		go func() {
			u.Tracker.Begin(start)
			u.Tracker.CountSend(replica.RelayedSend)
			reply, refusal := u.Pool.Do(ctx, exchange.Call{
				Method: request.Method, Head: request.Head, AppendFields: f.sendFields(u, start.Add(left)), Body: request.Body,
				IDHeader: f.headers.RequestID, ID: request.RequestID, Holding: holding, Check: f.checkSend(u, request.Fingerprint, nil),
			})
			now := time.Now()
			f.recordOutcome(u, now, start, reply, refusal, relayedAttempt(request, start))
			p := f.relayedPart(i, u, now.Sub(start), reply, refusal)
			p.limits = view.localLimits(i, service)
			if u.Tracker.Leaving() {
				p.leaving = u.Member.ID
			}
			parts <- p
		}()
	}
	return len(request.Services)
}

// relayedAttempt returns the attempt that a relayed request belongs to. VMs of an older
// version name only its request ID.
func relayedAttempt(request *wire.RelayRequest, start time.Time) RequestAttempt {
	return RequestAttempt{
		Fingerprint: request.Fingerprint, Exact: request.Exact, RequestID: request.RequestID, StartedAt: start, FanOut: true,
		ID: cmp.Or(request.Attempt, request.RequestID),
	}
}

// pickRelayed returns the replica of a service in this VM's failure domain that gets
// a relayed request. A service whose replica would answer too late is refused, so
// that the sender can ask one in another domain, and so is one that fails often.
func (f *Forwarder) pickRelayed(view *View, now time.Time, service string, request *wire.RelayRequest) (*Upstream, *errs.Refusal) {
	if view == nil || f.closeConnections.Load() {
		return nil, errs.Refuse(errs.Stopping, "this VM takes no relayed requests")
	}
	rs := view.ReplicaSets[service]
	if rs == nil {
		return nil, errs.Refuse(errs.UnknownService, "service %s is not in version %d", service, view.Table.Version)
	}
	var elsewhere []*Upstream
	for _, u := range rs.Upstreams {
		if !u.Tracker.Local {
			elsewhere = append(elsewhere, u)
		}
	}
	u := rs.cheapest(now, request.Usual, elsewhere)
	if u == nil {
		return nil, errs.Refuse(errs.NoReplica, "no replica of %s in this failure domain can take requests now", service)
	}
	if d, _ := u.Tracker.ExpectedLatency(now, request.Usual); d > request.End {
		return nil, errs.Refuse(errs.Overloaded, "%s would answer after %s", u.Member.ID, d.Round(time.Millisecond))
	}
	if rate := u.Tracker.FailureRate(now); rate > maxRelayedFailureRate {
		return nil, errs.Refuse(errs.Overloaded, "%s has failed %.0f%% of its requests", u.Member.ID, 100*rate)
	}
	if !u.Tracker.AllowSend(now) {
		return nil, errs.Refuse(errs.UpstreamCold, "%s is cold or names a request limit", u.Member.ID)
	}
	return u, nil
}

// localLimits returns the request limits that replicas of the service in this VM's
// failure domain name. i is the index of the service in the relayed request.
func (v *View) localLimits(i int, service string) []wire.RelayLimit {
	if v == nil || v.ReplicaSets[service] == nil {
		return nil
	}
	var limits []wire.RelayLimit
	for _, u := range v.ReplicaSets[service].Upstreams {
		if limit := u.Tracker.RequestLimit(); u.Tracker.Local && limit.Named {
			limits = append(limits, wire.RelayLimit{Service: i, Replica: u.Member.ID, PerSecond: limit.PerSecond})
		}
	}
	return limits
}

// relayedPart returns the outcome of a send, as handleResult takes it.
func (f *Forwarder) relayedPart(service int, u *Upstream, latency time.Duration, reply exchange.Reply, refusal *errs.Refusal) relayedPart {
	p := relayedPart{service: service, reply: reply, refusal: refusal, reached: true, latency: latency}
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	switch {
	case refusal != nil:
		p.reached = refusal.RunState == errs.MayHaveRun
	case f.notRun(reply):
		p.refusal = errs.Refuse(errs.UpstreamShed, "%s refused with status %d", u.Member.ID, reply.Status)
	case !success:
		p.refusal = errs.Ambiguous(errs.UpstreamFailed, "%s failed with status %d", u.Member.ID, reply.Status)
	case reply.Header.Get(f.headers.Receipt) == "" || reply.Header.Get("Content-Encoding") != "":
		p.refusal = errs.Ambiguous(errs.ResponseMismatch, "%s answered without a receipt", u.Member.ID)
	}
	return p
}

// relayCollector gathers the outcomes of a relayed request into replies.
type relayCollector struct {
	topK          int
	receiptHeader string
	// open is the number of services without an outcome.
	open             int
	answered, failed int
	next             wire.RelayReply
	bodies           [][]byte
}

// run passes the outcomes on until all are in, the request ends, or a reply cannot be
// sent.
func (c *relayCollector) run(ctx context.Context, request *wire.RelayRequest, parts <-chan relayedPart, reply func(*wire.RelayReply) error) {
	first := time.NewTimer(min(request.FirstReply, maxRelayTime))
	defer first.Stop()
	end := time.NewTimer(min(request.End, maxRelayTime))
	defer end.Stop()
	due := false
	for c.open > 0 {
		select {
		case p := <-parts:
			c.add(p)
			// A failure is passed on at once: the sender can ask another replica.
			if due || (p.refusal != nil && c.open > 0) {
				if reply(c.flush(false)) != nil {
					return
				}
			}
		case <-first.C:
			due = true
			if len(c.bodies) > 0 && reply(c.flush(false)) != nil {
				return
			}
		case <-end.C:
			_ = reply(c.flush(true)) // the request has ended in any case
			return
		case <-ctx.Done():
			return
		}
	}
	_ = reply(c.flush(true)) // the request has ended in any case
}

func (c *relayCollector) add(p relayedPart) {
	c.open--
	c.next.Limits = append(c.next.Limits, p.limits...)
	if p.leaving != "" {
		c.next.Leaving = append(c.next.Leaving, wire.RelayLeaving{Service: p.service, Replica: p.leaving})
	}
	if p.refusal != nil {
		c.failed++
		c.next.Failed = append(c.next.Failed, wire.RelayFailure{Service: p.service, Failure: *wire.FailureOf(p.refusal), ReachedReplica: p.reached})
		return
	}
	c.answered++
	c.bodies = append(c.bodies, p.reply.Body)
	c.next.Answered = append(c.next.Answered, wire.RelayAnswer{Service: p.service, Receipt: p.reply.Header.Get(c.receiptHeader), Latency: p.latency})
}

// flush returns what was gathered since the last reply.
func (c *relayCollector) flush(done bool) *wire.RelayReply {
	reply := c.next
	reply.Done = done
	if len(c.bodies) > 0 {
		reply.Records = topk.Merge(c.topK, c.bodies)
	}
	c.next, c.bodies = wire.RelayReply{}, nil
	return &reply
}
