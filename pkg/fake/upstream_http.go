package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Limits of bodies in bytes.
const (
	maxRequestBody = 4 << 20
	oversizedBody  = 8 << 20
)

// statusCanceled is the status code of a run that was cancelled.
const statusCanceled = http.StatusConflict

// UpstreamRequest is the body of a run request.
type UpstreamRequest struct {
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

// upstreamReply is the body of a successful reply.
type upstreamReply struct {
	RequestID string          `json:"request_id"`
	Instance  string          `json:"instance"`
	Version   uint64          `json:"version"`
	Epoch     uint64          `json:"epoch"`
	Shards    []model.ShardID `json:"shards"`
	Rows      []Result        `json:"rows"`
	RowCount  int             `json:"row_count"`
	Result    any             `json:"result,omitempty"`
}

// upstreamFailure is the body of any other reply.
type upstreamFailure struct {
	RequestID string `json:"request_id"`
	Instance  string `json:"instance"`
	DidNotRun bool   `json:"did_not_run"`
	Code      string `json:"code"`
	Detail    string `json:"detail"`
	status    int
}

// upstreamStatus is the body of a status reply.
type upstreamStatus struct {
	Instance        string            `json:"instance"`
	State           string            `json:"state"`
	Slots           int               `json:"slots"`
	Connections     int               `json:"connections"`
	Running         int               `json:"running"`
	OpenConnections int               `json:"open_connections"`
	Versions        []upstreamVersion `json:"versions"`
}

// upstreamVersion names one index version in a status reply.
type upstreamVersion struct {
	Version uint64 `json:"version"`
	Epoch   uint64 `json:"epoch"`
}

// routes returns the handler of the upstream's protocol.
func (u *Upstream) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", u.serveRun)
	mux.HandleFunc("POST /cancel", u.serveCancel)
	mux.HandleFunc("GET /status", u.serveStatus)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			sleep(r.Context(), nil, time.Until(c.ready))
		}
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler) // the connection was never set up completely
		}
		mux.ServeHTTP(w, r)
	})
}

// serveStatus reports state and load, which can be as old as the status lag.
func (u *Upstream) serveStatus(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	u.counters.StatusCalls++
	now := time.Now()
	if u.statusAt.IsZero() || now.Sub(u.statusAt) >= u.config.StatusLag {
		u.status = u.currentStatus(now)
		u.statusAt = now
	}
	status := u.status
	u.advance()
	u.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// currentStatus returns the status as it is.
func (u *Upstream) currentStatus(now time.Time) upstreamStatus {
	status := upstreamStatus{
		Instance:        u.instance,
		State:           "ready",
		Slots:           u.config.Slots,
		Connections:     u.config.MaxConns,
		Running:         len(u.running),
		OpenConnections: len(u.conns),
		Versions:        []upstreamVersion{},
	}
	if u.isCold(now) {
		status.State = "cold"
	}
	if u.faults.draining {
		status.State = "draining"
	}
	for _, v := range u.held() {
		status.Versions = append(status.Versions, upstreamVersion{v.Version, v.Epoch})
	}
	return status
}

// serveCancel cancels the runs of a request.
func (u *Upstream) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBody)).Decode(&body); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	found := 0
	for run := range u.running {
		if run.request.RequestID == body.RequestID && !run.canceled {
			run.canceled = true
			close(run.cancel)
			found++
		}
	}
	u.counters.Cancels += found
	u.advance()
	u.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int{"canceled": found})
}

// serveRun runs one request.
func (u *Upstream) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var request UpstreamRequest
	if err := json.Unmarshal(body, &request); err != nil || len(body) > maxRequestBody {
		failure := refuse(http.StatusBadRequest, "invalid", "malformed or oversized request")
		u.answer(w, request, upstreamReply{}, failure)
		return
	}
	reply, failure := u.execute(request)
	u.answer(w, request, reply, failure)
}

// answer sends a reply or a failure, with the fault that is due.
func (u *Upstream) answer(w http.ResponseWriter, request UpstreamRequest, reply upstreamReply, failure *upstreamFailure) {
	if failure != nil {
		failure.RequestID = request.RequestID
		failure.Instance = u.Instance()
		writeJSON(w, failure.status, failure)
		return
	}
	fault := u.nextReplyFault()
	switch fault {
	case ReplyMisaddressed:
		reply.RequestID = "other-" + reply.RequestID
	case ReplyMiscounted:
		reply.RowCount++
	case ReplyOversized:
		reply.Result = strings.Repeat("x", oversizedBody)
	case ReplyOtherVersion:
		reply.Version++
	}
	data, err := json.Marshal(reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	send(w, data, fault)
}

// send writes the body of a successful reply.
func send(w http.ResponseWriter, data []byte, fault ReplyFault) {
	switch fault {
	case ReplyLost:
		panic(http.ErrAbortHandler)
	case ReplyMalformed:
		data = data[:len(data)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if fault != ReplyTruncated {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}
