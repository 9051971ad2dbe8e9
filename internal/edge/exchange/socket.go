package exchange

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ackTimeout is how long sent bytes may stay unacknowledged.
const ackTimeout = 1500 * time.Millisecond

// setAckTimeout makes the kernel close a connection whose peer does not acknowledge sent data for
// so long, or does not take any; 0 for minutes.
func setAckTimeout(raw syscall.RawConn, d time.Duration) error {
	var opt error
	err := raw.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(opt, "TCP_USER_TIMEOUT")
}

// setUserTimeout sets the timeout of a new connection. Otherwise it would hang for minutes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) }

// healthy reports whether an idle connection is open and has no data to read. Data on an
// idle connection belongs to no request.
func healthy(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && healthy
}
