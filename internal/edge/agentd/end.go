package agentd

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	"github.com/gladegauge/gladegauge/internal/edge/upstream"
)

// upstreamEnds counts the ends of the agent's upstream. It belongs to the control loop.
type upstreamEnds struct {
	n uint64
	// ended is true from an end until the upstream is heard of again.
	ended bool
}

// found notes that nothing listens there. All that broke off with one end finds the
// same.
func (u *upstreamEnds) found() {
	if !u.ended {
		u.ended = true
		u.n++
	}
}

// alive notes that the upstream has said something.
func (u *upstreamEnds) alive() { u.ended = false }

// endedStart returns the hash of the upstream's start if it ended under the run; 0 if
// it lives on, or if the agent itself broke the run off.
func (x *session) endedStart(ctx context.Context, end upstream.End) uint64 {
	if end.Ending != upstream.Broken || x.stopping || x.failing || x.gone {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, suspects.ProbeTimeout)
	defer cancel()
	if !x.s.upstream.Refuses(ctx) {
		return 0
	}
	var start uint64
	x.s.loop.Must(func(time.Time) {
		x.s.ends.found()
		start = rendezvous.Mix(xxhash.Sum64String(x.s.incarnation), x.s.ends.n)
	})
	return start
}
