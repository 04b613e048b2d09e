package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// virtualTier is a forwarder in front of replicas in virtual time: connections are
// in memory, and only the waits that a test sets take time.
type virtualTier struct {
	t         *testing.T
	view      *View
	forwarder *Forwarder
	pools     []*exchange.Pool
}

// virtualReplica answers requests in virtual time.
type virtualReplica struct {
	*Upstream
	// dialTime is the time of opening a connection.
	dialTime time.Duration
	// work returns the time from a request to its answer.
	work func(requestID string) time.Duration
	// refuse answers that the request was not run; nil never does.
	refuse func(requestID string) bool
	// requestLimit returns the request limit that an answer names, "" for none; nil
	// never names one.
	requestLimit func() string
	// headers returns further header lines of an answer; nil returns none.
	headers func(requestID string) string
	// arrived is called when a request arrives, unless it is nil.
	arrived func()
	// records is the body of the answers.
	records string
	// accepted counts the connections, requests the requests, canceled those whose
	// connection was closed before they were answered.
	accepted, requests, canceled atomic.Int64
	// leftMS is the deadline header of the last request.
	leftMS atomic.Int64
}

// inVirtualTime runs f in virtual time with a forwarder for the route.
func inVirtualTime(t *testing.T, route *routes.Route, f func(tier *virtualTier)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		table, err := routes.NewTable(7, routes.Limits{}, []*routes.Route{route}, nil)
		assert.NilError(t, err)
		v := newVirtualTier(t, table)
		f(v)
		time.Sleep(10 * unneededSendGrace) // for the sends that are canceled after their query
		for _, p := range v.pools {
			p.Close()
		}
		synctest.Wait()
	})
}

func newVirtualTier(t *testing.T, table *routes.Table) *virtualTier {
	v := &virtualTier{t: t, view: &View{Table: table, ReplicaSets: map[string]*ReplicaSet{}, HedgeDelays: map[string]*hedge.Policy{}, VMs: 1}}
	v.forwarder = newTestForwarder(silentObserver{}, poison.NewLedger(poison.Config{LossLimit: 3}))
	return v
}

// silentObserver ignores what requests reveal of replicas.
type silentObserver struct{}

func (silentObserver) ReplicaUnreachable(*Upstream, *errs.Refusal)                            {}
func (silentObserver) ReplicaUnresponsive(*Upstream)                                          {}
func (silentObserver) ReplicaTold(*Upstream)                                                  {}
func (silentObserver) SuspectUnanswered(*Upstream, time.Time, RequestAttempt)                 {}
func (silentObserver) SuspectAnswered(RequestAttempt)                                         {}
func (silentObserver) SuspectSucceeded(RequestAttempt, []string)                              {}
func (silentObserver) RequestLimitChanged(*Upstream)                                          {}
func (silentObserver) RequestUnanswered(*Upstream, time.Time, RequestAttempt)                 {}
func (silentObserver) RequestInterrupted(*Upstream, time.Time, *errs.Refusal, RequestAttempt) {}

// addReplica adds a replica to a service, whose budget allows extraSends.
func (v *virtualTier) addReplica(service, id string, extraSends int, work func(requestID string) time.Duration) *virtualReplica {
	rs := v.view.ReplicaSets[service]
	if rs == nil {
		rs = &ReplicaSet{Service: service, Budget: hedge.NewPolicy(hedge.Config{Groups: 1, ExtraLoad: 0.2, Burst: max(1, extraSends)})}
		v.view.ReplicaSets[service] = rs
	}
	r := &virtualReplica{work: work, records: record("a")}
	pool := exchange.NewPool(r.dial, id, 8)
	v.pools = append(v.pools, pool)
	r.Upstream = &Upstream{
		Member:  &discovery.Member{Replica: discovery.Replica{ID: id, Service: service, Addr: id}},
		Tracker: replica.NewTracker(true, 8), Pool: pool,
	}
	rs.Upstreams = append(rs.Upstreams, r.Upstream)
	v.forwarder.SetView(v.view)
	return r
}

func (r *virtualReplica) dial(context.Context, string, string) (net.Conn, error) {
	time.Sleep(r.dialTime)
	client, server := net.Pipe()
	r.accepted.Add(1)
	go r.serve(server)
	return client, nil
}

func (r *virtualReplica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.requests.Add(1)
		if left, err := strconv.ParseInt(request.Header.Get("Left"), 10, 64); err == nil {
			r.leftMS.Store(left)
		}
		if r.arrived != nil {
			r.arrived()
		}
		id := request.Header.Get("Id")
		time.Sleep(r.work(id))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.Member.Service, id, len(r.records), r.records)
		if r.refuse != nil && r.refuse(id) {
			answer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		}
		if r.requestLimit != nil {
			if limit := r.requestLimit(); limit != "" {
				answer = strings.Replace(answer, "\r\n", "\r\nLimit: "+limit+"\r\n", 1)
			}
		}
		if r.headers != nil {
			answer = strings.Replace(answer, "\r\n", "\r\n"+r.headers(id), 1)
		}
		if _, err := io.WriteString(c, answer); err != nil {
			r.canceled.Add(1)
			return
		}
	}
}

// virtualAnswer is what a caller gets.
type virtualAnswer struct {
	*httptest.ResponseRecorder
	// duration is the time from the first packet that the caller sends to the last
	// one that it receives.
	duration time.Duration
}

// send sends a request on a caller's connection, nil for one whose round-trip time
// is not known.
func (v *virtualTier) send(conn *CallerConn, path, id string) virtualAnswer {
	start := time.Now()
	r := httptest.NewRequest("GET", "http://h.example"+path, nil)
	r.Header.Set("Id", id)
	r.Header.Set("Left", "5000")
	if conn != nil {
		if conn.requests.Load() == 0 {
			time.Sleep(conn.RoundTrip) // the handshake
		}
		time.Sleep(conn.RoundTrip / 2)
		r = r.WithContext(WithCallerConn(r.Context(), conn))
	}
	w := httptest.NewRecorder()
	v.forwarder.ServeHTTP(w, r)
	if conn != nil {
		time.Sleep(conn.RoundTrip / 2)
	}
	return virtualAnswer{w, time.Since(start)}
}

// always returns the same work time for each request.
func always(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}
