// Package forward forwards callers' HTTP requests to replicas: either to one
// replica of a service, or to one replica of every shard, in which case it merges
// the responses of the shards.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/admit"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/overload"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// HeaderNames holds the names of the HTTP headers that the tier reads and sets.
type HeaderNames struct {
	// RequestID identifies an attempt of a caller; responses repeat it.
	RequestID string
	// Deadline holds the milliseconds for which the sender still waits.
	Deadline string
	// Tenant holds the name of the tenant on whose behalf a replica runs the request.
	Tenant string
	// TargetReplica holds the ID of the only replica that may run the request.
	TargetReplica string
	// Receipt proves that a replica ran the request.
	Receipt string
	// NotRun marks the response of a replica that did not run the request.
	NotRun string
	// Receipts lists the receipts of the shards in a merged response, and
	// MissingShards counts the shards that are not in it.
	Receipts, MissingShards string
	// ReplicaID and WarmupLeft are set in the responses to health probes.
	ReplicaID, WarmupLeft string
	// RequestLimit holds the requests a second that a replica in need accepts from
	// all VMs together, as a decimal number.
	RequestLimit string
	// Leaving is set to 1 in all answers of a replica that leaves.
	Leaving string
}

const (
	// defaultMaxBodyBytes bounds a request body where the configuration sets no
	// limit.
	defaultMaxBodyBytes = 1 << 20
	// notReadyRetryAfter and noReplicaRetryAfter are the values of Retry-After in
	// refusals: the first allows for the start of this VM, the second for the
	// recovery of a connection to a replica or the choice of another VM.
	notReadyRetryAfter  = 300 * time.Millisecond
	noReplicaRetryAfter = 20 * time.Millisecond
	// defaultTimeout bounds a request where the route sets no timeout.
	defaultTimeout = time.Minute
)

// Observer is told what requests reveal about the state of replicas.
type Observer interface {
	// ReplicaUnreachable reports that no connection to a replica could be opened,
	// or that another replica answers at its address.
	ReplicaUnreachable(u *Upstream, refusal *errs.Refusal)
	// ReplicaUnresponsive reports that a replica has not answered a request for
	// so long that the network path to it may be broken.
	ReplicaUnresponsive(u *Upstream)
	// RequestInterrupted reports that a request sent at sentAt failed at a replica
	// without a response after it may have run, for instance because the connection
	// broke.
	RequestInterrupted(u *Upstream, sentAt time.Time, refusal *errs.Refusal, attempt RequestAttempt)
	// RequestUnanswered reports that there is no response yet to a request sent at sentAt,
	// which may have run, or that this VM no longer waits for one. It may be called more
	// than once for a request.
	RequestUnanswered(u *Upstream, sentAt time.Time, attempt RequestAttempt)
	// SuspectUnanswered reports that a replica has not answered a request in its usual
	// time that was in flight when replicas crashed before. It was sent at sentAt.
	SuspectUnanswered(u *Upstream, sentAt time.Time, attempt RequestAttempt)
	// SuspectAnswered reports that a replica has answered such a request after all.
	SuspectAnswered(attempt RequestAttempt)
	// SuspectSucceeded reports that a request succeeded that was in flight when replicas
	// crashed. services names those that have answered if others have not, and is nil
	// if all have.
	SuspectSucceeded(attempt RequestAttempt, services []string)
	// ReplicaTold reports that a replica has said that it leaves, or wants a pause.
	ReplicaTold(u *Upstream)
	// RequestLimitChanged reports that answers of a replica to this VM show another
	// request limit than before, or that there is none any more.
	RequestLimitChanged(u *Upstream)
}

// RequestAttempt identifies one attempt of a caller's request.
type RequestAttempt = poison.Attempt

// Forwarder is the HTTP handler that forwards callers' requests. It is safe for
// concurrent use.
type Forwarder struct {
	headers  HeaderNames
	observer Observer
	ledger   *poison.Ledger
	memory   *exchange.Memory
	// bodies bounds the bodies of requests, and bodyStall the time without a byte of one.
	bodies    *exchange.Memory
	bodyStall atomic.Int64
	// fanOutLimiter bounds the fan-out queries in flight.
	fanOutLimiter *admit.Limiter
	outages       outages
	// ranked is set while the configuration names more than one priority. Requests are
	// then admitted by rankedAdmission, and by fanOutLimiter otherwise.
	ranked          atomic.Bool
	rankedAdmission *rankedAdmission
	log             logrus.FieldLogger
	view            atomic.Pointer[View]
	// closeConnections is set while callers should connect to another VM.
	closeConnections atomic.Bool
	// isolated is set while this VM reaches no other failure domain.
	isolated atomic.Bool
	// cutOff is set while this VM reaches no replica, and helpers holds the VMs that may
	// answer its callers meanwhile.
	cutOff  atomic.Bool
	helpers atomic.Pointer[[]*Helper]
	// lastAnswer is the time after started at which a replica answered last.
	started    time.Time
	lastAnswer atomic.Int64
	stop       *plannedStop
	tenants    *tenantCheck
	// quota holds what keeps the caps of tenants.
	quota   atomic.Pointer[Quota]
	metrics forwardMetrics
}

