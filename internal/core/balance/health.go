package balance

import "time"

// Bounds of ejection.
const (
	// ejectRate is the failure rate, above the pool's own, that ejects an
	// upstream: two failures after a clean past stay below it, three do not.
	ejectRate = 0.3
	// refusedAtOnce is the time within which an upstream refuses for a fault of its own; later
	// the request had waited in its queue. It is several round trips.
	immediateRefusal = 200 * time.Millisecond
	// refusedLeft is the least time that a request must have left for its refusal to say
	// something: upstreams refuse what they cannot answer in time.
	minTimeLeft = 100 * time.Millisecond
	// unreachableFor is how long an upstream is left alone after a connection
	// to it could not be made.
	unreachableBackoff = 700 * time.Millisecond
	// goneFor is how long an upstream is taken to be gone after nothing listened at
	// its address, or another start answered there. By then its entry has lapsed,
	// after three heartbeats of about a second; if not, it is tried again.
	goneTTL = 5 * time.Second
	// maxEjectedShare is the part of what is there of a pool that may be ejected at once.
	maxEjectedShare = 0.5
)

// refused leaves the upstream out for a while. Without it one that refuses looks idle and
// draws its pool's requests.
func (t *Table) noteRefusal(now time.Time, u *upstream, r *run, said *Load) {
	p := t.pool(u.Pool)
	next, d := u.health.WithRefusal(now, said.isFull() || p.refusalJustified(now, u, r))
	u.health = next
	if p.mayEject(now) {
		u.health = u.health.WithLeftOut(now, d)
	}
}

// rightly reports whether the upstream was right to refuse the request, as far as one can
// tell: it had as much as it takes, or no room for such a large one; the request had
// waited in its queue, or had hardly any time. Otherwise one caller with such requests
// could have upstreams left out.
func (p *pool) refusalJustified(now time.Time, u *upstream, r *run) bool {
	hasty := !r.deadline.IsZero() && r.deadline.Sub(now) < minTimeLeft
	return hasty || now.Sub(r.sentAt) > immediateRefusal || p.isFull(now, u, r.tokens)
}

// isFull reports whether the upstream has as much as it takes, or no room for a request of
// so many tokens, as far as gateways know.
func (p *pool) isFull(now time.Time, u *upstream, tokens int) bool {
	if u.Slots > 0 && u.inFlight(now) >= fullShare*float64(u.Slots) {
		return true
	}
	if p.engine == nil || p.engine.MemoryTokens == 0 {
		return false
	}
	return u.memoryTokens(now, p.meanTokens)+float64(tokens) >= fullShare*float64(p.engine.MemoryTokens)
}

// full reports whether the upstream says that it has nearly all that it takes, or that
// requests wait there.
func (l *Load) isFull() bool {
	return l != nil && (l.Waiting > 0 || (l.Slots > 0 && float64(l.Running) >= fullShare*float64(l.Slots)))
}

// ejected reports whether the upstream is left out for what this gateway saw there.
func (u *upstream) ejected(now time.Time) bool { return u.health.LeftOut(now) > 0 }

// judge ejects the upstream if it fails more often than its pool.
func (t *Table) ejectIfFailing(now time.Time, u *upstream) {
	p := t.pools[u.Pool]
	if p == nil || u.ejected(now) {
		return
	}
	if u.health.Rate() < p.failureRate(u)+ejectRate || !p.mayEject(now) {
		return
	}
	// The rate stays: on its return one more failure ejects it again, unless
	// the others fail as often by then.
	u.health = u.health.WithEjection(now)
}

// failureRate is the mean rate of the other upstreams of the pool.
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

// mayEject reports whether one more upstream may be ejected. One that rests or leaves is
// absent by its own word: it neither counts as ejected nor as one that is left. One with a
// limit counts as what it may get.
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
