package admission

import (
	"slices"
	"time"
)

// maxQueued bounds the calls that a gateway queues for one pool, whatever the room claims.
const maxQueued = 10_000

// maxRoutes bounds the number of routes of a pool whose deadlines are tracked.
const maxRoutes = 200

// targetTTL is how long the shortest target of the calls is retained.
const targetTTL = 10 * time.Second

// Queue holds the calls of one pool that wait at one gateway. The zero value is empty. It
// is not safe for concurrent use.
type Queue struct {
	waiting    []waiting
	lastTicket Ticket
	bucket     bucket
	// paced is true while the pool is contended, which it was last seen at contendedAt.
	paced       bool
	contendedAt time.Time
	// deadlines are per route, as the callers of a route wait equally long on their first try.
	deadlines map[string]*deadlines
	reserve   reserve
	// target is the shortest target of the recent calls, by which the limit is computed; it
	// was last seen at targetAt.
	target   time.Duration
	targetAt time.Time
	returns  Returns
}

// Len is the number of calls that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Paced reports whether calls were paced at the latest decision, as the pool is contended.
func (q *Queue) Paced() bool { return q.paced }

// Arrive decides on a call. A call without a target is admitted, as is any call if the
// room is invalid.
func (q *Queue) Arrive(now time.Time, room Room, c Call) Decision {
	if c.Target <= 0 {
		return Decision{Outcome: Admitted}
	}
	if !room.valid() {
		return Decision{Outcome: Admitted, Released: q.Next(now, room)}
	}
	q.observeTarget(now, c.Target)
	contended := q.contended(now, room)
	q.bucket.refill(now, room.pace(q.target), room.burst(q.target))
	kind := q.kindOf(now, c)
	if !contended {
		q.bucket.spend()
		return Decision{Outcome: Admitted}
	}
	q.lastTicket++
	w := waiting{Call: c, ticket: q.lastTicket, above: room.above(c.Organisation), kind: kind}
	w.reserved = kind == returningTry && q.reserve.take(now, room.pace(q.target))
	at, _ := slices.BinarySearchFunc(q.waiting, w, waiting.before)
	q.waiting = slices.Insert(q.waiting, at, w)
	d := decisionFor(w.ticket, q.Next(now, room))
	if d.Outcome != Admitted {
		d.Wait = q.bucket.until(q.position(w.ticket)+1, room.pace(q.target))
	}
	return d
}

// observeTarget updates the shortest target. A route with a long target would otherwise let
// calls fill the replicas' queues at the expense of those with a short one.
func (q *Queue) observeTarget(now time.Time, target time.Duration) {
	if q.target == 0 || target <= q.target || now.Sub(q.targetAt) > targetTTL {
		q.target, q.targetAt = target, now
	}
}

// position is the number of calls before the one with the ticket, or of all calls if it does
// not wait.
func (q *Queue) position(t Ticket) int {
	i := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.ticket == t })
	if i < 0 {
		return len(q.waiting)
	}
	return i
}

// kindOf returns whether the call is a first or a repeated try.
func (q *Queue) kindOf(now time.Time, c Call) tryKind {
	if q.deadlines == nil || len(q.deadlines) > maxRoutes {
		q.deadlines = make(map[string]*deadlines)
	}
	d, ok := q.deadlines[c.Route]
	if !ok {
		d = &deadlines{}
		q.deadlines[c.Route] = d
	}
	return d.kindOf(now, c)
}

// Leave removes a call from the queue, and reports whether it was there.
func (q *Queue) Leave(t Ticket) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool { return w.ticket == t })
	return len(q.waiting) < n
}

// contended reports whether calls are paced.
func (q *Queue) contended(now time.Time, room Room) bool {
	n := room.inFlight()
	if n >= room.limit(q.target) || (q.paced && n >= float64(room.Slots)) {
		q.contendedAt = now
	}
	paced := len(q.waiting) > 0 || recently(now, q.contendedAt) || recently(now, room.RejectedAt)
	if paced && !q.paced {
		q.bucket.start()
	}
	q.paced = paced
	return paced
}

// recently reports whether the time is at most contentionHold ago.
func recently(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < contentionHold
}
