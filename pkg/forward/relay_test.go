package forward

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// relayFleet is an entry VM in domain "own" and a VM in domain "far", each with
// replicas of all shards in its domain.
type relayFleet struct {
	*virtualTier
	far      *virtualTier
	peer     *relay.Peer
	own      []*virtualReplica
	remote   []*virtualReplica
	serveCtx context.Context
	// refused and silent break the way to the other VM.
	refused, silent bool
	dials           atomic.Int64
	// relayed counts the relayed requests, without probes, and head is that of the last.
	relayed atomic.Int64
	head    atomic.Value
}

const relayShards = 8

func relayServices() []string {
	var shards []string
	for i := range relayShards {
		shards = append(shards, fmt.Sprint("s", i))
	}
	return shards
}

// inRelayFleet runs f in virtual time. The replicas of domain "own" are unusable until
// f makes them usable.
func inRelayFleet(t *testing.T, minCoverage float64, f func(r *relayFleet)) {
	t.Helper()
	route := fanOutRoute(minCoverage, relayServices()...)
	route.Target, route.TopK = 100*time.Millisecond, 2*relayShards
	inVirtualTime(t, route, func(entry *virtualTier) {
		r := &relayFleet{virtualTier: entry, far: newVirtualTier(t, entry.view.Table)}
		for i, s := range route.Shards {
			own := entry.addReplica(s, "own-"+s, 20, always(5*time.Millisecond))
			own.Tracker.SetDown(true)
			remote := r.far.addReplica(s, "far-"+s, 0, always(5*time.Millisecond))
			own.records, remote.records = record(fmt.Sprint(i)), record(fmt.Sprint(i))
			r.own, r.remote = append(r.own, own), append(r.remote, remote)
			// The entry VM knows the remote replica, but has its own state of it.
			u := entry.addReplica(s, "far-"+s, 20, always(5*time.Millisecond))
			u.Member.Domain, u.Tracker.Local, u.records = "far", false, remote.records
			r.own = append(r.own, u)
		}
		r.peer = relay.NewPeer("vm-far", "far", "far:1", r.dial)
		entry.view.RelayPeers = []*relay.Peer{r.peer}
		ctx, cancel := context.WithCancel(entry.t.Context())
		r.serveCtx = ctx
		f(r)
		time.Sleep(time.Second)
		r.peer.Close()
		cancel()
		synctest.Wait()
		for _, p := range r.far.pools {
			p.Close()
		}
	})
}

// dial connects the entry VM with the other one.
func (r *relayFleet) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	r.dials.Add(1)
	if r.refused {
		return nil, context.DeadlineExceeded
	}
	client, server := net.Pipe()
	go func() {
		_, m, err := wire.NewReader(server, 1<<20).Next()
		if err != nil || r.silent {
			<-r.serveCtx.Done()
			_ = server.Close()
			return
		}
		relay.Serve(r.serveCtx, server, m.(*wire.RelayRequest), func(ctx context.Context, q *wire.RelayRequest, reply func(*wire.RelayReply) error) {
			if len(q.Services) > 0 {
				r.relayed.Add(1)
				r.head.Store(string(q.Head))
			}
			r.far.forwarder.ServeRelay(ctx, q, reply)
		}, logrus.New())
	}()
	return client, nil
}

// directSends returns the number of requests that the entry VM has sent to replicas
// itself.
func (r *relayFleet) directSends() int {
	n := 0
	for _, u := range r.own {
		n += int(u.requests.Load())
	}
	return n
}

func allRecords() string {
	var b strings.Builder
	for i := relayShards - 1; i >= 0; i-- {
		b.WriteString(record(fmt.Sprint(i)))
	}
	return b.String()
}

