package entryd

import (
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/burn"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
)

// recordFinished records the end of the request in the entry's control state. It runs in
// the control loop.
func (x *call) recordFinished(now time.Time) {
	if x.admitted == nil {
		return
	}
	for _, a := range x.attempts {
		x.closeOffer(now, a, false)
	}
	x.s.entry.Finished(now, x.admitted, x.claimedAgent, x.outcome)
}

// recordOutcome counts the request in the metrics and in the burn rate of its class, and
// records its end.
func (x *call) recordOutcome() {
	class := x.call.Class
	x.s.metrics.Requests.WithLabelValues(class.Name, x.outcome.Result.String()).Inc()
	kind := burn.Hit
	switch x.outcome.Result {
	case dispatch.Completed:
		firstByte, total := x.firstByte.Sub(x.arrivedAt), x.completedAt.Sub(x.arrivedAt)
		x.s.metrics.FirstToken.WithLabelValues(class.Name).Observe(firstByte.Seconds())
		x.s.metrics.Completion.WithLabelValues(class.Name).Observe(total.Seconds())
		if !class.MeetsTargets(firstByte, total) || x.status >= http.StatusInternalServerError {
			kind = burn.Miss
		}
	case dispatch.Abandoned:
		// A caller that disconnects before the target time does not count as a miss.
		if x.s.now().Sub(x.arrivedAt) > class.StartTarget() && x.firstByte.IsZero() {
			kind = burn.Miss
		}
	case dispatch.NotRun:
		kind = burn.Refusal
	case dispatch.Unknown, dispatch.Incomplete, dispatch.AlreadyRun:
		kind = burn.Miss
	}
	// A blocked request is a fault of its caller, so it does not count against the
	// objective.
	blocked := x.judgement.Verdict == suspect.Blocked || x.blockedDuringRun
	if kind != burn.Hit && !blocked {
		x.s.metrics.TargetMissed.WithLabelValues(class.Name).Inc()
	}
	if x.succeeded() {
		// The fingerprint is computed outside the control loop, since it takes some
		// microseconds.
		x.fingerprint()
	}
	x.s.loop.DoWithoutCancel(func(now time.Time) {
		x.recordFinished(now)
		x.updateSuspects(now)
		if !blocked {
			x.s.burn.Add(now, class.Name, x.call.Organisation.Name, kind)
		}
	})
}
