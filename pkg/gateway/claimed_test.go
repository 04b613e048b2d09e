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

// Guards against a non-idempotent request that is sent again after an attempt
// that may have run, and against one that is not sent again although the attempt
// did not run.
func TestClaimedRequestIsSentAgainOnlyIfNothingRan(t *testing.T) {
	notOwner := errs.Refuse(errs.NotOwner, "moved")
	for name, c := range map[string]struct {
		first func(x *scriptedStream)
		sends int
		want  errs.Code // empty if the second send succeeds
	}{
		"peer lost":        {func(x *scriptedStream) { x.breakConnection() }, 1, errs.PeerLost},
		"upstream lost":    {func(x *scriptedStream) { x.answer(upstreamLost) }, 1, errs.UpstreamLost},
		"silent":           {func(x *scriptedStream) { x.answer(connectionSilent) }, 1, errs.ConnectionSilent},
		"foreign reply":    {func(x *scriptedStream) { x.replies <- &wire.CallReply{RequestID: "other"} }, 1, errs.ResponseMismatch},
		"unknown message":  {func(x *scriptedStream) { x.replies <- &wire.PoisonAck{} }, 1, errs.FrameMalformed},
		"shed":             {func(x *scriptedStream) { x.answer(upstreamShed) }, 2, ""},
		"moved":            {func(x *scriptedStream) { x.answer(notOwner) }, 2, ""},
		"refused by owner": {func(x *scriptedStream) { x.replies <- failureOf(staleView) }, 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				s := newTestTier(t, 1, func(n int, x *scriptedStream) {
					if n == 1 {
						c.first(x)
						return
					}
					x.answer(nil)
				})
				svc := s.view.Config.Services["lookup"]
				run := &lookupCall{
					g: s.gateway, id: "q", svc: svc, hedgePolicy: s.gateway.hedgePolicyFor("lookup", svc, 1), tried: map[model.ReplicaID]bool{},
					req: frontend.CallRequest{Service: "lookup", Operation: "read", Body: []byte(`{}`), Deadline: time.Now().Add(time.Second)},
				}
				res := run.sendClaimed(t.Context(), "token")
				assert.Equal(t, len(s.streams()), c.sends)
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

// Guards against an idempotent request that fails because its owner was lost
// although another replica could answer it.
func TestIdempotentRequestSurvivesLostOwner(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		s := newTestTier(t, 1, func(n int, x *scriptedStream) {
			if n == 1 {
				x.breakConnection()
				return
			}
			x.answer(nil)
		})
		a, err := s.search()
		assert.NilError(t, err)
		assert.Equal(t, a.Coverage.Covered, 1)
		s.setScript(s.script)
		_, err = s.read()
		assert.NilError(t, err)
	})
}
