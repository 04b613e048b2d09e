package forward

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

const (
	// minHedgeShare and maxHedgeShare bound the delay of a second send as
	// shares of the route's target: an earlier one wastes the budget, a later
	// one comes too late to help.
	minHedgeShare = 0.25
	maxHedgeShare = 0.5
	// usualShare of the target stands for the usual latency until it is known.
	usualShare = 0.2
	// answerMargin is the part of the target that is left for the way between
	// the caller and this VM; an answer that lacks shards is given up on them
	// then.
	answerMargin = 0.14
	// minAnswerMargin is the least such part: a caller some milliseconds away
	// needs it also where the target is short.
	minAnswerMargin = 9 * time.Millisecond
	// loserGrace is how long a request that is no longer needed may run on, so
	// that its connection can be kept. Replicas must be idle half a second
	// after a caller has left.
	loserGrace = 150 * time.Millisecond
	// freshConnection bounds the age of a kept connection for requests that
	// may not be repeated: a replica may forget an idle one without notice.
	freshConnection = time.Second
	// silentAfter is the time without an answer after which a replica is probed
	// when a send ends: its link may be cut. Pauses of replicas are shorter.
	silentAfter = 220 * time.Millisecond
	// silentTargets times the route's target, and silentAfter at least, is that
	// time while a query waits: requests may take long where the target is long.
	silentTargets = 2
	// minLeft is the least time for which a request is worth sending.
	minLeft = 2 * time.Millisecond
)

// query is one request of a caller on its way.
type query struct {
	f        *Forwarder
	id       string
	method   string
	head     []byte
	body     []byte
	view     *View
	route    *routes.Route
	start    time.Time
	deadline time.Time
	delay    *hedge.Policy
	caller   string
	suspect  RequestAttempt
	verdict  poison.Verdict
	shards   []*shard
	results  chan result
	// ctx bounds the sends; it ends some time after the answer, so that those
	// still running can finish.
	ctx    context.Context
	cancel context.CancelFunc
	// release lets another query in; it may be called more than once.
	release func()
	// counts for the log
	sends, hedges, retries, denied, skipped int
	missing                                 int
}

// shard is the part of a query that one service answers.
type shard struct {
	group   *ReplicaSet
	service string
	tried   []*Upstream
	// open holds the sends without an outcome.
	open []openSend
	// running counts the sends without an outcome, runs those that may have
	// run, arrivals those that reached a replica.
	running, runs, arrivals int
	done                    bool
	// skipped is set for a shard that is left out, from the start or after a
	// failure, as long as the coverage allows it.
	skipped bool
	reply   *exchange.Reply
	// long is the rest of reply, nil if that is whole.
	long *longAnswer
	// failed is the last replica's own failure, refusal the last other one.
	failed  *exchange.Reply
	refusal *errs.Refusal
	// ran is set when any send may have run.
	ran bool
}

// openSend is a send without an outcome.
type openSend struct {
	upstream *Upstream
	start    time.Time
	// reported tells that the replica was reported as silent.
	reported bool
}

// result is the outcome of one send.
type result struct {
	shard    *shard
	upstream *Upstream
	start    time.Time
	reply    exchange.Reply
	// long is the rest of an answer that is still coming in.
	long    *longAnswer
	refusal *errs.Refusal
}

func (f *Forwarder) newQuery(r *http.Request, id string, body []byte, view *View, route *routes.Route, start time.Time) *query {
	q := &query{
		f: f, id: id, method: r.Method, body: body, view: view, route: route, start: start,
		deadline: start.Add(allowed(r.Header.Get(f.headers.Deadline), route)),
		delay:    view.HedgeDelays[route.Name],
		caller:   callerOf(r.RemoteAddr),
	}
	q.suspect = RequestAttempt{Fingerprint: fingerprint(r, q.caller, body), RequestID: id}
	q.head = f.requestHead(r)
	services := route.Shards
	if !route.FanOut() {
		services = []string{route.Pick(draw())}
	}
	for _, s := range services {
		q.shards = append(q.shards, &shard{service: s, group: view.ReplicaSets[s]})
	}
	q.results = make(chan result, len(q.shards)*(route.Attempts+maxExtraSends))
	return q
}

// fingerprint returns what all attempts of a request have in common: the
// caller's address, method, target and body.
func fingerprint(r *http.Request, caller string, body []byte) uint64 {
	return poison.Fingerprint(model.ServiceID(r.Host+" "+caller), r.Method+" "+r.RequestURI, body)
}

// callerOf returns the address of a caller without its port.
func callerOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}

