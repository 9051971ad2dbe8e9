package socket

import (
	"bytes"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// testTimeout bounds every wait of a test.
const testTimeout = 10 * time.Second

// pair returns both ends of a connection. The receive buffer of the peer is small.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	nc, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	peer, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = nc.Close()
		_ = peer.Close()
	})
	is.NoErr(nc.SetDeadline(time.Now().Add(testTimeout)))
	return NewConn(nc), peer.(*net.TCPConn)
}

// reset makes the peer reset the connection, and waits until that has arrived.
func reset(t *testing.T, c *Conn, peer *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(peer.SetLinger(0))
	is.NoErr(peer.Close())
	awaitState(t, c, unix.BPF_TCP_CLOSE)
}

// awaitState waits until the kernel has the connection in the state.
func awaitState(t *testing.T, c *Conn, state uint8) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		info, err := c.info()
		if err == nil && info.State == state {
			return
		}
	}
	t.Fatalf("the connection is not in state %d", state)
}

// sent is what the peer sends before the connection ends.
const sent = "the beginning of an answer"

// A read after the kernel has reported a reset to a write returns an end of file, which must not
// be taken for the end that the peer meant.
func TestLossThatWriteWasToldOf(t *testing.T) {
	tests := []struct {
		name string
		end  func(is *is.I, c *Conn, peer *net.TCPConn)
		want End
	}{
		{"closed", func(is *is.I, _ *Conn, peer *net.TCPConn) { is.NoErr(peer.Close()) }, Closed},
		{"closed in one direction", func(is *is.I, _ *Conn, peer *net.TCPConn) { is.NoErr(peer.CloseWrite()) }, Closed},
		{"closed, then reset as more arrives", func(is *is.I, c *Conn, peer *net.TCPConn) {
			is.NoErr(peer.Close())
			_, err := c.Write([]byte("more"))
			is.NoErr(err)
			awaitState(t, c, unix.BPF_TCP_CLOSE)
		}, Closed},
		{"closed, then reset, which a write takes", func(is *is.I, c *Conn, peer *net.TCPConn) {
			is.NoErr(peer.Close())
			_, err := c.Write([]byte("more"))
			is.NoErr(err)
			awaitState(t, c, unix.BPF_TCP_CLOSE)
			_, err = c.Write([]byte("more"))
			is.True(errors.Is(err, syscall.EPIPE))
		}, Closed},
		{"reset", func(_ *is.I, c *Conn, peer *net.TCPConn) { reset(t, c, peer) }, Lost},
		{"reset, which a write takes", func(is *is.I, c *Conn, peer *net.TCPConn) {
			reset(t, c, peer)
			_, err := c.Write([]byte("more"))
			is.True(errors.Is(err, syscall.ECONNRESET))
		}, Lost},
		{"reset, which a write takes before others fail", func(is *is.I, c *Conn, peer *net.TCPConn) {
			reset(t, c, peer)
			_, err := c.Write([]byte("more"))
			is.True(errors.Is(err, syscall.ECONNRESET))
			_, err = c.Write([]byte("more"))
			is.True(errors.Is(err, syscall.EPIPE))
		}, Lost},
		{"reset by a peer that closes with bytes unread", func(is *is.I, c *Conn, peer *net.TCPConn) {
			_, err := c.Write([]byte("a body that is not read"))
			is.NoErr(err)
			_, err = peer.Read(make([]byte, 1))
			is.NoErr(err)
			is.NoErr(peer.Close())
			awaitState(t, c, unix.BPF_TCP_CLOSE)
			_, err = c.Write([]byte("more"))
			is.True(err != nil)
		}, Lost},
		{"reset, which a look at the connection takes", func(is *is.I, c *Conn, peer *net.TCPConn) {
			reset(t, c, peer)
			raw, err := c.SyscallConn()
			is.NoErr(err)
			is.NoErr(raw.Control(func(fd uintptr) {
				code, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
				is.NoErr(err)
				is.Equal(syscall.Errno(code), syscall.ECONNRESET)
			}))
		}, Lost},
		{"closed here", func(is *is.I, c *Conn, _ *net.TCPConn) { is.NoErr(c.Close()) }, Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, peer := pair(t)
			_, err := peer.Write([]byte(sent))
			is.NoErr(err)
			got := make([]byte, len(sent))
			_, err = io.ReadFull(c, got)
			is.NoErr(err)
			tt.end(is, c, peer)
			_, err = io.ReadAll(c)
			is.Equal(err == nil, tt.want == Closed) // only what the peer has closed ends in good order
			is.Equal(c.End(), tt.want)
		})
	}
}

// A connection that was lost before a byte was read has not ended either, whatever is known of its
// writes.
func TestLossBeforeFirstByte(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	reset(t, c, peer)
	_, err := c.Conn.Write([]byte("more")) // takes the error, which the Conn does not see
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, ErrLost))

	c, peer = pair(t)
	is.NoErr(peer.Close())
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// A peer that does not read, so that the kernel closes the connection while a write waits, has not
// ended what it sends.
func TestTimeoutThatWriteWasToldOf(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	raw, err := c.SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		is.NoErr(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 300))
	}))
	_, err = peer.Write([]byte(sent))
	is.NoErr(err)
	_, err = io.Copy(c, bytes.NewReader(make([]byte, 64<<20)))
	is.True(errors.Is(err, syscall.ETIMEDOUT))
	got, err := io.ReadAll(c)
	is.Equal(string(got), sent)
	is.True(err != nil)
	is.Equal(c.End(), Lost)
}

// A read that waits while the loss is reported to a write that waits beside it must not take it
// for an end either, whichever of them the kernel wakes first.
func TestLossBesideWrite(t *testing.T) {
	for range 50 {
		is := is.New(t)
		c, peer := pair(t)
		var group errgroup.Group
		group.Go(func() error {
			_, _ = io.Copy(c, bytes.NewReader(make([]byte, 64<<20)))
			return nil
		})
		_, err := peer.Write([]byte(sent))
		is.NoErr(err)
		got := make([]byte, len(sent))
		_, err = io.ReadFull(c, got)
		is.NoErr(err)
		is.NoErr(peer.SetLinger(0))
		is.NoErr(peer.Close())
		_, err = io.ReadAll(c)
		is.True(err != nil)
		is.Equal(c.End(), Lost)
		is.NoErr(group.Wait())
	}
}

// Where the kernel does not tell the state of a connection, the error of the first write does.
func TestLossWithoutKernelState(t *testing.T) {
	tests := []struct {
		name     string
		writeErr error
		want     End
	}{
		{"no write failed", nil, Closed},
		{"a write met a reset after the peer had closed", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, Closed},
		{"a write met a reset", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, Lost},
		{"a write timed out", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}, Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			c := NewConn(failingWriter{near, tt.writeErr})
			is.NoErr(far.Close())
			if tt.writeErr != nil {
				_, _ = c.Write([]byte("more"))
			}
			_, err := c.Read(make([]byte, 1))
			is.Equal(errors.Is(err, io.EOF), tt.want == Closed)
			is.Equal(c.End(), tt.want)
		})
	}
}

// failingWriter is a connection whose writes fail.
type failingWriter struct {
	net.Conn
	err error
}

func (w failingWriter) Write([]byte) (int, error) { return 0, w.err }
