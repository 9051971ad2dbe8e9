package exchange

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Refuses reports whether the host at the address refuses a new connection, because nothing
// listens there. A connection that opens is kept for the next request. The probe runs for
// up to timeout even if the context has ended; a probe without an answer returns false.
func (c *Client) Refuses(ctx context.Context, address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	cn, err := c.open(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.keepIdle(cn, 0)
	return false
}
