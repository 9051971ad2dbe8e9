package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/edge/socket"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// LinkFault is a way in which a link fails.
type LinkFault int

// Faults of a link.
const (
	// NoFault forwards all data.
	NoFault LinkFault = iota
	// Slow delays each chunk.
	Slow
	// Reset resets all connections, also new ones.
	Reset
	// OneWay drops the data from the target.
	OneWay
	// Silent drops all data but keeps connections open.
	Silent
)

// slowDelay is the delay of each chunk on a slow link.
const slowDelay = 150 * time.Millisecond

// Proxy is a link on loopback with fault injection.
type Proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]bool
	// closed is true once the link is closed.
	closed bool
}

// NewProxy starts a link to the target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address that the link listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault of the link. Dropped data is not sent again, so a change after a
// fault that drops data resets the connections.
func (p *Proxy) Set(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.fault == Silent || p.fault == OneWay
	p.fault = f
	if f == Reset || lost {
		for c := range p.conns {
			standin.Reset(c)
		}
	}
}

// Close closes the link and resets all its connections: answers without length or chunks must
// not look complete.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		standin.Reset(c)
	}
	p.mu.Unlock()
	_ = p.group.Wait()
}

func (p *Proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() error {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener was closed.
		}
		if p.currentFault() == Reset {
			standin.Reset(c)
			continue
		}
		p.group.Go(func() error {
			p.forward(c)
			return nil
		})
	}
}

// forward connects to the target and forwards data in both directions.
func (p *Proxy) forward(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		standin.Reset(c)
		return
	}
	if !p.register(c, t) {
		standin.Reset(c)
		standin.Reset(t)
		return
	}
	narrow(c)
	narrow(t)
	var both errgroup.Group
	fromCaller, fromTarget := socket.NewConn(c), socket.NewConn(t)
	both.Go(func() error { return p.copy(t, c, fromCaller, Silent) })
	both.Go(func() error { return p.copy(c, t, fromTarget, Silent, OneWay) })
	_ = both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// linkWindow is the size in bytes of the buffers of a connection over a link. Those of the loopback
// link would take most bodies whole.
const linkWindow = 64 << 10

// narrow bounds the buffers of a connection.
func narrow(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(linkWindow)
		_ = t.SetWriteBuffer(linkWindow)
	}
}

// register adds both connections to those that a fault resets. It returns false if the
// link was reset or closed in the meantime.
func (p *Proxy) register(c, t net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
		return false
	}
	p.conns[c], p.conns[t] = true, true
	return true
}

// copy copies one direction, from src, which from reads. It drops the data while the link has one
// of the given faults. A connection that was lost on one side is reset on the other.
func (p *Proxy) copy(dst, src net.Conn, from io.Reader, lost ...LinkFault) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.drops(lost) {
			_, werr := dst.Write(buf[:n])
			if errors.Is(werr, syscall.EPIPE) {
				return nil // Its end is passed on by the other direction.
			}
			if werr != nil {
				standin.Reset(src)
				standin.Reset(dst)
				return nil //nolint:nilerr // Both sides were reset.
			}
		}
		if err != nil {
			// The end of the stream is dropped as well while data is.
			for errors.Is(err, io.EOF) && p.drops(lost) {
				time.Sleep(slowDelay)
			}
			if !errors.Is(err, io.EOF) {
				standin.Reset(dst)
			}
			_ = dst.Close()
			_ = src.Close()
			return nil
		}
	}
}

// drops waits for the delay of a slow link and reports whether to drop the chunk.
func (p *Proxy) drops(lost []LinkFault) bool {
	f := p.currentFault()
	if f == Slow {
		time.Sleep(slowDelay)
	}
	return slices.Contains(lost, f)
}