// Guards against a relayed query whose answer differs from that of direct sends, and
// against a connection for each query.
func TestRelayedQueryIsAnsweredAsADirectOne(t *testing.T) {
	inRelayFleet(t, 1, func(r *relayFleet) {
		for i := range 5 {
			id := fmt.Sprint("q", i)
			answer := r.send(nil, "/a/", id)
			assert.Equal(t, answer.Code, 200, answer.Body)
			assert.Equal(t, answer.Body.String(), allRecords())
			assert.Equal(t, answer.Header().Get("Missing"), "0")
			receipts := strings.Split(answer.Header().Get("Receipts"), ", ")
			for j, receipt := range receipts {
				assert.Equal(t, receipt, fmt.Sprintf("s%d.%s", j, id))
			}
			assert.Equal(t, len(receipts), relayShards)
			assert.Assert(t, answer.duration <= 6*time.Millisecond, "%s", answer.duration)
		}
		assert.Equal(t, r.dials.Load(), int64(1))
		assert.Equal(t, r.directSends(), 0)
		assert.Equal(t, r.relayed.Load(), int64(5))
	})
}

// Guards against a VM that cannot be reached, is silent or stops, and with which
// queries then fail or miss their target.
func TestQueriesAreAnsweredWithoutTheRelay(t *testing.T) {
	for name, breakRelay := range map[string]func(r *relayFleet){
		"unreachable": func(r *relayFleet) { r.refused = true },
		"silent":      func(r *relayFleet) { r.silent = true },
		"stopping":    func(r *relayFleet) { r.far.forwarder.SetCloseConnections(true) },
		"no view":     func(r *relayFleet) { r.far.forwarder.view.Store(nil) },
	} {
		inRelayFleet(t, 1, func(r *relayFleet) {
			breakRelay(r)
			for i := range 4 {
				answer := r.send(nil, "/a/", fmt.Sprint(name, i))
				assert.Equal(t, answer.Code, 200, "%s: %s", name, answer.Body)
				assert.Equal(t, answer.Body.String(), allRecords(), name)
				assert.Assert(t, answer.duration < 100*time.Millisecond, "%s: %s", name, answer.duration)
			}
			if name == "unreachable" || name == "silent" {
				assert.Assert(t, r.dials.Load() <= 2, "%s: %d dials; a VM that does not answer is probed, not tried with queries", name, r.dials.Load())
			}
		})
	}
}

// Guards against a slow replica behind a relay that holds up the answer, and against
// records that are merged twice when its hedge and its relayed answer both arrive.
func TestSlowReplicaBehindARelayIsHedged(t *testing.T) {
	for _, slow := range []time.Duration{60 * time.Millisecond, 70 * time.Millisecond, time.Second} {
		inRelayFleet(t, 1, func(r *relayFleet) {
			for _, own := range r.own {
				if own.Tracker.Local {
					own.Tracker.SetDown(false)
					own.Tracker.Local = false // so that the relay is preferred
					own.Member.Domain = "third"
				}
			}
			r.remote[3].work = always(slow)
			r.own[6].work = always(12 * time.Millisecond)
			answer := r.send(nil, "/a/", "q")
			assert.Equal(t, answer.Code, 200, answer.Body)
			assert.Equal(t, answer.Body.String(), allRecords())
			assert.Assert(t, answer.duration < 90*time.Millisecond, "%s", answer.duration)
			assert.Equal(t, r.directSends(), 1)
		})
	}
}

// Guards against a shard that a relayed replica has refused and that is not asked
// elsewhere at once.
func TestRefusalBehindARelayIsRetriedAtOnce(t *testing.T) {
	inRelayFleet(t, 1, func(r *relayFleet) {
		for _, own := range r.own {
			if own.Tracker.Local {
				own.Tracker.SetDown(false)
				own.Tracker.Local = false
				own.Member.Domain = "third"
			}
		}
		r.remote[0].refuse = func(string) bool { return true }
		answer := r.send(nil, "/a/", "q")
		assert.Equal(t, answer.Code, 200, answer.Body)
		assert.Equal(t, answer.Body.String(), allRecords())
		assert.Assert(t, answer.duration <= 12*time.Millisecond, "%s", answer.duration)
		// What the other VM has reported counts for the next choice of a replica.
		assert.Assert(t, r.own[1].Tracker.FailureRate(time.Now()) > 0)
	})
}

