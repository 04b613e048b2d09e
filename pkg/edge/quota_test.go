package edge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/quota"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// inCappedFleet runs f with five VMs in three failure domains and tenants with caps.
func inCappedFleet(t *testing.T, withoutCaps func(vm string) bool, f func(fleet *vmFleet, tenants []*routes.Tenant)) {
	t.Helper()
	inVMFleet(t, 0, func(fleet *vmFleet) {
		fleet.withoutCaps = withoutCaps
		fleet.domainOf = func(vm string) string { return "d" + string(vm[len(vm)-1]%3+'0') }
		var tenants []*routes.Tenant
		for i := range 10 {
			tenants = append(tenants, &routes.Tenant{Name: fmt.Sprint("t", i), RatePerSecond: 10, Burst: 5})
		}
		table := testTable(t, 2)
		assert.NilError(t, table.SetTenants(tenants))
		fleet.store.put(memConfigs, "main", table)
		for i := range 5 {
			fleet.start(fmt.Sprint("vm", i))
		}
		time.Sleep(8 * time.Second)
		f(fleet, tenants)
	})
}

// admit sends a request every gap for some seconds, and returns how many were admitted
// and the refusals.
func (f *vmFleet) admit(tenant *routes.Tenant, gap, d time.Duration, at func() *controllerService) (admitted int, refused []*errs.Refusal) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		if refusal := at().quota.Admit(f.ctx, tenant); refusal != nil {
			refused = append(refused, refusal)
		} else {
			admitted++
		}
	}
	return admitted, refused
}

// Guards against a cap that holds for each VM instead of all, against refusals of a tenant
// that is below its cap and sends all to one VM, and against refusals without the time at
// which a place is free.
func TestVMsKeepACapTogether(t *testing.T) {
	none := func(string) bool { return false }
	inCappedFleet(t, none, func(fleet *vmFleet, tenants []*routes.Tenant) {
		anyVM := func() *controllerService { return fleet.vms[rand.IntN(len(fleet.vms))] }
		for i, tenant := range tenants[:3] {
			admitted, refused := fleet.admit(tenant, 10*time.Millisecond, 10*time.Second, anyVM)
			allowed := 2 * (1.1*(5*tenant.RatePerSecond+tenant.Burst) + 20) // by the operators' bound on two windows
			assert.Check(t, float64(admitted) >= 10*tenant.RatePerSecond && float64(admitted) <= allowed, "%d admitted in 10 s, %.0f allowed", admitted, allowed)
			for _, r := range refused {
				assert.Check(t, r.Code == errs.QuotaExceeded && r.RunState == errs.DidNotRun && r.RetryAfter > 0 && r.RetryAfter <= 5*time.Second/20+maxQuotaSpread, "%v, %s", r, r.RetryAfter)
			}
			time.Sleep(2 * time.Second)
			_, refused = fleet.admit(tenant, 110*time.Millisecond, 10*time.Second, func() *controllerService { return fleet.vms[i] })
			assert.Check(t, len(refused) == 0, "%d refused", len(refused))
		}
	})
}

// Guards against tenants that are refused because their granting VM is of an older build,
// which closes the connection.
func TestTenantsOfVMsOfOlderBuildsAreServed(t *testing.T) {
	older := func(vm string) bool { return vm != "vm3" && vm != "vm4" }
	inCappedFleet(t, older, func(fleet *vmFleet, tenants []*routes.Tenant) {
		for _, tenant := range tenants {
			_, refused := fleet.admit(tenant, 150*time.Millisecond, 3*time.Second, func() *controllerService { return fleet.vms[3] })
			assert.Check(t, len(refused) == 0, "%s: %d refused", tenant.Name, len(refused))
		}
	})
}

// Guards against requests that wait for VMs that do not answer, against a VM that grants
// alone, and against one that stays without tokens when the others are back.
func TestVMWithoutOthersRefusesAtOnce(t *testing.T) {
	none := func(string) bool { return false }
	inCappedFleet(t, none, func(fleet *vmFleet, tenants []*routes.Tenant) {
		fleet.withoutPeers.Store("vm0")
		alone := fleet.vms[0]
		alone.quota.mu.Lock()
		for _, l := range alone.quota.links.byName {
			l.close()
		}
		clear(alone.quota.links.byName)
		alone.quota.mu.Unlock()
		time.Sleep(2 * time.Second)
		admitted := 0
		for _, tenant := range tenants {
			for range 10 {
				before := time.Now()
				refusal := alone.quota.Admit(fleet.ctx, tenant)
				assert.Check(t, time.Since(before) <= quotaWait, "%s", time.Since(before))
				if refusal == nil {
					admitted++
					continue
				}
				assert.Check(t, refusal.Code == errs.QuotaUnknown && refusal.RetryAfter > 0, "%v", refusal)
			}
		}
		assert.Check(t, admitted <= 2*len(tenants), "%d admitted", admitted)
		fleet.withoutPeers.Store("")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		_, refused := fleet.admit(tenants[0], 150*time.Millisecond, 3*time.Second, func() *controllerService { return alone })
		assert.Check(t, len(refused) == 0, "%d refused", len(refused))
	})
}

// BenchmarkQuotaAsk measures a request that another VM decides on, over loopback: the
// time, and with -cpuprofile the processor time of both sides.
func BenchmarkQuotaAsk(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	vms := map[string]discovery.VM{}
	for _, name := range []string{"a", "b"} {
		vms[name] = discovery.VM{Name: name, Domain: name, PeerAddr: listener.Addr().String()}
	}
	var services []*quotaService
	for _, name := range []string{"a", "b"} {
		s := newQuotaService(name, quota.Bounds{Overage: 0.1, Slack: 20}, log, tally.NoopScope)
		s.ctx, s.dial = b.Context(), (&net.Dialer{}).DialContext
		s.setVMs(time.Now(), vms)
		services = append(services, s)
	}
	go func() { _ = (&peerServer{quota: services[1], log: log}).run(b.Context(), listener) }() // ends with the benchmark
	d := quota.Decision{Ask: quota.Ask{Tenant: "t", Cap: quota.Cap{PerSecond: 1e6, Burst: 1e6}, Count: 1}, Ranked: []string{"b"}}
	var before, after syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	for b.Loop() {
		services[0].askRanked(b.Context(), d)
	}
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	b.ReportMetric(float64(after.Utime.Nano()+after.Stime.Nano()-before.Utime.Nano()-before.Stime.Nano())/1000/float64(b.N), "cpu-us/op")
}
