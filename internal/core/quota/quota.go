// Package quota divides a rate that all gateways keep together.
//
// Some figures bind the sum of what all gateways send: what an upstream in need takes a
// second is one. No gateway sees what the others send in the same second, and nothing may
// be written that all of them read. So only a few gateways, its holders, use the rate: the
// first ones in rendezvous order of all gateways that were heard of lately. Each of them
// keeps a bucket of turns that fills at its part of the rate.
//
// # The bound
//
// In any time of length w, one of h holders takes at most the turns that its bucket holds
// when full, and those that come in meanwhile: b + w·r/h, with r the rate that they share.
// Over all holders that is h·b + w·r, whatever the size of the fleet. Divide chooses h and
// b so that several times this, by as many as the policy's views, stays within the bound:
// gateways that know other fleets choose other holders.
//
// # Usage
//
//	split := quota.Policy{Used: 0.9, Views: 1.2, Holders: 100}.Divide(bound)
//	share := split.Share(gateways)
//	bucket := quota.NewBucket(now, share, 1)
//	if bucket.Has(now, share) {
//		bucket = bucket.Spent(now, share)
//	}
package quota

import (
	"math"
	"time"
)

// savedFor is the time whose turns a holder saves up at most, beside one: who bears little
// should not get a burst, also where the bound has room for it.
const savedFor = 500 * time.Millisecond

// Bound is what all gateways together may send.
type Bound struct {
	// Rate is the number of requests a second that are borne for long.
	Rate float64
	// Most is the number of them in any Window beyond which it is too much.
	Most   float64
	Window time.Duration
}

// Policy is how a bound is used.
type Policy struct {
	// Used is the part of the rate that is used.
	Used float64
	// Views is how many times the agreed number of holders may send at once.
	Views float64
	// Holders is the number of holders at most.
	Holders int
}

// Split is a rate as its holders share it. The zero value lets nobody send.
type Split struct {
	// Holders is the number of gateways that may send anything.
	Holders int
	// Rate is what they send a second in all, and Saved the number of turns that their
	// buckets hold in all.
	Rate  float64
	Saved float64
}

// Divide returns the split that keeps the bound. Where the bound has no room for several
// views, it has room for one; where it has none for a request a holder, nobody sends.
func (p Policy) Divide(b Bound) Split {
	window := b.Window.Seconds()
	rate := p.Used * b.Rate
	room := b.Most/p.Views - window*rate
	holders := max(1, int(math.Floor(min(room, float64(p.Holders)))))
	left := b.Most/p.Views - float64(holders)
	if left <= 0 {
		left = b.Most - float64(holders)
	}
	if rate = min(rate, left/window); rate <= 0 {
		return Split{}
	}
	return Split{Holders: holders, Rate: rate, Saved: max(room, float64(holders))}
}

// Share is the part of one holder.
type Share struct {
	// Every is the time in which one turn comes in.
	Every time.Duration
	// Saved is the number of turns that its bucket holds, 1 at least.
	Saved float64
}

// Share returns the part of one of so many holders: there may be fewer gateways than the
// split has holders.
func (s Split) Share(holders int) Share {
	n := float64(max(1, min(holders, s.Holders)))
	if s.Rate <= 0 {
		return Share{}
	}
	every := time.Duration(n / s.Rate * float64(time.Second))
	most := 1 + float64(savedFor)/float64(every)
	return Share{Every: every, Saved: min(max(1, s.Saved/n), most)}
}

// full is the time in which an empty bucket fills.
func (s Share) full() time.Duration { return time.Duration(s.Saved * float64(s.Every)) }

// Bucket holds the turns of one holder. The zero value is full.
type Bucket struct {
	// fullAt is when the bucket is full again.
	fullAt time.Time
}

// NewBucket returns a bucket with so many turns.
func NewBucket(now time.Time, s Share, turns float64) Bucket {
	lacks := max(0, s.Saved-turns)
	return Bucket{fullAt: now.Add(time.Duration(lacks * float64(s.Every)))}
}

// Next is when the bucket has a turn: in the past if it has one.
func (b Bucket) Next(s Share) time.Time { return b.fullAt.Add(s.Every - s.full()) }

// Has reports whether there is a turn.
func (b Bucket) Has(now time.Time, s Share) bool { return s.Every > 0 && !now.Before(b.Next(s)) }

// Spent returns the bucket without one turn more.
func (b Bucket) Spent(now time.Time, s Share) Bucket {
	from := b.fullAt
	if now.After(from) {
		from = now
	}
	return Bucket{fullAt: from.Add(s.Every)}
}

// Under returns the bucket under another share: it lacks as many turns as before, and all
// that this share saves at most.
func (b Bucket) Under(now time.Time, before, after Share) Bucket {
	if before.Every <= 0 {
		return NewBucket(now, after, 0)
	}
	lacks := max(0, float64(b.fullAt.Sub(now))/float64(before.Every))
	return NewBucket(now, after, max(0, after.Saved-lacks))
}
