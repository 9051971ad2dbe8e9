package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/warmup"
)

// When a part of a pool restarts after a crash in the middle of a burst, the restarted
// upstreams look idle, attract all requests, and crash again while they are cold.

// ColdLimits bounds what cold upstreams get from all gateways together: Overrun times the
// requests per second that one handles, plus Slack.
type ColdLimits struct {
	Overrun float64
	Slack   float64
}

// coldSplit is how the capacity of a pool's cold upstreams is shared out.
type coldSplit struct {
	warmup.Bounds
	split warmup.Split
}

// SetColdLimits sets the operators' limits; holds reports whether this gateway is among
// the first n gateways in rendezvous order for a key. The limits apply from the next
// SetPools on.
func (t *Table) SetColdLimits(l ColdLimits, holds func(now time.Time, key uint64, n int) bool) {
	t.coldLimits, t.holds = l, holds
}

// coldSplitOf computes the split of a pool.
func (t *Table) coldSplitOf(c ingress.Cold) coldSplit {
	b := warmup.Bounds{
		PerSecond:   c.PerSecond,
		MaxRequests: max(1, t.coldLimits.Overrun)*c.PerSecond + t.coldLimits.Slack,
		Period:      c.Period,
	}
	return coldSplit{Bounds: b, split: warmup.NewSplit(b)}
}

// bounded reports whether the pool's cold upstreams handle less than warm ones.
func (c coldSplit) bounded() bool { return c.PerSecond > 0 }

// becomesCold applies a list entry to the upstream's warm-up state, and reports whether
// the upstream was warm and is cold now. An upstream whose availability zone is no longer
// evacuated may have become cold just before, without having reported it yet.
func (t *Table) becomesCold(now time.Time, u *upstream, in Instance) bool {
	before := u.warmup.Cold(now)
	u.warmup = u.warmup.With(in.ColdUntil)
	if u.Evacuated && !in.Evacuated {
		u.warmup = u.warmup.With(now.Add(t.pool(in.Pool).cold.Period))
	}
	return !before && u.warmup.Cold(now)
}

// isCold reports whether the upstream handles less than a warm one now.
func (p *pool) isCold(now time.Time, u *upstream) bool {
	return p.cold.bounded() && u.warmup.Cold(now)
}

// maySend reports whether this gateway may send the upstream a request: only holders send
// to a cold upstream or one with a rate limit, each at its own pace.
func (t *Table) maySend(now time.Time, p *pool, u *upstream, leastUrgent bool) bool {
	if p.isCold(now, u) && (!u.warmup.MaySend(now) || !t.holds(now, u.hash, p.cold.split.Holders)) {
		return false
	}
	return t.hasTurn(now, u, leastUrgent)
}
