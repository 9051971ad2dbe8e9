package balance

import (
	"maps"
	"time"
)

// When a part of a pool crashes at once, the dead engines look idle. Every gateway sends
// its next requests there and detects each of them separately until the list is updated.

const (
	// goneQuorum is the number of other gateways that must have found an upstream gone. A
	// single one may be mistaken.
	goneQuorum = 2
	// peerGoneGrace is how long data from an upstream overrides such reports. It is a
	// little longer than the reports take to arrive.
	peerGoneGrace = 500 * time.Millisecond
	// endedRetention is how long incarnations that left the list are kept, and maxEnded bounds
	// them, at about 50 bytes each.
	endedRetention = time.Hour
	maxEnded       = 4096
	// maxAvoidedShare is the fraction of a pool that may be avoided because of reports by
	// other gateways. Beyond it the reports say more about the reporting gateways.
	maxAvoidedShare = 0.5
)

// gone reports whether, by the list or by this gateway's own observation, another
// incarnation has taken the upstream's place or nothing listens at its address.
func (u *upstream) gone(now time.Time) bool {
	return u.superseded(now) || now.Before(u.goneUntil)
}

// superseded reports whether an incarnation with a later entry runs at the upstream's address.
// If another one answered in that one's place, the entry proves nothing: anyone may write one.
func (u *upstream) superseded(now time.Time) bool {
	return u.successor != nil && !now.Before(u.successor.replacedUntil)
}

// MarkGone records that the gateway found that this incarnation of the upstream has
// ended.
func (t *Table) MarkGone(now time.Time, in Instance) {
	if u, ok := t.upstreams[in.ID]; ok && u.incarnation == in.IncarnationKey() {
		u.markGone(now, false)
	}
}

// markGone records that this gateway found that the upstream is gone, and whether another
// incarnation answered in its place.
func (u *upstream) markGone(now time.Time, replaced bool) {
	u.goneUntil = now.Add(goneTTL)
	if replaced {
		u.replacedUntil = u.goneUntil
	}
}

// IsGone reports whether this incarnation of the upstream has ended, by the list or by
// this gateway's own observation.
func (t *Table) IsGone(now time.Time, in Instance) bool {
	u, ok := t.upstreams[in.ID]
	return ok && u.incarnation == in.IncarnationKey() && u.gone(now)
}

// LiveIncarnations returns the incarnation keys of the listed upstreams that have not ended as
// far as this gateway knows.
func (t *Table) LiveIncarnations(now time.Time) map[uint64]bool {
	live := make(map[uint64]bool, len(t.upstreams))
	for _, u := range t.upstreams {
		if !u.gone(now) {
			live[u.incarnation] = true
		}
	}
	return live
}

// recordEnded records that an incarnation was removed from the list.
func (t *Table) recordEnded(now time.Time, incarnation uint64) {
	if len(t.ended) >= maxEnded {
		maps.DeleteFunc(t.ended, func(_ uint64, at time.Time) bool { return now.Sub(at) > endedRetention })
	}
	if len(t.ended) < maxEnded {
		t.ended[incarnation] = now
	}
}

// EndedIncarnations returns the incarnation keys of the upstreams that were listed and have
// ended as far as this gateway knows.
func (t *Table) EndedIncarnations(now time.Time) map[uint64]bool {
	ended := make(map[uint64]bool, len(t.ended))
	for incarnation := range t.ended {
		ended[incarnation] = true
	}
	for _, u := range t.upstreams {
		if u.gone(now) {
			ended[u.incarnation] = true
		} else {
			delete(ended, u.incarnation) // It was listed again.
		}
	}
	return ended
}

// EndExpected reports whether the end of the upstream is expected: it announced that it
// leaves, its availability zone is being emptied, or it is no longer listed.
func (t *Table) EndExpected(id string) bool {
	u, ok := t.upstreams[id]
	return !ok || !u.open()
}

// peersFoundGone reports whether enough other gateways found the upstream gone, and it
// has sent nothing to this one since.
func (u *upstream) peersFoundGone(now time.Time) bool {
	return u.peerLoad.Gone >= goneQuorum && u.hasPeerLoad(now) && now.Sub(u.lastReceivedAt) > peerGoneGrace
}

// peersFoundClosed reports whether the upstream announced to enough other gateways that it
// leaves or asked them to back off, and it has sent nothing to this one since.
func (u *upstream) peersFoundClosed(now time.Time) bool {
	return u.peerLoad.Closed >= goneQuorum && u.hasPeerLoad(now) && now.Sub(u.lastReceivedAt) > peerGoneGrace && !u.notices.Restricted(now)
}

// avoidedByPeers reports whether the upstream is to be tried last because of reports or
// votes of other gateways.
func (u *upstream) avoidedByPeers(now time.Time) bool {
	return u.peersFoundGone(now) || u.peersFoundClosed(now) || u.health.Demoted(now)
}

// acceptsPeerReports reports whether this gateway may act on reports that upstreams are
// gone or closed and on votes against them: enough of the pool must remain.
func (p *pool) acceptsPeerReports(now time.Time) bool {
	n, present := 0, 0.0
	capacity := p.capacities()
	for _, u := range p.members {
		if !u.present(now) {
			continue
		}
		present += capacity(u)
		if u.avoidedByPeers(now) || u.health.OnTrial(now) {
			n++
		}
	}
	return float64(n) <= maxAvoidedShare*present
}