// Guards against replicas that go on with the work of a caller that has left.
func TestCallerThatLeavesCancelsRelayedSends(t *testing.T) {
	inRelayFleet(t, 1, func(r *relayFleet) {
		for _, u := range r.remote {
			u.work = always(400 * time.Millisecond)
		}
		ctx, cancel := context.WithCancel(r.t.Context())
		request := httptest.NewRequestWithContext(ctx, "GET", "http://h.example/a/", nil)
		request.Header.Set("Id", "q")
		request.Header.Set("Left", "5000")
		done := make(chan struct{})
		go func() { r.forwarder.ServeHTTP(httptest.NewRecorder(), request); close(done) }()
		time.Sleep(20 * time.Millisecond)
		cancel()
		<-done
		time.Sleep(500 * time.Millisecond)
		canceled := int64(0)
		for _, u := range r.remote {
			canceled += u.canceled.Load()
			assert.Equal(t, u.requests.Load(), int64(1))
		}
		assert.Equal(t, canceled, int64(relayShards))
	})
}

// Guards against outcomes that another VM reports twice, or of shards that it was not
// asked for.
func TestInvalidRelayRepliesAreIgnored(t *testing.T) {
	inRelayFleet(t, 1, func(r *relayFleet) {
		q := &query{forwarder: r.forwarder, view: r.view, route: r.view.Table.Routes[0], start: time.Now(), deadline: time.Now().Add(time.Second)}
		s := &shard{service: "s0", openSendCount: 1, attempts: q.route.Attempts}
		q.shards = []*shard{s}
		g := &relayGroup{peer: r.peer, shards: []*shard{s}, upstreams: []*Upstream{r.own[1].Upstream}}
		reply := &wire.RelayReply{Records: []byte(record("x")), Answered: []wire.RelayAnswer{{Service: 0, Receipt: "a"}, {Service: 0, Receipt: "b"}, {Service: -1}, {Service: 7}}}
		q.handleRelayOutcome(&relayOutcome{group: g, reply: reply})
		q.handleRelayOutcome(&relayOutcome{group: g, reply: &wire.RelayReply{Done: true, Records: []byte(record("y")), Answered: []wire.RelayAnswer{{Service: 0}}}})
		assert.Equal(t, s.openSendCount, 0)
		assert.Equal(t, len(q.relayedRecords), 1)
		assert.Equal(t, s.reply.Header.Get("Receipt"), "a")
	})
}

func virtualPool() *exchange.Pool {
	return exchange.NewPool(func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }, "", 1)
}

// planCase builds shards with one replica in each of the named domains.
func planCase(domainsOfShard ...string) []*shard {
	var shards []*shard
	for i, domains := range domainsOfShard {
		rs := &ReplicaSet{Service: fmt.Sprint("s", i)}
		for _, d := range strings.Fields(domains) {
			rs.Upstreams = append(rs.Upstreams, &Upstream{
				Member:  &discovery.Member{Replica: discovery.Replica{ID: fmt.Sprint(i, d), Domain: d}},
				Tracker: replica.NewTracker(d == "own", 4), Pool: virtualPool(),
			})
		}
		shards = append(shards, &shard{service: rs.Service, replicas: rs})
	}
	return shards
}

