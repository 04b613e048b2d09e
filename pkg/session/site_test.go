package session

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/node"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/snapshot"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

const (
	// patience bounds every wait. It is far above the times of the design, so
	// that a slow machine does not change the verdict.
	patience   = 30 * time.Second
	peerSecret = "peer-secret-of-a-session"
	maxBody    = 512
)

// vm is one VM of a site with its addresses.
type vm struct {
	id                        model.VMID
	node                      *node.Node
	callers, peers, operators string
}

// site is a small site whose connections are recorded.
type site struct {
	t       *testing.T
	cluster *testcluster.Cluster
	rec     *recorder
	vms     map[model.VMID]*vm
	out     strings.Builder
}

// newSite starts upstreams and platform with one VM in each failure domain.
// Group g0 lives in domain a, all other upstreams in b, so that vm-a reaches
// them through vm-b.
func newSite(t *testing.T) *site {
	cl, err := testcluster.Start(t.Context(), testcluster.Config{
		Document: document(), Seed: 1, Records: 12,
		Profile: func(model.ServiceID, *model.Service) testcluster.Profile {
			return testcluster.Profile{ServiceTime: time.Millisecond}
		},
	})
	assert.NilError(t, err)
	t.Cleanup(cl.Close)
	s := &site{t: t, cluster: cl, rec: &recorder{names: map[string]string{}}, vms: map[model.VMID]*vm{}}
	s.rec.name(cl.Platform.URL()[len("http://"):], "platform")
	for id, u := range cl.Upstreams {
		s.rec.name(u.Addr(), string(id))
	}
	s.start("vm-a", "a")
	s.start("vm-b", "b")
	s.await("ready and agreed", s.agreed)
	return s
}

func document() *model.Document {
	search := &model.Service{
		Kind: model.Search, Slots: 2, Connections: 20, DeadlineMS: 20_000, MaxDeadlineMS: 30_000,
		ExtraLoad: 0.05, TargetQuantile: 0.99, ColdWindow: 1, QueueLimit: 64, Limit: 4, CanaryGroups: 1,
		Operations: map[string]model.Operation{"search": {Idempotent: true}},
		Order:      []model.OrderKey{{Field: "date"}, {Field: "id"}},
		ShardMaps:  []model.ShardMap{{Epoch: 1}},
	}
	for g, domain := range []model.DomainID{"a", "b", "b"} {
		search.ShardMaps[0].Groups = append(search.ShardMaps[0].Groups, model.Group{
			ID:       model.GroupID(fmt.Sprintf("g%d", g)),
			Shards:   []model.ShardID{model.ShardID(fmt.Sprintf("s%d", g))},
			Replicas: []model.Replica{{ID: model.ReplicaID(fmt.Sprintf("search-g%d", g)), Domain: domain}},
		})
	}
	lookup := &model.Service{
		Kind: model.Lookup, Slots: 2, Connections: 20, DeadlineMS: 20_000, MaxDeadlineMS: 30_000,
		ExtraLoad: 0.05, TargetQuantile: 0.99, ColdWindow: 1, QueueLimit: 64,
		Operations: map[string]model.Operation{"trip": {Idempotent: true}, "book": {}},
		ShardMaps: []model.ShardMap{{Epoch: 1, Groups: []model.Group{{ID: "all", Replicas: []model.Replica{
			{ID: "lookup-r0", Domain: "b"}, {ID: "lookup-r1", Domain: "b"},
		}}}}},
	}
	return &model.Document{
		Site:     "session",
		Domains:  map[model.DomainID]model.Domain{"a": {Region: "r"}, "b": {Region: "r"}},
		Services: map[model.ServiceID]*model.Service{"bookings": search, "trips": lookup},
		Tier: model.Tier{
			ClaimPartitions: 1, ClaimRetentionMS: 86_400_000, PoisonLimit: 2, PoisonBlockMS: 600_000,
			SameDomainUS: 100, SameRegionUS: 500, OtherRegionUS: 5000,
		},
	}
}

