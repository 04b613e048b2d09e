package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"gotest.tools/v3/assert"
)

// Guards against Close losing replies that wait, and against one write per
// frame when several wait.
func TestOutboxFlushesAllFramesInOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutbox(wire.ControlLane)
		for range 3 {
			assert.NilError(t, o.put(t.Context(), nil, 1, &wire.Probe{}))
		}
		o.finish()
		a, b := net.Pipe()
		go func() { assert.Check(t, o.write(a, nil) == nil) }()
		got := make([]byte, MaxIncoming)
		n, err := b.Read(got)
		assert.NilError(t, err)
		frame, _ := wire.Append(nil, 1, &wire.Probe{}, wire.MaxControlFrameBytes)
		assert.Equal(t, n, 3*len(frame))
		err = o.put(t.Context(), nil, 1, &wire.Probe{})
		assert.Equal(t, errs.As(err).RunState, errs.DidNotRun)
	})
}

// Guards against a request that waits for room being reported as sent.
func TestFullOutboxRefusesWithDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutbox(wire.ControlLane)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		for err == nil {
			err = o.put(ctx, nil, 1, &wire.Proof{MAC: make([]byte, 1<<10)})
		}
		assert.Assert(t, errs.Is(err, errs.QueueFull), "%v", err)
		assert.Equal(t, errs.As(err).RunState, errs.DidNotRun)
	})
}
