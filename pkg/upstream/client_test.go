package upstream_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/upstream"
)

var bookings = fake.AssistanceBookings(7, 100)

// startUpstream starts an upstream with the bookings, of a lookup service by default.
func startUpstream(t interface {
	assert.TestingT
	Cleanup(func())
}, c fake.UpstreamConfig) *fake.Upstream {
	c.Data = bookings
	if c.Kind == "" {
		c.Kind = model.Lookup
		c.Operations = map[string]model.Operation{"book": {}}
	}
	u, err := fake.NewUpstream(c)
	assert.NilError(t, err)
	t.Cleanup(u.Close)
	return u
}

// connect returns a client of the upstream without spare connections.
func connect(t interface{ Cleanup(func()) }, u *fake.Upstream, maxConns int) *upstream.Client {
	c := upstream.New(upstream.Config{Replica: "r", Addr: u.Addr(), MaxConns: maxConns, SpareConns: -1})
	t.Cleanup(c.Close)
	return c
}

// book returns a request for the operation book, which may run only once.
func book(id string) upstream.RunRequest {
	return upstream.RunRequest{
		RequestID: id, Operation: "book", Deadline: time.Now().Add(time.Minute),
		Payload: []byte(`{"id":"MS-000001"}`),
	}
}

// assertRefusal checks the code and the run state of a refusal.
func assertRefusal(t assert.TestingT, err error, code errs.Code, state errs.RunState) {
	assert.Assert(t, errs.Is(err, code), "%v", err)
	assert.Equal(t, errs.As(err).RunState, state, "%v", err)
}

// running returns the condition for Await that n requests are running.
func running(n int) func(fake.UpstreamCounters, int) bool {
	return func(_ fake.UpstreamCounters, running int) bool { return running == n }
}

// Guards against fields of requests and replies that are lost or exchanged in their
// encoding, and against responses for another snapshot or other shards that pass
// CheckResponse.
func TestSearchRequestAndReply(t *testing.T) {
	shards := []model.ShardID{"s0", "s1"}
	version := fake.IndexVersion{Version: 4, Epoch: 2, Map: shards, Held: shards}
	order := []model.OrderKey{{Field: "urgency", Desc: true}, {Field: "id"}}
	u := startUpstream(t, fake.UpstreamConfig{Kind: model.Search, Versions: []fake.IndexVersion{version}, Order: order, Slots: 5})
	c := connect(t, u, 4)
	request := upstream.RunRequest{
		RequestID: "q", Operation: "search", Snapshot: model.Snapshot{Version: 4, Epoch: 2}, Shards: shards[:1],
		Deadline: time.Now().Add(time.Minute), Payload: []byte(`{"equals":{"status":"open"}}`), RowLimit: 3,
	}
	response, err := c.Run(t.Context(), request)
	assert.NilError(t, err)
	assert.NilError(t, upstream.CheckResponse(request, response))
	assert.Equal(t, response.Instance, u.Instance())
	wanted := bookings.Search(version, shards[:1], fake.Query{Equals: map[string]any{"status": "open"}}, order, 3)
	assert.Equal(t, len(response.Rows), 3)
	for i, row := range response.Rows {
		assert.DeepEqual(t, row.Key, wanted[i].Key)
		assert.Equal(t, string(row.Data), string(wanted[i].Data))
	}
	status, err := c.Status(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, status, upstream.Status{
		Instance: u.Instance(), State: "ready", Slots: 5, Snapshots: []model.Snapshot{{Version: 4, Epoch: 2}},
	})
	u.FailReplies(fake.ReplyOtherVersion, 1)
	response, err = c.Run(t.Context(), request)
	assert.NilError(t, err)
	assertRefusal(t, upstream.CheckResponse(request, response), errs.ResponseMismatch, errs.MayHaveRun)
	request.Shards = shards
	response.Snapshot = request.Snapshot
	assertRefusal(t, upstream.CheckResponse(request, response), errs.ResponseMismatch, errs.MayHaveRun)
	u.DropVersion(4)
	_, err = c.Run(t.Context(), request)
	assertRefusal(t, err, errs.VersionGone, errs.DidNotRun)
}

