// Package reader decides whom a gateway asks next for what the platform's store holds:
// another gateway, or the store itself.
//
// In calm times one gateway of a region reads the store and the others follow it (package
// fleet has the order). A Reader is one gateway's part of that. It asks one question after
// the other, and is told what became of each. What was learned, and how old the proof of
// it is, is kept elsewhere.
//
// Others are asked first, but nothing rests on them. Once what is known is too old, each
// gateway asks the store by itself in time for the promise, and then again and again, after
// at most Bounds.AskWithin, whatever it knows of others and of its own calls: a gateway that
// has a way to the store knows what it holds within AskWithin and the time of one answer.
// While nobody is answered, each gateway asks once in AskWithin, or up to turnSpread of it
// sooner, and the first ones of their availability zones a little more often.
//
// # Usage
//
//	r := reader.New(now)
//	for {
//		q := r.Next(now, view, bounds, fleet, roll)
//		switch q.Kind {
//		case reader.AskPeer:
//			// ask the gateway at q.Address, then r.PeerAnswered(now) or r.PeerFailed(known)
//		case reader.List, reader.Watch:
//			// ask the store, then r.StoreAnswered(now) or r.StoreFailed(now, roll)
//		case reader.Pause:
//			// wait for q.Wait
//		}
//	}
package reader

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/fleet"
)

const (
	// startPause is the least pause between two questions of a gateway that starts to
	// others, and half of the longest. A hundred gateways ask three.
	startPause = 100 * time.Millisecond
	// gatherFor is the pause after a watch that brought changes. Changes come
	// in groups, and every call is paid for.
	gatherFor = 150 * time.Millisecond
	// unansweredMost is the number of gateways that do not answer, one after the other,
	// after which the store is asked instead.
	unansweredMost = 2
)

// View is what a gateway knows of the store when it decides.
type View struct {
	// Known is true if anything is known of the store, InForce if a configuration is in
	// force.
	Known, InForce bool
	// Age is the time since what is known was the newest.
	Age time.Duration
}

// Reader is one gateway's reading of the store. It is not safe for concurrent use.
type Reader struct {
	contact contact
	// pauseUntil is until when nobody is asked.
	pauseUntil time.Time
	// listed is true until the first watch after a listing.
	listed bool
	// unfollowed is true once the store cannot tell what followed what is known.
	unfollowed bool
	// tryPeer is true after a call to the store failed: another gateway may still
	// reach it.
	tryPeer bool
	// unanswered is the number of questions to other gateways in a row that had no answer.
	unanswered int
	// storeNext is true if the next question goes to the store, as others did not answer or
	// the store has yet to tell everything.
	storeNext bool
	// turnAt is when this gateway asks the store at the latest, whoever else may ask it;
	// zero while what is known is not too old.
	turnAt time.Time
}

// New returns the reader of a gateway that starts.
func New(now time.Time) *Reader { return &Reader{contact: contact{goodAt: now}} }

// Next returns what to ask next, by the roll of a dice where there is a choice.
func (r *Reader) Next(now time.Time, v View, b Bounds, f *fleet.Fleet, roll uint64) Question {
	turn := r.isTurn(now, v, b, roll)
	if left := r.pauseUntil.Sub(now); left > 0 && !turn {
		return Question{Kind: Pause, Wait: r.untilTurn(now, left)}
	}
	if !v.Known || !turn {
		if q, ok := r.peer(now, v, b, f, roll); ok {
			return q
		}
	}
	r.storeNext = false
	if !v.Known && f.WaitsForOthers(now) {
		return Question{Kind: Pause, Wait: startPause + part(startPause, roll)}
	}
	return r.store(now, v, b, roll)
}

// isTurn reports whether this gateway asks the store now, whatever it knows of others. The
// first time is drawn by the roll of a dice, so that not all of a fleet ask at once.
func (r *Reader) isTurn(now time.Time, v View, b Bounds, roll uint64) bool {
	if v.Known && !b.Late(v) {
		r.turnAt = time.Time{}
		return false
	}
	if r.turnAt.IsZero() {
		r.turnAt = now.Add(b.firstTurn(v, roll))
	}
	return !now.Before(r.turnAt)
}

// untilTurn returns the time, or what is left until this gateway asks the store if that is
// less.
func (r *Reader) untilTurn(now time.Time, d time.Duration) time.Duration {
	if r.turnAt.IsZero() {
		return d
	}
	return min(d, r.turnAt.Sub(now))
}

// store returns the question to the store.
func (r *Reader) store(now time.Time, v View, b Bounds, roll uint64) Question {
	if !r.turnAt.IsZero() {
		r.turnAt = now.Add(b.nextTurn(roll))
	}
	if !v.Known || r.unfollowed {
		return Question{Kind: List}
	}
	return Question{Kind: Watch, Wait: r.watch(v, b)}
}

// peer returns the question to another gateway; false if it is the store's turn. After
// a call to the store has failed, any other gateway may know more.
func (r *Reader) peer(now time.Time, v View, b Bounds, f *fleet.Fleet, roll uint64) (Question, bool) {
	if r.storeNext {
		return Question{}, false
	}
	wait, timeout := r.poll(v, b)
	var address string
	var ok bool
	if r.tryPeer {
		address, ok = f.Other(now, roll)
	} else {
		address, ok = f.Next(now, b.Late(v), roll)
	}
	r.tryPeer = false
	timeout = max(r.untilTurn(now, timeout), min(timeout, leastTimeout))
	return Question{Kind: AskPeer, Address: address, Wait: min(wait, timeout), Timeout: timeout}, ok
}

// PeerAnswered notes that another gateway answered.
func (r *Reader) PeerAnswered(now time.Time) {
	r.unanswered = 0
	r.contact.answeredByPeer(now)
}

// PeerFailed notes that another gateway did not answer: one is left for the next one, but
// a gateway that reaches no other reads the store itself, and so does one that knows nothing.
func (r *Reader) PeerFailed(known bool) {
	r.unanswered++
	if !known || r.unanswered >= unansweredMost {
		r.unanswered = 0
		r.storeNext = true
	}
}

// StoreFailed notes that a call to the store failed; the roll of a dice chooses the pause
// that follows.
func (r *Reader) StoreFailed(now time.Time, roll uint64) {
	r.tryPeer = true
	half := r.contact.failed(now) / 2
	r.pauseUntil = now.Add(half + part(half, roll))
}

// StoreAnswered notes that the store answered, and returns how it had been lost.
func (r *Reader) StoreAnswered(now time.Time) Loss {
	loss := r.contact.loss(now)
	r.contact.succeeded(now)
	return loss
}

// Lost reports whether the latest call to the store failed.
func (r *Reader) Lost() bool { return r.contact.lost() }

// Listed notes that everything was read.
func (r *Reader) Listed() {
	r.listed = true
	r.unfollowed = false
}

// Watched notes that a watch brought what followed, and whether there was anything.
func (r *Reader) Watched(now time.Time, news bool) {
	r.listed = false
	if news {
		r.pauseUntil = now.Add(gatherFor)
	}
}

// Told notes that another gateway told what it knows, and whether that goes further than
// what was known.
func (r *Reader) Told(further bool) {
	r.listed = false
	if further {
		r.unfollowed = false
	}
}

// CannotFollow notes that the store cannot tell what followed what is known. A gateway
// whose view is too old reads everything at once: its question is not answered yet.
func (r *Reader) CannotFollow() {
	r.unfollowed = true
	r.storeNext = !r.turnAt.IsZero()
}

// Unfollowed reports whether everything is to be read anew.
func (r *Reader) Unfollowed() bool { return r.unfollowed }
