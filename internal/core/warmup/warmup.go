// Package warmup bounds what an upstream gets while it is cold.
//
// An upstream that has just started, or has lost what it had warmed up, bears only
// some requests a second and falls over when it gets far more, from whomever. So only a
// few gateways, its holders, send anything there, each at its pace (package quota).
//
// # The bound
//
// In any second one holder sends at most one request and those that its pace adds. Split
// leaves room for as many holders again, if the upstream bears three requests in a second
// or more: a whole second set, as in a fleet whose halves have never heard of each other.
//
// # Usage
//
//	split := warmup.SplitOf(bounds)
//	s = s.With(coldUntil)
//	if !s.Cold(now) || (holder && s.Free(now)) {
//		s = s.Sent(now, split)
//	}
package warmup

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/quota"
)

const (
	// holdersMost is the number of holders of a cold upstream at most. With one
	// alone, its capacity is lost whenever that gateway gets few requests or has
	// died; each one more costs a request of the bound.
	holdersMost = 3
	// usedShare is the part of the rate that a cold upstream handles that is used. The
	// rest makes room for a second holder where there are two sets of them.
	usedShare = 0.75
	// views is the number of disjoint sets of holders that the bound has room for.
	views = 2
)

// Bounds are what the operators say of the cold upstreams of a pool.
type Bounds struct {
	// PerSecond is the number of requests that one handles in a second; 0 if it
	// bears as many as a warm one.
	PerSecond float64
	// Most is the number of arrivals in any one second beyond which it falls over.
	Most float64
	// For is how long an upstream is cold after its start.
	For time.Duration
}

// Split is how a cold upstream is shared out.
type Split struct {
	// Holders is the number of gateways that may send it anything; 0 if none may.
	Holders int
	// Every is the least time between two requests of one holder.
	Every time.Duration
}

// SplitOf returns the split that keeps the bounds.
func SplitOf(b Bounds) Split {
	policy := quota.Policy{Utilisation: usedShare, Views: views, Holders: holdersMost}
	split := policy.Divide(quota.Bound{Rate: b.PerSecond, Most: b.Most, Window: time.Second})
	if split.Holders == 0 {
		return Split{}
	}
	return Split{Holders: split.Holders, Every: split.Share(split.Holders).Every}
}

// State is what one gateway knows of one upstream. The zero value is warm.
type State struct {
	until time.Time
	next  time.Time
}

// With returns the state of an upstream that is cold until then at least. No word
// makes it warm earlier than another one did.
func (s State) With(until time.Time) State {
	if until.After(s.until) {
		s.until = until
	}
	return s
}

// Cold reports whether the upstream is cold.
func (s State) Cold(now time.Time) bool { return now.Before(s.until) }

// Free reports whether a holder's pace lets it send a request.
func (s State) Free(now time.Time) bool { return !now.Before(s.next) }

// Sent returns the state after a holder sent a request.
func (s State) Sent(now time.Time, split Split) State {
	s.next = now.Add(split.Every)
	return s
}