// Guards against refusals by the upstream that are reported with another code or run
// state.
func TestExplicitRefusals(t *testing.T) {
	u := startUpstream(t, fake.UpstreamConfig{Slots: 1, Cold: fake.ColdConfig{Runs: 1}, StartWarm: true})
	c := connect(t, u, 4)
	refused := func(id string, code errs.Code) {
		t.Helper()
		_, err := c.Run(t.Context(), book(id))
		assertRefusal(t, err, code, errs.DidNotRun)
	}
	u.Shed(1)
	refused("shed", errs.UpstreamShed)
	u.Drain(true)
	refused("draining", errs.UpstreamDraining)
	u.Drain(false)
	u.Hang(true)
	done := make(chan error, 1)
	go func() {
		_, err := c.Run(t.Context(), book("first"))
		done <- err
	}()
	assert.NilError(t, u.Await(t.Context(), running(1)))
	refused("busy", errs.UpstreamShed)
	u.GoCold()
	refused("cold", errs.UpstreamCold)
	u.Hang(false)
	assert.NilError(t, <-done)
	unknown := book("unknown")
	unknown.Operation = "other"
	_, err := c.Run(t.Context(), unknown)
	assertRefusal(t, err, errs.UnknownOperation, errs.DidNotRun)
	late := book("late")
	late.Deadline = time.Now()
	_, err = c.Run(t.Context(), late)
	assertRefusal(t, err, errs.DeadlineExceeded, errs.DidNotRun)
	assert.Equal(t, u.Executions().Total(), 1)
}

// Guards against an invalid reply that is accepted, that causes a second send or that is
// reported as not run, and against the use of its connection for another request.
func TestInvalidReplies(t *testing.T) {
	faults := map[fake.ReplyFault]errs.Code{
		fake.ReplyLost:         errs.UpstreamLost,
		fake.ReplyTruncated:    errs.ResponseMismatch,
		fake.ReplyMisaddressed: errs.ResponseMismatch,
		fake.ReplyMiscounted:   errs.ResponseMismatch,
		fake.ReplyOversized:    errs.ResponseMismatch,
		fake.ReplyMalformed:    errs.ResponseMismatch,
	}
	for fault, code := range faults {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			u := startUpstream(t, fake.UpstreamConfig{})
			c := connect(t, u, 2)
			_, err := c.Run(t.Context(), book("before"))
			assert.NilError(t, err)
			u.FailReplies(fault, 1)
			_, err = c.Run(t.Context(), book("broken"))
			assertRefusal(t, err, code, errs.MayHaveRun)
			assert.Equal(t, u.Executions().Count("broken"), 1)
			assert.NilError(t, u.Await(t.Context(), running(0)))
			// The next request may still get the connection that is being closed.
			for err != nil {
				_, err = c.Run(t.Context(), book("after"))
				assert.Assert(t, err == nil || errs.As(err).RunState == errs.DidNotRun, "%v", err)
			}
			assert.Equal(t, u.Executions().Count("after"), 1)
			assert.Equal(t, u.Counters().Connections, 2)
		})
	}
}

// Guards against a run that is reported as not run after a crash of the upstream, and
// against a refused connection after which the run state is MayHaveRun.
func TestCrashAndRefusedConnection(t *testing.T) {
	u := startUpstream(t, fake.UpstreamConfig{})
	c := connect(t, u, 2)
	u.CrashOn(func(r fake.UpstreamRequest) bool { return r.RequestID == "poison" })
	_, err := c.Run(t.Context(), book("poison"))
	assertRefusal(t, err, errs.UpstreamLost, errs.MayHaveRun)
	_, err = c.Run(t.Context(), book("refused"))
	assertRefusal(t, err, errs.UpstreamLost, errs.DidNotRun)
	_, err = c.Status(t.Context())
	assertRefusal(t, err, errs.UpstreamLost, errs.DidNotRun)
	assert.NilError(t, u.Restart())
	_, err = c.Run(t.Context(), book("again"))
	assert.NilError(t, err)
}

// Guards against requests that use other silent connections after one of them was found
// silent.
func TestOneSilentConnectionRetiresAll(t *testing.T) {
	u := startUpstream(t, fake.UpstreamConfig{Slots: 3})
	c := upstream.New(upstream.Config{Addr: u.Addr(), MaxConns: 6})
	defer c.Close()
	u.Hang(true)
	var open sync.WaitGroup
	for i := range 3 {
		open.Go(func() { _, _ = c.Run(t.Context(), book(fmt.Sprint("open", i))) })
	}
	assert.NilError(t, u.Await(t.Context(), running(3)))
	u.Hang(false)
	open.Wait()
	_, err := c.Status(t.Context())
	assert.NilError(t, err)
	u.Silence()
	silent := book("silent")
	silent.ProgressTimeout = 20 * time.Millisecond
	_, err = c.Run(t.Context(), silent)
	assertRefusal(t, err, errs.ConnectionSilent, errs.MayHaveRun)
	for i := range 3 {
		_, err = c.Run(t.Context(), book(fmt.Sprint("after", i)))
		assert.NilError(t, err)
	}
	_, err = c.Status(t.Context())
	assert.NilError(t, err)
}

