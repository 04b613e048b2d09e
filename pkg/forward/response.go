package forward

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/topk"
)

// response is the HTTP response to a caller.
type response struct {
	status int
	header http.Header
	body   []byte
	// stream is the part of the response that follows body; nil if body is
	// complete.
	stream *responseStream
}

// write sends the status, the header and the body.
func (r *response) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range r.header {
		if !hopByHopHeaders[name] {
			h[name] = values
		}
	}
	if _, ok := r.header["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	switch {
	case r.stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	case r.header.Get("Content-Length") != "":
		h.Set("Content-Length", r.header.Get("Content-Length"))
	}
	w.WriteHeader(r.status)
	// The write fails only if the caller has disconnected; net/http then closes
	// the connection.
	_, _ = w.Write(r.body)
}

// finalResponse returns the response or the refusal that ends the query, and false
// while the query must go on. pastCutoff is set when the response must be sent
// without the shards that have not answered, if the coverage allows it.
func (q *query) finalResponse(pastCutoff bool) (*response, *errs.Refusal, bool) {
	if !q.route.FanOut() {
		return q.finalSingleResponse()
	}
	answered, waiting := 0, 0
	for _, s := range q.shards {
		switch {
		case s.answered:
			answered++
		case s.openSendCount > 0, s.heldBack:
			waiting++
		}
	}
	total := len(q.shards)
	required := requiredShards(q.route)
	switch {
	case waiting == 0 && answered >= required, pastCutoff && answered >= required:
		q.missingShards = total - answered
		return q.mergedResponse(), nil, true
	case answered+waiting < required:
		return nil, q.coverageRefusal(answered, total), true
	default:
		return nil, nil, false
	}
}

// coverageRefusal returns the refusal of a query whose required coverage can no
// longer be reached.
func (q *query) coverageRefusal(answered, total int) *errs.Refusal {
	q.missingShards = total - answered
	for _, s := range q.shards {
		if s.mayHaveRun || s.openSendCount > 0 {
			return errs.Ambiguous(errs.UpstreamFailed, "%d of %d shards answered, %s", answered, total, q.missingReason())
		}
	}
	return errs.Refuse(errs.NoReplica, "no shard took the request, %s", q.missingReason()).WithRetryAfter(noReplicaRetryAfter)
}

// missingReason names the first shard that failed or was not queried, and why.
func (q *query) missingReason() string {
	if q.isolated {
		if i := slices.IndexFunc(q.shards, func(s *shard) bool { return s.skipped }); i >= 0 {
			return q.shards[i].service + ": no replica in this failure domain, and no other can be reached"
		}
	}
	for _, s := range q.shards {
		switch {
		case s.answered:
		case s.refusal != nil:
			return s.service + ": " + s.refusal.Error()
		case s.failedReply != nil:
			return s.service + ": status " + strconv.Itoa(s.failedReply.Status)
		case s.skipped:
			return s.service + ": left out, would answer too late"
		case s.openSendCount == 0:
			return s.service + ": no replica can take requests now"
		}
	}
	return "no answer in time"
}

// mergedResponse returns the response made of the shards that have answered.
func (q *query) mergedResponse() *response {
	parts := append(make([][]byte, 0, len(q.shards)+len(q.relayedRecords)), q.relayedRecords...)
	receipts := make([]string, 0, len(q.shards))
	for _, s := range q.shards {
		if s.answered {
			parts = append(parts, s.reply.Body)
			receipts = append(receipts, s.reply.Header.Get(q.forwarder.headers.Receipt))
		}
	}
	h := http.Header{
		"Content-Type":                    {"application/octet-stream"},
		q.forwarder.headers.Receipts:      {strings.Join(receipts, ", ")},
		q.forwarder.headers.MissingShards: {strconv.Itoa(q.missingShards)},
	}
	if q.id != "" {
		h[q.forwarder.headers.RequestID] = []string{q.id}
	}
	q.forwarder.metrics.answers[q.missingShards == 0].Inc(1)
	return &response{status: http.StatusOK, header: h, body: topk.Merge(q.route.TopK, parts)}
}

// finalSingleResponse is finalResponse for a request to one service.
func (q *query) finalSingleResponse() (*response, *errs.Refusal, bool) {
	s := q.shards[0]
	switch {
	case s.answered:
		q.forwarder.metrics.answers[true].Inc(1)
		r := responseFrom(s.reply)
		r.stream = s.stream
		return r, nil, true
	case s.openSendCount > 0:
		return nil, nil, false
	case s.failedReply != nil:
		return responseFrom(s.failedReply), nil, true
	case s.refusal == nil:
		return nil, errs.Refuse(errs.NoReplica, "no replica of %s can take requests now", s.service).WithRetryAfter(q.waitForShards(time.Now(), 1)), true
	case s.mayHaveRun:
		return nil, errs.Ambiguous(s.refusal.Code, "%s", s.refusal.Detail), true
	default:
		return nil, s.refusal.WithRetryAfter(noReplicaRetryAfter), true
	}
}

// responseFrom returns a replica's response unchanged.
func responseFrom(reply *exchange.Reply) *response {
	return &response{status: reply.Status, header: reply.Header.HTTP(), body: reply.Body}
}

// logQuery writes one log line with the sends and the outcome of a query.
func (f *Forwarder) logQuery(q *query, refusal *errs.Refusal) {
	fields := logrus.Fields{
		"id": q.id, "route": q.route.Name, "version": q.view.Table.Version,
		"duration_ms": milliseconds(time.Since(q.start)), "deadline_left_ms": milliseconds(time.Until(q.deadline)),
		"sends": q.sends,
	}
	if q.tenant != nil {
		fields["tenant"] = q.tenant.Name
	}
	if q.hedges+q.retries+q.budgetRefusals > 0 {
		fields["hedges"], fields["retries"], fields["denied_by_budget"] = q.hedges, q.retries, q.budgetRefusals
	}
	if q.route.FanOut() {
		fields["missing_shards"], fields["shards"] = q.missingShards, len(q.shards)
	} else if n := len(q.shards[0].tried); n > 0 {
		fields["service"], fields["replica"] = q.shards[0].service, q.shards[0].tried[n-1].Member.ID
	}
	if q.poisonVerdict == poison.Suspect {
		fields["suspect"], fields["fingerprint"] = true, fmt.Sprintf("%016x", q.attempt.Fingerprint)
	}
	if q.answeredBy != "" {
		fields["answered_by"] = q.answeredBy
	}
	if q.relays > 0 {
		fields["relays"] = q.relays
	}
	if q.skippedShards > 0 {
		fields["skipped_shards"] = q.skippedShards
	}
	if q.missingShards > 0 {
		fields["missing_reason"] = q.missingReason()
	}
	if refusal == nil {
		f.log.WithFields(fields).Info("request answered")
		return
	}
	fields["code"], fields["run_state"], fields["detail"] = refusal.Code, refusal.RunState, refusal.Detail
	f.log.WithFields(fields).Info("request failed")
}
