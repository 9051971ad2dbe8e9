package exchange

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultKeep is how long an idle connection is kept if the upstream does
	// not say.
	DefaultKeep = 4 * time.Second
	// keepMargin is subtracted from what the upstream says, so that a request
	// does not meet the close on its way.
	keepMargin = time.Second
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// until is when an idle connection is given up.
	until time.Time
	// idleSince is when it became idle, idle how long it had been when it was
	// taken; 0 for a new one.
	idleSince time.Time
	idle      time.Duration
}

// connect takes a kept connection or opens a new one.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	if cn := c.take(address); cn != nil {
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
	c.o.Opened()
	return &conn{Conn: nc, address: address, br: bufio.NewReaderSize(nc, bufferBytes)}, nil
}

// take returns the connection that was used last, if it is still sound.
func (c *Client) take(address string) *conn {
	for {
		cn := c.pop(address)
		if cn == nil {
			return nil
		}
		now := c.o.Clock()
		cn.idle = now.Sub(cn.idleSince)
		if now.Before(cn.until) && c.limit.allows(now, cn.idle) && cn.br.Buffered() == 0 && quiet(cn.Conn) {
			return cn
		}
		_ = cn.Close()
	}
}

// pop takes the connection that was used last; nil if there is none.
func (c *Client) pop(address string) *conn {
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

// keep makes the connection idle. The upstream keeps it for d; 0 if it did not
// say.
func (c *Client) keep(cn *conn, d time.Duration) {
	if d == 0 {
		d = DefaultKeep
	} else {
		d -= min(keepMargin, d/2)
	}
	cn.idleSince = c.o.Clock()
	cn.until = cn.idleSince.Add(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// Sweep closes connections that were idle for too long, and all of addresses
// that are no longer wanted.
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
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.until) {
				kept = append(kept, cn)
			} else {
				closing = append(closing, cn)
			}
		}
		c.idle[address] = kept
	}
	c.mu.Unlock()
	for _, cn := range closing {
		_ = cn.Close()
	}
}
