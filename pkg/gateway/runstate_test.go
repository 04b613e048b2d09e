package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

var (
	upstreamShed     = errs.Refuse(errs.UpstreamShed, "load is shed")
	staleView        = errs.Refuse(errs.StaleView, "view is old")
	versionGone      = errs.Refuse(errs.VersionGone, "version 1 is not held")
	upstreamLost     = errs.Ambiguous(errs.UpstreamLost, "connection reset")
	connectionSilent = errs.Ambiguous(errs.ConnectionSilent, "no response byte")
)

// Guards against a refusal with run state did_not_run although an earlier or a
// still running attempt of the same request may have run, and against one with
// may_have_run although every attempt was refused before it ran.
func TestRunStateOfRefusal(t *testing.T) {
	for _, c := range []struct {
		name   string
		warm   bool
		script func(n int, x *scriptedStream)
		want   errs.RunState
	}{
		{"every attempt shed", false, func(_ int, x *scriptedStream) { x.answer(upstreamShed) }, errs.DidNotRun},
		{"every owner stale", false, func(_ int, x *scriptedStream) { x.answer(staleView) }, errs.DidNotRun},
		{"lost, then shed", false, func(n int, x *scriptedStream) {
			if n == 1 {
				x.answer(upstreamLost)
				return
			}
			x.answer(upstreamShed)
		}, errs.MayHaveRun},
		{"silent, then shed", false, func(n int, x *scriptedStream) {
			if n == 1 {
				x.answer(connectionSilent)
				return
			}
			x.answer(upstreamShed)
		}, errs.MayHaveRun},
		{"peer lost, then shed", false, func(n int, x *scriptedStream) {
			if n == 1 {
				x.breakConnection()
				return
			}
			x.answer(upstreamShed)
		}, errs.MayHaveRun},
		{"hedge shed, primary unanswered", true, func(n int, x *scriptedStream) {
			if n > 1 {
				x.answer(upstreamShed)
			}
		}, errs.MayHaveRun},
		{"never answered", false, func(int, *scriptedStream) {}, errs.MayHaveRun},
	} {
		for kind, send := range map[string]func(*testTier) error{
			"search": func(s *testTier) error { _, err := s.search(); return err },
			"read":   func(s *testTier) error { _, err := s.read(); return err },
		} {
			t.Run(c.name+"/"+kind, func(t *testing.T) {
				runInVirtualTime(t, func(t *testing.T) {
					s := newTestTier(t, 1, nil)
					if c.warm {
						s.warmUp()
					}
					s.setScript(c.script)
					err := send(s)
					assert.Assert(t, err != nil)
					assert.Equal(t, errs.As(err).RunState, c.want, "%v", err)
				})
			})
		}
	}
}

// Guards against a refusal with run state did_not_run after a search was
// restarted on another snapshot, although it may have run on one of the two.
func TestRunStateAfterRestart(t *testing.T) {
	late := errs.Ambiguous(errs.DeadlineExceeded, "deadline passed during the run")
	for name, answers := range map[string][2][2]*errs.Refusal{
		"first may have run":  {{late, versionGone}, {versionGone, versionGone}},
		"second may have run": {{versionGone, versionGone}, {late, versionGone}},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				s := newTestTier(t, 2, nil)
				for id, r := range s.view.Replicas {
					r.Snapshots = append(r.Snapshots, model.Snapshot{Version: 2, Epoch: 1})
					s.view.Replicas[id] = r
				}
				s.setScript(func(_ int, x *scriptedStream) {
					b := batchOf(x)
					p := partialFor(b, failureOf(versionGone))
					for i := range p.Groups {
						group := int(p.Groups[i].Group[1] - '0')
						p.Groups[i].Failure = failureOf(answers[2-b.Snapshot.Version][group])
					}
					x.replies <- p
				})
				_, err := s.search()
				assert.Assert(t, err != nil)
				assert.Equal(t, errs.As(err).RunState, errs.MayHaveRun, "%v", err)
			})
		})
	}
}
