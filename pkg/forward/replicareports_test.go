package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Guards against a VM that passes on what a replica says of itself, through another VM
// that answers for it, and then sends requests to that replica.
func TestReplicaIsHeardThroughAnotherVM(t *testing.T) {
	for name, c := range map[string]struct {
		header, value string
		status        int
		heard         func(u *Upstream) bool
	}{
		"leaving": {"Leaving", "1", 200, func(u *Upstream) bool { return u.Tracker.Leaving() }},
		"leaving, own failure": {"Leaving", "1", 503, func(u *Upstream) bool {
			return u.Tracker.Leaving()
		}},
		"pause": {"Retry-After", "30", 503, func(u *Upstream) bool {
			now := time.Now()
			return !u.Tracker.Wants(now.Add(25*time.Second)) && u.Tracker.Wants(now.Add(31*time.Second))
		}},
		"limit": {"Limit", "12.5", 200, func(u *Upstream) bool {
			return u.Tracker.RequestLimit() == replica.RequestLimit{PerSecond: 12.5, Named: true}
		}},
	} {
		for _, route := range []*routes.Route{singleRoute(false), singleRoute(true), fanOutRoute(0.5, "s", "t")} {
			for _, older := range []bool{false, true} {
				cutOff, other := newCutOffTier(t, route, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(c.header, c.value)
					failWith(c.status, record("a"))(w, r)
				})
				if route.FanOut() {
					other.addReplica(other.addService("t", 9), "r2", respondWith("t", record("b")))
					cutOff.addUpstream(cutOff.addService("t", 9), "r2", "127.0.0.1:1").Tracker.SetDown(true)
				}
				cutOff.addHelper(other).older = older
				_, header, _ := cutOff.send("GET", map[bool]string{false: "/p/x", true: "/a/x"}[route.FanOut()], "1", "")
				where := fmt.Sprint(name, " ", route.Name, " idempotent: ", route.Idempotent, " older: ", older)
				for field := range header {
					assert.Check(t, !strings.HasPrefix(field, "Nutmeghitch"), "%s: %s", where, field)
				}
				if !route.FanOut() && name == "leaving" {
					assert.Check(t, header.Get("Leaving") == "1", where)
				}
				assert.Check(t, c.heard(cutOff.view.ReplicaSets["s"].Upstreams[0]) == !older, where)
				if route.FanOut() {
					assert.Check(t, cutOff.view.ReplicaSets["t"].Upstreams[0].Tracker.Told() == replica.Told{}, where)
				}
			}
		}
	}
}

// Guards against reports of an earlier process of a replica, of an unknown one, and ones
// that cannot be read.
func TestReplicaReportsBelongToOneProcess(t *testing.T) {
	tier := newTestTier(t, singleRoute(true))
	u := tier.addUpstream(tier.addService("s", 0), "r1", "127.0.0.1:1")
	u.Member.Born = 7
	set := tier.view.ReplicaSets["s"]
	now := time.Now()
	for _, report := range []wire.ReplicaReport{{Replica: "r1", Born: 6, Leaving: true}, {Replica: "r2", Born: 7, Leaving: true}} {
		tier.forwarder.hearReport(now, set, report, "1")
		tier.forwarder.hearReport(now, nil, report, "1")
	}
	assert.Assert(t, !u.Tracker.Leaving())
	tier.forwarder.hearReport(now, set, wire.ReplicaReport{Replica: "r1", Born: 7, Pause: time.Hour, Limited: true, PerSecond: -1}, "1")
	assert.Assert(t, !u.Tracker.Wants(now.Add(maxReplicaPause-time.Second)) && u.Tracker.Wants(now.Add(maxReplicaPause+time.Second)))
	assert.Assert(t, !u.Tracker.RequestLimit().Named)
	tier.forwarder.hearReport(now, set, wire.ReplicaReport{Replica: "r1", Born: 7, Leaving: true}, "1")
	assert.Assert(t, u.Tracker.Leaving())

	text, err := wire.EncodeReplicaReports([]wire.ReplicaReport{{Service: "s", Replica: "r1", Born: 7, Pause: time.Second}})
	assert.NilError(t, err)
	for _, invalid := range []string{"%", text[:len(text)-3], "AAAA"} {
		_, err := wire.DecodeReplicaReports(invalid)
		assert.Check(t, err != nil, invalid)
	}
	reports, err := wire.DecodeReplicaReports(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, reports, []wire.ReplicaReport{{Service: "s", Replica: "r1", Born: 7, Pause: time.Second}})
}
