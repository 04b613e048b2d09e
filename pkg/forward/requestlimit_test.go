package forward

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// limitedReplica is a replica that several VMs use and that names a request limit for
// a while.
type limitedReplica struct {
	perSecond  float64
	from, till time.Time

	mu       sync.Mutex
	arrivals []arrival
	// toldAt holds when each VM first got an answer with the limit.
	toldAt map[int]time.Time
}

type arrival struct {
	at time.Time
	vm int
}

func (l *limitedReplica) limitFor(vm int) string {
	now := time.Now()
	if now.Before(l.from) || !now.Before(l.till) {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.toldAt[vm].IsZero() {
		l.toldAt[vm] = now
	}
	return strconv.FormatFloat(l.perSecond, 'f', -1, 64)
}

func (l *limitedReplica) arrived(vm int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival{time.Now(), vm})
}

const (
	// The bounds of a request limit: within limitWindow, a replica may get
	// limitFactor times of what the limit allows and limitSlack more from the VMs
	// that have known it for limitNotice.
	limitWindow = 4 * time.Second
	limitNotice = 500 * time.Millisecond
	limitFactor = 1.5
	limitSlack  = 5
)

// worstExcess returns by how many requests the replica got more than is allowed in
// its worst window after the given time, and the number in that window.
func (l *limitedReplica) worstExcess(after time.Time) (excess float64, inWindow int) {
	var counted []time.Time
	for _, a := range l.arrivals {
		told := l.toldAt[a.vm]
		if !told.IsZero() && a.at.Sub(told) >= limitNotice && !a.at.Before(after) && a.at.Before(l.till) {
			counted = append(counted, a.at)
		}
	}
	allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
	excess = -allowed
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) >= limitWindow {
			first++
		}
		if n := i - first + 1; float64(n)-allowed > excess {
			excess, inWindow = float64(n)-allowed, n
		}
	}
	return excess, inWindow
}

// limitedFleet is a number of VMs in front of the same replicas of one service, the
// first of which names a request limit.
type limitedFleet struct {
	tiers   []*virtualTier
	limited *limitedReplica
}

// inLimitedFleet runs f in virtual time. free is the number of replicas without a limit.
func inLimitedFleet(t *testing.T, vms, free int, perSecond float64, f func(fleet *limitedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		table, err := routes.NewTable(7, routes.Limits{}, []*routes.Route{singleRoute(true)}, nil)
		assert.NilError(t, err)
		now := time.Now()
		fleet := &limitedFleet{limited: &limitedReplica{perSecond: perSecond, from: now.Add(time.Second), till: now.Add(13 * time.Second), toldAt: map[int]time.Time{}}}
		for vm := range vms {
			tier := newVirtualTier(t, table)
			tier.view.VMs = vms
			r := tier.addReplica("s", "limited", 2, always(5*time.Millisecond))
			r.requestLimit = func() string { return fleet.limited.limitFor(vm) }
			r.arrived = func() { fleet.limited.arrived(vm) }
			r.Tracker.SetVMs(vms, vm)
			for i := range free {
				tier.addReplica("s", fmt.Sprint("free", i), 2, always(5*time.Millisecond))
			}
			fleet.tiers = append(fleet.tiers, tier)
		}
		f(fleet)
		time.Sleep(10 * unneededSendGrace)
		for _, tier := range fleet.tiers {
			for _, p := range tier.pools {
				p.Close()
			}
		}
		synctest.Wait()
	})
}

// load sends perSecond requests a second until the given time, half of them through
// the first VM, and returns the answers.
func (f *limitedFleet) load(perSecond int, until time.Time) []virtualAnswer {
	random := rand.New(rand.NewPCG(1, uint64(len(f.tiers))))
	var (
		mu      sync.Mutex
		answers []virtualAnswer
		pending sync.WaitGroup
	)
	for i := 0; time.Now().Before(until); i++ {
		vm := 0
		if random.IntN(2) == 0 {
			vm = random.IntN(len(f.tiers))
		}
		pending.Go(func() {
			answer := f.tiers[vm].send(nil, "/p/", fmt.Sprint("q", i))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
	}
	pending.Wait()
	return answers
}

// Guards against VMs that together send a replica more than the request limit that it
// names, and against callers who get worse service than its other replicas allow.
func TestReplicaGetsNoMoreThanTheRequestLimitThatItNames(t *testing.T) {
	for _, vms := range []int{1, 5, 119} {
		for _, perSecond := range []float64{4, 20, 60} {
			inLimitedFleet(t, vms, 1, perSecond, func(fleet *limitedFleet) {
				limited := fleet.limited
				answers := fleet.load(200, limited.till)
				excess, n := limited.worstExcess(limited.from.Add(limitNotice))
				assert.Check(t, excess <= 0, "%d VMs, limit %g a second: %d requests in %s", vms, perSecond, n, limitWindow)
				for _, a := range answers {
					assert.Check(t, a.Code == 200 && a.duration < 100*time.Millisecond, "%d VMs: %d after %s", vms, a.Code, a.duration)
				}
			})
		}
	}
}

// Guards against requests that wait for a replica whose limit is used up, or are
// refused while it is not, and against refusals that do not tell when to come back.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	const perSecond = 30
	inLimitedFleet(t, 5, 0, perSecond, func(fleet *limitedFleet) {
		limited := fleet.limited
		time.Sleep(time.Until(limited.from))
		served := 0
		for _, a := range fleet.load(400, limited.till) {
			if a.Code == 200 {
				served++
				continue
			}
			assert.Equal(t, a.Code, 503)
			assert.Assert(t, a.duration < time.Millisecond, "refused after %s", a.duration)
			retryAfter, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, retryAfter > 0 && retryAfter <= 0.22, "%g s; each VM has a request every 208 to 219 ms", retryAfter)
		}
		excess, n := limited.worstExcess(limited.from.Add(limitNotice))
		assert.Check(t, excess <= 0, "%d requests in %s", n, limitWindow)
		seconds := limited.till.Sub(limited.from).Seconds()
		assert.Check(t, float64(served) > 0.7*perSecond*seconds, "%d served in %g s", served, seconds)
	})
}

// Guards against a VM that relays requests to a replica whose limit it has never been
// told, because only the VM that sends them has had an answer with it.
func TestRequestLimitIsKnownToAVMThatOnlyRelays(t *testing.T) {
	inRelayFleet(t, 1, func(r *relayFleet) {
		r.remote[2].requestLimit = func() string { return "7.5" }
		answer := r.send(nil, "/a/", "q")
		assert.Equal(t, answer.Code, 200, answer.Body)
		assert.Equal(t, r.directSends(), 0)
		for i, u := range r.own {
			want := replica.RequestLimit{}
			if !u.Tracker.Local && i/2 == 2 {
				want = replica.RequestLimit{PerSecond: 7.5, Named: true}
			}
			assert.Equal(t, u.Tracker.RequestLimit(), want, u.Member.ID)
		}
	})
}

// Guards against values that are no limit and stop or free a replica.
func TestInvalidRequestLimitsAreIgnored(t *testing.T) {
	inVirtualTime(t, singleRoute(true), func(v *virtualTier) {
		r := v.addReplica("s", "a", 0, always(time.Millisecond))
		for _, value := range []string{"12.5", "many", "-1", "NaN", "+Inf", "1e999"} {
			r.requestLimit = func() string { return value }
			time.Sleep(time.Second)
			assert.Equal(t, v.send(nil, "/p/", value).Code, 200, value)
			assert.Equal(t, r.Tracker.RequestLimit(), replica.RequestLimit{PerSecond: 12.5, Named: true}, value)
		}
	})
}
