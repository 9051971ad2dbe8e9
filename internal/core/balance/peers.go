package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/health"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// told reports whether other gateways have told what they have at the upstream,
// lately enough to count.
func (u *upstream) hasPeerLoad(now time.Time) bool { return now.Before(u.peerLoadUntil) }

// Picture is what all other gateways have at the upstreams.
type Picture struct {
	Loads occupancy.Loads
	// Age is how old the words are on arrival, in the mean.
	Age time.Duration
	// Keep is how long they count.
	Keep time.Duration
	// Gateways is the number of gateways, with this one.
	Gateways int
}

// Doubts are upstreams that are doubted from now on.
type Doubts struct {
	// Outvoted are those that votes put last.
	Outvoted []Outvoted
	// Hanging are those at which a prompt of this gateway hangs.
	Hanging []Hanging
	// Limited are those whose limit is another one by the word of others. While words
	// differ, each is told once in toldEvery.
	Limited []Limited
	// Spoken is true if a limit of any upstream is spoken of, or was until now: what others
	// told of it counts for a moment only, and is to be published anew.
	Spoken bool
}

// toldEvery is how often a limit is told that changes from one word to the next.
const limitReportInterval = time.Second

// Limited is an upstream whose limit changed, and the votes on it.
type Limited struct {
	ID string
	notice.Limit
	Votes notice.LimitVotes
}

// OthersHave takes the picture. An upstream that is not in it has nothing of theirs. It
// returns what follows for upstreams from now on.
func (t *Table) OthersHave(now time.Time, p Picture) Doubts {
	var d Doubts
	t.peersAt, t.peersAge, t.gateways = now, p.Age, max(p.Gateways, 1)
	told, until := now.Add(-p.Age), now.Add(p.Keep)
	for _, of := range t.pools {
		for _, u := range of.members {
			u.peerLoad, u.peerLoadAt, u.peerLoadUntil = p.Loads[u.incarnation], told, until
			t.applyLimitVotes(now, u, &d)
			if len(u.running) > 0 {
				d.Hanging = append(d.Hanging, of.noteHanging(now, u)...)
			}
			if o, ok := u.applyVotes(now); ok {
				d.Outvoted = append(d.Outvoted, o)
			}
		}
	}
	return d
}

// countLimits takes the votes of all gateways on the upstream's limit.
func (t *Table) applyLimitVotes(now time.Time, u *upstream, d *Doubts) {
	if !u.notices.SaidLimited() && u.peerLoad.Limited == 0 {
		return
	}
	votes := notice.LimitVotes{Limited: u.peerLoad.Limited, PerSecond: u.peerLoad.Limit(), Free: u.peerLoad.Free}
	u.notices = u.notices.WithLimitVotes(votes, u.peerLoadUntil)
	d.Spoken = true
	named := u.limit.Named
	if !t.applyLimit(now, u, initialTurns) {
		return
	}
	if named != u.limit.Named || now.Sub(u.limitReportedAt) >= limitReportInterval {
		u.limitReportedAt = now
		d.Limited = append(d.Limited, Limited{ID: u.ID, Limit: u.limit.Limit, Votes: votes})
	}
}

// Loads returns what this gateway has at the upstreams.
func (t *Table) Loads(now time.Time) occupancy.Loads {
	loads := make(occupancy.Loads)
	for _, u := range t.upstreams {
		l := occupancy.Load{Requests: len(u.running), Tight: u.ownTight(t.pool(u.Pool).gapTargets.tightLimit)}
		l.Overdue, l.OverdueMs = u.overdue(now)
		if gap, ok := u.baseGap.value(now); ok {
			l.Tempo, l.Tempos = gap, 1
		}
		if longest, ok := u.longestGap.value(now); ok {
			l.Longest, l.Longests = longest, 1
		}
		if gap, ok := u.meanGap.value(now); ok {
			l.Strain, l.Strains = gap, 1
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
