package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// LinkFault is a way in which a link fails.
type LinkFault int

// Faults of a link.
const (
	// NoFault carries everything.
	NoFault LinkFault = iota
	// Slow delays each piece.
	Slow
	// Reset closes all connections and takes no new ones.
	Reset
	// OneWay loses what comes back.
	OneWay
	// Silent loses everything, and keeps connections open.
	Silent
)

// slowBy is the delay of each piece on a slow link.
const slowBy = 150 * time.Millisecond

// Proxy is a link on loopback that can be made to fail.
type Proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]bool
	// closed is true once the link has ended.
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

// Address returns where the link begins.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes how the link fails. What a link has lost stays lost, so connections
// through one that lost something are closed by the next change.
func (p *Proxy) Set(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.fault == Silent || p.fault == OneWay
	p.fault = f
	if f == Reset || lost {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Close ends the link.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.group.Wait()
}

func (p *Proxy) now() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() error {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener was closed.
		}
		if p.now() == Reset {
			reset(c)
			continue
		}
		p.group.Go(func() error {
			p.carry(c)
			return nil
		})
	}
}

// carry joins a connection to a new one to the target.
func (p *Proxy) carry(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	if !p.join(c, t) {
		reset(c)
		reset(t)
		return
	}
	var both errgroup.Group
	both.Go(func() error { return p.copy(t, c, Silent) })
	both.Go(func() error { return p.copy(c, t, Silent, OneWay) })
	_ = both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// join keeps both connections until the link fails; false if it has failed
// meanwhile.
func (p *Proxy) join(c, t net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
		return false
	}
	p.conns[c], p.conns[t] = true, true
	return true
}

// copy carries one direction; pieces are lost while the link has one of the faults.
func (p *Proxy) copy(dst, src net.Conn, lost ...LinkFault) error {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.loses(lost) {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return nil // The other side is gone.
			}
		}
		if err != nil {
			// The end is lost as well while everything is.
			for errors.Is(err, io.EOF) && p.loses(lost) {
				time.Sleep(slowBy)
			}
			return nil
		}
	}
}

// loses waits out the delay of a slow link, and reports whether a piece is lost.
func (p *Proxy) loses(lost []LinkFault) bool {
	f := p.now()
	if f == Slow {
		time.Sleep(slowBy)
	}
	return slices.Contains(lost, f)
}
