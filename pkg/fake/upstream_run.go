package fake

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// run is one run in progress.
type run struct {
	request  UpstreamRequest
	instance string
	dead     chan struct{}
	cancel   chan struct{}
	canceled bool
	version  IndexVersion
	query    Query
	took     time.Duration
	cold     bool
}

// refuse returns the failure of a request that did not run.
func refuse(status int, code, format string, args ...any) *upstreamFailure {
	return &upstreamFailure{DidNotRun: true, Code: code, Detail: fmt.Sprintf(format, args...), status: status}
}

// abandon returns the failure of a request that started to run.
func abandon(status int, code, detail string) *upstreamFailure {
	return &upstreamFailure{Code: code, Detail: detail, status: status}
}

// execute runs a request to its end.
func (u *Upstream) execute(request UpstreamRequest) (upstreamReply, *upstreamFailure) {
	deadline := time.NewTimer(time.Duration(request.DeadlineMS) * time.Millisecond)
	defer deadline.Stop()
	started, failure, crashed := u.begin(request)
	resetAll(crashed)
	if failure != nil {
		return upstreamReply{}, failure
	}
	if started == nil {
		panic(http.ErrAbortHandler)
	}
	failure = u.serveTime(started, deadline)
	u.end(started, failure == nil)
	if failure != nil {
		return upstreamReply{}, failure
	}
	return u.result(started), nil
}

// begin admits a request. It returns the run, or the failure of a request
// that is refused, or neither and the connections to reset after a crash.
func (u *Upstream) begin(request UpstreamRequest) (*run, *upstreamFailure, []*conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	defer u.advance()
	now := time.Now()
	u.counters.Sends++
	u.sends.add(now)
	if u.listener == nil {
		return nil, nil, nil
	}
	started := &run{request: request, instance: u.instance, dead: u.dead, cancel: make(chan struct{})}
	failure := u.validate(started)
	if failure == nil {
		failure = u.admit(now)
	}
	if failure != nil {
		u.counters.Refused[failure.Code]++
		if failure.Code == "cold" && u.fullLoadWhileCold() {
			return nil, nil, u.crash()
		}
		return nil, failure, nil
	}
	u.launch(now, started)
	if u.faults.crashOn != nil && u.faults.crashOn(request) {
		return nil, nil, u.crash()
	}
	return started, nil, nil
}

// validate checks the request against what the upstream holds.
func (u *Upstream) validate(r *run) *upstreamFailure {
	if r.request.RequestID == "" {
		return refuse(http.StatusBadRequest, "invalid", "request_id is missing")
	}
	if r.request.DeadlineMS <= 0 {
		return refuse(http.StatusGatewayTimeout, "deadline", "no time is left")
	}
	if u.config.Kind == model.Lookup {
		if _, known := u.config.Operations[r.request.Operation]; !known {
			return refuse(http.StatusNotFound, "unknown_operation", "operation %q", r.request.Operation)
		}
		return nil
	}
	query, err := ParseQuery(r.request.Payload)
	if err != nil {
		return refuse(http.StatusBadRequest, "invalid", "%v", err)
	}
	r.query = query
	held, ok := u.versions[r.request.Version]
	if !ok || held.Epoch != r.request.Epoch {
		return refuse(http.StatusGone, "version_gone", "version %d of epoch %d is not held", r.request.Version, r.request.Epoch)
	}
	for _, s := range r.request.Shards {
		if !slices.Contains(held.Held, s) {
			return refuse(http.StatusGone, "version_gone", "shard %s is not held in version %d", s, held.Version)
		}
	}
	r.version = held
	return nil
}

// admit checks the request against the state and the load of the upstream.
func (u *Upstream) admit(now time.Time) *upstreamFailure {
	switch cold := u.isCold(now); {
	case u.faults.draining:
		return refuse(http.StatusServiceUnavailable, "draining", "upstream is draining")
	case u.faults.shed > 0:
		u.faults.shed--
		return refuse(http.StatusServiceUnavailable, "shed", "load is shed")
	case cold && len(u.running) >= u.config.Cold.Limit:
		u.counters.ColdExcess++
		u.coldExcess++
		return refuse(http.StatusServiceUnavailable, "cold", "upstream is cold")
	case len(u.running) >= u.config.Slots+u.config.Overcommit:
		return refuse(http.StatusServiceUnavailable, "busy", "all %d slots are in use", u.config.Slots)
	}
	return nil
}

