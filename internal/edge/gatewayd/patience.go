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
