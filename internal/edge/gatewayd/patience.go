package gatewayd

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// patienceShare is the part of the target after which an upstream that
	// says nothing is given up for another one, where the request may repeat.
	patienceShare = 0.6
	// streamPatience is the least time for the first event of a stream: long
	// prompts and full batches are slow without being broken.
	streamPatience = time.Second
	// pauseFactor is how many pause targets a stream may say nothing before it
	// goes on from the copy of its run. Callers give up a silent stream some time
	// after that. At 0.7 busy engines that were well lost 22 streams on a quiet
	// day; at 3 they lost none.
	pauseFactor = 3
)

// errSilent ends an attempt at an upstream that says nothing.
var errSilent = errors.New("the upstream says nothing")

// patience is how long the upstream may say nothing before another one gets
// the request.
func (x *request) patience() (time.Duration, bool) {
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

// watchPauses begins to watch the pauses of a stream that could go on from a
// copy of its run.
func (x *request) watchPauses() {
	target := x.admission.Route.PauseTarget
	if !x.progress.Backed || target == 0 {
		return
	}
	giveUp := x.giveUp
	x.pause = time.AfterFunc(target, func() { giveUp(errSilent) })
	x.pause.Stop()
}

// pauseEnded notes an event.
func (x *request) pauseEnded() {
	if x.pause != nil {
		x.pause.Reset(pauseFactor * x.admission.Route.PauseTarget)
	}
}

// endPauses ends the watch.
func (x *request) endPauses() {
	if x.pause != nil {
		x.pause.Stop()
		x.pause = nil
	}
}
