package exchange

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// silentAfter is how long sent bytes may go unacknowledged.
const silentAfter = 1500 * time.Millisecond

// abandonSilent makes the kernel give up a connection whose peer does not
// acknowledge what was sent. Otherwise it would hang for minutes.
func abandonSilent(_, _ string, raw syscall.RawConn) error {
	var opt error
	err := raw.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(opt, "TCP_USER_TIMEOUT")
}

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes on it belong to no request.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
