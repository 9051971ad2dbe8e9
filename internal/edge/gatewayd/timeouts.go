package gatewayd

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

const (
	// responseTimeoutShare is the fraction of the route's target after which a repeatable
	// request is moved from an upstream that has not answered to another one.
	responseTimeoutShare = 0.6
	// minStreamTimeout is the minimum time for which a model engine must have sent nothing to
	// any request before a request whose stream has not begun is moved elsewhere. Long
	// prompts and full batches are slow without a fault, but a running batch produces output
	// every few steps.
	minStreamTimeout = time.Second
	// gapTimeoutFactor is the multiple of the route's gap target for which a stream may be
	// silent before it is resumed from the backup of its run. Busy but healthy engines are
	// silent for longer than the target; callers give up on a silent stream some time after
	// this timeout.
	gapTimeoutFactor = 3
)

// errSilent is the cause with which an attempt is cancelled after a timeout.
var errSilent = errors.New("the upstream sent nothing in time")

// timeouts cancels an attempt whose upstream sends nothing for too long.
type timeouts struct {
	cancel func()
	// now returns the current time.
	now func() time.Time
	// response runs until there is something to send to the caller; nil if the request may not be
	// moved to another upstream.
	response *stallTimer
	// responded is true once that is so or the attempt ended. The timeout for the
	// response may be running its check at that moment and restart its timer.
	responded atomic.Bool
	// gapTimeout is the maximum silence of a stream after an event; 0 means unlimited.
	gapTimeout time.Duration
	// gap runs while the next event is awaited; nil until the first event was sent on.
	gap *stallTimer
}

// newTimeouts starts the timeout for the response of an attempt.
func (x *request) newTimeouts(choice balance.Choice, cancelAttempt context.CancelCauseFunc) *timeouts {
	t := &timeouts{
		cancel:     func() { cancelAttempt(errSilent) },
		now:        x.server.now,
		gapTimeout: x.gapTimeout(),
	}
	d, ok := x.responseTimeout()
	// Built here because the timer runs on a goroutine of its own, which may outlive the
	// attempt.
	r := x.balanceRequest()
	r.Exclude = slices.Clone(r.Exclude)
	switch {
	case !ok:
	case x.call.Prompt.Tokens > 0:
		t.response = newStallTimer(d, t.now, func(timer *stallTimer) { x.onFirstEventTimeout(t, timer, choice, d) })
	default:
		t.response = newStallTimer(d, t.now, func(timer *stallTimer) { x.onResponseTimeout(t, timer, r, d) })
	}
	return t
}

// onResponseTimeout cancels an attempt that was not answered in time, if another upstream has
// a free slot. Otherwise the request keeps waiting, and this is checked again after the same
// time.
func (x *request) onResponseTimeout(t *timeouts, timer *stallTimer, r balance.Request, limit time.Duration) {
	if t.responded.Load() {
		return
	}
	available := false
	x.server.control.DoWithoutCancel(func(now time.Time) { available = x.server.table.HasFreeSlot(now, r) })
	if available {
		t.cancel()
		return
	}
	timer.reset(limit)
}

// onFirstEventTimeout cancels an attempt whose stream did not begin in time, unless its engine
// sends events to other requests. In that case the request is queued there, and another engine
// would have to prefill its prompt again.
func (x *request) onFirstEventTimeout(t *timeouts, timer *stallTimer, choice balance.Choice, limit time.Duration) {
	if t.responded.Load() {
		return
	}
	var remaining time.Duration
	x.server.control.DoWithoutCancel(func(now time.Time) {
		remaining = limit - x.server.table.SilentFor(now, choice)
	})
	if remaining <= 0 {
		t.cancel()
		return
	}
	timer.reset(remaining)
}

// responseTimeout returns the time without a response after which the request is moved to
// another upstream; false if it may not be moved.
func (x *request) responseTimeout() (time.Duration, bool) {
	route := x.admission.Route
	if !route.MayRepeat() || !x.progress.Replayable || x.progress.Sent+1 >= route.MaxAttempts || route.Target == 0 {
		return 0, false
	}
	d := time.Duration(responseTimeoutShare * float64(route.Target))
	if x.call.Prompt.Tokens > 0 {
		d = max(2*route.Target, minStreamTimeout)
	}
	return d, true
}

// gapTimeout returns the silence of a stream after which it is resumed from the backup of its
// run; 0 if there is no backup or the route has no gap target.
func (x *request) gapTimeout() time.Duration {
	if !x.progress.HasBackup {
		return 0
	}
	return gapTimeoutFactor * x.admission.Route.EventGapTarget
}

// responseStarted stops the timeout for the response: the first event of a stream arrived, the
// header of an error, or so much of any other response as is kept before it is sent on.
func (t *timeouts) responseStarted() {
	t.responded.Store(true)
	if t.response != nil {
		t.response.stop()
	}
}

// eventSent starts the timeout for the next event of a stream, after the previous one was sent
// to the caller.
func (t *timeouts) eventSent() {
	switch {
	case t.gapTimeout == 0:
	case t.gap == nil:
		t.gap = newStallTimer(t.gapTimeout, t.now, func(*stallTimer) { t.cancel() })
	default:
		t.gap.reset(t.gapTimeout)
	}
}

// eventReceived stops the timeout for the next event of a stream. It does not run again until
// the event was sent to the caller, so that a slow caller does not count as a silent upstream.
func (t *timeouts) eventReceived() {
	if t.gap != nil {
		t.gap.stop()
	}
}

// stop stops all timeouts.
func (t *timeouts) stop() {
	t.responseStarted()
	if t.gap != nil {
		t.gap.stop()
	}
}
