// Package fairness finds the organisations that use more than their share of a pool.
//
// # Problem
//
// Without fair shares, an organisation that sends many times its usual load harms all
// others: if requests with equal waits are rejected alike, organisations that send little
// lose as large a part as the one that fills the queue.
//
// So the admitted load is shared by max-min fairness: no organisation gets more than a
// common level while another one with less is rejected. The level is such that the
// organisations' requested load, capped at the level, adds up to the admitted load. All
// organisations have equal weights. The load is that of every request that arrives,
// including retries, in one unit per pool: tokens to prefill for model engines, calls for
// plain services.
//
// One gateway alone cannot tell: an organisation may flood the pool through another
// gateway, and through tens of gateways each sees only a few of its requests. So the use
// that other gateways reported (package demand) is added to what this gateway recorded
// itself, which is exact. Without reports its own records decide.
//
// Shares only order requests: whether there is room is decided elsewhere.
//
// # Usage
//
//	shares.RecordRequest(now, organisation, tokens)
//	if shares.AboveLevel(now, organisation) {
//		limit = lower
//	}
//	shares.RecordAdmitted(now, organisation, tokens)
//	shares.SetOthers(tracker.OtherUsers(now, pool))
package fairness

import (
	"math"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/demand"
)

const (
	// levelInterval is how often the common level is recomputed.
	levelInterval = 100 * time.Millisecond
	// levelShare is the part of the level from which on an organisation counts as above it: a
	// single organisation is always at its level.
	levelShare = 0.9
	// contentionHold is how long a pool counts as contended after it was found to be: the
	// time between two requests of a gateway that gets few of them, and of one that
	// alternates between room and none.
	contentionHold = time.Second
)

// Shares is the use of one pool by all organisations. The zero value is empty. It is not
// safe for concurrent use.
type Shares struct {
	own demand.Usage
	// others is the use by organisation that other gateways reported.
	others map[uint64]demand.User
	// level is the common level; it is recomputed if computed is false or levelAt is old.
	level    float64
	levelAt  time.Time
	computed bool
	// contendedAt is when the pool was last found contended at this gateway; zero for
	// never.
	contendedAt time.Time
}

// RecordRequest records a request of so many tokens or calls.
func (s *Shares) RecordRequest(now time.Time, organisation uint64, load int) {
	s.own.Requested(now, organisation, load)
}

// RecordAdmitted records that a request of so many tokens or calls was admitted.
func (s *Shares) RecordAdmitted(now time.Time, organisation uint64, load int) {
	s.own.Admitted(now, organisation, load)
}

// SetOthers replaces the use that other gateways reported; nil if there are no valid
// reports.
func (s *Shares) SetOthers(users []demand.User) {
	s.others = nil
	if len(users) == 0 {
		return
	}
	s.others = make(map[uint64]demand.User, len(users))
	for _, u := range users {
		s.others[u.Organisation] = u
	}
}

// KnowsOthers reports whether the use at other gateways is known.
func (s *Shares) KnowsOthers() bool { return len(s.others) > 0 }

// AboveLevel reports whether the organisation got more than levelShare of the common level.
func (s *Shares) AboveLevel(now time.Time, organisation uint64) bool {
	return s.Admitted(now, organisation) > levelShare*s.Level(now)
}

// Admitted returns the admitted load of the organisation at all gateways.
func (s *Shares) Admitted(now time.Time, organisation uint64) float64 {
	return s.own.Of(now, organisation).Admitted + s.others[organisation].Admitted
}

// Level returns the common level; infinite if all that is requested is admitted.
func (s *Shares) Level(now time.Time) float64 {
	if !s.computed || now.Sub(s.levelAt) >= levelInterval {
		s.level, s.levelAt, s.computed = s.computeLevel(now), now, true
	}
	return s.level
}

// Own returns the use at this gateway.
func (s *Shares) Own(now time.Time) []demand.User { return s.own.Users(now) }

// Users returns the use at all gateways, in no order.
func (s *Shares) Users(now time.Time) []demand.User {
	users := s.own.Users(now)
	for i, u := range users {
		users[i].Requested += s.others[u.Organisation].Requested
		users[i].Admitted += s.others[u.Organisation].Admitted
	}
	if len(s.others) == 0 {
		return users
	}
	own := make(map[uint64]bool, len(users))
	for _, u := range users {
		own[u.Organisation] = true
	}
	for organisation, u := range s.others {
		if !own[organisation] {
			users = append(users, u)
		}
	}
	return users
}

// MarkContended records that the pool receives more than it can serve, as found at this
// gateway itself and not from reports.
func (s *Shares) MarkContended(now time.Time) { s.contendedAt = now }

// Contended reports whether the pool was found contended at this gateway recently.
func (s *Shares) Contended(now time.Time) bool {
	return !s.contendedAt.IsZero() && now.Sub(s.contendedAt) <= contentionHold
}

// computeLevel returns the level at which the organisations' requested load, capped at
// the level, adds up to the admitted load.
func (s *Shares) computeLevel(now time.Time) float64 {
	users := s.Users(now)
	requested := make([]float64, 0, len(users))
	left := 0.0
	for _, u := range users {
		requested = append(requested, u.Requested)
		left += u.Admitted
	}
	slices.Sort(requested)
	for i, value := range requested {
		rest := float64(len(requested) - i)
		if value*rest >= left {
			return left / rest
		}
		left -= value
	}
	return math.Inf(1)
}
