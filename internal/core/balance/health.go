package balance

import "time"

// Bounds of ejection.
const (
	// ejectRate is the failure rate above the pool's own at which an upstream is ejected:
	// two failures after a clean history stay below it, three do not.
	ejectRate = 0.3
	// immediateRefusal is the time within which a refusal is attributed to a fault of the
	// upstream; a later one means that the request had waited in its queue. It is several
	// round trips.
	immediateRefusal = 200 * time.Millisecond
	// minTimeLeft is the minimum time to its deadline that a request must have for its
	// refusal to be evidence: upstreams refuse requests that they cannot answer in time.
	minTimeLeft = 100 * time.Millisecond
	// unreachableBackoff is how long an upstream is skipped after a connection to it
	// could not be established.
	unreachableBackoff = 700 * time.Millisecond
	// goneTTL is how long an upstream is considered gone after nothing listened at its
	// address or another incarnation answered there. By then its entry has expired, after
	// three heartbeats of about a second; otherwise it is tried again.
	goneTTL = 5 * time.Second
	// maxEjectedShare is the fraction of a pool's available upstreams that may be ejected
	// at once.
	maxEjectedShare = 0.5
)

// recordRefusal skips the upstream for a while. Otherwise an upstream that refuses requests
// looks idle and attracts those of its pool.
func (t *Table) recordRefusal(now time.Time, u *upstream, r *run, reported *Load) {
	p := t.pool(u.Pool)
	next, d := u.health.WithRefusal(now, reported.isFull() || p.refusalJustified(now, u, r))
	u.health = next
	if p.mayEject(now) {
		u.health = u.health.WithExclusion(now, d)
	}
}

// refusalJustified reports whether the upstream had a reason to refuse the request, as
// far as this gateway can tell: it was full, it had no memory for such a large request,
// the request had waited in its queue, or the request had hardly any time left. Without
// this check one caller with such requests could have upstreams ejected.
func (p *pool) refusalJustified(now time.Time, u *upstream, r *run) bool {
	shortDeadline := !r.deadline.IsZero() && r.deadline.Sub(now) < minTimeLeft
	return shortDeadline || now.Sub(r.sentAt) > immediateRefusal || p.isFull(now, u, r.tokens)
}

// isFull reports whether the upstream is full or has no memory for a request of so many
// tokens, as far as the gateways know.
func (p *pool) isFull(now time.Time, u *upstream, tokens int) bool {
	if u.Slots > 0 && u.inFlight(now) >= fullShare*float64(u.Slots) {
		return true
	}
	if p.engine == nil || p.engine.MemoryTokens == 0 {
		return false
	}
	return u.memoryTokens(now, p.meanTokens)+float64(tokens) >= fullShare*float64(p.engine.MemoryTokens)
}

// isFull reports whether the upstream reports that it is nearly full or that requests are
// queued there.
func (l *Load) isFull() bool {
	return l != nil && (l.Waiting > 0 || (l.Slots > 0 && float64(l.Running) >= fullShare*float64(l.Slots)))
}

// ejected reports whether the upstream is skipped because of failures that this gateway
// saw there.
func (u *upstream) ejected(now time.Time) bool { return u.health.ExcludedFor(now) > 0 }

// ejectIfFailing ejects the upstream if it fails more often than its pool.
func (t *Table) ejectIfFailing(now time.Time, u *upstream) {
	p := t.pools[u.Pool]
	if p == nil || u.ejected(now) {
		return
	}
	if u.health.Rate() < p.failureRate(u)+ejectRate || !p.mayEject(now) {
		return
	}
	// The rate is kept: after the upstream's return one more failure ejects it again,
	// unless the others fail as often by then.
	u.health = u.health.WithEjection(now)
}

// failureRate is the mean failure rate of the other upstreams of the pool.
func (p *pool) failureRate(except *upstream) float64 {
	sum, n := 0.0, 0
	for _, u := range p.members {
		if u != except {
			sum += u.health.Rate()
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// mayEject reports whether one more upstream may be ejected. One that backs off or leaves
// counts neither as ejected nor as available. One with a rate limit counts with its
// relative capacity.
func (p *pool) mayEject(now time.Time) bool {
	ejected, present := 0, 0.0
	capacity := p.capacities()
	for _, u := range p.members {
		if !u.present(now) {
			continue
		}
		present += capacity(u)
		if u.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*present
}
