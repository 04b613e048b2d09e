package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Guards against a refusal that says did_not_run because the last attempt did
// not run, although an earlier one may have.
func TestRunStateCoversAllAttempts(t *testing.T) {
	lost := errs.Ambiguous(errs.UpstreamLost, "reset")
	shed := errs.Refuse(errs.UpstreamShed, "busy")

	c := &call{}
	c.noteRunState(shed)
	assert.Equal(t, errs.As(c.refusal(shed)).RunState, errs.DidNotRun)
	c.noteRunState(lost)
	c.noteRunState(shed)
	assert.Equal(t, errs.As(c.refusal(shed)).RunState, errs.MayHaveRun)
	assert.Equal(t, shed.RunState, errs.DidNotRun, "the shared refusal was changed")

	st := &groupState{lastErr: shed}
	s := &search{order: []*groupState{st}}
	assert.Equal(t, errs.As(s.nothingCovered()).RunState, errs.DidNotRun)
	st.noteRunState(lost)
	assert.Equal(t, errs.As(s.nothingCovered()).RunState, errs.MayHaveRun)
	assert.Equal(t, errs.As(s.nothingCovered()).Code, errs.UpstreamShed)
}
