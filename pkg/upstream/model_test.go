package upstream_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/upstream"
)

// modelProgressTimeout is set on every request, since any of them may get a silent
// connection.
const modelProgressTimeout = 20 * time.Millisecond

// Runs requests under random faults of the upstream. Guards against a request that runs
// twice, one that ran although its run state is DidNotRun, and an answer without a run.
func TestRunStateModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := startUpstream(t, fake.UpstreamConfig{})
		c := upstream.New(upstream.Config{Addr: u.Addr(), MaxConns: 4})
		defer c.Close()
		n := 0
		var refused []string
		run := func(t *rapid.T, ctx context.Context) {
			n++
			request := book(fmt.Sprint(n))
			request.ProgressTimeout = modelProgressTimeout
			response, err := c.Run(ctx, request)
			ran := u.Executions().Count(request.RequestID)
			switch {
			case err == nil:
				assert.Equal(t, ran, 1)
				assert.Assert(t, len(response.Result) > 0)
			case errs.As(err).RunState == errs.DidNotRun:
				assert.Equal(t, ran, 0, "%v", err)
				refused = append(refused, request.RequestID)
			default:
				assert.Assert(t, ran <= 1, "%v", err)
			}
			assert.Assert(t, !errs.Is(err, errs.Internal), "%v", err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":  func(t *rapid.T) { run(t, t.Context()) },
			"shed": func(*rapid.T) { u.Shed(1) },
			"drain": func(t *rapid.T) {
				u.Drain(rapid.Bool().Draw(t, "on"))
			},
			"reply": func(t *rapid.T) {
				fault := rapid.IntRange(int(fake.ReplyTruncated), int(fake.ReplyLost)).Draw(t, "fault")
				u.FailReplies(fake.ReplyFault(fault), 1)
				run(t, t.Context())
			},
			"crash": func(*rapid.T) { u.Crash() },
			"restart": func(t *rapid.T) {
				assert.NilError(t, u.Restart())
			},
			"poison": func(t *rapid.T) {
				u.CrashOn(func(fake.UpstreamRequest) bool { return true })
				run(t, t.Context())
				u.CrashOn(nil)
			},
			"silence": func(t *rapid.T) {
				u.Silence()
				run(t, t.Context())
			},
			"cancel": func(t *rapid.T) {
				u.Hang(true)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rapid.IntRange(0, 2000).Draw(t, "us"))*time.Microsecond)
				defer cancel()
				run(t, ctx)
				u.Hang(false)
			},
		})
		for _, id := range refused {
			assert.Equal(t, u.Executions().Count(id), 0, "request %s ran after its refusal", id)
		}
		assert.Equal(t, len(u.Executions().Repeated()), 0)
	})
}