type forwardMetrics struct {
	// answers is keyed by whether all shards are included.
	answers           map[bool]tally.Counter
	refusals          tally.Counter
	hedges            tally.Counter
	retries           tally.Counter
	budgetRefusals    tally.Counter
	admissionRefusals admissionRefusals
	requestLatency    tally.Histogram
	replicaLatency    tally.Histogram
	// versions counts answers of services under roll-out.
	versions map[bool]map[bool]tally.Counter
}

// Config holds what a Forwarder needs.
type Config struct {
	Headers  HeaderNames
	Observer Observer
	Ledger   *poison.Ledger
	// Memory bounds the replicas' responses that are buffered at the same time.
	Memory *exchange.Memory
	// Bodies bounds the bodies of requests that are held at the same time.
	Bodies  *exchange.Memory
	Log     logrus.FieldLogger
	Scope   tally.Scope
	Buckets tally.Buckets
}

// New returns a forwarder that refuses all requests until SetView is called.
func New(c Config) *Forwarder {
	scope := c.Scope.SubScope("forward")
	f := &Forwarder{
		headers: c.Headers, observer: c.Observer, ledger: c.Ledger, memory: c.Memory, bodies: c.Bodies, fanOutLimiter: admit.New(), log: c.Log, rankedAdmission: newRankedAdmission(), started: time.Now(), stop: newPlannedStop(),
		tenants: newTenantCheck(scope),
		metrics: forwardMetrics{
			answers: map[bool]tally.Counter{
				true:  scope.Tagged(map[string]string{"outcome": "whole"}).Counter("answers"),
				false: scope.Tagged(map[string]string{"outcome": "partial"}).Counter("answers"),
			},
			refusals:          scope.Counter("refusals"),
			hedges:            scope.Counter("hedges"),
			retries:           scope.Counter("retries"),
			budgetRefusals:    scope.Counter("budget_refusals"),
			admissionRefusals: newAdmissionRefusals(scope),
			requestLatency:    scope.Histogram("request_latency", c.Buckets),
			replicaLatency:    scope.Histogram("replica_latency", c.Buckets),
			versions:          versionCounters(scope),
		},
	}
	f.SetBodyStall(0)
	return f
}

// SetView replaces the view that new requests use.
func (f *Forwarder) SetView(v *View) {
	limits := map[model.ServiceID]admission.Limits{}
	for _, r := range v.Table.Routes {
		if r.FanOut() {
			limits[model.ServiceID(r.ShardSetKey())] = v.fanOutLimits(r, f.cutOff.Load())
		}
	}
	f.fanOutLimiter.Configure(limits)
	f.rankedAdmission.keep(v.Table)
	f.ranked.Store(isRanked(v.Table))
	f.view.Store(v)
}

// SetCloseConnections sets whether every response asks its caller to close the
// connection, so that the caller connects to another VM.
func (f *Forwarder) SetCloseConnections(on bool) { f.closeConnections.Store(on) }

// SetIsolated sets whether this VM reaches no other failure domain. Queries that need
// replicas of others are then refused at once.
func (f *Forwarder) SetIsolated(on bool) { f.isolated.Store(on) }

// View returns the view that new requests use, nil before the first SetView.
func (f *Forwarder) View() *View { return f.view.Load() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	bodyHolding := f.bodies.NewHolding()
	defer bodyHolding.End()
	q, label, refusal := f.readQuery(w, r, start, bodyHolding)
	if refusal != nil {
		f.refuse(w, label, start, refusal)
		return
	}
	if refusal := q.mayStart(r.Context()); refusal != nil {
		label.priority, label.reason = q.priority, q.ranked.refusal
		f.refuse(w, label, start, refusal)
		return
	}
	defer q.cancelSends()
	response, refusal := q.run(r.Context())
	q.releaseAdmission()
	f.logQuery(q, refusal)
	if refusal != nil {
		q.recordAnsweredShards()
		q.addReplicaReports(time.Now(), w.Header())
		f.writeRefusal(w, q.id, refusal)
		return
	}
	f.metrics.requestLatency.RecordDuration(time.Since(start))
	q.addReplicaReports(time.Now(), response.header)
	if response.stream == nil {
		q.recordSuccess(response)
		f.writeResponse(w, response)
		return
	}
	f.writeResponse(w, response)
	q.forwardStream(r.Context(), w, response.stream) // does not return if the rest is not complete
	q.recordSuccess(response)
}

// setConnection asks the caller to close its connection if it should connect to another
// VM. It is called when the answer is written: the request may have taken long.
func (f *Forwarder) setConnection(w http.ResponseWriter) {
	if f.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
}

func (f *Forwarder) writeResponse(w http.ResponseWriter, r *response) {
	f.setConnection(w)
	r.write(w)
}

// requestLabel names a request in the log. Its fields are empty while they are not known.
type requestLabel struct {
	id, route, tenant string
	// reason tells why the request was not admitted by its priority, "" if it was.
	reason   overload.Reason
	priority int
}

