package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Ailment is what ails a link.
type Ailment int

// Ailments of a link.
const (
	Sound Ailment = iota
	// Slow delays each piece.
	Slow
	// Reset closes all connections and takes no new ones.
	Reset
	// OneWay loses what comes back.
	OneWay
	// Silent loses everything, and keeps connections open.
	Silent
)

// String names the ailment.
func (a Ailment) String() string {
	return [...]string{"sound", "slow", "reset", "one way", "silent"}[a]
}

// slowBy is the delay of each piece on a slow link.
const slowBy = 150 * time.Millisecond

// Proxy is a link on loopback that can be made to fail.
type Proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu      sync.Mutex
	ailment Ailment
	conns   map[net.Conn]bool
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

// Set changes what ails the link. What a silent link has lost stays lost, so its
// connections are closed when it is sound again.
func (p *Proxy) Set(a Ailment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.ailment == Silent || p.ailment == OneWay
	p.ailment = a
	if a == Reset || lost {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Close ends the link.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.group.Wait()
}

func (p *Proxy) now() Ailment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ailment
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
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var both errgroup.Group
	both.Go(func() error { return p.copy(t, c, Silent) })
	both.Go(func() error { return p.copy(c, t, Silent, OneWay) })
	_ = both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// copy carries one direction; pieces are lost while one of the ailments holds.
func (p *Proxy) copy(dst, src net.Conn, lost ...Ailment) error {
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
func (p *Proxy) loses(lost []Ailment) bool {
	a := p.now()
	if a == Slow {
		time.Sleep(slowBy)
	}
	for _, l := range lost {
		if a == l {
			return true
		}
	}
	return false
}
