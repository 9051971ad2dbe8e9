// Package warmup limits the requests to an upstream while it is cold.
//
// An upstream that has just started, or has lost its caches, handles only a few requests
// per second and fails when it gets far more in total. So only a few gateways, its
// holders, send requests to it, each at a limited rate (package quota).
//
// # The bound
//
// In any second a holder sends at most one request plus those that its rate adds. If the
// upstream tolerates three requests per second or more, Split leaves room for a second
// full set of holders, as in a fleet whose halves have never learned of each other.
//
// # Usage
//
//	split := warmup.NewSplit(bounds)
//	s = s.With(coldUntil)
//	if !s.Cold(now) || (holder && s.MaySend(now)) {
//		s = s.Sent(now, split)
//	}
package warmup

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/quota"
)

const (
	// maxHolders is the maximum number of holders of a cold upstream. With a single one,
	// its capacity is lost whenever that gateway gets few requests or has died; each
	// additional one uses up one request of the bound.
	maxHolders = 3
	// usedShare is the part of a cold upstream's rate that is used. The rest leaves room
	// for a second holder where there are two sets of them.
	usedShare = 0.75
	// holderSets is the number of disjoint sets of holders that the bound has room for.
	holderSets = 2
)

// Bounds are the configured limits for the cold upstreams of a pool.
type Bounds struct {
	// PerSecond is the number of requests per second that a cold upstream handles; 0 if
	// it handles as many as a warm one.
	PerSecond float64
	// MaxRequests is the maximum number of arrivals in any one second; with more it fails.
	MaxRequests float64
	// Period is how long an upstream is cold after its start.
	Period time.Duration
}

// Split divides the rate of a cold upstream among its holders.
type Split struct {
	// Holders is the number of gateways that may send requests to it; 0 if none may.
	Holders int
	// Interval is the minimum interval between two requests of one holder.
	Interval time.Duration
}

// NewSplit returns the split that keeps the bounds.
func NewSplit(b Bounds) Split {
	policy := quota.Policy{Utilisation: usedShare, Views: holderSets, Holders: maxHolders}
	split := policy.Divide(quota.Bound{Rate: b.PerSecond, MaxRequests: b.MaxRequests, Window: time.Second})
	if split.Holders == 0 {
		return Split{}
	}
	return Split{Holders: split.Holders, Interval: split.Share(split.Holders).Interval}
}

// State is what one gateway knows of one upstream. The zero value is warm.
type State struct {
	coldUntil  time.Time
	nextSendAt time.Time
}

// With returns the state of an upstream that is cold at least until the given time. It
// never shortens the cold period.
func (s State) With(coldUntil time.Time) State {
	if coldUntil.After(s.coldUntil) {
		s.coldUntil = coldUntil
	}
	return s
}

// Cold reports whether the upstream is cold.
func (s State) Cold(now time.Time) bool { return now.Before(s.coldUntil) }

// MaySend reports whether a holder may send a request now.
func (s State) MaySend(now time.Time) bool { return !now.Before(s.nextSendAt) }

// Sent returns the state after a holder sent a request.
func (s State) Sent(now time.Time, split Split) State {
	s.nextSendAt = now.Add(split.Interval)
	return s
}