// readQuery reads a request and returns its query. The body counts against bodyHolding.
func (f *Forwarder) readQuery(w http.ResponseWriter, r *http.Request, start time.Time, bodyHolding *exchange.Holding) (*query, requestLabel, *errs.Refusal) {
	head, match, body, refusal := f.receive(w, r, start, bodyHolding)
	label := requestLabel{id: head.id, route: match.name(), tenant: head.tenantName()}
	if refusal != nil {
		boundUnreadBody(w, r)
		return nil, label, refusal
	}
	callerConnOf(r.Context()).requestReceived()
	// The body may have taken seconds, in which the routes may have changed.
	if f.view.Load() != match.view {
		if match, refusal = f.matchRoute(head.target); refusal != nil {
			return nil, label, refusal
		}
		if head.credentials, refusal = f.authenticate(r, match); refusal != nil {
			return nil, label, refusal
		}
		label.route, label.tenant = match.name(), head.tenantName()
	}
	q := f.newQuery(r, head, body, match.view, match.Route, start)
	if q.isBlocked(time.Now()) {
		return nil, label, crashRefusal()
	}
	if refusal := q.admitTenant(r.Context()); refusal != nil {
		return nil, label, refusal
	}
	q.recordPrimarySends()
	return q, label, nil
}

// receive reads the head of a request, selects its route and reads the body. What is
// known by then is returned also if the request is refused.
func (f *Forwarder) receive(w http.ResponseWriter, r *http.Request, start time.Time, bodyHolding *exchange.Holding) (head callerHead, match routeMatch, body []byte, refusal *errs.Refusal) {
	if head, refusal = f.readHead(r); refusal != nil {
		return head, match, nil, refusal
	}
	if match, refusal = f.matchRoute(head.target); refusal != nil {
		return head, match, nil, refusal
	}
	if head.credentials, refusal = f.authenticate(r, match); refusal != nil {
		return head, match, nil, refusal
	}
	body, refusal = f.readRequest(w, r, head, match, start, bodyHolding)
	return head, match, body, refusal
}

// readRequest returns the body of a request, whose size must be within the configured
// limits. The body counts against bodyHolding.
func (f *Forwarder) readRequest(w http.ResponseWriter, r *http.Request, head callerHead, match routeMatch, start time.Time, bodyHolding *exchange.Holding) ([]byte, *errs.Refusal) {
	limits := match.view.Table.Limits
	if n := requestHeadBytes(r); limits.HeaderBytes > 0 && n > limits.HeaderBytes {
		return nil, errs.Refuse(errs.HeaderTooLarge, "head of %d bytes exceeds %d", n, limits.HeaderBytes)
	}
	return f.readBody(w, r, limits, start.Add(requestTimeout(head.deadline, match.Route)), bodyHolding)
}

// mayStart waits for the admission of a query. It returns the refusal of one that may not
// run, which then holds no admission.
func (q *query) mayStart(caller context.Context) *errs.Refusal {
	f := q.forwarder
	if f.stop.tooLate(time.Now(), q.route.Target) {
		return stopRefusal()
	}
	if refusal := q.admit(caller); refusal != nil {
		return refusal
	}
	// It may have waited, in which its key may have been removed, and it may have become a
	// suspect or blocked.
	if refusal := q.checkKey(time.Now()); refusal != nil {
		q.releaseAdmission()
		return refusal
	}
	if q.poisonVerdict = f.ledger.CheckAttempt(time.Now(), q.attempt); q.poisonVerdict == poison.Blocked {
		q.releaseAdmission()
		return crashRefusal()
	}
	return nil
}

// crashRefusal returns the refusal of a request that crashes replicas.
func crashRefusal() *errs.Refusal {
	return errs.Refuse(errs.Poisoned, "replicas crashed when they ran this request")
}

// refuse logs and answers a request that was not sent to any replica.
func (f *Forwarder) refuse(w http.ResponseWriter, label requestLabel, start time.Time, refusal *errs.Refusal) {
	fields := logrus.Fields{"id": label.id, "route": label.route, "code": refusal.Code, "detail": refusal.Detail, "duration_ms": milliseconds(time.Since(start))}
	if label.tenant != "" {
		fields["tenant"] = label.tenant
	}
	if label.reason != "" {
		fields["reason"], fields["priority"], fields["retry_after_ms"] = label.reason, label.priority, milliseconds(refusal.RetryAfter)
	}
	f.log.WithFields(fields).Info("request refused before it was sent to a replica")
	f.writeRefusal(w, label.id, refusal)
}

func (f *Forwarder) writeRefusal(w http.ResponseWriter, id string, refusal *errs.Refusal) {
	f.metrics.refusals.Inc(1)
	f.setConnection(w)
	h := w.Header()
	if id != "" {
		h.Set(f.headers.RequestID, id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	content := refusal.Error() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(content)))
	status := refusalStatus(refusal)
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer") // RFC 9110, 15.5.2 demands it
	}
	w.WriteHeader(status)
	// The write fails only if the caller has disconnected; net/http then closes
	// the connection.
	_, _ = w.Write([]byte(content))
}

// randomFraction returns a random number from the uniform distribution on [0, 1).
func randomFraction() float64 { return rand.Float64() }
