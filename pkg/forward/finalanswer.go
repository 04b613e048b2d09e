package forward

import (
	"net/http"
	"slices"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
)

// promises are the statuses that tell a caller that its request has not run and never
// will. Callers repeat a request that is not idempotent only after one of them.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// source is who gave the answer that a request ends with.
type source uint8

const (
	// fromThisVM: it refuses the request.
	fromThisVM source = iota
	// fromReplica: the answer came from a replica to this VM.
	fromReplica
	// fromOtherVM: the answer came from another VM, to which this one had forwarded the
	// request. It is its own one or that of a replica.
	fromOtherVM
)

// lastAnswer is the answer that a request ends with, before its caller gets it.
type lastAnswer struct {
	source source
	status int
	// notRun is set if the replica, or the run state of a refusal, tells that the request
	// did not run.
	notRun bool
	// receipt is set if the answer bears the receipt of a replica.
	receipt bool
	// idempotent is set if the route's requests may run more than once.
	idempotent bool
}

// callerStatus returns the status that the caller gets. If it differs from a.status for an
// answer that is not of this VM, the caller gets a refusal in its place, without the
// receipt: a replica's status may not be changed beside its receipt.
//
// A replica's own failure with a status that is a promise is passed on to callers of
// idempotent requests, who lose nothing by it and may need its Retry-After.
func (a lastAnswer) callerStatus() int {
	promise := slices.Contains(promises, a.status)
	switch a.source {
	case fromReplica:
		if promise && !a.notRun && !a.idempotent {
			return http.StatusBadGateway
		}
	case fromOtherVM:
		// Without a receipt it is the promise of that VM, which keeps this table. An older
		// VM passes on what a replica said, with the replica's receipt.
		if promise && a.receipt && !a.notRun && !a.idempotent {
			return http.StatusBadGateway
		}
	case fromThisVM:
		switch {
		case promise && !a.notRun:
			return http.StatusBadGateway
		case a.notRun && (a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout):
			return http.StatusServiceUnavailable
		}
	}
	return a.status
}

// refusalStatus returns the HTTP status of a refusal of this VM.
func refusalStatus(refusal *errs.Refusal) int {
	a := lastAnswer{source: fromThisVM, status: refusal.HTTPStatus(), notRun: refusal.RunState == errs.DidNotRun}
	if refusal.Code == errs.Poisoned {
		// A 4xx status would tell the caller that its request is invalid.
		a.status = http.StatusServiceUnavailable
	}
	return a.callerStatus()
}

// refusalInPlaceOf returns the refusal that takes the place of an answer of a replica or
// another VM, nil if the answer may be passed on to the caller.
func (q *query) refusalInPlaceOf(reply *exchange.Reply, from source, name string) *errs.Refusal {
	a := lastAnswer{
		source: from, status: reply.Status, idempotent: q.route.Idempotent,
		notRun: q.forwarder.notRun(*reply), receipt: reply.Header.Get(q.forwarder.headers.Receipt) != "",
	}
	if a.callerStatus() == a.status {
		return nil
	}
	return errs.Ambiguous(errs.UpstreamFailed, "%s failed with status %d, and does not say that the request did not run", name, reply.Status)
}
