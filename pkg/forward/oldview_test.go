package forward

import (
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// slowBody is the body of a request. It arrives after a delay, and then calls arrived.
type slowBody struct {
	delay   time.Duration
	arrived func()
	read    bool
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.read {
		return 0, io.EOF
	}
	b.read = true
	time.Sleep(b.delay)
	b.arrived()
	return copy(p, "body"), nil
}

// post sends a request whose body arrives after a delay and returns the status.
func (v *virtualTier) post(path, id string, delay time.Duration, arrived func()) int {
	r := httptest.NewRequest("POST", "http://h.example"+path, &slowBody{delay: delay, arrived: arrived})
	r.ContentLength = 4
	r.Header.Set("Id", id)
	r.Header.Set("Left", "5000")
	w := httptest.NewRecorder()
	v.forwarder.ServeHTTP(w, r)
	return w.Code
}

// setReplicas replaces the view by one with the given replicas of service s alone.
func (v *virtualTier) setReplicas(replicas ...*virtualReplica) {
	next := *v.view
	rs := &ReplicaSet{Service: "s", Budget: v.view.ReplicaSets["s"].Budget}
	for _, r := range replicas {
		rs.Upstreams = append(rs.Upstreams, r.Upstream)
	}
	next.ReplicaSets = map[string]*ReplicaSet{"s": rs}
	v.view = &next
	v.forwarder.SetView(v.view)
}

// Guards against a request that is sent to a replica which drained, left, or whose domain
// was taken out of service while the body was still arriving.
func TestBodyThatTakesSecondsIsSentByTheViewInForce(t *testing.T) {
	inVirtualTime(t, singleRoute(false), func(v *virtualTier) {
		draining := v.addReplica("s", "draining", 0, always(time.Millisecond))
		other := v.addReplica("s", "other", 0, always(time.Millisecond))
		v.setReplicas(draining)
		assert.Equal(t, v.send(nil, "/p/x", "first").Code, 200) // it is the cheapest from now on
		for i := range 10 {
			v.setReplicas(draining, other)
			assert.Equal(t, v.post("/p/x", fmt.Sprint(i), 3500*time.Millisecond, func() { v.setReplicas(other) }), 200)
		}
		assert.Equal(t, draining.requests.Load(), int64(1))
		assert.Equal(t, other.requests.Load(), int64(10))

		// Nor to a service to which the route no longer leads.
		moved := singleRoute(false)
		moved.Services = []routes.Weighted{{Service: "moved", Weight: 1}}
		table, err := routes.NewTable(8, routes.Limits{}, []*routes.Route{moved}, nil)
		assert.NilError(t, err)
		target := v.addReplica("moved", "moved", 0, always(time.Millisecond))
		assert.Equal(t, v.post("/p/x", "m", 3500*time.Millisecond, func() {
			next := *v.view
			next.Table = table
			v.forwarder.SetView(&next)
		}), 200)
		assert.Equal(t, target.requests.Load(), int64(1))
		assert.Equal(t, other.requests.Load(), int64(10))
	})
}

// Guards against a hedge or a retry to a replica that was withdrawn after the first send,
// and against one that finds no replica although one was added since.
func TestLaterSendsUseTheViewInForce(t *testing.T) {
	inVirtualTime(t, singleRoute(true), func(v *virtualTier) {
		slow := v.addReplica("s", "slow", 9, always(4*time.Second))
		draining := v.addReplica("s", "draining", 9, always(time.Millisecond))
		added := v.addReplica("s", "added", 9, always(time.Millisecond))
		v.setReplicas(slow)
		go func() {
			time.Sleep(100 * time.Millisecond)
			v.setReplicas(slow, added)
		}()
		assert.Equal(t, v.send(nil, "/p/x", "1").Code, 200)
		assert.Equal(t, added.requests.Load(), int64(1))
		assert.Equal(t, draining.requests.Load(), int64(0))

		// The configuration no longer has the service: a request that began before may
		// use its replicas, but not the withdrawn ones.
		v.setReplicas(slow, draining)
		draining.Tracker.SetDown(true) // so that the first send goes to the slow one
		go func() {
			time.Sleep(100 * time.Millisecond)
			draining.Tracker.SetDown(false)
			draining.Tracker.Withdraw()
			next := *v.view
			next.ReplicaSets = map[string]*ReplicaSet{"t": {Service: "t", Budget: hedge.NewPolicy(hedge.Config{Groups: 1, ExtraLoad: 1, Burst: 9})}}
			v.forwarder.SetView(&next)
		}()
		assert.Equal(t, v.send(nil, "/p/x", "2").Code, 200)
		assert.Equal(t, draining.requests.Load(), int64(0))
	})
}

// Guards against a request that is written to a replica which was withdrawn while the
// request waited for a connection to it, or that has crashed replicas meanwhile.
func TestRequestIsCheckedAfterTheWaitForAConnection(t *testing.T) {
	inVirtualTime(t, singleRoute(false), func(v *virtualTier) {
		draining := v.addReplica("s", "draining", 0, always(time.Millisecond))
		other := v.addReplica("s", "other", 0, always(time.Millisecond))
		draining.dialTime = 3500 * time.Millisecond
		v.setReplicas(draining)
		go func() {
			time.Sleep(time.Second)
			draining.Tracker.Withdraw()
			v.setReplicas(other)
		}()
		assert.Equal(t, v.send(nil, "/p/x", "1").Code, 200)
		assert.Equal(t, draining.requests.Load(), int64(0))
		assert.Equal(t, other.requests.Load(), int64(1))

		slow := v.addReplica("s", "slow", 0, always(time.Millisecond))
		slow.dialTime = time.Second
		v.setReplicas(slow)
		attempt := requestAttempt("GET", routes.Target{Path: "/p/crash", URI: "/p/crash"}, v.view.Table.Routes[0], nil, "192.0.2.1", nil, "")
		go func() {
			time.Sleep(500 * time.Millisecond)
			for i := range 3 {
				v.forwarder.ledger.RecordLoss(time.Now(), "", fmt.Sprint(i), []uint64{attempt.Fingerprint})
			}
		}()
		assert.Equal(t, v.send(nil, "/p/crash", "2").Code, 503)
		assert.Equal(t, slow.requests.Load(), int64(0))
		assert.Assert(t, !slow.Tracker.Down() && slow.Tracker.FailureRate(time.Now()) == 0)
	})
}

// Guards against a replica that is handed more time than is left, because the request
// waited for a connection to it.
func TestDeadlineIsThatOfTheWrite(t *testing.T) {
	inVirtualTime(t, singleRoute(false), func(v *virtualTier) {
		r := v.addReplica("s", "r", 0, always(time.Millisecond))
		r.dialTime = 2 * time.Second
		assert.Equal(t, v.send(nil, "/p/x", "1").Code, 200)
		assert.Equal(t, r.leftMS.Load(), int64(3000))
		assert.Equal(t, v.post("/p/x", "2", 500*time.Millisecond, func() {}), 200)
		assert.Equal(t, r.leftMS.Load(), int64(4500))
	})
}

// Guards against a caller that keeps its connection to a VM that stops, because the stop
// began while its request was in progress.
func TestConnectionsAreClosedByTheStateAtTheAnswer(t *testing.T) {
	inVirtualTime(t, singleRoute(false), func(v *virtualTier) {
		v.addReplica("s", "r", 0, always(time.Second))
		go func() {
			time.Sleep(500 * time.Millisecond)
			v.forwarder.SetCloseConnections(true)
		}()
		assert.Equal(t, v.send(nil, "/p/x", "1").Header().Get("Connection"), "close")
		assert.Equal(t, v.send(nil, "/unknown", "2").Header().Get("Connection"), "close")
		v.forwarder.SetCloseConnections(false)
		assert.Equal(t, v.send(nil, "/p/x", "3").Header().Get("Connection"), "")
	})
}
