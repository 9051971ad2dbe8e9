package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// told reports whether other gateways have told what they have at the upstream,
// lately enough to count.
func (u *upstream) told(now time.Time) bool { return now.Before(u.sharedUntil) }

// OthersHave takes what all other gateways have at the upstreams; it counts for the
// given time. An upstream that is not among them has nothing of theirs.
func (t *Table) OthersHave(now time.Time, loads occupancy.Loads, keep time.Duration) {
	for _, u := range t.upstreams {
		u.shared = loads[u.hash]
		u.sharedAt = now
		u.sharedUntil = now.Add(keep)
	}
}

// Loads returns what this gateway has at the upstreams.
func (t *Table) Loads(now time.Time) occupancy.Loads {
	loads := make(occupancy.Loads)
	for _, u := range t.upstreams {
		l := occupancy.Load{Requests: len(u.running), Tight: u.ownTight(t.pool(u.Pool).pauses.limit)}
		l.Overdue, l.OverdueMs = u.overdue(now)
		if gap, ok := u.tempo.value(now); ok {
			l.Tempo, l.Tempos = gap, 1
		}
		if longest, ok := u.pausing.value(now); ok {
			l.Longest, l.Longests = longest, 1
		}
		if gap, ok := u.strain.value(now); ok {
			l.Strain, l.Strains = gap, 1
		}
		for _, r := range u.running {
			l.Unread += r.unread
			l.Tokens += r.tokens
		}
		if now.Before(u.goneUntil) {
			l.Gone = 1
		}
		if l != (occupancy.Load{}) {
			loads[u.hash] = l
		}
	}
	return loads
}
