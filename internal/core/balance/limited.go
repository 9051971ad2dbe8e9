package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/quota"
)

// The load that this answers: an upstream in need names the requests a second that it takes
// from all gateways together. Its holders share them out as turns (package quota); everybody
// else goes to the other upstreams of the pool.

const (
	// limitUsed is the part of a limit that is used, and limitViews how many times the
	// agreed number of holders may send at once: a fifth more, while some have yet to
	// hear of gateways that came.
	limitUtilisation = 0.9
	limitOvercommit  = 1.2
	// limitHoldersMost bounds the holders of a limit that binds nobody.
	maxLimitHolders = 1 << 20
	// leastLimit is the least limit, in requests a second, that turns are given for: of an
	// upstream that takes next to nothing somebody must hear when it takes more. It stays
	// within the slack of the bounds.
	minLimit = 0.25
	// firstTurns is the number of turns that a holder has at first of a limit that it is
	// told of by others. One that is told by an answer has had its turn with that.
	initialTurns = 1
	// leastTurnWait is the part of the time between two turns for which one waits for
	// requests that others go before, and openTurn is how often a turn waits for nobody:
	// the least urgent must get some.
	lowPriorityTurnWait     = 0.5
	lowPriorityTurnInterval = 8
	// heldFor is how long a gateway goes by its last look at whether it is a holder, which
	// takes a walk over the fleet.
	holderTTL = 500 * time.Millisecond
)

// LimitBounds are what an upstream bears beyond the limit that it names.
type LimitBounds struct {
	// Window is the time over which it counts what it gets.
	Window time.Duration
	// In a window it bears Overrun times its limit, and Slack requests on top.
	Overrun float64
	Slack   float64
}

// defaultLimitBounds are of upstreams that bear little more than they name.
var defaultLimitBounds = LimitBounds{Window: time.Second, Overrun: 1, Slack: 1}

// SetLimitBounds takes the bounds; gateways tells how many gateways the holders are drawn
// from.
func (t *Table) SetLimitBounds(b LimitBounds, gateways func() int) {
	t.limitBounds, t.gatewayCount = b, gateways
}

// split is how a limit is shared out.
func (b LimitBounds) split(perSecond float64) quota.Split {
	policy := quota.Policy{Used: limitUtilisation, Views: limitOvercommit, Holders: maxLimitHolders}
	return policy.Divide(quota.Bound{
		Rate:   max(perSecond, minLimit),
		Most:   b.Overrun*b.Window.Seconds()*perSecond + b.Slack,
		Window: b.Window,
	})
}

// limited is the limit of an upstream as this gateway keeps it. The zero value is none.
type limit struct {
	notice.Limit
	split quota.Split
	// share is this gateway's part if it is a holder, and bucket its turns.
	share  quota.Share
	bucket quota.Bucket
	// turns is the number of turns that were taken.
	turns int
	// held is true if this gateway was a holder at heldAt.
	holder          bool
	holderCheckedAt time.Time
	// askAgainAt is when another holder may be asked for a turn.
	borrowAgainAt time.Time
}

// relimit brings the limit that the upstream has now into force, and reports whether it is
// another one. Of a new one a holder has so many turns at first.
func (t *Table) applyLimit(now time.Time, u *upstream, turns float64) bool {
	l := u.notices.Limit(now)
	if l == u.limit.Limit {
		return false
	}
	if !l.Named {
		u.limit = limit{}
		return true
	}
	split := t.limitBounds.split(l.PerSecond)
	if u.limit.Named {
		u.limit.Limit, u.limit.split = l, split
		u.limit.holderCheckedAt = time.Time{} // There may be more holders, or fewer.
		return true
	}
	share := split.Share(t.gatewayCount())
	u.limit = limit{Limit: l, split: split, share: share, bucket: quota.NewBucket(now, share, turns)}
	return true
}

// reshare works out this gateway's part anew: the limit or the fleet may have changed.
func (t *Table) updateShare(now time.Time, l *limit) {
	if share := l.split.Share(t.gatewayCount()); share != l.share {
		l.bucket, l.share = l.bucket.Under(now, l.share, share), share
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

// hasTurn reports whether the upstream takes a request of this gateway now, as far as its
// limit goes. The least urgent ones leave a turn to others for a while.
func (t *Table) hasTurn(now time.Time, u *upstream, lowestPriority bool) bool {
	if u.notices.SaidLimited() {
		t.applyLimit(now, u, initialTurns)
	}
	l := &u.limit
	if !l.Named {
		return true
	}
	if !t.isHolder(now, u) {
		return false
	}
	t.updateShare(now, l)
	next := l.bucket.Next(l.share)
	if lowestPriority && l.turns%lowPriorityTurnInterval != 0 {
		next = next.Add(time.Duration(lowPriorityTurnWait * float64(l.share.Every)))
	}
	return !now.Before(next)
}

// takeTurn counts a request at an upstream that has a limit, and reports whether it has.
func (t *Table) takeTurn(now time.Time, u *upstream) bool {
	l := &u.limit
	if !l.Named {
		return false
	}
	l.bucket = l.bucket.Spent(now, l.share)
	l.turns++
	return true
}

// turnLeft is the time until the next turn: of this gateway if it is a holder, of anybody
// if not.
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

// LimitedUpstreams is the number of upstreams that have a limit.
func (t *Table) LimitedUpstreams() int {
	n := 0
	for _, u := range t.upstreams {
		if u.limit.Named {
			n++
		}
	}
	return n
}
