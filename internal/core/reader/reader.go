// Package reader decides where a gateway queries next for the state of the platform's
// store: at another gateway, or at the store itself.
//
// In normal operation one gateway of a region reads the store and the others follow it
// (package fleet computes the order). A Reader is one gateway's part of that. It issues
// one query after the other and is informed of the result of each. The state itself, and
// the age of its proof, are kept elsewhere.
//
// Other gateways are queried first, but no bound depends on them. Once the known state is
// stale, each gateway queries the store by itself before a bound is exceeded, and then
// repeatedly, after at most Bounds.MaxQueryInterval, whatever it knows of other gateways
// and of its own calls. A gateway that can reach the store therefore has its state within
// MaxQueryInterval and the time of one answer. While the store answers no gateway, each
// one queries it once in MaxQueryInterval, or up to queryJitter of that sooner, and the
// first ones of their availability zones a little more often.
//
// # Usage
//
//	r := reader.New(now)
//	for {
//		q := r.Next(now, view, bounds, fleet, random)
//		switch q.Kind {
//		case reader.QueryPeer:
//			// query the gateway at q.Address, then r.PeerAnswered(now) or r.PeerFailed(known)
//		case reader.List, reader.Watch:
//			// query the store, then r.StoreAnswered(now) or r.StoreFailed(now, random)
//		case reader.Sleep:
//			// wait for q.Wait
//		}
//	}
package reader

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/fleet"
)

const (
	// bootstrapPause is the shortest pause between two queries of a starting gateway to
	// others, and half of the longest. Three seeds answer the queries of a hundred
	// gateways.
	bootstrapPause = 100 * time.Millisecond
	// batchDelay is the pause after a watch that returned changes. Changes come in
	// bursts, and every call costs money.
	batchDelay = 150 * time.Millisecond
	// maxUnanswered is the number of consecutive unanswered queries to other gateways
	// after which the store is queried instead.
	maxUnanswered = 2
)

// View describes what a gateway knows of the store when it decides.
type View struct {
	// Known is true if any state of the store is known, InForce if a configuration is in
	// force.
	Known, InForce bool
	// Age is the time since the known state was last proved current.
	Age time.Duration
}

// Reader schedules one gateway's queries for the state of the store. It is not safe for
// concurrent use.
type Reader struct {
	storeHealth storeHealth
	// pauseUntil is when the current pause ends.
	pauseUntil time.Time
	// listed is true from a listing until the first watch after it.
	listed bool
	// needsRelist is true once the store no longer has the changes that follow the known
	// state.
	needsRelist bool
	// tryPeer is true after a call to the store failed: another gateway may still reach
	// it.
	tryPeer bool
	// unanswered is the number of consecutive unanswered queries to other gateways.
	unanswered int
	// storeNext is true if the next query goes to the store, because other gateways did
	// not answer or the store has yet to be listed.
	storeNext bool
	// queryDeadline is when this gateway queries the store at the latest, whatever other
	// gateways do; zero while the known state is not stale.
	queryDeadline time.Time
}

// New returns the reader of a starting gateway.
func New(now time.Time) *Reader { return &Reader{storeHealth: storeHealth{lastSuccess: now}} }

// Next returns the next query; random selects between equal choices.
func (r *Reader) Next(now time.Time, v View, b Bounds, f *fleet.Fleet, random uint64) Query {
	due := r.queryDue(now, v, b, random)
	if left := r.pauseUntil.Sub(now); left > 0 && !due {
		return Query{Kind: Sleep, Wait: r.capToDeadline(now, left)}
	}
	if !v.Known || !due {
		if q, ok := r.peer(now, v, b, f, random); ok {
			return q
		}
	}
	r.storeNext = false
	if !v.Known && f.DefersStoreRead(now) {
		return Query{Kind: Sleep, Wait: bootstrapPause + randomFraction(bootstrapPause, random)}
	}
	return r.store(now, v, b, random)
}

