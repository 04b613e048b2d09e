package netconn

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a VM that does not know how far its callers are: the time of the
// handshake must be known before the first request is read.
func TestRoundTripTimeIsKnownAtAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	rtt, ok := RoundTripTime(accepted)
	assert.Assert(t, ok && rtt > 0 && rtt < time.Minute, "%s, %t", rtt, ok)
	pipe, other := net.Pipe()
	defer pipe.Close()
	defer other.Close()
	_, ok = RoundTripTime(pipe)
	assert.Assert(t, !ok)
}
