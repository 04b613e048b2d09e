package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Guards against a change of slots or connections that has no effect on replicas
// that are already owned, and against attempts that fail because of the change.
func TestChangedLimitsApplyToOwnedReplicas(t *testing.T) {
	runWithUpstream(t, 100*time.Millisecond, func(t *testing.T, ctx context.Context, u *fakeUpstream) {
		o := newOwner(ctx, "vm", u, 1, 64, true)
		load := func(round string) {
			var all []<-chan *wire.CallReply
			for i := range 8 {
				all = append(all, o.call(ctx, fmt.Sprintf("%s-%d", round, i), 30*time.Second))
			}
			synctest.Wait()
			if round == "changing" {
				o.view.change(func(v *model.View) {
					svc := *v.Config.Services["s"]
					svc.Slots, svc.Connections, svc.ColdWindow = 3, 30, 3
					v.Config = &model.Document{Services: map[model.ServiceID]*model.Service{"s": &svc}}
				})
			}
			for _, r := range all {
				assert.Assert(t, (<-r).Failure == nil)
			}
		}
		load("before")
		_, most := u.counts()
		assert.Equal(t, most, 1)
		load("changing")
		for i := range 40 { // the window grows with each round
			load(fmt.Sprint("after", i))
		}
		_, most = u.counts()
		assert.Equal(t, most, 3)
	})
}

// Guards against operations that are added to a service and get no baseline, because
// its limits stay as they are.
func TestChangedOperationsApplyToOwnedReplicas(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := targetSpec{service: "s", serviceLimits: serviceLimits{slots: 1, maxConns: 2, coldWindow: 1, queueLimit: 1}, operations: []string{"trip"}}
	target := newTarget(spec, now, nil)
	spec.operations = []string{"book", "trip"}
	target.configure(now, spec, nil)
	assert.DeepEqual(t, target.spec.operations, []string{"book", "trip"})
}
