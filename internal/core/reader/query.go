package reader

import "time"

// Kind is the kind of a query.
type Kind int

// Kinds of queries.
const (
	// Sleep queries nothing for a while.
	Sleep Kind = iota
	// QueryPeer queries another gateway.
	QueryPeer
	// List reads everything that the store holds.
	List
	// Watch waits for changes in the store.
	Watch
)

// Query is the next query of a gateway.
type Query struct {
	Kind Kind
	// Address is the address of the gateway to query.
	Address string
	// Wait is how long the query may be held until there is news, or the length of the
	// pause.
	Wait time.Duration
	// Timeout is how long another gateway may take to answer.
	Timeout time.Duration
}

// Durations of a poll by which one gateway follows another.
const (
	// pollWait is how long a poll of the parent waits for news; each answer proves the
	// age of the view again.
	pollWait = 500 * time.Millisecond
	// minPollWait is the shortest such wait, used when the view is about to become stale.
	minPollWait = 100 * time.Millisecond
	// pollSlack is how long an answer may take in addition to the wait.
	pollSlack = 400 * time.Millisecond
	// minTimeout is the shortest timeout for another gateway when this one is about to
	// query the store; gateways of a region are a few milliseconds apart.
	minTimeout = 50 * time.Millisecond
	// bootstrapSlack is how long an answer with the whole state may take at the start of
	// a gateway. The store would return it in tens of milliseconds.
	bootstrapSlack = 200 * time.Millisecond
)

// poll returns how long a poll of a parent may be held, and its timeout. Both are short
// when the view is about to become stale, so that a parent that hangs or does not answer
// does not make it stale.
func (r *Reader) poll(v View, b Bounds) (wait, timeout time.Duration) {
	switch {
	case !v.Known:
		return 0, bootstrapSlack
	case r.tryPeer:
		return 0, pollSlack
	}
	left := b.untilStale(v)
	wait = min(pollWait, max(left-pollSlack, minPollWait))
	return wait, min(wait+pollSlack, max(left, minPollWait)+minPollWait/2)
}

// recoveryWatchWait is the wait of the first watch after an outage, the shortest that the
// store accepts.
const recoveryWatchWait = time.Millisecond

// watchWait returns the wait of the next watch. The first one after a listing or an
// outage returns at once: until it does, keys may be refused because of the age of the
// view.
func (r *Reader) watchWait(v View, b Bounds) time.Duration {
	if r.listed || r.storeHealth.lost() || b.IsStale(v) {
		return recoveryWatchWait
	}
	return b.nextWatchWait(v)
}
