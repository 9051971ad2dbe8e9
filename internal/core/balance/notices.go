package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/notice"
)

// Upstreams leave, or refuse requests and ask for a backoff, before the platform's list
// says so. An upstream that refuses has nothing in flight, looks idle and attracts its
// pool's requests.
//
// What an upstream reports about itself takes precedence over the list and over this
// gateway's own health checks: while it backs off it counts as absent, and its pool is
// smaller by it.

// NoticeResult is the result of a notice.
type NoticeResult struct {
	// Sender is the incarnation that sent the notice, as far as known; the zero value if the
	// answer came from an incarnation that is not listed at that address.
	Sender Instance
	// Listed is true if the incarnation is currently listed.
	Listed bool
	State  notice.State
	// NewlyLeaving is true if the incarnation announces for the first time that it
	// leaves; BackoffExtended is true if its backoff now ends later.
	NewlyLeaving    bool
	BackoffExtended bool
	// LimitChanged is true if it changed or withdrew its rate limit.
	LimitChanged bool
	// NewlyUnparsed is true if the notice contains a value that cannot be parsed and
	// that differs from the previous one.
	NewlyUnparsed bool
}

// Notice processes a notice in the answer to a request that was sent to the upstream.
func (t *Table) Notice(now time.Time, to Instance, n notice.Notice) NoticeResult {
	sender, ok := t.responder(to, n)
	if !ok {
		return NoticeResult{}
	}
	u, listed := t.upstreams[sender.ID]
	if !listed || u.RestartedAs(sender) {
		before := t.unlisted.Get(now, sender.IncarnationKey())
		after := before.With(now, n)
		t.unlisted.Put(now, sender.IncarnationKey(), after)
		return noticeResultOf(sender, false, before, after)
	}
	before := u.notices
	u.notices = before.With(now, n)
	t.applyLimit(now, u, 0)
	t.pool(u.Pool).updateOrder(now)
	return noticeResultOf(u.Instance, true, before, u.notices)
}

func noticeResultOf(sender Instance, listed bool, before, after notice.State) NoticeResult {
	return NoticeResult{
		Sender:          sender,
		Listed:          listed,
		State:           after,
		NewlyLeaving:    after.Leaving() && !before.Leaving(),
		BackoffExtended: after.BackoffUntil().After(before.BackoffUntil()),
		LimitChanged:    after.Announced() != before.Announced(),
		NewlyUnparsed:   after.Unparsed() != before.Unparsed(),
	}
}

// responder returns the incarnation that an answer came from. An upstream refuses
// requests meant for another one, so any other answer is from the addressed one. A
// refusal is attributed to the upstream that it names, if that is listed at the address.
func (t *Table) responder(to Instance, n notice.Notice) (Instance, bool) {
	if n.Sender == "" || n.Sender == to.ID {
		return to, !n.Misdirected || n.Sender == to.ID
	}
	u, ok := t.upstreams[n.Sender]
	if !ok || u.Address != to.Address {
		return Instance{}, false
	}
	return u.Instance, true
}

// Closed returns the incarnations that sent notices or whose rate limit other gateways
// reported, for a final check before a request is sent.
func (t *Table) Closed(now time.Time) notice.Closed {
	closed := make(notice.Closed)
	for _, u := range t.upstreams {
		if u.notices.Any(now) {
			closed[u.incarnation] = u.notices
		}
	}
	return closed
}

// SaysLeaving reports whether the upstream has announced in an answer that it leaves.
func (t *Table) SaysLeaving(id string) bool {
	u, ok := t.upstreams[id]
	return ok && u.notices.Leaving()
}

// open reports whether the upstream may get new requests, ignoring requested backoffs.
func (u *upstream) open() bool { return u.Instance.open() && !u.notices.Leaving() }

// present reports whether the upstream accepts new requests now.
func (u *upstream) present(now time.Time) bool {
	return u.open() && (!u.notices.BackoffRequested() || !u.notices.InBackoff(now))
}

// inSlowStart reports whether other upstreams are preferred because a backoff of this one
// has just ended. The first request may be refused again, so it must be one of the least
// urgent.
func (t *Table) inSlowStart(now time.Time, u *upstream, r Request) bool {
	if !u.notices.BackoffRequested() {
		return false
	}
	return u.notices.SlowStartLimited(now, t.gateways, u.unanswered()) || (!r.Least && u.notices.Unproven(now))
}

// atSlowStartLimit reports whether the upstream is back from its backoff and has as many
// requests as it may get for now.
func (u *upstream) atSlowStartLimit(now time.Time) bool {
	return u.notices.BackoffRequested() && u.notices.SlowStartExhausted(now, u.unanswered())
}

// unanswered is the number of this gateway's requests there that were sent after the last
// backoff and have got no answer yet.
func (u *upstream) unanswered() int {
	n := 0
	for _, r := range u.running {
		if !r.started && !r.sentAt.Before(u.notices.BackoffUntil()) {
			n++
		}
	}
	return n
}
