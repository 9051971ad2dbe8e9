package agent

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/ledger"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/queue"
)

// Drain stops new work. What waits is refused at once as not run, and what
// runs completes.
func (a *Agent) Drain(now time.Time) []Effect {
	a.leaving = true
	return a.refuseWaiting(now, Leaving)
}

// Leaving reports whether the agent takes no new work.
func (a *Agent) Leaving() bool { return a.leaving }

// SetDown tells whether the upstream can be reached. While it cannot, what
// waits and what comes is refused as not run.
func (a *Agent) SetDown(now time.Time, down bool) []Effect {
	if a.down == down {
		return nil
	}
	a.down = down
	if down {
		a.downAt = now
		return a.refuseWaiting(now, UpstreamDown)
	}
	return a.schedule(now)
}

// Rest notes that the upstream refused a request and wants nothing for the time. What runs
// there goes on; what waits and what comes is refused as not run, with the time that is
// left. Without it the agent sent such an upstream the next request at once.
func (a *Agent) Rest(now time.Time, d time.Duration) []Effect {
	before := a.said.BackoffUntil()
	a.said = a.said.With(now, notice.Notice{Rest: d})
	if !a.said.BackoffUntil().After(before) {
		return nil
	}
	return a.refuseWaiting(now, UpstreamDown)
}

// restLeft is how long the upstream still wants nothing; 0 if it does not rest.
func (a *Agent) restLeft(now time.Time) time.Duration { return max(0, a.said.BackoffUntil().Sub(now)) }

// refuseWaiting refuses all that waits and was never started.
func (a *Agent) refuseWaiting(now time.Time, reason Reason) []Effect {
	var effects []Effect
	for _, it := range a.queue.All() {
		if a.ledger.State(it.ID).Started() {
			continue
		}
		a.queue.Remove(it.ID)
		effects = append(effects, a.refuse(now, it.ID, reason, it.Class))
	}
	for _, id := range a.unclaimed() {
		class := a.runs[id].item.Class
		a.release(id)
		effects = append(effects, a.refuse(now, id, reason, class))
	}
	return effects
}

// unclaimed returns the attempts with a grant that was not claimed.
func (a *Agent) unclaimed() []string {
	var ids []string
	for id, r := range a.runs {
		if !r.claimed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Tick lets time pass: grants and requests expire. After a gap longer than the
// lease the agent was paused, and refuses all that waits, since its entries
// have moved on.
func (a *Agent) Tick(now time.Time) []Effect {
	paused := a.paused(now)
	if !a.lastTick.IsZero() {
		a.learnRates(now.Sub(a.lastTick))
	}
	a.lastTick = now
	a.ledger.Sweep(now)
	a.keys.sweep(now)
	if paused {
		effects := a.refuseWaiting(now, Stale)
		return append(effects, a.schedule(now)...)
	}
	var effects []Effect
	for _, id := range a.unclaimed() {
		if now.Sub(a.runs[id].granted) > GrantTTL {
			class := a.runs[id].item.Class
			a.release(id)
			effects = append(effects, a.refuse(now, id, Stale, class))
		}
	}
	for _, it := range a.queue.Expired(now) {
		effects = append(effects, a.giveUp(now, it))
	}
	effects = append(effects, a.giveUpRuns(now)...)
	return append(effects, a.schedule(now)...)
}

// giveUp ends a request that can no longer matter.
func (a *Agent) giveUp(now time.Time, it *queue.Item) Effect {
	if a.ledger.State(it.ID).Started() {
		a.finish(now, it.ID, ledger.Ran)
		return Fail{ID: it.ID}
	}
	return a.refuse(now, it.ID, Expired, it.Class)
}

// giveUpRuns stops the runs of an upstream that has been down for a while, and
// those that make no tokens although their class asks for a first one. It may
// hang without breaking its connections, also while it answers health checks.
func (a *Agent) giveUpRuns(now time.Time) []Effect {
	down := a.down && now.Sub(a.downAt) >= giveUpAfter
	var effects []Effect
	for _, r := range a.running() {
		if r.claimed && !r.stopping && (down || r.stuck(now)) {
			r.lost = true
			a.markStopping(r)
			effects = append(effects, Stop{ID: r.item.ID})
		}
	}
	return effects
}

func (a *Agent) paused(now time.Time) bool {
	return !a.lastTick.IsZero() && now.Sub(a.lastTick) > Lease
}

func (a *Agent) refuse(now time.Time, id string, reason Reason, class *config.Class) Effect {
	a.finish(now, id, ledger.NotRun)
	if reason == UpstreamDown {
		return Refuse{ID: id, Reason: reason, RetryAfter: a.restLeft(now)}
	}
	return Refuse{ID: id, Reason: reason, RetryAfter: a.retryAfter(reason, class)}
}

// retryAfter is when a new request of the class can be expected to be served.
func (a *Agent) retryAfter(reason Reason, class *config.Class) time.Duration {
	if reason != Overload && reason != Expired {
		return 0
	}
	return max(time.Second, a.wait(class, a.meanCost()))
}
