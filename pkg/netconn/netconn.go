// Package netconn opens TCP connections that notice when the other end has
// gone without a word.
package netconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is the number of keep-alive probes without an answer that end a
// connection.
const probes = 3

// Dialer returns a dialer that gives up a dial after timeout, and whose
// connections fail when the peer shows no sign of life for about silence.
func Dialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(silence),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
}

// KeepAlive returns the probing of idle connections that finds a silent peer
// after about silence. The system counts in whole seconds.
func KeepAlive(silence time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     max(time.Second, silence/2),
		Interval: max(time.Second, silence/(2*probes)),
		Count:    probes,
	}
}
