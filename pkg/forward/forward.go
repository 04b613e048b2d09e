// Package forward passes callers' requests on to replicas: each to one replica
// of a service, or to one replica of every shard with the parts merged.
package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/admit"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// HeaderNames are the names of the headers that the tier reads and sets.
type HeaderNames struct {
	RequestID, Deadline, TargetReplica, Receipt, NotRun string
	Receipts, MissingShards                             string
	ReplicaID, WarmupLeft                               string
}

const (
	// defaultBodyLimit holds until a configuration is known.
	defaultBodyLimit = 1 << 20
	// notReadyRetry and noReplicaRetry are the times after which a caller
	// should try again: the first covers a start, the second the recovery of a
	// connection or the choice of another VM.
	notReadyRetry  = 300 * time.Millisecond
	noReplicaRetry = 20 * time.Millisecond
	// maxTimeout bounds a request whose route and caller state no time.
	maxTimeout = time.Minute
)

// Observer learns what requests show of replicas.
type Observer interface {
	// ReplicaUnreachable gets a replica that no connection could be opened to, or
	// that is not the one expected at its address.
	ReplicaUnreachable(u *Upstream, why *errs.Refusal)
	// ReplicaUnresponsive gets a replica that gave no answer for long.
	ReplicaUnresponsive(u *Upstream)
	// RequestInterrupted gets a replica that broke off a request, and the request.
	RequestInterrupted(u *Upstream, why *errs.Refusal, suspect RequestAttempt)
}

// RequestAttempt identifies one attempt of a caller's request, so that a request
// that crashes the replicas that run it is recognised when it is sent again.
type RequestAttempt struct {
	// Fingerprint is the same for all attempts of a request.
	Fingerprint uint64
	// RequestID is new for each attempt.
	RequestID string
}

// Forwarder serves callers. It may be used by many goroutines.
type Forwarder struct {
	headers  HeaderNames
	observer Observer
	ledger   *poison.Ledger
	// gate bounds the fan-out queries in flight.
	gate *admit.Limiter
	log  logrus.FieldLogger
	view atomic.Pointer[View]
	// closeConnections tells that callers should connect to another VM.
	closeConnections atomic.Bool
	metrics          forwardMetrics
}

type forwardMetrics struct {
	answers   map[bool]tally.Counter
	refusals  tally.Counter
	hedges    tally.Counter
	retries   tally.Counter
	noBudget  tally.Counter
	latency   tally.Histogram
	subLength tally.Histogram
}

// New returns a forwarder that knows no configuration yet.
func New(headers HeaderNames, observer Observer, ledger *poison.Ledger, log logrus.FieldLogger, scope tally.Scope, buckets tally.Buckets) *Forwarder {
	scope = scope.SubScope("forward")
	return &Forwarder{
		headers: headers, observer: observer, ledger: ledger, gate: admit.New(), log: log,
		metrics: forwardMetrics{
			answers: map[bool]tally.Counter{
				true:  scope.Tagged(map[string]string{"outcome": "whole"}).Counter("answers"),
				false: scope.Tagged(map[string]string{"outcome": "partial"}).Counter("answers"),
			},
			refusals:  scope.Counter("refusals"),
			hedges:    scope.Counter("hedges"),
			retries:   scope.Counter("retries"),
			noBudget:  scope.Counter("budget_refusals"),
			latency:   scope.Histogram("request_latency", buckets),
			subLength: scope.Histogram("replica_latency", buckets),
		},
	}
}

// SetView makes all later requests use v.
func (f *Forwarder) SetView(v *View) {
	limits := map[model.ServiceID]admission.Limits{}
	for _, r := range v.Table.Routes {
		if r.FanOut() {
			limits[model.ServiceID(r.ShardSetKey())] = v.limits(r)
		}
	}
	f.gate.Configure(limits)
	f.view.Store(v)
}

// SetCloseConnections makes every answer ask its caller to close the connection, or not.
func (f *Forwarder) SetCloseConnections(on bool) { f.closeConnections.Store(on) }

