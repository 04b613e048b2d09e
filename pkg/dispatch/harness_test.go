package dispatch

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// pipeListener accepts in-memory connections, so that tests run in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// fakeUpstream is an upstream whose runs go on after the loss of their connection,
// until they are complete, canceled or past their deadline.
type fakeUpstream struct {
	pipeListener
	server *http.Server
	// work is the time that a run takes. ignoresCancel lets a canceled run go on.
	work          time.Duration
	ignoresCancel bool
	// refuse, if set, returns the code of a refusal instead of a run.
	refuse func() string
	// cold is the cold window that owners are configured with; 0 means all slots.
	cold float64

	mu                  sync.Mutex
	running, maxRunning int
	runs                int
	cancels             map[string]chan struct{}
}

func newUpstream(work time.Duration) *fakeUpstream {
	u := &fakeUpstream{work: work, cancels: map[string]chan struct{}{}}
	u.conns, u.closed = make(chan net.Conn), make(chan struct{})
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(u) }()
	return u
}

func (u *fakeUpstream) stop() {
	close(u.closed)
	_ = u.server.Close()
}

func (u *fakeUpstream) counts() (runs, most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs, u.maxRunning
}

func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID  string `json:"request_id"`
		DeadlineMS int64  `json:"deadline_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	switch r.URL.Path {
	case "/status":
		_, _ = io.WriteString(w, `{"instance":"i","state":"ready"}`)
	case "/cancel":
		u.mu.Lock()
		if c := u.cancels[body.RequestID]; c != nil && !u.ignoresCancel {
			delete(u.cancels, body.RequestID)
			close(c)
		}
		u.mu.Unlock()
		_, _ = io.WriteString(w, `{}`)
	default:
		u.run(w, body.RequestID, time.Duration(body.DeadlineMS)*time.Millisecond)
	}
}

func (u *fakeUpstream) run(w http.ResponseWriter, id string, deadline time.Duration) {
	if u.refuse != nil {
		if code := u.refuse(); code != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"request_id":"`+id+`","instance":"i","did_not_run":true,"code":"`+code+`"}`)
			return
		}
	}
	cancel := make(chan struct{})
	u.mu.Lock()
	u.runs++
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	u.cancels[id] = cancel
	u.mu.Unlock()
	ended := ""
	select {
	case <-time.After(u.work):
	case <-cancel:
		ended = "canceled"
	case <-time.After(deadline):
		ended = "deadline"
	}
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	if ended != "" {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"request_id":"`+id+`","instance":"i","did_not_run":false,"code":"`+ended+`"}`)
		return
	}
	_, _ = io.WriteString(w, `{"request_id":"`+id+`","instance":"i","row_count":0,"rows":[],"shards":[],"result":1}`)
}

// testView is the view of one VM. Its age is 0 unless frozen is set.
type testView struct {
	mu     sync.Mutex
	view   model.View
	frozen bool
}

func (v *testView) Current() *model.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.frozen {
		v.view.PublishedAt = time.Now()
	}
	c := v.view
	return &c
}

func (v *testView) change(f func(*model.View)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.view)
}

// owner is one VM that may own the replica "r".
type owner struct {
	*Dispatcher
	view     *testView
	mu       sync.Mutex
	released int
}

func (o *owner) releaseCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.released
}

// newOwner starts a dispatcher for self; owns tells whether it owns the replica.
func newOwner(ctx context.Context, self model.VMID, u *fakeUpstream, slots, queue int, owns bool) *owner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	svc := &model.Service{
		Kind: model.Lookup, Slots: slots, Connections: 40, ColdWindow: cmp.Or(u.cold, float64(slots)), QueueLimit: queue,
		ShardMaps: []model.ShardMap{{Epoch: 1, Groups: []model.Group{{ID: "g", Replicas: []model.Replica{{ID: "r", Addr: "upstream:1"}}}}}},
	}
	o := &owner{view: &testView{}}
	o.view.view = model.View{
		Config: &model.Document{Services: map[model.ServiceID]*model.Service{"s": svc}},
		Owners: map[model.ReplicaID]model.VMID{"r": "other"},
	}
	if owns {
		o.view.view.Owners["r"] = self
	}
	o.Dispatcher = New(Config{
		Self: self, View: o.view, Ledger: poison.NewLedger(poison.Config{}), Dial: u.dial, Log: log,
		ReportStatus:  func(model.ReplicaStatus) {},
		PublishPoison: func(context.Context, model.PoisonEntry) {},
		OnReleased: func(model.ReplicaID) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.released++
		},
	})
	go func() { _ = o.Run(ctx) }()
	synctest.Wait()
	return o
}

// setOwner changes the owner of the replica and its takeover in this VM's view.
func (o *owner) setOwner(id model.VMID, takeover model.Takeover) {
	o.view.change(func(v *model.View) {
		v.Owners = map[model.ReplicaID]model.VMID{"r": id}
		v.Takeovers = map[model.ReplicaID]model.Takeover{"r": takeover}
	})
}

// call starts a call and returns the channel that its reply arrives on.
func (o *owner) call(ctx context.Context, id string, deadline time.Duration) <-chan *wire.CallReply {
	out := make(chan *wire.CallReply, 1)
	go func() {
		out <- o.Call(ctx, &wire.CallRequest{RequestID: id, Service: "s", Operation: "op", Replica: "r", Remaining: deadline, Payload: []byte(`{}`)})
	}()
	return out
}

// runWithUpstream runs f in virtual time with one upstream, whose runs take work.
func runWithUpstream(t *testing.T, work time.Duration, f func(t *testing.T, ctx context.Context, u *fakeUpstream)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		u := newUpstream(work)
		defer func() {
			time.Sleep(time.Minute)
			cancel()
			synctest.Wait()
			u.stop()
			time.Sleep(2 * time.Minute)
		}()
		f(t, ctx, u)
	})
}
