package occupancy

import (
	"maps"
	"time"
)

// Times of telling.
const (
	// Every is how often a gateway tells what it has. Prompts take about as long to
	// be read.
	Every = 100 * time.Millisecond
	// MembersMost is the number of gateways of an availability zone that tell that
	// often; more of them tell less often, so that the relay's work is bounded.
	MembersMost = 16
	// keepWords is how many times as long as a gateway takes to tell anew its word
	// counts: a few may be lost.
	keepWords = 7
)

// EveryOf is how often each of n gateways of an availability zone tells.
func EveryOf(n int) time.Duration {
	return Every * time.Duration(1+max(0, n-1)/MembersMost)
}

// word is what was told, and when.
type word struct {
	loads Loads
	at    time.Time
}

// Book is what one gateway was told. It is not safe for concurrent use.
type Book struct {
	own     Loads
	members map[string]word
	zones   map[string]word
	// all is what the relay told of all others.
	all word
	// keep is how long a word counts.
	keep time.Duration
}

// New returns a book without a word.
func New() *Book {
	b := &Book{members: make(map[string]word), zones: make(map[string]word)}
	b.Expect(1)
	return b
}

// Expect takes the number of gateways of the availability zone: the more there
// are, the longer a word counts.
func (b *Book) Expect(n int) { b.keep = keepWords * EveryOf(n) }

// Keep is how long a word counts.
func (b *Book) Keep() time.Duration { return b.keep }

// Age is how old the words of others are when they come, in the mean: half of the
// time between two words on the way to a relay, and as much between relays.
func (b *Book) Age() time.Duration { return b.keep / keepWords }

// fresh reports whether the word still counts.
func (b *Book) fresh(now time.Time, w word) bool {
	return !w.at.IsZero() && now.Sub(w.at) <= b.keep
}

// Own takes what the gateway itself has.
func (b *Book) Own(l Loads) { b.own = l }

// TakeMember takes what another gateway of the availability zone has. It is one
// witness, whatever it tells.
func (b *Book) TakeMember(now time.Time, address string, l Loads) {
	b.members[address] = word{loads: l.withWitnesses(1), at: now}
}

// TakeZone takes what the gateways of another availability zone have.
func (b *Book) TakeZone(now time.Time, zone string, l Loads) {
	b.zones[zone] = word{loads: l, at: now}
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
	sum := b.fromMembers(now, "")
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
	return sum, len(b.members)+len(b.zones) > 0
}

// told is what other gateways told, but for one of the availability zone.
func (b *Book) told(now time.Time, except string) Loads {
	sum := b.fromMembers(now, except)
	b.forget(now, b.zones)
	for _, w := range b.zones {
		sum.add(w.loads)
	}
	return sum
}

// fromMembers is what the other gateways of the availability zone told, but for one.
func (b *Book) fromMembers(now time.Time, except string) Loads {
	b.forget(now, b.members)
	sum := make(Loads)
	for address, w := range b.members {
		if address != except {
			sum.add(w.loads)
		}
	}
	return sum
}

// forget drops the words that no longer count.
func (b *Book) forget(now time.Time, words map[string]word) {
	maps.DeleteFunc(words, func(_ string, w word) bool { return !b.fresh(now, w) })
}