// Guards against relays for few shards, for shards with a replica at hand, through a
// VM that has failed or in a domain whose replica is bad, and against shards that are
// left out or sent twice.
func TestPlanRelays(t *testing.T) {
	now := time.Unix(1000, 0)
	peer := func(domain string) *relay.Peer { return relay.NewPeer("vm-"+domain, domain, "", nil) }
	failed := peer("b")
	failed.Close()
	slow := planCase(slices.Repeat([]string{"a b"}, 8)...)
	slow[0].replicas.Upstreams[0].Tracker.Begin(now)
	slow[0].replicas.Upstreams[0].Tracker.End(now, now.Add(-time.Second), replica.Failed)
	for name, c := range map[string]struct {
		shards []*shard
		peers  []*relay.Peer
		want   map[string]int
		direct int
	}{
		"own replicas":     {planCase(slices.Repeat([]string{"own a b"}, 20)...), []*relay.Peer{peer("a"), peer("b")}, map[string]int{}, 20},
		"too few":          {planCase(slices.Repeat([]string{"a b"}, minRelayShards-1)...), []*relay.Peer{peer("a"), peer("b")}, map[string]int{}, minRelayShards - 1},
		"one domain":       {planCase(slices.Repeat([]string{"a"}, 10)...), []*relay.Peer{peer("a"), peer("b")}, map[string]int{"a": 10}, 0},
		"failed VM":        {planCase(slices.Repeat([]string{"b"}, 10)...), []*relay.Peer{peer("a"), failed}, map[string]int{}, 10},
		"next VM":          {planCase(slices.Repeat([]string{"b"}, 10)...), []*relay.Peer{failed, peer("b")}, map[string]int{"b": 10}, 0},
		"no VM":            {planCase(slices.Repeat([]string{"a b"}, 10)...), nil, map[string]int{}, 10},
		"failing replica":  {slow, []*relay.Peer{peer("a")}, map[string]int{"a": 7}, 1},
		"mixed with own":   {append(planCase(slices.Repeat([]string{"own a"}, 10)...), planCase(slices.Repeat([]string{"a b"}, 7)...)...), []*relay.Peer{peer("a")}, map[string]int{"a": 7}, 10},
		"without replicas": {append(planCase(""), &shard{service: "none"}), []*relay.Peer{peer("a")}, map[string]int{}, 2},
	} {
		for first := range 3 {
			groups, direct := planRelays(now, 10*time.Millisecond, c.shards, c.peers, first)
			got := map[string]int{}
			for _, g := range groups {
				got[g.peer.Domain] += len(g.shards)
				for i, u := range g.upstreams {
					assert.Equal(t, u.Member.Domain, g.peer.Domain)
					assert.Assert(t, slices.Contains(g.shards[i].replicas.Upstreams, u))
				}
			}
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, len(direct), c.direct, name)
		}
	}
}

// Guards against replicas of one domain that get most of the relayed requests.
func TestRelaysSpreadOverDomains(t *testing.T) {
	now := time.Unix(1000, 0)
	shards := planCase(slices.Repeat([]string{"a b c"}, 40)...)
	var peers []*relay.Peer
	for _, d := range []string{"a", "b", "c"} {
		peers = append(peers, relay.NewPeer("vm-"+d, d, "", nil))
	}
	got := map[string]int{}
	for range 300 {
		groups, _ := planRelays(now, 10*time.Millisecond, shards, peers, int(randomFraction()*float64(len(peers))))
		for _, g := range groups {
			got[g.peer.Domain] += len(g.shards)
		}
	}
	for _, d := range []string{"a", "b", "c"} {
		assert.Assert(t, got[d] > 300*40/6 && got[d] < 300*40/2, "%v", got)
	}
}

// Guards against a request that is relayed by a VM that does not know yet that it
// crashes replicas, to one that does.
func TestRelayedRequestThatCrashesReplicasIsRefused(t *testing.T) {
	inRelayFleet(t, 0.5, func(r *relayFleet) {
		request := httptest.NewRequest("GET", "http://h.example/a/x", nil)
		fp := requestAttempt(request.Method, targetOf(request), r.view.Table.Routes[0], nil, callerAddr(request.RemoteAddr), nil, "").Fingerprint
		for _, id := range []string{"x", "y", "z"} {
			r.far.forwarder.ledger.RecordLoss(time.Now(), "", id, []uint64{fp})
		}
		answer := r.send(nil, "/a/x", "1")
		assert.Equal(t, answer.Code, 503)
		assert.Equal(t, r.relayed.Load(), int64(1))
		for _, u := range append(r.own, r.remote...) {
			assert.Equal(t, u.requests.Load(), int64(0), u.Member.ID)
		}
	})
}

// Guards against attempts relayed by VMs of an older version, which name only the request
// ID, that all count as one.
func TestRelayedAttemptOfOlderVersionIsIdentified(t *testing.T) {
	older := relayedAttempt(&wire.RelayRequest{RequestID: "a", Fingerprint: 7, Exact: 70}, time.Unix(1, 0))
	assert.Equal(t, older, RequestAttempt{Fingerprint: 7, Exact: 70, ID: "a", RequestID: "a", StartedAt: time.Unix(1, 0), FanOut: true})
	newer := relayedAttempt(&wire.RelayRequest{RequestID: "a", Attempt: "1f", Fingerprint: 7, Exact: 70}, time.Unix(1, 0))
	assert.Equal(t, newer, RequestAttempt{Fingerprint: 7, Exact: 70, ID: "1f", RequestID: "a", StartedAt: time.Unix(1, 0), FanOut: true})
}
