// Package quota divides a rate limit among the gateways that share it.
//
// Some limits apply to the sum of what all gateways send, for example the request rate of
// an overloaded upstream. No gateway sees what the others send in the same second, and no
// shared counter may be written that all of them read. Therefore only a few gateways, the
// holders, use the rate: the first ones in rendezvous order of all recently known
// gateways. Each holder has a token bucket that is refilled at its share of the rate.
//
// # The bound
//
// In any time of length w, one of h holders sends at most the tokens of its full bucket and
// those added meanwhile: b + w·r/h, with r the rate that the holders share. Over all
// holders that is h·b + w·r, whatever the size of the fleet. Divide chooses h and b so that
// this sum, multiplied by the policy's Views, stays within the bound: gateways with
// different views of the fleet choose different holders.
//
// # Usage
//
//	split := quota.Policy{Utilisation: 0.9, Views: 1.2, Holders: 100}.Divide(bound)
//	share := split.Share(gateways)
//	bucket := quota.NewBucket(now, share, 1)
//	if bucket.Has(now, share) {
//		bucket = bucket.Take(now, share)
//	}
package quota

import (
	"math"
	"time"
)

// burstTime limits the tokens that a holder accumulates, beyond the first one, to those of
// this time: an upstream with little capacity should not get a burst, even if the bound
// allows it.
const burstTime = 500 * time.Millisecond

// Bound limits the requests of all gateways together.
type Bound struct {
	// Rate is the sustained number of requests per second.
	Rate float64
	// MaxRequests is the maximum number of requests in any Window.
	MaxRequests float64
	Window      time.Duration
}

// Policy says how much of a bound is used and by how many gateways.
type Policy struct {
	// Utilisation is the fraction of the rate that is used.
	Utilisation float64
	// Views is the number of holder sets that may send at the same time because gateways
	// disagree on the members of the fleet.
	Views float64
	// Holders is the maximum number of holders.
	Holders int
}

// Split is a rate shared by a number of holders. The zero value lets no gateway send.
type Split struct {
	// Holders is the number of gateways that may send.
	Holders int
	// Rate is their total number of requests per second, and Burst the total capacity of
	// their buckets.
	Rate  float64
	Burst float64
}

// Divide returns the split that keeps the bound. If the bound is too small for Views holder
// sets, the split is sized for one; if it is too small for one request of each holder, no
// gateway may send.
func (p Policy) Divide(b Bound) Split {
	window := b.Window.Seconds()
	rate := p.Utilisation * b.Rate
	room := b.MaxRequests/p.Views - window*rate
	holders := max(1, int(math.Floor(min(room, float64(p.Holders)))))
	left := b.MaxRequests/p.Views - float64(holders)
	if left <= 0 {
		left = b.MaxRequests - float64(holders)
	}
	if rate = min(rate, left/window); rate <= 0 {
		return Split{}
	}
	return Split{Holders: holders, Rate: rate, Burst: max(room, float64(holders))}
}

// Share is the part of one holder.
type Share struct {
	// Interval is the time in which one token is added.
	Interval time.Duration
	// Burst is the capacity of the bucket in tokens, at least 1.
	Burst float64
}

// Share returns the part of one holder if there are that many gateways, which may be fewer
// than the holders of the split.
func (s Split) Share(holders int) Share {
	n := float64(max(1, min(holders, s.Holders)))
	if s.Rate <= 0 {
		return Share{}
	}
	interval := time.Duration(n / s.Rate * float64(time.Second))
	maxBurst := 1 + float64(burstTime)/float64(interval)
	return Share{Interval: interval, Burst: min(max(1, s.Burst/n), maxBurst)}
}

// fillTime is the time in which an empty bucket fills.
func (s Share) fillTime() time.Duration { return time.Duration(s.Burst * float64(s.Interval)) }

// Bucket is the token bucket of one holder. The zero value is full.
type Bucket struct {
	// fullAt is when the bucket is full again.
	fullAt time.Time
}

// NewBucket returns a bucket with a number of tokens.
func NewBucket(now time.Time, s Share, tokens float64) Bucket {
	missing := max(0, s.Burst-tokens)
	return Bucket{fullAt: now.Add(time.Duration(missing * float64(s.Interval)))}
}

// Next is the time of the next token, in the past if one is available.
func (b Bucket) Next(s Share) time.Time { return b.fullAt.Add(s.Interval - s.fillTime()) }

// Has reports whether a token is available.
func (b Bucket) Has(now time.Time, s Share) bool { return s.Interval > 0 && !now.Before(b.Next(s)) }

// Take returns the bucket with one token less.
func (b Bucket) Take(now time.Time, s Share) Bucket {
	from := b.fullAt
	if now.After(from) {
		from = now
	}
	return Bucket{fullAt: from.Add(s.Interval)}
}

// WithShare returns the bucket adapted to another share: it lacks as many tokens as before,
// up to the burst of the new share.
func (b Bucket) WithShare(now time.Time, before, after Share) Bucket {
	if before.Interval <= 0 {
		return NewBucket(now, after, 0)
	}
	missing := max(0, float64(b.fullAt.Sub(now))/float64(before.Interval))
	return NewBucket(now, after, max(0, after.Burst-missing))
}
