package node

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/settings"
)

// Guards against listeners that stay open after a start that failed: the next start
// in the same process would find its addresses in use.
func TestFailedOpenLeavesNoListener(t *testing.T) {
	var addrs []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addrs = append(addrs, l.Addr().String())
		assert.NilError(t, l.Close())
	}
	s := &settings.Settings{LogLevel: "loud"}
	s.Listen.Callers.Addr, s.Listen.Peers.Addr, s.Listen.Operators.Addr = addrs[0], addrs[1], addrs[2]
	_, _, err := Open(s, io.Discard)
	assert.Assert(t, errs.Is(err, errs.SettingsInvalid), "%v", err)
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
	}
}
