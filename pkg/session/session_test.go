package session

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

const (
	searchPath = "/v1/search/bookings"
	readPath   = "/v1/call/trips/trip"
	bookPath   = "/v1/call/trips/book"
	everything = `{"query":{},"limit":3}`
	booking    = `{"id":"MS-000001","token":"escort"}`
)

// Guards against answers that misreport coverage or run state, against
// messages that the protocol does not have, and against work that is sent
// although it must not be: each file is a whole session on all interfaces.
func TestSessions(t *testing.T) {
	for name, run := range map[string]func(*site){
		"search":          search,
		"missing_group":   missingGroup,
		"version_gone":    versionGone,
		"lookup":          lookup,
		"booking":         book,
		"platform_down":   platformDown,
		"outcome_unknown": outcomeUnknown,
		"did_not_run":     didNotRun,
		"poison":          poisonSearch,
		"bad_input":       badInput,
		"operators":       operators,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.rec.take()
			run(s)
			golden.Assert(t, s.out.String(), name+".golden")
		})
	}
}

func (s *site) post(to model.VMID, path, body string, headers ...string) string {
	s.t.Helper()
	return s.say(to, http.MethodPost, path, body, headers...)
}

func search(s *site) {
	s.post("vm-a", searchPath, everything, "Nutmeghitch-Request-Id", "first", "Nutmeghitch-Caller", "gate-7")
	s.note("The query has succeeded before, so it needs no canary.")
	s.post("vm-a", searchPath, everything, "Nutmeghitch-Request-Id", "second", "Nutmeghitch-Caller", "gate-7")
}

func missingGroup(s *site) {
	s.note("The only replica of group g2 crashes, and the tier has noticed.")
	s.cluster.Upstreams["search-g2"].Crash()
	s.views("replica down", func(v *model.View) bool { return v.Replicas["search-g2"].Down })
	s.rec.take()
	s.post("vm-a", searchPath, everything)
	s.note("It starts again.")
	_ = s.cluster.Upstreams["search-g2"].Restart()
	s.views("replica up", func(v *model.View) bool { return !v.Replicas["search-g2"].Down })
	s.rec.take()
	s.post("vm-a", searchPath, everything)
}

func versionGone(s *site) {
	s.note("Groups g0 and g1 also hold index version 2. Then all drop version 1, and their status has not told so yet.")
	next := uint64(2)
	m := &s.cluster.Document.Services["bookings"].ShardMaps[0]
	for i, id := range []model.ReplicaID{"search-g0", "search-g1"} {
		u := s.cluster.Upstreams[id]
		u.PublishVersion(testcluster.IndexVersion(next, m, &m.Groups[i]))
	}
	s.views("version 2 known", func(v *model.View) bool {
		return len(v.Replicas["search-g0"].Snapshots) == 2 && len(v.Replicas["search-g1"].Snapshots) == 2
	})
	s.each("search", func(u *fake.Upstream) { u.SetStatusLag(time.Hour) })
	s.each("search", func(u *fake.Upstream) { u.DropVersion(1) })
	s.rec.take()
	s.post("vm-a", searchPath, everything)
}

func lookup(s *site) {
	s.post("vm-a", readPath, `{"id":"MS-000001"}`)
	s.note("A record that does not exist is an answer of the upstream.")
	s.post("vm-a", readPath, `{"id":"none"}`)
}

func book(s *site) {
	s.post("vm-a", bookPath, booking, "Idempotency-Key", "k1")
	s.note("The caller did not see the answer and repeats through the other VM.")
	s.post("vm-b", bookPath, booking, "Idempotency-Key", "k1")
	s.note("The key comes again with another body.")
	s.post("vm-b", bookPath, `{"id":"MS-000002"}`, "Idempotency-Key", "k1")
}

func platformDown(s *site) {
	s.note("The platform is down.")
	s.cluster.Platform.SetDown(true)
	// net/http repeats a read if the platform closed the kept connection before
	// the VM noticed.
	s.await("kept connections closed", s.rec.closed("platform"))
	s.post("vm-a", bookPath, booking, "Idempotency-Key", "k1", "Nutmeghitch-Deadline-Ms", "300")
	s.post("vm-a", searchPath, everything)
}

func outcomeUnknown(s *site) {
	s.note("The upstream crashes while it runs the booking.")
	s.each("lookup", func(u *fake.Upstream) {
		u.CrashOn(func(r fake.UpstreamRequest) bool { return r.Operation == "book" })
	})
	s.post("vm-a", bookPath, booking, "Idempotency-Key", "k1")
	s.each("lookup", func(u *fake.Upstream) { u.CrashOn(nil); _ = u.Restart() })
	s.note("The upstream is back. A repeat does not run the booking again.")
	// A quarter of the deadline, if that is shorter than claim.OwnerTimeout, is how
	// long vm-b waits for vm-a before it reads the claim itself.
	s.post("vm-b", bookPath, booking, "Idempotency-Key", "k1", "Nutmeghitch-Deadline-Ms", "2000")
}

func didNotRun(s *site) {
	s.note("Both upstreams shed one request.")
	s.each("lookup", func(u *fake.Upstream) { u.Shed(1) })
	s.post("vm-a", bookPath, booking, "Idempotency-Key", "k1")
	s.note("Both upstreams shed everything.")
	s.each("lookup", func(u *fake.Upstream) { u.Shed(1000) })
	s.post("vm-a", bookPath, booking, "Idempotency-Key", "k2")
	s.note("They take work again, and the same key is free.")
	s.each("lookup", func(u *fake.Upstream) { u.Shed(0) })
	s.post("vm-b", bookPath, booking, "Idempotency-Key", "k2")
}

func poisonSearch(s *site) {
	s.note("This query crashes every upstream that runs it.")
	s.each("search", func(u *fake.Upstream) {
		u.CrashOn(func(r fake.UpstreamRequest) bool { return strings.Contains(string(r.Payload), "crash") })
	})
	for _, to := range []model.VMID{"vm-a", "vm-b", "vm-a"} {
		s.post(to, searchPath, `{"query":{"text":"crash"}}`)
	}
	s.note("The upstreams are back and answer innocent queries.")
	s.each("search", func(u *fake.Upstream) { _ = u.Restart() })
	s.await("covered", func() bool { return s.agreed() })
	s.rec.take()
	s.post("vm-b", searchPath, everything)
}

func operators(s *site) {
	paths := []string{"/healthz", "/readyz", "/metrics", "/admin/status", "/admin/poison"}
	for _, p := range paths {
		s.say("vm-a", http.MethodGet, p, "")
	}
	s.say("vm-a", http.MethodGet, "/admin/status", "", "Authorization", "Bearer wrong")
	for _, p := range paths {
		s.say("vm-a", http.MethodGet, p, "", "Authorization", "Bearer "+testcluster.OperatorToken)
	}
	s.say("vm-a", http.MethodDelete, "/admin/poison/12", "", "Authorization", "Bearer "+testcluster.OperatorToken)
	s.say("vm-a", http.MethodPost, "/admin/status", "", "Authorization", "Bearer "+testcluster.OperatorToken)
}
