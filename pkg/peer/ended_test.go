package peer

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Guards against a peer that ends a VM's process: messages that follow the end
// of an exchange whose handler still runs must be dropped.
func TestMessagesAfterTheEndAreDropped(t *testing.T) {
	handlers := func(b *Transport) {
		echo(b)
		b.Handle(wire.KindClaimRequest, func(_ context.Context, _ model.VMID, _ wire.Message, in <-chan wire.Message, _ func(wire.Message) error) {
			for range in {
			}
			<-b.ctx.Done() // goes on after the end of the exchange
		})
	}
	pair(t, "s", "s", handlers, func(t *testing.T, a *Transport, _ *pipeNet) {
		s, err := a.Open(t.Context(), target, &wire.ClaimRequest{})
		assert.NilError(t, err)
		synctest.Wait()
		s.Close()
		for range 3 {
			_ = s.Send(&wire.CancelAttempts{})
		}
		synctest.Wait()
		again, err := a.Open(t.Context(), target, &wire.CallRequest{RequestID: "again"})
		assert.NilError(t, err)
		_, err = again.Recv(t.Context())
		assert.NilError(t, err)
	})
}
