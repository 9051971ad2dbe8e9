// Package fleet holds what a gateway knows of the other gateways.
//
// Gateways are on no list. Each one knows a few addresses from its settings,
// swaps what it knows with one other gateway a second, and so learns of all of
// them. A gateway whose beat has not risen for a while is forgotten. Nothing
// here is needed to keep a promise: what is known may be late or wrong, and a
// gateway that knows nobody acts alone.
//
// The gateways of a region form a tree over the rendezvous order of their
// addresses, an availability zone each branch of it. The first one reads the
// platform's store, the others follow their parent in the tree. Nobody is set
// aside: when one goes, the order moves up.
//
// # Usage
//
//	f := fleet.New(self)
//	f.Beat()
//	f.Merge(now, heard)
//	if address, ok := f.Next(now, late, roll); ok {
//		follow(address)
//	}
package fleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Sizes and times of a fleet.
const (
	// ExchangeEvery is the mean time between two exchanges that a gateway begins.
	ExchangeEvery = time.Second
	// ShareMost is the number of gateways that one message tells of. Each is
	// about 60 bytes, so that two exchanges a second stay within the 4 KB/s that
	// control may cost a gateway.
	ShareMost = 16
	// IntroduceMost is the number that a gateway is told of that knows less than half
	// as many: it has just started. It is told so once or twice. As many are told while
	// the fleet gets to know itself.
	IntroduceMost = 128
	// learningPart is the part of the gateways in a message from which on so many new
	// ones show that others lack as many.
	learningPart = 0.08
	// learningFor is how long more are told after such a message. It is two exchanges.
	learningFor = 2 * time.Second
	// FanOut is the number of gateways that follow the same parent: their polls
	// stay within 4 KB/s, and three levels below the first reach over 500
	// gateways.
	FanOut = 8
	// keepFor is how long a gateway is believed to live without a new beat,
	// while one message tells of all gateways. It is several exchanges.
	keepFor = 5 * time.Second
	// rememberFactor is how many times as long as a gateway is believed to live
	// its last beat is remembered, so that an old word does not bring it back.
	rememberFactor = 10
	// rejoinEvery is the number of exchanges of which one goes to a gateway that
	// is not known to live.
	rejoinEvery = 4
	// downFor is how long a gateway is not asked after a call to it failed. It is
	// shorter than keepFor: one call may be lost though the gateway lives.
	downFor = 3 * time.Second
	// failuresMost bounds how often that time is doubled.
	failuresMost = 4
	// sizeMemory is how long the largest size of the fleet is remembered: the
	// parts of a fleet that was cut must not count themselves as the whole.
	sizeMemory = time.Minute
)

// Fleet is one gateway's picture of all gateways. It is not safe for concurrent
// use.
type Fleet struct {
	self   Member
	others map[string]*heard
	// hashes are those of the others' addresses, and order the others by address; nil
	// after one came or went.
	hashes []uint64
	order  []*heard
	// peak is the largest size of the last minute.
	peak   int
	peakAt time.Time
	start  start
	// zones are those of the region, in the order in which they read the store.
	zones []string
	// backoffUntil is until when this gateway leaves the store to others.
	backoffUntil time.Time
	// lateTurn counts the questions since what is known became too old; drawnAt is when
	// the dice was rolled last for one to the store.
	lateTurn int
	drawnAt  time.Time
	// learningUntil is until when more gateways are told of than in calm times.
	learningUntil time.Time
	// joinedAt is when the first other gateway was heard of; zero before.
	joinedAt time.Time
}

// New returns a fleet of the gateway alone.
func New(self Member) *Fleet {
	return &Fleet{self: self, others: make(map[string]*heard)}
}

// Beat tells that the gateway lives.
func (f *Fleet) Beat() { f.self.Beat++ }

// Leave tells that the gateway takes nobody new.
func (f *Fleet) Leave() {
	f.self.Beat++
	f.self.Leaving = true
}

// Merge takes what another gateway knows.
func (f *Fleet) Merge(now time.Time, members []Member) {
	before := len(f.others)
	for _, m := range members {
		if m.Address == f.self.Address && m.Start > f.self.Start {
			// An earlier start had a clock that was ahead.
			f.self.Start = m.Start + 1
		}
		if m.Address == "" || m.Address == f.self.Address {
			continue
		}
		held, ok := f.others[m.Address]
		switch {
		case !ok:
			f.others[m.Address] = &heard{Member: m, at: now, hash: xxhash.Sum64String(m.Address)}
			f.changed()
		case m.newer(held.Member):
			held.Member = m
			held.at = now
			held.failures = 0
		}
	}
	if float64(len(f.others)-before) > learningPart*float64(len(members)) {
		f.learningUntil = now.Add(learningFor)
	}
	if len(f.others) > 0 && f.joinedAt.IsZero() {
		f.joinedAt = now
	}
	f.forget(now)
	f.Size(now)
}

// keep is how long a gateway is believed to live without a new beat. The larger
// the fleet, the longer a beat takes to come around.
func (f *Fleet) keep() time.Duration {
	return keepFor * time.Duration(1+len(f.others)/ShareMost)
}

// forget drops the gateways that have not been heard of for very long. Until then
// their last beat is remembered, so that an old word about them, which others may
// still pass on, does not bring them back.
func (f *Fleet) forget(now time.Time) {
	keep := rememberFactor * f.keep()
	for address, h := range f.others {
		if now.Sub(h.at) > keep {
			delete(f.others, address)
			f.changed()
		}
	}
}

// alive returns the other gateways that are believed to live, in order.
func (f *Fleet) alive(now time.Time) []*heard { return slices.Collect(f.living(now)) }

// living goes over the other gateways that are believed to live, in order.
func (f *Fleet) living(now time.Time) iter.Seq[*heard] {
	keep := f.keep()
	return func(yield func(*heard) bool) {
		for _, h := range f.sorted() {
			if now.Sub(h.at) <= keep && !yield(h) {
				return
			}
		}
	}
}

// sorted returns all others by address. It is asked for many times a second and changes
// only when one comes or is forgotten.
func (f *Fleet) sorted() []*heard {
	if f.order == nil {
		f.order = slices.SortedFunc(maps.Values(f.others), func(a, b *heard) int {
			return cmp.Compare(a.Address, b.Address)
		})
	}
	return f.order
}

// changed drops what is kept of who there is.
func (f *Fleet) changed() {
	f.hashes = nil
	f.order = nil
}

// Known is the number of gateways that are believed to live, with this one.
func (f *Fleet) Known(now time.Time) int {
	n := 1
	for range f.living(now) {
		n++
	}
	return n
}

// Share returns what the next message tells a gateway that knows so many: this one
// and some others, chosen by the roll of a dice.
func (f *Fleet) Share(now time.Time, known int, roll uint64) []Member {
	list := f.alive(now)
	most := ShareMost
	if 2*known <= len(list) || now.Before(f.learningUntil) {
		most = IntroduceMost
	}
	slices.SortFunc(list, func(a, b *heard) int {
		return cmp.Compare(rendezvous.Mix(roll, a.hash), rendezvous.Mix(roll, b.hash))
	})
	members := []Member{f.self}
	for _, h := range list[:min(len(list), most-1)] {
		members = append(members, h.Member)
	}
	return members
}

// Size returns the number of gateways that share what is counted over all of
// them: the largest one of the last minute.
func (f *Fleet) Size(now time.Time) int {
	n := f.Known(now)
	if n >= f.peak || now.Sub(f.peakAt) > sizeMemory {
		f.peak, f.peakAt = n, now
	}
	return f.peak
}
