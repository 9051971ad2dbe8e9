package exchange

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultKeepAlive is how long an idle connection is kept if the upstream does not state
	// it.
	DefaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the time that the upstream states, so that no
	// request is sent while the upstream closes the connection.
	keepAliveMargin = time.Second
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// until is when an idle connection expires.
	until time.Time
	// idleSince is when the connection became idle. idle is how long it had been idle when
	// it was reused; 0 for a new one.
	idleSince time.Time
	idle      time.Duration
}

// connect returns an idle connection or opens a new one.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	if cn := c.getIdle(address); cn != nil {
		return cn, nil
	}
	return c.open(ctx, address)
}

// open opens a connection.
func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c.o.OnConnect()
	return &conn{Conn: nc, address: address, br: bufio.NewReaderSize(nc, bufferBytes)}, nil
}

// getIdle returns the most recently used idle connection that can be reused, or nil. It
// closes those that cannot.
func (c *Client) getIdle(address string) *conn {
	for {
		cn := c.popIdle(address)
		if cn == nil {
			return nil
		}
		now := c.o.Clock()
		cn.idle = now.Sub(cn.idleSince)
		if now.Before(cn.until) && c.limit.allows(now, cn.idle) && cn.br.Buffered() == 0 && healthy(cn.Conn) {
			return cn
		}
		_ = cn.Close()
	}
}

// popIdle removes and returns the most recently used idle connection; nil if there is none.
func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]
	return cn
}

// keepIdle adds an idle connection. The upstream keeps it open for d; 0 if it did not state
// it.
func (c *Client) keepIdle(cn *conn, d time.Duration) {
	if d == 0 {
		d = DefaultKeepAlive
	} else {
		d -= min(keepAliveMargin, d/2)
	}
	cn.idleSince = c.o.Clock()
	cn.until = cn.idleSince.Add(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// Sweep closes expired idle connections, and all idle connections to addresses that are no
// longer wanted.
func (c *Client) Sweep(wanted func(address string) bool) {
	now := c.o.Clock()
	var closing []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		if !wanted(address) {
			closing = append(closing, list...)
			delete(c.idle, address)
			continue
		}
		remaining := list[:0]
		for _, cn := range list {
			if now.Before(cn.until) {
				remaining = append(remaining, cn)
			} else {
				closing = append(closing, cn)
			}
		}
		c.idle[address] = remaining
	}
	c.mu.Unlock()
	for _, cn := range closing {
		_ = cn.Close()
	}
}
