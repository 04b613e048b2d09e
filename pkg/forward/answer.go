package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/topk"
)

// answer is what the caller gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	// long is what follows the body, nil if the body is whole.
	long *longAnswer
}

func (a *answer) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		if !connectionHeaders[name] {
			h[name] = values
		}
	}
	if _, typed := a.header["Content-Type"]; !typed {
		h["Content-Type"] = nil // net/http must not guess one
	}
	switch {
	case a.long == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.header.Get("Content-Length") != "":
		h.Set("Content-Length", a.header.Get("Content-Length"))
	}
	w.WriteHeader(a.status)
	// A caller that has gone cannot be told; net/http closes its connection.
	_, _ = w.Write(a.body)
}

// settled reports whether the query is over, and with what. late tells that
// waiting for missing shards makes the answer worth less than it gains.
func (q *query) settled(late bool) (*answer, *errs.Refusal, bool) {
	if !q.route.FanOut() {
		return q.settledSingle()
	}
	in, open := 0, 0
	for _, s := range q.shards {
		switch {
		case s.done:
			in++
		case s.running > 0:
			open++
		}
	}
	total := len(q.shards)
	needed := least(q.route)
	switch {
	case open == 0 && in >= needed, late && in >= needed:
		q.missing = total - in
		return q.merged(), nil, true
	case in+open < needed:
		return nil, q.lacking(in, total), true
	default:
		return nil, nil, false
	}
}

// lacking returns the refusal of a query that too few shards can answer.
func (q *query) lacking(in, total int) *errs.Refusal {
	q.missing = total - in
	for _, s := range q.shards {
		if s.ran || s.running > 0 {
			return errs.Ambiguous(errs.UpstreamFailed, "%d of %d shards answered, %s", in, total, q.lastFailure())
		}
	}
	return errs.Refuse(errs.NoReplica, "no shard took the request, %s", q.lastFailure()).WithRetryAfter(noReplicaRetry)
}

// lastFailure names a shard without an answer and what happened there.
func (q *query) lastFailure() string {
	for _, s := range q.shards {
		switch {
		case s.done:
		case s.refusal != nil:
			return s.service + ": " + s.refusal.Error()
		case s.failed != nil:
			return s.service + ": status " + strconv.Itoa(s.failed.Status)
		case s.skipped:
			return s.service + ": left out, would answer too late"
		case s.running == 0:
			return s.service + ": no replica can take requests now"
		}
	}
	return "no answer in time"
}

// merged returns the answer made of the parts that are in.
func (q *query) merged() *answer {
	parts := make([][]byte, 0, len(q.shards))
	receipts := make([]string, 0, len(q.shards))
	for _, s := range q.shards {
		if s.done {
			parts = append(parts, s.reply.Body)
			receipts = append(receipts, s.reply.Header.Get(q.f.headers.Receipt))
		}
	}
	h := http.Header{
		"Content-Type":            {"application/octet-stream"},
		q.f.headers.Receipts:      {strings.Join(receipts, ", ")},
		q.f.headers.MissingShards: {strconv.Itoa(q.missing)},
	}
	if q.id != "" {
		h[q.f.headers.RequestID] = []string{q.id}
	}
	q.f.metrics.answers[q.missing == 0].Inc(1)
	return &answer{status: http.StatusOK, header: h, body: topk.Merge(q.route.TopK, parts)}
}

// settledSingle is settled for a request to one service.
func (q *query) settledSingle() (*answer, *errs.Refusal, bool) {
	s := q.shards[0]
	switch {
	case s.done:
		q.f.metrics.answers[true].Inc(1)
		a := passed(s.reply)
		a.long = s.long
		return a, nil, true
	case s.running > 0:
		return nil, nil, false
	case s.failed != nil:
		return passed(s.failed), nil, true
	case s.refusal == nil:
		return nil, errs.Refuse(errs.NoReplica, "no replica of %s can take requests now", s.service).WithRetryAfter(noReplicaRetry), true
	case s.ran:
		return nil, errs.Ambiguous(s.refusal.Code, "%s", s.refusal.Detail), true
	default:
		return nil, s.refusal.WithRetryAfter(noReplicaRetry), true
	}
}

// passed returns a replica's own answer.
func passed(reply *exchange.Reply) *answer {
	return &answer{status: reply.Status, header: reply.Header, body: reply.Body}
}

// logQuery writes the line of a query: what it was decided by and how it ended.
func (f *Forwarder) logQuery(q *query, refusal *errs.Refusal) {
	fields := logrus.Fields{
		"id": q.id, "route": q.route.Name, "version": q.view.Table.Version,
		"ms": milliseconds(time.Since(q.start)), "left_ms": milliseconds(time.Until(q.deadline)),
		"sends": q.sends,
	}
	if q.hedges+q.retries+q.denied > 0 {
		fields["hedges"], fields["retries"], fields["denied"] = q.hedges, q.retries, q.denied
	}
	if q.route.FanOut() {
		fields["missing"], fields["shards"] = q.missing, len(q.shards)
	} else if n := len(q.shards[0].tried); n > 0 {
		fields["service"], fields["replica"] = q.shards[0].service, q.shards[0].tried[n-1].Member.ID
	}
	if q.skipped > 0 {
		fields["skipped"] = q.skipped
	}
	if q.missing > 0 {
		fields["why"] = q.lastFailure()
	}
	if refusal == nil {
		f.log.WithFields(fields).Info("answered")
		return
	}
	fields["code"], fields["run"], fields["detail"] = refusal.Code, refusal.RunState, refusal.Detail
	f.log.WithFields(fields).Info("failed")
}

// readAll reads a body whose length may be known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}
