package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a message kind without a constructor: a peer that receives it
// closes the connection, and every exchange on the connection fails.
func TestEveryKindIsRegistered(t *testing.T) {
	for k := KindHello; k <= lastKind; k++ {
		assert.Assert(t, registry[k] != nil, "kind %d", k)
		assert.Equal(t, registry[k]().Kind(), k)
	}
}