// queryDue reports whether this gateway queries the store now, whatever it knows of other
// gateways. The first deadline is randomized so that not all gateways of a fleet query
// the store at once.
func (r *Reader) queryDue(now time.Time, v View, b Bounds, random uint64) bool {
	if v.Known && !b.IsStale(v) {
		r.queryDeadline = time.Time{}
		return false
	}
	if r.queryDeadline.IsZero() {
		r.queryDeadline = now.Add(b.firstQueryDelay(v, random))
	}
	return !now.Before(r.queryDeadline)
}

// capToDeadline returns d, or the time until the query deadline if that is less.
func (r *Reader) capToDeadline(now time.Time, d time.Duration) time.Duration {
	if r.queryDeadline.IsZero() {
		return d
	}
	return min(d, r.queryDeadline.Sub(now))
}

// store returns the query to the store.
func (r *Reader) store(now time.Time, v View, b Bounds, random uint64) Query {
	if !r.queryDeadline.IsZero() {
		r.queryDeadline = now.Add(b.nextQueryDelay(random))
	}
	if !v.Known || r.needsRelist {
		return Query{Kind: List}
	}
	return Query{Kind: Watch, Wait: r.watchWait(v, b)}
}

// peer returns the query to another gateway; false if the store is to be queried. After a
// failed call to the store, any other gateway may have newer state.
func (r *Reader) peer(now time.Time, v View, b Bounds, f *fleet.Fleet, random uint64) (Query, bool) {
	if r.storeNext {
		return Query{}, false
	}
	wait, timeout := r.poll(v, b)
	var address string
	var ok bool
	if r.tryPeer {
		address, ok = f.RandomPeer(now, random)
	} else {
		address, ok = f.NextPeer(now, b.IsStale(v), random)
	}
	r.tryPeer = false
	timeout = max(r.capToDeadline(now, timeout), min(timeout, minTimeout))
	return Query{Kind: QueryPeer, Address: address, Wait: min(wait, timeout), Timeout: timeout}, ok
}

// PeerAnswered records that another gateway answered.
func (r *Reader) PeerAnswered(now time.Time) {
	r.unanswered = 0
	r.storeHealth.answeredByPeer(now)
}

// PeerFailed records that another gateway did not answer. After one failure the next
// gateway is tried. A gateway that reaches no other, or that knows no state yet, queries
// the store itself.
func (r *Reader) PeerFailed(known bool) {
	r.unanswered++
	if !known || r.unanswered >= maxUnanswered {
		r.unanswered = 0
		r.storeNext = true
	}
}

// StoreFailed records that a call to the store failed, and starts a randomized pause.
func (r *Reader) StoreFailed(now time.Time, random uint64) {
	r.tryPeer = true
	half := r.storeHealth.failed(now) / 2
	r.pauseUntil = now.Add(half + randomFraction(half, random))
}

// StoreAnswered records that the store answered, and describes the loss of the store that
// ended with this answer, if any.
func (r *Reader) StoreAnswered(now time.Time) Loss {
	loss := r.storeHealth.loss(now)
	r.storeHealth.succeeded(now)
	return loss
}

// Lost reports whether the latest call to the store failed.
func (r *Reader) Lost() bool { return r.storeHealth.lost() }

// Listed records that the store was listed.
func (r *Reader) Listed() {
	r.listed = true
	r.needsRelist = false
}

// Watched records that a watch returned, and whether there were changes.
func (r *Reader) Watched(now time.Time, news bool) {
	r.listed = false
	if news {
		r.pauseUntil = now.Add(batchDelay)
	}
}

// PeerStateReceived records that another gateway sent its state of the store, and whether
// that is newer than the known one.
func (r *Reader) PeerStateReceived(ahead bool) {
	r.listed = false
	if ahead {
		r.needsRelist = false
	}
}

// HistoryCompacted records that the store no longer has the changes that follow the known
// state. A gateway whose view is stale lists the store at once, because its query has not
// been answered yet.
func (r *Reader) HistoryCompacted() {
	r.needsRelist = true
	r.storeNext = !r.queryDeadline.IsZero()
}

// NeedsRelist reports whether the store must be listed again.
func (r *Reader) NeedsRelist() bool { return r.needsRelist }
