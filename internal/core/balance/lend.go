package balance

import (
	"slices"
	"time"
)

// The load that this answers: a whole pool is limited, and some gateways of a large fleet
// hold few of its upstreams, or none. They would refuse while holders have turns left. So a
// gateway that has no upstream left for a request asks a holder for a turn.

// borrowMost is the number of upstreams that a request asks a turn of at most.
const maxBorrowAsks = 4

// Loan is an upstream that a gateway may ask a holder for a turn of.
type Loan struct {
	Instance
	// Key and Holders tell who the holders are: the first so many gateways in rendezvous
	// order for the key.
	Key     uint64
	Holders int
}

// Borrowable returns the upstreams to ask a turn of, for a request that Pick found none for.
func (t *Table) Borrowable(now time.Time, r Request) []Loan {
	p, ok := t.pools[r.Pool]
	if !ok {
		return nil
	}
	var loans []Loan
	for _, u := range p.members {
		if t.mayBorrow(now, p, u, r) {
			loans = append(loans, Loan{Instance: u.Instance, Key: u.hash, Holders: u.limit.split.Holders})
		}
	}
	if n := len(loans); n > 0 {
		first := int(r.Hash % uint64(n))
		loans = slices.Concat(loans[first:], loans[:first])
	}
	return loans[:min(len(loans), maxBorrowAsks)]
}

// mayBorrow reports whether nothing but a turn keeps the request from the upstream, and no
// holder has said lately that there is none.
func (t *Table) mayBorrow(now time.Time, p *pool, u *upstream, r Request) bool {
	if !u.limit.Named || now.Before(u.limit.borrowAgainAt) || slices.Contains(r.Exclude, u.ID) {
		return false
	}
	return u.present(now) && !u.gone(now) && !u.atSlowStartLimit(now) && !u.ejected(now) && !u.peersAvoid(now) && !p.isCold(now, u)
}

// Lend takes a turn of the upstream for another gateway. If there is none, it returns when
// there may be one.
func (t *Table) Lend(now time.Time, incarnation uint64, lowestPriority bool) (time.Duration, bool) {
	for _, u := range t.upstreams {
		if u.incarnation != incarnation {
			continue
		}
		if !u.present(now) || !t.hasTurn(now, u, lowestPriority) || !t.takeTurn(now, u) {
			return t.untilNextTurn(now, u), false
		}
		return 0, true
	}
	return maxTurnBacklog, false
}

// NotLent notes that a holder had no turn of the upstream for so long. Another one may have
// one sooner.
func (t *Table) NotLent(now time.Time, in Instance, wait time.Duration) {
	if u, ok := t.upstreams[in.ID]; ok && u.incarnation == in.Start() {
		holders := max(1, min(u.limit.split.Holders, t.gatewayCount()))
		u.limit.borrowAgainAt = now.Add(min(wait, maxTurnBacklog) / time.Duration(holders))
	}
}

// PickLent counts the request at the upstream that a holder lent a turn of. It reports false
// if that is there no more.
func (t *Table) PickLent(now time.Time, r Request, in Instance) (Choice, bool) {
	u, ok := t.upstreams[in.ID]
	if !ok || u.incarnation != in.Start() || !u.present(now) || u.gone(now) {
		return Choice{}, false
	}
	p := t.pool(u.Pool)
	c := t.evaluate(now, p, u, r, r.Prompt.chain(), p.baseline(now), false)
	c.Candidates = 1
	t.track(now, p, u, r, &c)
	c.Turn, c.Lent = true, true
	return c, true
}
