package forward

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

const (
	// minHedgeDelayShare and maxHedgeDelayShare bound the hedge delay as shares of
	// the route's target: an earlier hedge wastes the budget, a later one comes
	// too late to help.
	minHedgeDelayShare = 0.25
	maxHedgeDelayShare = 0.5
	// usualLatencyShare of the target stands for the usual latency of a replica
	// until that has been measured.
	usualLatencyShare = 0.2
	// unneededSendGrace is how long sends that are no longer needed may go on, so
	// that their connections can be reused. Replicas must be idle half a second
	// after a caller has disconnected.
	unneededSendGrace = 150 * time.Millisecond
	// maxIdleNonIdempotent bounds how long a connection may have been idle when it
	// is used for a request that is not idempotent: a replica may drop an idle
	// connection without notice.
	maxIdleNonIdempotent = time.Second
	// unresponsiveAfter is the time without an answer after which a replica is
	// reported as unresponsive when a send ends: the network path to it may be
	// broken. Pauses of replicas are shorter.
	unresponsiveAfter = 220 * time.Millisecond
	// unresponsiveTargets times the route's target, but at least
	// unresponsiveAfter, is that time while a query waits: requests may take long
	// where the target is long.
	unresponsiveTargets = 2
	// minTimeToSend is the time that must remain until the deadline for a send to
	// be worthwhile.
	minTimeToSend = 2 * time.Millisecond
)

// query is a caller's request in progress.
type query struct {
	forwarder *Forwarder
	id        string
	method    string
	head      []byte // of every send, without the header fields of sendFields
	body      []byte
	// view is the one by which the route was chosen.
	view  *View
	route *routes.Route
	// credentials name the tenant, which does not change while the request runs.
	credentials
	// priority is that of the tenant, or else of the route; 0 is the highest.
	priority int
	start    time.Time
	deadline time.Time
	// cutoff is the time after start at which a response that lacks some shards is
	// better than a late one.
	cutoff        time.Duration
	hedgePolicy   *hedge.Policy // nil if the route has none
	caller        string
	attempt       RequestAttempt
	poisonVerdict poison.Verdict
	shards        []*shard
	results       chan sendResult
	// holding is the memory of the buffered responses.
	holding *exchange.Holding
	// ctx bounds the sends. It ends some time after the response was written, so
	// that open sends can finish.
	ctx    context.Context
	cancel context.CancelFunc
	// releaseAdmission lets another query run. It may be called more than once.
	releaseAdmission func()
	// The remaining fields are counts for the log.
	sends, hedges, retries, budgetRefusals int
	skippedShards, missingShards, relays   int
	hedgeRounds                            int
	// forwarded is set if another VM forwards the request for its caller, answeredBy is
	// the VM to which this one has forwarded it.
	forwarded  bool
	answeredBy string
	// readsReports is set if that VM reads the reports of replicas.
	readsReports bool
	// reportedSuspect is set once the query was reported as an unanswered suspect.
	reportedSuspect bool
	// brokenOff counts the sends that may have run and got no answer.
	brokenOff int
	// isolated is set if this VM reached no other failure domain at the start.
	isolated bool
	// relayedRecords holds the greatest records of shards that other VMs queried.
	relayedRecords [][]byte
}

// shard is the part of a query that one service answers.
type shard struct {
	replicas *ReplicaSet
	service  string
	// tried holds the replicas that the request was sent to, in order.
	tried []*Upstream
	// openSends holds the sends without an outcome, and openSendCount is their
	// number.
	openSends     []openSend
	openSendCount int
	// relayed is the VM through which the request was sent first, and relayedTo the
	// replica; both are nil if this VM sent it itself.
	relayed   *relay.Peer
	relayedTo *Upstream
	// attempts counts the sends that may have run, including open ones.
	attempts int
	// failuresAtReplica counts the sends that reached a replica and failed.
	failuresAtReplica int
	answered          bool
	// skipped is set while the shard is not queried because it is expected to
	// answer too late, or not queried again after a failure, and the coverage can
	// be reached without it.
	skipped bool
	// heldBack is set while the shard is not queried because the query may crash
	// replicas, and another shard is tried first.
	heldBack bool
	reply    *exchange.Reply
	// stream is the part of the response that follows reply; nil if reply is
	// complete.
	stream *responseStream
	// failedReply is the last error response of a replica, refusal the last error
	// of another kind.
	failedReply *exchange.Reply
	refusal     *errs.Refusal
	// brokenOff is set when a send has ended that may have run and got no answer.
	brokenOff bool
	// mayHaveRun is set when a send has ended that may have run.
	mayHaveRun bool
}

