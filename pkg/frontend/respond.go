package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/merge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	RequestID    string    `json:"request_id"`
	Code         errs.Code `json:"code"`
	RunState     string    `json:"run_state"`
	Detail       string    `json:"detail"`
	RetryAfterMS int64     `json:"retry_after_ms"`
}

// searchReply is the JSON body of the answer to a search.
type searchReply struct {
	RequestID string            `json:"request_id"`
	Snapshot  model.Snapshot    `json:"snapshot"`
	Coverage  merge.Coverage    `json:"coverage"`
	Results   []json.RawMessage `json:"results"`
}

// callReply is the JSON body of the answer to a call.
type callReply struct {
	RequestID string          `json:"request_id"`
	Result    json.RawMessage `json:"result"`
}

// writeRefusal sends a refusal. When status is 0, the refusal's code decides
// the HTTP status.
func writeRefusal(w http.ResponseWriter, id string, r *errs.Refusal, status int) {
	if status == 0 {
		status = r.HTTPStatus()
	}
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	body := refusalBody{
		RequestID: id, Code: r.Code, RunState: r.RunState.String(), Detail: publicDetail(r),
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	writeJSON(w, status, encoded)
}

// publicDetail returns the detail of a refusal as callers see it. The details
// of failed connections inside the site contain addresses, so callers get a
// fixed text instead.
func publicDetail(r *errs.Refusal) string {
	switch r.Code {
	case errs.UpstreamLost:
		return "the connection to an upstream was lost"
	case errs.ConnectionSilent:
		return "an upstream did not answer"
	case errs.PeerLost, errs.PeerUnreachable:
		return "another VM of the tier could not be reached"
	case errs.ClaimUnavailable:
		return "the claim could not be stored in the platform in time"
	default:
		return r.Detail
	}
}

// writeSearchAnswer sends the answer to a search.
func writeSearchAnswer(x *httpExchange, a *SearchAnswer) error {
	reply := searchReply{RequestID: x.id, Snapshot: a.Snapshot, Coverage: a.Coverage}
	reply.Results = make([]json.RawMessage, len(a.Rows))
	for i := range a.Rows {
		reply.Results[i] = a.Rows[i].Data
	}
	if reply.Coverage.Missing == nil {
		reply.Coverage.Missing = []merge.MissingShard{}
	}
	return writeReply(x, reply)
}

// writeCallAnswer sends the answer to a call.
func writeCallAnswer(x *httpExchange, a *CallAnswer) error {
	return writeReply(x, callReply{RequestID: x.id, Result: a.Result})
}

// writeReply encodes the whole reply before the first byte is sent, so that
// upstream data that is not JSON becomes a refusal and not half an answer.
func writeReply(x *httpExchange, reply any) error {
	encoded, err := json.Marshal(reply)
	if err != nil {
		return errs.Ambiguous(errs.ResponseMismatch, "an upstream's data is not JSON")
	}
	writeJSON(x.w, http.StatusOK, encoded)
	return nil
}

// writeJSON sends body as the whole response.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write fails when the client has disconnected or does not read in time,
	// and then no refusal can reach it either.
	_, _ = w.Write(body)
}
