package upstream

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// runBody is the body of a run request.
type runBody struct {
	RequestID  string          `json:"request_id"`
	Service    model.ServiceID `json:"service"`
	Operation  string          `json:"operation"`
	Version    uint64          `json:"version"`
	Epoch      uint64          `json:"epoch"`
	Shards     []model.ShardID `json:"shards"`
	DeadlineMS int64           `json:"deadline_ms"`
	Payload    json.RawMessage `json:"payload"`
	Limit      int             `json:"limit"`
}

// replyBody is the body of a successful reply.
type replyBody struct {
	RequestID string          `json:"request_id"`
	Instance  string          `json:"instance"`
	Version   uint64          `json:"version"`
	Epoch     uint64          `json:"epoch"`
	Shards    []model.ShardID `json:"shards"`
	Rows      []rowBody       `json:"rows"`
	RowCount  *int            `json:"row_count"`
	Result    json.RawMessage `json:"result"`
}

// rowBody is one row of a reply.
type rowBody struct {
	Key  []any           `json:"key"`
	Data json.RawMessage `json:"data"`
}

// failureBody is the body of a reply with another status than OK.
type failureBody struct {
	RequestID string `json:"request_id"`
	DidNotRun bool   `json:"did_not_run"`
	Code      string `json:"code"`
	Detail    string `json:"detail"`
}

// upstreamCodes maps the codes of the upstream protocol to codes of refusals.
var upstreamCodes = map[string]errs.Code{
	"shed":              errs.UpstreamShed,
	"busy":              errs.UpstreamShed,
	"cold":              errs.UpstreamCold,
	"draining":          errs.UpstreamDraining,
	"version_gone":      errs.VersionGone,
	"deadline":          errs.DeadlineExceeded,
	"canceled":          errs.Canceled,
	"invalid":           errs.InvalidRequest,
	"unknown_operation": errs.UnknownOperation,
}

// encodeRequest returns the body of a run request. The remaining time is rounded up,
// so that a request with time left never carries 0.
func encodeRequest(r RunRequest, now time.Time) ([]byte, error) {
	payload := r.Payload
	if len(payload) == 0 {
		payload = []byte("null")
	}
	shards := r.Shards
	if shards == nil {
		shards = []model.ShardID{}
	}
	remaining := r.Deadline.Sub(now)
	body, err := json.Marshal(runBody{
		RequestID:  r.RequestID,
		Service:    r.Service,
		Operation:  r.Operation,
		Version:    r.Snapshot.Version,
		Epoch:      r.Snapshot.Epoch,
		Shards:     shards,
		DeadlineMS: int64((remaining + time.Millisecond - 1) / time.Millisecond),
		Payload:    payload,
		Limit:      r.RowLimit,
	})
	if err != nil {
		return nil, errs.Refuse(errs.InvalidRequest, "payload: %v", err)
	}
	return body, nil
}

// classify turns the outcome of an exchange into a response or a refusal.
func (a *attempt) classify(o outcome) (*RunResponse, error) {
	switch {
	case o.truncated:
		return nil, a.refuse(errs.ResponseMismatch, "reply ends after %d bytes", len(o.body))
	case o.err != nil:
		return nil, a.refuse(errs.UpstreamLost, "%v", o.err)
	case len(o.body) > MaxReplyBytes:
		return nil, a.refuse(errs.ResponseMismatch, "reply exceeds %d bytes", MaxReplyBytes)
	case o.status == http.StatusOK:
		return a.parseReply(o.body)
	default:
		return nil, a.parseFailure(o)
	}
}

// parseReply decodes the reply to a successful run and checks that it belongs to the
// request.
func (a *attempt) parseReply(data []byte) (*RunResponse, error) {
	var body replyBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, a.mismatch("malformed reply: %v", err)
	}
	if body.RequestID != a.request.RequestID {
		return nil, a.mismatch("reply to request %q", body.RequestID)
	}
	if body.RowCount == nil || *body.RowCount != len(body.Rows) {
		return nil, a.mismatch("row_count differs from the %d rows", len(body.Rows))
	}
	response := &RunResponse{
		Instance: body.Instance,
		Snapshot: model.Snapshot{Version: body.Version, Epoch: body.Epoch},
		Shards:   body.Shards,
		Rows:     make([]Row, 0, len(body.Rows)),
		Result:   body.Result,
	}
	for _, row := range body.Rows {
		response.Rows = append(response.Rows, Row{Key: row.Key, Data: row.Data})
	}
	return response, nil
}

// parseFailure decodes a reply with another status than OK. It uses the reply only if
// it names this request, since a did_not_run may be meant for another request.
func (a *attempt) parseFailure(o outcome) *errs.Refusal {
	var body failureBody
	if err := json.Unmarshal(o.body, &body); err != nil || body.RequestID == "" {
		return a.refuse(errs.UpstreamFailed, "status %d without a readable failure", o.status)
	}
	if body.RequestID != a.request.RequestID {
		return a.mismatch("failure of request %q", body.RequestID)
	}
	code, known := upstreamCodes[body.Code]
	if !known {
		code = errs.UpstreamFailed
	}
	refusal := errs.Ambiguous(code, "%s: %s: %s", a.client.config.Replica, body.Code, body.Detail)
	if body.DidNotRun {
		refusal.RunState = errs.DidNotRun
	}
	return refusal
}

// mismatch returns the refusal for a reply that does not belong to the request. It
// closes the connection, whose later replies may belong to other requests as well.
func (a *attempt) mismatch(format string, args ...any) *errs.Refusal {
	if conn := a.conn.Load(); conn != nil {
		conn.retire(a)
	}
	return errs.Ambiguous(errs.ResponseMismatch, string(a.client.config.Replica)+": "+format, args...)
}

// CheckResponse returns a ResponseMismatch if the response was computed on another
// snapshot or other shards than the request names. Shards are compared as sets.
func CheckResponse(req RunRequest, resp *RunResponse) error {
	if resp.Snapshot != req.Snapshot {
		return errs.Ambiguous(errs.ResponseMismatch, "computed on version %d of epoch %d instead of %d of %d",
			resp.Snapshot.Version, resp.Snapshot.Epoch, req.Snapshot.Version, req.Snapshot.Epoch)
	}
	if !slices.Equal(sortedSet(req.Shards), sortedSet(resp.Shards)) {
		return errs.Ambiguous(errs.ResponseMismatch, "computed on shards %v instead of %v", resp.Shards, req.Shards)
	}
	return nil
}

// sortedSet returns the shards in order and without duplicates.
func sortedSet(shards []model.ShardID) []model.ShardID {
	return slices.Compact(slices.Sorted(slices.Values(shards)))
}