func (s *site) start(id model.VMID, domain model.DomainID) {
	var listeners []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(s.t, err)
		listeners = append(listeners, l)
	}
	v := &vm{
		id: id, callers: listeners[0].Addr().String(), peers: listeners[1].Addr().String(), operators: listeners[2].Addr().String(),
	}
	var seeds []model.VM
	for _, other := range s.vms {
		seeds = append(seeds, other.node.Self())
	}
	s.rec.name(v.peers, string(id))
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	peerDial := s.rec.dial(string(id), true)
	var err error
	v.node, err = node.New(node.Config{
		Self:            model.VM{ID: id, Addr: v.peers, Domain: domain, Region: "r"},
		SeedVMs:         seeds,
		CallersListener: listeners[0], PeersListener: listeners[1], OperatorsListener: listeners[2],
		Store: platform.NewClient(platform.Config{
			URL: s.cluster.Platform.URL(), Token: testcluster.PlatformToken, CallsPerSecond: 100, BurstCalls: 200,
			Dial: s.rec.dial(string(id), false),
		}),
		PeerSecret: []byte(peerSecret), OperatorToken: testcluster.OperatorToken, MaxBodyBytes: maxBody,
		PeerDial:     func(ctx context.Context, addr string) (net.Conn, error) { return peerDial(ctx, "tcp", addr) },
		UpstreamDial: s.rec.dial(string(id), false),
		Logger:       quiet,
	})
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = v.node.Run(ctx)
	}()
	s.t.Cleanup(func() {
		v.node.Abort()
		cancel()
		<-done
	})
	s.vms[id] = v
	s.cluster.Platform.SetVMs(append(seeds, v.node.Self()))
}

// agreed reports whether both VMs are ready and know the owner and the index
// versions of every replica.
func (s *site) agreed() bool {
	for _, v := range s.vms {
		if !v.node.Ready() {
			return false
		}
		view := v.node.View()
		if len(view.VMs) != 2 || len(view.Replicas) != len(s.cluster.Upstreams) {
			return false
		}
		if view.Owners["search-g0"] != "vm-a" || view.Owners["search-g1"] != "vm-b" {
			return false
		}
		if c, ok := snapshot.Choose(view.Config.Services["bookings"], view); !ok || c.CoveredGroups != 3 {
			return false
		}
	}
	return true
}

func (s *site) await(what string, done func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			s.t.Fatalf("gave up waiting: %s", what)
		case <-tick.C:
		}
	}
}

// views waits until a condition holds for the views of both VMs.
func (s *site) views(what string, holds func(*model.View) bool) {
	s.t.Helper()
	s.await(what, func() bool {
		for _, v := range s.vms {
			if !holds(v.node.View()) {
				return false
			}
		}
		return true
	})
}

// each applies a fault to every upstream whose name has the prefix.
func (s *site) each(prefix string, fault func(*fake.Upstream)) {
	for id, u := range s.cluster.Upstreams {
		if strings.HasPrefix(string(id), prefix) {
			fault(u)
		}
	}
}

// note writes what happens outside the tier.
func (s *site) note(format string, args ...any) { fmt.Fprintf(&s.out, "# "+format+"\n\n", args...) }

// say sends one request and writes it, its answer and all that followed.
func (s *site) say(to model.VMID, method, path, body string, headers ...string) string {
	s.t.Helper()
	addr := s.vms[to].callers
	if !strings.HasPrefix(path, "/v1/") {
		addr = s.vms[to].operators
	}
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+addr+path, bytes.NewBufferString(body))
	assert.NilError(s.t, err)
	fmt.Fprintf(&s.out, "caller -> %s %s %s\n", to, method, path)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
		fmt.Fprintf(&s.out, "  > %s: %s\n", headers[i], headers[i+1])
	}
	shown := body
	if len(shown) > 200 {
		shown = fmt.Sprintf("<%d bytes>", len(body))
	}
	fmt.Fprintf(&s.out, "  > %s\n", shown)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(s.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	text := normalise(strings.TrimSpace(string(answer)))
	fmt.Fprintf(&s.out, "  < %s %s\n", response.Status, text)
	// Runs that a caller did not wait for still belong to this step.
	s.await("nothing running", func() bool {
		for _, u := range s.cluster.Upstreams {
			if u.Running() > 0 {
				return false
			}
		}
		return true
	})
	for _, line := range s.rec.take() {
		s.out.WriteString(line)
	}
	s.out.WriteString("\n")
	return text
}
