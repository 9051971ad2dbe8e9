package balance

import (
	"slices"
	"time"
)

// When a whole pool is rate-limited, some gateways of a large fleet hold few or none of
// its upstreams. They would refuse requests while holders have turns left. A gateway
// without an upstream for a request therefore asks a holder for a turn.

// maxBorrowRequests is the maximum number of upstreams for which a request asks for a turn.
const maxBorrowRequests = 4

// BorrowCandidate is an upstream for which a gateway may ask a holder for a turn.
type BorrowCandidate struct {
	Instance
	// Key and Holders identify the holders: the first Holders gateways in the rendezvous
	// order of Key.
	Key     uint64
	Holders int
}

// Borrowable returns the upstreams for which to ask for a turn, for a request for which
// Pick found none.
func (t *Table) Borrowable(now time.Time, r Request) []BorrowCandidate {
	p, ok := t.pools[r.Pool]
	if !ok {
		return nil
	}
	var candidates []BorrowCandidate
	for _, u := range p.members {
		if t.mayBorrow(now, p, u, r) {
			candidates = append(candidates, BorrowCandidate{Instance: u.Instance, Key: u.hash, Holders: u.limit.split.Holders})
		}
	}
	if n := len(candidates); n > 0 {
		first := int(r.Hash % uint64(n))
		candidates = slices.Concat(candidates[first:], candidates[:first])
	}
	return candidates[:min(len(candidates), maxBorrowRequests)]
}

// mayBorrow reports whether only the lack of a turn keeps the request from the upstream,
// and no holder has recently answered that it has none.
func (t *Table) mayBorrow(now time.Time, p *pool, u *upstream, r Request) bool {
	if !u.limit.Announced || now.Before(u.limit.borrowAgainAt) || !r.mayRunAt(u) {
		return false
	}
	return u.present(now) && !u.gone(now) && !u.atSlowStartLimit(now) && !u.ejected(now) && !u.avoidedByPeers(now) && !p.isCold(now, u)
}

// Lend takes a turn of the upstream on behalf of another gateway. If there is none, it
// returns the time until there may be one.
func (t *Table) Lend(now time.Time, incarnation uint64, leastUrgent bool) (time.Duration, bool) {
	for _, u := range t.upstreams {
		if u.incarnation != incarnation {
			continue
		}
		if !u.present(now) || !t.hasTurn(now, u, leastUrgent) || !t.takeTurn(now, u) {
			return t.untilNextTurn(now, u), false
		}
		return 0, true
	}
	return maxTurnBacklog, false
}

// BorrowRefused records that a holder will have no turn of the upstream for the given time.
// Another holder may have one sooner.
func (t *Table) BorrowRefused(now time.Time, in Instance, wait time.Duration) {
	if u, ok := t.upstreams[in.ID]; ok && u.incarnation == in.IncarnationKey() {
		holders := max(1, min(u.limit.split.Holders, t.gatewayCount()))
		u.limit.borrowAgainAt = now.Add(min(wait, maxTurnBacklog) / time.Duration(holders))
	}
}

// PickBorrowed counts the request at the upstream for which a holder lent a turn. It returns
// false if the upstream is no longer available.
func (t *Table) PickBorrowed(now time.Time, r Request, in Instance) (Choice, bool) {
	u, ok := t.upstreams[in.ID]
	if !ok || u.incarnation != in.IncarnationKey() || !u.present(now) || u.gone(now) {
		return Choice{}, false
	}
	p := t.pool(u.Pool)
	c := t.evaluate(now, p, u, r, r.Prompt.chain(), p.baseline(now), false)
	c.Candidates = 1
	t.track(now, p, u, r, &c)
	c.Turn, c.Borrowed = true, true
	return c, true
}