// fullLoadWhileCold reports whether the sends that are running or were shed
// since the last completion are more than a cold upstream survives.
func (u *Upstream) fullLoadWhileCold() bool {
	return len(u.running)+u.coldExcess >= u.config.Cold.CrashAt
}

// launch starts a run. A non-idempotent operation counts as executed from
// here on, whatever becomes of the run.
func (u *Upstream) launch(now time.Time, r *run) {
	r.cold = u.isCold(now)
	r.took = u.drawTime(r.cold)
	u.running[r] = struct{}{}
	u.counters.Runs++
	u.runs.add(now)
	u.counters.MaxConcurrency = max(u.counters.MaxConcurrency, len(u.running))
	if u.config.Kind == model.Lookup && !u.config.Operations[r.request.Operation].Idempotent {
		u.executions.add(r.token())
	}
}

// drawTime draws the next service time.
func (u *Upstream) drawTime(cold bool) time.Duration {
	factor := math.Exp(u.config.Variation*u.rng.NormFloat64()) * u.faults.slow
	if u.rng.Float64() < u.config.TailChance {
		factor *= u.config.TailFactor
	}
	if cold {
		factor *= u.config.Cold.Factor
	}
	return time.Duration(factor * float64(u.config.ServiceTime))
}

// serveTime waits for the service time of a run, and while runs hang. A caller
// that goes away does not end the run.
func (u *Upstream) serveTime(started *run, deadline *time.Timer) *upstreamFailure {
	timer := time.NewTimer(started.took)
	defer timer.Stop()
	elapsed := false
	for {
		u.mu.Lock()
		hang := u.faults.hang
		u.mu.Unlock()
		if elapsed && hang == nil {
			return nil
		}
		select {
		case <-timer.C:
			elapsed = true
		case <-hangEnd(hang, elapsed):
		case <-started.cancel:
			return abandon(statusCanceled, "canceled", "cancelled by the caller")
		case <-deadline.C:
			return abandon(http.StatusGatewayTimeout, "deadline", "deadline passed during the run")
		case <-started.dead:
			panic(http.ErrAbortHandler)
		}
	}
}

// hangEnd returns the channel to wait on for the end of a hang, once the
// service time has elapsed.
func hangEnd(hang chan struct{}, elapsed bool) <-chan struct{} {
	if !elapsed {
		return nil
	}
	return hang
}

// end takes a run out of the upstream.
func (u *Upstream) end(r *run, completed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	defer u.advance()
	if r.instance != u.instance || u.listener == nil {
		return
	}
	delete(u.running, r)
	if !completed {
		return
	}
	u.counters.Completed++
	u.coldDone++
	u.coldExcess = 0
}

// result computes the reply of a completed run.
func (u *Upstream) result(r *run) upstreamReply {
	reply := upstreamReply{
		RequestID: r.request.RequestID,
		Instance:  r.instance,
		Shards:    []model.ShardID{},
		Rows:      []Result{},
	}
	if u.config.Kind == model.Lookup {
		reply.Result = u.lookup(r)
		return reply
	}
	reply.Version = r.version.Version
	reply.Epoch = r.version.Epoch
	reply.Shards = r.request.Shards
	reply.Rows = u.config.Data.Search(r.version, r.request.Shards, r.query, u.config.Order, r.request.Limit)
	reply.RowCount = len(reply.Rows)
	return reply
}

// lookupResult is the result of a lookup operation.
type lookupResult struct {
	Found     bool            `json:"found"`
	Record    json.RawMessage `json:"record,omitempty"`
	Token     string          `json:"token,omitempty"`
	Execution int             `json:"execution,omitempty"`
}

// lookup computes the result of a lookup operation: the record whose id the
// payload names and, for a non-idempotent one, the number of executions.
func (u *Upstream) lookup(r *run) lookupResult {
	var payload struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(r.request.Payload, &payload) // any payload is accepted
	record, found := u.config.Data.Record(payload.ID)
	result := lookupResult{Found: found, Record: record}
	if !u.config.Operations[r.request.Operation].Idempotent {
		result.Token = r.token()
		result.Execution = u.executions.Count(result.Token)
	}
	return result
}

// token returns what executions are counted by: the payload's field "token",
// or else the request id.
func (r *run) token() string {
	var payload struct {
		Token string `json:"token"`
	}
	if json.Unmarshal(r.request.Payload, &payload) == nil && payload.Token != "" {
		return payload.Token
	}
	return r.request.RequestID
}
