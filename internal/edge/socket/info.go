package socket

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the end of file that was read is the peer's.
func (c *Conn) closedByPeer() bool {
	info, err := c.info()
	switch {
	case err != nil:
		return c.writesEndedAsClosed()
	case isHalfClosed(info.State):
		return true
	case info.Bytes_acked == 0:
		return c.writesEndedAsClosed() // some kernels do not count bytes, nor the acknowledged SYN
	default:
		// The kernel counts the FIN of the peer as one more byte. That holds whatever happened
		// afterwards: a peer that has closed a connection resets it when it receives more.
		return info.Bytes_received > c.received
	}
}

// isHalfClosed reports whether the state is one in which the peer has closed the connection and
// nothing has reset it.
func isHalfClosed(state uint8) bool {
	switch state {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT:
		return true
	default:
		return false
	}
}

// writesEndedAsClosed reports whether no write has failed other than after the peer had closed the
// connection: a broken pipe then means that it reset the connection afterwards.
func (c *Conn) writesEndedAsClosed() bool {
	err := c.WriteError()
	return err == nil || errors.Is(err, syscall.EPIPE)
}

// info returns what the kernel knows of the connection.
func (c *Conn) info() (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var opt error
	err = raw.Control(func(fd uintptr) {
		info, opt = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Wrap(errors.CombineErrors(err, opt), "TCP_INFO")
}