// allowed returns the time a request may take: the caller's, but not more than
// the route's.
func allowed(stated string, route *routes.Route) time.Duration {
	limit := route.Timeout
	if limit <= 0 {
		limit = maxTimeout
	}
	ms, err := strconv.ParseFloat(stated, 64)
	if err != nil || ms < 0 || math.IsNaN(ms) {
		return limit
	}
	return min(limit, time.Duration(ms*float64(time.Millisecond)))
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// requestHead returns the request line and the header lines that all sends of
// a request share.
func (f *Forwarder) requestHead(r *http.Request) []byte {
	target := r.RequestURI
	if len(target) == 0 || target[0] != '/' {
		target = r.URL.RequestURI()
	}
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\n")
	line(&b, "Host", r.Host)
	for name, values := range r.Header {
		if connectionHeaders[name] || name == f.headers.Deadline || name == f.headers.TargetReplica {
			continue
		}
		for _, v := range values {
			line(&b, name, v)
		}
	}
	return b.Bytes()
}

func line(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// run sends the request and waits for what the answer needs. The caller of run
// calls finish.
func (q *query) run(caller context.Context) (*answer, *errs.Refusal) {
	q.ctx, q.cancel = context.WithDeadline(context.Background(), q.deadline)
	now := time.Now()
	if refusal := q.plan(now); refusal != nil {
		return nil, refusal
	}
	for _, s := range q.shards {
		if !s.skipped {
			q.launch(now, s)
		}
	}
	hedge := time.NewTimer(q.hedgeDelay())
	defer hedge.Stop()
	cutoff := q.cutoff()
	defer cutoff.Stop()
	silent := time.NewTicker(q.silence())
	defer silent.Stop()
	late := false
	for {
		q.unskip(time.Now())
		if a, refusal, over := q.settled(late); over {
			return a, refusal
		}
		select {
		case r := <-q.results:
			q.take(r)
		case <-hedge.C:
			q.hedge()
			hedge.Reset(q.hedgeDelay())
		case <-cutoff.C:
			late = true
			q.release()
		case now := <-silent.C:
			q.reportSilent(now)
		case <-caller.Done():
			return nil, q.ended(errs.Canceled, "the caller has left")
		case <-q.ctx.Done():
			return nil, q.ended(errs.DeadlineExceeded, "no answer in time")
		}
	}
}

// silence returns the time without an answer after which a replica is probed.
func (q *query) silence() time.Duration {
	return max(silentAfter, silentTargets*q.route.Target)
}

// reportSilent reports the replicas that have not answered for long. Waiting for
// the end of the query would leave a cut link unnoticed until its deadline.
func (q *query) reportSilent(now time.Time) {
	for _, s := range q.shards {
		for i := range s.open {
			o := &s.open[i]
			if !o.reported && now.Sub(o.start) >= q.silence() {
				o.reported = true
				q.f.observer.ReplicaUnresponsive(o.upstream)
			}
		}
	}
}

// ended returns the refusal of a query that ends without an answer.
func (q *query) ended(code errs.Code, why string) *errs.Refusal {
	for _, s := range q.shards {
		if s.ran || s.running > 0 {
			return errs.Ambiguous(code, "%s", why)
		}
	}
	return errs.Refuse(code, "%s", why)
}

// finish lets the sends that still run end on their own for a short time, that of
// a long answer among them. It is called when the answer has been written.
func (q *query) finish() {
	if q.cancel == nil {
		return // nothing was sent
	}
	for _, s := range q.shards {
		if s.running > 0 || s.long != nil {
			time.AfterFunc(loserGrace, q.cancel)
			return
		}
	}
	q.cancel()
}

// usual returns the usual latency of the route.
func (q *query) usual() time.Duration {
	return time.Duration(usualShare * float64(q.route.Target))
}

// hedgeDelay returns the time after which a shard without an answer is asked
// at a second replica.
func (q *query) hedgeDelay() time.Duration {
	target := float64(q.route.Target)
	least, most := time.Duration(minHedgeShare*target), time.Duration(maxHedgeShare*target)
	if q.delay == nil {
		return max(most, time.Millisecond)
	}
	return max(min(max(q.delay.Delay(), least), most), time.Millisecond)
}

// cutoff returns the timer after which an answer without some shards is better
// than a late one.
func (q *query) cutoff() *time.Timer {
	if !q.route.FanOut() || q.route.Target <= 0 {
		return time.NewTimer(maxTimeout)
	}
	return time.NewTimer(usefulTime(q.route))
}

// usefulTime returns the time from the arrival of a query within which an
// answer reaches its caller within the target.
func usefulTime(r *routes.Route) time.Duration {
	margin := max(time.Duration(answerMargin*float64(r.Target)), minAnswerMargin)
	return max(r.Target-margin, r.Target/2)
}

// hedge asks the shards without an answer at a second replica.
func (q *query) hedge() {
	if !q.route.Idempotent || q.verdict == poison.Suspect {
		return // a request that may crash replicas is not spread further
	}
	now := time.Now()
	for _, s := range q.shards {
		if s.done || s.running == 0 || s.runs >= q.route.Attempts {
			continue
		}
		if q.launchExtra(now, s, spare) {
			q.hedges++
			q.f.metrics.hedges.Inc(1)
		}
	}
}
