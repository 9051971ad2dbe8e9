package reader

import "time"

const (
	// minBackoff and maxBackoff bound the pause after a failed call. Every call costs
	// money, but a revoked key must be learned of in time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// OutageThreshold is the time without a successful call that counts as an outage, in
	// which upstreams could not renew their entries.
	OutageThreshold = time.Second
)

// storeHealth tracks the outcome of a gateway's calls to the store.
type storeHealth struct {
	// failingSince is when calls began to fail; zero while they succeed.
	failingSince time.Time
	// lastSuccess is when the latest call succeeded, or when another gateway answered
	// while no call had failed.
	lastSuccess time.Time
	// lastFailure is when the latest call failed.
	lastFailure time.Time
	// backoff is the latest pause; 0 after a successful call.
	backoff time.Duration
}

// Loss describes the loss of the store that ended with a successful call.
type Loss struct {
	// Lost is true if the previous call failed.
	Lost bool
	// After is the time since calls began to fail.
	After time.Duration
	// Outage is true if it lasted long enough to count as an outage.
	Outage bool
	// FailedAt is when the latest call failed.
	FailedAt time.Time
}

// lost reports whether the latest call failed.
func (c *storeHealth) lost() bool { return !c.failingSince.IsZero() }

// loss describes the loss of the store up to now.
func (c *storeHealth) loss(now time.Time) Loss {
	if !c.lost() {
		return Loss{}
	}
	return Loss{Lost: true, After: now.Sub(c.failingSince), Outage: now.Sub(c.lastSuccess) > OutageThreshold, FailedAt: c.lastFailure}
}

// failed records a failed call and returns the longest pause before the next one.
func (c *storeHealth) failed(now time.Time) time.Duration {
	if !c.lost() {
		c.failingSince = now
	}
	c.lastFailure = now
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	return c.backoff
}

// succeeded records a successful call.
func (c *storeHealth) succeeded(now time.Time) {
	*c = storeHealth{lastSuccess: now, lastFailure: c.lastFailure}
}

// answeredByPeer records that another gateway answered instead of the store.
func (c *storeHealth) answeredByPeer(now time.Time) {
	if !c.lost() {
		c.lastSuccess = now
	}
}
