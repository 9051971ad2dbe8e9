package entryd

import (
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/burn"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
)

// settleAll ends the request in the entry's books. It runs in the control loop.
func (x *call) settleAll(now time.Time) {
	if x.ticket == nil {
		return
	}
	for _, a := range x.attempts {
		x.settle(now, a, false)
	}
	x.s.entry.Finished(now, x.ticket, x.claimedBy, x.outcome)
}

// account counts the request in the metrics and in the burn of its class.
func (x *call) account() {
	class := x.call.Class
	x.s.metrics.Requests.WithLabelValues(class.Name, x.outcome.Result.String()).Inc()
	kind := burn.Hit
	switch x.outcome.Result {
	case dispatch.Completed:
		first, whole := x.first.Sub(x.arrived), x.completed.Sub(x.arrived)
		x.s.metrics.FirstToken.WithLabelValues(class.Name).Observe(first.Seconds())
		x.s.metrics.Completion.WithLabelValues(class.Name).Observe(whole.Seconds())
		if !class.MeetsTargets(first, whole) || x.status >= http.StatusInternalServerError {
			kind = burn.Miss
		}
	case dispatch.Abandoned:
		// A caller that leaves before the target has missed nothing.
		if x.s.now().Sub(x.arrived) > class.StartTarget() && x.first.IsZero() {
			kind = burn.Miss
		}
	case dispatch.NotRun:
		kind = burn.Refusal
	case dispatch.Unknown, dispatch.Incomplete, dispatch.AlreadyRun:
		kind = burn.Miss
	}
	// A request that is blocked is its caller's to mend: it misses no target.
	blocked := x.verdict == suspect.Blocked || x.harmful
	if kind != burn.Hit && !blocked {
		x.s.metrics.TargetMissed.WithLabelValues(class.Name).Inc()
	}
	if x.answered() {
		// Not in the control loop: it takes some microseconds.
		x.printed()
	}
	x.s.loop.Must(func(now time.Time) {
		x.settleAll(now)
		x.leave(now)
		if !blocked {
			x.s.burn.Add(now, class.Name, x.call.Organisation.Name, kind)
		}
	})
}
