package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/notice"
)

// The load that this answers: upstreams that leave, or refuse and ask for rest, while the
// platform's list says nothing of it. An upstream that refuses has nothing in flight and
// looks idle, and draws its pool's requests.
//
// What an upstream says of itself goes before the list and before every judgement of ours:
// while it rests it is absent, and its pool is that much smaller.

// Said is what became of a notice.
type Said struct {
	// Of is the start whose word it is, as far as it is known; the zero value if the answer
	// was of a start that is not listed at that address.
	Of Instance
	// Listed is true if the start is on the list now.
	Listed bool
	State  notice.State
	// Leaves is true if the start had not said before that it leaves, Rests if its rest
	// ends later now.
	Leaves bool
	Rests  bool
	// Limits is true if it names another limit than before, or none any more.
	Limits bool
	// Unreadable is true if it says what cannot be read, and said something else before.
	Unreadable bool
}

// Notice takes what an answer to a request that was sent to the upstream says of the start
// that gave it.
func (t *Table) Notice(now time.Time, to Instance, n notice.Notice) Said {
	of, ok := t.responder(to, n)
	if !ok {
		return Said{}
	}
	u, listed := t.upstreams[of.ID]
	if !listed || u.RestartedAs(of) {
		before := t.unlisted.Get(now, of.Start())
		after := before.With(now, n)
		t.unlisted.Put(now, of.Start(), after)
		return noticeResultOf(of, false, before, after)
	}
	before := u.notices
	u.notices = before.With(now, n)
	t.applyLimit(now, u, 0)
	t.pool(u.Pool).updateOrder(now)
	return noticeResultOf(u.Instance, true, before, u.notices)
}

func noticeResultOf(of Instance, listed bool, before, after notice.State) Said {
	return Said{
		Of:         of,
		Listed:     listed,
		State:      after,
		Leaves:     after.Leaving() && !before.Leaving(),
		Rests:      after.RestUntil().After(before.RestUntil()),
		Limits:     after.Named() != before.Named(),
		Unreadable: after.Unread() != before.Unread(),
	}
}

// speaker returns the start that an answer is of. An upstream refuses what is meant for
// another one, so that any other answer is of the one that was addressed. Of a refusal it
// is the one that it names, if that is listed at the address.
func (t *Table) responder(to Instance, n notice.Notice) (Instance, bool) {
	if n.Of == "" || n.Of == to.ID {
		return to, !n.Elsewhere || n.Of == to.ID
	}
	u, ok := t.upstreams[n.Of]
	if !ok || u.Address != to.Address {
		return Instance{}, false
	}
	return u.Instance, true
}

// Closed returns the starts that have said something of themselves, or whose limit others
// tell of, for a last look before a request goes out.
func (t *Table) Closed(now time.Time) notice.Closed {
	closed := make(notice.Closed)
	for _, u := range t.upstreams {
		if u.notices.Any(now) {
			closed[u.incarnation] = u.notices
		}
	}
	return closed
}

// SaysLeaving reports whether the upstream has said in an answer that it leaves.
func (t *Table) SaysLeaving(id string) bool {
	u, ok := t.upstreams[id]
	return ok && u.notices.Leaving()
}

// open reports whether the upstream may get anything new, its rests aside.
func (u *upstream) open() bool { return u.Instance.open() && !u.notices.Leaving() }

// present reports whether the upstream is there for new requests now.
func (u *upstream) present(now time.Time) bool {
	return u.open() && (!u.notices.Rested() || !u.notices.Resting(now))
}

// spared reports whether others go first, as a rest of the upstream ended a moment ago.
// The first request may be refused again, so that it is one of the least urgent.
func (t *Table) inSlowStart(now time.Time, u *upstream, r Request) bool {
	if !u.notices.Rested() {
		return false
	}
	return u.notices.Spared(now, t.gateways, u.unanswered()) || (!r.Least && u.notices.Untried(now))
}

// flooded reports whether the upstream is back from its rest and has all that it can take
// for now.
func (u *upstream) atSlowStartLimit(now time.Time) bool {
	return u.notices.Rested() && u.notices.Flooded(now, u.unanswered())
}

// unanswered is the number of this gateway's requests there without a first word, of
// those that were sent after the last rest.
func (u *upstream) unanswered() int {
	n := 0
	for _, r := range u.running {
		if !r.started && !r.sentAt.Before(u.notices.RestUntil()) {
			n++
		}
	}
	return n
}
