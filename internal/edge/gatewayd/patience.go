package gatewayd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

const (
	// patienceShare is the part of the target after which an upstream that
	// says nothing is given up for another one, where the request may repeat.
	patienceShare = 0.6
	// streamPatience is the least time without a word from a model engine, to any
	// request, after which it is given up for one whose stream has not begun. Long
	// prompts and full batches are slow without being broken, but a batch that
	// lives says something every few steps.
	streamPatience = time.Second
	// pauseFactor is how many pause targets a stream may say nothing before it
	// goes on from the copy of its run. Callers give up a silent stream some time
	// after that; busy engines that are well pause for longer than one.
	pauseFactor = 3
)

// errSilent ends an attempt at an upstream that says nothing.
var errSilent = errors.New("the upstream says nothing")

// patience ends an attempt whose upstream says nothing for too long.
type patience struct {
	giveUp func()
	// now is the present time.
	now func() time.Time
	// answer runs until the answer begins; nil if the request goes to no other
	// upstream.
	answer *silence
	// pauseLimit is how long a stream may say nothing after an event; 0 for any
	// time.
	pauseLimit time.Duration
	// pause runs while the next event is waited for; nil before the first one.
	pause *silence
}

// newPatience begins to wait for the answer of an attempt.
func (x *request) newPatience(choice balance.Choice, end context.CancelCauseFunc) *patience {
	p := &patience{
		giveUp:     func() { end(errSilent) },
		now:        x.server.now,
		pauseLimit: x.pauseLimit(),
	}
	d, ok := x.answerLimit()
	switch {
	case !ok:
	case x.call.Prompt.Tokens > 0:
		p.answer = newSilence(d, p.now, func() { x.whileAlive(p, choice, d) })
	default:
		p.answer = newSilence(d, p.now, func() { x.whileAlone(p) })
	}
	return p
}

// whileAlone waits on for the answer of an upstream that says nothing if there is
// no other one to ask.
func (x *request) whileAlone(p *patience) {
	other := false
	x.server.control.DoWithoutCancel(func(now time.Time) { other = x.server.table.MayPick(now, x.wants()) })
	if other {
		p.giveUp()
	}
}

// whileAlive waits on for the first event of a stream while its engine talks to
// others: the request waits its turn there, and would be read again elsewhere.
func (x *request) whileAlive(p *patience, choice balance.Choice, limit time.Duration) {
	var left time.Duration
	x.server.control.DoWithoutCancel(func(now time.Time) {
		left = limit - x.server.table.SilentFor(now, choice)
	})
	if left <= 0 {
		p.giveUp()
		return
	}
	p.answer.reset(left)
}

// answerLimit is how long the upstream may say nothing before another one gets
// the request; false if none may.
func (x *request) answerLimit() (time.Duration, bool) {
	route := x.admission.Route
	if !route.MayRepeat() || !x.progress.Replayable || x.progress.Sent+1 >= route.MaxAttempts || route.Target == 0 {
		return 0, false
	}
	d := time.Duration(patienceShare * float64(route.Target))
	if x.call.Prompt.Tokens > 0 {
		d = max(2*route.Target, streamPatience)
	}
	return d, true
}

// pauseLimit is how long a stream may say nothing after an event before it goes
// on from the copy of its run; 0 if there is no copy, or any pause will do.
func (x *request) pauseLimit() time.Duration {
	if !x.progress.HasBackup {
		return 0
	}
	return pauseFactor * x.admission.Route.EventGapTarget
}

// answerBegan notes the first event of a stream, or the head of another answer.
func (p *patience) answerBegan() {
	if p.answer != nil {
		p.answer.stop()
	}
}

// eventSent notes that an event of a stream went to the caller: the next one is
// waited for.
func (p *patience) eventSent() {
	switch {
	case p.pauseLimit == 0:
	case p.pause == nil:
		p.pause = newSilence(p.pauseLimit, p.now, p.giveUp)
	default:
		p.pause.reset(p.pauseLimit)
	}
}

// eventCame notes an event of a stream. Until it went to the caller, who may be
// slow, the upstream is not waited for.
func (p *patience) eventCame() {
	if p.pause != nil {
		p.pause.stop()
	}
}

// stop ends the waiting.
func (p *patience) stop() {
	p.answerBegan()
	if p.pause != nil {
		p.pause.stop()
	}
}
