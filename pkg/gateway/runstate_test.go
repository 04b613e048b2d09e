package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

var (
	shed  = errs.Refuse(errs.UpstreamShed, "load is shed")
	stale = errs.Refuse(errs.StaleView, "view is old")
	gone  = errs.Refuse(errs.VersionGone, "version 1 is not held")
	died  = errs.Ambiguous(errs.UpstreamLost, "connection reset")
	quiet = errs.Ambiguous(errs.ConnectionSilent, "no response byte")
)

// Guards against a refusal that says did_not_run although an earlier or a
// still running attempt of the same request may have run, and against one that
// says may_have_run although nothing left.
func TestRunStateOfRefusal(t *testing.T) {
	for _, c := range []struct {
		name   string
		warm   bool
		script func(n int, x *exchange)
		want   errs.RunState
	}{
		{"every attempt shed", false, func(_ int, x *exchange) { x.answer(shed) }, errs.DidNotRun},
		{"every owner stale", false, func(_ int, x *exchange) { x.answer(stale) }, errs.DidNotRun},
		{"lost, then shed", false, func(n int, x *exchange) {
			if n == 1 {
				x.answer(died)
				return
			}
			x.answer(shed)
		}, errs.MayHaveRun},
		{"silent, then shed", false, func(n int, x *exchange) {
			if n == 1 {
				x.answer(quiet)
				return
			}
			x.answer(shed)
		}, errs.MayHaveRun},
		{"peer lost, then shed", false, func(n int, x *exchange) {
			if n == 1 {
				x.lose()
				return
			}
			x.answer(shed)
		}, errs.MayHaveRun},
		{"hedge shed, primary unanswered", true, func(n int, x *exchange) {
			if n > 1 {
				x.answer(shed)
			}
		}, errs.MayHaveRun},
		{"never answered", false, func(int, *exchange) {}, errs.MayHaveRun},
	} {
		for kind, send := range map[string]func(*site) error{
			"search": func(s *site) error { _, err := s.search(); return err },
			"read":   func(s *site) error { _, err := s.read(); return err },
		} {
			t.Run(c.name+"/"+kind, func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					s := newSite(t, 1, nil)
					if c.warm {
						s.warm()
					}
					s.forget(c.script)
					err := send(s)
					assert.Assert(t, err != nil)
					assert.Equal(t, errs.As(err).RunState, c.want, "%v", err)
				})
			})
		}
	}
}

// Guards against a did_not_run after a restart on another snapshot, when the
// search may have run on either of the two.
func TestRunStateAfterRestart(t *testing.T) {
	late := errs.Ambiguous(errs.DeadlineExceeded, "deadline passed during the run")
	for name, answers := range map[string][2][2]*errs.Refusal{
		"first may have run":  {{late, gone}, {gone, gone}},
		"second may have run": {{gone, gone}, {late, gone}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, 2, nil)
				for id, r := range s.view.Replicas {
					r.Snapshots = append(r.Snapshots, model.Snapshot{Version: 2, Epoch: 1})
					s.view.Replicas[id] = r
				}
				s.forget(func(_ int, x *exchange) {
					b := items(x)
					p := partial(b, failureOf(gone))
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
