package agent

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/ledger"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/internal/core/queue"
)

// Drain stops admission. Waiting requests are refused at once as not run, and runs
// complete.
func (a *Agent) Drain(now time.Time) []Effect {
	a.leaving = true
	return a.refuseWaiting(now, Leaving)
}

// Leaving reports whether the agent is draining.
func (a *Agent) Leaving() bool { return a.leaving }

// SetDown records whether the upstream is unreachable. While it is, waiting and new
// requests are refused as not run.
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

// Backoff starts a backoff of the given duration after the upstream refused a request.
// Runs continue; waiting and new requests are refused as not run, with the remaining
// backoff as the retry delay. Without the backoff, the agent would send the next
// request to the refusing upstream at once.
func (a *Agent) Backoff(now time.Time, d time.Duration) []Effect {
	before := a.notices.BackoffUntil()
	a.notices = a.notices.With(now, notice.Notice{Backoff: d})
	if !a.notices.BackoffUntil().After(before) {
		return nil
	}
	return a.refuseWaiting(now, UpstreamDown)
}

// backoffLeft returns the remaining backoff of the upstream, or 0.
func (a *Agent) backoffLeft(now time.Time) time.Duration {
	return max(0, a.notices.BackoffUntil().Sub(now))
}

// refuseWaiting refuses all waiting and unclaimed requests that were never started.
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

// unclaimed returns the IDs of the attempts whose grant is not claimed yet.
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

// Tick expires grants and requests and stops lost runs. After a gap longer than
// Lease, the process was paused; the agent then refuses all waiting requests, since
// their entries have given up on them.
func (a *Agent) Tick(now time.Time) []Effect {
	paused := a.paused(now)
	if !a.lastTick.IsZero() {
		a.observeRates(now.Sub(a.lastTick))
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
	for _, it := range a.queue.RemoveExpired(now) {
		effects = append(effects, a.expire(now, it))
	}
	effects = append(effects, a.stopLostRuns(now)...)
	return append(effects, a.schedule(now)...)
}

// expire ends a request whose response would arrive too late to be useful.
func (a *Agent) expire(now time.Time, it *queue.Item) Effect {
	if a.ledger.State(it.ID).Started() {
		a.finish(now, it.ID, ledger.Ran)
		return Fail{ID: it.ID}
	}
	return a.refuse(now, it.ID, Expired, it.Class)
}

// stopLostRuns stops all runs of an upstream that has been down for the grace period,
// and stalled runs of classes with a first-token target. An upstream may hang without
// closing its connections, even while it passes health checks.
func (a *Agent) stopLostRuns(now time.Time) []Effect {
	down := a.down && now.Sub(a.downAt) >= downGracePeriod
	var effects []Effect
	for _, r := range a.running() {
		if r.claimed && !r.stopping && (down || r.stalled(now)) {
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
		return Refuse{ID: id, Reason: reason, RetryAfter: a.backoffLeft(now)}
	}
	return Refuse{ID: id, Reason: reason, RetryAfter: a.retryAfter(reason, class)}
}

// retryAfter returns the delay after which a new request of the class can be
// expected to be served.
func (a *Agent) retryAfter(reason Reason, class *config.Class) time.Duration {
	if reason != Overload && reason != Expired {
		return 0
	}
	return max(time.Second, a.wait(class, a.meanCost()))
}
