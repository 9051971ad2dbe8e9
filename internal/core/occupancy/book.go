package occupancy

import "time"

// word is what was told, and when.
type word struct {
	loads Loads
	at    time.Time
}

// Book is what one gateway was told. It is not safe for concurrent use.
type Book struct {
	own Loads
	// members are the words of the availability zone, everybody those of all: of members
	// and of other zones.
	members   *words
	everybody *words
	// all is what the relay told of all others.
	all word
	// keep is how long a word counts, age how old the words of others are when they come.
	keep time.Duration
	age  time.Duration
}

// New returns a book without a word.
func New() *Book {
	b := &Book{members: newWords(), everybody: newWords()}
	b.Expect(PaceOf(1, 1, false))
	return b
}

// Expect takes how the gateways tell now: the longer they take, the longer a word counts.
func (b *Book) Expect(p Pace) {
	b.keep = p.keep()
	b.age = p.Age()
}

// Keep is how long a word counts.
func (b *Book) Keep() time.Duration { return b.keep }

// Age is how old the words of others are when they come, in the mean.
func (b *Book) Age() time.Duration { return b.age }

// fresh reports whether the word still counts.
func (b *Book) fresh(now time.Time, w word) bool {
	return !w.at.IsZero() && now.Sub(w.at) <= b.keep
}

// Own takes what the gateway itself has.
func (b *Book) Own(l Loads) { b.own = l }

// TakeMember takes what another gateway of the availability zone has. It is one
// witness, whatever it tells.
func (b *Book) TakeMember(now time.Time, address string, l Loads) {
	b.TakeCell(now, address, l, 1)
}

// TakeCell takes the sum of what some gateways of the availability zone have. They are
// so many witnesses at most.
func (b *Book) TakeCell(now time.Time, address string, l Loads, gateways int) {
	l = l.withWitnesses(gateways)
	b.members.take(now, address, l)
	b.everybody.take(now, address, l)
}

// TakeZone takes what the gateways of another availability zone have, or, under a name
// that is no zone's, what the relay of the own one told the relay of a cell.
func (b *Book) TakeZone(now time.Time, zone string, l Loads) {
	b.everybody.take(now, zoneName(zone), l)
}

// swappedShare is the part of the time between two words within which a word of another
// availability zone says that its relay has asked already.
const swappedShare = 0.75

// Swapped reports whether the relay of the other availability zone has just told its word,
// and been told this one's: a call takes both, and bytes between zones are dear.
func (b *Book) Swapped(now time.Time, zone string, every time.Duration) bool {
	w, ok := b.everybody.by[zoneName(zone)]
	return ok && now.Sub(w.at) < time.Duration(swappedShare*float64(every))
}

// TakeAll takes the relay's word on what all others have.
func (b *Book) TakeAll(now time.Time, l Loads) { b.all = word{loads: l, at: now} }

// For returns what all gateways but one of the availability zone have: the answer
// of a relay to that one.
func (b *Book) For(now time.Time, address string) Loads {
	sum := b.told(now, address)
	sum.add(b.own)
	return sum
}

// Zone returns what the gateways of the availability zone have.
func (b *Book) Zone(now time.Time) Loads {
	b.forget(now)
	sum := b.members.without("")
	sum.add(b.own)
	return sum
}

// Others returns what all other gateways have, as far as it is known; false if
// nothing is. A relay knows it from its members and the other relays, everybody
// else from the relay.
func (b *Book) Others(now time.Time, relay bool) (Loads, bool) {
	if !relay {
		return b.all.loads, b.fresh(now, b.all)
	}
	sum := b.told(now, "")
	return sum, len(b.everybody.by) > 0
}

// told is what other gateways told, but for one of the availability zone.
func (b *Book) told(now time.Time, except string) Loads {
	b.forget(now)
	return b.everybody.without(except)
}

// forget drops the words that no longer count.
func (b *Book) forget(now time.Time) {
	b.members.forget(now, b.keep)
	b.everybody.forget(now, b.keep)
}

// zoneName tells the word of an availability zone from that of a gateway.
func zoneName(zone string) string { return "zone/" + zone }
