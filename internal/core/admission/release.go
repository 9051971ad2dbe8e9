package admission

import (
	"math"
	"slices"
	"time"
)

// maxPause is the longest time until queued calls are checked again, as room changes
// without an event: reports lose weight with age.
const maxPause = 50 * time.Millisecond

// Next releases the calls that may be sent now and those that no longer fit. It is also to
// be called when reports arrive while no call waits, so that the gateway knows whether the
// pool is contended: in a large fleet its own calls are too rare to find out.
func (q *Queue) Next(now time.Time, room Room) Released {
	var r Released
	if len(q.waiting) == 0 {
		if room.valid() && q.target > 0 {
			q.contended(now, room)
		}
		return r
	}
	if !room.valid() {
		for _, w := range q.waiting {
			r.Admitted = append(r.Admitted, w.ticket)
		}
		q.waiting = nil
		return r
	}
	q.bucket.refill(now, room.pace(q.target), room.burst(q.target))
	q.rejectExpired(now, room, &r)
	q.send(now, room, &r)
	for q.rejectUnfit(now, room, &r) {
	}
	return r
}

// NextAt returns when Next is to be called at the latest; false if no call waits.
func (q *Queue) NextAt(now time.Time, room Room) (time.Time, bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	if !room.valid() {
		return now, true
	}
	pause := q.bucket.until(1, room.pace(q.target))
	return now.Add(min(max(pause, time.Millisecond), maxPause)), true
}

// RejectAll empties the queue, as the process is about to end.
func (q *Queue) RejectAll(now time.Time, room Room) Released {
	var r Released
	for _, w := range q.waiting {
		q.reject(now, room, w, &r)
	}
	q.waiting = nil
	return r
}

// send admits calls in order while there are tokens. A call that cannot be in time is
// passed over while others of its urgency can.
func (q *Queue) send(now time.Time, room Room, r *Released) {
	for len(q.waiting) > 0 {
		i, ok := q.takeToken(q.firstInTime(now, room))
		if !ok {
			return
		}
		r.Admitted = append(r.Admitted, q.waiting[i].ticket)
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// takeToken takes a token for the call at the index or, if that call has to leave the tokens
// to others, for the next one that has not. It returns the index of that call.
func (q *Queue) takeToken(first int) (int, bool) {
	for i := first; i < len(q.waiting); i++ {
		if q.bucket.take(q.waiting[i].spare()) {
			return i, true
		}
	}
	return 0, false
}

// firstInTime is the index of the first call of the highest urgency that would be in time
// if it was sent now; that of the first call if none would.
func (q *Queue) firstInTime(now time.Time, room Room) int {
	for i, w := range q.waiting {
		if w.Urgency != q.waiting[0].Urgency {
			break
		}
		if q.inTime(now, room, w, 0) {
			return i
		}
	}
	return 0
}

// inTime reports whether a call that is sent after so much time is expected to be answered
// within its target.
func (q *Queue) inTime(now time.Time, room Room, w waiting, wait time.Duration) bool {
	return !now.Add(wait + room.rest()).After(w.Arrived.Add(w.Target))
}

// rejectExpired rejects calls that would not be answered before they are given up, as after a
// suspension of the host.
func (q *Queue) rejectExpired(now time.Time, room Room, r *Released) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool {
		if now.Add(room.rest()).Before(w.givenUpAt()) {
			return false
		}
		q.reject(now, room, w, r)
		return true
	})
}

// rejectUnfit rejects calls that would not be in time, the least urgent ones first. It
// reports whether it rejected any, as others may then move.
func (q *Queue) rejectUnfit(now time.Time, room Room, r *Released) bool {
	if len(q.waiting) == 0 {
		return false
	}
	least := q.waiting[len(q.waiting)-1].Urgency
	limit := q.urgencyLimit(now, room)
	pace := room.pace(q.target)
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		fits := len(kept) < maxQueued && q.inTime(now, room, w, q.bucket.until(len(kept)+1, pace))
		if w.Urgency <= limit && (fits || w.Urgency < min(least, limit)) {
			kept = append(kept, w)
			continue
		}
		q.reject(now, room, w, r)
	}
	changed := len(kept) < len(q.waiting)
	q.waiting = kept
	return changed
}

// urgencyLimit returns the urgency of the most urgent call that would not be in time even if
// it was sent now. It is rejected, and all less urgent ones with it: they would wait behind
// calls of its urgency for as long as these keep arriving.
func (q *Queue) urgencyLimit(now time.Time, room Room) int {
	for _, w := range q.waiting {
		if !q.inTime(now, room, w, 0) {
			return w.Urgency
		}
	}
	return math.MaxInt
}

// reject adds a rejection with the time after which to retry.
func (q *Queue) reject(now time.Time, room Room, w waiting, r *Released) {
	pace := room.pace(q.target)
	first := q.bucket.until(1, pace)
	after := q.returns.Next(now, first, pace, w.Deadline.Sub(now), w.above)
	r.Rejected = append(r.Rejected, Rejection{Ticket: w.ticket, RetryAfter: after})
}
