package peer

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Guards against a crash of the VM when a peer sends on a stream after its
// end: a cancellation of single attempts can cross the end of its search.
func TestMessageAfterEndIsDropped(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	e := &exchange{in: make(chan wire.Message, 1), cancel: cancel}
	e.end(context.Canceled)
	e.push(&wire.CancelAttempts{})
	e.end(context.Canceled)
	_, open := <-e.in
	assert.Assert(t, !open)
	assert.ErrorIs(t, context.Cause(ctx), context.Canceled)
}
