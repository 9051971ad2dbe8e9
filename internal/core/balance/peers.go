package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/health"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// hasPeerLoad reports whether other gateways have reported their load at the upstream
// recently enough to count.
func (u *upstream) hasPeerLoad(now time.Time) bool { return now.Before(u.peerLoadUntil) }

// PeerLoads is the load of all other gateways at the upstreams.
type PeerLoads struct {
	Loads occupancy.Loads
	// Age is the mean age of the reports on arrival.
	Age time.Duration
	// TTL is how long the reports are valid.
	TTL time.Duration
	// Gateways is the number of gateways, including this one.
	Gateways int
}

// PeerChanges lists the upstreams whose state changed with an update from other gateways.
type PeerChanges struct {
	// Outvoted lists those that votes newly demoted.
	Outvoted []Outvoted
	// Hanging lists those at which a prompt of this gateway newly counts as hanging.
	Hanging []Hanging
	// Limited lists those whose rate limit changed because of reports of other gateways.
	// While the reports differ, each upstream is listed at most once per
	// limitReportInterval.
	Limited []Limited
	// LimitsReported is true if a rate limit of any upstream is or was reported. Such
	// reports are valid only for a moment, so the state must be published again.
	LimitsReported bool
}

// limitReportInterval is the minimum time between two reports of a fluctuating limit to
// the caller of SetPeerLoads.
const limitReportInterval = time.Second

// Limited is an upstream whose rate limit changed, and the votes on it.
type Limited struct {
	ID string
	notice.Limit
	Votes notice.LimitVotes
}

// SetPeerLoads replaces the load of other gateways. An upstream that is not in p has
// none. It returns the resulting state changes.
func (t *Table) SetPeerLoads(now time.Time, p PeerLoads) PeerChanges {
	var d PeerChanges
	t.peersAt, t.peersAge, t.gateways = now, p.Age, max(p.Gateways, 1)
	reportedAt, until := now.Add(-p.Age), now.Add(p.TTL)
	for _, pool := range t.pools {
		for _, u := range pool.members {
			u.peerLoad, u.peerLoadAt, u.peerLoadUntil = p.Loads[u.incarnation], reportedAt, until
			t.applyLimitVotes(now, u, &d)
			if len(u.running) > 0 {
				d.Hanging = append(d.Hanging, pool.recordHanging(now, u)...)
			}
			if o, ok := u.applyVotes(now); ok {
				d.Outvoted = append(d.Outvoted, o)
			}
		}
	}
	return d
}

// applyLimitVotes applies the votes of all gateways on the upstream's rate limit.
func (t *Table) applyLimitVotes(now time.Time, u *upstream, d *PeerChanges) {
	if !u.notices.LimitReported() && u.peerLoad.Limited == 0 {
		return
	}
	votes := notice.LimitVotes{Limited: u.peerLoad.Limited, PerSecond: u.peerLoad.Limit(), Free: u.peerLoad.Free}
	u.notices = u.notices.WithLimitVotes(votes, u.peerLoadUntil)
	d.LimitsReported = true
	wasAnnounced := u.limit.Announced
	if !t.applyLimit(now, u, initialTurns) {
		return
	}
	if wasAnnounced != u.limit.Announced || now.Sub(u.limitReportedAt) >= limitReportInterval {
		u.limitReportedAt = now
		d.Limited = append(d.Limited, Limited{ID: u.ID, Limit: u.limit.Limit, Votes: votes})
	}
}

// Loads returns the load of this gateway at the upstreams.
func (t *Table) Loads(now time.Time) occupancy.Loads {
	loads := make(occupancy.Loads)
	for _, u := range t.upstreams {
		l := occupancy.Load{Requests: len(u.running), Tight: u.ownTight(t.pool(u.Pool).gapTargets.tightLimit)}
		l.Overdue, l.OverdueMs = u.overdue(now)
		if gap, ok := u.pace.BaseGap.Value(now); ok {
			l.BaseGap, l.BaseGaps = gap, 1
		}
		if longest, ok := u.pace.LongestGap.Value(now); ok {
			l.LongestGap, l.LongestGaps = longest, 1
		}
		if gap, ok := u.pace.MeanGap.Value(now); ok {
			l.MeanGap, l.MeanGaps = gap, 1
		}
		for _, r := range u.running {
			l.Unread += r.unread
			l.Tokens += r.tokens
		}
		if now.Before(u.goneUntil) {
			l.Gone = 1
		}
		if u.notices.Closed(now) {
			l.Closed = 1
		}
		if v := u.notices.LimitVote(now); v.Limited > 0 {
			l = l.WithLimit(v.PerSecond)
		} else {
			l.Free = v.Free
		}
		votes := health.Votes{}.With(u.health.Vote(now))
		l.Failing, l.Served = votes.Failing, votes.Served
		if l != (occupancy.Load{}) {
			loads[u.incarnation] = l
		}
	}
	return loads
}
