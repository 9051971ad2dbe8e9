package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/queue"
)

// run is an attempt that holds a slot.
type run struct {
	item *queue.Item
	// claimed is false until the entry claims the grant.
	claimed bool
	floor   bool
	// stopping is true between a Stop effect and the call of Stopped.
	stopping  bool
	withdrawn bool
	// lost is true if the run was stopped because its upstream is down or it
	// produced no tokens.
	lost    bool
	granted time.Time
	started time.Time
	// lastTokenAt is the time of the last token, or of the start before the first.
	lastTokenAt time.Time
	// produced is the number of tokens of the whole response so far.
	produced int
	// observed and observedAt are the last sample of the speed measurement.
	observed   int
	observedAt time.Time
}

// preemptibleFor reports whether a request of the class may preempt the run.
// Unprotected classes may preempt it only until it was preempted maxPreemptions times,
// which prevents thrashing.
func (r *run) preemptibleFor(class *config.Class) bool {
	return r.claimed &&
		!r.stopping &&
		!r.floor &&
		!r.item.Class.Protected &&
		r.item.Class.Repeatable &&
		r.item.Class.Tier > class.Tier &&
		(class.Protected || r.item.Preemptions < maxPreemptions)
}

// stalled reports whether the run has produced no token for stallTimeout. It applies
// only to classes with a first-token target.
func (r *run) stalled(now time.Time) bool {
	return r.item.Class.FirstToken > 0 && now.Sub(r.lastTokenAt) >= stallTimeout
}