// openSend is a send without an outcome.
type openSend struct {
	upstream *Upstream
	start    time.Time
	// reported is set once the replica was reported as unresponsive.
	reported bool
}

// sendResult is the outcome of one send.
type sendResult struct {
	// relay is the outcome of a relayed request; the other fields are then empty.
	relay    *relayOutcome
	shard    *shard
	upstream *Upstream
	start    time.Time
	reply    exchange.Reply
	// stream is the part of the response that is still being received; nil if
	// reply is complete.
	stream  *responseStream
	refusal *errs.Refusal
}

func (f *Forwarder) newQuery(r *http.Request, head callerHead, body []byte, view *View, route *routes.Route, start time.Time) *query {
	q := &query{
		forwarder: f, id: head.id, method: r.Method, body: body, view: view, route: route, start: start,
		credentials: head.credentials, priority: head.tenant.PriorityOn(route),
		deadline:    start.Add(requestTimeout(head.deadline, route)),
		hedgePolicy: view.HedgeDelays[route.Name],
		caller:      callerAddr(r.RemoteAddr),
		holding:     f.memory.NewHolding(),
	}
	q.cutoff = cutoffAfter(route, nextRequestRoundTrips(r.Context()))
	if forwarded := forwardedFrom(r.Context()); forwarded != nil {
		q.forwarded = true
		q.readsReports, _ = r.Context().Value(readsReportsKey{}).(bool)
		if forwarded.cutoff > 0 {
			q.cutoff = forwarded.cutoff
		}
	}
	q.attempt = requestAttempt(r.Method, head.target, route, head.tenant, q.caller, body, head.id)
	q.attempt.StartedAt, q.attempt.FanOut = start, route.FanOut()
	q.head = f.requestHead(r, head, view.Table)
	services := route.Shards
	if !route.FanOut() {
		services = []string{route.Pick(randomFraction())}
	}
	for _, s := range services {
		q.shards = append(q.shards, &shard{service: s, replicas: view.ReplicaSets[s]})
	}
	// A relayed request has at most one outcome for each of its shards and a last one.
	q.results = make(chan sendResult, len(q.shards)*(route.Attempts+maxExtraSends+2))
	return q
}

