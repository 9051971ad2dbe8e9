package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/quota"
)

// An overloaded upstream names the number of requests per second that it accepts from all
// gateways together. The holders of the limit share it out as turns (package quota); all
// other gateways use the other upstreams of the pool.

const (
	// limitUtilisation is the fraction of a limit that is used. limitOvercommit is the
	// multiple of the agreed number of holders that may send at once: a fifth more, while
	// some gateways have not yet learned of new ones.
	limitUtilisation = 0.9
	limitOvercommit  = 1.2
	// maxLimitHolders bounds the number of holders of a limit that does not bind.
	maxLimitHolders = 1 << 20
	// minLimit is the lowest limit, in requests per second, for which turns are given: if
	// an upstream accepts next to nothing, some gateway must still notice when it accepts
	// more. It stays within the slack of the bounds.
	minLimit = 0.25
	// initialTurns is the number of turns that a holder gets at first of a limit that
	// other gateways reported. A holder that learned it from an answer has already used
	// its turn.
	initialTurns = 1
	// leastUrgentTurnWait is the fraction of the interval between two turns for which a
	// turn is reserved for more urgent requests. Every leastUrgentTurnInterval-th turn is
	// not reserved, so that the least urgent requests get some.
	leastUrgentTurnWait     = 0.5
	leastUrgentTurnInterval = 8
	// holderTTL is how long the result of the holder check is cached, since the check
	// walks the whole fleet.
	holderTTL = 500 * time.Millisecond
)

// LimitBounds is the tolerance of an upstream beyond the limit that it names.
type LimitBounds struct {
	// Window is the time over which it counts requests.
	Window time.Duration
	// In a window it tolerates Overrun times its limit plus Slack requests.
	Overrun float64
	Slack   float64
}

// defaultLimitBounds are for upstreams that tolerate little more than they name.
var defaultLimitBounds = LimitBounds{Window: time.Second, Overrun: 1, Slack: 1}

// SetLimitBounds sets the bounds; gateways returns the number of gateways from which the
// holders are drawn.
func (t *Table) SetLimitBounds(b LimitBounds, gateways func() int) {
	t.limitBounds, t.gatewayCount = b, gateways
}

// split computes how a limit is shared out.
func (b LimitBounds) split(perSecond float64) quota.Split {
	policy := quota.Policy{Utilisation: limitUtilisation, Views: limitOvercommit, Holders: maxLimitHolders}
	return policy.Divide(quota.Bound{
		Rate:        max(perSecond, minLimit),
		MaxRequests: b.Overrun*b.Window.Seconds()*perSecond + b.Slack,
		Window:      b.Window,
	})
}

// limit is the rate limit of an upstream as this gateway keeps it. The zero value means
// none.
type limit struct {
	notice.Limit
	split quota.Split
	// share is this gateway's part of the limit if it is a holder, and bucket holds its
	// turns.
	share  quota.Share
	bucket quota.Bucket
	// turns is the number of turns taken.
	turns int
	// holder is whether this gateway was a holder at holderCheckedAt.
	holder          bool
	holderCheckedAt time.Time
	// borrowAgainAt is when another holder may be asked for a turn.
	borrowAgainAt time.Time
}

// applyLimit puts the upstream's current limit into force and reports whether it changed.
// For a new limit a holder gets the given number of turns at first.
func (t *Table) applyLimit(now time.Time, u *upstream, turns float64) bool {
	l := u.notices.Limit(now)
	if l == u.limit.Limit {
		return false
	}
	if !l.Announced {
		u.limit = limit{}
		return true
	}
	split := t.limitBounds.split(l.PerSecond)
	if u.limit.Announced {
		u.limit.Limit, u.limit.split = l, split
		u.limit.holderCheckedAt = time.Time{} // The number of holders may have changed.
		return true
	}
	share := split.Share(t.gatewayCount())
	u.limit = limit{Limit: l, split: split, share: share, bucket: quota.NewBucket(now, share, turns)}
	return true
}

// updateShare recomputes this gateway's part, as the limit or the fleet may have changed.
func (t *Table) updateShare(now time.Time, l *limit) {
	if share := l.split.Share(t.gatewayCount()); share != l.share {
		l.bucket, l.share = l.bucket.WithShare(now, l.share, share), share
	}
}

// isHolder reports whether this gateway is one of the upstream's holders.
func (t *Table) isHolder(now time.Time, u *upstream) bool {
	l := &u.limit
	if l.holderCheckedAt.IsZero() || now.Sub(l.holderCheckedAt) >= holderTTL {
		l.holder, l.holderCheckedAt = t.holds(now, u.hash, l.split.Holders), now
	}
	return l.holder
}

// hasTurn reports whether the upstream's rate limit admits a request of this gateway now.
// Requests of the lowest urgency leave a turn to more urgent ones for a while.
func (t *Table) hasTurn(now time.Time, u *upstream, leastUrgent bool) bool {
	if u.notices.LimitReported() {
		t.applyLimit(now, u, initialTurns)
	}
	l := &u.limit
	if !l.Announced {
		return true
	}
	if !t.isHolder(now, u) {
		return false
	}
	t.updateShare(now, l)
	next := l.bucket.Next(l.share)
	if leastUrgent && l.turns%leastUrgentTurnInterval != 0 {
		next = next.Add(time.Duration(leastUrgentTurnWait * float64(l.share.Interval)))
	}
	return !now.Before(next)
}

// takeTurn takes a turn of an upstream with a rate limit, and reports whether it has one.
func (t *Table) takeTurn(now time.Time, u *upstream) bool {
	l := &u.limit
	if !l.Announced {
		return false
	}
	l.bucket = l.bucket.Take(now, l.share)
	l.turns++
	return true
}

// untilNextTurn is the time until the next turn: of this gateway if it is a holder,
// otherwise of any gateway.
func (t *Table) untilNextTurn(now time.Time, u *upstream) time.Duration {
	l := &u.limit
	if l.split.Rate <= 0 {
		return maxTurnBacklog
	}
	if t.isHolder(now, u) {
		return max(0, l.bucket.Next(l.share).Sub(now))
	}
	return time.Duration(float64(time.Second) / l.split.Rate)
}

// LimitedUpstreams returns the number of upstreams with a rate limit.
func (t *Table) LimitedUpstreams() int {
	n := 0
	for _, u := range t.upstreams {
		if u.limit.Announced {
			n++
		}
	}
	return n
}
