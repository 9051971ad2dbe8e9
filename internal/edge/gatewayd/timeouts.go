package gatewayd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

const (
	// answerTimeoutShare is the part of the target after which an upstream that
	// says nothing is given up for another one, where the request may repeat.
	answerTimeoutShare = 0.6
	// minStreamTimeout is the least time without a word from a model engine, to any
	// request, after which it is given up for one whose stream has not begun. Long
	// prompts and full batches are slow without being broken, but a batch that
	// lives says something every few steps.
	minStreamTimeout = time.Second
	// gapTimeoutFactor is how many pause targets a stream may say nothing before it
	// goes on from the copy of its run. Callers give up a silent stream some time
	// after that; busy engines that are well pause for longer than one.
	gapTimeoutFactor = 3
)

// errSilent ends an attempt at an upstream that says nothing.
var errSilent = errors.New("the upstream says nothing")

// timeouts ends an attempt whose upstream says nothing for too long.
type timeouts struct {
	cancel func()
	// now is the present time.
	now func() time.Time
	// answer runs until the answer begins; nil if the request goes to no other
	// upstream.
	answer *stallTimer
	// gapTimeout is how long a stream may say nothing after an event; 0 for any
	// time.
	gapTimeout time.Duration
	// gap runs while the next event is waited for; nil before the first one.
	gap *stallTimer
}

// newTimeouts begins to wait for the answer of an attempt.
func (x *request) newTimeouts(choice balance.Choice, end context.CancelCauseFunc) *timeouts {
	p := &timeouts{
		cancel:     func() { end(errSilent) },
		now:        x.server.now,
		gapTimeout: x.gapTimeout(),
	}
	d, ok := x.answerTimeout()
	switch {
	case !ok:
	case x.call.Prompt.Tokens > 0:
		p.answer = newStallTimer(d, p.now, func() { x.onFirstEventTimeout(p, choice, d) })
	default:
		p.answer = newStallTimer(d, p.now, func() { x.onAnswerTimeout(p) })
	}
	return p
}

// onAnswerTimeout waits on for the answer of an upstream that says nothing if there is
// no other one to ask.
func (x *request) onAnswerTimeout(p *timeouts) {
	other := false
	x.server.control.Must(func(now time.Time) { other = x.server.table.MayPick(now, x.balanceRequest()) })
	if other {
		p.cancel()
	}
}

// onFirstEventTimeout waits on for the first event of a stream while its engine talks to
// others: the request waits its turn there, and would be read again elsewhere.
func (x *request) onFirstEventTimeout(p *timeouts, choice balance.Choice, limit time.Duration) {
	var left time.Duration
	x.server.control.Must(func(now time.Time) {
		left = limit - x.server.table.SilentFor(now, choice)
	})
	if left <= 0 {
		p.cancel()
		return
	}
	p.answer.reset(left)
}

// answerTimeout is how long the upstream may say nothing before another one gets
// the request; false if none may.
func (x *request) answerTimeout() (time.Duration, bool) {
	route := x.admission.Route
	if !route.MayRepeat() || !x.progress.Replayable || x.progress.Sent+1 >= route.MaxAttempts || route.Target == 0 {
		return 0, false
	}
	d := time.Duration(answerTimeoutShare * float64(route.Target))
	if x.call.Prompt.Tokens > 0 {
		d = max(2*route.Target, minStreamTimeout)
	}
	return d, true
}

// gapTimeout is how long a stream may say nothing after an event before it goes
// on from the copy of its run; 0 if there is no copy, or any pause will do.
func (x *request) gapTimeout() time.Duration {
	if !x.progress.HasBackup {
		return 0
	}
	return gapTimeoutFactor * x.admission.Route.PauseTarget
}

// answerStarted notes the first event of a stream, or the head of another answer.
func (p *timeouts) answerStarted() {
	if p.answer != nil {
		p.answer.stop()
	}
}

// eventSent notes that an event of a stream went to the caller: the next one is
// waited for.
func (p *timeouts) eventSent() {
	switch {
	case p.gapTimeout == 0:
	case p.gap == nil:
		p.gap = newStallTimer(p.gapTimeout, p.now, p.cancel)
	default:
		p.gap.reset(p.gapTimeout)
	}
}

// eventReceived notes an event of a stream. Until it went to the caller, who may be
// slow, the upstream is not waited for.
func (p *timeouts) eventReceived() {
	if p.gap != nil {
		p.gap.stop()
	}
}

// stop ends the waiting.
func (p *timeouts) stop() {
	p.answerStarted()
	if p.gap != nil {
		p.gap.stop()
	}
}
