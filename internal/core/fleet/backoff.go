package fleet

import "time"

// The load that this answers: the store answers a third of the gateways not at all, or
// nobody. If each of them goes on asking, the calls grow with the fleet, though others
// know what the store holds, or nobody can.
//
// So a gateway whose call failed leaves the store to others for a while and tells those
// who follow it, which turn to the next one in the order. While what is known is too old
// nevertheless, the first of each availability zone and a few others ask the store,
// whatever the size of the fleet; the rest ask each other, so that the first answer
// reaches all of them. No bound rests on this: where all leave the store to others, package
// reader lets each ask in its own turn.

const (
	// storeBackoff is how long a gateway leaves the store to others after its call failed.
	storeBackoff = 3 * time.Second
	// lateReaders is the number of gateways, beside the first of each availability
	// zone, that ask the store in each drawEvery while what is known is too old.
	lateReaders = 4
	drawEvery   = time.Second
)

// StoreFailed notes that a call of this gateway to the store failed. It leaves the store
// to others if it knows any.
func (f *Fleet) StoreFailed(now time.Time) { f.backoffUntil = now.Add(storeBackoff) }

// StoreAnswered notes that the store answered this gateway.
func (f *Fleet) StoreAnswered() { f.backoffUntil = time.Time{} }

// Backoff returns for how long this gateway leaves the store to others; 0 if it does not.
func (f *Fleet) Backoff(now time.Time) time.Duration { return max(0, f.backoffUntil.Sub(now)) }

// BacksOff notes for how long the gateway at the address leaves the store to others.
func (f *Fleet) BacksOff(now time.Time, address string, d time.Duration) {
	if h, ok := f.others[address]; ok {
		h.backoffUntil = now.Add(min(d, storeBackoff))
	}
}

// Next returns the gateway to ask next for what the store holds, chosen by the roll of a
// dice where there is a choice; false if this one asks the store. Late tells that what is
// known is too old to wait for the parent alone.
func (f *Fleet) Next(now time.Time, late bool, roll uint64) (string, bool) {
	if !late {
		f.lateTurn = 0
		return f.Source(now, roll)
	}
	f.lateTurn++
	if f.asksWhenLate(now, roll) {
		return "", false
	}
	if f.lateTurn%2 == 1 {
		return f.Source(now, roll)
	}
	return f.anyReader(now, roll)
}

// asksWhenLate reports whether this gateway is one of those that ask the store now, as
// what is known is too old.
func (f *Fleet) asksWhenLate(now time.Time, roll uint64) bool {
	if f.Backoff(now) > 0 || f.asksSeedFirst(now) {
		return false
	}
	return f.firstOfZone(now) || f.drawn(now, roll)
}

// drawn reports whether the roll of a dice lets this gateway ask the store, as one of a
// few of the fleet.
func (f *Fleet) drawn(now time.Time, roll uint64) bool {
	if now.Sub(f.drawnAt) < drawEvery {
		return false
	}
	f.drawnAt = now
	return roll%uint64(f.Known(now)) < lateReaders
}

// anyReader returns another gateway that may reach the store, chosen by the roll of a dice;
// any other one if all back off, and false if none is known.
func (f *Fleet) anyReader(now time.Time, roll uint64) (string, bool) {
	var addresses []string
	for h := range f.living(now) {
		if !h.Leaving && f.mayFollow(now, h) {
			addresses = append(addresses, h.Address)
		}
	}
	if len(addresses) == 0 {
		return f.Other(now, roll)
	}
	return addresses[roll%uint64(len(addresses))], true
}
