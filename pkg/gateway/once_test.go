package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Guards against a request that must not be repeated and is sent again after
// an attempt that may have run, and against one that is given up although
// nothing ran.
func TestClaimedRequestIsSentAgainOnlyIfNothingRan(t *testing.T) {
	notOwner := errs.Refuse(errs.NotOwner, "moved")
	for name, c := range map[string]struct {
		first func(x *exchange)
		sends int
		want  errs.Code // empty if the second send succeeds
	}{
		"peer lost":        {func(x *exchange) { x.lose() }, 1, errs.PeerLost},
		"upstream lost":    {func(x *exchange) { x.answer(died) }, 1, errs.UpstreamLost},
		"silent":           {func(x *exchange) { x.answer(quiet) }, 1, errs.ConnectionSilent},
		"foreign reply":    {func(x *exchange) { x.replies <- &wire.CallReply{RequestID: "other"} }, 1, errs.ResponseMismatch},
		"unknown message":  {func(x *exchange) { x.replies <- &wire.PoisonAck{} }, 1, errs.FrameMalformed},
		"shed":             {func(x *exchange) { x.answer(shed) }, 2, ""},
		"moved":            {func(x *exchange) { x.answer(notOwner) }, 2, ""},
		"refused by owner": {func(x *exchange) { x.replies <- failureOf(stale) }, 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, 1, func(n int, x *exchange) {
					if n == 1 {
						c.first(x)
						return
					}
					x.answer(nil)
				})
				svc := s.view.Config.Services["lookup"]
				run := &call{
					g: s.gateway, id: "q", svc: svc, policy: s.gateway.policy("lookup", svc, 1), tried: map[model.ReplicaID]bool{},
					req: frontend.CallRequest{Service: "lookup", Operation: "read", Body: []byte(`{}`), Deadline: time.Now().Add(time.Second)},
				}
				res := run.sendClaimed(t.Context(), "token")
				assert.Equal(t, len(s.exchanges()), c.sends)
				if c.want == "" {
					assert.NilError(t, res.err)
					return
				}
				assert.Assert(t, errs.Is(res.err, c.want), "%v", res.err)
				assert.Equal(t, errs.As(res.err).RunState, errs.MayHaveRun)
			})
		})
	}
}

// Guards against a lost owner that costs an idempotent request its answer.
func TestLostPeerIsReplacedForIdempotentWork(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, 1, func(n int, x *exchange) {
			if n == 1 {
				x.lose()
				return
			}
			x.answer(nil)
		})
		a, err := s.search()
		assert.NilError(t, err)
		assert.Equal(t, a.Coverage.Covered, 1)
		s.forget(s.script)
		_, err = s.read()
		assert.NilError(t, err)
	})
}
