package loadgen

import (
	"net"

	"github.com/cockroachdb/errors"
)

// refusedDial reports whether no connection could be opened, which proves
// that the request was not sent.
func refusedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
