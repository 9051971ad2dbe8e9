// Package socket distinguishes a TCP connection that its peer has closed from one that was lost.
//
// A message without a length ends with its connection, so that it is complete only if the peer
// closed the connection. The kernel reports the loss of a connection (a reset, a timeout) once, to
// whichever call comes first. If that is a write, the next read returns an end of file, like after
// an orderly close. A Conn returns ErrLost in its place.
//
// # Usage
//
//	nc, err := dialer.DialContext(ctx, "tcp", address)
//	c := socket.NewConn(nc)
//	body, err := io.ReadAll(c)
//	if errors.Is(err, socket.ErrLost) { … } // body is a part of what the peer would have sent
package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrLost is returned by Read at the end of a connection that its peer has not closed.
var ErrLost = errors.New("the connection was lost")

// Conn is a TCP connection. Only one goroutine may read from it at a time.
type Conn struct {
	// The connection is no *net.TCPConn here, as its WriteTo would read past Read.
	net.Conn
	// received is the number of bytes that were read.
	received uint64

	mu sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
	end      End
}

// End says how a connection ended for its reader.
type End string

// Ends of a connection.
const (
	// Open means that the end was not read yet.
	Open End = "open"
	// Closed means that the peer closed the connection, or its direction of it.
	Closed End = "closed"
	// Lost means that the connection was reset or timed out, or that its host closed it.
	Lost End = "lost"
)

// NewConn returns a Conn that reads from and writes to nc, from which nothing may have been read.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc, end: Open} }

// Read implements io.Reader. It returns io.EOF only if the peer has closed the connection, or its
// direction of it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += uint64(n)
	switch {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
	case !errors.Is(err, io.EOF):
		c.setEnd(Lost)
	case c.closedByPeer():
		c.setEnd(Closed)
	default:
		c.setEnd(Lost)
		err = c.lossError()
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is.
}

// lossError returns ErrLost, with the error that the kernel gave to a write.
func (c *Conn) lossError() error {
	if err := c.WriteError(); err != nil {
		return errors.Mark(errors.Wrap(err, ErrLost.Error()), ErrLost)
	}
	return errors.WithStack(ErrLost)
}

// End returns how the connection ended for its reader.
func (c *Conn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

func (c *Conn) setEnd(end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = end
}

// WriteError returns the first error of a write; nil for none.
func (c *Conn) WriteError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.recordWriteError(err)
	}
	return n, err //nolint:wrapcheck // Callers look for errors of package net.
}

// CloseWrite closes the direction to the peer.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection has no directions to close")
	}
	return errors.WithStack(half.CloseWrite())
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	raw, err := sc.SyscallConn()
	return raw, errors.WithStack(err)
}

// recordWriteError keeps the first error of a write.
func (c *Conn) recordWriteError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
}