// View returns what requests are decided by, nil before the first.
func (f *Forwarder) View() *View { return f.view.Load() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if f.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	id := r.Header.Get(f.headers.RequestID)
	route, refusal := f.route(r)
	if refusal != nil {
		f.refuse(w, id, "", start, refusal)
		return
	}
	q, refusal := f.accept(w, r, id, route, start)
	if refusal != nil {
		f.refuse(w, id, route.Name, start, refusal)
		return
	}
	if refusal := q.admit(r.Context()); refusal != nil {
		f.refuse(w, id, route.Name, start, refusal)
		return
	}
	defer q.finish()
	answer, refusal := q.run(r.Context())
	q.release()
	f.logQuery(q, refusal)
	if refusal != nil {
		f.writeRefusal(w, id, refusal)
		return
	}
	f.ledger.Succeeded(time.Now(), q.suspect.Fingerprint)
	f.metrics.latency.RecordDuration(time.Since(start))
	answer.write(w)
	if answer.long != nil {
		q.passOn(r.Context(), w, answer.long)
	}
}

// route returns the route of a request.
func (f *Forwarder) route(r *http.Request) (target, *errs.Refusal) {
	view := f.view.Load()
	if view == nil || view.Table == nil {
		return target{}, errs.Refuse(errs.NotReady, "no configuration is known yet").WithRetryAfter(notReadyRetry)
	}
	route := view.Table.Match(r.Host, r.URL.Path)
	if route == nil {
		return target{}, errs.Refuse(errs.UnknownService, "no route for host %q path %q in version %d", r.Host, r.URL.Path, view.Table.Version)
	}
	return target{Route: route, view: view}, nil
}

// target is the route of a request with the view that it was taken from; both
// hold until the request has ended.
type target struct {
	*routes.Route
	view *View
}

// accept reads a request within the limits of callers and returns its query.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, id string, to target, start time.Time) (*query, *errs.Refusal) {
	limits := to.view.Table.Limits
	if n := headBytes(r); limits.HeaderBytes > 0 && n > limits.HeaderBytes {
		return nil, errs.Refuse(errs.HeaderTooLarge, "head of %d bytes exceeds %d", n, limits.HeaderBytes)
	}
	body, refusal := readBody(w, r, limits)
	if refusal != nil {
		return nil, refusal
	}
	q := f.newQuery(r, id, body, to.view, to.Route, start)
	if q.verdict = f.ledger.Check(start, q.suspect.Fingerprint); q.verdict == poison.Blocked {
		return nil, errs.Refuse(errs.Poisoned, "replicas crashed when they ran this request")
	}
	q.countPrimary()
	return q, nil
}

// refuse answers a request that was not sent to any replica.
func (f *Forwarder) refuse(w http.ResponseWriter, id, route string, start time.Time, refusal *errs.Refusal) {
	f.log.WithFields(logrus.Fields{
		"id": id, "route": route, "code": refusal.Code, "detail": refusal.Detail, "ms": milliseconds(time.Since(start)),
	}).Info("refused")
	f.writeRefusal(w, id, refusal)
}

func (f *Forwarder) writeRefusal(w http.ResponseWriter, id string, refusal *errs.Refusal) {
	f.metrics.refusals.Inc(1)
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
	w.WriteHeader(status(refusal))
	// A caller that has gone cannot be told; net/http closes its connection.
	_, _ = w.Write([]byte(content))
}

// status returns the status of a refusal. 503 says that the request did not
// run, so a request that may have run never gets it.
func status(refusal *errs.Refusal) int {
	code := refusal.HTTPStatus()
	if refusal.Code == errs.Poisoned {
		// A refusal with a status of 4xx would say that the request is wrong.
		return http.StatusServiceUnavailable
	}
	if refusal.RunState == errs.MayHaveRun && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests) {
		return http.StatusBadGateway
	}
	if refusal.RunState == errs.DidNotRun && (code == http.StatusBadGateway || code == http.StatusGatewayTimeout) {
		return http.StatusServiceUnavailable
	}
	return code
}

// headBytes returns the length of a request's head, with a colon, a space and a
// line end for each field.
func headBytes(r *http.Request) int {
	const fieldSeparators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host") + len(r.Host) + 2*fieldSeparators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldSeparators
		}
	}
	return n
}

// readBody returns the whole body of a request, nil if it has none.
func readBody(w http.ResponseWriter, r *http.Request, limits routes.Limits) ([]byte, *errs.Refusal) {
	if r.Body == nil || r.Body == http.NoBody || (r.ContentLength == 0 && len(r.TransferEncoding) == 0) {
		return nil, nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > limit {
		return nil, errs.Refuse(errs.TooLarge, "body of %d bytes exceeds %d", r.ContentLength, limit)
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errs.Refuse(errs.TooLarge, "body exceeds %d bytes", limit)
	}
	return nil, errs.Refuse(errs.Canceled, "reading the body: %v", err)
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// draw returns a number for the choice between weighted services.
func draw() float64 { return rand.Float64() }
