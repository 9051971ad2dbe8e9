package fleet

import "time"

// Load limit: when the store answers no gateway, or leaves a third of them without an
// answer, calls must not grow with the size of the fleet. Other gateways already have the
// store's state, or no gateway can get it.
//
// A gateway whose call failed therefore backs off from the store and reports the backoff
// to its followers, which move on to the next gateway in the order. While the known state
// is nevertheless stale, the first gateway of each availability zone and a few others
// query the store, regardless of the size of the fleet. The rest query each other, so
// that the first answer reaches all of them. No staleness bound depends on this: when
// every gateway backs off, package reader still lets each one query the store at its own
// deadline.

const (
	// storeBackoff is how long a gateway avoids the store after a failed call.
	storeBackoff = 3 * time.Second
	// extraStaleReaders is the expected number of gateways, in addition to the first of
	// each availability zone, that query the store in each drawInterval while the known
	// state is stale.
	extraStaleReaders = 4
	drawInterval      = time.Second
)

// StoreFailed records that a call of this gateway to the store failed, and starts the
// backoff.
func (f *Fleet) StoreFailed(now time.Time) { f.backoffUntil = now.Add(storeBackoff) }

// StoreAnswered records that the store answered this gateway, and ends the backoff.
func (f *Fleet) StoreAnswered() { f.backoffUntil = time.Time{} }

// Backoff returns how much longer this gateway avoids the store; 0 if it does not.
func (f *Fleet) Backoff(now time.Time) time.Duration { return max(0, f.backoffUntil.Sub(now)) }

// SetPeerBackoff records for how long the gateway at the address avoids the store.
func (f *Fleet) SetPeerBackoff(now time.Time, address string, d time.Duration) {
	if p, ok := f.peers[address]; ok {
		p.backoffUntil = now.Add(min(d, storeBackoff))
	}
}

// NextPeer returns the gateway to query next for the state of the store, selected at random
// where several qualify; false if this gateway queries the store itself. The stale
// argument is true if the known state is too old to wait for the parent alone.
func (f *Fleet) NextPeer(now time.Time, stale bool, random uint64) (string, bool) {
	if !stale {
		f.staleQueries = 0
		return f.Source(now, random)
	}
	f.staleQueries++
	if f.readsStoreWhenStale(now, random) {
		return "", false
	}
	if f.staleQueries%2 == 1 {
		return f.Source(now, random)
	}
	return f.randomReader(now, random)
}

// readsStoreWhenStale reports whether this gateway is one of those that query the store
// now because the known state is stale.
func (f *Fleet) readsStoreWhenStale(now time.Time, random uint64) bool {
	if f.Backoff(now) > 0 || f.queriesSeedFirst(now) {
		return false
	}
	return f.leadsZone(now) || f.drawsStoreRead(now, random)
}

// drawsStoreRead reports whether the random number selects this gateway as one of the few
// that query the store. It draws at most once per drawInterval.
func (f *Fleet) drawsStoreRead(now time.Time, random uint64) bool {
	if now.Sub(f.lastDraw) < drawInterval {
		return false
	}
	f.lastDraw = now
	return random%uint64(f.Known(now)) < extraStaleReaders
}

// randomReader returns a random gateway that may reach the store. It returns any other
// gateway if all of them back off, and false if none is known.
func (f *Fleet) randomReader(now time.Time, random uint64) (string, bool) {
	var addresses []string
	for p := range f.aliveSeq(now) {
		if !p.Leaving && f.canFollow(now, p) {
			addresses = append(addresses, p.Address)
		}
	}
	if len(addresses) == 0 {
		return f.RandomPeer(now, random)
	}
	return addresses[random%uint64(len(addresses))], true
}
