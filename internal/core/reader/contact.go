package reader

import "time"

const (
	// backoffFirst and backoffMost bound the pause after a call that failed.
	// Every call is paid for, but a revoked key must be learned of in time.
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 700 * time.Millisecond
	// OutageAfter is how long nothing must have been learned to count as an
	// outage, in which upstreams could not renew their entries.
	OutageAfter = time.Second
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

// Loss is how a gateway had lost the store when it answered again.
type Loss struct {
	// Lost is true if the call before failed.
	Lost bool
	// After is the time since calls began to fail.
	After time.Duration
	// Outage is true if it was long enough to count as an outage.
	Outage bool
	// FailedAt is when the latest call failed.
	FailedAt time.Time
}

// lost reports whether the latest call failed.
func (c *contact) lost() bool { return !c.lostAt.IsZero() }

// loss returns how the store had been lost until now.
func (c *contact) loss(now time.Time) Loss {
	if !c.lost() {
		return Loss{}
	}
	return Loss{Lost: true, After: now.Sub(c.lostAt), Outage: now.Sub(c.goodAt) > OutageAfter, FailedAt: c.failedAt}
}

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
