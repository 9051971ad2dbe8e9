package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/pace"
)

// Outcome is the result of a request at an upstream.
type Outcome int

// Outcomes of a request.
const (
	// Completed means that the whole answer arrived.
	Completed Outcome = iota + 1
	// Faulty means that the upstream answered with an error of its own.
	Faulty
	// Refused means that the upstream did not run the request for lack of capacity.
	Refused
	// Throttled means that the upstream did not run the request because of too many
	// requests, either in total or from this organisation.
	Throttled
	// Declined means that the upstream did not run the request for a reason that lies in
	// the request.
	Declined
	// Replaced means that another incarnation answers at the upstream's address: this one
	// is gone, though it is still listed.
	Replaced
	// Unreachable means that no connection could be established in time.
	Unreachable
	// Dead means that nothing listens at its address any more: this incarnation has
	// ended, though it is still listed.
	Dead
	// Broken means that no answer arrived, or only a part of one.
	Broken
	// Abandoned means that the gateway cancelled the request; it says nothing about the
	// upstream.
	Abandoned
)

// String returns the name of the outcome used in logs.
func (o Outcome) String() string {
	names := [...]string{"", "completed", "faulty", "refused", "throttled", "declined", "replaced", "unreachable", "dead", "broken", "abandoned"}
	if o < Completed || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// ResponseStarted records that the first event of a stream or the head of an answer arrived.
func (t *Table) ResponseStarted(now time.Time, c Choice) {
	u, ok := t.upstreams[c.ID]
	if !ok {
		return
	}
	u.received(now)
	r, ok := u.running[c.run]
	if !ok || r.started {
		return
	}
	u.notices = u.notices.WithAnswer(now)
	r.started, r.startedAt = true, now
	u.health = u.health.WithResponseStart(now)
	r.unread = 0
	if r.leastUrgent {
		t.pool(u.Pool).queue.ResponseStarted(now, now.Sub(r.sentAt))
	}
	if c.prompt.Tokens > 0 {
		t.pool(u.Pool).speed.observe(c.Unread, now.Sub(r.sentAt))
		t.announceParts(u, u.cache.record(now, c.prompt, c.keys, true))
	}
}

// DataReceived records that data arrived from the upstream, and the gaps between the events.
func (t *Table) DataReceived(now time.Time, id string, g pace.Gaps) {
	if u, ok := t.upstreams[id]; ok {
		u.received(now)
		u.pace.ObserveGaps(now, g)
	}
}

// received resets the silence of the upstream.
func (u *upstream) received(now time.Time) {
	u.awaitingSince = time.Time{}
	u.lastReceivedAt = now
}

// SilentFor returns how long the chosen upstream has sent nothing for any request,
// counted from the choice at the earliest.
func (t *Table) SilentFor(now time.Time, c Choice) time.Duration {
	since := c.pickedAt
	if u, ok := t.upstreams[c.ID]; ok && u.lastReceivedAt.After(since) {
		since = u.lastReceivedAt
	}
	return now.Sub(since)
}

// Answer is what the gateway observed of an answer.
type Answer struct {
	// Tokens is the size of the answer.
	Tokens int
	// LongestGap is the longest time between two of its events.
	LongestGap time.Duration
	// Load is the load that the upstream reported with it; nil if none.
	Load *Load
}

// Ended records the outcome of the request.
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
		u.received(now)
		if !r.started {
			r.startedAt = now // The whole answer arrived at once.
		}
		u.health = u.health.WithResponse(r.startedAt)
		u.pace.Latency.Observe(now, now.Sub(r.sentAt))
		if t.pool(u.Pool).gapTargets.isTight(r.targetGap) {
			u.pace.ObserveLongestGap(now, a.LongestGap)
		}
		t.pool(u.Pool).observeOutput(r, a.Tokens)
	case Refused:
		u.received(now)
		if !u.notices.InBackoff(now) {
			t.recordRefusal(now, u, r, a.Load)
		}
	case Throttled:
		u.received(now)
		if !u.notices.InBackoff(now) && t.recordThrottle(now, u, r) {
			t.recordRefusal(now, u, r, a.Load)
		}
	case Declined:
		u.received(now)
	case Faulty, Broken:
		u.health = u.health.WithFailure(now)
		t.ejectIfFailing(now, u)
	case Replaced, Dead:
		u.markGone(now, o == Replaced)
	case Unreachable:
		u.health = u.health.WithFailure(now)
		// It may come back cold, and reports that only with its next heartbeat.
		p := t.pools[u.Pool]
		u.warmup = u.warmup.With(now.Add(p.cold.Period))
		if p.mayEject(now) {
			u.health = u.health.WithExclusion(now, unreachableBackoff)
		}
	case Abandoned:
		t.pool(u.Pool).recordIfHanging(now, u, r)
	}
}
