package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/warmup"
)

// The load that this answers: a part of a pool comes back after a crash, in the midst
// of a burst. The upstreams look idle, get everything, and fall over while they are
// cold.

// ColdLimits are what the operators let cold upstreams get from all gateways together:
// Overrun times the requests of a second that one handles, and Slack on top.
type ColdLimits struct {
	Overrun float64
	Slack   float64
}

// coldSplit is how the cold upstreams of a pool are shared out.
type coldSplit struct {
	warmup.Bounds
	split warmup.Split
}

// SetColdLimits takes the operators' limits; holds tells whether this gateway is one of
// the first n in the order of all of them for a key. They hold from the next pools on.
func (t *Table) SetColdLimits(l ColdLimits, holds func(now time.Time, key uint64, n int) bool) {
	t.coldLimits, t.holds = l, holds
}

// coldSplitOf works out the split of a pool.
func (t *Table) coldSplitOf(c ingress.Cold) coldSplit {
	b := warmup.Bounds{
		PerSecond: c.PerSecond,
		Most:      max(1, t.coldLimits.Overrun)*c.PerSecond + t.coldLimits.Slack,
		For:       c.For,
	}
	return coldSplit{Bounds: b, split: warmup.SplitOf(b)}
}

// bounded reports whether the pool's cold upstreams bear less than warm ones.
func (c coldSplit) bounded() bool { return c.PerSecond > 0 }

// becomesCold takes what an entry says of an upstream, and reports whether it was warm
// and is cold. One whose availability zone was taken back may have become cold just
// before, without a word yet.
func (t *Table) becomesCold(now time.Time, u *upstream, in Instance) bool {
	before := u.warmup.Cold(now)
	u.warmup = u.warmup.With(in.ColdUntil)
	if u.Evacuated && !in.Evacuated {
		u.warmup = u.warmup.With(now.Add(t.pool(in.Pool).cold.For))
	}
	return !before && u.warmup.Cold(now)
}

// isCold reports whether the upstream bears less than a warm one now.
func (p *pool) isCold(now time.Time, u *upstream) bool {
	return p.cold.bounded() && u.warmup.Cold(now)
}

// mayGet reports whether this gateway may send the upstream a request: to a cold one, and
// to one with a limit, only its holders do, each at its pace.
func (t *Table) maySend(now time.Time, p *pool, u *upstream, lowestPriority bool) bool {
	if p.isCold(now, u) && (!u.warmup.Free(now) || !t.holds(now, u.hash, p.cold.split.Holders)) {
		return false
	}
	return t.hasTurn(now, u, lowestPriority)
}