// requestTimeout returns the time that a request may take: the milliseconds of the
// caller's deadline header, but at most the timeout of the route.
func requestTimeout(deadlineHeader string, route *routes.Route) time.Duration {
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	ms, err := strconv.ParseFloat(deadlineHeader, 64)
	// A greater number than that of the limit may not fit into a Duration, and what its
	// conversion then yields differs between processors.
	if err != nil || ms < 0 || math.IsNaN(ms) || ms >= float64(limit)/float64(time.Millisecond) {
		return limit
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// isBlocked reports whether the request is known to crash replicas. Other VMs may report
// that at any time, so each later send asks again.
func (q *query) isBlocked(now time.Time) bool {
	return q.forwarder.ledger.Check(now, q.attempt.Fingerprint) == poison.Blocked
}

// run sends the request, or forwards it to another VM, and waits until the response or
// the refusal is known. Its caller must then call cancelSends.
func (q *query) run(caller context.Context) (*response, *errs.Refusal) {
	q.ctx, q.cancel = context.WithDeadline(context.Background(), q.deadline)
	if response, refusal, answered := q.answerElsewhere(caller); answered {
		return response, refusal
	}
	response, refusal := q.runHere(caller)
	if refusal != nil && refusal.RunState == errs.DidNotRun {
		// The links may have been lost meanwhile.
		if response, refusal, answered := q.answerElsewhere(caller); answered {
			return response, refusal
		}
	}
	return response, refusal
}

// runHere sends the request to replicas and waits until the response or the refusal is
// known.
func (q *query) runHere(caller context.Context) (*response, *errs.Refusal) {
	now := time.Now()
	if refusal := q.planShards(now); refusal != nil {
		return nil, refusal
	}
	if q.route.FanOut() && q.poisonVerdict == poison.Suspect {
		q.holdBack()
	} else {
		q.sendAll(now)
	}
	hedgeTimer := time.NewTimer(q.hedgeDelay())
	defer hedgeTimer.Stop()
	cutoff := q.cutoffTimer()
	defer cutoff.Stop()
	unresponsive := time.NewTicker(q.unresponsiveTime())
	defer unresponsive.Stop()
	pastCutoff := false
	for {
		q.querySkippedShards(time.Now())
		if response, refusal, final := q.finalResponse(pastCutoff); final {
			return response, refusal
		}
		if q.sendHeldBack(time.Now()) {
			continue
		}
		select {
		case r := <-q.results:
			if r.relay != nil {
				q.handleRelayOutcome(r.relay)
			} else {
				q.handleResult(r)
			}
		case <-hedgeTimer.C:
			hedgeTimer.Reset(q.hedge())
		case <-cutoff.C:
			pastCutoff = true
			q.releaseAdmission()
		case now := <-unresponsive.C:
			q.reportUnresponsive(now)
		case <-caller.Done():
			return nil, q.abort(errs.Canceled, "the caller has left")
		case <-q.forwarder.stop.ctx.Done():
			return nil, q.abort(errs.Stopping, "this VM stops")
		case <-q.ctx.Done():
			return nil, q.abort(errs.DeadlineExceeded, "no answer in time")
		}
	}
}

// unresponsiveTime returns the time without an answer after which a replica is
// reported as unresponsive while the query waits.
func (q *query) unresponsiveTime() time.Duration {
	return max(unresponsiveAfter, unresponsiveTargets*q.route.Target)
}

// reportUnresponsive reports replicas that have not answered for unresponsiveTime.
// If they were reported only at the end of the query, a broken network path would
// go unnoticed until its deadline.
func (q *query) reportUnresponsive(now time.Time) {
	for _, s := range q.shards {
		for i := range s.openSends {
			o := &s.openSends[i]
			if !o.reported && now.Sub(o.start) >= q.unresponsiveTime() {
				o.reported = true
				q.forwarder.observer.RequestUnanswered(o.upstream, o.start, q.attempt)
				q.forwarder.observer.ReplicaUnresponsive(o.upstream)
			}
		}
	}
}

// abort returns the refusal of a query that ends without an answer.
func (q *query) abort(code errs.Code, detail string) *errs.Refusal {
	for _, s := range q.shards {
		if s.mayHaveRun || s.openSendCount > 0 {
			return errs.Ambiguous(code, "%s", detail)
		}
	}
	return errs.Refuse(code, "%s", detail)
}

// cancelSends gives back the memory of the responses and cancels the sends. If any is still open, or a response is still
// streamed, they are canceled only after unneededSendGrace. It is called when the
// response has been written.
func (q *query) cancelSends() {
	q.holding.End()
	if q.cancel == nil {
		return // nothing was sent
	}
	for _, s := range q.shards {
		if s.openSendCount > 0 || s.stream != nil {
			time.AfterFunc(unneededSendGrace, q.cancel)
			return
		}
	}
	q.cancel()
}

// usualLatency returns the usual latency of the route's replicas.
func (q *query) usualLatency() time.Duration {
	return time.Duration(usualLatencyShare * float64(q.route.Target))
}

// hedgeDelay returns the time after which a hedge is sent for a shard that has not
// answered.
func (q *query) hedgeDelay() time.Duration {
	target := float64(q.route.Target)
	shortest, longest := time.Duration(minHedgeDelayShare*target), time.Duration(maxHedgeDelayShare*target)
	if q.hedgePolicy == nil {
		return max(longest, time.Millisecond)
	}
	return max(min(max(q.hedgePolicy.Delay(), shortest), longest), time.Millisecond)
}

// cutoffTimer returns the timer of the cutoff.
func (q *query) cutoffTimer() *time.Timer {
	if !q.route.FanOut() || q.route.Target <= 0 {
		return time.NewTimer(defaultTimeout)
	}
	return time.NewTimer(time.Until(q.start.Add(q.cutoff)))
}

// hedge sends the request of each shard that has not answered to a second replica,
// and returns the time until the next hedges.
func (q *query) hedge() time.Duration {
	q.reportSuspect()
	if !q.route.Idempotent || q.poisonVerdict == poison.Suspect || q.isBlocked(time.Now()) {
		return q.hedgeDelay() // a request that may crash replicas is not sent to more of them
	}
	now := time.Now()
	q.hedgeRounds++
	next := q.hedgeDelay()
	silent := q.silentRelays()
	for peer := range silent {
		if q.hedgeRounds > 1 {
			q.forwarder.view.Load().relayFailed(peer)
		}
	}
	for _, s := range q.shards {
		// The first report of a VM can be a few milliseconds late. Hedges of all its
		// shards would take the budget of those that need one.
		if silent[s.relayed] {
			if q.hedgeRounds == 1 {
				next = max(time.Millisecond, time.Duration(relayGraceShare*float64(q.route.Target)))
				continue
			}
			s.forget(s.relayedTo)
		}
		if s.answered || s.openSendCount == 0 || s.attempts >= q.route.Attempts {
			continue
		}
		if q.sendExtra(now, s, takeHedge) {
			q.hedges++
			q.forwarder.metrics.hedges.Inc(1)
		}
	}
	return next
}
