package exchange

import (
	"bufio"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/edge/socket"
)

// conn is one connection to an upstream.
type conn struct {
	*socket.Conn
	client  *Client
	address string
	br      *bufio.Reader
	// limiter bounds what br reads of some parts of a response.
	limiter *limiter
	// inUse is true while a request uses the connection. It is guarded by client.mu.
	inUse bool
	// until is when an idle connection expires.
	until time.Time
	// idleSince is when the connection last became idle, and idle how long it had been idle when
	// it was reused; zero for a new one.
	idleSince time.Time
	idle      time.Duration
	// ackTimeout is how long sent bytes may stay unacknowledged, or not taken; 0 for minutes.
	ackTimeout time.Duration
}

// newConn returns a new connection that is in use.
func (c *Client) newConn(nc net.Conn, address string) *conn {
	sc := socket.NewConn(nc)
	l := &limiter{conn: sc}
	cn := &conn{Conn: sc, client: c, address: address, ackTimeout: ackTimeout, limiter: l, br: bufio.NewReaderSize(l, bufferBytes)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use(cn)
	return cn
}

// use counts the connection as in use. c.mu must be held.
func (c *Client) use(cn *conn) {
	cn.inUse = true
	c.inUse[cn.address]++
}

// release reverts use. It has no effect if the connection is not in use. c.mu must be held.
func (c *Client) release(cn *conn) {
	if !cn.inUse {
		return
	}
	cn.inUse = false
	c.inUse[cn.address]--
	if c.inUse[cn.address] == 0 {
		delete(c.inUse, cn.address)
	}
}

// setAckTimeout sets how long sent bytes may stay unacknowledged, or not taken; 0 for minutes.
func (cn *conn) setAckTimeout(d time.Duration) error {
	if cn.ackTimeout == d {
		return nil
	}
	cn.ackTimeout = d
	raw, err := cn.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	return setAckTimeout(raw, d)
}

// Close closes the connection. It may be called more than once.
func (cn *conn) Close() error {
	cn.client.mu.Lock()
	cn.client.release(cn)
	cn.client.mu.Unlock()
	return errors.WithStack(cn.Conn.Close())
}

// reusable reports whether an idle connection may be reused: it has not expired, and was not
// idle for longer than the limit; 0 for none.
func (cn *conn) reusable(now time.Time, limit time.Duration) bool {
	return now.Before(cn.until) && (limit == 0 || now.Sub(cn.idleSince) <= limit)
}
