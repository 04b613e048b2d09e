package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/merge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

const (
	// probeInterval is the period of the balancer's readiness checks.
	probeInterval = 500 * time.Millisecond
	// probeTimeout fails a readiness check.
	probeTimeout = 500 * time.Millisecond
	// callerCount is the number of distinct callers in the load.
	callerCount = 40
	// replyGrace is how long a sender waits past the deadline it asked for.
	replyGrace = 500 * time.Millisecond
	// connectTries is the number of VMs that the balancer tries to connect to.
	connectTries = 3
)

// BrokenConnection is the code of a request whose connection broke.
const BrokenConnection = "broken_connection"

// Backend is one VM behind the balancer.
type Backend struct{ Callers, Operators string }

// Balancer stands in for the platform's balancer: it checks readiness at
// intervals and sends requests round robin to the VMs that were ready at the
// last check. It tries another VM only when a connection cannot be opened.
type Balancer struct {
	// Backends returns the VMs that the platform knows of.
	Backends func() []Backend

	client *http.Client
	probe  *http.Client

	mu    sync.Mutex
	ready []Backend
	next  int
}

// NewBalancer returns a Balancer; Run must be called.
func NewBalancer(backends func() []Backend) *Balancer {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second}
	return &Balancer{
		Backends: backends,
		client:   &http.Client{Transport: transport},
		probe:    &http.Client{Timeout: probeTimeout},
	}
}

// Run checks readiness until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		b.Check()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Check asks every VM whether it is ready.
func (b *Balancer) Check() {
	backends := b.Backends()
	ok := make([]bool, len(backends))
	var wg sync.WaitGroup
	for i, be := range backends {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok[i] = b.isReady(be)
		}()
	}
	wg.Wait()
	var ready []Backend
	for i, be := range backends {
		if ok[i] {
			ready = append(ready, be)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *Balancer) isReady(be Backend) bool {
	resp, err := b.probe.Get("http://" + be.Operators + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the next VM, or for a copy of a keyed request the one that the
// key and the number of the copy select.
func (b *Balancer) pick(s Sent, try int) (Backend, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := uint64(len(b.ready))
	if n == 0 {
		return Backend{}, false
	}
	if s.Key != "" {
		return b.ready[(xxhash.Sum64String(s.Key)+uint64(s.Copy+try-1))%n], true
	}
	b.next++
	return b.ready[uint64(b.next)%n], true
}

// Search implements Target.
func (b *Balancer) Search(ctx context.Context, s Sent) Result {
	body, err := json.Marshal(map[string]any{
		"operation": s.Request.Operation,
		"query":     json.RawMessage(s.Body),
	})
	if err != nil {
		return Result{Code: "encoding", Ran: err.Error()}
	}
	res := b.post(ctx, s, "/v1/search/"+string(s.Request.Service), body)
	if res.Code == "" {
		res.Search, err = decodeSearch(res.Body)
		if err != nil {
			return Result{Code: "malformed_answer", Ran: err.Error(), VM: res.VM}
		}
	}
	return res
}

// Call implements Target.
func (b *Balancer) Call(ctx context.Context, s Sent) Result {
	res := b.post(ctx, s, "/v1/call/"+string(s.Request.Service)+"/"+s.Request.Operation, s.Body)
	if res.Code != "" {
		return res
	}
	var answer struct {
		Result json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal(res.Body, &answer); err != nil {
		return Result{Code: "malformed_answer", Ran: err.Error(), VM: res.VM}
	}
	res.Body = answer.Result
	return res
}

func (b *Balancer) post(ctx context.Context, s Sent, path string, body []byte) Result {
	ctx, cancel := context.WithTimeout(ctx, s.Request.Deadline+replyGrace)
	defer cancel()
	for try := 1; ; try++ {
		be, ok := b.pick(s, try)
		if !ok {
			return Result{Code: "no_ready_vm", Ran: "did_not_run"}
		}
		resp, err := b.do(ctx, s, be, path, body)
		if err != nil {
			if refusedDial(err) && try < connectTries {
				continue
			}
			return Result{Code: BrokenConnection, Ran: "may_have_run", VM: be.Callers}
		}
		return readResult(resp, be)
	}
}

func (b *Balancer) do(ctx context.Context, s Sent, be Backend, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+be.Callers+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport never sends the request a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(frontend.HeaderDeadlineMS, strconv.FormatInt(s.Request.Deadline.Milliseconds(), 10))
	req.Header.Set(frontend.HeaderCaller, s.Caller)
	if s.Key != "" {
		req.Header.Set(frontend.HeaderIdempotencyKey, s.Key)
	}
	return b.client.Do(req)
}

func readResult(resp *http.Response, be Backend) Result {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Code: BrokenConnection, Ran: "may_have_run", VM: be.Callers}
	}
	if resp.StatusCode == http.StatusOK {
		return Result{Body: body, VM: be.Callers}
	}
	var refusal struct {
		Code     string `json:"code"`
		RunState string `json:"run_state"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Code == "" {
		return Result{Code: "malformed_refusal", Ran: resp.Status, VM: be.Callers}
	}
	return Result{Code: refusal.Code, Ran: refusal.RunState, VM: be.Callers}
}

func decodeSearch(body []byte) (*SearchAnswer, error) {
	var wire struct {
		Snapshot model.Snapshot    `json:"snapshot"`
		Coverage merge.Coverage    `json:"coverage"`
		Results  []json.RawMessage `json:"results"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, err
	}
	a := &SearchAnswer{
		Snapshot: wire.Snapshot,
		Covered:  wire.Coverage.Covered,
		Total:    wire.Coverage.Total,
		Missing:  make(map[string]int),
	}
	for _, m := range wire.Coverage.Missing {
		a.Missing[string(m.Reason)]++
		a.MissingShards = append(a.MissingShards, m.Shard)
	}
	for _, r := range wire.Results {
		a.Rows = append(a.Rows, r)
	}
	return a, nil
}

func callerName(rng *rand.Rand) string { return fmt.Sprintf("desk-%d", rng.IntN(callerCount)) }

func keyOf(r *Request, seed uint64, n int) string {
	return fmt.Sprintf("%s-%s-%d-%d", r.Service, r.Operation, seed, n)
}
