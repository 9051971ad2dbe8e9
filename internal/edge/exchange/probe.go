package exchange

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Refuses reports whether nothing listens at the address: its host refuses a new
// connection. One that comes up is kept for the next request. It asks also when the
// context has ended, for the time at most; no answer is no refusal.
func (c *Client) Refuses(ctx context.Context, address string, most time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), most)
	defer cancel()
	cn, err := c.open(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.keep(cn, 0)
	return false
}
