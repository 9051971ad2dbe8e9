package balance

import "time"

// Outcome is what became of a request at an upstream.
type Outcome int

// Outcomes of a request.
const (
	// Completed means that the whole answer came.
	Completed Outcome = iota + 1
	// Faulty means that the upstream answered with an error of its own.
	Faulty
	// Refused means that the upstream did not run the request, as it had no room.
	Refused
	// Throttled means that the upstream did not run the request, as it had too many: of
	// everybody, or of this organisation.
	Throttled
	// Declined means that it did not run the request for a reason of the request's own.
	Declined
	// Replaced means that another start answers at the upstream's address: this
	// one is gone, though it is still on the list.
	Replaced
	// Unreachable means that no connection could be made in time.
	Unreachable
	// Dead means that nothing listens at its address any more: this start has
	// ended, though it is still on the list.
	Dead
	// Broken means that no answer came, or only a part of one.
	Broken
	// Abandoned means that the gateway gave the request up; it says nothing
	// about the upstream.
	Abandoned
)

// String names the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{"", "completed", "faulty", "refused", "throttled", "declined", "replaced", "unreachable", "dead", "broken", "abandoned"}
	if o < Completed || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Began notes that the first event of a stream, or the head of an answer, came.
func (t *Table) Began(now time.Time, c Choice) {
	u, ok := t.upstreams[c.ID]
	if !ok {
		return
	}
	u.heard(now)
	r, ok := u.running[c.run]
	if !ok || r.started {
		return
	}
	u.notices = u.notices.WithAnswer(now)
	r.started, r.startedAt = true, now
	u.health = u.health.WithBegun(now)
	r.unread = 0
	if r.lowestPriority {
		t.pool(u.Pool).queue.Began(now, now.Sub(r.sentAt))
	}
	if c.prompt.Tokens > 0 {
		t.pool(u.Pool).speed.learn(c.Unread, now.Sub(r.sentAt))
		t.announceParts(u, u.cache.record(now, c.prompt, c.keys, true))
	}
}

// Heard notes that anything came from the upstream, and the gaps between the
// events.
func (t *Table) Heard(now time.Time, id string, g Gaps) {
	if u, ok := t.upstreams[id]; ok {
		u.heard(now)
		if gap, ok := g.meanGap(); ok {
			u.meanGap.learn(now, gap, meanGapWeight)
		}
		if gap, ok := g.typical(); ok {
			u.baseGap.learn(now, gap)
		}
	}
}

// heard notes that the upstream is not silent.
func (u *upstream) heard(now time.Time) {
	u.awaitingSince = time.Time{}
	u.lastHeardAt = now
}

// SilentFor returns how long the upstream of the choice has said nothing to
// anybody, counted from the choice at the earliest.
func (t *Table) SilentFor(now time.Time, c Choice) time.Duration {
	since := c.pickedAt
	if u, ok := t.upstreams[c.ID]; ok && u.lastHeardAt.After(since) {
		since = u.lastHeardAt
	}
	return now.Sub(since)
}

// Answer is what the gateway saw of an answer.
type Answer struct {
	// Tokens is its size.
	Tokens int
	// LongestGap is the longest time between two of its events.
	LongestGap time.Duration
	// Load is what the upstream said of its load with it; nil if it did not say.
	Load *Load
}

// Ended notes what became of the request.
func (t *Table) Ended(now time.Time, c Choice, o Outcome, a Answer) {
	u, ok := t.upstreams[c.ID]
	if !ok {
		return
	}
	r, ok := u.running[c.run]
	if !ok {
		return
	}
	delete(u.running, c.run)
	if !r.started {
		u.cache.dropUnread(c.keys)
	}
	if len(u.running) == 0 {
		u.awaitingSince = time.Time{}
	}
	switch o {
	case Completed:
		u.heard(now)
		if !r.started {
			r.startedAt = now // It was over at once.
		}
		u.health = u.health.WithAnswer(r.startedAt)
		u.latency.learn(now, now.Sub(r.sentAt))
		if t.pool(u.Pool).gapTargets.isTight(r.targetGap) {
			u.longestGap.learn(now, milliseconds(a.LongestGap), longestGapWeight)
		}
		t.pool(u.Pool).learnOutput(r, a.Tokens)
	case Refused:
		u.heard(now)
		if !u.notices.Resting(now) {
			t.noteRefusal(now, u, r, a.Load)
		}
	case Throttled:
		u.heard(now)
		if !u.notices.Resting(now) && t.noteThrottle(now, u, r) {
			t.noteRefusal(now, u, r, a.Load)
		}
	case Declined:
		u.heard(now)
	case Faulty, Broken:
		u.health = u.health.WithFailure(now)
		t.ejectIfFailing(now, u)
	case Replaced, Dead:
		u.goneUntil = now.Add(goneTTL)
	case Unreachable:
		u.health = u.health.WithFailure(now)
		// It may come back cold, and says so only with its next heartbeat.
		p := t.pools[u.Pool]
		u.warmup = u.warmup.With(now.Add(p.cold.For))
		if p.mayEject(now) {
			u.health = u.health.WithLeftOut(now, unreachableBackoff)
		}
	case Abandoned:
		t.pool(u.Pool).noteIfHanging(now, u, r)
	}
}
