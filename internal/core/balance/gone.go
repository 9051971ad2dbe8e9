package balance

import "time"

// The load that this answers: a part of a pool crashes at once. Dead engines look
// idle, so that every gateway sends its next requests there, and finds each of them
// out for itself until the list tells of the crash.

const (
	// goneWitnesses is the number of other gateways whose word is taken for a dead
	// upstream. One alone may be wrong or confused.
	goneQuorum = 2
	// goneHeard is the time after which what an upstream said itself no longer
	// speaks against such words. It is a little longer than words take.
	peerGoneGrace = 500 * time.Millisecond
	// maxToldGoneShare is the part of a pool that may be left out by the word of
	// others. Beyond it the words say more about those who tell them.
	maxAvoidedShare = 0.5
)

// gone reports whether another start has taken the upstream's place, or nothing
// listens there, as this gateway found itself.
func (u *upstream) gone(now time.Time) bool {
	return u.superseded || now.Before(u.goneUntil)
}

// FoundGone notes that the gateway found that this start of the upstream has ended.
func (t *Table) FoundGone(now time.Time, in Instance) {
	if u, ok := t.upstreams[in.ID]; ok && u.incarnation == in.Start() {
		u.goneUntil = now.Add(goneTTL)
	}
}

// IsGone reports whether the gateway itself found that this start of the upstream has
// ended.
func (t *Table) IsGone(now time.Time, in Instance) bool {
	u, ok := t.upstreams[in.ID]
	return ok && u.incarnation == in.Start() && u.gone(now)
}

// Leaves reports whether the end of the upstream is no surprise: it has said that it
// leaves, its availability zone is emptied, or it is on the list no more.
func (t *Table) Leaves(id string) bool {
	u, ok := t.upstreams[id]
	return !ok || !u.open()
}

// toldGone reports whether enough other gateways found the upstream gone, and it
// has said nothing to this one since.
func (u *upstream) peersFoundGone(now time.Time) bool {
	return u.peerLoad.Gone >= goneQuorum && u.hasPeerLoad(now) && now.Sub(u.lastHeardAt) > peerGoneGrace
}

// toldClosed reports whether the upstream said to enough other gateways that it leaves, or
// wants rest, and has said nothing to this one since.
func (u *upstream) peersFoundClosed(now time.Time) bool {
	return u.peerLoad.Closed >= goneQuorum && u.hasPeerLoad(now) && now.Sub(u.lastHeardAt) > peerGoneGrace && !u.notices.Away(now)
}

// toldAway reports whether others go before the upstream by the word of other gateways.
func (u *upstream) peersAvoid(now time.Time) bool {
	return u.peersFoundGone(now) || u.peersFoundClosed(now) || u.health.PutLast(now)
}

// believesAway reports whether the words of others on upstreams that are gone or closed,
// and the votes against them, may be acted on: they leave enough of the pool.
func (p *pool) trustsPeers(now time.Time) bool {
	n, present := 0, 0.0
	capacity := p.capacities()
	for _, u := range p.members {
		if !u.present(now) {
			continue
		}
		present += capacity(u)
		if u.peersAvoid(now) || u.health.OnTrial(now) {
			n++
		}
	}
	return float64(n) <= maxAvoidedShare*present
}
