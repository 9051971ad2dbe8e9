package agent

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/queue"
)

// run is an attempt that holds a slot.
type run struct {
	item *queue.Item
	// claimed is false while the grant awaits its entry.
	claimed bool
	floor   bool
	// stopping is true after a Stop and before its Stopped.
	stopping  bool
	withdrawn bool
	// lost is true if the run was given up because its upstream is down, or
	// makes nothing.
	lost    bool
	granted time.Time
	started time.Time
	// movedAt is when the run was started or last made a token.
	movedAt time.Time
	// produced is the number of tokens of the whole answer so far.
	produced int
	// observed and observedAt are the last point of the speed measurement.
	observed   int
	observedAt time.Time
}

// preemptibleFor reports whether a request of the class may take the slot. A
// run yields to other than protected classes only so often, against thrashing.
func (r *run) preemptibleFor(class *config.Class) bool {
	return r.claimed &&
		!r.stopping &&
		!r.floor &&
		!r.item.Class.Protected &&
		r.item.Class.Repeatable &&
		r.item.Class.Tier > class.Tier &&
		(class.Protected || r.item.Preemptions < maxPreemptions)
}

// stuck reports whether the run has made nothing for long.
func (r *run) stuck(now time.Time) bool {
	return r.item.Class.FirstToken > 0 && now.Sub(r.movedAt) >= stuckAfter
}
