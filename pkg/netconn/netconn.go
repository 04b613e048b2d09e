// Package netconn configures TCP connections so that they fail when the peer
// stops responding without closing them.
package netconn

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which a
// connection fails.
const keepAliveProbes = 3

// Dialer returns a dialer that gives up a dial after dialTimeout, and whose
// connections fail when the peer has not responded for about peerTimeout: by
// TCP_USER_TIMEOUT while data is unacknowledged, by keep-alive probes while
// the connection is idle.
func Dialer(dialTimeout, peerTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive(peerTimeout),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = setUserTimeout(fd, peerTimeout)
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
}

// setUserTimeout sets the time after which a connection fails whose peer acknowledges no
// data, or takes none.
func setUserTimeout(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// SetUserTimeout sets the time after which the connection fails if its peer acknowledges no
// data or takes none, also after it was closed here.
func SetUserTimeout(c syscall.Conn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { setErr = setUserTimeout(fd, d) })
	return errors.CombineErrors(err, setErr)
}

// UnreadBytes returns how many bytes of a connection the system holds that the peer has not
// acknowledged, 0 for one that has ended.
func UnreadBytes(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unread = n
		}
	})
	if err != nil {
		return 0
	}
	return unread
}

// KeepAlive returns a keep-alive configuration with which an idle connection
// fails when the peer has not responded for about peerTimeout. The system
// counts in whole seconds, so shorter times become one second.
func KeepAlive(peerTimeout time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     max(time.Second, peerTimeout/2),
		Interval: max(time.Second, peerTimeout/(2*keepAliveProbes)),
		Count:    keepAliveProbes,
	}
}

// RoundTripTime returns the round-trip time that the system has measured on a
// connection: from the handshake, if nothing was sent yet. It reports false if
// the system does not tell.
func RoundTripTime(c net.Conn) (time.Duration, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil || info.Rtt == 0 {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}

// NothingToRead reports whether the socket is open and has no data to read. A
// connection that gives no access to its socket is taken to be in this state.
func NothingToRead(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		nothing = SocketHasNothingToRead(int(fd))
		return true
	})
	return err == nil && nothing
}

// SocketHasNothingToRead is NothingToRead for the descriptor of a socket.
func SocketHasNothingToRead(fd int) bool {
	var peeked [1]byte
	for {
		_, _, err := syscall.Recvfrom(fd, peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return errors.Is(err, syscall.EAGAIN)
		}
	}
}
