package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Guards against a deadline that passes in the admission queue and is reported as
// a cancellation by the caller, and against a slot that is not freed after a wait
// that ended early.
func TestEndOfWaitInAdmissionQueue(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(ctx context.Context) (context.Context, context.CancelFunc)
		want errs.Code
	}{
		"deadline": {func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, time.Second)
		}, errs.DeadlineExceeded},
		"cancelled": {func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Second, cancel)
			return ctx, cancel
		}, errs.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				s := newTestTier(t, 1, nil)
				s.view.Config.Services["lookup"].Concurrency = 1
				a := s.gateway.admission
				request := admission.Request{Service: "lookup", Class: model.Lookup, Deadline: time.Now().Add(time.Second)}
				release, err := a.admit(t.Context(), request)
				assert.NilError(t, err)
				ctx, cancel := c.end(t.Context())
				defer cancel()
				_, err = a.admit(ctx, request)
				assert.Assert(t, errs.Is(err, c.want), "%v", err)
				assert.Equal(t, errs.As(err).RunState, errs.DidNotRun)
				release()
				request.Deadline = time.Now().Add(time.Second)
				release, err = a.admit(t.Context(), request)
				assert.NilError(t, err)
				release()
			})
		})
	}
}
