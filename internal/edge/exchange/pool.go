package exchange

import (
	"context"
	"slices"
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

// connect returns an idle connection or opens a new one.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	if cn := c.getIdle(address); cn != nil {
		if c.o.OnReuse != nil {
			c.o.OnReuse()
		}
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
	return c.newConn(nc, address), nil
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
		if cn.reusable(now, c.limit.current(now, address)) && cn.br.Buffered() == 0 && healthy(cn.Conn) {
			return cn
		}
		_ = cn.Close()
	}
}

// HasIdle reports whether there is an idle connection to the address that may be reused. It
// makes no system call, so that a connection that the upstream has closed meanwhile counts
// until it is swept or tried.
func (c *Client) HasIdle(now time.Time, address string) bool {
	if !c.hasConnections(address) {
		return false // most upstreams of a large fleet, for which this is called at each choice
	}
	limit := c.limit.current(now, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range slices.Backward(c.idle[address]) {
		if cn.reusable(now, limit) {
			return true
		}
	}
	return false
}

// hasConnections reports whether there are idle connections to the address, reusable or not.
func (c *Client) hasConnections(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[address]) > 0
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
	c.use(cn)
	return cn
}

// keepIdle adds an idle connection, and closes the longest-idle ones to the address that
// exceed the bound. The upstream keeps it open for d; 0 if it did not state it.
func (c *Client) keepIdle(cn *conn, d time.Duration) {
	if d == 0 {
		d = DefaultKeepAlive
	} else {
		d -= min(keepAliveMargin, d/2)
	}
	cn.idleSince = c.o.Clock()
	cn.until = cn.idleSince.Add(d)
	c.mu.Lock()
	c.release(cn)
	c.idle[cn.address] = append(c.idle[cn.address], cn)
	closing := c.takeExcess(cn.address)
	c.mu.Unlock()
	closeAll(closing)
}

// takeExcess removes and returns the longest-idle connections to the address that exceed the
// bound. c.mu must be held.
func (c *Client) takeExcess(address string) []*conn {
	if c.o.MaxOpen == nil {
		return nil
	}
	maxOpen := c.o.MaxOpen(address)
	list := c.idle[address]
	n := min(len(list), len(list)+c.inUse[address]-maxOpen)
	if maxOpen == 0 || n <= 0 {
		return nil
	}
	excess := slices.Clone(list[:n])
	c.idle[address] = slices.Delete(list, 0, n)
	return excess
}

// Sweep closes idle connections that have expired, have received data or exceed the bound, and
// all idle connections to addresses that are no longer wanted. Data on an idle connection belongs
// to no request, and would fill the buffers of the host until the connection is used again.
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
			if now.Before(cn.until) && healthy(cn.Conn) {
				remaining = append(remaining, cn)
			} else {
				closing = append(closing, cn)
			}
		}
		clear(list[len(remaining):]) // so that closed connections and their buffers are freed
		c.idle[address] = remaining
		closing = append(closing, c.takeExcess(address)...)
	}
	c.mu.Unlock()
	closeAll(closing)
}

func closeAll(list []*conn) {
	for _, cn := range list {
		_ = cn.Close()
	}
}
