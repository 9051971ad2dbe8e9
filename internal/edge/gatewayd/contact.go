package gatewayd

import "time"

const (
	// backoffFirst and backoffMost bound the pause after a call that failed.
	// Every call is paid for, but a revoked key must be learned of in time.
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 700 * time.Millisecond
	// outageAfter is how long nothing must have been learned to count as an
	// outage, in which upstreams could not renew their entries.
	outageAfter = time.Second
)

// contact is how a gateway's calls to the store have gone.
type contact struct {
	// lostAt is when calls began to fail; zero while they succeed.
	lostAt time.Time
	// goodAt is when the latest call succeeded, or another gateway answered while
	// none had failed.
	goodAt time.Time
	// failedAt is when the latest call failed.
	failedAt time.Time
	// backoff is the latest pause; 0 after a call that succeeded.
	backoff time.Duration
}

// lost reports whether the latest call failed.
func (c *contact) lost() bool { return !c.lostAt.IsZero() }

// outage reports whether it has been lost for long enough to count as an outage.
func (c *contact) outage(now time.Time) bool { return now.Sub(c.goodAt) > outageAfter }

// failed notes a call that failed, and returns the longest pause before the next
// one.
func (c *contact) failed(now time.Time) time.Duration {
	if !c.lost() {
		c.lostAt = now
	}
	c.failedAt = now
	c.backoff = min(max(2*c.backoff, backoffFirst), backoffMost)
	return c.backoff
}

// succeeded notes a call that was answered.
func (c *contact) succeeded(now time.Time) { *c = contact{goodAt: now, failedAt: c.failedAt} }

// answeredByPeer notes that another gateway answered instead of the store.
func (c *contact) answeredByPeer(now time.Time) {
	if !c.lost() {
		c.goodAt = now
	}
}
