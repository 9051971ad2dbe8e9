package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/edge/socket"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// A reset of the target reached the other side of the link as an orderly end, so that a part of an
// answer without length was the whole one.
func TestProxyPassesOnReset(t *testing.T) {
	const (
		parallel    = 8
		connections = 50
		part        = "the first part"
	)
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed.
			}
			group.Go(func() error {
				_, err := io.WriteString(c, part)
				time.Sleep(time.Millisecond)
				standin.Reset(c)
				return err
			})
		}
	})
	p, err := NewProxy(l.Addr().String())
	is.NoErr(err)
	defer p.Close()
	var callers errgroup.Group
	for range parallel {
		callers.Go(func() error {
			for range connections {
				if err := callReset(p.Address()); err != nil {
					return err
				}
			}
			return nil
		})
	}
	is.NoErr(callers.Wait())
	is.NoErr(l.Close())
	is.NoErr(group.Wait())
}

// callReset sends pieces over a link to a target that resets its connection after it has sent
// something. It returns an error if the connection ends in good order.
func callReset(address string) error {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return nil // The reset came before the dialler looked.
	}
	c := socket.NewConn(nc)
	defer func() { _ = c.Close() }()
	var writer errgroup.Group
	writer.Go(func() error {
		piece := make([]byte, 100)
		for {
			if _, err := c.Write(piece); err != nil {
				return nil //nolint:nilerr // The connection has ended.
			}
		}
	})
	_, err = io.ReadAll(c)
	_ = c.Close()
	_ = writer.Wait()
	if err == nil {
		return errors.New("a reset looks like an orderly end")
	}
	return nil
}