// Guards against a canceled request whose connection is closed, and against the run
// state MayHaveRun for a request that was never sent.
func TestCancelKeepsTheConnection(t *testing.T) {
	u := startUpstream(t, fake.UpstreamConfig{})
	c := connect(t, u, 2)
	u.Hang(true)
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := c.Run(ctx, book("first"))
		first <- err
	}()
	assert.NilError(t, u.Await(t.Context(), running(1)))
	waiting, giveUp := context.WithCancel(t.Context())
	second := make(chan error, 1)
	go func() {
		_, err := c.Run(waiting, book("second"))
		second <- err
	}()
	giveUp()
	assertRefusal(t, <-second, errs.Canceled, errs.DidNotRun)
	cancel()
	assertRefusal(t, <-first, errs.Canceled, errs.MayHaveRun)
	c.Cancel("first")
	assert.NilError(t, u.Await(t.Context(), running(0)))
	u.Hang(false)
	_, err := c.Run(t.Context(), book("third"))
	assert.NilError(t, err)
	assert.Equal(t, u.Counters().Connections, 2)
	assert.Equal(t, u.Counters().Cancels, 1)
	assert.Equal(t, u.Counters().Sends, 2)
	u.Hang(true)
	late := book("late")
	late.Deadline = time.Now().Add(20 * time.Millisecond)
	_, err = c.Run(t.Context(), late)
	assert.Assert(t, errs.Is(err, errs.DeadlineExceeded), "%v", err)
}

// Guards against more connections than MaxConns, spare ones included.
func TestConnectionLimit(t *testing.T) {
	u := startUpstream(t, fake.UpstreamConfig{Slots: 100, MaxConns: 5})
	c := upstream.New(upstream.Config{Addr: u.Addr(), MaxConns: 5, SpareConns: 3})
	defer c.Close()
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			_, err := c.Run(t.Context(), book(fmt.Sprint(i)))
			assert.Check(t, err)
			if i%10 == 0 {
				_, err = c.Status(t.Context())
				assert.Check(t, err)
			}
		})
	}
	all.Wait()
	assert.Equal(t, u.Counters().RefusedConnections, 0)
	assert.Equal(t, u.Executions().Total(), 60)
}

// brokenConn is a connection whose writes fail after acceptedBytes once broken is set.
type brokenConn struct {
	net.Conn
	broken        *atomic.Bool
	acceptedBytes int // of each write
}

// Write implements net.Conn.
func (c brokenConn) Write(b []byte) (int, error) {
	if !c.broken.Load() {
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:min(c.acceptedBytes, len(b))])
	return n, syscall.EPIPE
}

// Guards against a wrong run state after a failed write, which is DidNotRun only if no
// byte of the request was sent, and against a second send of the request by net/http
// on another connection.
func TestFailedWrites(t *testing.T) {
	u := startUpstream(t, fake.UpstreamConfig{})
	for acceptedBytes, state := range map[int]errs.RunState{0: errs.DidNotRun, 1: errs.MayHaveRun} {
		var dials atomic.Int32
		var broken atomic.Bool
		c := upstream.New(upstream.Config{Addr: u.Addr(), SpareConns: -1, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dials.Add(1)
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return brokenConn{conn, &broken, acceptedBytes}, err
		}})
		_, err := c.Run(t.Context(), book(fmt.Sprint("whole", acceptedBytes)))
		assert.NilError(t, err)
		broken.Store(true)
		_, err = c.Run(t.Context(), book("broken"))
		assertRefusal(t, err, errs.UpstreamLost, state)
		assert.Equal(t, dials.Load(), int32(1))
		c.Close()
	}
	assert.Equal(t, u.Executions().Count("broken"), 0)
}

// Guards against the use of a did_not_run that is meant for another request, or that
// comes from a server that does not follow the protocol.
func TestFailuresOfOtherRequests(t *testing.T) {
	var reply any
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(reply)
	}))
	defer server.Close()
	c := upstream.New(upstream.Config{Addr: server.Listener.Addr().String(), SpareConns: -1})
	defer c.Close()
	reply = map[string]any{"did_not_run": true, "code": "shed"}
	_, err := c.Run(t.Context(), book("mine"))
	assertRefusal(t, err, errs.UpstreamFailed, errs.MayHaveRun)
	reply = map[string]any{"request_id": "mine", "did_not_run": true, "code": "new_code"}
	_, err = c.Run(t.Context(), book("mine"))
	assertRefusal(t, err, errs.UpstreamFailed, errs.DidNotRun)
	reply = map[string]any{"request_id": "other", "did_not_run": true, "code": "shed"}
	_, err = c.Run(t.Context(), book("mine"))
	assertRefusal(t, err, errs.ResponseMismatch, errs.MayHaveRun)
}
